"""Writing of the response to a request; an incomplete response is never ended normally."""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Callable, Sequence

from hollyring.core import request_types
from hollyring.delivery import refusal
from hollyring.node import asgi, errors

FINAL_REFUSAL_SECONDS = 0.2
"""Longest time to write the refusal of a request that is cancelled."""


class IncompleteResponseError(errors.VmError):
    """The response cannot be completed; the server closes the connection within the response."""


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedRefusal:
    """Response that reports a refusal, as encoded by an adapter."""

    status: int
    headers: list[request_types.Header]
    body: bytes


RefusalEncoder = Callable[[refusal.Refusal], EncodedRefusal]


class Response(typing.Protocol):
    """Receives the response to one request."""

    status: int

    @property
    def started(self) -> bool:
        """Whether a part of the response was sent."""

    @property
    def ended(self) -> bool:
        """Whether the last part of the response was sent or is being sent."""

    @property
    def states_end(self) -> bool:
        """Whether the response states where it ends, so that only a whole one may be ended."""

    @property
    def caller_left(self) -> bool:
        """Whether the caller has closed the connection."""

    async def start(
        self,
        status: int,
        headers: Sequence[request_types.Header],
        data: bytes,
        states_end: bool = True,
    ) -> None:
        """Send the head and the first bytes of a response, which may end with the connection."""

    async def write(self, data: bytes) -> None:
        """Send more of the body."""

    async def end(self) -> None:
        """End the response."""

    async def send(
        self,
        status: int,
        headers: Sequence[request_types.Header],
        body: bytes,
        states_end: bool = True,
    ) -> None:
        """Send a response, which is whole if it states its end."""

    async def refuse(self, rejection: refusal.Refusal) -> None:
        """Send a refusal, or raise `IncompleteResponseError` if a response was started."""


class ResponseProgress:
    """How far a response has been sent.

    Attributes
    ----------
    status
        HTTP status that was sent, 0 before.
    """

    __slots__ = ("_started", "_ended", "_states_end", "status")

    def __init__(self) -> None:
        self._started = False
        self._ended = False
        self._states_end = True
        self.status = 0

    @property
    def started(self) -> bool:
        """Whether a part of the response was sent."""
        return self._started

    @property
    def ended(self) -> bool:
        """Whether the last part of the response was sent or is being sent."""
        return self._ended

    @property
    def states_end(self) -> bool:
        """Whether the response states where it ends, so that only a whole one may be ended."""
        return self._states_end


class ResponseWriter(ResponseProgress):
    """Writes one response to a caller.

    Parameters
    ----------
    send
        ASGI send callable.
    encode
        Encodes a refusal as a response.
    should_close
        Returns whether the connection is closed after the response.
    has_caller_left
        Returns whether the caller has closed the connection.
    send_unstated
        ASGI send callable of a response that ends with the connection; `send` if there is none.
    """

    __slots__ = ("_send", "_encode", "_should_close", "_has_caller_left", "_send_unstated")

    def __init__(
        self,
        send: asgi.Send,
        encode: RefusalEncoder,
        should_close: Callable[[], bool],
        has_caller_left: Callable[[], bool] = lambda: False,
        send_unstated: asgi.Send | None = None,
    ) -> None:
        super().__init__()
        self._send = send
        self._encode = encode
        self._should_close = should_close
        self._has_caller_left = has_caller_left
        self._send_unstated = send_unstated or send

    @property
    def caller_left(self) -> bool:
        """Whether the caller has closed the connection, at the cost of a system call."""
        return self._has_caller_left()

    async def start(
        self,
        status: int,
        headers: Sequence[request_types.Header],
        data: bytes,
        states_end: bool = True,
    ) -> None:
        """Send the head and the first bytes of a response, which may end with the connection."""
        self._started = True
        self.status = status
        self._states_end = states_end
        if not states_end:
            self._send = self._send_unstated
        await asgi.start_response(self._send, status, self._with_close(headers))
        if data:
            await asgi.write_body(self._send, data)

    async def write(self, data: bytes) -> None:
        """Send more of the body."""
        await asgi.write_body(self._send, data)

    async def end(self) -> None:
        """End the response."""
        self._ended = True
        await asgi.write_body(self._send, b"", more=False)

    async def send(
        self,
        status: int,
        headers: Sequence[request_types.Header],
        body: bytes,
        states_end: bool = True,
    ) -> None:
        """Send a response, which is whole if it states its end."""
        self._started = self._ended = True
        self.status = status
        if not states_end:
            await self.start(status, headers, body, states_end=False)
            await self.end()
            return
        await asgi.respond(self._send, status, body, self._with_close(headers))

    async def refuse(self, rejection: refusal.Refusal) -> None:
        """Send a refusal.

        Raises
        ------
        IncompleteResponseError
            If a part of a response was sent already.
        """
        if self._started:
            raise IncompleteResponseError(rejection.code)
        encoded = self._encode(rejection)
        await self.send(encoded.status, encoded.headers, encoded.body)

    def _with_close(self, headers: Sequence[request_types.Header]) -> list[request_types.Header]:
        closes = self._should_close() or not self._states_end
        return [*headers, asgi.CLOSE] if closes else list(headers)
