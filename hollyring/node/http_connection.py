"""HTTP client connection, which is not reused after it has received unexpected data.

Responses are parsed with httptools rather than httpcore: a VM must find out whether the first byte
of a request was written, detect bytes that follow a complete response, and distinguish a late
response to an earlier request from the expected one. httpcore hides all three.
"""

from __future__ import annotations

import asyncio
import enum
import re
import select
from collections.abc import Callable

import httptools

from hollyring.core import request_types
from hollyring.delivery import answers
from hollyring.limits import byte_budget, head_budget, intake, read_pace
from hollyring.node import clock, exchanges, logs, sockets

DEFAULT_KEEP_ALIVE_SECONDS = 3.0
"""Idle time after which a connection is not reused if the upstream announces no timeout."""

KEEP_ALIVE_MARGIN_SECONDS = 0.8
"""Time before the upstream's announced keep-alive timeout from which a connection is not reused."""

WRITTEN_PART_BYTES = 65_536
"""Bytes of a long request that are written at once; the rest follows as the upstream reads."""

MAX_OVERHEAD_BYTES = 131_072
"""Most bytes of one answer beside its body: interim answers, head, framing and trailers."""

MAX_REQUESTS = 256
"""Requests after which a connection carries no other; it remembers which it has carried."""

MAX_NUMBER_DIGITS = 18
"""Digits of a number in a head; one with more is no number that is meant."""

INTERIM_STATUSES = range(100, 200)
STATUSES_WITHOUT_BODY = (204, 304)

STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [0-9]{3}")


class Silence(enum.Enum):
    """What the kernel does with a connection whose peer's host is silent.

    It ends it after 2 s, or late: after 5 s, when a peer that only paused has gone on; or the
    exchange outlasts the silence until its sender gives it up.
    """

    END = enum.auto()
    END_LATE = enum.auto()
    OUTLAST = enum.auto()


