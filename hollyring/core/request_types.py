"""A request as every layer sees it, whichever surface it came through."""

from __future__ import annotations

import dataclasses
import enum

Header = tuple[bytes, bytes]
"""Name in lower case and value of an HTTP header."""


OUTPUT_LIMIT_RATIO = 4
"""Answers are mostly this many times shorter than they might be."""


class RetrySafety(enum.Enum):
    """How often a request may be run."""

    IDEMPOTENT = enum.auto()
    RESUMABLE = enum.auto()
    """A stream that another upstream can continue after a given event."""

    AT_MOST_ONCE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A piece of a prompt that several requests may share.

    Parameters
    ----------
    name
        Identity of the text; the same name stands for the same text.
    tokens
        Length of the text.
    """

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What a language server is to read and write.

    Parameters
    ----------
    model
        The model's name.
    parts
        The prompt in order; the last part belongs to this request or its session alone.
    prompt_tokens, output_tokens
        Tokens to read, and the most to generate.
    output_tokens_hint
        The caller's guess at the tokens that will be generated, 0 without one.
    """

    model: str
    parts: tuple[Part, ...]
    prompt_tokens: int
    output_tokens: int
    output_tokens_hint: int = 0

    @property
    def expected_output_tokens(self) -> int:
        """The tokens that will probably be generated."""
        return min(
            self.output_tokens_hint or self.output_tokens // OUTPUT_LIMIT_RATIO, self.output_tokens
        )

    @property
    def shared_parts(self) -> tuple[Part, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One attempt of a caller.

    Parameters
    ----------
    name
        Identity that the caller gave this attempt.
    method, target
        As the caller sent them; `target` is path and query.
    host, path
        What the route is chosen by.
    headers
        The caller's headers that an upstream may see.
    body
        The whole body.
    key
        The caller's key, empty without one.
    patience
        Seconds that the caller waits, counted from arrival.
    prompt
        For requests to language servers.
    resume_after
        Number of the last event that the caller already has, or None.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    api_key: str
    deadline_seconds: float
    prompt: Prompt | None = None
    resume_after: int | None = None
