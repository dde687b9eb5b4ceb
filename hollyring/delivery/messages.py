"""Messages by which a VM queries the owner of a claim for the outcome of its call."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One header of an answer."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer of an upstream to a non-idempotent call.

    Parameters
    ----------
    status
        HTTP status.
    headers
        Headers that are passed on to the caller.
    body
        Complete body.
    states_end
        Whether the upstream stated where the body ends; otherwise it may be a part of the whole.
    """

    status: int
    headers: list[Header]
    body: bytes
    states_end: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimQuestion:
    """Query for the outcome of a claim, sent to the VM that owns it."""

    key: bytes
    owner: str
    incarnation: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Outcome of a claim as reported by its owner.

    Parameters
    ----------
    outcome
        Value of `calls.Outcome`.
    answers
        The first answer if the outcome is "answered" and the answer is still cached, otherwise
        empty.
    """

    outcome: str
    answers: list[Answer]
