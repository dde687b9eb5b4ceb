"""Whether the store is away, as far as the VMs tell each other.

It may not answer a VM that has just started, that made too many calls or whose path to it is cut,
and it may cut a call of each VM at once. Only that it does not answer most VMs for a while shows
that it is away for the upstreams too.
"""

from __future__ import annotations

import math

RECENT_SECONDS = 1.5
"""Time after an outage within which every VM has learned of entries that expired during it."""

SHORTEST_SECONDS = 0.4
"""Shortest time without answers that counts as an outage; calls that are cut are repeated sooner.

No entry expires so soon, as an upstream writes its own several times before.
"""


class StoreOutages:
    """Times at which the store had not answered most VMs for a while.

    Examples
    --------
    >>> outages = StoreOutages()
    >>> outages.observe(unanswered=4, vms=9, now=10.0), outages.observe(4, 9, now=11.0)
    (False, False)
    >>> outages.observe(unanswered=9, vms=9, now=12.0), outages.is_recent(12.0)
    (False, False)
    >>> outages.observe(unanswered=9, vms=9, now=13.0), outages.is_recent(14.0)
    (True, True)
    """

    __slots__ = ("_began_at", "_unanswered_at", "_seen_at")

    def __init__(self) -> None:
        self._began_at = -math.inf
        self._unanswered_at = -math.inf
        self._seen_at = -math.inf

    def observe(self, unanswered: int, vms: int, now: float) -> bool:
        """Record how many of the VMs the store does not answer; return whether it is away."""
        if 2 * unanswered <= vms:
            return False
        if now - self._unanswered_at > RECENT_SECONDS:
            self._began_at = now
        self._unanswered_at = now
        if now - self._began_at < SHORTEST_SECONDS:
            return False
        self._seen_at = now
        return True

    def is_recent(self, now: float) -> bool:
        """Return whether upstreams may still have no entries as the store was away."""
        return now - self._seen_at < RECENT_SECONDS
