"""Orders, states and rules of releases."""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseRules:
    """Bounds on what a bad version may get.

    Parameters
    ----------
    expose_share
        Largest share of a service's requests, from the order to its deadline, that reaches one.
    expose_slack
        Number of requests beyond that share.
    """

    expose_share: float
    expose_slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseOrder:
    """The operator's order to move a service to another software version.

    Parameters
    ----------
    order_id
        Differs between two orders, also of the same target.
    service
        Name of the service.
    target
        Software version to move to.
    seconds
        Time from the order within which it has to be completed or rolled back.
    """

    order_id: str
    service: str
    target: str
    seconds: float


class Phase(enum.StrEnum):
    """How far a release has come."""

    WAITING = "waiting"
    EXPOSED = "exposed"
    SWITCHED = "switched"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether the release has ended."""
        return self in (Phase.COMPLETED, Phase.ROLLED_BACK)


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseState:
    """State of a release as it stands in the store.

    Parameters
    ----------
    order_id, service, target
        As in the order.
    phase
        How far it has come.
    share
        Share of new requests that goes to the target while it is exposed.
    baseline
        Software versions that served when the release began.
    rejected
        Targets of earlier orders that were not completed, which get nothing.
    elapsed_seconds
        Time since the order when this was written, at least.
    requests, exposed
        Requests of the service since the order, and those of them that were sent to the target, at
        least.
    why
        Reason of the last change, for operators.
    """

    order_id: str
    service: str
    target: str
    phase: Phase
    share: float = 0.0
    baseline: tuple[str, ...] = ()
    elapsed_seconds: float = 0.0
    requests: int = 0
    exposed: int = 0
    why: str = ""
    rejected: tuple[str, ...] = ()

    def rejected_for(self, order: ReleaseOrder) -> frozenset[str]:
        """Return the versions that get nothing under another order than this state's."""
        unproven = () if self.phase is Phase.COMPLETED else (self.target,)
        return frozenset((*self.rejected, *unproven)) - {order.target}
