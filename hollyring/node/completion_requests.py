"""Parsing of callers' completion requests, and encoding of requests to inference servers."""

from __future__ import annotations

import dataclasses
from typing import Any

import msgspec

from hollyring.core import prompt_blocks
from hollyring.node import errors, settings

DEFAULT_OUTPUT_TOKENS = 256

SAMPLING_FIELDS = (
    "temperature",
    "top_p",
    "top_k",
    "seed",
    "stop",
    "presence_penalty",
    "frequency_penalty",
    "logit_bias",
    "response_format",
    "tools",
    "tool_choice",
)
"""Fields passed to the inference server unchanged; all other fields are dropped."""


class RequestError(errors.VmError):
    """Invalid completion request.

    Parameters
    ----------
    code
        Stable error code for the caller.
    message
        Name of the field, its value and the allowed values.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


class _Message(msgspec.Struct, frozen=True):
    role: str
    content: Any = ""


class _StreamOptions(msgspec.Struct, frozen=True):
    include_usage: bool = False


class _Body(msgspec.Struct, frozen=True):
    model: str
    messages: list[_Message] | None = None
    prompt: str | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: _StreamOptions | None = None
    n: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """Parsed completion request.

    `prompt` holds the prompt in bytes, rendered from the messages of a chat; `sampling` holds the
    fields passed to the inference server unchanged.
    """

    chat: bool
    model: str
    messages: list[dict[str, Any]]
    prompt: bytes
    prompt_tokens: int
    max_tokens: int
    stream: bool
    include_usage: bool
    sampling: dict[str, Any]

    @property
    def reserved_tokens(self) -> int:
        """Tokens reserved from the organisation's rate limit: prompt and maximum output."""
        return self.prompt_tokens + self.max_tokens


def parse(body: bytes, chat: bool, limits: settings.Limits) -> Completion:
    """Parse the completion request in `body`.

    Raises
    ------
    RequestError
        If the body is not JSON, a field has a wrong type or value, or a limit is exceeded.
    """
    try:
        fields = msgspec.json.decode(body, type=_Body)
        raw_fields = msgspec.json.decode(body)
    except msgspec.ValidationError as error:
        raise RequestError("invalid_request", str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RequestError("invalid_json", "the body is not JSON") from error
    if fields.n != 1:
        raise RequestError("invalid_request", f"n: {fields.n}: allowed: 1")
    messages = _messages(fields, chat)
    prompt = prompt_blocks.render(messages) if chat else (fields.prompt or "").encode()
    prompt_tokens = prompt_blocks.token_count(prompt)
    if prompt_tokens > limits.prompt_tokens:
        allowed = limits.prompt_tokens
        raise RequestError(
            "prompt_too_long", f"prompt of {prompt_tokens} tokens: allowed: {allowed}"
        )
    return Completion(
        chat=chat,
        model=fields.model,
        messages=messages,
        prompt=prompt,
        prompt_tokens=prompt_tokens,
        max_tokens=_max_tokens(fields, limits),
        stream=fields.stream,
        include_usage=bool(fields.stream_options and fields.stream_options.include_usage),
        sampling={name: raw_fields[name] for name in SAMPLING_FIELDS if name in raw_fields},
    )


def _max_tokens(fields: _Body, limits: settings.Limits) -> int:
    max_tokens = fields.max_completion_tokens
    if max_tokens is None:
        max_tokens = fields.max_tokens
    if max_tokens is None:
        return min(DEFAULT_OUTPUT_TOKENS, limits.output_tokens)
    if not 0 < max_tokens <= limits.output_tokens:
        raise RequestError(
            "invalid_request", f"max_tokens: {max_tokens}: allowed: 1..{limits.output_tokens}"
        )
    return max_tokens


def _messages(fields: _Body, chat: bool) -> list[dict[str, Any]]:
    if not chat:
        if fields.prompt is None:
            raise RequestError("invalid_request", "prompt: missing: allowed: a string")
        return []
    if not fields.messages:
        raise RequestError("invalid_request", "messages: allowed: one or more messages")
    return [{"role": m.role, "content": _text(m.content)} for m in fields.messages]


def _text(content: Any) -> str:
    """Return the text of a message's content, which is a string or a list of text parts."""
    if isinstance(content, str):
        return content
    if content is None:
        return ""
    if isinstance(content, list):
        parts = [part.get("text") if isinstance(part, dict) else None for part in content]
        if all(isinstance(part, str) for part in parts):
            return "".join(map(str, parts))
    raise RequestError("invalid_request", "content: allowed: a string or a list of text parts")


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOptions:
    """Fields that the VM adds to a request to an inference server; none comes from the caller."""

    request_id: str
    cache_salt: int
    priority: int
    resume_text: str = ""
    resume_tokens: int = 0


def engine_body(completion: Completion, options: EngineOptions) -> bytes:
    """Encode the body of the request to the inference server."""
    body: dict[str, Any] = dict(completion.sampling)
    body["model"] = completion.model
    if completion.chat:
        body["messages"] = completion.messages
    else:
        body["prompt"] = completion.prompt.decode()
    body["max_tokens"] = completion.max_tokens - options.resume_tokens
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    body["request_id"] = options.request_id
    body["cache_salt"] = str(options.cache_salt)
    body["priority"] = options.priority
    if options.resume_text:
        body["resume_text"] = options.resume_text
    return msgspec.json.encode(body)
