"""uvicorn's server as both kinds of VM process run it: signals and sockets are the process's."""

from __future__ import annotations

import contextlib
import socket
import typing
from collections.abc import Iterator

import uvicorn

from hollyring.node import settings

BACKLOG = 1024


class Server(uvicorn.Server):
    """A server that leaves signals to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture none."""
        yield


def make_server(
    app: typing.Any,
    protocol: typing.Any = "httptools",
    *,
    grace_seconds: float,
    idle_seconds: int,
    dated: bool,
) -> Server:
    """Return a server of an ASGI application.

    Parameters
    ----------
    protocol
        What reads requests.
    grace_seconds
        Time for open requests once the server is told to end.
    idle_seconds
        Time for which an idle connection is kept.
    dated
        Whether answers bear the time of day.
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
        date_header=dated,
        log_level="critical",
        backlog=BACKLOG,
        timeout_keep_alive=idle_seconds,
        # Declared as whole seconds, and given to `asyncio.timeout`, which takes parts of them.
        timeout_graceful_shutdown=typing.cast(int, grace_seconds),
    )
    return Server(config)


def listen(address: str) -> socket.socket:
    """Return a socket that listens at ``"IP:PORT"``."""
    host, port = settings.split_address(address)
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener
