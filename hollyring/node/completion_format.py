"""JSON format of responses to callers: streamed events, complete completions, errors."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from hollyring.core import execution
from hollyring.node import asgi

EVENT_STREAM_HEADERS: asgi.Headers = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
]
DONE = b"data: [DONE]\n\n"

_encode = msgspec.json.encode


class ChunkFormatter:
    """Formats one completion, as events or as one JSON object.

    Parameters
    ----------
    request_id
        Id of the request.
    chat
        Whether this is a chat completion or a plain one.
    model
        Name of the model as given by the caller.
    created
        Time of creation, in seconds since the epoch.
    """

    __slots__ = ("_chat", "_head", "_base")

    def __init__(self, request_id: str, chat: bool, model: str, created: int) -> None:
        self._chat = chat
        kind = "chat.completion.chunk" if chat else "text_completion"
        base = {"id": request_id, "object": kind, "created": created, "model": model}
        self._base = base
        self._head = _encode(base)[:-1]

    def text(self, text: str, finish_reason: str | None, event_id: str) -> bytes:
        """Return an event with generated `text`, and with an id for resuming the stream."""
        content = _encode(text)
        finish = _encode(finish_reason)
        text_field = b'"delta":{"content":' + content + b"}" if self._chat else b'"text":' + content
        data = b'%b,"choices":[{"index":0,%b,"finish_reason":%b}]}' % (
            self._head,
            text_field,
            finish,
        )
        return b"id: %b\ndata: %b\n\n" % (event_id.encode(), data)

    def usage(self, usage: dict[str, Any]) -> bytes:
        """Return an event with the token counts."""
        return b"data: " + _encode({**self._base, "choices": [], "usage": usage}) + b"\n\n"

    def whole(self, text: str, finish_reason: str, usage: dict[str, Any]) -> dict[str, Any]:
        """Return the completion as one JSON object."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self._chat else "text_completion"
        return {**self._base, "object": kind, "choices": [choice], "usage": usage}


def usage(prompt_tokens: int, completion_tokens: int, cached_tokens: int) -> dict[str, Any]:
    """Return token counts in the OpenAI format."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
        "prompt_tokens_details": {"cached_tokens": cached_tokens},
    }


def error(
    code: str, message: str, execution_status: execution.Execution, kind: str = ""
) -> dict[str, Any]:
    """Return an error in the OpenAI format, with the execution status of the request."""
    body = {
        "message": message,
        "type": kind or code,
        "code": code,
        "execution": execution_status.value,
    }
    return {"error": body}


def error_event(code: str, message: str, execution_status: execution.Execution) -> bytes:
    """Return the error event that ends a stream that cannot be completed."""
    return b"event: error\ndata: " + _encode(error(code, message, execution_status)) + b"\n\n"


def retry_after(seconds: float | None) -> asgi.Headers:
    """Return the ``Retry-After`` header, in whole seconds, or no header."""
    if seconds is None:
        return []
    return [(b"retry-after", str(max(1, math.ceil(seconds))).encode())]
