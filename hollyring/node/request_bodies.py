"""Reading of callers' bodies within the bytes that this VM may hold."""

from __future__ import annotations

import anyio

from hollyring.limits import byte_budget
from hollyring.node import asgi, clock, errors, held_bytes

COPIES = 2
"""Copies of a body that are held at once: the caller's, and the request to an upstream."""

WAIT_SECONDS = 0.5
"""Longest wait of a long body for room; callers give up soon where nothing is read."""

RETRY_SECONDS = 0.5
"""Retry delay of a request whose body finds no room; long bodies are passed on faster."""


SLOW_SECONDS = 1.0
"""Time after which a body that is not whole yields to others that wait for room."""

UNREAD_BYTES = 131_072
"""Bytes of a body that the event loop holds at most while the rest waits for room."""


class NoRoomError(errors.VmError):
    """This VM holds too much to read the body of another request."""


async def read(
    holding: byte_budget.Holding,
    headers: asgi.Headers,
    receive: asgi.Receive,
    limit: int,
    seconds: float,
) -> bytes:
    """Read the whole body of a request; a long one waits until there is room, with its rest unread.

    Parameters
    ----------
    holding
        Is charged what is read, and stays so until it is closed.
    limit
        Longest body in bytes.
    seconds
        Longest time for the whole body.

    Raises
    ------
    asgi.BodyTooLargeError, asgi.BodyTooSlowError, asgi.DisconnectedError
        If the body exceeds `limit` bytes, takes more than `seconds`, or is incomplete.
    NoRoomError
        If there is no room for it soon.
    """
    declared = asgi.declared_length(headers)
    if declared is not None and declared > limit:
        raise asgi.BodyTooLargeError(f"declared request body exceeds {limit} bytes")
    with anyio.CancelScope() as scope:
        holding.on_evicted = scope.cancel
        try:
            return await _read(holding, declared, receive, limit, seconds)
        finally:
            holding.on_evicted = None
    raise NoRoomError("a request that was not read whole was ended for others")


async def _read(
    holding: byte_budget.Holding,
    declared: int | None,
    receive: asgi.Receive,
    limit: int,
    seconds: float,
) -> bytes:
    body = bytearray()
    slow_at = clock.now() + SLOW_SECONDS
    try:
        with anyio.fail_after(seconds):
            if declared is not None and declared > byte_budget.SHORT_BYTES:
                await _reserve(holding, COPIES * declared)
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise asgi.DisconnectedError("caller disconnected before the end of the body")
                part = message.get("body", b"")
                body += part
                holding.is_slow = clock.now() > slow_at
                if len(body) > limit:
                    raise asgi.BodyTooLargeError(f"request body exceeds {limit} bytes")
                if not holding.take(COPIES * len(part)):
                    raise NoRoomError(f"no room for {len(body)} bytes of a request")
                if not message.get("more_body", False):
                    holding.settle()
                    return bytes(body)
                if len(body) > byte_budget.SHORT_BYTES:
                    await _reserve(holding, COPIES * limit)
    except TimeoutError as error:
        raise asgi.BodyTooSlowError(f"request body incomplete after {seconds:g} s") from error


async def _reserve(holding: byte_budget.Holding, size: int) -> None:
    """Wait for room for a long body, unless there is no room for one more that waits.

    Raises
    ------
    NoRoomError
        If there is none soon.
    """
    if holding.reserved or holding.try_reserve(size):
        return
    has_room = holding.take(UNREAD_BYTES)
    if not has_room or not await held_bytes.reserve(holding, size, WAIT_SECONDS):
        raise NoRoomError(f"no room for {size} bytes of a request")
    holding.give_back(UNREAD_BYTES)
