"""Failing and slow upstreams: suspension, probation and the way back.

An upstream is compared with its own past: the logarithm of measured over expected time to first
token is followed by a slow mean and deviation and a fast mean. One that becomes slow for its own
habits is put on probation: it gets a single trial request at a time until it does well again.
"""

from __future__ import annotations

import dataclasses
import math

FAST_WEIGHT = 0.25
TRIAL_WEIGHT = 0.5
SLOW_WEIGHT = 0.02
MIN_SAMPLES = 10
"""Answers before an upstream's own distribution counts."""

SLOW_DEVIATIONS = 4.0
"""Deviations by which the fast mean may exceed the slow one."""

MIN_DEVIATION = 0.25
MIN_SLOW_LOG_RATIO = 0.7
"""Natural logarithm of the slowdown below which an upstream is never called slow (twice)."""

SUSPENSION_FAILURES = 2
"""Failures in a row that suspend an upstream."""

FIRST_SUSPENSION_SECONDS = 0.5
MAX_SUSPENSION_SECONDS = 15.0


@dataclasses.dataclass(slots=True)
class Health:
    """One upstream's record."""

    samples: int = 0
    slow_mean: float = 0.0
    variance: float = 0.25
    fast_mean: float = 0.0
    failures: int = 0
    suspensions: int = 0
    suspended_until: float = float("-inf")
    on_probation: bool = False
    trial_attempt: int = 0

    @property
    def is_slow(self) -> bool:
        """Whether the last answers were slow for this upstream's own distribution."""
        if self.samples < MIN_SAMPLES:
            return False
        excess = self.fast_mean - self.slow_mean
        deviation = max(MIN_DEVIATION, math.sqrt(self.variance))
        return excess > max(
            MIN_SLOW_LOG_RATIO, SLOW_DEVIATIONS * deviation * math.sqrt(FAST_WEIGHT)
        )

    def usable(self, now: float) -> bool:
        """Tell whether a request may be sent: one at a time while on probation."""
        if not self.on_probation:
            return True
        return now >= self.suspended_until and not self.trial_attempt

    def dispatched(self, attempt: int) -> None:
        """Note that `attempt` is the trial of an upstream on probation."""
        if self.on_probation and not self.trial_attempt:
            self.trial_attempt = attempt

    def first_token(self, attempt: int, measured: float, expected: float, now: float) -> None:
        """Take in the time to first token of an answer."""
        ratio = math.log(max(measured, 1e-3) / max(expected, 1e-3))
        self.failures = 0
        self.samples += 1
        weight = TRIAL_WEIGHT if self.on_probation else FAST_WEIGHT
        self.fast_mean += weight * (ratio - self.fast_mean)
        if self.on_probation:
            self._end_trial(attempt, now)
            return
        if self.samples == 1:
            self.slow_mean = self.fast_mean = ratio
            return
        difference = ratio - self.slow_mean
        weight = max(SLOW_WEIGHT, 1.0 / self.samples)
        self.slow_mean += weight * difference
        self.variance += weight * (difference * difference - self.variance)
        if self.is_slow:
            self._suspend(now)

    def failed(self, attempt: int, now: float) -> None:
        """Take in a failure."""
        self.failures += 1
        if attempt == self.trial_attempt:
            self.trial_attempt = 0
            self._suspend(now)
        elif self.failures >= SUSPENSION_FAILURES and not self.on_probation:
            self._suspend(now)

    def ended(self, attempt: int) -> None:
        """Free the trial's place if `attempt` was it."""
        if attempt == self.trial_attempt:
            self.trial_attempt = 0

    def reset(self) -> None:
        """Forgive a new life its earlier one's failures."""
        self.failures = self.suspensions = self.trial_attempt = 0
        self.on_probation = False
        self.fast_mean = self.slow_mean
        self.suspended_until = float("-inf")

    def _end_trial(self, attempt: int, now: float) -> None:
        if attempt != self.trial_attempt:
            return
        self.trial_attempt = 0
        if self.is_slow:
            self._suspend(now)
            return
        self.on_probation = False
        self.suspensions = 0

    def _suspend(self, now: float) -> None:
        seconds = FIRST_SUSPENSION_SECONDS * 2.0 ** min(self.suspensions, 10)
        self.suspensions += 1
        self.on_probation = True
        self.suspended_until = now + min(MAX_SUSPENSION_SECONDS, seconds)
