"""Messages that the limiters of different VMs exchange, and the decisions of a limiter."""

from __future__ import annotations

import dataclasses

from hollyring.core import execution


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Borrow request to a holder.

    `incarnation` is that of the sender, and `ask` is the identifier that the sender gave the loan.
    """

    organisation: str
    incarnation: int
    ask: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Answer to an `Ask`: the tokens debited, possibly 0, and those left in the holder's share.

    `incarnation` and `ask` are those of the `Ask`.
    """

    incarnation: int
    ask: int
    tokens: int
    left: int


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """Return of a loan's unused tokens, or notice that the loan is spent.

    `tokens` is the total returned so far, so repeated messages have no effect. If `spent` is set,
    the borrower will spend no more tokens of the loan.
    """

    organisation: str
    incarnation: int
    ask: int
    tokens: int
    spent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmRequest:
    """Request to confirm that roster `revision` or a later one is applied; see `barrier`."""

    revision: int
    round: int


@dataclasses.dataclass(frozen=True, slots=True)
class Confirm:
    """Answer to a `ConfirmRequest`: the sender applies roster `revision`.

    `round` is that of the request, and `incarnation` that of the sender.
    """

    revision: int
    round: int
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettledQuery:
    """Query whether roster `revision` is settled."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """Notice that no VM applies a roster older than `revision` any more."""

    revision: int


Message = Ask | Grant | Return | ConfirmRequest | Confirm | SettledQuery | Settled


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and the VM to which it is addressed."""

    receiver: str
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is admitted and its tokens are spent."""

    request_id: str
    organisation: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused and was not executed.

    Parameters
    ----------
    code
        ``request_exceeds_burst``, ``rate_limited``, ``unknown_organisation``,
        ``not_configured`` or ``overloaded``.
    retry_after
        Seconds after which a retry may succeed; 0 if a retry is pointless.
    """

    request_id: str
    organisation: str
    code: str
    retry_after: float
    execution: execution.Execution = execution.Execution.NOT_RUN


Decision = Admitted | Refused


@dataclasses.dataclass(slots=True)
class Effects:
    """Result of a step of the state machine: messages to send and decisions made."""

    messages: list[Outgoing] = dataclasses.field(default_factory=list)
    decisions: list[Decision] = dataclasses.field(default_factory=list)

    def send(self, receiver: str, message: Message) -> None:
        """Add a message for `receiver`."""
        self.messages.append(Outgoing(receiver, message))
