"""HTTP protocol of the addresses that clients reach, with bounds on all that they may send.

What is read is counted by `limits/intake` from its first byte, its memory is taken from
`limits/head_budget`, and `limits/read_pace` says how much is read at once. How many connections
may be open, and which goes first, is decided by `limits/connection_slots`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, MutableMapping
from typing import Any

from uvicorn.protocols.http import httptools_impl

from hollyring.core import request_types
from hollyring.delivery import refusal
from hollyring.limits import connection_slots, head_budget, intake, read_pace
from hollyring.node import (
    asgi,
    caller_connection,
    client_connections,
    clock,
    connection_refusals,
    lingering_transport,
    settings,
    sockets,
    stall_timer,
    unstated_end,
)

UPGRADE_WITH_BODY = "A request with a body cannot ask for another protocol."
BLANK_LINES = "Empty lines are not a request."
LONG_FRAMING = "A chunk's line or the trailers are longer than allowed."

CLOSE_NAME, _ = asgi.CLOSE

MAX_WAITING_WHILE_READING = 1
"""Requests that may wait behind one that runs before no more is read from their caller."""

MAX_WAITING = 32
"""Requests that may wait behind one that runs; what a caller sends beyond them is not read."""

NO_ROOM_RETRY_SECONDS = 0.5
"""Time after which a caller may send a head again for which there was no room."""

CLOSE_CHECK_SECONDS = 0.25
"""Interval at which the close of a caller is looked for while nothing is read from it."""

MAX_BLANK_BYTES = 4_096
"""Bytes of empty lines before a request."""

RAW_FACTOR = 4
"""Bytes of the shortest header line for each byte of its name and value."""

REST_SECONDS = 10.0
"""Time for the rest of a request that was answered before it was read whole."""

UNSENT_BYTES = 16_384
"""Bytes that a client has not received above which nothing more is written to it."""


def protocol_class(
    limits: settings.Limits,
    max_header_bytes: Callable[[], int] | None = None,
    shared: client_connections.Shared | None = None,
) -> type[httptools_impl.HttpToolsProtocol]:
    """Return a protocol class that enforces `limits`.

    Parameters
    ----------
    max_header_bytes
        Returns the most bytes of names and values of a request's headers, if that may change.
    shared
        What the connections share with those of other classes.
    """
    common = shared or client_connections.Shared()
    other_slots: client_connections.Slots = connection_slots.ConnectionSlots(limits.connections)
    log = connection_refusals.ConnectionLog()

    class BoundedProtocol(httptools_impl.HttpToolsProtocol):
        """Connection of a client."""

        _timer: asyncio.TimerHandle | None = None
        _close_timer: asyncio.TimerHandle | None = None
        _close_seen = False

        transport: lingering_transport.LingeringTransport
        _caller_connection: caller_connection.CallerConnection
        _running: httptools_impl.RequestResponseCycle | None = None
        _ignores_input = False
        _shuts_down = False
        _fields_bytes = 0
        _stage_held = 0

        @property
        def _whole_running(self) -> httptools_impl.RequestResponseCycle | None:
            """The request that was read whole and is being answered, if any."""
            running = self._running
            if running is None or running.response_complete or running.more_body:
                return None
            return running

        @property
        def _stage_limits(self) -> intake.Limits:
            legal = RAW_FACTOR * max_header_bytes() if max_header_bytes is not None else 0
            most = max(limits.header_bytes, legal)
            return intake.Limits(MAX_BLANK_BYTES, most, most)

        def connection_made(self, transport: Any) -> None:
            self._socket_transport = transport
            self._intake = intake.Intake()
            self._pace = read_pace.ReadPace()
            self._holding = common.heads.open(self._make_room)
            self._held: dict[httptools_impl.RequestResponseCycle, int] = {}
            self._stall_timer = stall_timer.StallTimer(transport, self._cut)
            sockets.limit_reads(transport, self._pace.size)
            transport.set_write_buffer_limits(high=UNSENT_BYTES)
            lingering = lingering_transport.LingeringTransport(transport, self._may_linger)
            super().connection_made(lingering)
            self._caller_connection = caller_connection.CallerConnection(transport)
            self._slots = common.slots.get(transport.get_extra_info("sockname")[1], other_slots)
            match self._slots.open(self, unread=True):
                case connection_slots.Refused():
                    self._refuse(refusal.make("too_many_connections"), lingers=False)
                    return
                case connection_slots.AdmittedInstead(closed=other):
                    other.make_way()
            # What has arrived is read in the next round, after the first of these two calls.
            self.loop.call_soon(self.loop.call_soon, self._slots.had_turn, self)
            self._start_timer()

        def make_way(self) -> None:
            """Close this connection, which carries no whole request, for another one."""
            if self.transport.is_closing():
                self.transport.abort()
            elif self._intake.stage is not intake.Stage.BETWEEN:
                self._refuse(refusal.make("too_many_connections"), lingers=False)
            else:
                self._ignores_input = True
                self.transport.end()

        def _may_linger(self) -> bool:
            """Return whether the last response is whole and unread bytes may follow the request."""
            is_whole = self._running is None or self._running.response_complete
            return is_whole and self._ignores_input and not self._caller_connection.ended

        def connection_lost(self, exc: Exception | None) -> None:
            self._slots.close(self)
            common.turns.leave(self.transport)
            self._stop_timer()
            self._holding.finish()
            self._holding.give_back(self._holding.bytes)
            self._stage_held = 0
            self._held.clear()
            self._stall_timer.stop()
            if self._close_timer is not None:
                self._close_timer.cancel()
            self.transport.end()
            running = self._running
            if running is not None and not running.response_complete:
                running.disconnected = True
                running.message_event.set()
            super().connection_lost(exc)
            self._forget_requests()

        def eof_received(self) -> bool | None:  # type: ignore[override]
            """Keep the connection open for the answer to a request that was read whole."""
            running = self._whole_running
            if running is None or not self._close_after_answers():
                return None
            self._caller_connection.ended = True
            running.message_event.set()
            return True

        def shutdown(self) -> None:
            """Close the connection behind the last request that was read before its answer."""
            self._shuts_down = True
            if self.cycle is None or self.cycle.response_complete:
                self.transport.close()

        def pause_writing(self) -> None:
            """Write no more, and cut a client that receives nothing for long."""
            super().pause_writing()
            self._stall_timer.start()

        def resume_writing(self) -> None:
            """Write again."""
            super().resume_writing()
            self._stall_timer.stop()

        def _cut(self) -> None:
            log.info("cut", why="receives nothing")
            self.transport.abort()

        def data_received(self, data: bytes) -> None:
            if self.transport.is_closing():
                self.transport.discard(len(data))
                return
            if self._ignores_input:
                return
            self._intake.receive(len(data))
            if self._intake.stage is not intake.Stage.BODY and not self._hold_stage():
                self._refuse_stage(refusal.make("overloaded", NO_ROOM_RETRY_SECONDS))
                return
            super().data_received(data)
            if not self._ignores_input and not self.transport.is_closing():
                self._check_stage()
                self._end_turn(len(data))
            self._watch_for_close()

        def _check_stage(self) -> None:
            """Refuse a message of which a stage has no end, or for which there is no room."""
            if self._intake.exceeds(self._stage_limits):
                self._refuse_stage(self._stage_refusal())
            elif not self._hold_stage():
                self._refuse_stage(refusal.make("overloaded", NO_ROOM_RETRY_SECONDS))

        def _stage_refusal(self) -> refusal.Refusal:
            match self._intake.stage:
                case intake.Stage.BETWEEN:
                    return refusal.make("invalid_request", message=BLANK_LINES)
                case intake.Stage.HEAD:
                    return refusal.make("headers_too_large")
                case intake.Stage.BODY:
                    return refusal.make("invalid_request", message=LONG_FRAMING)

        def _end_turn(self, size: int) -> None:
            """Say how much is read next, and let others have their turn after costly input."""
            if self._pace.record(size, self._intake.events):
                common.turns.wait(self.transport)
            sockets.limit_reads(self._socket_transport, self._pace.size)

        def _watch_for_close(self) -> None:
            """Look for a close while nothing is read; after it the rest is read up to its end."""
            if self._close_seen:
                self.flow.resume_reading()
            elif self.flow.read_paused and self._close_timer is None:
                self._close_timer = self.loop.call_later(CLOSE_CHECK_SECONDS, self._check_close)

        def _check_close(self) -> None:
            self._close_timer = None
            self._close_seen = self._caller_connection.closed
            self._watch_for_close()

        def on_message_begin(self) -> None:
            if self._ignores_input:
                return
            super().on_message_begin()
            self.scope["extensions"] = {
                caller_connection.SCOPE_EXTENSION: self._caller_connection  # type: ignore[dict-item]
            }
            self._intake.begin_head()
            self._fields_bytes = 0
            if self._timer is None:
                self._start_timer()

        def on_header(self, name: bytes, value: bytes) -> None:
            """Record a header; trailers, which come behind the body, are ignored."""
            if self._ignores_input:
                return
            self._intake.add_line()
            if self._intake.stage is not intake.Stage.HEAD:
                return
            super().on_header(name, value)
            self._fields_bytes += len(name) + len(value)
            if self._intake.cost:
                self._check_long_head()

        def _check_long_head(self) -> None:
            if self._has_too_many_fields():
                self._refuse_stage(refusal.make("headers_too_large"))
            elif not self._hold_stage():
                self._refuse_stage(refusal.make("overloaded", NO_ROOM_RETRY_SECONDS))

        def _has_too_many_fields(self) -> bool:
            return max_header_bytes is not None and self._fields_bytes > max_header_bytes()

        def on_url(self, url: bytes) -> None:
            if not self._ignores_input:
                super().on_url(url)

        def _hold_stage(self) -> bool:
            """Take the memory of the stage that is being read; return False without room."""
            cost = self._intake.cost
            if not cost and self._intake.stage is intake.Stage.BODY:
                self._release_stage()
            growth = cost - self._stage_held
            if growth <= 0:
                return True
            # In steps, so that not each line is counted by itself.
            growth = max(growth, head_budget.STEP_BYTES)
            if not self._holding.take(growth, clock.now()):
                return False
            self._stage_held += growth
            return True

        def _release_stage(self) -> None:
            if self._stage_held:
                self._holding.give_back(self._stage_held)
                self._stage_held = 0

        def _refuse_stage(self, rejection: refusal.Refusal) -> None:
            """Refuse the message that is being read, and forget what was read of it."""
            if self._intake.stage is intake.Stage.HEAD:
                self._forget_head()
            self._refuse(rejection)
            self._ignores_input = True
            self._release_stage()

        def _forget_head(self) -> None:
            """Free what was read of a head."""
            self.headers.clear()
            self.url = b""

        def _forget_requests(self) -> None:
            """Free what was read; what refers to itself would wait long to be collected."""
            if self._intake.stage is intake.Stage.HEAD:
                self._forget_head()
            for cycle in [self.cycle, self._running, *(waiting for waiting, _ in self.pipeline)]:
                if cycle is not None:
                    cycle.body = bytearray()
                    _forget_sender(cycle)
            self.pipeline.clear()
            self.cycle = self._running = None  # type: ignore[assignment]
            self.scope = self.headers = None  # type: ignore[assignment]

        def _make_room(self) -> None:
            """End the message that is being read for the sake of others."""
            if not self._ignores_input:
                self._refuse_stage(refusal.make("overloaded", NO_ROOM_RETRY_SECONDS))
            self._release_stage()

        def _may_wait(self) -> bool:
            """Take the memory for a request that waits for others; return False without room."""
            if len(self.pipeline) >= MAX_WAITING:
                return False
            if not self._holding.take(head_budget.REQUEST_BYTES, clock.now()):
                return False
            self._stage_held += head_budget.REQUEST_BYTES
            return True

        def _release(self, cycle: httptools_impl.RequestResponseCycle) -> None:
            self._holding.give_back(self._held.pop(cycle, 0))

        def on_headers_complete(self) -> None:
            if self._ignores_input:
                return
            self._stop_timer()
            if self._has_too_many_fields():
                self._refuse_stage(refusal.make("headers_too_large"))
                return
            if self.parser.should_upgrade() and _has_body(self.headers):
                # The parser takes what follows such a head for another protocol.
                self._refuse(refusal.make("invalid_request", message=UPGRADE_WITH_BODY))
                return
            waits = self.cycle is not None and not self.cycle.response_complete
            if waits and not self._may_wait():
                log.info("reads no further", waiting=len(self.pipeline))
                self._refuse_stage(refusal.make("overloaded", NO_ROOM_RETRY_SECONDS))
                return
            self._begin_body()
            super().on_headers_complete()
            self._held[self.cycle] = self._stage_held
            self._stage_held = 0
            self._slots.reads_body(self)
            extensions: dict[str, Any] = self.scope["extensions"]
            extensions[unstated_end.SCOPE_EXTENSION] = unstated_end.Sender(self.cycle)
            if 0 < len(self.pipeline) <= MAX_WAITING_WHILE_READING:
                self.flow.resume_reading()  # a close is not seen while nothing is read

        def _begin_body(self) -> None:
            self._intake.end_head()
            self._holding.finish()
            self._pace.begin_body(asgi.declared_length(self.headers))

        def on_body(self, body: bytes) -> None:
            if self._ignores_input:
                return
            self._intake.add_body(len(body))
            super().on_body(body)
            if self.cycle is not self._running and not self.cycle.response_complete:
                self._hold_waiting(len(body))

        def _hold_waiting(self, size: int) -> None:
            """Take the memory for a part of the body of a request that waits for others."""
            if self._holding.take(size, clock.now()):
                self._held[self.cycle] += size
            else:
                self._refuse_stage(refusal.make("overloaded", NO_ROOM_RETRY_SECONDS))

        def on_message_complete(self) -> None:
            if self._ignores_input:
                return
            self._release_stage()
            self._intake.end_message()
            self._holding.finish()
            self._pace.end_body()
            if self.cycle.response_complete:
                self._end_rest()
            else:
                self._slots.carries_request(self)
            super().on_message_complete()
            if self.parser.should_upgrade():
                self._close_after_answers()

        def on_response_complete(self) -> None:
            running = self._running
            if running is not None:
                self._release(running)
                _forget_sender(running)
            super().on_response_complete()
            if self.transport.is_closing():
                self._slots.is_closing(self)
            elif running is not None and running.more_body:
                self._slots.is_closing(self)
                self._limit_rest()
            else:
                self._slots.becomes_idle(self)
                self._note_next()

        def _note_next(self) -> None:
            """Note whether the request that is answered next, if any, was read whole."""
            running = self._running
            if running is None or running.response_complete:
                return
            if running.more_body:
                self._slots.reads_body(self)
            else:
                self._slots.carries_request(self)

        def _limit_rest(self) -> None:
            """Limit the time for the rest of a request that is answered already."""
            self._stop_timer()
            self._timer = self.loop.call_later(REST_SECONDS, self._close)

        def _end_rest(self) -> None:
            """Keep the connection, as the rest of a request that is answered was read whole."""
            self.cycle.more_body = False
            self._stop_timer()
            self._slots.becomes_idle(self)

        def _close(self) -> None:
            self._slots.is_closing(self)
            self.transport.close()

        def _start_asgi_task(self, cycle: httptools_impl.RequestResponseCycle, app: Any) -> None:
            async def run(scope: Any, receive: Any, send: Any) -> None:
                until_end = caller_connection.until_end(self._caller_connection, receive)
                await app(scope, until_end, self._open_for_waiting(cycle, send))

            self._running = cycle
            super()._start_asgi_task(cycle, run)

        def _open_for_waiting(
            self, cycle: httptools_impl.RequestResponseCycle, send: asgi.Send
        ) -> asgi.Send:
            """Return a `send` of responses that close no connection on which requests wait."""

            async def send_open(message: MutableMapping[str, Any]) -> None:
                if self._shuts_down and not self.pipeline:
                    cycle.keep_alive = False
                if self.pipeline and message["type"] == "http.response.start":
                    headers = [item for item in message["headers"] if item[0].lower() != CLOSE_NAME]
                    message = {**message, "headers": headers}
                await send(message)

            return send_open

        def send_400_response(self, msg: str) -> None:
            log.info("refused", code="invalid_request", why=msg)
            if not self._close_after_answers():
                self._ignores_input = True
                self._release_stage()
                if not self._has_begun_answer():
                    super().send_400_response(msg)
                self._close()

        def _has_begun_answer(self) -> bool:
            """Return whether a request that was not read whole is being answered already."""
            running = self._running
            return running is not None and running.more_body and running.response_started

        def _close_after_answers(self) -> bool:
            """Read no more, and close the connection once each request read before is answered.

            Returns
            -------
            bool
                False if there is no request to answer.
            """
            last = self._whole_running
            if last is None:
                return False
            self._ignores_input = True
            self.flow.resume_reading()
            self._stop_timer()
            whole = [waiting for waiting in self.pipeline if not waiting[0].more_body]
            for waiting in self.pipeline:
                if waiting not in whole:
                    self._release(waiting[0])
            self.pipeline.clear()
            self.pipeline.extend(whole)
            if whole:
                last = whole[0][0]
            last.keep_alive = False
            return True

        def _start_timer(self) -> None:
            self._stop_timer()
            self._timer = self.loop.call_later(limits.header_seconds, self._on_head_timeout)

        def _on_head_timeout(self) -> None:
            self._timer = None
            if self._intake.stage_bytes or self._whole_running is not None:
                self._refuse(refusal.make("header_timeout"))
                return
            self._close()

        def _stop_timer(self) -> None:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None

        def _refuse(self, rejection: refusal.Refusal, lingers: bool = True) -> None:
            """Write a complete response without calling the application, then close."""
            log.info("refused", code=rejection.code)
            if self._close_after_answers():
                return
            self._ignores_input = lingers
            self._stop_timer()
            if not self._has_begun_answer():
                self.transport.write(connection_refusals.encode(rejection))
            self._close()

    return BoundedProtocol


def _forget_sender(cycle: httptools_impl.RequestResponseCycle) -> None:
    """Let a request no longer refer to itself, so that it is freed at once."""
    extensions: dict[str, Any] = cycle.scope["extensions"]
    extensions.pop(unstated_end.SCOPE_EXTENSION, None)


def _has_body(headers: list[request_types.Header]) -> bool:
    """Return whether a body follows the head of a request."""
    lengths = [value for name, value in headers if name == b"content-length"]
    return any(name == b"transfer-encoding" for name, _ in headers) or lengths not in ([], [b"0"])
