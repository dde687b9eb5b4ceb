"""Estimates of an upstream's load from delayed reports and this VM's own dispatches."""

from __future__ import annotations

import dataclasses
import math

from hollyring.routing import messages

SMOOTHING_SECONDS = 5.0
"""Time constant of the moving average of the reported queued tokens."""

DECAY_SECONDS = 2.0
"""Time constant with which the estimate returns from the last report to the average.

An observed wait decays with it, too.
"""

FRESH_SECONDS = 1.0
"""A report newer than this needs no lookup."""

SLOWDOWN_SECONDS = 30.0
"""Time constant with which a slowdown decays, so that a recovered upstream is used again."""

SLOWDOWN_WEIGHT = 0.4
MAX_SLOWDOWN_LOG = math.log(20.0)
OFFSET_SECONDS = 0.1
"""Added to measured and expected times, so that short ones have little influence."""

OVERDUE_FACTOR = 2.0
"""A dispatch that waits this many times its longest expected time indicates a slowdown."""

MAX_OWN_SECONDS = 60.0
"""Time after which a dispatch without a first token no longer counts as queued."""


@dataclasses.dataclass(slots=True)
class _OwnDispatch:
    dispatched_at: float
    uncached_tokens: int
    max_seconds: float


@dataclasses.dataclass(slots=True)
class Load:
    """Estimated load of one upstream.

    Parameters
    ----------
    prefill_tokens_per_second
        Prefill speed: the configured one until a report contains another.
    """

    prefill_tokens_per_second: float
    reported_at: float = float("-inf")
    queued_tokens: float = 0.0
    mean_queued_tokens: float = 0.0
    running: int = 0
    waiting: int = 0
    wait_seconds: float = 0.0
    waited_at: float = float("-inf")
    slowdown_log: float = 0.0
    slowdown_at: float = float("-inf")
    _own_dispatches: dict[int, _OwnDispatch] = dataclasses.field(default_factory=dict)

    @property
    def own_requests(self) -> int:
        """Number of this VM's dispatches that wait for their first token."""
        return len(self._own_dispatches)

    def observe(self, report: messages.LoadReport, now: float) -> None:
        """Apply a report if it is newer than the last one."""
        at = now - report.age_seconds
        if at <= self.reported_at:
            return
        if math.isinf(self.reported_at):
            self.mean_queued_tokens = report.queued_tokens
        else:
            weight = 1.0 - math.exp(-(at - self.reported_at) / SMOOTHING_SECONDS)
            self.mean_queued_tokens += weight * (report.queued_tokens - self.mean_queued_tokens)
        self.reported_at = at
        self.queued_tokens = report.queued_tokens
        self.running = report.running
        self.waiting = report.waiting
        if report.prefill_tokens_per_second > 0:
            self.prefill_tokens_per_second = report.prefill_tokens_per_second

    def slowdown(self, now: float) -> float:
        """Return how many times slower than reported the upstream is.

        This is the decayed average measured from responses, or the wait of an overdue dispatch if
        that indicates more.
        """
        decay = math.exp(-max(0.0, now - self.slowdown_at) / SLOWDOWN_SECONDS)
        return max(math.exp(decay * self.slowdown_log), self._overdue_ratio(now))

    def prefill_speed(self, now: float) -> float:
        """Return the estimated prefill speed in prompt tokens per second."""
        return self.prefill_tokens_per_second / self.slowdown(now)

    def update_slowdown(self, measured: float, expected: float, now: float) -> None:
        """Update the slowdown from a response's time to first token.

        `expected` is the time computed from the reported speed and queue; both are in seconds.
        """
        ratio = math.log((measured + OFFSET_SECONDS) / (expected + OFFSET_SECONDS))
        decay = math.exp(-max(0.0, now - self.slowdown_at) / SLOWDOWN_SECONDS)
        previous = decay * self.slowdown_log
        updated = previous + SLOWDOWN_WEIGHT * (ratio - previous)
        self.slowdown_log = min(MAX_SLOWDOWN_LOG, max(0.0, updated))
        self.slowdown_at = now

    def dispatched(
        self, attempt: int, uncached_tokens: int, prompt_tokens: int, now: float
    ) -> None:
        """Count a dispatch of this VM until its first token or a report that includes it."""
        max_seconds = (
            self.nominal_queue_seconds(now) + prompt_tokens / self.prefill_tokens_per_second
        )
        self._own_dispatches[attempt] = _OwnDispatch(now, uncached_tokens, max_seconds)

    def first_token(self, attempt: int, now: float) -> None:
        """Stop counting a dispatch as queued, and record how long it waited."""
        own = self._own_dispatches.pop(attempt, None)
        if own is None:
            return
        waited = max(
            0.0, now - own.dispatched_at - own.uncached_tokens / self.prefill_tokens_per_second
        )
        self.wait_seconds = waited
        self.waited_at = now

    def discard(self, attempt: int) -> None:
        """Stop counting a dispatch that failed or ended."""
        self._own_dispatches.pop(attempt, None)

    def reset(self) -> None:
        """Clear the load of the previous incarnation."""
        self._own_dispatches.clear()
        self.queued_tokens = self.mean_queued_tokens = self.wait_seconds = 0.0
        self.running = self.waiting = 0
        self.slowdown_log = 0.0
        self.reported_at = self.waited_at = float("-inf")

    def age(self, now: float) -> float:
        """Return the age of the last report in seconds."""
        return now - self.reported_at

    def queue_seconds(self, now: float) -> float:
        """Return the expected wait in seconds before the prefill of a request sent now."""
        return self.nominal_queue_seconds(now) * self.slowdown(now)

    def nominal_queue_seconds(self, now: float) -> float:
        """Return `queue_seconds` without the slowdown, at the reported speed."""
        queued = self._reported_tokens(now) + self._unreported_tokens(now)
        return queued / self.prefill_tokens_per_second + self._observed_wait(now)

    def outstanding(self, now: float) -> int:
        """Return the number of reported requests plus this VM's dispatches since the report."""
        since = max(self.reported_at, now - MAX_OWN_SECONDS)
        return (
            self.running
            + self.waiting
            + sum(own.dispatched_at > since for own in self._own_dispatches.values())
        )

    def _overdue_ratio(self, now: float) -> float:
        """Return the greatest ratio of wait to longest expected time, divided by `OVERDUE_FACTOR`.

        The longest expected time assumes that none of the prompt is cached.
        """
        ratios = (
            (now - own.dispatched_at + OFFSET_SECONDS) / (own.max_seconds + OFFSET_SECONDS)
            for own in self._own_dispatches.values()
            if now - own.dispatched_at < MAX_OWN_SECONDS
        )
        return max(ratios, default=1.0) / OVERDUE_FACTOR

    def _reported_tokens(self, now: float) -> float:
        if math.isinf(self.reported_at):
            return 0.0
        decay = math.exp(-self.age(now) / DECAY_SECONDS)
        return self.mean_queued_tokens + decay * (self.queued_tokens - self.mean_queued_tokens)

    def _unreported_tokens(self, now: float) -> float:
        since = max(self.reported_at, now - MAX_OWN_SECONDS)
        return sum(
            own.uncached_tokens
            for own in self._own_dispatches.values()
            if own.dispatched_at > since
        )

    def _observed_wait(self, now: float) -> float:
        if self.waited_at <= self.reported_at:
            return 0.0
        return self.wait_seconds * math.exp(-(now - self.waited_at) / DECAY_SECONDS)
