"""Rollout of model weights: sends orders to upstreams while this VM holds the order lease."""

from __future__ import annotations

import dataclasses
import math

import anyio

from hollyring.core import identities, invariants
from hollyring.fleet import messages, rollout, rollout_limits, targets
from hollyring.membership import heartbeat, leases
from hollyring.node import (
    clock,
    connection_pool,
    exchanges,
    interfaces,
    lease_calls,
    listed_holder,
    logs,
    previous_holder,
    send_permits,
    state,
    store_watcher,
)
from hollyring.routing import registry

TICK_SECONDS = 0.1
IDLE_TICK_SECONDS = 1.0
"""Tick of a VM that does not serve, which does not compete for the lease."""

LEASE_SECONDS = listed_holder.LEASE_SECONDS
MIN_LEASE_REMAINING_SECONDS = previous_holder.MIN_LEASE_REMAINING_SECONDS

ACQUIRE_STAGGER_SECONDS = 0.4
"""Delay before a VM tries to acquire a free lease, for each ready VM with a lower name."""

REPORT_POLL_SECONDS = 0.4
"""Time between two polls of an upstream's state during a rollout."""

ORDER_REPORT_POLL_SECONDS = 0.2
"""Time between two polls of an upstream that executes an order."""

LIMITED_REPORT_POLL_SECONDS = 2.0
"""Time between two polls of an upstream that named a request limit."""

CALL_TIMEOUT_SECONDS = 0.5
ANNOUNCE_DELAY_SECONDS = 0.12
"""Delay between the announcement of an order and its sending.

Meanwhile the other VMs stop sending requests to the upstream.
"""

MAX_QUEUE_WAIT_SECONDS = 0.6
"""Longest wait for the upstream's queue to empty, after `ANNOUNCE_DELAY_SECONDS`.

An upstream that begins to load weights refuses the requests in its queue.
"""

QUEUE_POLL_SECONDS = 0.05

SILENT_BACKOFF_SECONDS = 0.6
"""Time for which an upstream is excluded from the rollout after it did not report."""

MAX_LOADING_SHARE = 0.4
"""Largest share of a service's upstreams that load weights at the same time; at least one may."""

MIN_UPSTREAMS_FOR_TWO = 4
"""Number of upstreams from which two may load at once; one by one they may exceed the deadline."""

ROLLOUT_LIMITS = rollout_limits.RolloutLimits(
    weights_concurrency=1,
    weights_seconds=4.0,
    lease_seconds=LEASE_SECONDS,
    delivery_timeout_seconds=CALL_TIMEOUT_SECONDS,
    report_lag_seconds=0.3,
    report_timeout_seconds=3.0,
    retry_seconds=0.3,
    send_timeout_seconds=(
        ANNOUNCE_DELAY_SECONDS
        + MAX_QUEUE_WAIT_SECONDS
        + send_permits.ASK_TIMEOUT_SECONDS
        + connection_pool.CONNECT_TIMEOUT_SECONDS
    ),
    reports_show_loads=True,
    max_blocked_seconds=2.0,
)


