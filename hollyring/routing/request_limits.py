"""Limits that upstreams in need name: the requests a second that they take from the fleet, and the
rejections for want of room in a second beyond which they fail.

An upstream names its limit in its answers for as long as it holds, and an answer without one ends
it. What VMs observed is ordered by the time of observation, so that a limit that has ended is not
taken up again from a VM that does not know of it.

A request to such an upstream needs a permit (`hollyring.limits.send_permits`). After a denial the
upstream is closed for this VM until it may ask again.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterator

from hollyring.core import identities

MIN_RATE = 0.2
"""Requests per second sent under any limit; without answers, its end would remain unknown."""

RETENTION_SECONDS = 120.0
"""Time after its last observation for which a limit is remembered."""


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedLimit:
    """What an answer of an upstream said of its limit.

    Parameters
    ----------
    per_second
        Requests or rejections per second, of the whole fleet; None if it named no limit any more.
    at
        Time of the answer in seconds.
    """

    per_second: float | None
    at: float


class RequestLimits:
    """Latest observations of one kind of limit, by incarnation of the upstreams that named one.

    Examples
    --------
    >>> limits = RequestLimits()
    >>> upstream = identities.Incarnation("i-1", 1)
    >>> limits.record(upstream, 2.5, sent_at=9.9, now=10.0), limits.per_second(upstream)
    (True, 2.5)
    >>> limits.record(upstream, None, sent_at=9.95, now=10.1), limits.per_second(upstream)
    (False, 2.5)
    >>> limits.record(upstream, None, sent_at=10.2, now=10.3), limits.per_second(upstream)
    (True, None)
    """

    __slots__ = ("_observed", "_closed_until")

    def __init__(self) -> None:
        self._observed: dict[identities.Incarnation, ObservedLimit] = {}
        self._closed_until: dict[identities.Incarnation, float] = {}

    def record(
        self,
        upstream: identities.Incarnation,
        per_second: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record an answer to a request that was sent at `sent_at`; return whether it is new.

        An answer without a limit may have overtaken, or been overtaken by, one that names it. It
        ends a limit only if its request was sent after the last answer that named one.
        """
        known = self._observed.get(upstream)
        if per_second is None:
            if known is None or known.per_second is None or sent_at <= known.at:
                return False
            self._observed[upstream] = ObservedLimit(None, now)
            self._closed_until.pop(upstream, None)
            return True
        rate = max(MIN_RATE, per_second)
        self._observed[upstream] = ObservedLimit(rate, now)
        return known is None or known.per_second != rate

    def adopt(self, upstream: identities.Incarnation, observed: ObservedLimit) -> bool:
        """Take what another VM observed if it is later; return whether it is new."""
        known = self._observed.get(upstream)
        if known is not None and known.at >= observed.at:
            return False
        if known is None and observed.per_second is None:
            return False
        self._observed[upstream] = observed
        if observed.per_second is None:
            self._closed_until.pop(upstream, None)
        return known is None or known.per_second != observed.per_second

    def per_second(self, upstream: identities.Incarnation) -> float | None:
        """Return the limit of an upstream, None if it has none."""
        observed = self._observed.get(upstream)
        return None if observed is None else observed.per_second

    def observations(self) -> Iterator[tuple[identities.Incarnation, ObservedLimit]]:
        """Yield what is known of the upstreams that have named a limit."""
        yield from self._observed.items()

    def close(self, upstream: identities.Incarnation, until: float) -> None:
        """Send nothing to an upstream before a time, as a permit was denied."""
        self._closed_until[upstream] = until

    def closed_until(self, upstream: identities.Incarnation) -> float:
        """Return until when nothing may be sent to an upstream, minus infinity if it is open."""
        return self._closed_until.get(upstream, -math.inf)

    def any_closed(self) -> bool:
        """Return whether some upstream was closed."""
        return bool(self._closed_until)

    def forget(self, now: float) -> None:
        """Forget limits that have not been observed for long, and closings that are over."""
        for upstream, observed in list(self._observed.items()):
            if now - observed.at > RETENTION_SECONDS:
                del self._observed[upstream]
        for upstream, until in list(self._closed_until.items()):
            if now >= until:
                del self._closed_until[upstream]
