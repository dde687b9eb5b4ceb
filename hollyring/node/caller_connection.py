"""State of a caller's connection, read from its socket rather than from the event loop."""

from __future__ import annotations

import asyncio
import select

from hollyring.node import asgi, sockets

SCOPE_EXTENSION = "hollyring.caller_connection"
"""Key of the connection in the ``extensions`` of an ASGI scope."""

CLOSE_READ_SECONDS = 1.0
"""Time for the event loop to read a close that the socket already has."""


class CallerConnection:
    """Connection that a caller may have closed before its request was read.

    The event loop reads a request before it reads the close that follows, so after a delay the
    application would work for a caller that has left.

    Parameters
    ----------
    transport
        Transport of the connection.
    """

    __slots__ = ("_closes",)

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        self._closes = sockets.UnreadEvents(transport, select.POLLRDHUP)

    @property
    def closed(self) -> bool:
        """Whether the caller has closed or reset the connection, at the cost of a system call."""
        return self._closes.any()


def is_closed(scope: asgi.Scope) -> bool:
    """Return whether the caller of a request has left; False for servers that cannot tell."""
    connection = scope.get("extensions", {}).get(SCOPE_EXTENSION)
    return connection is not None and connection.closed
