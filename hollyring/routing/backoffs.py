"""Backoffs: times for which upstreams have asked this VM to send them nothing."""

from __future__ import annotations

import math

from hollyring.core import identities

MAX_BACKOFF_SECONDS = 120.0
"""Longest backoff; an upstream that gives milliseconds for seconds must not be lost for an hour."""


class Backoffs:
    """Ends of the backoffs by incarnation of the upstream.

    A backoff outlasts the removal of the upstream's entry, and does not apply to the next
    incarnation.

    Examples
    --------
    >>> backoffs = Backoffs()
    >>> upstream = identities.Incarnation("i-1", 1)
    >>> backoffs.extend(upstream, 3.0, now=10.0)
    13.0
    >>> backoffs.is_active(upstream, 12.9), backoffs.is_active(upstream, 13.0)
    (True, False)
    """

    __slots__ = ("_ends", "_latest_end")

    def __init__(self) -> None:
        self._ends: dict[identities.Incarnation, float] = {}
        self._latest_end = -math.inf

    def any_active(self, now: float) -> bool:
        """Return whether nothing may be sent to some upstream."""
        return now < self._latest_end

    def extend(self, upstream: identities.Incarnation, seconds: float, now: float) -> float:
        """Begin or extend a backoff, which never becomes shorter; return its end.

        Parameters
        ----------
        seconds
            Time that the upstream asks for, limited to `MAX_BACKOFF_SECONDS`.
        """
        self._ends = {other: end for other, end in self._ends.items() if end > now}
        end = max(self.end(upstream), now + min(seconds, MAX_BACKOFF_SECONDS))
        self._ends[upstream] = end
        self._latest_end = max(self._latest_end, end)
        return end

    def end(self, upstream: identities.Incarnation) -> float:
        """Return the end of an upstream's last backoff, minus infinity if none is known."""
        return self._ends.get(upstream, -math.inf)

    def is_active(self, upstream: identities.Incarnation, now: float) -> bool:
        """Return whether nothing may be sent to an upstream."""
        return now < self.end(upstream)
