"""State of a caller's connection, read from its socket rather than from the event loop."""

from __future__ import annotations

import asyncio
import select
from collections.abc import MutableMapping
from typing import Any

from hollyring.node import asgi, sockets

SCOPE_EXTENSION = "hollyring.caller_connection"
"""Key of the connection in the ``extensions`` of an ASGI scope."""


class CallerConnection:
    """Connection that a caller may have closed before its request was read.

    The event loop reads a request before it reads the close that follows, so after a delay the
    application would work for a caller that has left.

    Parameters
    ----------
    transport
        Transport of the connection.

    Attributes
    ----------
    ended
        Whether the event loop has read the end of what the caller sends.
    """

    __slots__ = ("_closes", "ended")

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        self._closes = sockets.UnreadEvents(transport, select.POLLRDHUP)
        self.ended = False

    @property
    def closed(self) -> bool:
        """Whether the caller has closed or reset the connection, at the cost of a system call."""
        return self._closes.any()


def is_closed(scope: asgi.Scope) -> bool:
    """Return whether the caller of a request has left; False for servers that cannot tell."""
    connection = scope.get("extensions", {}).get(SCOPE_EXTENSION)
    return connection is not None and connection.closed


def until_end(connection: CallerConnection, receive: asgi.Receive) -> asgi.Receive:
    """Return a `receive` that reports a disconnect once the caller sends no more.

    The application may still answer: a caller that has closed only its sending side reads the
    answer. A request that was read whole is passed on before the disconnect.
    """
    is_whole = False

    async def receive_until_end() -> MutableMapping[str, Any]:
        nonlocal is_whole
        if connection.ended and is_whole:
            return {"type": "http.disconnect"}
        message = await receive()
        if connection.ended and is_whole:
            return {"type": "http.disconnect"}
        is_whole = not message.get("more_body", False)
        return message

    return receive_until_end
