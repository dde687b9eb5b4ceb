"""Whether the store is away, as far as the VMs tell each other.

It may not answer a VM that has just started, that made too many calls or whose path to it is cut.
Only that it does not answer half of the VMs shows that it is away for the upstreams too.
"""

from __future__ import annotations

import math

RECENT_SECONDS = 1.5
"""Time after an outage within which every VM has learned of entries that expired during it."""


class StoreOutages:
    """Times at which the store did not answer half of the VMs or more.

    Examples
    --------
    >>> outages = StoreOutages()
    >>> outages.observe(unanswered=1, vms=9, now=10.0), outages.is_recent(10.0)
    (False, False)
    >>> outages.observe(unanswered=9, vms=9, now=10.0), outages.is_recent(11.0)
    (True, True)
    """

    __slots__ = ("_seen_at",)

    def __init__(self) -> None:
        self._seen_at = -math.inf

    def observe(self, unanswered: int, vms: int, now: float) -> bool:
        """Record how many of the VMs the store does not answer; return whether it is away."""
        is_away = 2 * unanswered >= vms
        if is_away:
            self._seen_at = now
        return is_away

    def is_recent(self, now: float) -> bool:
        """Return whether upstreams may still have no entries as the store was away."""
        return now - self._seen_at < RECENT_SECONDS
