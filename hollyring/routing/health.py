"""Detection of failing and slow upstreams, their suspension and their recovery.

An upstream is compared with its own history. The logarithm of the ratio of measured to expected
time to first token feeds two exponential moving averages, a slow one with a variance and a fast
one. An upstream whose fast mean rises well above its slow mean, or that fails several times in
succession, is suspended and then put on probation: it receives one trial request at a time until
one succeeds and the fast mean is not too high.
"""

from __future__ import annotations

import dataclasses
import math

FAST_WEIGHT = 0.25
"""Weight of the newest sample in the fast mean."""

TRIAL_WEIGHT = 0.5
"""Weight of the newest sample in the fast mean on probation."""

SLOW_WEIGHT = 0.02
"""Least weight of the newest sample in the slow mean and the variance."""

MIN_SAMPLES = 10
"""Responses needed before an upstream's own distribution is used."""

SLOW_DEVIATIONS = 4.0
"""Standard deviations of the fast mean by which it may exceed the slow one.

The standard deviation of the fast mean is estimated as that of one sample, multiplied by the square
root of `FAST_WEIGHT`.
"""

MIN_DEVIATION = 0.25
"""Least standard deviation assumed for the logarithm of the ratio."""

MIN_SLOW_LOG_RATIO = 0.7
"""Natural logarithm of the least ratio that counts as slow: twice the usual time."""

SUSPENSION_FAILURES = 2
"""Consecutive failures after which an upstream is suspended."""

FIRST_SUSPENSION_SECONDS = 0.5
MAX_SUSPENSION_SECONDS = 15.0


@dataclasses.dataclass(slots=True)
class Health:
    """Health of one upstream."""

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
        """Whether recent responses were slow compared with this upstream's own distribution."""
        if self.samples < MIN_SAMPLES:
            return False
        excess = self.fast_mean - self.slow_mean
        deviation = max(MIN_DEVIATION, math.sqrt(self.variance))
        return excess > max(
            MIN_SLOW_LOG_RATIO, SLOW_DEVIATIONS * deviation * math.sqrt(FAST_WEIGHT)
        )

    def usable(self, now: float) -> bool:
        """Return whether a request may be sent.

        None may be sent to a suspended upstream, and one at a time to one on probation.
        """
        if not self.on_probation:
            return True
        return now >= self.suspended_until and not self.trial_attempt

    def dispatched(self, attempt: int) -> None:
        """Record `attempt` as the trial if the upstream is on probation and has none."""
        if self.on_probation and not self.trial_attempt:
            self.trial_attempt = attempt

    def first_token(self, attempt: int, measured: float, expected: float, now: float) -> None:
        """Update the distribution with the time to first token of a response.

        `measured` and `expected` are in seconds.
        """
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
        """Record a failure of `attempt`."""
        self.failures += 1
        if attempt == self.trial_attempt:
            self.trial_attempt = 0
            self._suspend(now)
        elif self.failures >= SUSPENSION_FAILURES and not self.on_probation:
            self._suspend(now)

    def ended(self, attempt: int) -> None:
        """Allow a new trial if `attempt` was the current one."""
        if attempt == self.trial_attempt:
            self.trial_attempt = 0

    def reset(self) -> None:
        """Clear the failures and suspensions of the previous incarnation."""
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
