"""Upstreams that have announced that they leave, by name and incarnation.

An announcement is final: an upstream that leaves ends its process, and its next start has another
incarnation number. No entry can therefore undo an announcement but one of a later incarnation.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

RETENTION_SECONDS = 60.0
"""Time for which an announcement holds after the removal of the upstream's entry.

An upstream goes on serving for some time after that, and an outdated entry may bring it back.
"""


@dataclasses.dataclass(slots=True)
class _Departure:
    life: int
    registered_at: float


class Departures:
    """Announcements of upstreams that they leave; the latest incarnation of each name counts."""

    __slots__ = ("_by_name",)

    def __init__(self) -> None:
        self._by_name: dict[str, _Departure] = {}

    def record(self, name: str, life: int, now: float) -> bool:
        """Record an announcement; return whether it is new."""
        if self.covers(name, life):
            return False
        self._by_name[name] = _Departure(life, now)
        return True

    def covers(self, name: str, life: int) -> bool:
        """Return whether an incarnation of an upstream, or a later one, has announced to leave."""
        departure = self._by_name.get(name)
        return departure is not None and life <= departure.life

    def discard(self, name: str) -> None:
        """Forget the announcement of an upstream."""
        self._by_name.pop(name, None)

    def forget(self, registered: Collection[str], now: float) -> None:
        """Forget the announcements of upstreams that are not registered any more.

        Parameters
        ----------
        registered
            Names of the upstreams that have an entry.
        """
        for name, departure in list(self._by_name.items()):
            if name in registered:
                departure.registered_at = now
            elif now - departure.registered_at > RETENTION_SECONDS:
                del self._by_name[name]
