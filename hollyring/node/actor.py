"""Actors: tasks that own their state and handle typed messages from an inbox one at a time."""

from __future__ import annotations

import time
from typing import Any, Generic, TypeVar

import anyio

from hollyring.node import errors

MAX_INBOX_MESSAGES = 10_000
"""Capacity of an inbox; `Actor.post` raises `OverloadedError` while the inbox is full."""

MAX_MESSAGES_PER_TURN = 64
"""Most queued messages handled, after the one waited for, before other tasks get to run."""

ReplyT = TypeVar("ReplyT")


class OverloadedError(errors.VmError):
    """The inbox of an actor is full."""


class PendingReply(Generic[ReplyT]):
    """Reply to a message, which the sender of the message awaits."""

    __slots__ = ("_event", "_value")

    def __init__(self) -> None:
        self._event = anyio.Event()
        self._value: ReplyT | None = None

    @property
    def done(self) -> bool:
        """Whether the reply is set."""
        return self._event.is_set()

    def set(self, value: ReplyT) -> None:
        """Set the reply; further calls have no effect."""
        if self._event.is_set():
            return
        self._value = value
        self._event.set()

    async def wait(self) -> ReplyT:
        """Wait until the reply is set and return it."""
        await self._event.wait()
        return self._value  # type: ignore[return-value]


_WAKE = object()
"""Message that makes a sleeping actor compute the time of its next tick again."""


class Actor:
    """Base class of actors, whose subclasses implement `handle` and `tick`.

    If the actor is idle, a message is handled in the task of its sender, which saves two turns of
    the event loop for each request and reply. Two messages are never handled at the same time.

    Parameters
    ----------
    tick_seconds
        Time between two calls of `tick`, unless a subclass overrides `next_tick_at`.
    """

    def __init__(self, tick_seconds: float) -> None:
        self._tick_seconds = tick_seconds
        self._last_tick_at = self.now
        self._processing = False
        self._wake_at = 0.0
        sender, receiver = anyio.create_memory_object_stream[Any](MAX_INBOX_MESSAGES)
        self._sender = sender
        self._receiver = receiver

    @property
    def now(self) -> float:
        """Current time of the monotonic clock, in seconds."""
        return time.monotonic()

    def post(self, message: object) -> None:
        """Send a message to the actor; it is handled at once if the actor is idle.

        Raises
        ------
        OverloadedError
            If the inbox is full.
        """
        if not self._processing and not self._receiver.statistics().current_buffer_used:
            self._process(message)
            if self.next_tick_at() < self._wake_at:
                self._enqueue(_WAKE)
            return
        self._enqueue(message)

    def _enqueue(self, message: object) -> None:
        try:
            self._sender.send_nowait(message)
        except anyio.WouldBlock as error:
            raise OverloadedError(type(self).__name__) from error

    async def run(self) -> None:
        """Handle messages and tick until cancelled."""
        while True:
            self._wake_at = self.next_tick_at()
            with anyio.move_on_after(max(0.0, self._wake_at - self.now)):
                self._process(await self._receiver.receive())
                self._drain()
            if self.now >= self.next_tick_at():
                self._last_tick_at = self.now
                self._tick()

    def next_tick_at(self) -> float:
        """Return the monotonic time of the next call of `tick`."""
        return self._last_tick_at + self._tick_seconds

    def handle(self, message: Any) -> None:
        """Handle one message."""
        raise NotImplementedError

    def tick(self) -> None:
        """Do periodic work."""

    def dump(self) -> dict[str, Any]:
        """Return the state of the actor without secrets."""
        return {}

    def _drain(self) -> None:
        for _ in range(MAX_MESSAGES_PER_TURN):
            try:
                message = self._receiver.receive_nowait()
            except anyio.WouldBlock:
                return
            self._process(message)

    def _process(self, message: object) -> None:
        if message is _WAKE:
            return
        self._processing = True
        try:
            self.handle(message)
        finally:
            self._processing = False

    def _tick(self) -> None:
        self._processing = True
        try:
            self.tick()
        finally:
            self._processing = False
