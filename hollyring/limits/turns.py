"""Order in which connections whose input costs much time have their turn, one after the other."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class Turns(Generic[ConnectionT]):
    """Connections that wait for their turn.

    Examples
    --------
    >>> turns = Turns()
    >>> turns.wait("first"), turns.wait("second"), turns.wait("first")
    (None, None, None)
    >>> turns.leave("second")
    >>> turns.next(), turns.next()
    ('first', None)
    """

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: dict[ConnectionT, None] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def wait(self, connection: ConnectionT) -> None:
        """Let a connection wait behind all others; one that waits already keeps its place."""
        self._waiting.setdefault(connection, None)

    def next(self) -> ConnectionT | None:
        """Remove and return the connection whose turn it is, None if none waits."""
        if not self._waiting:
            return None
        connection = next(iter(self._waiting))
        del self._waiting[connection]
        return connection

    def leave(self, connection: ConnectionT) -> None:
        """Let a connection wait no longer."""
        self._waiting.pop(connection, None)
