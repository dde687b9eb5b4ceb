"""Simulation of a rollout under faults: VMs, simulated upstreams and the messages in flight.

The simulation checks the invariants against the actual state of the upstreams and not against the
reports that the lease holder has received.
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
VM_COUNT = 3
LEAVING_SECONDS = 30.0
"""Time from the announcement that an upstream leaves until it shuts down."""


@dataclasses.dataclass(frozen=True, slots=True)
class FaultProbabilities:
    """Probability of each fault per tick, and of each loss per message.

    Parameters
    ----------
    holder_crash, holder_pause, holder_partition
        Crash and pause of the VM that holds the lease, and its partition from the lease service.
    lease_loss
        The lease service loses the lease without the holder's knowledge.
    upstream_crash, upstream_departure
        Crash of an upstream, and announcement that it leaves.
    load_failure
        Failure of a load in progress.
    order_loss, outcome_loss, report_loss
        Loss of an order, of its outcome, and of a reported state.
    service_outage
        Outage of the lease service.
    declaration
        Declaration of new targets.
    """

    holder_crash: float = 0.003
    holder_pause: float = 0.003
    holder_partition: float = 0.003
    lease_loss: float = 0.006
    upstream_crash: float = 0.003
    upstream_departure: float = 0.001
    load_failure: float = 0.02
    order_loss: float = 0.1
    outcome_loss: float = 0.1
    report_loss: float = 0.1
    service_outage: float = 0.002
    declaration: float = 0.03


NO_FAULTS = FaultProbabilities(*[0.0] * len(dataclasses.fields(FaultProbabilities)))


@dataclasses.dataclass(slots=True, eq=False)
class VM:
    """A VM that may hold the lease; its `outbox` contains issued orders that are not yet sent."""

    controller: rollout.Rollout
    lease_until: float = 0.0
    paused_until: float = 0.0
    partitioned_until: float = 0.0
    outbox: list[messages.Order] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class InFlightMessage:
    """A state, an order or the outcome of an order in flight.

    Parameters
    ----------
    due
        Time of delivery.
    vm
        VM that receives the state, or that sent the order.
    order, outcome, state
        The message; an outcome comes with its order.
    """

    due: float
    vm: VM
    order: messages.Order | None = None
    outcome: messages.Outcome | None = None
    state: messages.UpstreamState | None = None


class Simulation:
    """Simulation of upstreams, VMs, the lease and the messages in flight.

    Parameters
    ----------
    seed
        Seed of all random choices.
    upstreams
        Number of upstreams.
    limits
        Limits of the rollout, which the simulation keeps to.
    faults
        Probabilities of the faults.
    invariant_counter
        Counts the invariants that the VMs check and those that the simulation checks, whose
        names begin with ``true_``.
    """

    def __init__(
        self,
        seed: int,
        upstreams: int,
        limits: rollout_limits.RolloutLimits,
        faults: FaultProbabilities,
        invariant_counter: invariants.Invariants,
    ) -> None:
        self.now = 0.0
        self.faults = faults
        self.counts: collections.Counter[str] = collections.Counter()
        self.upstreams: dict[str, rollout_upstreams.SimulatedUpstream] = {}
        self._random = random.Random(seed)
        self._limits = limits
        self._invariants = invariant_counter
        self._revision = 1
        self._declared: dict[str, targets.Target] = {}
        self._versions = dict.fromkeys(MODELS, 1)
        self._in_flight: list[InFlightMessage] = []
        self._vms = [self._new_vm() for _ in range(VM_COUNT)]
        self._lease: tuple[VM, float] | None = None
        self._fencing = 0
        self._outage_until = 0.0
        self._server_lost_at: dict[str, float] = {}
        for number in range(upstreams):
            self._add_upstream(number)
        self._publish_targets()

    @property
    def converged(self) -> bool:
        """Whether every running upstream that is not leaving serves its declared target."""
        return all(
            not list(
                targets.pending_changes(self._declared[upstream.name], upstream.state(self.now))
            )
            for upstream in self.upstreams.values()
            if upstream.is_up and not upstream.leaving
        )

    def declare_versions(self) -> None:
        """Declare the next version of a random model, and random changes of adapters and roles."""
        model = self._random.choice(MODELS)
        self._versions[model] += 1
        self._declare_targets()

    def crash_holder(self) -> None:
        """Replace the VM that holds the lease with one without state; the lease is not released."""
        if self._lease is None or self._lease[0] not in self._vms:
            return
        self.counts["holder_crashes"] += 1
        self._vms[self._vms.index(self._lease[0])] = self._new_vm()

    def step(self) -> None:
        """Advance the simulation by one tick."""
        self.now += TICK_SECONDS
        self._inject_faults()
        for upstream in self.upstreams.values():
            upstream.advance(self.now)
        self._send_reports()
        self._deliver()
        self._update_lease()
        for vm in self._vms:
            self._run_vm(vm)
        self._check_concurrent_loads()

    def _add_upstream(self, number: int) -> None:
        name = f"e{number}"
        models = {MODELS[number % len(MODELS)]: "v1"}
        upstream = rollout_upstreams.SimulatedUpstream(name, bool(number % 3), dict(models))
        upstream.models = dict(models)
        self.upstreams[name] = upstream
        self._declared[name] = targets.Target(
            name, 1, tuple(messages.ModelVersion(*entry) for entry in models.items())
        )

    def _new_vm(self) -> VM:
        vm = VM(rollout.Rollout(self._limits, self._invariants))
        vm.controller.set_targets(self._declared.values())
        return vm

    def _publish_targets(self) -> None:
        for vm in self._vms:
            vm.controller.set_targets(self._declared.values())

    def _chance(self, probability: float) -> bool:
        return self._random.random() < probability

    def _declare_targets(self) -> None:
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
            if self._chance(0.2) and self._keeps_two_servers(dataclasses.replace(new, role=role)):
                new = dataclasses.replace(new, role=role)
            if new != old:
                self._declared[name] = dataclasses.replace(new, revision=self._revision)
        self.counts["declarations"] += 1
        self._publish_targets()

    def _keeps_two_servers(self, new: targets.Target) -> bool:
        """Return whether each capability of the models of `new` is declared on two upstreams."""
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

    def _inject_faults(self) -> None:
        faults = self.faults
        if self._chance(faults.declaration):
            self.declare_versions()
        if self._chance(faults.service_outage):
            self.counts["service_outages"] += 1
            self._outage_until = self.now + self._random.uniform(1, 30)
        if self._lease is not None and self._chance(faults.holder_crash):
            self.crash_holder()
        if self._lease is not None and self._chance(faults.holder_pause):
            self.counts["holder_pauses"] += 1
            self._lease[0].paused_until = self.now + self._random.uniform(1, 25)
        if self._lease is not None and self._chance(faults.holder_partition):
            self.counts["holder_cuts"] += 1
            self._lease[0].partitioned_until = self.now + self._random.uniform(1, 25)
        if self._chance(faults.lease_loss):
            # The service was restored from an older state, but the holder still uses its lease.
            self.counts["leases_forgotten"] += 1
            self._lease = None
        for upstream in self.upstreams.values():
            self._inject_upstream_faults(upstream)

    def _inject_upstream_faults(self, upstream: rollout_upstreams.SimulatedUpstream) -> None:
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
            self._record_server_loss(upstream)
            upstream.crash()
            upstream.unavailable_until = self.now + self._random.uniform(0, 10)
        if (
            upstream.is_up
            and staying > len(self.upstreams) // 2
            and self._chance(self.faults.upstream_departure)
        ):
            self.counts["upstreams_leaving"] += 1
            self._record_server_loss(upstream)
            upstream.leaving = True
            upstream.unavailable_until = self.now + LEAVING_SECONDS
        if upstream.loading and self._chance(self.faults.load_failure):
            self.counts["failed_loads"] += 1
            upstream.loading = None

    def _record_server_loss(self, upstream: rollout_upstreams.SimulatedUpstream) -> None:
        # The initial models are included, as the holder does not know which ones a restarted
        # upstream serves.
        for model in {*upstream.models, *upstream.initial}:
            self._server_lost_at[model] = self.now

    def _send_reports(self) -> None:
        for upstream in self.upstreams.values():
            if not upstream.is_up:
                continue
            for vm in self._vms:
                if self._chance(self.faults.report_loss):
                    continue
                due = self.now + self._random.uniform(0, self._limits.report_lag_seconds)
                self._in_flight.append(InFlightMessage(due, vm, state=upstream.state(self.now)))

    def _deliver(self) -> None:
        due = [message for message in self._in_flight if message.due <= self.now]
        self._in_flight = [message for message in self._in_flight if message.due > self.now]
        self._random.shuffle(due)
        for message in due:
            match message:
                case InFlightMessage(vm=vm, state=messages.UpstreamState() as state):
                    vm.controller.observe(state, self.now)
                case InFlightMessage(
                    vm=vm, order=order, outcome=messages.Outcome() as outcome
                ) if order:
                    vm.controller.record_outcome(order.upstream, order.order_id, outcome, self.now)
                case InFlightMessage(vm=vm, order=messages.Order() as order):
                    self._execute_order(vm, order)

    def _execute_order(self, vm: VM, order: messages.Order) -> None:
        upstream = self.upstreams[order.upstream]
        if not upstream.is_up:
            return
        self.counts["orders_arrived"] += 1
        current = order.fencing >= upstream.fencing
        before = self._servers()
        seconds = self._random.uniform(0.5, self._limits.weights_seconds)
        outcome = upstream.execute(order, self.now, seconds)
        if outcome is messages.Outcome.ACCEPTED:
            self._invariants.check("true_no_stale_order", current, order.order_id)
            self._check_servers(before, order)
        if self._chance(self.faults.outcome_loss):
            self.counts["answers_lost"] += 1
            return
        due = self.now + self._random.uniform(0, 0.5)
        self._in_flight.append(InFlightMessage(due, vm, order, outcome))

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
            # The holder isn't responsible for a crash or departure that it could not have detected.
            detection_seconds = (
                self._limits.report_timeout_seconds + self._limits.report_lag_seconds
            )
            detection_seconds += (
                self._limits.delivery_timeout_seconds + self._limits.send_timeout_seconds
            )
            if self.now - self._server_lost_at.get(model, float("-inf")) <= detection_seconds:
                continue
            wanted = any(
                capability in targets.capabilities(target.role)
                and any(entry.model == model for entry in target.models)
                for target in self._declared.values()
            )
            kept = bool(after[served]) or not wanted
            self._invariants.check("true_last_server_kept", kept, f"{served} {order}")

    def _update_lease(self) -> None:
        if self.now < self._outage_until:
            return
        reachable = [
            vm for vm in self._vms if self.now >= max(vm.paused_until, vm.partitioned_until)
        ]
        if self._lease is not None and self.now < self._lease[1]:
            holder = self._lease[0]
            if holder in reachable:
                self._extend_lease(holder)
            return
        if not reachable:
            return
        vm = self._random.choice(reachable)
        self._fencing += 1
        self.counts["takeovers"] += 1
        self._extend_lease(vm)
        vm.controller.acquire_lease(self._fencing, self.now)

    def _extend_lease(self, vm: VM) -> None:
        vm.lease_until = self.now + self._limits.lease_seconds
        self._lease = (vm, vm.lease_until)

    def _run_vm(self, vm: VM) -> None:
        if self.now < vm.paused_until:
            return
        if self.now >= vm.lease_until:
            vm.controller.lose_lease()
        # Orders are sent one tick after they are issued, so that a pause can fall in between.
        for order in vm.outbox:
            self._send(vm, order)
        vm.outbox = vm.controller.step(vm.lease_until - self.now, self.now)
        self.counts["orders_given"] += len(vm.outbox)

    def _send(self, vm: VM, order: messages.Order) -> None:
        if self.now > order.send_by:
            self.counts["orders_dropped"] += 1
            vm.controller.record_outcome(
                order.upstream, order.order_id, messages.Outcome.NOT_SENT, self.now
            )
            return
        if self._chance(self.faults.order_loss):
            self.counts["orders_lost"] += 1
            return
        due = self.now + self._random.uniform(0, self._limits.delivery_timeout_seconds)
        self._in_flight.append(InFlightMessage(due, vm, order))

    def _check_concurrent_loads(self) -> None:
        loading = sum(u.loading is not None for u in self.upstreams.values())
        self.counts["most_loading"] = max(self.counts["most_loading"], loading)
        paced = loading <= self._limits.weights_concurrency
        self._invariants.check("true_weights_paced", paced, f"{loading} at {self.now}")
