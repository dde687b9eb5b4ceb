"""Attempts of one request that are in progress: one, or several while the others are silent.

An upstream that falls silent may go on, so its attempt stays open while another one is made. The
first attempt that has something for the caller takes over the response, and the others are closed.
A VM that falls silent may go on, too, but it was granted all runs that the request has left, so its
attempt ends when another one can be made.
`delivery.overlap` decides how long the attempts of a stream stay open beside each other.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import anyio
import anyio.abc

from hollyring.delivery import event_stream, overlap
from hollyring.membership import heartbeat
from hollyring.node import clock, errors, request_context
from hollyring.routing import selection

LOOK_AGAIN_SECONDS = 0.25
"""Interval at which a request whose upstreams are silent looks for another one."""


Place = selection.Selection | heartbeat.VmInfo
"""Where an attempt is made: at an upstream, or at a VM that selects one."""


class SupersededError(errors.VmError):
    """Another attempt has taken over the response."""


class OpenAttempt:
    """One attempt in progress.

    Parameters
    ----------
    attempts
        All attempts in progress of the same request.
    place
        The upstream that was selected, or the VM that the request is forwarded to.

    Attributes
    ----------
    scope
        Ends the attempt when cancelled.
    outcome, error
        How it finished: with an outcome or an exception.
    events
        Events of its stream, None before the head of a stream.
    sent
        Whether the request may have been written.
    sent_at
        Time at which an upstream got the request, as far as is known; None before.
    silent
        Whether its upstream or VM has sent nothing for so long that another one may be tried.
    replaceable
        Ends the wait for a silent VM when cancelled, None if the attempt may stay beside another.
    wait
        Number of the wait for the next part of the response; another one while none is awaited.
    """

    __slots__ = (
        "_attempts",
        "place",
        "scope",
        "outcome",
        "error",
        "events",
        "sent",
        "sent_at",
        "silent",
        "replaceable",
        "wait",
    )

    def __init__(self, attempts: OpenAttempts, place: Place) -> None:
        self._attempts = attempts
        self.place = place
        self.scope = anyio.CancelScope()
        self.outcome: request_context.Outcome | None = None
        self.error: Exception | None = None
        self.events: event_stream.EventStream | None = None
        self.sent = False
        self.sent_at: float | None = None
        self.silent = False
        self.replaceable: anyio.CancelScope | None = None
        self.wait = 0

    @property
    def selected(self) -> selection.Selection:
        """The upstream of an attempt that this VM makes."""
        assert isinstance(self.place, selection.Selection)
        return self.place

    @property
    def target(self) -> heartbeat.VmInfo:
        """The VM of an attempt that is forwarded."""
        assert isinstance(self.place, heartbeat.VmInfo)
        return self.place

    @property
    def where(self) -> str:
        """Name of the upstream or VM."""
        match self.place:
            case selection.Selection(upstream=upstream):
                return upstream.name
            case vm:
                return vm.name

    @property
    def has_others(self) -> bool:
        """Whether another attempt of the request is in progress."""
        return len(self._attempts.open) > 1

    def start_soon(self, task: Callable[..., Coroutine[Any, Any, None]], *args: object) -> None:
        """Run a task beside the attempt, until the request ends at the latest."""
        self._attempts.start_soon(task, *args)

    def begin_send(self) -> None:
        """Record that the request may be written from now on.

        Raises
        ------
        SupersededError
            If the attempt was closed, which counts as not sent; its task may run on until it waits.
        """
        if self not in self._attempts.open:
            raise SupersededError("another attempt has taken over")
        self.sent = True

    def record_sent(self, at: float) -> None:
        """Record that an upstream got the request at time `at`."""
        self.sent = True
        self.sent_at = at
        self._attempts.notify()

    def begin_wait(self) -> None:
        """Record that the next part of the response is awaited."""
        self.wait += 1

    def end_wait(self) -> None:
        """Record that the awaited part has arrived, so that the upstream is not silent."""
        self.wait += 1
        self.silent = False
        self.replaceable = None

    def record_silence(self, replaceable: anyio.CancelScope | None = None) -> None:
        """Record that nothing has arrived for so long that another attempt may be made.

        Parameters
        ----------
        replaceable
            Scope of the wait, which is cancelled before another attempt is made; None for an
            attempt that stays open beside another one.
        """
        self.silent = True
        self.replaceable = replaceable
        self._attempts.notify()

    def take_over(self) -> None:
        """Close the other attempts; from now on, only this one may write to the caller.

        Raises
        ------
        SupersededError
            If another attempt has taken over before.
        """
        self._attempts.take_over(self)


class OpenAttempts:
    """The attempts in progress of one request.

    Parameters
    ----------
    task_group
        Runs the attempts.
    on_superseded
        Called for each attempt that is closed since another one has taken over.
    streaming
        Whether the request is one for a stream, so that its attempts overlap for a bounded time.
    """

    __slots__ = (
        "_task_group",
        "_on_superseded",
        "_streaming",
        "_finished",
        "_changed",
        "_look_again_at",
        "open",
    )

    def __init__(
        self,
        task_group: anyio.abc.TaskGroup,
        on_superseded: Callable[[OpenAttempt], None],
        streaming: bool,
    ) -> None:
        self._task_group = task_group
        self._on_superseded = on_superseded
        self._streaming = streaming
        self._finished: collections.deque[OpenAttempt] = collections.deque()
        self._changed = anyio.Event()
        self._look_again_at = -math.inf
        self.open: list[OpenAttempt] = []

    @property
    def all_silent(self) -> bool:
        """Whether attempts are in progress, and all their upstreams are silent."""
        return not self._finished and all(attempt.silent for attempt in self.open)

    @property
    def replaceable(self) -> list[OpenAttempt]:
        """The silent attempts that have to end before another one is made."""
        return [attempt for attempt in self.open if attempt.replaceable is not None]

    def end_replaceable(self) -> None:
        """End the silent attempts that another one replaces; they finish as failed."""
        for attempt in self.replaceable:
            assert attempt.replaceable is not None
            attempt.replaceable.cancel()

    def start(
        self,
        place: Place,
        run: Callable[[OpenAttempt], Awaitable[request_context.Outcome]],
    ) -> None:
        """Start an attempt at an upstream or through another VM."""
        attempt = OpenAttempt(self, place)
        self.open.append(attempt)
        self._task_group.start_soon(self._run, attempt, run)

    async def next_finished(self) -> OpenAttempt | None:
        """Wait for an attempt to finish and return it; None if all are silent, every so often."""
        while not self._finished:
            now = clock.now()
            wake_at = self._end_overlap(now)
            if self.all_silent:
                if now >= self._look_again_at:
                    self._look_again_at = now + LOOK_AGAIN_SECONDS
                    return None
                wake_at = min(wake_at, self._look_again_at)
            self._changed = anyio.Event()
            with anyio.move_on_after(wake_at - now):
                await self._changed.wait()
        return self._finished.popleft()

    def take_over(self, attempt: OpenAttempt) -> None:
        """Close all attempts but one.

        Raises
        ------
        SupersededError
            If that one is closed already.
        """
        if attempt not in self.open:
            raise SupersededError("another attempt has taken over")
        attempt.silent = False
        self._close([other for other in self.open if other is not attempt])

    def start_soon(self, task: Callable[..., Coroutine[Any, Any, None]], *args: object) -> None:
        """Run a task until the request ends at the latest."""
        self._task_group.start_soon(task, *args)

    def notify(self) -> None:
        """Wake up `next_finished`."""
        self._changed.set()

    def _end_overlap(self, now: float) -> float:
        """Close the attempts whose overlap has ended, and return when that of others ends."""
        if not self._streaming:
            return math.inf
        while True:
            facts = [overlap.Attempt(attempt.sent_at, attempt.silent) for attempt in self.open]
            judged = overlap.judge(facts)
            if now < judged.ends_at:
                return judged.ends_at
            self._close([self.open[position] for position in judged.closed])

    def _close(self, attempts: list[OpenAttempt]) -> None:
        self.open = [attempt for attempt in self.open if attempt not in attempts]
        for attempt in attempts:
            attempt.scope.cancel()
            self._on_superseded(attempt)

    async def _run(
        self,
        attempt: OpenAttempt,
        run: Callable[[OpenAttempt], Awaitable[request_context.Outcome]],
    ) -> None:
        with attempt.scope:
            try:
                attempt.outcome = await run(attempt)
            except Exception as error:  # raised where the request waits for its attempts
                attempt.error = error
        if attempt in self.open:
            self.open.remove(attempt)
            self._finished.append(attempt)
            self.notify()
