"""uvicorn server of a VM process; the process itself handles signals and opens the sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import typing
from collections.abc import Iterator

import uvicorn

from hollyring.node import clock, logs, settings

BACKLOG = 1024
ACCEPTED_AT_ONCE = 2
"""Connections that an address accepts in one round of the event loop.

What they have sent is read three rounds later, so an address has room for those of four rounds.
"""

RECEIVE_BUFFER_BYTES = 131_072
"""Bytes of a client that the kernel keeps unread; a crowd's would fill the machine's memory."""

EXIT_CHECK_SECONDS = 0.25
"""Time between two checks whether the server is to exit; an idle VM wakes up for each."""

MIN_LOGGED_DELAY_SECONDS = 0.25
"""Delay of the event loop above which it is logged; callers notice such a delay."""


class Server(uvicorn.Server):
    """Server that leaves signal handling to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen, with a long queue, of which the event loop accepts a few in each round."""
        await super().startup(sockets)
        for listener in sockets or []:
            listener.listen(BACKLOG)

    async def main_loop(self) -> None:
        """Wait until the server is to exit; each check also updates the default headers."""
        while not await self.on_tick(0):
            due = clock.now() + EXIT_CHECK_SECONDS
            await asyncio.sleep(EXIT_CHECK_SECONDS)
            delay = clock.now() - due
            if delay > MIN_LOGGED_DELAY_SECONDS:
                logs.Logger("vm").info("event loop was late", seconds=round(delay, 2))


def make_server(
    app: typing.Any,
    protocol: typing.Any = "httptools",
    *,
    grace_seconds: float,
    idle_seconds: int,
    date_header: bool,
) -> Server:
    """Create a server for an ASGI application.

    Parameters
    ----------
    protocol
        Protocol class that parses requests, or its name in uvicorn.
    grace_seconds
        Time for open requests to finish during shutdown.
    idle_seconds
        Keep-alive timeout of idle connections.
    date_header
        Whether responses have a ``Date`` header.
    """
    config = uvicorn.Config(
        app,
        http=protocol,
        interface="asgi3",
        ws="none",
        loop="asyncio",
        lifespan="off",
        access_log=False,
        server_header=False,
        date_header=date_header,
        log_level="critical",
        backlog=ACCEPTED_AT_ONCE,
        timeout_keep_alive=idle_seconds,
        # Declared as int, but passed to `asyncio.timeout`, which accepts fractions of a second.
        timeout_graceful_shutdown=typing.cast(int, grace_seconds),
    )
    return Server(config)


def listen(address: str) -> socket.socket:
    """Return a non-blocking socket that listens on ``"IP:PORT"``."""
    host, port = settings.split_address(address)
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener
