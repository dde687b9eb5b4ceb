"""Bound on the requests that a VM executes for others at the same time."""

from __future__ import annotations

REQUESTS_PER_CORE = 200.0
"""Requests in progress for other VMs, per core of this VM."""

MIN_REQUESTS = 16
"""Requests in progress for other VMs that the smallest VM takes."""

MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0
FIRST_INTERVAL_SECONDS = 0.1
"""Assumed time between two ends of requests before any has ended."""

INTERVAL_WEIGHT = 0.2
"""Weight of the last time between two ends in their moving average."""


class DelegationRoom:
    """Room for the requests of other VMs.

    Parameters
    ----------
    capacity
        Processor capacity of this VM, in cores.

    Examples
    --------
    >>> room = DelegationRoom(capacity=0.01)
    >>> [room.begin(0.0) for _ in range(16)] == [None] * 16
    True
    >>> room.begin(0.0)
    0.1
    >>> room.end(0.5)
    >>> room.begin(0.5) is None
    True
    """

    __slots__ = ("_limit", "_open", "_refused", "_ended_at", "_interval")

    def __init__(self, capacity: float) -> None:
        self._limit = max(MIN_REQUESTS, int(capacity * REQUESTS_PER_CORE))
        self._open = 0
        self._refused = 0
        self._ended_at: float | None = None
        self._interval = FIRST_INTERVAL_SECONDS

    @property
    def open(self) -> int:
        """Number of requests in progress for other VMs."""
        return self._open

    def begin(self, now: float) -> float | None:
        """Take a request and return None, or the seconds after which there may be room.

        Each request that was refused since the last end waits for one more end.
        """
        if self._open < self._limit:
            self._open += 1
            return None
        self._refused += 1
        seconds = self._refused * self._interval
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))

    def end(self, now: float) -> None:
        """Record the end of a delegated request."""
        self._open -= 1
        self._refused = max(0, self._refused - 1)
        if self._ended_at is not None:
            self._interval += INTERVAL_WEIGHT * (now - self._ended_at - self._interval)
        self._ended_at = now
