"""The caller's side of one request: at most one answer, never a false end."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Sequence

from hollyring.core import request_types
from hollyring.delivery import refusal
from hollyring.node import asgi, errors


class BrokenOffError(errors.NodeError):
    """The answer can't be completed; the server closes the connection without ending it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Encoded:
    """A refusal as a surface writes it."""

    status: int
    headers: list[request_types.Header]
    body: bytes


EncodeRefusal = Callable[[refusal.Refusal], Encoded]


class Reply:
    """Writes one answer to a caller.

    Parameters
    ----------
    send
        The caller's ASGI channel.
    encode
        Turns a refusal into an answer.
    closing
        Tells whether the connection is to be closed after the answer.
    """

    __slots__ = ("_send", "_encode", "_closing", "_begun", "_ended", "status")

    def __init__(self, send: asgi.Send, encode: EncodeRefusal, closing: Callable[[], bool]) -> None:
        self._send = send
        self._encode = encode
        self._closing = closing
        self._begun = False
        self._ended = False
        self.status = 0

    @property
    def begun(self) -> bool:
        """Whether the caller has received a part of the answer."""
        return self._begun

    async def begin(
        self, status: int, headers: Sequence[request_types.Header], data: bytes
    ) -> None:
        """Send the head and the first bytes of an answer."""
        self._begun = True
        self.status = status
        await asgi.start(self._send, status, self._with_close(headers))
        if data:
            await asgi.write(self._send, data)

    async def write(self, data: bytes) -> None:
        """Send more of the body."""
        await asgi.write(self._send, data)

    async def end(self) -> None:
        """End the answer."""
        self._ended = True
        await asgi.write(self._send, b"", more=False)

    async def whole(
        self, status: int, headers: Sequence[request_types.Header], body: bytes
    ) -> None:
        """Send a whole answer."""
        self._begun = self._ended = True
        self.status = status
        await asgi.answer(self._send, status, body, self._with_close(headers))

    async def refuse(self, why: refusal.Refusal) -> None:
        """Send a refusal.

        Raises
        ------
        BrokenOffError
            If a part of an answer was sent already.
        """
        if self._begun:
            raise BrokenOffError(why.code)
        encoded = self._encode(why)
        await self.whole(encoded.status, encoded.headers, encoded.body)

    def _with_close(self, headers: Sequence[request_types.Header]) -> list[request_types.Header]:
        return [*headers, (b"connection", b"close")] if self._closing() else list(headers)
