"""Client of the language servers: one streamed try at a time."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any

import anyio
import httpcore
import msgspec

from hollyring.node import errors, failures

CONNECT_SECONDS = 1.0
"""Longest wait for a connection to an upstream; nothing has been sent before it is up."""

SILENCE_SECONDS = 10.0
"""Longest silence of an upstream that has begun to answer."""

DRAIN_SECONDS = 0.1
"""Longest wait for the end of a body whose last event has come."""

ERROR_BODY_BYTES = 4_096
MAX_LINE_BYTES = 1_000_000
HTTP_OK = 200
HTTP_TOO_MANY = 429
HTTP_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """Generated text of one or more tokens, and why the answer ended, if it did."""

    text: str
    finish_reason: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Tokens that the engine counted."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class RefusedError(errors.UpstreamError):
    """The engine answered with an error status before it generated anything."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(f"status {status}: {message}", reached=True)
        self.status = status


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class _Details(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _Details | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []
    usage: _Usage | None = None
    error: Any = None


_decoder = msgspec.json.Decoder(_Chunk)


class Engines:
    """Connections to all language servers."""

    __slots__ = ("_pool",)

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(max_connections=2_000, keepalive_expiry=30.0)

    async def stream(
        self, address: str, path: str, body: bytes, first_seconds: float
    ) -> AsyncGenerator[Token | Usage, None]:
        """Yield what the engine at `address` generates, then its usage.

        Closing the iterator closes the connection, which cancels the engine's work. The iterator
        ends normally only after the engine's last event.

        Parameters
        ----------
        address
            ``"http://IP:PORT"``.
        first_seconds
            Longest wait for the head of the answer.

        Raises
        ------
        UpstreamError
            If the engine cannot be reached, answers with an error, or breaks off.
        """
        timeout = {"connect": CONNECT_SECONDS, "read": first_seconds, "write": CONNECT_SECONDS}
        timeout["pool"] = CONNECT_SECONDS
        request = self._pool.stream(
            "POST",
            address + path,
            headers=[(b"content-type", b"application/json")],
            content=body,
            extensions={"timeout": timeout},
        )
        try:
            async with request as response:
                if response.status != HTTP_OK:
                    message = await _error_text(response)
                    raise RefusedError(response.status, message)
                timeout["read"] = max(SILENCE_SECONDS, first_seconds)
                async for item in _items(response):
                    yield item
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
            raise errors.UpstreamError(type(error).__name__, reached=False) from error
        except failures.FAILURES as error:
            raise errors.UpstreamError(type(error).__name__, reached=True) from error

    async def cancel(self, address: str, request_id: str) -> None:
        """Ask the engine to forget a request; closing its connection does the same."""
        with anyio.move_on_after(CONNECT_SECONDS):
            try:
                await self._pool.request("DELETE", f"{address}/v1/requests/{request_id}")
            except failures.FAILURES:
                return

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()


async def _error_text(response: httpcore.Response) -> str:
    body = b""
    async for part in response.aiter_stream():
        body += part
        if len(body) > ERROR_BODY_BYTES:
            break
    return body[:ERROR_BODY_BYTES].decode(errors="replace")


async def _items(response: httpcore.Response) -> AsyncIterator[Token | Usage]:
    rest = b""
    parts = response.aiter_stream()
    async for part in parts:
        lines = (rest + part).split(b"\n")
        rest = lines.pop()
        if len(rest) > MAX_LINE_BYTES:
            raise errors.UpstreamError("event too long", reached=True)
        for line in lines:
            if not line.startswith(b"data:"):
                continue
            data = line[5:].strip()
            if data == b"[DONE]":
                await _drain(parts)
                return
            for item in _parse(data):
                yield item
    raise errors.UpstreamError("stream broke off", reached=True)


async def _drain(parts: AsyncIterator[bytes]) -> None:
    """Read to the end of the body, without which the connection can't be used again."""
    with anyio.move_on_after(DRAIN_SECONDS):
        async for _ in parts:
            pass


def _parse(data: bytes) -> list[Token | Usage]:
    try:
        chunk = _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise errors.UpstreamError("unreadable event", reached=True) from error
    if chunk.error is not None:
        raise errors.UpstreamError("error event", reached=True)
    items: list[Token | Usage] = []
    for choice in chunk.choices:
        text = choice.delta.content if choice.delta else choice.text
        if text or choice.finish_reason:
            items.append(Token(text or "", choice.finish_reason))
    if chunk.usage:
        details = chunk.usage.prompt_tokens_details
        cached = details.cached_tokens if details else 0
        items.append(Usage(chunk.usage.prompt_tokens, chunk.usage.completion_tokens, cached))
    return items
