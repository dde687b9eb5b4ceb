"""Socket options by which the kernel detects an unresponsive TCP peer within seconds."""

from __future__ import annotations

import socket

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2_000
"""Time without acknowledgement of sent data after which the connection is closed."""

Option = tuple[int, int, int]

TCP_OPTIONS: list[Option] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]


def enable_keepalive(connection: socket.socket) -> None:
    """Set `TCP_OPTIONS`, so that the kernel closes `connection` when its peer is unresponsive."""
    for option in TCP_OPTIONS:
        connection.setsockopt(*option)
