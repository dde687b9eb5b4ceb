"""Options by which a TCP connection that has gone silent is noticed within seconds."""

from __future__ import annotations

import socket

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2_000
"""Data that the other end does not acknowledge for so long ends the connection."""

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
    """Have the kernel notice when `connection` goes silent."""
    for option in TCP_OPTIONS:
        connection.setsockopt(*option)
