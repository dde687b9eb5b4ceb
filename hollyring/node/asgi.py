"""The few ASGI operations that the callers' port and the admin port share."""

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
TEXT_TYPE = (b"content-type", b"text/plain; charset=utf-8")


class BodyTooLargeError(errors.VmError):
    """The caller's body exceeds the bound."""


class BodyTooSlowError(errors.VmError):
    """The caller's body did not arrive in time."""


class DisconnectedError(errors.VmError):
    """The caller has closed the connection."""


async def read_body(receive: Receive, limit: int, seconds: float) -> bytes:
    """Return the whole body.

    Raises
    ------
    BodyTooLargeError, BodyTooSlowError, DisconnectedError
        If it exceeds `limit` bytes, takes more than `seconds`, or breaks off.
    """
    parts: list[bytes] = []
    size = 0
    try:
        with anyio.fail_after(seconds):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise DisconnectedError("before the end of the body")
                part = message.get("body", b"")
                size += len(part)
                if size > limit:
                    raise BodyTooLargeError(f"more than {limit} bytes")
                parts.append(part)
                if not message.get("more_body", False):
                    return b"".join(parts)
    except TimeoutError as error:
        raise BodyTooSlowError(f"not whole after {seconds:g} s") from error


async def wait_disconnect(receive: Receive) -> None:
    """Return once the caller has closed the connection."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def start_response(send: Send, status: int, headers: Headers) -> None:
    """Send the head of an answer."""
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def write_body(send: Send, body: bytes, more: bool = True) -> None:
    """Send a part of an answer's body."""
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def respond(send: Send, status: int, body: bytes, headers: Headers) -> None:
    """Send a whole answer."""
    length = (b"content-length", str(len(body)).encode())
    await start_response(send, status, [*headers, length])
    await write_body(send, body, more=False)


async def respond_json(
    send: Send, status: int, value: object, headers: Headers | None = None
) -> None:
    """Send `value` as a whole JSON answer."""
    await respond(send, status, msgspec.json.encode(value), [JSON_TYPE, *(headers or [])])


def header(scope: Scope, name: bytes) -> str:
    """Return the first header `name` (lower case), or an empty string."""
    for key, value in scope["headers"]:
        if key == name:
            return value.decode("latin-1")
    return ""
