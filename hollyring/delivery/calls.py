"""A non-idempotent call, how far it has come, and what the node is asked to do for it."""

from __future__ import annotations

import dataclasses
import enum

from hollyring.delivery import messages, records, refusal


class Outcome(enum.StrEnum):
    """What the owner of a claim says about it."""

    RUNNING = "running"
    NOT_SENT = "not_sent"
    ANSWERED = "answered"
    FORGOTTEN = "forgotten"


class Phase(enum.Enum):
    """How far a call has come on this VM."""

    CLAIMING = enum.auto()
    ASKING_OWNER = enum.auto()
    READY = enum.auto()
    SENT = enum.auto()
    ANSWERED = enum.auto()
    UNKNOWN = enum.auto()
    NOT_SENT = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A non-idempotent call as it came from a caller.

    Parameters
    ----------
    identity
        The node's name for this request, which `Reply` bears.
    key
        `records.claim_key`, or empty when the caller sent no `Idempotency-Key`.
    body
        `records.body_digest`.
    deadline
        Monotonic second by which the caller must have its final answer.
    key_time
        `records.key_time` of the key that the caller sent.
    """

    request_id: str
    key: bytes
    body_digest: bytes
    deadline: float
    key_time: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Add a record to its group's log and hand the outcome to `Claims.settle`."""

    record: records.Record
    reread: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AskOwner:
    """After `delay` seconds ask the VM that owns a claim; then call `owner_answered`."""

    sequence: int
    question: messages.ClaimQuestion
    delay: float


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the call to an upstream, under this stable identity.

    Connect, then call `Claims.may_send`; only when it allows so may a byte be written. Hand
    back `not_sent`, or `answered` or `connection_lost`.
    """

    sequence: int
    request_id: str
    upstream_request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The final answer to the request `identity`."""

    request_id: str
    answer: messages.Answer | refusal.Refusal


Action = Append | AskOwner | Dispatch | Reply
