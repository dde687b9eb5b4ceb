"""Responses that state no length and end with the caller's connection.

An upstream's answer may end with its connection, and then nobody can tell a whole answer from one
whose upstream broke off. A VM passes on such an answer without a length too, so that the caller can
see what it does not prove. uvicorn states the end of every response; here it is told not to.
"""

from __future__ import annotations

import asyncio
from collections.abc import MutableMapping
from typing import Any

from uvicorn.protocols.http import httptools_impl

from hollyring.node import asgi, sockets

SCOPE_EXTENSION = "hollyring.unstated_end"
"""Key of the sender in the ``extensions`` of an ASGI scope."""


class Sender:
    """ASGI send callable of one response that ends with the caller's connection.

    Until the last part is written, a close of the connection resets it, whatever the reason: the
    caller must not take a part of the response for the whole.

    Parameters
    ----------
    cycle
        The request and its response in uvicorn, of which nothing was sent.
    """

    __slots__ = ("_cycle",)

    def __init__(self, cycle: httptools_impl.RequestResponseCycle) -> None:
        self._cycle = cycle

    async def __call__(self, message: MutableMapping[str, Any]) -> None:
        """Send a message of ASGI; the head must announce the close of the connection."""
        if message["type"] == "http.response.start":
            self._begin()
        else:
            await self._prepare_part(message)
        await self._cycle.send(message)  # type: ignore[arg-type]

    def _begin(self) -> None:
        transport = self._cycle.transport
        transport.set_write_buffer_limits(high=0)
        self._set_reset_on_close(transport, True)
        self._cycle.chunked_encoding = False

    async def _prepare_part(self, message: MutableMapping[str, Any]) -> None:
        cycle = self._cycle
        cycle.expected_content_length = len(message.get("body", b""))
        if message.get("more_body", False) or cycle.disconnected:
            return
        if cycle.flow.write_paused:
            await cycle.flow.drain()
        self._set_reset_on_close(cycle.transport, False)

    def _set_reset_on_close(self, transport: asyncio.Transport, on: bool) -> None:
        if not transport.is_closing():
            sockets.set_reset_on_close(transport.get_extra_info("socket"), on)


def sender(scope: asgi.Scope) -> Sender | None:
    """Return the sender of a request's response, or None for servers that have none."""
    return scope.get("extensions", {}).get(SCOPE_EXTENSION)
