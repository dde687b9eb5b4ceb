"""Messages by which a VM asks the owner of a claim what became of it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One header of an answer."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An upstream's whole answer to a non-idempotent call.

    Parameters
    ----------
    status
        HTTP status.
    headers
        Those that are passed on to the caller.
    body
        The body.
    """

    status: int
    headers: list[Header]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimQuestion:
    """What became of this claim of yours?"""

    key: bytes
    owner: str
    incarnation: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """What the owner knows about its claim.

    Parameters
    ----------
    outcome
        A value of `claims.Outcome`.
    answers
        The first answer, when the outcome is "answered" and it is still kept; else empty.
    """

    outcome: str
    answers: list[Answer]
