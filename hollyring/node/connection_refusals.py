"""Refusals that a connection writes by itself, without a request that the application could see."""

from __future__ import annotations

import msgspec

from hollyring.delivery import refusal
from hollyring.limits import line_rate
from hollyring.node import clock, completion_format, logs

REASON_PHRASES = {
    400: "Bad Request",
    408: "Request Timeout",
    429: "Too Many Requests",
    431: "Header Fields Too Large",
    503: "Service Unavailable",
}

LOGGED_PER_SECOND = 20
"""Lines on connections in a second; clients can cause any number."""


def encode(rejection: refusal.Refusal) -> bytes:
    """Return a complete response that closes its connection."""
    body = msgspec.json.encode(
        completion_format.error(rejection.code, rejection.message, rejection.execution)
    )
    head = [
        f"HTTP/1.1 {rejection.status} {REASON_PHRASES[rejection.status]}",
        "connection: close",
        "content-type: application/json",
        f"content-length: {len(body)}",
    ]
    for name, value in completion_format.retry_after(rejection.retry_after or None):
        head.append(f"{name.decode()}: {value.decode()}")
    return "\r\n".join([*head, "", ""]).encode() + body


class ConnectionLog:
    """Log of the connections of one server, which their peers can't fill.

    Parameters
    ----------
    component
        Prefix of its messages.
    """

    __slots__ = ("_rate", "_log")

    def __init__(self, component: str = "connection") -> None:
        self._rate = line_rate.LineRate(LOGGED_PER_SECOND)
        self._log = logs.Logger(component)

    def info(self, message: str, **fields: object) -> None:
        """Log a message, unless too many were logged within the last second."""
        left_out = self._rate.admit(clock.now())
        if left_out is None:
            return
        if left_out:
            fields["left_out"] = left_out
        self._log.info(message, **fields)
