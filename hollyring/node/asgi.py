"""ASGI operations shared by the callers' port and the admin port."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio
import msgspec

from hollyring.node import errors

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Headers = list[tuple[bytes, bytes]]

JSON_TYPE = (b"content-type", b"application/json")
CLOSE = (b"connection", b"close")
TEXT_TYPE = (b"content-type", b"text/plain; charset=utf-8")

MAX_LENGTH_DIGITS = 18
MAX_LENGTH = 10**MAX_LENGTH_DIGITS
"""Digits of a length that is read; a longer one is taken for `MAX_LENGTH`, beyond any limit."""

WRITTEN_PART_BYTES = 65_536
"""Bytes of a body that are written at once; the rest follows as the caller reads."""


class BodyTooLargeError(errors.VmError):
    """The request body exceeds the size limit."""


class BodyTooSlowError(errors.VmError):
    """The request body was not received before the timeout."""


class DisconnectedError(errors.VmError):
    """The caller closed the connection."""


def declared_length(headers: Headers) -> int | None:
    """Return the length of a body that its request declares, None if it declares none.

    Examples
    --------
    >>> declared_length([(b"content-length", b"12")])
    12
    """
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            digits = value.lstrip(b"0") or b"0"
            return int(digits) if len(digits) <= MAX_LENGTH_DIGITS else MAX_LENGTH
    return None


async def read_body(receive: Receive, limit: int, seconds: float) -> bytes:
    """Read the whole request body.

    Raises
    ------
    BodyTooLargeError, BodyTooSlowError, DisconnectedError
        If the body exceeds `limit` bytes, takes more than `seconds`, or is incomplete.
    """
    parts: list[bytes] = []
    size = 0
    try:
        with anyio.fail_after(seconds):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise DisconnectedError("caller disconnected before the end of the body")
                part = message.get("body", b"")
                size += len(part)
                if size > limit:
                    raise BodyTooLargeError(f"request body exceeds {limit} bytes")
                parts.append(part)
                if not message.get("more_body", False):
                    return b"".join(parts)
    except TimeoutError as error:
        raise BodyTooSlowError(f"request body incomplete after {seconds:g} s") from error


async def wait_disconnect(receive: Receive) -> None:
    """Wait until the caller has closed the connection."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def start_response(send: Send, status: int, headers: Headers) -> None:
    """Send the head of a response."""
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def write_body(send: Send, body: bytes, more: bool = True) -> None:
    """Send a part of a response body, in smaller ones if it is long."""
    last = max(0, len(body) - 1) // WRITTEN_PART_BYTES * WRITTEN_PART_BYTES
    for start in range(0, last, WRITTEN_PART_BYTES):
        part = body[start : start + WRITTEN_PART_BYTES]
        await send({"type": "http.response.body", "body": part, "more_body": True})
    await send({"type": "http.response.body", "body": body[last:], "more_body": more})


async def respond(send: Send, status: int, body: bytes, headers: Headers) -> None:
    """Send a complete response."""
    length = (b"content-length", str(len(body)).encode())
    await start_response(send, status, [*headers, length])
    await write_body(send, body, more=False)


async def respond_json(
    send: Send, status: int, value: object, headers: Headers | None = None
) -> None:
    """Send `value` as a complete JSON response."""
    await respond(send, status, msgspec.json.encode(value), [JSON_TYPE, *(headers or [])])


def header(scope: Scope, name: bytes) -> str:
    """Return the value of the first header `name` (in lower case), or an empty string."""
    for key, value in scope["headers"]:
        if key == name:
            return value.decode("latin-1")
    return ""
