"""Connections that may be open at one address, and which of them is closed for another one.

A client that opens connections and sends nothing whole on them would otherwise keep all others
out. Which clients are behind an address is not looked at, as many callers may share one.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Hashable
from typing import Generic, TypeVar

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The connection stays open."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedInstead(Generic[ConnectionT]):
    """The connection stays open, and `closed` has to be closed for it."""

    closed: ConnectionT


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Each connection that is open carries a whole request, so this one is refused."""


Admission = Admitted | AdmittedInstead[ConnectionT] | Refused


class ConnectionSlots(Generic[ConnectionT]):
    """Open connections of one address, by what they carry.

    Parameters
    ----------
    limit
        Most connections.

    Examples
    --------
    >>> slots = ConnectionSlots(limit=2)
    >>> slots.open("first"), slots.open("second")
    (Admitted(), Admitted())
    >>> slots.carries_request("first")
    >>> slots.open("third")
    AdmittedInstead(closed='second')
    >>> slots.carries_request("third")
    >>> slots.open("fourth")
    Refused()
    """

    __slots__ = (
        "_limit",
        "_closing",
        "_unproved",
        "_unread",
        "_idle",
        "_reading",
        "_busy",
        "_closed_for_others",
    )

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._closing: dict[ConnectionT, None] = {}
        self._unproved: dict[ConnectionT, None] = {}
        self._unread: dict[ConnectionT, None] = {}
        self._idle: dict[ConnectionT, None] = {}
        self._reading: dict[ConnectionT, None] = {}
        self._busy: dict[ConnectionT, None] = {}
        self._closed_for_others = 0

    def __len__(self) -> int:
        return sum(len(group) for group in self._groups)

    @property
    def limit(self) -> int:
        """Most connections."""
        return self._limit

    @property
    def closed_for_others(self) -> int:
        """Number of connections since the start that were closed for another one."""
        return self._closed_for_others

    @property
    def _groups(self) -> tuple[dict[ConnectionT, None], ...]:
        return (*self._evictable_groups, self._unread, self._busy)

    @property
    def _evictable_groups(self) -> tuple[dict[ConnectionT, None], ...]:
        return self._closing, self._unproved, self._idle, self._reading

    def open(self, connection: ConnectionT, unread: bool = False) -> Admission[ConnectionT]:
        """Decide whether a new connection stays open, and which one is closed for it.

        First those that are being closed anyway go, then those that have never carried a whole head
        of a request, those that carry none now, and those whose request is not read whole and so
        has not run; of each the one that has been so for longest.

        Parameters
        ----------
        unread
            Whether what the client sent already is read a little later; until `had_turn` the
            connection is not closed for another one.
        """
        group = self._unread if unread else self._unproved
        if len(self) < self._limit:
            group[connection] = None
            return Admitted()
        for evictable in self._evictable_groups:
            if evictable:
                closed = next(iter(evictable))
                del evictable[closed]
                self._closed_for_others += 1
                group[connection] = None
                return AdmittedInstead(closed)
        return Refused()

    def had_turn(self, connection: ConnectionT) -> None:
        """Record that whatever a client sent before its connection was accepted was read."""
        if connection in self._unread:
            self._move(connection, self._unproved)

    def reads_body(self, connection: ConnectionT) -> None:
        """Record that the head of a request was read whole, unless another one is answered."""
        if connection not in self._busy:
            self._move(connection, self._reading)

    def carries_request(self, connection: ConnectionT) -> None:
        """Record that a request was read whole."""
        self._move(connection, self._busy)

    def becomes_idle(self, connection: ConnectionT) -> None:
        """Record that each request that was read is answered."""
        self._move(connection, self._idle)

    def is_closing(self, connection: ConnectionT) -> None:
        """Record that the connection is closed once its client has read what was written."""
        self._move(connection, self._closing)

    def close(self, connection: ConnectionT) -> None:
        """Forget a connection that was closed or refused."""
        for group in self._groups:
            group.pop(connection, None)

    def _move(self, connection: ConnectionT, to: dict[ConnectionT, None]) -> None:
        if not any(connection in group for group in self._groups):
            return
        self.close(connection)
        to[connection] = None


def shared_limit(descriptors: int, share: float, least: int, most: int) -> int:
    """Return how many connections an address may have of the descriptors that sockets can take.

    Examples
    --------
    >>> shared_limit(3_900, 0.6, 64, 3_000), shared_limit(20, 0.6, 64, 3_000)
    (2340, 64)
    """
    return max(least, min(most, int(share * descriptors)))
