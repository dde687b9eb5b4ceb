"""Writing of one attempt's answer to the caller, whether an upstream or another VM sent it."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

import anyio

from hollyring.core import request_types
from hollyring.delivery import answers, event_stream, stream_origins
from hollyring.node import clock, metrics, open_attempts, request_context, responses, state
from hollyring.routing import selection

HTTP_SERVER_ERROR = 500

MIN_WRITE_SECONDS = 1.0
"""Time that a caller has at least to read a whole answer, however late that came."""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Head of an answer, as it is passed on.

    Parameters
    ----------
    framing
        How the answer states where it ends.
    software
        Software version of the upstream that sent it.
    """

    status: int
    headers: Sequence[request_types.Header]
    framing: answers.Framing
    software: str

    @property
    def states_end(self) -> bool:
        """Whether the answer states where it ends."""
        return answers.judge_body_end(self.framing).is_proved


class AnswerWriter:
    """Lets an attempt take over the response to a request, and writes its answer.

    Parameters
    ----------
    context
        The request.
    attempt
        The attempt that has the answer.
    head
        Head of the answer.
    vm_state
        Learns where streams began.
    counters
        Metrics of this process.
    """

    __slots__ = ("_context", "_attempt", "_head", "_state", "_metrics", "_stream")

    def __init__(
        self,
        context: request_context.RequestContext,
        attempt: open_attempts.OpenAttempt,
        head: Head,
        vm_state: state.State,
        counters: metrics.Metrics,
    ) -> None:
        self._context = context
        self._attempt = attempt
        self._head = head
        self._state = vm_state
        self._metrics = counters
        self._stream: event_stream.EventStream | None = None

    @property
    def states_end(self) -> bool:
        """Whether the answer states where it ends."""
        return self._head.states_end

    @property
    def may_send(self) -> bool:
        """Whether the answer may be sent whole, and not that of another attempt instead.

        The head of a stream that the caller has can be continued by another stream only.
        """
        context = self._context
        if context.response.started:
            return False
        if self._head.status < HTTP_SERVER_ERROR:
            return True
        return not (context.retry_state.may_run_elsewhere or self._attempt.has_others)

    async def send(self, body: bytes) -> None:
        """Send a whole answer.

        Raises
        ------
        SupersededError
            If another attempt has taken over before.
        IncompleteResponseError
            If the caller has not read the answer by its deadline; this VM keeps it no longer.
        """
        self.take_over()
        context, head = self._context, self._head
        self._record_first_byte("answer")
        with anyio.move_on_after(max(MIN_WRITE_SECONDS, context.seconds_left)):
            await context.response.send(head.status, head.headers, body, head.states_end)
            return
        raise responses.IncompleteResponseError("answer not read by the deadline")

    @property
    def partial_bytes(self) -> int:
        """Bytes of an event that is not complete, which are kept until it is."""
        return self._stream.partial_bytes if self._stream is not None else 0

    def forget_partial(self) -> None:
        """Free an event that will not be completed; whatever raised an error may refer to it."""
        if self._stream is not None:
            self._stream.forget_partial()

    def begin_stream(self) -> None:
        """Expect the events of a stream that goes on after the last one that the caller has."""
        self._attempt.events = self._stream = self._context.events.for_attempt()

    def accept(self, data: bytes) -> bytes:
        """Return the events that bytes of a stream complete, after which only this attempt writes.

        Raises
        ------
        StreamOrderError
            If the bytes are not the next events.
        SupersededError
            If another attempt has taken over before.
        """
        assert self._stream is not None
        events = self._stream.feed(data)
        if events:
            self.take_over()
            self._context.events = self._stream
        return events

    async def write(self, events: bytes) -> None:
        """Write accepted events, the first behind the head."""
        context, head = self._context, self._head
        if context.response.started:
            await context.response.write(events)
            return
        if context.software is None:
            context.software = head.software
            origin = stream_origins.Origin(context.service.name, head.software)
            request_id = context.request.first_request_id
            self._state.stream_origins.record(request_id, origin, clock.now())
        self._record_first_byte("first_event")
        await context.response.start(head.status, head.headers, events, head.states_end)

    def check_end(self) -> answers.Whole:
        """Return what the end of the stream proves.

        Raises
        ------
        StreamOrderError
            If the stream is not whole.
        """
        assert self._stream is not None
        response = self._context.response
        promised = response.started and response.states_end
        return self._stream.check_end(self._head.framing, promised)

    async def end(self) -> None:
        """End a stream that is whole.

        Raises
        ------
        SupersededError
            If another attempt has taken over before.
        """
        self.take_over()
        context, head = self._context, self._head
        if not context.response.started:
            await context.response.start(head.status, head.headers, b"", head.states_end)
        await context.response.end()
        self._metrics.observe("whole_stream", clock.now() - context.arrived_at)

    def take_over(self) -> None:
        """Let the attempt write the response, and close the others.

        Raises
        ------
        SupersededError
            If another attempt has taken over before.
        """
        self._attempt.take_over()
        match self._attempt.place:
            case selection.Selection() as selected:
                self._context.selected = selected
            case vm:
                self._context.forwarded_to = vm.name

    def _record_first_byte(self, name: str) -> None:
        self._context.first_byte_at = clock.now()
        self._metrics.observe(name, self._context.first_byte_at - self._context.arrived_at)
