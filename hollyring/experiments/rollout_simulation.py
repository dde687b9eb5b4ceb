"""A rollout under faults: VMs, fake upstreams and a plain list of messages in flight.

The truth is known here, so that the promises are checked against what the upstreams do and not
against what the lease holder believes.
"""

from __future__ import annotations

import collections
import dataclasses
import random

from hollyring.core import invariants
from hollyring.experiments import rollout_upstreams
from hollyring.fleet import messages, rollout, rollout_limits, targets

TICK_SECONDS = 0.25
MODELS = ("parish", "ledger")
ADAPTERS = ("kigoma", "mtwara")
VMS = 3
LEAVING_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Chance of each fault per tick, and of each loss per message."""

    holder_crash: float = 0.003
    holder_pause: float = 0.003
    holder_cut: float = 0.003
    lease_forgotten: float = 0.006
    upstream_crash: float = 0.003
    upstream_leaves: float = 0.001
    failed_load: float = 0.02
    order_lost: float = 0.1
    answer_lost: float = 0.1
    report_lost: float = 0.1
    service_outage: float = 0.002
    declare: float = 0.03


NO_FAULTS = Faults(*[0.0] * len(dataclasses.fields(Faults)))


@dataclasses.dataclass(slots=True, eq=False)
class Vm:
    """A VM that may hold the lease."""

    machine: rollout.Rollout
    lease_until: float = 0.0
    paused_until: float = 0.0
    cut_until: float = 0.0
    outbox: list[messages.Order] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Flight:
    """A message on its way; `answer_to` is the VM that sent the order."""

    due: float
    vm: Vm
    order: messages.Order | None = None
    outcome: messages.Outcome | None = None
    state: messages.UpstreamState | None = None


class Simulation:
    """Upstreams, VMs, the lease and everything in flight.

    Parameters
    ----------
    seed
        Of all randomness.
    upstreams
        How many.
    bounds
        Bounds given to the machines; the world keeps to them.
    faults
        Chances.
    invariant_counter
        Counts what the machines assert and, as ``true_...``, what the world sees.
    """

    def __init__(
        self,
        seed: int,
        upstreams: int,
        bounds: rollout_limits.RolloutLimits,
        faults: Faults,
        invariant_counter: invariants.Invariants,
    ) -> None:
        self.now = 0.0
        self.faults = faults
        self.counts: collections.Counter[str] = collections.Counter()
        self.upstreams: dict[str, rollout_upstreams.FakeUpstream] = {}
        self._random = random.Random(seed)
        self._pace = bounds
        self._invariants = invariant_counter
        self._revision = 1
        self._declared: dict[str, targets.Target] = {}
        self._versions = dict.fromkeys(MODELS, 1)
        self._flights: list[Flight] = []
        self._vms = [self._new_vm() for _ in range(VMS)]
        self._lease: tuple[Vm, float] | None = None
        self._fencing = 0
        self._outage_until = 0.0
        self._lost_server_at: dict[str, float] = {}
        for number in range(upstreams):
            self._add_upstream(number)
        self._tell()

    @property
    def converged(self) -> bool:
        """Whether every upstream that stays serves what is declared."""
        return all(
            not list(
                targets.pending_changes(self._declared[upstream.name], upstream.state(self.now))
            )
            for upstream in self.upstreams.values()
            if upstream.is_up and not upstream.leaving
        )

    def declare_versions(self) -> None:
        """Declare the next version of one model."""
        model = self._random.choice(MODELS)
        self._versions[model] += 1
        self._redeclare()

    def crash_holder(self) -> None:
        """Replace the VM that holds the lease by an empty one; its lease runs on."""
        if self._lease is None or self._lease[0] not in self._vms:
            return
        self.counts["holder_crashes"] += 1
        self._vms[self._vms.index(self._lease[0])] = self._new_vm()

    def step(self) -> None:
        """Advance the world by one tick."""
        self.now += TICK_SECONDS
        self._strike()
        for upstream in self.upstreams.values():
            upstream.advance(self.now)
        self._report()
        self._deliver()
        self._run_lease()
        for vm in self._vms:
            self._run_vm(vm)
        self._check_truth()

    def _add_upstream(self, number: int) -> None:
        name = f"e{number}"
        models = {MODELS[number % len(MODELS)]: "v1"}
        upstream = rollout_upstreams.FakeUpstream(name, bool(number % 3), dict(models))
        upstream.models = dict(models)
        self.upstreams[name] = upstream
        self._declared[name] = targets.Target(
            name, 1, tuple(messages.ModelVersion(*entry) for entry in models.items())
        )

    def _new_vm(self) -> Vm:
        vm = Vm(rollout.Rollout(self._pace, self._invariants))
        vm.machine.set_targets(self._declared.values())
        return vm

    def _tell(self) -> None:
        for vm in self._vms:
            vm.machine.set_targets(self._declared.values())

    def _chance(self, probability: float) -> bool:
        return self._random.random() < probability

    def _redeclare(self) -> None:
        self._revision += 1
        for name, old in self._declared.items():
            models = tuple(
                messages.ModelVersion(entry.model, f"v{self._versions[entry.model]}")
                for entry in old.models
            )
            new = dataclasses.replace(old, models=models)
            if self._chance(0.2):
                adapters = tuple(a for a in ADAPTERS if self._chance(0.5))
                new = dataclasses.replace(new, adapters=adapters)
            role = self._random.choice(["both", "prefill", "decode"])
            if self._chance(0.2) and self._keeps_two(dataclasses.replace(new, role=role)):
                new = dataclasses.replace(new, role=role)
            if new != old:
                self._declared[name] = dataclasses.replace(new, revision=self._revision)
        self.counts["declarations"] += 1
        self._tell()

    def _keeps_two(self, new: targets.Target) -> bool:
        """Tell whether two upstreams stay declared for each capability of the models of `new`."""
        declared = {**self._declared, new.upstream: new}
        return all(
            sum(
                capability in targets.capabilities(target.role)
                for target in declared.values()
                if entry in target.models
            )
            >= 2
            for entry in new.models
            for capability in ("prefill", "decode")
        )

    def _strike(self) -> None:
        faults = self.faults
        if self._chance(faults.declare):
            self.declare_versions()
        if self._chance(faults.service_outage):
            self.counts["service_outages"] += 1
            self._outage_until = self.now + self._random.uniform(1, 30)
        if self._lease is not None and self._chance(faults.holder_crash):
            self.crash_holder()
        if self._lease is not None and self._chance(faults.holder_pause):
            self.counts["holder_pauses"] += 1
            self._lease[0].paused_until = self.now + self._random.uniform(1, 25)
        if self._lease is not None and self._chance(faults.holder_cut):
            self.counts["holder_cuts"] += 1
            self._lease[0].cut_until = self.now + self._random.uniform(1, 25)
        if self._chance(faults.lease_forgotten):
            # The service came back older; the holder believes in its lease until it ends.
            self.counts["leases_forgotten"] += 1
            self._lease = None
        for upstream in self.upstreams.values():
            self._strike_upstream(upstream)

    def _strike_upstream(self, upstream: rollout_upstreams.FakeUpstream) -> None:
        if not upstream.is_up:
            if self.now >= upstream.unavailable_until:
                upstream.restart()
            return
        if upstream.leaving and self.now >= upstream.unavailable_until:
            upstream.crash()
            return
        staying = sum(not other.leaving for other in self.upstreams.values())
        if self._chance(self.faults.upstream_crash):
            self.counts["upstream_crashes"] += 1
            self._note_loss(upstream)
            upstream.crash()
            upstream.unavailable_until = self.now + self._random.uniform(0, 10)
        if (
            upstream.is_up
            and staying > len(self.upstreams) // 2
            and self._chance(self.faults.upstream_leaves)
        ):
            self.counts["upstreams_leaving"] += 1
            self._note_loss(upstream)
            upstream.leaving = True
            upstream.unavailable_until = self.now + LEAVING_SECONDS
        if upstream.loading and self._chance(self.faults.failed_load):
            self.counts["failed_loads"] += 1
            upstream.loading = None

    def _note_loss(self, upstream: rollout_upstreams.FakeUpstream) -> None:
        # What it serves when it is back counts as well: the holder does not know of that either.
        for model in {*upstream.models, *upstream.initial}:
            self._lost_server_at[model] = self.now

    def _report(self) -> None:
        for upstream in self.upstreams.values():
            if not upstream.is_up:
                continue
            for vm in self._vms:
                if self._chance(self.faults.report_lost):
                    continue
                due = self.now + self._random.uniform(0, self._pace.report_lag_seconds)
                self._flights.append(Flight(due, vm, state=upstream.state(self.now)))

    def _deliver(self) -> None:
        due = [flight for flight in self._flights if flight.due <= self.now]
        self._flights = [flight for flight in self._flights if flight.due > self.now]
        self._random.shuffle(due)
        for flight in due:
            match flight:
                case Flight(vm=vm, state=messages.UpstreamState() as state):
                    vm.machine.observe(state, self.now)
                case Flight(vm=vm, order=order, outcome=messages.Outcome() as outcome) if order:
                    vm.machine.record_outcome(order.upstream, order.order_id, outcome, self.now)
                case Flight(vm=vm, order=messages.Order() as order):
                    self._arrive(vm, order)

    def _arrive(self, vm: Vm, order: messages.Order) -> None:
        upstream = self.upstreams[order.upstream]
        if not upstream.is_up:
            return
        self.counts["orders_arrived"] += 1
        current = order.fencing >= upstream.fencing
        before = self._servers()
        seconds = self._random.uniform(0.5, self._pace.weights_seconds)
        outcome = upstream.take(order, self.now, seconds)
        if outcome is messages.Outcome.ACCEPTED:
            self._invariants.check("true_no_stale_order", current, order.order_id)
            self._check_servers(before, order)
        if self._chance(self.faults.answer_lost):
            self.counts["answers_lost"] += 1
            return
        due = self.now + self._random.uniform(0, 0.5)
        self._flights.append(Flight(due, vm, order, outcome))

    def _servers(self) -> dict[str, set[str]]:
        servers: dict[str, set[str]] = collections.defaultdict(set)
        for upstream in self.upstreams.values():
            if not upstream.is_up or upstream.leaving:
                continue
            for model in upstream.models:
                for capability in targets.capabilities(upstream.role):
                    servers[f"{model}/{capability}"].add(upstream.name)
        return servers

    def _check_servers(self, before: dict[str, set[str]], order: messages.Order) -> None:
        after = self._servers()
        for served in before:
            model, capability = served.split("/")
            # A crash or leave that the holder cannot have heard of yet is none of its doing.
            unheard = self._pace.report_timeout_seconds + self._pace.report_lag_seconds
            unheard += self._pace.delivery_timeout_seconds + self._pace.send_timeout_seconds
            if self.now - self._lost_server_at.get(model, float("-inf")) <= unheard:
                continue
            wanted = any(
                capability in targets.capabilities(target.role)
                and any(entry.model == model for entry in target.models)
                for target in self._declared.values()
            )
            kept = bool(after[served]) or not wanted
            self._invariants.check("true_last_server_kept", kept, f"{served} {order}")

    def _run_lease(self) -> None:
        if self.now < self._outage_until:
            return
        reaching = [vm for vm in self._vms if self.now >= max(vm.paused_until, vm.cut_until)]
        if self._lease is not None and self.now < self._lease[1]:
            holder = self._lease[0]
            if holder in reaching:
                self._prolong(holder)
            return
        if not reaching:
            return
        vm = self._random.choice(reaching)
        self._fencing += 1
        self.counts["takeovers"] += 1
        self._prolong(vm)
        vm.machine.acquire_lease(self._fencing, self.now)

    def _prolong(self, vm: Vm) -> None:
        vm.lease_until = self.now + self._pace.lease_seconds
        self._lease = (vm, vm.lease_until)

    def _run_vm(self, vm: Vm) -> None:
        if self.now < vm.paused_until:
            return
        if self.now >= vm.lease_until:
            vm.machine.lose_lease()
        # What was given in the last tick is sent now, after a pause that may lie between.
        for order in vm.outbox:
            self._send(vm, order)
        vm.outbox = vm.machine.step(vm.lease_until - self.now, self.now)
        self.counts["orders_given"] += len(vm.outbox)

    def _send(self, vm: Vm, order: messages.Order) -> None:
        if self.now > order.send_by:
            self.counts["orders_dropped"] += 1
            vm.machine.record_outcome(
                order.upstream, order.order_id, messages.Outcome.NOT_SENT, self.now
            )
            return
        if self._chance(self.faults.order_lost):
            self.counts["orders_lost"] += 1
            return
        due = self.now + self._random.uniform(0, self._pace.delivery_timeout_seconds)
        self._flights.append(Flight(due, vm, order))

    def _check_truth(self) -> None:
        loading = sum(u.loading is not None for u in self.upstreams.values())
        self.counts["most_loading"] = max(self.counts["most_loading"], loading)
        paced = loading <= self._pace.weights_concurrency
        self._invariants.check("true_weights_paced", paced, f"{loading} at {self.now}")
