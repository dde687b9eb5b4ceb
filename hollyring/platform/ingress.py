"""Codec of callers' requests, entry responses and health checks in the platform's format.

The module implements `hollyring.node.adapter_server.CallerCodec`.
"""

from __future__ import annotations

import urllib.parse

import msgspec

from hollyring.core import request_types
from hollyring.delivery import refusal
from hollyring.node import asgi, responses

MS_PER_SECOND = 1000.0
DEFAULT_DEADLINE_SECONDS = 30.0
"""Deadline of a request without an ``x-deadline-ms`` header."""

MAX_NUMBER = 2**53
"""Largest whole number in a header, up to which a float is exact."""

MAX_REQUEST_ID_BYTES = 200


class RequestError(Exception):
    """A header of a request is missing or malformed."""


def decode_request(scope: asgi.Scope, body: bytes) -> request_types.Request:
    """Return the request of an ASGI scope.

    Raises
    ------
    RequestError
        If a header is missing or malformed.
    """
    headers = scope["headers"]
    request_id = _header_text(headers, b"x-request-id")
    if not request_id or len(request_id) > MAX_REQUEST_ID_BYTES:
        raise RequestError("x-request-id header is missing or too long")
    resumed_request_id = _header_text(headers, b"resumes")
    if len(resumed_request_id) > MAX_REQUEST_ID_BYTES:
        raise RequestError("resumes header is too long")
    raw_path = scope["raw_path"]
    query = scope["query_string"]
    deadline_ms = _header_text(headers, b"x-deadline-ms")
    last_event_id = _header_text(headers, b"last-event-id")
    host_parts = _header_text(headers, b"host").rpartition(":")
    return request_types.Request(
        request_id=request_id,
        method=scope["method"].encode(),
        target=raw_path + b"?" + query if query else raw_path,
        host=(
            host_parts[0]
            if host_parts[0] and host_parts[2].isdigit()
            else _header_text(headers, b"host")
        ).lower(),
        path=raw_path.decode("latin-1"),
        headers=tuple(headers),
        body=body,
        api_key=_bearer_token(headers),
        deadline_seconds=(
            _parse_number(deadline_ms) / MS_PER_SECOND if deadline_ms else DEFAULT_DEADLINE_SECONDS
        ),
        prompt=_parse_prompt(headers),
        resume_after=_parse_whole_number(last_event_id) if last_event_id else None,
        resumed_request_id=resumed_request_id,
    )


def encode_refusal(refused: refusal.Refusal) -> responses.EncodedRefusal:
    """Return a refusal in the platform's format."""
    headers: list[request_types.Header] = [(b"content-type", b"application/json")]
    if refused.retry_after and refused.status in (429, 503, 408):
        headers.append((b"retry-after", f"{refused.retry_after:.3f}".encode()))
    return responses.EncodedRefusal(
        refused.status, headers, msgspec.json.encode({"error": refused.code})
    )


def is_entry_request(scope: asgi.Scope) -> bool:
    """Return whether a caller requests entry addresses."""
    return scope["path"] == "/hollyring/resolve"


def decode_entry_domain(scope: asgi.Scope) -> str:
    """Return the failure domain of a caller that requests entry addresses, empty if unstated."""
    query = urllib.parse.parse_qs(scope["query_string"].decode("latin-1"))
    return query.get("zone", [""])[-1]


def is_health_check(scope: asgi.Scope) -> bool:
    """Return whether the platform checks that this VM is ready."""
    return scope["path"] == "/hollyring/ready"


def encode_entry_response(addresses: list[str], ttl_seconds: float) -> bytes:
    """Return the body of an entry response; callers may cache it for `ttl_seconds`."""
    return msgspec.json.encode({"addresses": addresses, "ttl_s": ttl_seconds})


def _header_text(headers: list[request_types.Header], name: bytes) -> str:
    return next((value.decode("latin-1") for key, value in headers if key == name), "")


def _parse_number(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError as error:
        raise RequestError(f"header value is not a number: {text[:40]}") from error


def _parse_whole_number(text: str) -> int:
    number = _parse_number(text)
    if number > MAX_NUMBER:
        raise RequestError(f"header value is too large: {text[:40]}")
    return int(number)


def _bearer_token(headers: list[request_types.Header]) -> str:
    scheme, _, key = _header_text(headers, b"authorization").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _parse_prompt(headers: list[request_types.Header]) -> request_types.Prompt | None:
    model = _header_text(headers, b"x-model")
    counts = _header_text(headers, b"x-token-counts")
    if not model or not counts:
        return None
    prompt_tokens, _, output_tokens = counts.partition(",")
    prefix = _header_text(headers, b"x-prompt-prefix")
    parts = tuple(_parse_part(entry) for entry in prefix.split(",") if entry.strip())
    length_hint = _header_text(headers, b"x-length-hint")
    return request_types.Prompt(
        model,
        parts,
        _parse_whole_number(prompt_tokens),
        _parse_whole_number(output_tokens or "0"),
        _parse_whole_number(length_hint) if length_hint else 0,
    )


def _parse_part(entry: str) -> request_types.Part:
    name, _, tokens = entry.strip().rpartition(":")
    return request_types.Part(urllib.parse.unquote(name), _parse_whole_number(tokens))
