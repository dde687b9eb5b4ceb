"""Decision how far a release goes, by what all VMs have counted; without I/O."""

from __future__ import annotations

import dataclasses

from hollyring.releases import evidence, messages

FIRST_SHARES = (0.05, 0.25)
"""Smallest and largest share of the requests with which a target is tried."""

FIRST_ALLOWANCE_SHARE = 0.35
"""Part of the allowance that may be spent before shares grow."""

WIDER_SHARES = (0.15, 0.4)
"""Shares of the requests that go to the target, one after the other."""

WATCH_SECONDS = 1.5
"""Shortest time for which a share is watched before a larger one."""

PROPAGATION_SECONDS = 1.0
"""Time in which a change reaches the VMs, and their counts the VM that decides."""

WIDENING_SECONDS = 7.0
WIDENING_TIME_SHARE = 0.5
"""Time before the deadline at which shares grow, and its largest part of the whole time."""

SETTLE_SECONDS = 1.0
"""Time after the switch within which a VM may still send requests to the baseline."""

SWITCH_SECONDS = 2.0
"""Time that is kept for the switch, until nothing is open at the baseline any more."""

LAST_SECONDS = 1.2
"""Time before the deadline, as it is known, at which a release ends.

The order was known some tenths of a second late, and the store has to take the end in time.
"""

MIN_ANSWERS = 20
"""Answers of the target without which no larger share is tried, unless time runs out."""

RATE_SHARE = 0.8
SLACK_SHARE = 0.8
"""Parts of the present rate and of the slack that the allowance counts on."""

