"""Non-idempotent calls, their phases, and the actions that the I/O layer carries out for them."""

from __future__ import annotations

import dataclasses
import enum

from hollyring.delivery import messages, records, refusal


class Outcome(enum.StrEnum):
    """Outcome of a call as reported by the owner of its claim.

    `FORGOTTEN` means that the owner does not know or no longer keeps the outcome, or could not be
    reached.
    """

    RUNNING = "running"
    NOT_SENT = "not_sent"
    ANSWERED = "answered"
    FORGOTTEN = "forgotten"


class Phase(enum.Enum):
    """Progress of a call on this VM."""

    CLAIMING = enum.auto()
    ASKING_OWNER = enum.auto()
    READY = enum.auto()
    SENT = enum.auto()
    ANSWERED = enum.auto()
    UNKNOWN = enum.auto()
    NOT_SENT = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Non-idempotent call from a caller.

    Parameters
    ----------
    request_id
        ID of this request on this VM, repeated in its `Reply`.
    key
        Result of `records.claim_key`, or empty if the caller sent no `Idempotency-Key`.
    body_digest
        Result of `records.body_digest`.
    deadline
        Monotonic second by which the caller must have its final answer.
    key_time
        Result of `records.key_time` for the caller's key.
    """

    request_id: str
    key: bytes
    body_digest: bytes
    deadline: float
    key_time: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append a record to its group's log and pass the result to `Claims.append_completed`."""

    record: records.Record
    reread: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AskOwner:
    """After `delay` seconds ask the VM that owns a claim, then call `Claims.owner_answered`."""

    sequence: int
    question: messages.ClaimQuestion
    delay: float


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the call to an upstream under the stable ID `upstream_request_id`.

    Connect, then call `Claims.may_send`; no byte may be written unless it returns true. Report the
    outcome by `not_sent`, `answer_received` or `connection_lost`.
    """

    sequence: int
    request_id: str
    upstream_request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Final answer to the request `request_id`."""

    request_id: str
    answer: messages.Answer | refusal.Refusal


Action = Append | AskOwner | Dispatch | Reply
