"""Measurement of the callers' requests at this VM."""

from __future__ import annotations

import math

RATE_SECONDS = 2.0
"""Time constant of the moving average of the request rate."""

BUSY_RATE = 3.0
"""Requests per second from which a VM counts as busy.

Operators' test requests reach every VM of a fleet, about one a second.
"""

BUSY_REQUESTS = 4
"""Open requests from which a VM counts as busy."""


class Rate:
    """Exponential moving average of the events a second.

    Examples
    --------
    >>> rate = Rate()
    >>> for tenth in range(100):
    ...     rate.record(tenth / 10)
    >>> round(rate.per_second(10.0))
    10
    """

    __slots__ = ("_per_second", "_last_at")

    def __init__(self) -> None:
        self._per_second = 0.0
        self._last_at = -math.inf

    def record(self, now: float) -> None:
        """Record an event."""
        self._per_second = self.per_second(now) + 1.0 / RATE_SECONDS
        self._last_at = now

    def per_second(self, now: float) -> float:
        """Return the recent rate."""
        return self._per_second * math.exp(-max(0.0, now - self._last_at) / RATE_SECONDS)


class RequestMeter:
    """Number of open requests, and the recent rates of those that arrived and were sent on.

    What is refused costs a VM little. It would select more VMs to serve, which cost those that
    serve more than it does: the load that this answers is an organisation that asks many times its
    rate, or upstreams that have no room.

    Examples
    --------
    >>> meter = RequestMeter()
    >>> for tenth in range(100):
    ...     meter.begin(tenth / 10)
    ...     meter.end()
    >>> meter.sent_rate(10.0), meter.is_busy(11.0), meter.is_busy(14.0)
    (0.0, True, False)
    """

    __slots__ = ("_open", "_arrived", "_sent")

    def __init__(self) -> None:
        self._open = 0
        self._arrived = Rate()
        self._sent = Rate()

    @property
    def open(self) -> int:
        """Number of requests in progress."""
        return self._open

    def begin(self, now: float) -> None:
        """Record the arrival of a request."""
        self._arrived.record(now)
        self._open += 1

    def record_sent(self, now: float) -> None:
        """Record that a request is sent to an upstream."""
        self._sent.record(now)

    def end(self) -> None:
        """Record the end of a request."""
        self._open -= 1

    def sent_rate(self, now: float) -> float:
        """Return the recent rate of requests that were sent to upstreams, per second."""
        return self._sent.per_second(now)

    def is_busy(self, now: float) -> bool:
        """Return whether the VM has more than a few requests."""
        return self._open >= BUSY_REQUESTS or self._arrived.per_second(now) >= BUSY_RATE
