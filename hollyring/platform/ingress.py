"""Callers' requests, entry answers and health checks as the platform speaks them."""

from __future__ import annotations

import urllib.parse

import msgspec

from hollyring.core import request_types
from hollyring.delivery import refusal
from hollyring.node import asgi, responses

MILLISECONDS = 1000.0
DEFAULT_PATIENCE_SECONDS = 30.0
MAX_ID_BYTES = 200


class AskError(Exception):
    """A request that can't be read."""


def decode_request(scope: asgi.Scope, body: bytes) -> request_types.Request:
    """Return the request in an ASGI scope.

    Raises
    ------
    AskError
        If a header can't be read.
    """
    headers = scope["headers"]
    name = _text(headers, b"x-request-id")
    if not name or len(name) > MAX_ID_BYTES:
        raise AskError("no usable request id")
    raw = scope["raw_path"]
    query = scope["query_string"]
    deadline = _text(headers, b"x-deadline-ms")
    after = _text(headers, b"last-event-id")
    host = _text(headers, b"host").rpartition(":")
    return request_types.Request(
        request_id=name,
        method=scope["method"].encode(),
        target=raw + b"?" + query if query else raw,
        host=(host[0] if host[0] and host[2].isdigit() else _text(headers, b"host")).lower(),
        path=raw.decode("latin-1"),
        headers=tuple(headers),
        body=body,
        api_key=_key(headers),
        deadline_seconds=_number(deadline) / MILLISECONDS if deadline else DEFAULT_PATIENCE_SECONDS,
        prompt=_prompt(headers),
        resume_after=int(_number(after)) if after else None,
    )


def encode_refusal(refused: refusal.Refusal) -> responses.EncodedRefusal:
    """Return a refusal as the platform's callers read it."""
    headers: list[request_types.Header] = [(b"content-type", b"application/json")]
    if refused.retry_after and refused.status in (429, 503, 408):
        headers.append((b"retry-after", f"{refused.retry_after:.3f}".encode()))
    return responses.EncodedRefusal(
        refused.status, headers, msgspec.json.encode({"error": refused.code})
    )


def is_entry_request(scope: asgi.Scope) -> bool:
    """Tell whether a caller asks for entry addresses."""
    return scope["path"] == "/hollyring/resolve"


def is_health_check(scope: asgi.Scope) -> bool:
    """Tell whether the platform asks whether this VM is ready."""
    return scope["path"] == "/hollyring/ready"


def encode_entry_response(addresses: list[str], ttl_seconds: float) -> bytes:
    """Return the body of an entry answer."""
    return msgspec.json.encode({"addresses": addresses, "ttl_s": ttl_seconds})


def _text(headers: list[request_types.Header], name: bytes) -> str:
    return next((value.decode("latin-1") for key, value in headers if key == name), "")


def _number(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError as error:
        raise AskError(f"not a number: {text[:40]}") from error


def _key(headers: list[request_types.Header]) -> str:
    scheme, _, key = _text(headers, b"authorization").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _prompt(headers: list[request_types.Header]) -> request_types.Prompt | None:
    model = _text(headers, b"x-model")
    counts = _text(headers, b"x-token-counts")
    if not model or not counts:
        return None
    read, _, write = counts.partition(",")
    listed = _text(headers, b"x-prompt-prefix")
    parts = tuple(_part(entry) for entry in listed.split(",") if entry.strip())
    hint = _text(headers, b"x-length-hint")
    return request_types.Prompt(
        model,
        parts,
        int(_number(read)),
        int(_number(write or "0")),
        int(_number(hint)) if hint else 0,
    )


def _part(entry: str) -> request_types.Part:
    name, _, tokens = entry.strip().rpartition(":")
    return request_types.Part(urllib.parse.unquote(name), int(_number(tokens)))
