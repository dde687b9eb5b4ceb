"""Types that describe a request, whichever API it arrived through."""

from __future__ import annotations

import dataclasses
import enum

Header = tuple[bytes, bytes]
"""Lower-case name and value of an HTTP header."""


OUTPUT_LIMIT_RATIO = 4
"""Typical ratio of a request's output limit to the length of its answer."""


class RetrySafety(enum.Enum):
    """Conditions under which a request may be executed more than once.

    An `AT_MOST_ONCE` request is not retried once an upstream may have executed it, and an
    `IDEMPOTENT` one is not retried once the caller has received a part of the answer.
    """

    IDEMPOTENT = enum.auto()
    RESUMABLE = enum.auto()
    """A stream that another upstream can resume after a given event."""

    AT_MOST_ONCE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A segment of a prompt; all but the last may be common to several requests.

    Parameters
    ----------
    name
        Identifier of the text; equal names denote equal texts.
    tokens
        Length in tokens.
    """

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Model, prompt segments and token counts of a request to an inference server.

    Parameters
    ----------
    model
        Name of the model.
    parts
        Segments of the prompt in order. The last one is specific to this request or its session.
    prompt_tokens, output_tokens
        Length of the prompt, and maximum number of generated tokens.
    output_tokens_hint
        The caller's estimate of the generated tokens, or 0 if there is none.
    """

    model: str
    parts: tuple[Part, ...]
    prompt_tokens: int
    output_tokens: int
    output_tokens_hint: int = 0

    @property
    def expected_output_tokens(self) -> int:
        """Estimated number of tokens that will be generated."""
        return min(
            self.output_tokens_hint or self.output_tokens // OUTPUT_LIMIT_RATIO, self.output_tokens
        )

    @property
    def shared_parts(self) -> tuple[Part, ...]:
        """Parts of the prompt that other requests may share."""
        return self.parts[:-1]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as received from a caller; a retry by the caller is a new one.

    Parameters
    ----------
    request_id
        Identifier that the caller assigned to it.
    method, target
        HTTP method, and path with query string, as sent by the caller.
    host, path
        Host and path by which the route is selected.
    headers
        Headers as received; the upstream codec selects those that are forwarded.
    body
        The complete body.
    api_key
        API key of the caller, or an empty string.
    deadline_seconds
        Time that the caller waits for the answer, in seconds from arrival.
    prompt
        Prompt of a request to an inference server, else None.
    resume_after
        Number of the last event that the caller already received, or None.
    resumed_request_id
        Identifier of the caller's earlier request that received the first event of the stream, or
        an empty string.
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
    resumed_request_id: str = ""

    @property
    def first_request_id(self) -> str:
        """Identifier of the request with which the caller began, this one or an earlier one."""
        return self.resumed_request_id or self.request_id
