"""Orders to upstreams, given by the one holder of a lease until what is declared is served.

Nothing is kept: what is left to do is the difference between the declared targets and what the
upstreams report, so that the next holder finishes what a crashed one began.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

from hollyring.core import invariants
from hollyring.fleet import coverage, errors, messages, pace, targets


@dataclasses.dataclass(slots=True)
class _Given:
    order: messages.Order
    order_id: str
    at: float
    outcome: messages.Outcome | None = None


@dataclasses.dataclass(slots=True)
class _Observed:
    state: messages.UpstreamState
    heard_at: float


@dataclasses.dataclass(slots=True)
class _Step:
    now: float
    remaining: float
    loading: int
    served: coverage.Coverage | None = None


class Rollout:
    """Gives orders while its VM holds the lease.

    Parameters
    ----------
    bounds
        What it relies on.
    invariant_counter
        Counts ``weights_paced``, ``last_server_kept``, ``one_order_at_a_time``,
        ``orders_within_lease`` and ``no_order_to_leaving_upstream``.
    """

    def __init__(self, bounds: pace.Pace, invariant_counter: invariants.Invariants) -> None:
        self._pace = bounds
        self._invariants = invariant_counter
        self._targets: dict[str, targets.Target] = {}
        self._observed: dict[str, _Observed] = {}
        self._wanted: frozenset[coverage.Service] = frozenset()
        self._left: dict[str, tuple[messages.Change, ...]] = {}
        self._given: dict[str, _Given] = {}
        self._attempts: collections.Counter[str] = collections.Counter()
        self._not_before: dict[str, float] = {}
        self._fencing = 0
        self._holds = False
        self._ready_at = 0.0
        self._arrived_at = 0.0
        self._blocked: dict[str, str] = {}
        self._blocked_since: dict[str, float] = {}
        self._preferred: dict[str, int] = {}

    @property
    def holds(self) -> bool:
        """Whether this VM gives orders."""
        return self._holds

    @property
    def given(self) -> set[str]:
        """Upstreams with an order under way."""
        return set(self._given)

    @property
    def blocked(self) -> dict[str, str]:
        """Upstreams that wait, each with the model or adapter that would lose its last server."""
        return dict(self._blocked)

    def resize(self, bounds: pace.Pace) -> None:
        """Apply other bounds, as the number of upstreams changes."""
        self._pace = bounds

    def declare(self, declared: Iterable[targets.Target]) -> None:
        """Replace the declared targets."""
        wanted = {target.upstream: target for target in declared}
        if wanted == self._targets:
            return
        self._targets = wanted
        self._wanted = coverage.declared(self._targets.values())
        for upstream in [name for name in self._observed if name not in self._targets]:
            del self._observed[upstream]
        self._left.clear()
        for upstream in self._targets:
            self._compare(upstream)

    def prefer(self, upstreams: Iterable[str]) -> None:
        """Give orders to `upstreams` before others, in this order: they have least to lose."""
        self._preferred = {name: place for place, name in enumerate(upstreams)}

    def acquire(
        self,
        fencing: int,
        now: float,
        released: bool = False,
    ) -> None:
        """Take up the lease.

        Parameters
        ----------
        fencing
            Number of this holding, above every earlier one.
        released
            The earlier holder gave the lease back and had no order in flight.

        Raises
        ------
        StaleFencingError
            If `fencing` is not above the last one of this VM.
        """
        if fencing <= self._fencing:
            raise errors.StaleFencingError(f"{fencing} after {self._fencing}")
        self._fencing = fencing
        self._holds = True
        self._attempts.clear()
        self._not_before.clear()
        wait = 0.0 if released else self._pace.lease_seconds
        self._ready_at = now + wait + self._pace.flight_seconds
        self._arrived_at = self._ready_at

    def learn_last_order(self, at: float, now: float) -> None:
        """Take in when the earlier holder, which gives no more, gave its last order."""
        arrived_at = at + self._pace.flight_seconds
        self._arrived_at = min(self._arrived_at, arrived_at)
        self._ready_at = min(self._ready_at, max(now, arrived_at + self._pace.lease_seconds))

    def lose(self) -> None:
        """Stop giving orders."""
        self._holds = False
        self._given.clear()

    def observe(self, state: messages.UpstreamState, now: float) -> None:
        """Take in what an upstream reports; a state older than the last is ignored."""
        known = self._observed.get(state.upstream)
        if known is not None and state.is_older(known.state):
            return
        if state.upstream in self._targets:
            self._observed[state.upstream] = _Observed(state, now)
            self._compare(state.upstream)

    def heard(self, upstream: str, now: float) -> None:
        """Note that the state of `upstream` was confirmed to be unchanged."""
        if known := self._observed.get(upstream):
            known.heard_at = now

    def answered(self, upstream: str, order_id: str, outcome: messages.Outcome, now: float) -> None:
        """Take in what became of an order."""
        given = self._given.get(upstream)
        if given is None or given.order.order_id != order_id:
            return
        match outcome:
            case messages.Outcome.STALE_FENCING:
                self.lose()
            case messages.Outcome.NOT_SENT | messages.Outcome.CONFLICT:
                del self._given[upstream]
                self._not_before[upstream] = now + self._pace.retry_seconds
            case _:
                given.outcome = outcome

    def quiet(self, now: float) -> bool:
        """Tell whether no order is in flight, so that the lease may be released."""
        return all(self._has_arrived(given, now) for given in self._given.values())

    def step(self, remaining: float, now: float) -> list[messages.Order]:
        """Return the orders to send now.

        Parameters
        ----------
        remaining
            Seconds for which the lease is surely held.
        """
        if not self._holds or remaining <= 0 or now < self._ready_at:
            return []
        self._settle(now)
        self._blocked.clear()
        loading = sum(targets.loads_weights(given.order.change) for given in self._given.values())
        loading += sum(
            observed.state.busy
            for name, observed in self._observed.items()
            if name not in self._given
        )
        current = _Step(now, remaining, loading)
        given = [self._next_order(name, current) for name in sorted(self._left, key=self._urgency)]
        return [order for order in given if order is not None]

    def dump(self) -> dict[str, object]:
        """Return what the state dump shows."""
        return {
            "holds": self._holds,
            "fencing": self._fencing,
            "given": {name: given.order.order_id for name, given in sorted(self._given.items())},
            "blocked": dict(sorted(self._blocked.items())),
            "left": len(self._left) + len(self._targets.keys() - self._observed.keys()),
        }

    def _compare(self, upstream: str) -> None:
        """Work out what is left to do at `upstream`."""
        observed = self._observed.get(upstream)
        if observed is None:
            return
        left = tuple(targets.changes(self._targets[upstream], observed.state))
        if left:
            self._left[upstream] = left
            return
        self._left.pop(upstream, None)

    def _known(self, upstream: str, now: float) -> messages.UpstreamState | None:
        observed = self._observed.get(upstream)
        if observed is None:
            return None
        # A state heard before this may not show what the last holder's orders did.
        oldest = self._arrived_at + self._pace.report_lag_seconds
        if observed.heard_at < max(oldest, now - self._pace.report_timeout_seconds):
            return None
        return observed.state

    def _has_arrived(self, given: _Given, now: float) -> bool:
        return given.outcome is not None or now >= given.at + self._pace.arrival_seconds

    def _settle(self, now: float) -> None:
        """Drop the orders that were carried out, and those that can no longer be under way."""
        for upstream, given in list(self._given.items()):
            observed = self._observed.get(upstream)
            arrived = self._has_arrived(given, now)
            done = observed is not None and targets.shows(observed.state, given.order.change)
            if arrived and (done or upstream not in self._targets):
                del self._given[upstream]
                continue
            if self._was_lost(given, observed):
                del self._given[upstream]
                continue
            # A restarted upstream may have taken the order in its new life, so it counts as well.
            over_at = given.at + self._pace.order_seconds
            heard = observed is not None and observed.heard_at >= over_at
            if not heard and now < over_at + self._pace.report_timeout_seconds:
                continue
            if given.outcome is messages.Outcome.ACCEPTED:
                self._attempts[given.order_id] += 1
            del self._given[upstream]

    def _was_lost(self, given: _Given, observed: _Observed | None) -> bool:
        """Tell whether an upstream that counts its orders shows that this one did not come."""
        if given.outcome is messages.Outcome.ACCEPTED or given.order.expected is None:
            return False
        if observed is None or observed.state.busy:
            return False
        if observed.state.accepted != given.order.expected:
            return False
        arrival = given.at + self._pace.arrival_seconds
        return observed.heard_at >= arrival + self._pace.report_lag_seconds

    def _coverage(self, now: float) -> coverage.Coverage:
        """Return who surely serves what, orders under way allowed for."""
        known = [self._known(upstream, now) for upstream in self._observed]
        serving = [state for state in known if state is not None and not state.leaving]
        served = coverage.Coverage(serving, self._wanted)
        for upstream, given in self._given.items():
            if observed := self._observed.get(upstream):
                served.take_out(observed.state, given.order.change)
        return served

    def _urgency(self, upstream: str) -> tuple[bool, int, str]:
        """Order upstreams that serve nothing first: loading there takes nobody out."""
        serves = bool(self._observed[upstream].state.models)
        return (serves, self._preferred.get(upstream, len(self._preferred)), upstream)

    def _ready_state(self, upstream: str, now: float) -> messages.UpstreamState | None:
        """Return the state of an upstream that may be given an order."""
        if upstream in self._given or now < self._not_before.get(upstream, now):
            return None
        state = self._known(upstream, now)
        if state is None or state.leaving or state.busy:
            return None
        return state

    def _may_load(self, loading: int, now: float) -> bool:
        # Loads that the last holder ordered are over by then.
        wait = 0.0 if self._pace.loads_shown else self._pace.weights_seconds
        settled_at = self._ready_at + wait
        return now >= settled_at and loading < self._pace.weights_concurrency

    def _next_order(self, upstream: str, current: _Step) -> messages.Order | None:
        """Give the first order that `upstream` may be given now."""
        state = self._ready_state(upstream, current.now)
        if state is None:
            return None
        for change in self._left[upstream]:
            is_load = targets.loads_weights(change)
            if is_load and not self._may_load(current.loading, current.now):
                continue
            current.served = current.served or self._coverage(current.now)
            if self._is_blocked(upstream, state, change, current):
                continue
            current.loading += is_load
            current.served.take_out(state, change)
            order = self._give(self._targets[upstream], change, current)
            self._check(order, state, current.served, current)
            return order
        return None

    def _is_blocked(
        self,
        upstream: str,
        state: messages.UpstreamState,
        change: messages.Change,
        current: _Step,
    ) -> bool:
        """Note whether `change` would take a model's last server away."""
        service = current.served.last_served(state, change) if current.served else None
        if service is None:
            self._blocked_since.pop(upstream, None)
            return False
        self._blocked[upstream] = service.name
        since = self._blocked_since.setdefault(upstream, current.now)
        return current.now - since < self._pace.blocked_seconds

    def _give(
        self, target: targets.Target, change: messages.Change, current: _Step
    ) -> messages.Order:
        order_id = first_id = targets.order_id(target, change)
        if attempt := self._attempts[first_id]:
            # The upstream took the order and did not do it: the same identity does nothing.
            order_id = f"{first_id}:{self._fencing}.{attempt}"
        send_by = current.now + min(current.remaining, self._pace.send_seconds)
        expected = self._observed[target.upstream].state.accepted
        order = messages.Order(order_id, self._fencing, target.upstream, change, send_by, expected)
        self._invariants.check("one_order_at_a_time", target.upstream not in self._given, order_id)
        self._given[target.upstream] = _Given(order, first_id, current.now)
        return order

    def _check(
        self,
        order: messages.Order,
        state: messages.UpstreamState,
        served: coverage.Coverage,
        current: _Step,
    ) -> None:
        check = self._invariants.check
        paced = current.loading <= self._pace.weights_concurrency
        check("weights_paced", paced, order.order_id)
        check("orders_within_lease", current.remaining > 0, order.order_id)
        check("no_order_to_leaving_upstream", not state.leaving, order.order_id)
        kept = all(served.is_kept(service) for service in coverage.lost(state, order.change))
        kept = kept or order.upstream in self._blocked_since
        check("last_server_kept", kept, order.order_id)
