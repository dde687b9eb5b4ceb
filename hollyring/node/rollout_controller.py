"""Gives upstreams their weights while this VM holds the right to, and reads what they report."""

from __future__ import annotations

import anyio

from hollyring.core import identities, invariants
from hollyring.fleet import messages, rollout, rollout_limits, targets
from hollyring.membership import heartbeat, leases
from hollyring.node import (
    clock,
    connection_pool,
    http_connection,
    interfaces,
    logs,
    state,
    store_watcher,
)
from hollyring.routing import registry

TICK_SECONDS = 0.1
LEASE_SECONDS = 3.0
LEFT_SECONDS = 1.5
"""An order is begun only while the lease surely lasts for so long: the next holder waits the less.

While the store answers, the lease is renewed well before.
"""

RANK_SECONDS = 0.4
"""Each VM in turn waits so much longer before it tries for the lease."""

REPORT_SECONDS = 0.4
"""Time between two reports of an upstream while there is work."""

ORDER_REPORT_SECONDS = 0.2
"""The same for one that carries out an order."""

CALL_SECONDS = 0.5
ANNOUNCE_SECONDS = 0.12
"""An order is sent so long after the other VMs were told, so that they send nothing new."""

QUEUE_SECONDS = 0.6
"""Longest further wait until the upstream has begun what it was sent: it would refuse the rest."""

QUEUE_TICK_SECONDS = 0.05

SILENT_SECONDS = 0.6
"""An upstream that gave no report is left out for so long."""

LOAD_SHARE = 0.4
"""Part of a service's upstreams that may take new weights at once."""

PACE = rollout_limits.RolloutLimits(
    weights_concurrency=1,
    weights_seconds=4.0,
    lease_seconds=LEASE_SECONDS,
    delivery_timeout_seconds=CALL_SECONDS,
    report_lag_seconds=0.3,
    report_timeout_seconds=3.0,
    retry_seconds=0.3,
    send_timeout_seconds=ANNOUNCE_SECONDS + QUEUE_SECONDS + 0.2,
    reports_show_loads=True,
    max_blocked_seconds=2.0,
)


