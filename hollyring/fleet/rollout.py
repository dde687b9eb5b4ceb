"""Orders to upstreams, issued by the lease holder until the upstreams match their targets.

No progress is stored: the pending changes are the difference between the declared targets and the
reported states, so that the next lease holder completes a rollout that a crash interrupted.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

from hollyring.core import invariants
from hollyring.fleet import coverage, errors, messages, rollout_limits, targets


@dataclasses.dataclass(slots=True)
class _IssuedOrder:
    order: messages.Order
    base_id: str
    issued_at: float
    outcome: messages.Outcome | None = None


@dataclasses.dataclass(slots=True)
class _Observed:
    state: messages.UpstreamState
    confirmed_at: float


@dataclasses.dataclass(slots=True)
class _Step:
    now: float
    remaining_seconds: float
    loading: int
    served: coverage.Coverage | None = None


class Rollout:
    """Issues orders while its VM holds the lease.

    Parameters
    ----------
    limits
        Time limits and concurrency limits.
    invariant_counter
        Checks and counts ``weights_paced``, ``last_server_kept``, ``one_order_at_a_time``,
        ``orders_within_lease`` and ``no_order_to_leaving_upstream``.
    """

    def __init__(
        self, limits: rollout_limits.RolloutLimits, invariant_counter: invariants.Invariants
    ) -> None:
        self._limits = limits
        self._invariants = invariant_counter
        self._targets: dict[str, targets.Target] = {}
        self._observed: dict[str, _Observed] = {}
        self._required: frozenset[coverage.Service] = frozenset()
        self._pending: dict[str, tuple[messages.Change, ...]] = {}
        self._issued: dict[str, _IssuedOrder] = {}
        self._retries: collections.Counter[str] = collections.Counter()
        self._retry_at: dict[str, float] = {}
        self._fencing = 0
        self._holds_lease = False
        self._ready_at = 0.0
        self._last_arrival_at = 0.0
        self._blocked: dict[str, str] = {}
        self._blocked_since: dict[str, float] = {}
        self._priority: dict[str, int] = {}

    @property
    def holds_lease(self) -> bool:
        """Whether this VM holds the lease and issues orders."""
        return self._holds_lease

    @property
    def in_progress(self) -> set[str]:
        """Upstreams with an order in progress."""
        return set(self._issued)

    @property
    def blocked(self) -> dict[str, str]:
        """Blocked upstreams, each with the model or adapter that would lose its last upstream."""
        return dict(self._blocked)

    def set_limits(self, limits: rollout_limits.RolloutLimits) -> None:
        """Replace the limits, for instance after a change in the number of upstreams."""
        self._limits = limits

    def set_targets(self, declared: Iterable[targets.Target]) -> None:
        """Replace the declared targets."""
        by_upstream = {target.upstream: target for target in declared}
        if by_upstream == self._targets:
            return
        self._targets = by_upstream
        self._required = coverage.declared_services(self._targets.values())
        for upstream in [name for name in self._observed if name not in self._targets]:
            del self._observed[upstream]
        self._pending.clear()
        for upstream in self._targets:
            self._update_pending(upstream)

    def set_priority(self, upstreams: Iterable[str]) -> None:
        """Set the upstreams to prefer, starting with the one where a load interrupts least work.

        Upstreams that serve no model still come before all others.
        """
        self._priority = {name: rank for rank, name in enumerate(upstreams)}

    def acquire_lease(
        self,
        fencing: int,
        now: float,
        released: bool = False,
    ) -> None:
        """Record a newly acquired lease, under which `step` issues orders.

        The first orders wait until the orders issued under the previous lease have arrived and,
        unless that lease was released, until it has ended.

        Parameters
        ----------
        fencing
            Fencing token of the lease.
        released
            Whether the previous holder released the lease with no order in flight.

        Raises
        ------
        StaleFencingError
            If `fencing` is not above the fencing token of this VM's previous lease.
        """
        if fencing <= self._fencing:
            raise errors.StaleFencingError(
                f"fencing token {fencing} is not above the last one, {self._fencing}"
            )
        self._fencing = fencing
        self._holds_lease = True
        self._retries.clear()
        self._retry_at.clear()
        wait = 0.0 if released else self._limits.lease_seconds
        self._ready_at = now + wait + self._limits.delivery_timeout_seconds
        self._last_arrival_at = self._ready_at

    def record_last_order(self, at: float, now: float) -> None:
        """Record when the previous lease holder, now stopped, began to send its last order."""
        arrived_at = at + self._limits.delivery_timeout_seconds
        self._last_arrival_at = min(self._last_arrival_at, arrived_at)
        self._ready_at = min(self._ready_at, max(now, arrived_at + self._limits.lease_seconds))

    def lose_lease(self) -> None:
        """Stop issuing orders and forget those in progress."""
        self._holds_lease = False
        self._issued.clear()

    def observe(self, state: messages.UpstreamState, now: float) -> None:
        """Record a reported state; one older than the last is ignored."""
        previous = self._observed.get(state.upstream)
        if previous is not None and state.is_older(previous.state):
            return
        if state.upstream in self._targets:
            self._observed[state.upstream] = _Observed(state, now)
            self._update_pending(state.upstream)

    def confirm_state(self, upstream: str, now: float) -> None:
        """Record that the state of `upstream` was confirmed to be unchanged."""
        if observed := self._observed.get(upstream):
            observed.confirmed_at = now

    def record_outcome(
        self, upstream: str, order_id: str, outcome: messages.Outcome, now: float
    ) -> None:
        """Record the outcome of sending an order."""
        issued = self._issued.get(upstream)
        if issued is None or issued.order.order_id != order_id:
            return
        match outcome:
            case messages.Outcome.STALE_FENCING:
                self.lose_lease()
            case messages.Outcome.NOT_SENT | messages.Outcome.CONFLICT:
                del self._issued[upstream]
                self._retry_at[upstream] = now + self._limits.retry_seconds
            case _:
                issued.outcome = outcome

    def can_release_lease(self, now: float) -> bool:
        """Return whether no order is in flight, so that the lease may be released."""
        return all(self._has_arrived(issued, now) for issued in self._issued.values())

    def step(self, remaining_seconds: float, now: float) -> list[messages.Order]:
        """Return the orders to send now.

        Parameters
        ----------
        remaining_seconds
            Seconds for which the lease is certainly held.
        """
        if not self._holds_lease or remaining_seconds <= 0 or now < self._ready_at:
            return []
        self._drop_finished(now)
        self._blocked.clear()
        loading = sum(
            targets.loads_weights(issued.order.change)
            and self._is_responding(upstream, issued, now)
            for upstream, issued in self._issued.items()
        )
        loading += sum(
            observed.state.busy
            for name, observed in self._observed.items()
            if name not in self._issued
        )
        current = _Step(now, remaining_seconds, loading)
        issued = [
            self._next_order(name, current)
            for name in sorted(self._pending, key=self._priority_key)
        ]
        return [order for order in issued if order is not None]

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "holds": self._holds_lease,
            "fencing": self._fencing,
            "given": {name: issued.order.order_id for name, issued in sorted(self._issued.items())},
            "blocked": dict(sorted(self._blocked.items())),
            "left": len(self._pending) + len(self._targets.keys() - self._observed.keys()),
        }

    def _update_pending(self, upstream: str) -> None:
        """Update the pending changes of `upstream`."""
        observed = self._observed.get(upstream)
        if observed is None:
            return
        pending = tuple(targets.pending_changes(self._targets[upstream], observed.state))
        if pending:
            self._pending[upstream] = pending
            return
        self._pending.pop(upstream, None)

    def _recent_state(self, upstream: str, now: float) -> messages.UpstreamState | None:
        observed = self._observed.get(upstream)
        if observed is None:
            return None
        # An older state may not show the effect of orders from the previous lease holder.
        oldest = self._last_arrival_at + self._limits.report_lag_seconds
        if observed.confirmed_at < max(oldest, now - self._limits.report_timeout_seconds):
            return None
        return observed.state

    def _has_arrived(self, issued: _IssuedOrder, now: float) -> bool:
        return issued.outcome is not None or now >= issued.issued_at + self._limits.arrival_seconds

    def _drop_finished(self, now: float) -> None:
        """Drop orders that have taken effect and orders that can no longer be in progress."""
        for upstream, issued in list(self._issued.items()):
            observed = self._observed.get(upstream)
            arrived = self._has_arrived(issued, now)
            done = observed is not None and targets.is_applied(observed.state, issued.order.change)
            if arrived and (done or upstream not in self._targets):
                del self._issued[upstream]
                continue
            if self._was_not_delivered(issued, observed):
                del self._issued[upstream]
                continue
            # The order stays in progress if its upstream restarts, as it may arrive afterwards.
            effect_deadline = issued.issued_at + self._limits.order_seconds
            confirmed = observed is not None and observed.confirmed_at >= effect_deadline
            if not confirmed and now < effect_deadline + self._limits.report_timeout_seconds:
                continue
            if issued.outcome is messages.Outcome.ACCEPTED:
                self._retries[issued.base_id] += 1
            del self._issued[upstream]

    def _is_responding(self, upstream: str, issued: _IssuedOrder, now: float) -> bool:
        """Return whether an upstream with an order reported lately, or the order is recent.

        One that stopped responding must not hold up the others for as long as its order may take.
        """
        observed = self._observed.get(upstream)
        latest = max(issued.issued_at, observed.confirmed_at if observed else 0.0)
        return now - latest < self._limits.report_timeout_seconds

    def _was_not_delivered(self, issued: _IssuedOrder, observed: _Observed | None) -> bool:
        """Return whether the count of accepted orders shows that this one was not delivered."""
        if issued.outcome is messages.Outcome.ACCEPTED or issued.order.expected is None:
            return False
        if observed is None or observed.state.busy:
            return False
        if observed.state.accepted != issued.order.expected:
            return False
        arrival = issued.issued_at + self._limits.arrival_seconds
        return observed.confirmed_at >= arrival + self._limits.report_lag_seconds

    def _coverage(self, now: float) -> coverage.Coverage:
        """Return the upstreams of each service, without those that orders in progress interrupt."""
        states = [self._recent_state(upstream, now) for upstream in self._observed]
        available = [state for state in states if state is not None and not state.leaving]
        served = coverage.Coverage(available, self._required)
        for upstream, issued in self._issued.items():
            if observed := self._observed.get(upstream):
                served.remove_upstream(observed.state, issued.order.change)
        return served

    def _priority_key(self, upstream: str) -> tuple[bool, int, str]:
        """Return the sort key; upstreams without models come first, as they serve no requests."""
        serves = bool(self._observed[upstream].state.models)
        return (serves, self._priority.get(upstream, len(self._priority)), upstream)

    def _ready_state(self, upstream: str, now: float) -> messages.UpstreamState | None:
        """Return the state of an upstream that may receive an order, else None."""
        if upstream in self._issued or now < self._retry_at.get(upstream, now):
            return None
        state = self._recent_state(upstream, now)
        if state is None or state.leaving or state.busy:
            return None
        return state

    def _may_load(self, loading: int, now: float) -> bool:
        # If states do not show loads, those of the previous lease holder may still be running.
        wait = 0.0 if self._limits.reports_show_loads else self._limits.weights_seconds
        settled_at = self._ready_at + wait
        return now >= settled_at and loading < self._limits.weights_concurrency

    def _next_order(self, upstream: str, current: _Step) -> messages.Order | None:
        """Issue the first order that `upstream` may receive now."""
        state = self._ready_state(upstream, current.now)
        if state is None:
            return None
        for change in self._pending[upstream]:
            is_load = targets.loads_weights(change)
            if is_load and not self._may_load(current.loading, current.now):
                continue
            current.served = current.served or self._coverage(current.now)
            if self._is_blocked(upstream, state, change, current):
                continue
            current.loading += is_load
            current.served.remove_upstream(state, change)
            order = self._issue(self._targets[upstream], change, current)
            self._check_invariants(order, state, current.served, current)
            return order
        return None

    def _is_blocked(
        self,
        upstream: str,
        state: messages.UpstreamState,
        change: messages.Change,
        current: _Step,
    ) -> bool:
        """Return whether `change` has to wait, as it would leave a required service uncovered.

        After `max_blocked_seconds`, it need not wait any longer.
        """
        service = current.served.first_uncovered(state, change) if current.served else None
        if service is None:
            self._blocked_since.pop(upstream, None)
            return False
        self._blocked[upstream] = service.name
        since = self._blocked_since.setdefault(upstream, current.now)
        return current.now - since < self._limits.max_blocked_seconds

    def _issue(
        self, target: targets.Target, change: messages.Change, current: _Step
    ) -> messages.Order:
        order_id = base_id = targets.order_id(target, change)
        if retry := self._retries[base_id]:
            # The accepted order had no effect, and upstreams ignore another order with the same ID.
            order_id = f"{base_id}:{self._fencing}.{retry}"
        send_by = current.now + min(current.remaining_seconds, self._limits.send_timeout_seconds)
        expected = self._observed[target.upstream].state.accepted
        order = messages.Order(order_id, self._fencing, target.upstream, change, send_by, expected)
        self._invariants.check("one_order_at_a_time", target.upstream not in self._issued, order_id)
        self._issued[target.upstream] = _IssuedOrder(order, base_id, current.now)
        return order

    def _check_invariants(
        self,
        order: messages.Order,
        state: messages.UpstreamState,
        served: coverage.Coverage,
        current: _Step,
    ) -> None:
        check = self._invariants.check
        paced = current.loading <= self._limits.weights_concurrency
        check("weights_paced", paced, order.order_id)
        check("orders_within_lease", current.remaining_seconds > 0, order.order_id)
        check("no_order_to_leaving_upstream", not state.leaving, order.order_id)
        covered = all(
            served.is_covered(service) for service in coverage.lost_services(state, order.change)
        )
        covered = covered or order.upstream in self._blocked_since
        check("last_server_kept", covered, order.order_id)