class HttpConnection(asyncio.Protocol):
    """Connection to an upstream that carries one exchange at a time.

    Parameters
    ----------
    on_lost
        Called once when an established connection is lost.
    budget
        Bytes that this VM may hold.
    heads
        Memory that heads and unfinished lines may take.
    """

    def __init__(
        self,
        on_lost: Callable[[HttpConnection], None],
        budget: byte_budget.ByteBudget,
        heads: head_budget.HeadBudget | None = None,
    ) -> None:
        self._on_lost = on_lost
        self._budget = budget
        self._intake = intake.Intake()
        self._pace = read_pace.ReadPace()
        self._holding = (heads or head_budget.HeadBudget()).open(self._end_head_for_others)
        self._unwritten = memoryview(b"")
        self._writing_paused = False
        self._declared_bytes: int | None = None
        self._transport: asyncio.Transport | None = None
        self._unread: sockets.UnreadEvents | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: exchanges.Exchange | None = None
        self._headers: list[request_types.Header] = []
        self._reason = b""
        self._in_head = False
        self._has_no_body = False
        self._interim = False
        self._unmatched = False
        self._in_body = False
        self._framing = answers.Framing.CONNECTION
        self._has_carried_any = False
        self._overhead_bytes = 0
        self._unusable = False
        self._silence = Silence.END_LATE
        self._broken = False
        self._keep_alive_seconds = DEFAULT_KEEP_ALIVE_SECONDS
        self._carried: set[str] = set()
        self.idle_since = clock.now()

    @property
    def was_connected(self) -> bool:
        """Whether the connection was established; only then `on_lost` is called."""
        return self._transport is not None

    @property
    def was_broken(self) -> bool:
        """Whether the connection was lost otherwise than by a close, for example by a reset."""
        return self._broken

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        transport = self._transport
        if self._unusable or transport is None or transport.is_closing():
            return False
        if len(self._carried) >= MAX_REQUESTS:
            return False
        return not self._unwritten and transport.get_write_buffer_size() == 0

    @property
    def has_unread_data(self) -> bool:
        """Whether the upstream has sent data or closed the connection, which nobody has read yet.

        On an idle connection this is a close or a late answer; the connection must not be reused.
        """
        return self._unread is not None and self._unread.any()

    def idle_seconds_left(self, now: float) -> float:
        """Return the seconds for which the idle connection may still be reused."""
        return self.idle_since + self._keep_alive_seconds - now

    def has_carried(self, request_id: str) -> bool:
        """Return whether the request was sent on this connection.

        If it is sent on this connection again, a late second answer to the first sending cannot be
        told from the answer to the second.
        """
        return request_id in self._carried

    def send(
        self,
        request: bytes,
        read_naming: exchanges.NamingReader,
        request_id: str = "",
        silence: Silence = Silence.OUTLAST,
        kind: byte_budget.Kind = byte_budget.Kind.ANSWER,
        max_bytes: int | None = None,
    ) -> exchanges.Exchange:
        """Write a request and return its exchange; a long one is written as the upstream reads.

        Parameters
        ----------
        request
            Encoded request.
        read_naming
            Tells which request a response names.
        request_id
            Identity by which the response is recognised, empty if there is none.
        silence
            What a silence of the upstream's host does to the exchange.
        kind, max_bytes
            What the response is read for, and the longest body that is read as a whole; by default
            that of an answer to a caller.

        Raises
        ------
        NotSentError
            If the connection is closed.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            raise exchanges.NotSentError("connection closed")
        if request_id:
            self._carried.add(request_id)
        self._watch_silence(silence)
        self._exchange = exchanges.Exchange(
            self, read_naming, not self._has_carried_any, self._budget, kind, max_bytes
        )
        self._has_carried_any = True
        self._overhead_bytes = 0
        self._has_no_body = request.startswith(b"HEAD ")
        self._unwritten = memoryview(request)
        self._write_more()
        return self._exchange

    def release(self) -> bool:
        """End the exchange, and return whether the connection may be reused."""
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.close()
        self._release_head()
        self.idle_since = clock.now()
        if not self.reusable or (exchange is not None and not exchange.ended):
            self.abort()
            return False
        self._watch_silence(Silence.END_LATE)
        self.resume_reading()
        return True

    def abort(self) -> None:
        """Close the connection at once, which cancels the request at the upstream."""
        self._unusable = True
        self._unwritten = memoryview(b"")
        if self._transport is not None:
            self._transport.abort()

    def pause_writing(self) -> None:
        """Write no more of a long request until the upstream has read some of it."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Write more of a long request."""
        self._writing_paused = False
        self._write_more()

    def _write_more(self) -> None:
        while self._unwritten and not self._writing_paused:
            part = self._unwritten[:WRITTEN_PART_BYTES]
            self._unwritten = self._unwritten[WRITTEN_PART_BYTES:]
            assert self._transport is not None
            self._transport.write(part)

    def pause_reading(self) -> None:
        """Stop reading from the socket."""
        if self._transport is not None and self._transport.is_reading():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading from the socket."""
        transport = self._transport
        if transport is not None and not transport.is_closing() and not transport.is_reading():
            transport.resume_reading()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._unread = sockets.UnreadEvents(transport, select.POLLIN | select.POLLRDHUP)
        sockets.limit_reads(transport, self._pace.size)
        sockets.enable_slow_keepalive(transport.get_extra_info("socket"))

    def _watch_silence(self, silence: Silence) -> None:
        """Set what the kernel does in a silence; it is `END_LATE` between exchanges."""
        before, self._silence = self._silence, silence
        if silence is before:
            return
        assert self._transport is not None
        connection = self._transport.get_extra_info("socket")
        if Silence.END in (before, silence):
            sockets.set_user_timeout(connection, silence is Silence.END)
        if Silence.OUTLAST in (before, silence):
            sockets.set_keepalive(connection, silence is not Silence.OUTLAST)

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes; bytes outside an exchange close the connection."""
        if self._exchange is None:
            self.abort()
            return
        self._overhead_bytes += len(data)
        self._intake.receive(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail("bytes that are no answer")
            return
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._fail("head, framing or trailers without end")
            self.abort()
        elif not self._hold_head():
            self._end_head_for_room()
        self._pace.record(len(data), self._intake.events)
        if self._transport is not None:
            sockets.limit_reads(self._transport, self._pace.size)

    def _hold_head(self) -> bool:
        """Take the memory of the head or line that is being read; return False without room."""
        if self._exchange is None:
            return True
        growth = self._intake.cost - self._holding.bytes
        if growth <= 0:
            return True
        return self._holding.take(max(growth, head_budget.STEP_BYTES), clock.now())

    def _release_head(self) -> None:
        self._headers = []
        self._holding.finish()
        self._holding.give_back(self._holding.bytes)

    def _end_head_for_room(self) -> None:
        """End the answer, for whose head there is no room; not a fault of the upstream."""
        self._release_head()
        if self._exchange is not None:
            self._exchange.end_without_room()

    def _end_head_for_others(self) -> None:
        """End an answer whose head, or a line behind it, has not ended for long."""
        self._release_head()
        self._fail("head, framing or trailers not ended while others need room")
        self.abort()

    def _fail(self, reason: str) -> None:
        self._unusable = True
        if self._exchange is not None:
            self._exchange.fail(exchanges.HttpConnectionError(reason))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange; a response without a length is complete after a clean close."""
        self._unusable = True
        self._unwritten = memoryview(b"")
        self._broken = exc is not None
        self._holding.finish()
        self._holding.give_back(self._holding.bytes)
        exchange = self._exchange
        if exchange is not None:
            ends_with_connection = self._framing is answers.Framing.CONNECTION
            if exc is None and self._in_body and ends_with_connection and not self._unmatched:
                exchange.finish()
            why = type(exc).__name__ if exc else "closed"
            exchange.fail(exchanges.HttpConnectionError(f"connection lost: {why}"))
        self._on_lost(self)

    def on_message_begin(self) -> None:
        """Start a response."""
        self._intake.begin_head()
        self._headers = []
        self._reason = b""
        self._in_head = True
        self._framing = answers.Framing.CONNECTION
        self._declared_bytes = None
        if self._exchange is None:
            self._unusable = True
        elif self._exchange.ended:
            self._unusable = True
            self._exchange.followed = True

    def on_status(self, reason: bytes) -> None:
        """Record the text behind the status, or a part of it."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; trailers, which come when the head was judged, are ignored.

        Raises
        ------
        NoRoomError
            If there is no room for the head.
        """
        self._intake.add_line()
        if not self._in_head:
            return
        if self._intake.cost and not self._hold_head():
            self._end_head_for_room()
            raise exchanges.NoRoomError("no room for the head of an answer")
        _check_is_one_head(value)
        name, value = name.lower(), value.strip(b" \t")
        self._headers.append((name, value))
        if name == b"content-length":
            self._framing = answers.Framing.LENGTH
            self._declared_bytes = _declared_bytes(value)
        elif name == b"transfer-encoding":
            self._framing = answers.Framing.CHUNKS
            self._declared_bytes = None
        elif name == b"keep-alive":
            self._keep_alive_seconds = _keep_alive_seconds(value)

    def on_headers_complete(self) -> None:
        """Pass the head to the exchange, unless it belongs to another request.

        After an answer that names no request, a repetition of it could not be told from the answer
        to the next request, so the connection carries no other.
        """
        self._in_head = False
        self._intake.end_head()
        self._holding.finish()
        _check_is_one_head(self._reason)
        status = self._parser.get_status_code()
        self._interim = status in INTERIM_STATUSES
        exchange = self._exchange
        if self._interim or exchange is None or exchange.ended:
            return
        naming = exchange.read_naming(self._headers)
        self._unmatched = naming is answers.Naming.OTHER
        if self._unmatched:
            logs.Logger("connection").info("skipped the answer to another request", status=status)
            return
        if naming is answers.Naming.NONE:
            self._unusable = True
        self._in_body = True
        if status in STATUSES_WITHOUT_BODY:
            self._framing = answers.Framing.LENGTH
        if self._has_no_body:
            self._framing = answers.Framing.CONNECTION
        declared = self._declared_bytes if self._framing is answers.Framing.LENGTH else None
        self._pace.begin_body(declared)
        exchange.set_head(
            exchanges.ResponseHead(status, self._headers), naming, self._framing, declared
        )
        if self._has_no_body:
            # The parser waits for the body that the head describes.
            self._unusable = True
            exchange.finish()

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body to the exchange."""
        self._overhead_bytes -= len(body)
        self._intake.add_body(len(body))
        if self._exchange is None or self._unmatched or self._exchange.ended:
            return
        self._exchange.add_data(body)

    def on_message_complete(self) -> None:
        """End the response, unless it belongs to an earlier request."""
        self._intake.end_message()
        self._pace.end_body()
        if self._interim:
            return
        if self._unmatched:
            self._unmatched = False
            return
        self._in_body = False
        if not self._parser.should_keep_alive():
            self._unusable = True
        if self._exchange is not None:
            self._exchange.finish()


def _check_is_one_head(text: bytes) -> None:
    """Check that no other head begins within a line, after one that was not written to its end.

    Raises
    ------
    HttpConnectionError
        If one does; the answer then has the status of one head and the headers of the other.
    """
    if STATUS_LINE.search(text):
        raise exchanges.HttpConnectionError("head within a head")


def _declared_bytes(value: bytes) -> int | None:
    """Return the length that a ``Content-Length`` declares, None if it is not readable."""
    return int(value) if value.isdigit() and len(value) <= MAX_NUMBER_DIGITS else None


def _keep_alive_seconds(value: bytes) -> float:
    """Return the seconds for which an idle connection is reusable, from a ``Keep-Alive`` value."""
    for field in value.split(b","):
        name, _, number = field.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit() and len(number) <= MAX_NUMBER_DIGITS:
            return max(0.0, int(number) - KEEP_ALIVE_MARGIN_SECONDS)
    return DEFAULT_KEEP_ALIVE_SECONDS