class RolloutController:
    """Owns the lease on giving orders, and one rollout for each service.

    Parameters
    ----------
    beliefs
        Upstreams and wanted versions.
    store, follower
        Where the lease lies, and who notes whether the store answers.
    codec
        Encodes orders and decodes reports.
    connections
        Connections to upstreams.
    hurry
        Called when the other VMs are to be told at once.
    """

    def __init__(
        self,
        beliefs: state.State,
        store: interfaces.Store,
        follower: store_watcher.StoreWatcher,
        codec: interfaces.UpstreamCodec,
        connections: connection_pool.ConnectionPool,
        hurry: state.SendHeartbeat,
    ) -> None:
        place = beliefs.vm_info
        self._state = beliefs
        self._store = store
        self._follower = follower
        self._codec = codec
        self._links = connections
        self._hurry = hurry
        self._me = identities.Incarnation(place.name, place.life)
        self._lease = leases.LeaseClient(beliefs.prefixes.orders_lease, self._me, LEASE_SECONDS)
        self._rollouts: dict[str, rollout.Rollout] = {}
        self._reported: dict[str, float] = {}
        self._asking: set[str] = set()
        self._invariants = invariants.Invariants(strict=False)
        self._free_since: float | None = None
        self._last_holder = ""
        self._fencing = 0
        self._ordered_at: float | None = None
        self._last_order_at: float | None = None
        self._latest_order_at = 0.0
        self._silent_until: dict[str, float] = {}
        self._log = logs.Logger("orders")

    async def run(self) -> None:
        """Hold the lease when nobody else does, and give orders, until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                self._tick()
                await anyio.sleep(TICK_SECONDS)

    async def stop(self) -> None:
        """Give the lease back."""
        actions = self._lease.close()
        self._tick()
        self._hurry()
        if self._ordered_at is not None:
            # The next holder takes the last order to be so old when the lease ends.
            await anyio.sleep(max(0.0, self._ordered_at + LEFT_SECONDS - clock.now()))
        for action in actions:
            if isinstance(action, leases.ReleaseLease) and action.lease:
                await self._perform(action)

    def _tick(self) -> None:
        now = clock.now()
        if self._may_try(now):
            self._act(self._lease.tick(now))
        holds = self._lease.fencing(now) is not None
        reserved: list[str] = []
        if holds:
            self._learn_last_order(now)
            for service in self._services():
                reserved += self._step(service, now)
            self._state.selector.reserve(reserved)
        ago = now - self._ordered_at if self._ordered_at is not None else -1.0
        self._state.order_lease = heartbeat.OrderLeaseStatus(holds, ago, reserved)

    def _may_try(self, now: float) -> bool:
        """Tell whether the lease's client should do what is due."""
        if self._lease.phase is not leases.Phase.IDLE:
            return True
        if self._state.leaving or not self._state.ready:
            return False
        held = self._state.mirrors[self._state.prefixes.vms].items.get(
            self._state.prefixes.orders_lease
        )
        if held is not None:
            self._last_holder = held.value.decode(errors="replace").partition("#")[0]
            self._free_since = None
            return False
        if self._free_since is None:
            self._free_since = now
        names = sorted(peer.vm.name for peer in self._state.peers.alive(now) if peer.ready)
        rank = sum(name < self._me.name for name in names)
        return now - self._free_since >= rank * RANK_SECONDS

    def _act(self, actions: list[leases.Action]) -> None:
        for action in actions:
            match action:
                case leases.Acquired():
                    self._log.info("holder of orders", fencing=action.fencing)
                    self._acquired(action.fencing)
                case leases.Lost():
                    self._log.info("no longer holder of orders", fencing=action.fencing)
                    for machine in self._rollouts.values():
                        machine.lose_lease()
                case _:
                    self._group.start_soon(self._perform, action)

    def _acquired(self, fencing: int) -> None:
        self._rollouts = {}
        self._fencing = fencing
        # A holder begins no order in the last part of its lease, and the lease ended before its
        # key was seen to be gone.
        free_since = clock.now() if self._free_since is None else self._free_since
        self._last_order_at = None
        self._latest_order_at = free_since - LEFT_SECONDS

    def _learn_last_order(self, now: float) -> None:
        """Find out when the earlier holder gave its last order, once it says that it holds no more.

        Its pulse that says so may come after the lease was taken up.
        """
        if self._last_order_at is not None:
            return
        self._last_order_at = self._known_last_order(now)
        if self._last_order_at is not None:
            ago = round(now - self._last_order_at, 2)
            self._log.info("last order known", holder=self._last_holder, ago=ago)

    def _known_last_order(self, now: float) -> float | None:
        """Return when the earlier holder gave its last order, None if it may still give one."""
        if not self._last_holder:
            return None
        peer = self._state.peers.by_name.get(self._last_holder)
        if (
            peer is None
            or peer.holds_order_lease
            or now - peer.last_heartbeat_at > heartbeat.ALIVE_TIMEOUT_SECONDS
        ):
            return None
        return peer.last_order_at if peer.last_order_at is not None else now - LEASE_SECONDS

    async def _perform(self, action: leases.Action) -> None:
        try:
            event = await self._call(action)
        except interfaces.StoreError as error:
            self._follower.record_failure(str(error))
            event = leases.Failed(getattr(action, "call", 0))
        if event is not None:
            self._act(self._lease.handle(event, clock.now()))

    async def _call(self, action: leases.Action) -> leases.Event | None:
        match action:
            case leases.ReadHolder():
                item = await self._store.get(action.key)
                value, revision = (item.value, item.revision) if item else (b"", 0)
                return leases.HolderRead(action.call, value, revision)
            case leases.GrantLease():
                return leases.LeaseGranted(action.call, str(await self._store.grant(action.ttl)))
            case leases.WriteHolder():
                put = interfaces.Put(action.key, action.value, int(action.lease))
                written = await self._store.commit({action.key: action.version}, [put])
                if isinstance(written, interfaces.Committed):
                    return leases.HolderWritten(action.call, written.revision)
                return leases.Refused(action.call)
            case leases.RenewLease():
                renewed = await self._store.renew(int(action.lease))
                return leases.LeaseRenewed(action.call) if renewed else leases.Refused(action.call)
            case leases.ReleaseLease():
                await self._store.revoke(int(action.lease))
        return None

    def _services(self) -> list[str]:
        current = self._state.deployment
        if current is None:
            return []
        return [name for name, service in current.services.items() if service.engine]

    def _step(self, service: str, now: float) -> list[str]:
        """Do what is due for the upstreams of one service; return those that are next."""
        known = [u for u in self._state.registry.of_service(service) if not u.entry.leaving]
        known = [u for u in known if now >= self._silent_until.get(u.name, 0.0)]
        declared = [target for u in known if (target := self._target(u)) is not None]
        machine = self._rollouts.get(service)
        if machine is None:
            machine = self._rollouts[service] = rollout.Rollout(_pace(len(known)), self._invariants)
            machine.acquire_lease(self._fencing, now)
        last = self._latest_order_at if self._last_order_at is None else self._last_order_at
        machine.record_last_order(last, now)
        answering = [u for u in known if not u.is_suspect(now)]
        machine.set_limits(_pace(len(answering)))
        machine.set_targets(declared)
        reserved = self._next_ones(machine, known)
        if all(self._is_done(u) for u in known) and not machine.in_progress:
            return reserved
        machine.set_priority(reserved)
        for upstream in known:
            self._ask_report(machine, upstream, now)
        if self._lease.fencing(now, LEFT_SECONDS + ANNOUNCE_SECONDS) is None:
            return reserved
        for order in machine.step(self._lease.remaining(now), now):
            self._group.start_soon(self._give, machine, order)
        return reserved

    def _next_ones(self, machine: rollout.Rollout, known: list[registry.Upstream]) -> list[str]:
        """Return the upstreams that are to take new weights next, those reserved before first."""
        before = self._state.order_lease.reserved
        left = [u.name for u in known if not self._is_done(u) and u.name not in machine.in_progress]
        names = left or [u.name for u in known if u.name not in machine.in_progress]
        names.sort(key=lambda name: (name not in before, name))
        return names[: _pace(len(known)).weights_concurrency]

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

    def _is_done(self, upstream: registry.Upstream) -> bool:
        return all(
            version >= self._state.latest_wanted[model].version
            for model, version in upstream.versions.items()
            if model in self._state.latest_wanted
        )

    def _ask_report(
        self, machine: rollout.Rollout, upstream: registry.Upstream, now: float
    ) -> None:
        name = upstream.name
        pause = ORDER_REPORT_SECONDS if name in machine.in_progress else REPORT_SECONDS
        if name in self._asking or now - self._reported.get(name, 0.0) < pause:
            return
        self._asking.add(name)
        self._reported[name] = now
        self._group.start_soon(self._report, machine, upstream)

    async def _report(self, machine: rollout.Rollout, upstream: registry.Upstream) -> None:
        address = upstream.entry.address
        try:
            at = clock.now()
            request = self._codec.encode_report_request(address)
            answer = await self._links.call(address, request, CALL_SECONDS)
        except http_connection.HttpConnectionError as error:
            self._log.info("no report", upstream=upstream.name, why=str(error))
            self._silent_until[upstream.name] = clock.now() + SILENT_SECONDS
            return
        finally:
            self._asking.discard(upstream.name)
        found = self._codec.decode_report(upstream.name, upstream.entry.life, answer.body, at)
        if found is None:
            self._log.info("unreadable report", upstream=upstream.name)
            return
        machine.observe(found, clock.now())
        machine.confirm_state(upstream.name, clock.now())
        if found.busy:
            return
        for served in found.models:
            version = int(served.version)
            # An order that was announced but has not arrived must not look like one that is done.
            if upstream.name in machine.in_progress and version <= upstream.version(served.model):
                continue
            self._tell(upstream, served.model, version, loading=False)

    async def _give(self, machine: rollout.Rollout, order: messages.Order) -> None:
        """Announce an order, send it, and take in what became of it."""
        upstream = self._state.registry.get(order.upstream)
        outcome = messages.Outcome.NOT_SENT
        if upstream is not None:
            self._tell(upstream, "", 0, loading=True)
            await anyio.sleep(ANNOUNCE_SECONDS)
            await self._until_begun(upstream)
            outcome = await self._send(upstream, order)
            if outcome is not messages.Outcome.ACCEPTED:
                self._tell(upstream, "", 0, loading=False)
        self._log.info(
            "order",
            upstream=order.upstream,
            order=order.order_id,
            fencing=order.fencing,
            expected=order.expected,
            outcome=str(outcome),
        )
        machine.record_outcome(order.upstream, order.order_id, outcome, clock.now())

    async def _until_begun(self, upstream: registry.Upstream) -> None:
        """Wait until an upstream has begun all that it was sent, but not for long."""
        until = clock.now() + QUEUE_SECONDS
        while upstream.queued_prefill_tokens(clock.now()) and clock.now() < until:
            await anyio.sleep(QUEUE_TICK_SECONDS)

    async def _send(self, upstream: registry.Upstream, order: messages.Order) -> messages.Outcome:
        now = clock.now()
        if now > order.send_by or self._lease.fencing(now, LEFT_SECONDS) != order.fencing:
            return messages.Outcome.NOT_SENT
        address = upstream.entry.address
        request = self._codec.encode_order(address, order, self._me.name)
        self._ordered_at = now
        try:
            answer = await self._links.call(address, request, CALL_SECONDS)
        except http_connection.NotSentError:
            return messages.Outcome.NOT_SENT
        except http_connection.HttpConnectionError:
            return messages.Outcome.UNKNOWN
        return self._codec.decode_order_outcome(answer.status)

    def _tell(self, upstream: registry.Upstream, model: str, version: int, loading: bool) -> None:
        """Note an upstream's weights here and at the other VMs."""
        now = clock.now()
        if loading == upstream.is_loading(now) and version <= upstream.version(model):
            return
        weights = heartbeat.UpstreamWeights(upstream.name, model, version, loading)
        self._state.apply_weights(weights, now)
        self._state.weights.append(weights)
        self._hurry()


def _pace(upstreams: int) -> rollout_limits.RolloutLimits:
    return rollout_limits.with_concurrency(PACE, max(1, int(LOAD_SHARE * upstreams)))
