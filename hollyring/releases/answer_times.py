"""Judgement of slow answers by the median of the baseline's answers on the same route."""

from __future__ import annotations

import math

SLOW_FACTOR = 2.5
"""Ratio to the baseline's median above which an answer is slow."""

OFFSET_SECONDS = 0.05
"""Added to measured and expected times, so that short ones have little weight."""

MEDIAN_STEP = 0.08
"""Step of the logarithm of the median's estimate at each answer."""

FIRST_STEPS = 10
"""Answers whose steps are larger, and after which the estimate is used."""


class AnswerTimes:
    """Estimates the median of measured over expected times on one route.

    Examples
    --------
    >>> times = AnswerTimes()
    >>> for _ in range(40):
    ...     times.record(0.2, 0.2)
    >>> times.is_slow(0.3, 0.2), times.is_slow(0.9, 0.2)
    (False, True)
    """

    __slots__ = ("_log_median", "_count")

    def __init__(self) -> None:
        self._log_median = 0.0
        self._count = 0

    @property
    def is_known(self) -> bool:
        """Whether enough answers have been measured."""
        return self._count >= FIRST_STEPS

    def record(self, seconds: float, expected_seconds: float) -> None:
        """Record the time to the first event of a baseline's answer."""
        ratio = _log_ratio(seconds, expected_seconds)
        self._count += 1
        step = MEDIAN_STEP * max(1.0, FIRST_STEPS / self._count)
        difference = ratio - self._log_median
        self._log_median += max(-step, min(step, difference))

    def is_slow(self, seconds: float, expected_seconds: float) -> bool:
        """Return whether an answer is slow beside the baseline's."""
        ratio = _log_ratio(seconds, expected_seconds)
        return self.is_known and ratio > self._log_median + math.log(SLOW_FACTOR)


def _log_ratio(seconds: float, expected_seconds: float) -> float:
    return math.log(
        (max(0.0, seconds) + OFFSET_SECONDS) / (max(0.0, expected_seconds) + OFFSET_SECONDS)
    )
