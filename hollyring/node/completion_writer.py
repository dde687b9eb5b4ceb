"""Writing of a completion to the caller: as server-sent events, or as one JSON object."""

from __future__ import annotations

import time
from collections.abc import Awaitable
from typing import Any

from hollyring.delivery import refusal
from hollyring.node import asgi, completion_format, completion_requests


def error_body(rejection: refusal.Refusal) -> dict[str, Any]:
    """Return the JSON body of a refusal."""
    return completion_format.error(rejection.code, rejection.message, rejection.execution)


async def refuse(send: asgi.Send, rejection: refusal.Refusal) -> None:
    """Send a refusal as a complete response."""
    headers = completion_format.retry_after(rejection.retry_after or None)
    await asgi.respond_json(send, rejection.status, error_body(rejection), headers)


class CompletionWriter:
    """Writes one completion to the caller.

    Parameters
    ----------
    send
        ASGI send callable.
    completion
        Completion request.
    request_id
        Id of the request.
    """

    __slots__ = (
        "_send",
        "_completion",
        "_chunks",
        "_started",
        "_ended",
        "_texts",
        "_blocked_since",
    )

    def __init__(
        self,
        send: asgi.Send,
        completion: completion_requests.Completion,
        request_id: str,
    ) -> None:
        self._send = send
        self._completion = completion
        created = int(time.time())
        self._chunks = completion_format.ChunkFormatter(
            request_id, completion.chat, completion.model, created
        )
        self._started = False
        self._ended = False
        self._texts: list[str] = []
        self._blocked_since: float | None = None

    @property
    def started(self) -> bool:
        """Whether a part of the response was sent."""
        return self._started

    @property
    def ended(self) -> bool:
        """Whether the last part of the response was sent or is being sent."""
        return self._ended

    def seconds_blocked(self, now: float) -> float:
        """Return the seconds for which the current send has been blocked by the caller."""
        return 0.0 if self._blocked_since is None else now - self._blocked_since

    async def text(self, text: str, event_id: str) -> None:
        """Send generated text, or store it if the completion is not streamed."""
        if not self._completion.stream:
            self._texts.append(text)
            return
        await self._write(self._chunks.text(text, None, event_id))

    async def complete(self, finish_reason: str, event_id: str, usage: dict[str, Any]) -> None:
        """Send the end of a complete response."""
        self._ended = True
        if not self._completion.stream:
            body = self._chunks.whole("".join(self._texts), finish_reason, usage)
            await self._send_timed(asgi.respond_json(self._send, 200, body))
            return
        tail = self._chunks.text("", finish_reason, event_id)
        if self._completion.include_usage:
            tail += self._chunks.usage(usage)
        await self._write(tail + completion_format.DONE, more=False)

    async def fail(self, rejection: refusal.Refusal) -> None:
        """Send a final error: an HTTP status if nothing was sent yet, else an error event."""
        self._ended = True
        if not self._started:
            await self._send_timed(refuse(self._send, rejection))
            return
        event = completion_format.error_event(
            rejection.code, rejection.message, rejection.execution
        )
        await self._write(event, more=False)

    async def _write(self, data: bytes, more: bool = True) -> None:
        if not self._started:
            self._started = True
            await asgi.start_response(self._send, 200, completion_format.EVENT_STREAM_HEADERS)
        await self._send_timed(asgi.write_body(self._send, data, more))

    async def _send_timed(self, sending: Awaitable[None]) -> None:
        self._blocked_since = time.monotonic()
        await sending
        self._blocked_since = None
