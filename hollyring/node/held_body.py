"""Body of a response that has arrived in part, within the bytes that this VM may hold."""

from __future__ import annotations

import asyncio
import typing
from collections.abc import Callable

from hollyring.limits import byte_budget

ROOM_SECONDS = 1.0
"""Time for which a long answer without a declared length may keep others waiting for room."""


class Flow(typing.Protocol):
    """Connection whose reading can be paused."""

    def pause_reading(self) -> None:
        """Stop reading from the socket."""

    def resume_reading(self) -> None:
        """Resume reading from the socket."""


class HeldBody:
    """Bytes of a body that were received and not passed on, charged to a budget.

    Parameters
    ----------
    flow
        Connection that the body arrives on; it is not read while the body waits for room.
    budget
        Bytes that this VM may hold.
    kind
        What the body is read for.
    max_bytes
        Longest body that is held whole; by default that of an answer to a caller.
    on_room
        Called once reading goes on after a wait for room.
    on_evicted
        Called to end the response for the sake of others.

    Attributes
    ----------
    declared_bytes
        Length that the response declares, None if it declares none.
    """

    __slots__ = (
        "_flow",
        "_holding",
        "_max_bytes",
        "_on_room",
        "_on_evicted",
        "_buffer",
        "_waits_for_room",
        "_timer",
        "_kept",
        "declared_bytes",
    )

    def __init__(
        self,
        flow: Flow,
        budget: byte_budget.ByteBudget,
        kind: byte_budget.Kind,
        max_bytes: int | None,
        on_room: Callable[[], None],
        on_evicted: Callable[[], None],
    ) -> None:
        self._flow = flow
        self._holding = budget.open(kind, on_evicted)
        self._max_bytes = budget.max_answer_bytes if max_bytes is None else max_bytes
        self._on_room = on_room
        self._on_evicted = on_evicted
        self._buffer = bytearray()
        self._waits_for_room = False
        self._timer: asyncio.TimerHandle | None = None
        self._kept = 0
        self.declared_bytes: int | None = None

    @property
    def size(self) -> int:
        """Bytes that are held."""
        return len(self._buffer)

    @property
    def max_bytes(self) -> int:
        """Longest body that is held whole."""
        return self._max_bytes

    @property
    def waits_for_room(self) -> bool:
        """Whether nothing more is read until there is room."""
        return self._waits_for_room

    @property
    def has_room(self) -> bool:
        """Whether room for more than is held was reserved."""
        return self._holding.reserved > self.size

    @property
    def is_too_long(self) -> bool:
        """Whether the body is, or declares to be, longer than what is held whole."""
        return max(self.size, self.declared_bytes or 0) > self._max_bytes

    def declare(self, size: int | None) -> None:
        """Record the length that the head of the response declares, if it does."""
        self.declared_bytes = size
        self._holding.declared = size is not None

    def add(self, data: bytes) -> bool:
        """Append a part, and return whether there was room for it."""
        self._buffer += data
        return self._holding.take(len(data))

    def make_room(self) -> None:
        """Reserve room for the body as a whole, or wait for it, with the connection unread."""
        if self._waits_for_room:
            return
        if self.declared_bytes is None:
            self._grow()
        elif self.declared_bytes > byte_budget.SHORT_BYTES and not self._holding.reserved:
            self._reserve(self.declared_bytes)

    def take(self) -> bytes:
        """Return and forget the bytes, which stay charged until `close`."""
        data = bytes(self._buffer)
        self._buffer = bytearray()
        return data

    def pass_on(self) -> bytes:
        """Return and forget the bytes, which are charged no longer."""
        data = self.take()
        self._holding.give_back(len(data))
        return data

    def keep(self, size: int) -> bool:
        """Charge the `size` bytes passed on that the reader keeps; return False without room."""
        growth = size - self._kept
        self._kept = size
        if growth > 0:
            return self._holding.take(growth)
        if growth < 0:
            self._holding.give_back(-growth)
        return True

    def settle(self) -> None:
        """Record that nothing more will arrive."""
        self._stop_waiting()
        self._holding.settle()

    def close(self) -> None:
        """Forget the bytes, charge nothing and wait no longer."""
        self._stop_waiting()
        self._buffer = bytearray()
        self._holding.close()

    def _reserve(self, size: int) -> None:
        if not self._holding.try_reserve(size):
            self._wait_unread()
            self._holding.await_room(size, self._read_on)

    def _grow(self) -> None:
        """Reserve one step more once a long body has used what was reserved."""
        if self.size <= byte_budget.SHORT_BYTES or self.has_room:
            return
        if self._timer is None:
            self._limit_time()
        if not self._holding.try_grow(self._max_bytes):
            self._wait_unread()
            self._holding.await_growth(self._max_bytes, self._read_on)

    def _wait_unread(self) -> None:
        self._waits_for_room = True
        self._flow.pause_reading()

    def _read_on(self) -> None:
        self._waits_for_room = False
        self._flow.resume_reading()
        self._on_room()

    def _limit_time(self) -> None:
        """End the response if it keeps others waiting for long, as it may have no end."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(ROOM_SECONDS, self._check_time)

    def _check_time(self) -> None:
        if self._holding.keeps_others_waiting:
            self._on_evicted()
        else:
            self._limit_time()

    def _stop_waiting(self) -> None:
        self._waits_for_room = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