MIN_UPSTREAMS = 2
"""Upstreams of the target with which it begins, if it has so many; one alone may be faulty."""


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What a VM knows of a release.

    Parameters
    ----------
    elapsed_seconds
        Time since the order.
    requests, exposed
        Requests of the service since the order, and those sent to the target.
    requests_per_second
        Present rate of the service's requests.
    baseline
        Software versions of the service besides the target.
    warm_upstreams, upstreams
        Upstreams of the target that have their full speed, and all of them.
    open_at_baseline
        Requests that are still open at the baseline.
    rejected
        Software versions that get nothing, as targets of earlier orders.
    target_answers
        Answers of the target.
    judgement
        What speaks against the target.
    """

    elapsed_seconds: float
    requests: int
    exposed: int
    requests_per_second: float
    baseline: tuple[str, ...]
    warm_upstreams: int
    upstreams: int
    open_at_baseline: int
    target_answers: int = 0
    judgement: evidence.Judgement = evidence.Judgement()
    rejected: tuple[str, ...] = ()


class Release:
    """One release as decided by a VM.

    Parameters
    ----------
    order
        The operator's order.
    rules
        Bounds on what a bad version may get.

    Examples
    --------
    >>> order = messages.ReleaseOrder("7", "chat", "v2", 20.0)
    >>> release = Release(order, messages.ReleaseRules(0.1, 50.0))
    >>> seen = Observation(1.0, 300, 0, 300.0, ("v1",), 2, 2, 40)
    >>> first = release.step(None, seen, now=1.0)
    >>> first.phase, first.share
    (<Phase.EXPOSED: 'exposed'>, 0.0511)
    >>> against = evidence.Judgement(11.0, "chat: 9 of 20 failed")
    >>> bad = dataclasses.replace(seen, judgement=against)
    >>> release.step(first, bad, now=1.5).phase
    <Phase.ROLLED_BACK: 'rolled_back'>
    """

    __slots__ = ("_order", "_rules", "_state", "_since")

    def __init__(self, order: messages.ReleaseOrder, rules: messages.ReleaseRules) -> None:
        self._order = order
        self._rules = rules
        self._state: messages.ReleaseState | None = None
        self._since = 0.0

    def step(
        self, state: messages.ReleaseState | None, seen: Observation, now: float
    ) -> messages.ReleaseState | None:
        """Return the state to write next, None if the present one stays.

        Parameters
        ----------
        state
            State of this order in the store, None if there is none.
        """
        state = state or self.first_state(seen)
        if self._state is None or (state.phase, state.share) != (
            self._state.phase,
            self._state.share,
        ):
            self._since = now
        self._state = state
        if state.phase.is_final:
            return None
        if seen.judgement.is_bad:
            return self._next(messages.Phase.ROLLED_BACK, 0.0, seen, seen.judgement.reason)
        left = self._order.seconds - seen.elapsed_seconds
        if left <= LAST_SECONDS:
            return self._at_deadline(seen)
        match state.phase:
            case messages.Phase.WAITING:
                return self._begin(seen)
            case messages.Phase.EXPOSED:
                return self._widen(state.share, seen, left, now)
            case _:
                return self._complete(seen, now)

    def allowance(self, seen: Observation) -> float:
        """Return the requests that the target may have had when the release ends."""
        left = max(0.0, self._order.seconds - seen.elapsed_seconds)
        requests = seen.requests + RATE_SHARE * seen.requests_per_second * left
        return self._rules.expose_share * requests + SLACK_SHARE * self._rules.expose_slack

    def first_state(self, seen: Observation) -> messages.ReleaseState:
        """Return the state of an order that none has been written of."""
        order = self._order
        return messages.ReleaseState(
            order.order_id,
            order.service,
            order.target,
            messages.Phase.WAITING,
            baseline=seen.baseline,
            rejected=seen.rejected,
        )

    def _at_deadline(self, seen: Observation) -> messages.ReleaseState:
        assert self._state is not None
        if self._state.phase is messages.Phase.SWITCHED:
            why = f"deadline, {seen.open_at_baseline} requests open at the baseline"
            return self._next(messages.Phase.COMPLETED, 1.0, seen, why)
        return self._next(
            messages.Phase.ROLLED_BACK, 0.0, seen, f"deadline while {self._state.phase}"
        )

    def _begin(self, seen: Observation) -> messages.ReleaseState | None:
        if not seen.baseline or not seen.upstreams:
            return None
        if seen.warm_upstreams < min(MIN_UPSTREAMS, seen.upstreams):
            return None
        return self._next(
            messages.Phase.EXPOSED,
            self._first_share(seen),
            seen,
            "upstreams of the target are there",
        )

    def _first_share(self, seen: Observation) -> float:
        """Return the share that spends its part of the allowance until shares grow."""
        seconds = max(WATCH_SECONDS, self._order.seconds - seen.elapsed_seconds - WIDENING_SECONDS)
        spent = FIRST_ALLOWANCE_SHARE * self.allowance(seen)
        lowest, highest = FIRST_SHARES
        share = spent / max(1.0, seen.requests_per_second * seconds)
        return min(highest, max(lowest, share))

    def _widen(
        self, share: float, seen: Observation, left: float, now: float
    ) -> messages.ReleaseState | None:
        is_trusted = not seen.judgement.is_doubtful and seen.target_answers >= MIN_ANSWERS
        is_time = left <= min(WIDENING_SECONDS, WIDENING_TIME_SHARE * self._order.seconds)
        if share > max(0.0, self._share_for(seen, PROPAGATION_SECONDS)):
            if is_time and is_trusted:
                return self._switch(seen)
            return self._next(messages.Phase.EXPOSED, 0.0, seen, "the allowance is used up")
        if left <= SWITCH_SECONDS + LAST_SECONDS and not seen.judgement.is_doubtful:
            return self._switch(seen)
        if not is_time or not is_trusted or now - self._since < WATCH_SECONDS:
            return None
        wider = next((wider for wider in WIDER_SHARES if wider > share), 1.0)
        wider = min(wider, self._share_for(seen, WATCH_SECONDS + PROPAGATION_SECONDS))
        if wider <= share or share == WIDER_SHARES[-1]:
            return self._switch(seen)
        return self._next(messages.Phase.EXPOSED, wider, seen, "no evidence against the target")

    def _switch(self, seen: Observation) -> messages.ReleaseState | None:
        if not seen.target_answers:
            return None
        return self._next(messages.Phase.SWITCHED, 1.0, seen, "no evidence against the target")

    def _complete(self, seen: Observation, now: float) -> messages.ReleaseState | None:
        if now - self._since < SETTLE_SECONDS or seen.open_at_baseline:
            return None
        return self._next(messages.Phase.COMPLETED, 1.0, seen, "nothing is open at the baseline")

    def _share_for(self, seen: Observation, seconds: float) -> float:
        """Return the share that the target may have for some seconds."""
        left = self.allowance(seen) - seen.exposed
        return left / max(1.0, seen.requests_per_second * seconds)

    def _next(
        self, phase: messages.Phase, share: float, seen: Observation, why: str
    ) -> messages.ReleaseState:
        assert self._state is not None
        return dataclasses.replace(
            self._state,
            phase=phase,
            share=round(share, 4),
            baseline=self._state.baseline or seen.baseline,
            elapsed_seconds=round(seen.elapsed_seconds, 3),
            requests=seen.requests,
            exposed=seen.exposed,
            why=why,
        )
