"""Turns of connections whose input costs much time: one of them is read in each round of the loop.

In each round the event loop reads from every connection that has data. A crowd whose input is
costly would keep all others waiting in each round. So each of its connections is not read again
until those before it had their turn.
"""

from __future__ import annotations

import asyncio
import typing

from hollyring.limits import turns


class Turn(typing.Protocol):
    """Connection whose reading can be held back."""

    def __hash__(self) -> int:
        """Return the hash of its identity."""

    def hold_reading(self) -> None:
        """Read nothing until `release_reading`."""

    def release_reading(self) -> None:
        """Read again, unless something else forbids it."""


class InputTurns:
    """Connections that wait for their turn in one event loop."""

    __slots__ = ("_turns", "_is_scheduled")

    def __init__(self) -> None:
        self._turns: turns.Turns[Turn] = turns.Turns()
        self._is_scheduled = False

    def wait(self, connection: Turn) -> None:
        """Do not read from a connection until those that wait before it had their turn."""
        connection.hold_reading()
        self._turns.wait(connection)
        self._schedule()

    def leave(self, connection: Turn) -> None:
        """Forget a connection that is being closed."""
        self._turns.leave(connection)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._give_next)

    def _give_next(self) -> None:
        self._is_scheduled = False
        connection = self._turns.next()
        if connection is not None:
            connection.release_reading()
        if self._turns:
            self._schedule()
