"""One request and its response on a connection to an upstream, and how both can fail."""

from __future__ import annotations

import asyncio
import dataclasses
import typing
from collections.abc import Callable

from hollyring.core import request_types
from hollyring.delivery import answers
from hollyring.limits import byte_budget
from hollyring.node import clock, errors, held_body, logs

MAX_BUFFERED_BYTES = 262_144
"""Unread bytes of a response above which reading from the upstream pauses (backpressure)."""

NamingReader = Callable[[list[request_types.Header]], answers.Naming]
"""Returns which request the headers of a response name."""


class HttpConnectionError(errors.VmError):
    """A connection to an upstream could not be opened, was lost, or received invalid data."""


class BodyTooLongError(HttpConnectionError):
    """A body that is read as a whole is, or declares to be, longer than what is held for it."""


class NoRoomError(HttpConnectionError):
    """An answer was ended as this VM holds too much at once; not a fault of the upstream."""


class NotSentError(HttpConnectionError):
    """No byte of the request was written."""


class OwnResourcesError(NotSentError):
    """This VM lacks descriptors, ports or memory for a connection."""


class TooManyConnectionsError(NotSentError):
    """This VM's limit on connections to the upstream is reached; not a fault of the upstream."""


class UnusableResponseError(HttpConnectionError):
    """A response may be that to another request, or its body is not the server's own."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names in lower case."""

    status: int
    headers: list[request_types.Header]


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Complete response; header names in lower case.

    Without a stated end, `body` may be the beginning of one only.
    """

    status: int
    headers: list[request_types.Header]
    body: bytes
    states_end: bool = True

    def header(self, name: bytes) -> bytes:
        """Return the value of the first header `name`, or an empty value."""
        return next((value for key, value in self.headers if key == name), b"")


class Connection(held_body.Flow, typing.Protocol):
    """Connection that carries an exchange."""

    def abort(self) -> None:
        """Close the connection at once."""


class Exchange:
    """One request and its response on a connection.

    Parameters
    ----------
    connection
        Connection that carries it.
    read_naming
        Tells which request a response names.
    alone
        Whether the connection carried no request before.
    budget
        Bytes that this VM may hold.
    kind
        What the response is read for.
    max_bytes
        Longest body that is read as a whole.

    Attributes
    ----------
    naming
        Which request the response names, once its head was received.
    framing
        How the response states where it ends, once its head was received.
    encoded
        Whether the body is encoded otherwise than in chunks, once its head was received.
    followed
        Whether another answer has begun behind the response.
    """

    __slots__ = (
        "_connection",
        "_head",
        "_body",
        "_ended",
        "_failure",
        "_waiter",
        "_received_at",
        "read_naming",
        "alone",
        "naming",
        "framing",
        "encoded",
        "followed",
    )

    def __init__(
        self,
        connection: Connection,
        read_naming: NamingReader,
        alone: bool,
        budget: byte_budget.ByteBudget,
        kind: byte_budget.Kind = byte_budget.Kind.ANSWER,
        max_bytes: int | None = None,
    ) -> None:
        self._connection = connection
        self.read_naming = read_naming
        self.alone = alone
        self.naming = answers.Naming.NONE
        self.framing = answers.Framing.CONNECTION
        self.encoded = False
        self.followed = False
        self._head: ResponseHead | None = None
        self._body = held_body.HeldBody(
            connection, budget, kind, max_bytes, self._wake, self._end_for_room
        )
        self._ended = False
        self._failure: HttpConnectionError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._received_at = clock.now()

    @property
    def silent_seconds(self) -> float:
        """Seconds since the last part of the response arrived, or since the request was written."""
        return clock.now() - self._received_at

    @property
    def ended(self) -> bool:
        """Whether the whole response was received."""
        return self._ended

    @property
    def waits_for_room(self) -> bool:
        """Whether nothing more is read until this VM has room for the body."""
        return self._body.waits_for_room

    async def head(self) -> ResponseHead:
        """Return the head of the response.

        Raises
        ------
        HttpConnectionError
            If the connection is lost before the head was received.
        """
        while self._head is None:
            await self._wait()
        return self._head

    async def own_head(self) -> ResponseHead:
        """Return the head of a response that can belong to this request only, signed or not.

        Raises
        ------
        HttpConnectionError
            If the connection is lost before, or the response may be that to another request or has
            an encoded body.
        """
        head = await self.head()
        facts = answers.Head(head.status, self.naming, self.alone, encoded=self.encoded)
        match answers.judge_origin(facts) or answers.judge_content(facts):
            case answers.Failed(reason=reason):
                raise UnusableResponseError(reason)
        return head

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, or None at its end.

        Raises
        ------
        HttpConnectionError
            If the response is incomplete.
        """
        while not self._body.size:
            if self._ended:
                return None
            await self._wait()
        data = self._body.pass_on()
        self._connection.resume_reading()
        return data

    async def body(self) -> bytes:
        """Return the whole body, without the bytes that `read` returned already.

        A long body waits for room, with its connection unread. It stays charged until `close`.

        Raises
        ------
        HttpConnectionError
            If the response is incomplete; `BodyTooLongError` if the body is too long, and
            `NoRoomError` if it was ended for the sake of others.
        """
        if self._body.is_too_long and self._failure is None:
            self._end_too_long()
        while not self._ended:
            self._body.make_room()
            await self._wait()
        return self._body.take()

    def close(self) -> None:
        """Give back what the body is charged; nothing is read any more."""
        self._body.close()

    def keep(self, size: int) -> None:
        """Charge `size` bytes that were read and that the reader keeps, such as part of an event.

        Without room the response is ended, or another one; `read` raises `NoRoomError` then.
        """
        if not self._body.keep(size) and self._failure is None and not self._ended:
            self._end_for_room()

    def end_without_room(self) -> None:
        """End the response, for whose head there is no room."""
        logs.Logger("connection").info("answer ended for want of room", head=True)
        self._break_off(NoRoomError("no room for the head of the answer"))

    def _end_too_long(self) -> None:
        """End the response, as its body is too long."""
        declared, limit = self._body.declared_bytes, self._body.max_bytes
        size = f"{self._body.size} bytes received" if declared is None else f"{declared} declared"
        self._break_off(BodyTooLongError(f"body too long: {size}, limit {limit}"))

    def _end_for_room(self) -> None:
        """End the response for the sake of others."""
        held = self._body.size
        logs.Logger("connection").info("answer ended for want of room", held_bytes=held)
        self._break_off(NoRoomError(f"no room for the answer, {held} bytes of which were held"))

    def _break_off(self, error: HttpConnectionError) -> None:
        self._body.close()
        self.fail(error)
        self._connection.abort()

    def set_head(
        self,
        head: ResponseHead,
        naming: answers.Naming,
        framing: answers.Framing,
        declared_bytes: int | None = None,
    ) -> None:
        """Record the head of the response, and the length of the body if it declares one."""
        self._head = head
        self.naming = naming
        self.framing = framing
        self._body.declare(declared_bytes)
        self.encoded = any(_is_encoding(name, value) for name, value in head.headers)
        self._received_at = clock.now()
        self._wake()

    def add_data(self, data: bytes) -> None:
        """Append a part of the body, unless the response was broken off."""
        if self._failure is not None:
            return
        self._received_at = clock.now()
        has_room = self._body.add(data)
        if self._failure is not None:
            return  # it was ended for the sake of others
        if not has_room:
            self._end_for_room()
        elif self._body.size > self._body.max_bytes:
            self._end_too_long()
        else:
            self._limit_unread()
            self._wake()

    def _limit_unread(self) -> None:
        """Read no more than `MAX_BUFFERED_BYTES` that nobody has asked for."""
        if self._body.size > MAX_BUFFERED_BYTES and not self._body.has_room:
            self._connection.pause_reading()

    def finish(self) -> None:
        """Record the end of the response, unless it was broken off."""
        self._ended = self._failure is None
        self._body.settle()
        self._wake()

    def fail(self, failure: HttpConnectionError) -> None:
        """Record that the response will not be completed."""
        if not self._ended and self._failure is None:
            self._failure = failure
            self._wake()

    async def _wait(self) -> None:
        if self._failure is not None:
            raise self._failure
        if not self.waits_for_room:
            self._connection.resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def naming_reader(request_id: str) -> NamingReader:
    """Return a function that tells whether a response's ``X-Request-Id`` names a request."""
    expected = request_id.encode()

    def read(headers: list[request_types.Header]) -> answers.Naming:
        named = next((value for name, value in headers if name == b"x-request-id"), b"")
        if not named:
            return answers.Naming.NONE
        return answers.Naming.THIS if named == expected else answers.Naming.OTHER

    return read


def accept_any(_: list[request_types.Header]) -> answers.Naming:
    """Take any response for that to the request, for calls, whose answers name none."""
    return answers.Naming.THIS


def _is_encoding(name: bytes, value: bytes) -> bool:
    """Return whether a header states that the body is encoded otherwise than in chunks."""
    if name == b"content-encoding":
        return True
    return name == b"transfer-encoding" and value.strip().lower() != b"chunked"
