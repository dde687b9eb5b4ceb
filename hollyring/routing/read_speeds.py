"""Speed at which the inference servers of a service read prompts, learned from their answers.

Services differ several times in this speed. Each server's own deviation from it is its slowdown
(`registry.Upstream.slowdown`), which also covers what a server does besides.
"""

from __future__ import annotations

import math

INITIAL_TOKENS_PER_SECOND = 100_000.0
"""Speed assumed until answers have been measured."""

MIN_MEASURED_TOKENS = 1_024
"""Prompt tokens from which the time of an answer tells the speed of reading."""

QUANTILE = 0.6
"""Quantile of the measured speeds; what else a server does makes answers slower, never faster."""

STEPS = (0.4, 0.02)
"""First and last step of the logarithm of the estimate."""

SPEED_LIMITS = (1_000.0, 10_000_000.0)


class ReadSpeed:
    """Estimate for one service.

    Examples
    --------
    >>> speed = ReadSpeed()
    >>> for _ in range(60):
    ...     speed.record(4_000, 0.1)
    >>> 36_000 < speed.tokens_per_second < 44_000
    True
    """

    __slots__ = ("_tokens_per_second", "_count")

    def __init__(self) -> None:
        self._tokens_per_second = INITIAL_TOKENS_PER_SECOND
        self._count = 0

    @property
    def tokens_per_second(self) -> float:
        """Prompt tokens that a server of the service reads in a second."""
        return self._tokens_per_second

    @property
    def count(self) -> int:
        """Number of answers measured."""
        return self._count

    def record(self, tokens: int, seconds: float) -> None:
        """Record an answer that waited for nothing.

        Parameters
        ----------
        tokens
            Prompt tokens that were read for it.
        seconds
            Time of reading.
        """
        if tokens < MIN_MEASURED_TOKENS or seconds <= 0.0:
            return
        self._count += 1
        first, last = STEPS
        step = max(last, first / math.sqrt(self._count))
        is_faster = tokens / seconds > self._tokens_per_second
        change = step * QUANTILE if is_faster else -step * (1.0 - QUANTILE)
        low, high = SPEED_LIMITS
        self._tokens_per_second = min(high, max(low, self._tokens_per_second * math.exp(change)))
