"""Load generator: clients that look up VM addresses, send requests and verify responses."""

from __future__ import annotations

import dataclasses
import random
import time
from collections.abc import Callable
from typing import Any

import anyio
import httpcore
import msgspec

from hollyring.core import prompt_blocks
from hollyring.node import http_errors
from hollyring.standins import generated_text

MAX_ATTEMPTS = 4
CONNECT_TIMEOUT_SECONDS = 1.0
RESPONSE_TIMEOUT_SECONDS = 60.0
HTTP_OK = 200


@dataclasses.dataclass(slots=True)
class Caller:
    """Identity of a caller: the credentials and VM addresses that a `Client` uses for a request.

    Parameters
    ----------
    organisation
        Name of the organisation.
    key
        API key that it sends.
    entries
        Caller addresses of VMs, ``"IP:PORT"``, in the order of use.
    """

    organisation: str
    key: str
    entries: list[str]


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of one request from the caller's point of view.

    Parameters
    ----------
    kind
        ``"chat"``, ``"stream"`` or ``"order"``.
    complete, correct
        Whether a response was received completely, and whether it was the expected one.
    code
        Error code of a refused request or name of a connection error; empty on success.
    execution
        Whether the request ran, according to the error response, e.g. ``"not_run"``.
    attempts
        Number of attempts, each at the next VM.
    first_token
        Seconds until the first token; NaN if none was received.
    seconds
        Total duration of the request.
    order
        Identifier of an order.
    served_by
        Address of the VM of the last attempt.
    connection_lost
        Whether the connection of the last attempt failed, so that the result is unknown.
    """

    kind: str
    organisation: str
    complete: bool = False
    correct: bool = False
    code: str = ""
    execution: str = ""
    attempts: int = 0
    first_token: float = float("nan")
    seconds: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    order: str = ""
    served_by: str = ""
    connection_lost: bool = False


class Client:
    """Client that sends requests to the VMs and verifies the responses.

    Parameters
    ----------
    response_timeout
        Seconds without data from a VM after which the next VM is tried.

    Notes
    -----
    A request is retried at the next VM, up to `MAX_ATTEMPTS` attempts in total, if its connection
    fails or if the VM refuses it because the VM is leaving or has a stale configuration. An order
    keeps its ``Idempotency-Key``.
    """

    __slots__ = ("_pool", "_entries", "_entries_expire_at", "_response_timeout")

    def __init__(self, response_timeout: float = RESPONSE_TIMEOUT_SECONDS) -> None:
        self._response_timeout = response_timeout
        self._pool = httpcore.AsyncConnectionPool(max_connections=1_000, keepalive_expiry=5.0)
        self._entries: list[str] = []
        self._entries_expire_at = 0.0

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def fetch_entries(self, addresses: list[str]) -> list[str]:
        """Return the VM addresses to use, from the cache or from the first VM that responds.

        Expired addresses are asked before those given. If no VM responds with addresses,
        `addresses` is returned.
        """
        now = time.monotonic()
        if self._entries and now < self._entries_expire_at:
            return self._entries
        for address in self._entries or addresses:
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                    response = await self._pool.request("GET", f"http://{address}/v1/entry")
                found = msgspec.json.decode(response.content)
                entries = [vm["address"] for vm in found["vms"]]
            except (*http_errors.HTTP_ERRORS, msgspec.MsgspecError, KeyError):
                continue
            if entries:
                self._entries = entries
                self._entries_expire_at = now + found["keep_seconds"]
                return entries
        return addresses

    def _move_to_end(self, entry: str) -> None:
        """Move a failed address to the end of the cached addresses, until these are refreshed."""
        if entry in self._entries:
            self._entries = [*(e for e in self._entries if e != entry), entry]

    async def complete(
        self, caller: Caller, model: str, prompt: str, max_tokens: int, stream: bool
    ) -> Outcome:
        """Request a chat completion and compare it with the expected text."""
        messages = [{"role": "user", "content": prompt}]
        body = {"model": model, "messages": messages, "max_tokens": max_tokens, "stream": stream}
        if stream:
            body["stream_options"] = {"include_usage": True}
        expected = "".join(
            generated_text.expected_tokens(prompt_blocks.render(messages), max_tokens)
        )
        outcome = Outcome("stream" if stream else "chat", caller.organisation)
        read_response = _read_stream if stream else _read_whole
        started = time.monotonic()
        content = msgspec.json.encode(body)
        await self._send(
            caller, "/v1/chat/completions", content, outcome, read_response, started, expected
        )
        outcome.seconds = time.monotonic() - started
        return outcome

    async def send_order(self, caller: Caller, path: str, order_id: str) -> Outcome:
        """Send an order, a non-idempotent request to a service, which must run at most once.

        Repetitions use the same `order_id`.
        """
        outcome = Outcome("order", caller.organisation, order=order_id)
        started = time.monotonic()
        content = msgspec.json.encode({"order": order_id})
        headers = [(b"idempotency-key", order_id.encode())]
        await self._send(caller, path, content, outcome, _read_order, started, order_id, headers)
        outcome.seconds = time.monotonic() - started
        return outcome

    async def _send(
        self,
        caller: Caller,
        path: str,
        content: bytes,
        outcome: Outcome,
        read_response: Callable[..., Any],
        started: float,
        expected: str,
        extra_headers: list[tuple[bytes, bytes]] | None = None,
    ) -> None:
        headers = [(b"authorization", f"Bearer {caller.key}".encode())]
        headers += [(b"content-type", b"application/json"), *(extra_headers or [])]
        timeout = {
            "connect": CONNECT_TIMEOUT_SECONDS,
            "read": self._response_timeout,
            "write": self._response_timeout,
        }
        entries = list(caller.entries)
        for number in range(MAX_ATTEMPTS):
            entry = entries[number % len(entries)]
            outcome.attempts += 1
            outcome.code = ""
            outcome.connection_lost = False
            outcome.served_by = entry
            try:
                request = self._pool.stream(
                    "POST",
                    f"http://{entry}{path}",
                    headers=headers,
                    content=content,
                    extensions={"timeout": timeout},
                )
                async with request as response:
                    await read_response(response, outcome, started, expected)
            except http_errors.HTTP_ERRORS as error:
                outcome.code = type(error).__name__
                outcome.connection_lost = True
                self._move_to_end(entry)
                continue
            if outcome.complete or outcome.code not in ("leaving", "configuration_stale"):
                return


async def _read_refusal(response: httpcore.Response, outcome: Outcome) -> None:
    try:
        error = msgspec.json.decode(await response.aread()).get("error", {})
    except msgspec.MsgspecError:
        error = {}
    outcome.code = error.get("code", f"status_{response.status}")
    outcome.execution = error.get("execution", "")


async def _read_whole(
    response: httpcore.Response, outcome: Outcome, started: float, expected: str
) -> None:
    if response.status != HTTP_OK:
        await _read_refusal(response, outcome)
        return
    payload = msgspec.json.decode(await response.aread())
    outcome.first_token = time.monotonic() - started
    outcome.complete = True
    outcome.correct = payload["choices"][0]["message"]["content"] == expected
    _record_usage(outcome, payload["usage"])


async def _read_stream(
    response: httpcore.Response, outcome: Outcome, started: float, expected: str
) -> None:
    if response.status != HTTP_OK:
        await _read_refusal(response, outcome)
        return
    received: list[str] = []
    buffered = b""
    async for part in response.aiter_stream():
        lines = (buffered + part).split(b"\n")
        buffered = lines.pop()
        for line in lines:
            if line.startswith(b"data: "):
                _read_event(line[6:], outcome, started, received)
    outcome.correct = outcome.complete and "".join(received) == expected


def _read_event(data: bytes, outcome: Outcome, started: float, received: list[str]) -> None:
    if data == b"[DONE]":
        outcome.complete = True
        return
    event = msgspec.json.decode(data)
    if "error" in event:
        outcome.code = event["error"]["code"]
        outcome.execution = event["error"]["execution"]
        return
    if event.get("usage"):
        _record_usage(outcome, event["usage"])
    for choice in event["choices"]:
        if choice["delta"].get("content"):
            if not received:
                outcome.first_token = time.monotonic() - started
            received.append(choice["delta"]["content"])


async def _read_order(
    response: httpcore.Response, outcome: Outcome, started: float, expected: str
) -> None:
    if response.status != HTTP_OK:
        await _read_refusal(response, outcome)
        return
    payload = msgspec.json.decode(await response.aread())
    outcome.complete = True
    outcome.correct = msgspec.json.decode(payload["body"])["order"] == expected


def _record_usage(outcome: Outcome, usage: dict[str, Any]) -> None:
    outcome.prompt_tokens = usage["prompt_tokens"]
    outcome.cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]


@dataclasses.dataclass(slots=True)
class PromptGenerator:
    """Generator of prompts: a document, a subject (a parish) and a question.

    Prompts share the document, or the document and the subject, as a prefix.

    Parameters
    ----------
    rng
        Seeded random number generator.
    documents
        Number of documents; the document of rank r is drawn with weight 1/r.
    subjects
        Number of subjects of each document.
    document_bytes, subject_bytes
        Lengths of the two shared prefixes.
    shift
        Offset added to the ranks, which changes the most frequent documents.
    """

    rng: random.Random
    documents: int = 12
    subjects: int = 8
    document_bytes: int = 40_000
    subject_bytes: int = 6_000
    shift: int = 0

    def next_prompt(self) -> str:
        """Return the next prompt."""
        ranks = range(1, self.documents + 1)
        rank = self.rng.choices(ranks, [1 / r for r in ranks])[0]
        document = (rank + self.shift) % self.documents
        subject = self.rng.randrange(self.subjects)
        question = f"question {self.rng.randrange(1_000_000)}: is this parish eligible?"
        return (
            _repeat_to_length(f"circular {document} ", self.document_bytes)
            + _repeat_to_length(f"parish {document}/{subject} ", self.subject_bytes)
            + question
        )


def _repeat_to_length(label: str, size: int) -> str:
    return (label * (size // len(label) + 1))[:size]
