"""Which software versions one VM sends a request to while a service is released."""

from __future__ import annotations

import dataclasses
import math

from hollyring.core import rendezvous
from hollyring.releases import messages

MAX_STATE_AGE_SECONDS = 2.0
"""Age of a VM's copy of the state above which it sends to the version that is known to be good."""

MAX_CREDIT = 2.0
"""Exposed requests that a VM may have saved up, so that it sends no burst to the target."""

MIN_SPREAD = 2
"""Upstreams that the exposed requests of all VMs are spread over, at least."""


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Software versions that a request must not be sent to.

    Parameters
    ----------
    withheld
        Software versions that get nothing.
    is_exposed
        Whether the request is one of those by which the target is tried.
    """

    withheld: frozenset[str] = frozenset()
    is_exposed: bool = False


ANYWHERE = Placement()


class Exposure:
    """Divides a service's requests between the target and the baseline of a release.

    A VM that starts anew has no credit, so that its share never exceeds that of the state.

    Examples
    --------
    >>> state = messages.ReleaseState("7", "chat", "v2", messages.Phase.EXPOSED, 0.25, ("v1",))
    >>> exposure = Exposure()
    >>> [exposure.place(state, "v2", None, True, 0.1).is_exposed for _ in range(8)]
    [False, False, False, True, False, False, False, True]
    """

    __slots__ = ("_credit",)

    def __init__(self) -> None:
        self._credit = 0.0

    def place(
        self,
        state: messages.ReleaseState | None,
        target: str,
        begun_at: str | None,
        is_first: bool,
        state_age: float,
    ) -> Placement:
        """Return where a request may go.

        Parameters
        ----------
        state
            State of the release as this VM knows it, None if it knows none.
        target
            Software version of the order.
        begun_at
            Software version that began the stream which the request continues, None if none did.
        is_first
            Whether this is the request's first attempt.
        state_age
            Seconds since which the state may have changed without this VM's knowledge.
        """
        safe = Placement(frozenset({target}))
        if state is None or state.phase in (messages.Phase.WAITING, messages.Phase.ROLLED_BACK):
            return safe
        baseline = frozenset(state.baseline)
        if state.phase is messages.Phase.COMPLETED:
            return Placement(baseline)
        if state_age > MAX_STATE_AGE_SECONDS:
            return safe
        if state.phase is messages.Phase.SWITCHED:
            return ANYWHERE if begun_at in baseline else Placement(baseline)
        if begun_at == target:
            return Placement(baseline) if state.share else safe
        if not is_first or begun_at is not None:
            return safe
        return self._divide(state.share, safe, Placement(baseline, is_exposed=True))

    def _divide(self, share: float, safe: Placement, exposed: Placement) -> Placement:
        self._credit = min(MAX_CREDIT, self._credit + share) if share else 0.0
        if self._credit < 1.0:
            return safe
        self._credit -= 1.0
        return exposed


def spread(order_id: str, upstreams: list[str], share: float) -> list[str]:
    """Return the target's upstreams that exposed requests go to, the same at all VMs.

    There are as many as the share is of all, so that each has the load that it will have in the
    end: a version that is bad under load only shows it to the few requests that it gets.

    Examples
    --------
    >>> len(spread("7", [f"i-{n}" for n in range(40)], 0.1))
    4
    """
    count = max(MIN_SPREAD, math.ceil(share * len(upstreams)))
    return rendezvous.rank(order_id.encode(), upstreams)[:count]
