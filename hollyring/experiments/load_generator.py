"""Callers of a fleet: they ask which VM to use, keep the answer a while, and check what comes."""

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
CONNECT_SECONDS = 1.0
ANSWER_SECONDS = 60.0
HTTP_OK = 200


@dataclasses.dataclass(slots=True)
class Caller:
    """One organisation's client.

    Parameters
    ----------
    organisation
        Its name.
    key
        The secret it shows.
    entries
        Caller addresses ``"IP:PORT"`` in the order to use them.
    """

    organisation: str
    key: str
    entries: list[str]


@dataclasses.dataclass(slots=True)
class Outcome:
    """What one request met, as its caller saw it.

    Parameters
    ----------
    kind
        ``"chat"``, ``"stream"`` or ``"order"``.
    complete, right
        Whether an answer came whole, and whether it was the expected one.
    code
        The refusal's code, empty for an answer.
    tries
        VMs asked.
    broken
        The last try's connection broke off, so that nobody could say what became of it.
    first_token
        Seconds until the first token, NaN for none.
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
    """Sends requests to the VMs and judges the answers.

    Parameters
    ----------
    patience
        Longest silence of a VM in seconds before another is tried.

    Notes
    -----
    A failed connection is tried again at the next VM; an order keeps its ``Idempotency-Key``.
    """

    __slots__ = ("_pool", "_entries", "_keep_until", "_patience")

    def __init__(self, patience: float = ANSWER_SECONDS) -> None:
        self._patience = patience
        self._pool = httpcore.AsyncConnectionPool(max_connections=1_000, keepalive_expiry=5.0)
        self._entries: list[str] = []
        self._keep_until = 0.0

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def fetch_entries(self, known: list[str]) -> list[str]:
        """Return which VMs to use, asked of the first of `known` that answers; kept a while."""
        now = time.monotonic()
        if self._entries and now < self._keep_until:
            return self._entries
        for address in self._entries or known:
            try:
                with anyio.fail_after(CONNECT_SECONDS):
                    response = await self._pool.request("GET", f"http://{address}/v1/entry")
                found = msgspec.json.decode(response.content)
                entries = [vm["address"] for vm in found["vms"]]
            except (*http_errors.HTTP_ERRORS, msgspec.MsgspecError, KeyError):
                continue
            if entries:
                self._entries = entries
                self._keep_until = now + found["keep_seconds"]
                return entries
        return known

    def _avoid(self, entry: str) -> None:
        """Use an address that failed last from now on, until the answer is asked for anew."""
        if entry in self._entries:
            self._entries = [*(e for e in self._entries if e != entry), entry]

    async def complete(
        self, caller: Caller, model: str, prompt: str, max_tokens: int, stream: bool
    ) -> Outcome:
        """Ask for a chat completion and compare the answer with the expected one."""
        messages = [{"role": "user", "content": prompt}]
        body = {"model": model, "messages": messages, "max_tokens": max_tokens, "stream": stream}
        if stream:
            body["stream_options"] = {"include_usage": True}
        wanted = "".join(generated_text.expected_tokens(prompt_blocks.render(messages), max_tokens))
        outcome = Outcome("stream" if stream else "chat", caller.organisation)
        read = _read_stream if stream else _read_whole
        started = time.monotonic()
        content = msgspec.json.encode(body)
        await self._try(caller, "/v1/chat/completions", content, outcome, read, started, wanted)
        outcome.seconds = time.monotonic() - started
        return outcome

    async def order(self, caller: Caller, path: str, identity: str) -> Outcome:
        """Send an order that must run at most once; repeats keep its identity."""
        outcome = Outcome("order", caller.organisation, order=identity)
        started = time.monotonic()
        content = msgspec.json.encode({"order": identity})
        headers = [(b"idempotency-key", identity.encode())]
        await self._try(caller, path, content, outcome, _read_order, started, identity, headers)
        outcome.seconds = time.monotonic() - started
        return outcome

    async def _try(
        self,
        caller: Caller,
        path: str,
        content: bytes,
        outcome: Outcome,
        read: Callable[..., Any],
        started: float,
        wanted: str,
        extra: list[tuple[bytes, bytes]] | None = None,
    ) -> None:
        headers = [(b"authorization", f"Bearer {caller.key}".encode())]
        headers += [(b"content-type", b"application/json"), *(extra or [])]
        timeout = {"connect": CONNECT_SECONDS, "read": self._patience, "write": self._patience}
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
                    await read(response, outcome, started, wanted)
            except http_errors.HTTP_ERRORS as error:
                outcome.code = type(error).__name__
                outcome.connection_lost = True
                self._avoid(entry)
                continue
            if outcome.complete or outcome.code not in ("leaving", "configuration_stale"):
                return


async def _refused(response: httpcore.Response, outcome: Outcome) -> None:
    try:
        error = msgspec.json.decode(await response.aread()).get("error", {})
    except msgspec.MsgspecError:
        error = {}
    outcome.code = error.get("code", f"status_{response.status}")
    outcome.execution = error.get("execution", "")


async def _read_whole(
    response: httpcore.Response, outcome: Outcome, started: float, wanted: str
) -> None:
    if response.status != HTTP_OK:
        await _refused(response, outcome)
        return
    answer = msgspec.json.decode(await response.aread())
    outcome.first_token = time.monotonic() - started
    outcome.complete = True
    outcome.correct = answer["choices"][0]["message"]["content"] == wanted
    _note_usage(outcome, answer["usage"])


async def _read_stream(
    response: httpcore.Response, outcome: Outcome, started: float, wanted: str
) -> None:
    if response.status != HTTP_OK:
        await _refused(response, outcome)
        return
    got: list[str] = []
    rest = b""
    async for part in response.aiter_stream():
        lines = (rest + part).split(b"\n")
        rest = lines.pop()
        for line in lines:
            if line.startswith(b"data: "):
                _event(line[6:], outcome, started, got)
    outcome.correct = outcome.complete and "".join(got) == wanted


def _event(data: bytes, outcome: Outcome, started: float, got: list[str]) -> None:
    if data == b"[DONE]":
        outcome.complete = True
        return
    event = msgspec.json.decode(data)
    if "error" in event:
        outcome.code = event["error"]["code"]
        outcome.execution = event["error"]["execution"]
        return
    if event.get("usage"):
        _note_usage(outcome, event["usage"])
    for choice in event["choices"]:
        if choice["delta"].get("content"):
            if not got:
                outcome.first_token = time.monotonic() - started
            got.append(choice["delta"]["content"])


async def _read_order(
    response: httpcore.Response, outcome: Outcome, started: float, wanted: str
) -> None:
    if response.status != HTTP_OK:
        await _refused(response, outcome)
        return
    answer = msgspec.json.decode(await response.aread())
    outcome.complete = True
    outcome.correct = msgspec.json.decode(answer["body"])["order"] == wanted


def _note_usage(outcome: Outcome, usage: dict[str, Any]) -> None:
    outcome.prompt_tokens = usage["prompt_tokens"]
    outcome.cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]


@dataclasses.dataclass(slots=True)
class PromptGenerator:
    """Prompts whose prefixes nest: document, then parish or shop, then question.

    Parameters
    ----------
    draw
        Seeded randomness.
    documents
        Documents in circulation; rank r is drawn with weight 1/r.
    document_bytes, parish_bytes
        Lengths of the two shared levels.
    """

    draw: random.Random
    documents: int = 12
    parishes: int = 8
    document_bytes: int = 40_000
    parish_bytes: int = 6_000
    shift: int = 0

    def next_prompt(self) -> str:
        """Return the next prompt."""
        ranks = range(1, self.documents + 1)
        rank = self.draw.choices(ranks, [1 / r for r in ranks])[0]
        document = (rank + self.shift) % self.documents
        parish = self.draw.randrange(self.parishes)
        question = f"question {self.draw.randrange(1_000_000)}: is this parish eligible?"
        return (
            _filler(f"circular {document} ", self.document_bytes)
            + _filler(f"parish {document}/{parish} ", self.parish_bytes)
            + question
        )


def _filler(label: str, size: int) -> str:
    return (label * (size // len(label) + 1))[:size]
