"""Socket options by which the kernel detects an unresponsive TCP peer, and unread events."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import sys
import termios

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
SLOW_KEEPALIVE_PROBES = 4
"""Probes after which an idle connection to an upstream is closed, 5 s after its last byte."""

USER_TIMEOUT_MS = 2_000
"""Time without acknowledgement of sent data after which the connection is closed.

Linux also ends keep-alive by it, whatever `KEEPALIVE_PROBES` is.
"""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSE_GRACEFULLY = struct.pack("ii", 0, 0)
"""Values of ``SO_LINGER``: whether a close resets a connection, also that at a process's end."""

READ_BYTES = 65_536
"""Most bytes that are read from a connection at once, all of which have to be held."""

Option = tuple[int, int, int]

TCP_OPTIONS: list[Option] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]


def limit_reads(transport: asyncio.BaseTransport, size: int = READ_BYTES) -> None:
    """Let a transport of the event loop read at most `size` bytes at once."""
    if hasattr(transport, "max_size"):
        transport.max_size = size


def enable_keepalive(connection: socket.socket) -> None:
    """Set `TCP_OPTIONS`, so that the kernel closes `connection` when its peer is unresponsive."""
    for option in TCP_OPTIONS:
        connection.setsockopt(*option)


def enable_slow_keepalive(connection: socket.socket) -> None:
    """Let the kernel close an idle `connection` once its peer is silent for longer than a pause.

    A request may be sent on the connection at the end of that time, which has to be longer than the
    silences after which a peer goes on.
    """
    enable_keepalive(connection)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, SLOW_KEEPALIVE_PROBES)
    set_user_timeout(connection, False)


def set_user_timeout(connection: socket.socket, on: bool) -> None:
    """Let `USER_TIMEOUT_MS` decide when the kernel gives up the peer, or no longer."""
    milliseconds = USER_TIMEOUT_MS if on else 0
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def set_keepalive(connection: socket.socket, on: bool) -> None:
    """Send probes to the peer while `connection` is silent, or no longer."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, int(on))


def set_reset_on_close(connection: socket.socket, on: bool) -> None:
    """Reset `connection` when it is closed, also by the end of the process, or no longer."""
    value = RESET_ON_CLOSE if on else CLOSE_GRACEFULLY
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


def unacknowledged_bytes(connection: socket.socket) -> int:
    """Return the number of bytes that were written to `connection` and not acknowledged."""
    size = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
    return int.from_bytes(size, sys.byteorder)


def enable_probes(connection: socket.socket) -> None:
    """Let the kernel close `connection` when its peer answers no probes.

    Unlike `enable_keepalive` it does so only then, not when the peer's window stays closed.
    """
    for option in TCP_OPTIONS:
        if option[1] != socket.TCP_USER_TIMEOUT:
            connection.setsockopt(*option)


class UnreadEvents:
    """Tells whether a socket has events that the event loop has not read yet.

    Parameters
    ----------
    transport
        Transport of the socket.
    events
        Events to look for, as for `select.poll`; a reset is always one.
    """

    __slots__ = ("_transport", "_poll")

    def __init__(self, transport: asyncio.BaseTransport, events: int) -> None:
        self._transport = transport
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket"), events)

    def any(self) -> bool:
        """Return whether there is an event or the transport is closing; costs a system call."""
        return self._transport.is_closing() or bool(self._poll.poll(0))
