"""A part of the VM: a task that owns its state and takes typed messages from an inbox."""

from __future__ import annotations

import time
from typing import Any, Generic, TypeVar

import anyio

from hollyring.node import errors

MAX_INBOX_MESSAGES = 10_000
"""A part with a longer inbox is overloaded and refuses more."""

MAX_MESSAGES_PER_TURN = 64
"""Messages taken without letting other tasks run."""

Reply = TypeVar("Reply")


class OverloadedError(errors.VmError):
    """A part's inbox is full."""


class PendingReply(Generic[Reply]):
    """Where the asker of a question waits for its answer."""

    __slots__ = ("_event", "_value")

    def __init__(self) -> None:
        self._event = anyio.Event()
        self._value: Reply | None = None

    @property
    def done(self) -> bool:
        """Whether an answer was given."""
        return self._event.is_set()

    def set(self, value: Reply) -> None:
        """Give the answer; only the first one counts."""
        if self._event.is_set():
            return
        self._value = value
        self._event.set()

    async def wait(self) -> Reply:
        """Return the answer once it is given."""
        await self._event.wait()
        return self._value  # type: ignore[return-value]


_WAKE = object()
"""Makes a sleeping part look at its time again."""


class Actor:
    """Base of the parts. A subclass handles messages one at a time and ticks.

    A message is taken in the teller's task when the part is idle, which saves two turns of the
    event loop for each question; never while another message is being taken.

    Parameters
    ----------
    tick_seconds
        Time between two calls of `tick`, unless `due` says otherwise.
    """

    def __init__(self, tick_seconds: float) -> None:
        self._tick_seconds = tick_seconds
        self._ticked = self.now
        self._handling = False
        self._sleeps_until = 0.0
        sender, receiver = anyio.create_memory_object_stream[Any](MAX_INBOX_MESSAGES)
        self._sender = sender
        self._receiver = receiver

    @property
    def now(self) -> float:
        """Seconds of the monotonic clock."""
        return time.monotonic()

    def post(self, message: object) -> None:
        """Give the part a message, which it takes at once if it has no other to take before.

        Raises
        ------
        OverloadedError
            If the inbox is full.
        """
        if not self._handling and not self._receiver.statistics().current_buffer_used:
            self._take(message)
            if self.due() < self._sleeps_until:
                self._queue(_WAKE)
            return
        self._queue(message)

    def _queue(self, message: object) -> None:
        try:
            self._sender.send_nowait(message)
        except anyio.WouldBlock as error:
            raise OverloadedError(type(self).__name__) from error

    async def run(self) -> None:
        """Handle messages and tick until cancelled."""
        while True:
            self._sleeps_until = self.due()
            with anyio.move_on_after(max(0.0, self._sleeps_until - self.now)):
                self._take(await self._receiver.receive())
                self._drain()
            if self.now >= self.due():
                self._ticked = self.now
                self._tick()

    def due(self) -> float:
        """Return when `tick` is to be called next; a subclass may know of less or more to do."""
        return self._ticked + self._tick_seconds

    def handle(self, message: Any) -> None:
        """Take one message."""
        raise NotImplementedError

    def tick(self) -> None:
        """Do what is due."""

    def dump(self) -> dict[str, Any]:
        """Return the part's state without secrets."""
        return {}

    def _drain(self) -> None:
        for _ in range(MAX_MESSAGES_PER_TURN):
            try:
                message = self._receiver.receive_nowait()
            except anyio.WouldBlock:
                return
            self._take(message)

    def _take(self, message: object) -> None:
        if message is _WAKE:
            return
        self._handling = True
        try:
            self.handle(message)
        finally:
            self._handling = False

    def _tick(self) -> None:
        self._handling = True
        try:
            self.tick()
        finally:
            self._handling = False
