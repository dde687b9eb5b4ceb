"""Messages between VMs, and the decisions that a limiter returns."""

from __future__ import annotations

import dataclasses

from hollyring.core import execution


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A VM asks a holder for tokens; `incarnation` and `ask` name the loan."""

    organisation: str
    incarnation: int
    ask: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A holder's answer: the tokens it debited, perhaps 0, and what it has left."""

    incarnation: int
    ask: int
    tokens: int
    left: int


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """Unused tokens of a loan go back; `tokens` is the sum of all returns of this loan.

    Once it is `spent`, nothing of the loan will be spent any more.
    """

    organisation: str
    incarnation: int
    ask: int
    tokens: int
    spent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmRequest:
    """A collector asks whether the receiver applies roster `revision` or a later one."""

    revision: int
    round: int


@dataclasses.dataclass(frozen=True, slots=True)
class Confirm:
    """The sender's present life applies roster `revision` or a later one."""

    revision: int
    round: int
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettledQuery:
    """Ask whether roster `revision` is settled."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """No VM applies a roster older than `revision` any more."""

    revision: int


Message = Ask | Grant | Return | ConfirmRequest | Confirm | SettledQuery | Settled


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and the VM that it goes to."""

    receiver: str
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request may run; its tokens are spent."""

    request_id: str
    organisation: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request may not run and did not.

    Parameters
    ----------
    code
        ``request_exceeds_burst``, ``rate_limited``, ``unknown_organisation``,
        ``not_configured`` or ``overloaded``.
    retry_after
        Seconds after which the request may succeed; 0 where trying again is of no use.
    """

    request_id: str
    organisation: str
    code: str
    retry_after: float
    execution: execution.Execution = execution.Execution.NOT_RUN


Decision = Admitted | Refused


@dataclasses.dataclass(slots=True)
class Effects:
    """What a step of the state machine asks for: messages to send and requests decided."""

    messages: list[Outgoing] = dataclasses.field(default_factory=list)
    decisions: list[Decision] = dataclasses.field(default_factory=list)

    def send(self, receiver: str, message: Message) -> None:
        """Add a message for `receiver`."""
        self.messages.append(Outgoing(receiver, message))