class RolloutController:
    """Competes for the order lease and, while it holds the lease, runs a rollout for each service.

    Parameters
    ----------
    vm_state
        State with the upstreams and the wanted versions.
    store
        Store that grants the lease.
    watcher
        Records whether the store answers.
    codec
        Encodes orders and decodes reports.
    connections
        Connection pool for the upstreams.
    send_heartbeat
        Sends a heartbeat to the other VMs at once.
    permits
        Permits to call upstreams that named a request limit.
    """

    def __init__(
        self,
        vm_state: state.State,
        store: interfaces.Store,
        watcher: store_watcher.StoreWatcher,
        codec: interfaces.UpstreamCodec,
        connections: connection_pool.ConnectionPool,
        send_heartbeat: state.SendHeartbeat,
        permits: send_permits.SendPermits,
    ) -> None:
        vm_info = vm_state.vm_info
        self._state = vm_state
        self._store = store
        self._store_watcher = watcher
        self._codec = codec
        self._connections = connections
        self._send_heartbeat = send_heartbeat
        self._permits = permits
        self._incarnation = identities.Incarnation(vm_info.name, vm_info.life)
        self._lease = leases.LeaseClient(
            vm_state.store_keys.orders_lease, self._incarnation, LEASE_SECONDS
        )
        self._rollouts: dict[str, rollout.Rollout] = {}
        self._report_requested_at: dict[str, float] = {}
        self._reports_in_flight: set[str] = set()
        self._invariants = invariants.Invariants(strict=False)
        self._lease_free_since: float | None = None
        self._listed_holder = listed_holder.ListedHolder(vm_state)
        self._previous_holder = previous_holder.PreviousHolder(
            vm_state, store, watcher, self._listed_holder
        )
        self._fencing = 0
        self._own_order_at: float | None = None
        self._latest_possible_order_at = 0.0
        self._orders_from = 0.0
        self._silent_until: dict[str, float] = {}
        self._reacquire_until = -math.inf
        vm_state.store_era.add_listener(self._on_new_era)
        self._log = logs.Logger("orders")

    async def run(self) -> None:
        """Acquire the lease if it is free, and run rollouts while it is held, until cancelled."""
        async with anyio.create_task_group() as group:
            self._task_group = group
            while True:
                self._tick()
                idle = self._lease.phase is leases.Phase.IDLE and not self._state.peers.is_serving
                await anyio.sleep(IDLE_TICK_SECONDS if idle else TICK_SECONDS)

    async def stop(self) -> None:
        """Release the lease once the last order is `MIN_LEASE_REMAINING_SECONDS` old."""
        actions = self._lease.close()
        self._tick()
        self._send_heartbeat()
        if self._own_order_at is not None:
            # The next holder assumes that the last order is at least this old when the lease ends.
            await anyio.sleep(
                max(0.0, self._own_order_at + MIN_LEASE_REMAINING_SECONDS - clock.now())
            )
        for action in actions:
            if isinstance(action, leases.ReleaseLease) and action.lease:
                await self._perform(action)

    def _tick(self) -> None:
        now = clock.now()
        if self._lease.phase is leases.Phase.IDLE:
            self._listed_holder.observe(now)
        yields = self._yields(now)
        if yields:
            self._release_if_idle(now)
        if self._may_acquire(now):
            self._perform_actions(self._lease.tick(now))
        holds = self._lease.fencing(now) is not None
        reserved: list[str] = []
        if holds and not yields:
            for service in self._engine_services():
                reserved += self._step(service, now)
            self._state.selector.reserve(reserved)
        age = now - self._own_order_at if self._own_order_at is not None else -1.0
        self._state.order_lease = heartbeat.OrderLeaseStatus(holds, age, reserved)

    def _yields(self, now: float) -> bool:
        """Return whether this VM doesn't reach inference servers to which another VM may order."""
        unreachable = set(self._state.reachability.unreachable_services)
        services = unreachable.intersection(self._engine_services())
        return any(self._state.peers.executing(service, now) for service in services)

    def _release_if_idle(self, now: float) -> None:
        """Release the lease once the last order is `MIN_LEASE_REMAINING_SECONDS` old."""
        if self._lease.fencing(now) is None:
            return
        # The next holder assumes that the last order is at least this old when the lease ends.
        last_order_at = self._own_order_at
        if last_order_at is not None and now < last_order_at + MIN_LEASE_REMAINING_SECONDS:
            return
        self._log.info("gave up the order lease, as upstreams are unreachable")
        self._perform_actions(self._lease.release(now))
        self._send_heartbeat()

    def _may_acquire(self, now: float) -> bool:
        """Return whether the lease client may run, that is hold the lease or try to acquire it."""
        if self._lease.phase is not leases.Phase.IDLE:
            return True
        if not self._state.ready or not self._state.peers.is_serving or self._yields(now):
            return False
        if not self._listed_holder.may_be_none(now):
            self._lease_free_since = None
            return False
        if now < self._reacquire_until:
            return True
        if self._lease_free_since is None:
            # A holder that has not learned of the new era may act until its lease ends.
            self._lease_free_since = max(now, self._state.store_era.risen_at + LEASE_SECONDS)
        names = sorted(peer.vm.name for peer in self._state.peers.alive(now) if peer.ready)
        rank = sum(name < self._incarnation.name for name in names)
        return now - self._lease_free_since >= rank * ACQUIRE_STAGGER_SECONDS

    def _on_new_era(self) -> None:
        """Give up the lease, which the store may have lost, and acquire that of the new era.

        All others wait until a lease of the previous era has certainly ended. Until the one that
        this VM gives up would have ended, it need not wait.
        """
        now = clock.now()
        remaining = self._lease.remaining(now)
        if remaining:
            self._reacquire_until = now + remaining
        self._lease_free_since = None
        self._perform_actions(self._lease.forget(now))
        self._state.order_lease = dataclasses.replace(self._state.order_lease, held=False)

    def _perform_actions(self, actions: list[leases.Action]) -> None:
        for action in actions:
            match action:
                case leases.Acquired():
                    self._log.info("acquired the order lease", fencing=action.fencing)
                    self._reset_rollouts(action.fencing)
                case leases.Lost():
                    self._log.info("lost the order lease", fencing=action.fencing)
                    for service_rollout in self._rollouts.values():
                        service_rollout.lose_lease()
                case _:
                    self._task_group.start_soon(self._perform, action)

    def _reset_rollouts(self, fencing: int) -> None:
        now = clock.now()
        self._orders_from = now + previous_holder.WAIT_SECONDS
        self._task_group.start_soon(self._find_previous_end, fencing, now)
        self._rollouts = {}
        self._fencing = fencing
        self._reacquire_until = -math.inf
        # Whichever VM held the lease before, its lease had ended when this one was acquired, and it
        # sent no order in the last MIN_LEASE_REMAINING_SECONDS of it.
        self._latest_possible_order_at = now - MIN_LEASE_REMAINING_SECONDS
        if self._own_order_at is not None:
            self._latest_possible_order_at = max(self._latest_possible_order_at, self._own_order_at)

    async def _find_previous_end(self, fencing: int, acquired_at: float) -> None:
        """Allow orders sooner if the previous holder's right ended before its key was gone."""
        orders_from = await self._previous_holder.first_order_time(acquired_at)
        if self._fencing == fencing:
            self._orders_from = orders_from

    async def _perform(self, action: leases.Action) -> None:
        try:
            event = await lease_calls.call(self._store, action)
        except interfaces.StoreError as error:
            self._store_watcher.record_failure(str(error))
            event = leases.Failed(getattr(action, "call", 0))
        if event is not None:
            self._perform_actions(self._lease.handle(event, clock.now()))

    def _engine_services(self) -> list[str]:
        current = self._state.deployment
        if current is None:
            return []
        return [name for name, service in current.services.items() if service.engine]

    def _step(self, service: str, now: float) -> list[str]:
        """Advance the rollout of one service; return the upstreams to load weights next."""
        upstreams = [u for u in self._state.registry.of_service(service) if not u.leaving]
        upstreams = [u for u in upstreams if now >= self._silent_until.get(u.name, 0.0)]
        upstreams = [u for u in upstreams if not self._state.backoffs.is_active(u)]
        declared = [target for u in upstreams if (target := self._target(u)) is not None]
        service_rollout = self._rollouts.get(service)
        if service_rollout is None:
            service_rollout = self._rollouts[service] = rollout.Rollout(
                _rollout_limits(len(upstreams)), self._invariants
            )
            service_rollout.acquire_lease(self._fencing, now)
        service_rollout.record_last_order(self._latest_possible_order_at, now)
        answering = [u for u in upstreams if not u.is_suspect(now)]
        service_rollout.set_limits(_rollout_limits(len(answering)))
        service_rollout.set_targets(declared)
        reserved = self._next_upstreams(service_rollout, upstreams)
        if all(self._is_up_to_date(u) for u in upstreams) and not service_rollout.in_progress:
            return reserved
        service_rollout.set_priority(reserved)
        for upstream in upstreams:
            self._request_report(service_rollout, upstream, now)
        if now < self._orders_from:
            return reserved
        if self._lease.fencing(now, MIN_LEASE_REMAINING_SECONDS + ANNOUNCE_DELAY_SECONDS) is None:
            return reserved
        for order in service_rollout.step(self._lease.remaining(now), now):
            self._task_group.start_soon(self._execute_order, service_rollout, order)
        return reserved

    def _next_upstreams(
        self, service_rollout: rollout.Rollout, upstreams: list[registry.Upstream]
    ) -> list[str]:
        """Return the upstreams to load new weights next.

        Those with the oldest weights come first, as they are the first that must not be used any
        more, then those already reserved. If all are up to date, these are the upstreams with which
        the next rollout begins.
        """
        reserved = self._state.order_lease.reserved
        outdated = [
            u.name
            for u in upstreams
            if not self._is_up_to_date(u) and u.name not in service_rollout.in_progress
        ]
        names = outdated or [u.name for u in upstreams if u.name not in service_rollout.in_progress]
        versions = {u.name: sum(u.versions.values()) for u in upstreams}
        names.sort(key=lambda name: (versions[name], name not in reserved, name))
        return names[: _rollout_limits(len(upstreams)).weights_concurrency]

    def _target(self, upstream: registry.Upstream) -> targets.Target | None:
        wanted = [
            self._state.latest_wanted[model]
            for model in upstream.versions
            if model in self._state.latest_wanted
        ]
        if not wanted:
            return None
        models = tuple(messages.ModelVersion(w.model, str(w.version)) for w in wanted)
        return targets.Target(upstream.name, max(w.revision for w in wanted), models)

    def _is_up_to_date(self, upstream: registry.Upstream) -> bool:
        return all(
            version >= self._state.latest_wanted[model].version
            for model, version in upstream.versions.items()
            if model in self._state.latest_wanted
        )

    def _request_report(
        self, service_rollout: rollout.Rollout, upstream: registry.Upstream, now: float
    ) -> None:
        name = upstream.name
        interval = self._report_interval(upstream, name in service_rollout.in_progress)
        if (
            name in self._reports_in_flight
            or now - self._report_requested_at.get(name, 0.0) < interval
        ):
            return
        self._reports_in_flight.add(name)
        self._report_requested_at[name] = now
        self._task_group.start_soon(self._fetch_report, service_rollout, upstream)

    def _report_interval(self, upstream: registry.Upstream, has_order: bool) -> float:
        if self._state.registry.request_limits.per_second(upstream.incarnation) is not None:
            return LIMITED_REPORT_POLL_SECONDS
        return ORDER_REPORT_POLL_SECONDS if has_order else REPORT_POLL_SECONDS

    async def _fetch_report(
        self, service_rollout: rollout.Rollout, upstream: registry.Upstream
    ) -> None:
        address = upstream.entry.address
        try:
            if await self._permits.acquire(upstream, urgent=True) is None:
                return
            at = clock.now()
            request = self._codec.encode_report_request(address)
            response = await self._connections.call(address, request, CALL_TIMEOUT_SECONDS)
        except exchanges.HttpConnectionError as error:
            self._log.info("state report request failed", upstream=upstream.name, why=str(error))
            self._silent_until[upstream.name] = clock.now() + SILENT_BACKOFF_SECONDS
            return
        finally:
            self._reports_in_flight.discard(upstream.name)
        self._observe_head(upstream, response, at)
        report = self._codec.decode_report(upstream.name, upstream.entry.life, response.body, at)
        if report is None:
            self._log.info("unreadable report", upstream=upstream.name)
            return
        service_rollout.observe(report, clock.now())
        service_rollout.confirm_state(upstream.name, clock.now())
        if report.busy:
            return
        for served in report.models:
            version = int(served.version)
            # An order that is announced but has not arrived must not count as completed.
            if upstream.name in service_rollout.in_progress and version <= upstream.version(
                served.model
            ):
                continue
            self._announce(upstream, served.model, version, loading=False)

    async def _execute_order(self, service_rollout: rollout.Rollout, order: messages.Order) -> None:
        """Announce an order, send it and record the outcome."""
        upstream = self._state.registry.get(order.upstream)
        outcome = messages.Outcome.NOT_SENT
        if upstream is not None:
            self._announce(upstream, "", 0, loading=True)
            await anyio.sleep(ANNOUNCE_DELAY_SECONDS)
            await self._wait_for_queue(upstream)
            outcome = await self._send(upstream, order)
            if outcome is not messages.Outcome.ACCEPTED:
                self._announce(upstream, "", 0, loading=False)
        self._log.info(
            "order finished",
            upstream=order.upstream,
            order=order.order_id,
            fencing=order.fencing,
            expected=order.expected,
            outcome=str(outcome),
        )
        service_rollout.record_outcome(order.upstream, order.order_id, outcome, clock.now())

    async def _wait_for_queue(self, upstream: registry.Upstream) -> None:
        """Wait until an upstream has no queued prefill tokens, at most `MAX_QUEUE_WAIT_SECONDS`."""
        until = clock.now() + MAX_QUEUE_WAIT_SECONDS
        while upstream.queued_prefill_tokens(clock.now()) and clock.now() < until:
            await anyio.sleep(QUEUE_POLL_SECONDS)

    async def _send(self, upstream: registry.Upstream, order: messages.Order) -> messages.Outcome:
        if await self._permits.acquire(upstream, urgent=True) is None:
            return messages.Outcome.NOT_SENT
        if not self._may_send(upstream, order):
            return messages.Outcome.NOT_SENT

        def begin_to_send() -> bool:
            """Return whether the order may still be sent, and record that it is."""
            if not self._may_send(upstream, order):
                return False
            self._own_order_at = clock.now()
            return True

        address = upstream.entry.address
        request = self._codec.encode_order(address, order, self._incarnation.name)
        asked_at = clock.now()
        try:
            response = await self._connections.call_alone(
                address, request, CALL_TIMEOUT_SECONDS, begin_to_send
            )
        except exchanges.NotSentError:
            return messages.Outcome.NOT_SENT
        except exchanges.HttpConnectionError:
            return messages.Outcome.UNKNOWN
        self._observe_head(upstream, response, asked_at)
        return self._codec.decode_order_outcome(response.status)

    def _may_send(self, upstream: registry.Upstream, order: messages.Order) -> bool:
        """Return whether an order may be sent now.

        Without a wait between this and the write, an order is late only if the process stops there.
        """
        now = clock.now()
        if now > order.send_by or self._state.backoffs.is_active(upstream):
            return False
        return self._lease.fencing(now, MIN_LEASE_REMAINING_SECONDS) == order.fencing

    def _observe_head(
        self, upstream: registry.Upstream, response: exchanges.Response, sent_at: float
    ) -> None:
        head = exchanges.ResponseHead(response.status, response.headers)
        self._state.observe_head(upstream, self._codec.decode_head(head), sent_at)

    def _announce(
        self, upstream: registry.Upstream, model: str, version: int, loading: bool
    ) -> None:
        """Apply the state of an upstream's weights here and send it to the other VMs."""
        now = clock.now()
        if loading == upstream.is_loading(now) and version <= upstream.version(model):
            return
        weights = heartbeat.UpstreamWeights(upstream.name, model, version, loading)
        self._state.apply_weights(weights, now)
        self._state.weights.append(weights)
        self._send_heartbeat()


def _rollout_limits(upstreams: int) -> rollout_limits.RolloutLimits:
    concurrency = int(MAX_LOADING_SHARE * upstreams)
    if upstreams >= MIN_UPSTREAMS_FOR_TWO:
        concurrency = max(2, concurrency)
    return rollout_limits.with_concurrency(ROLLOUT_LIMITS, max(1, concurrency))
