"""Recording of the backoffs that upstreams ask for in their responses."""

from __future__ import annotations

import time

from hollyring.node import clock, interfaces, logs
from hollyring.routing import backoffs, registry

MIN_LOGGED_EXTENSION_SECONDS = 0.1
"""Smallest extension of a backoff that is logged; requests under way repeat the same end."""


class UpstreamBackoffs:
    """Records backoffs, logs them and counts them.

    Parameters
    ----------
    upstreams
        Registry whose backoffs are extended.
    """

    __slots__ = ("_backoffs", "_recorded", "_log")

    def __init__(self, upstreams: registry.Registry) -> None:
        self._backoffs = upstreams.backoffs
        self._recorded = 0
        self._log = logs.Logger("backoffs")

    @property
    def recorded(self) -> int:
        """Number of backoffs that began or were extended since the start."""
        return self._recorded

    def is_active(self, upstream: registry.Upstream) -> bool:
        """Return whether nothing may be sent to an upstream now."""
        return self._backoffs.is_active(upstream.incarnation, clock.now())

    def seconds_left(self, upstream: registry.Upstream) -> float:
        """Return the seconds until something may be sent to an upstream, 0 for now."""
        return max(0.0, self._backoffs.end(upstream.incarnation) - clock.now())

    def record(self, upstream: registry.Upstream, head: interfaces.ResponseHead) -> None:
        """Record the backoff that a response of an upstream asks for, if it does."""
        anomaly = head.retry_after_anomaly
        if head.retry_after_seconds > backoffs.MAX_BACKOFF_SECONDS:
            anomaly = interfaces.RetryAfterAnomaly.TOO_LONG
        if anomaly is not None:
            self._log_anomaly(upstream, anomaly)
        if not head.retry_after_seconds:
            return
        now = clock.now()
        previous_end = self._backoffs.end(upstream.incarnation)
        end = self._backoffs.extend(upstream.incarnation, head.retry_after_seconds, now)
        if end - previous_end < MIN_LOGGED_EXTENSION_SECONDS:
            return
        self._recorded += 1
        self._log.info(
            "upstream in backoff",
            upstream=upstream.name,
            life=upstream.entry.life,
            seconds=round(end - now, 3),
            until=round(time.time() + end - now, 3),
        )

    def _log_anomaly(
        self, upstream: registry.Upstream, anomaly: interfaces.RetryAfterAnomaly
    ) -> None:
        if anomaly in upstream.logged_anomalies:
            return
        upstream.logged_anomalies.add(anomaly)
        self._log.info("unusable retry time", upstream=upstream.name, why=str(anomaly))
