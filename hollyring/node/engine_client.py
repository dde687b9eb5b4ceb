"""Client of the inference servers; each call is one streamed attempt."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import Any

import anyio
import msgspec

from hollyring.node import connection_pool, errors, exchanges, http_connection, http_request

READ_TIMEOUT_SECONDS = 10.0
"""Timeout of each read of the body; the head's timeout applies instead if it is longer."""

DRAIN_TIMEOUT_SECONDS = 0.1
"""Maximum wait for the end of a body after its last event."""

MAX_CONNECTIONS = 2_000
"""Maximum number of connections from a VM to one inference server."""

MAX_ERROR_BODY_BYTES = 4_096
MAX_LINE_BYTES = 1_000_000
JSON_TYPE = (b"Content-Type", b"application/json")
HTTP_OK = 200
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """Generated text of one or more tokens, with the finish reason if it is the last."""

    text: str
    finish_reason: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Token counts reported by the inference server."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class EngineStatusError(errors.UpstreamError):
    """The inference server responded with an error status before it generated any tokens."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(f"status {status}: {message}", reached=True)
        self.status = status

    @property
    def final(self) -> bool:
        """Whether every inference server would refuse the request in the same way."""
        return self.status < HTTP_SERVER_ERROR and self.status != HTTP_TOO_MANY_REQUESTS


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


class EngineClient:
    """Client of all inference servers.

    Parameters
    ----------
    pool
        Connections to upstreams.
    """

    __slots__ = ("_pool",)

    def __init__(self, pool: connection_pool.ConnectionPool) -> None:
        self._pool = pool

    async def stream(
        self,
        url: str,
        path: str,
        body: bytes,
        request_id: str,
        head_timeout_seconds: float,
        has_caller_left: Callable[[], bool],
        record_sent: Callable[[], None] = lambda: None,
    ) -> AsyncGenerator[Token | Usage, None]:
        """Yield the tokens that the inference server at `url` generates, then its usage.

        Closing the iterator closes the connection, which cancels the request at the server. The
        iterator ends normally only after the last event of the server.

        Parameters
        ----------
        url
            ``"http://IP:PORT"``.
        request_id
            Identity of the attempt, by which its answer is recognised if the server names it.
        head_timeout_seconds
            Maximum wait for the head of the response.
        has_caller_left
            Checked after the connection is established and before the first byte is written.
        record_sent
            Called just before the first byte is written; until then the server has not run it.

        Raises
        ------
        UpstreamError
            If the server is unreachable, responds with an error, or the stream is incomplete.
        CallerLeftError
            If the caller left before the request was sent.
        """
        address = http_request.address_of(url)
        headers = [JSON_TYPE, (b"X-Request-Id", request_id.encode())]
        request = http_request.encode(b"POST", path.encode(), address.encode(), headers, body)
        try:
            connection = await self._pool.acquire(address, MAX_CONNECTIONS)
        except exchanges.NotSentError as error:
            raise errors.UpstreamError(str(error), reached=False) from error
        try:
            if has_caller_left():
                raise errors.CallerLeftError("caller left before the request was sent")
            record_sent()
            # Another server can continue the stream if the host of this one is silent for good.
            exchange = connection.send(
                request,
                exchanges.naming_reader(request_id),
                silence=http_connection.Silence.END_LATE,
            )
            with anyio.fail_after(head_timeout_seconds):
                head = await exchange.own_head()
            if head.status != HTTP_OK:
                raise EngineStatusError(head.status, await _error_text(exchange))
            async for item in _parse_stream(
                exchange, max(READ_TIMEOUT_SECONDS, head_timeout_seconds)
            ):
                yield item
        except exchanges.NotSentError as error:
            raise errors.UpstreamError(str(error), reached=False) from error
        except (exchanges.HttpConnectionError, TimeoutError) as error:
            raise errors.UpstreamError(str(error) or "response timeout", reached=True) from error
        finally:
            self._pool.release(address, connection)


async def _error_text(exchange: exchanges.Exchange) -> str:
    body = b""
    while (data := await exchange.read()) is not None and len(body) <= MAX_ERROR_BODY_BYTES:
        body += data
    return body[:MAX_ERROR_BODY_BYTES].decode(errors="replace")


async def _parse_stream(
    exchange: exchanges.Exchange, read_timeout_seconds: float
) -> AsyncIterator[Token | Usage]:
    rest = b""
    while True:
        with anyio.fail_after(read_timeout_seconds):
            data = await exchange.read()
        if data is None:
            raise errors.UpstreamError("stream ended without its last event", reached=True)
        lines = (rest + data).split(b"\n")
        rest = lines.pop()
        if len(rest) > MAX_LINE_BYTES:
            raise errors.UpstreamError("event exceeds the size limit", reached=True)
        for line in lines:
            if not line.startswith(b"data:"):
                continue
            event = line[5:].strip()
            if event == b"[DONE]":
                await _drain(exchange)
                return
            for item in _parse_event(event):
                yield item


async def _drain(exchange: exchanges.Exchange) -> None:
    """Read to the end of the body, as otherwise the connection cannot be reused."""
    with anyio.move_on_after(DRAIN_TIMEOUT_SECONDS):
        while await exchange.read() is not None:
            pass


def _parse_event(data: bytes) -> list[Token | Usage]:
    try:
        chunk = _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise errors.UpstreamError("unreadable event", reached=True) from error
    if chunk.error is not None:
        raise errors.UpstreamError("inference server sent an error event", reached=True)
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
