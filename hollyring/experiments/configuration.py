"""Randomised fault injection into the replication of the configuration."""

from __future__ import annotations

import collections
import dataclasses
import random

import click
import msgspec

from hollyring.configuration import (
    objects,
    replica,
    revisions,
    state,
)
from hollyring.experiments import configuration_simulation, configuration_submitters

PROPAGATION_LIMIT_SECONDS = 12.0
"""Time within which an accepted change must be in force on every connected VM."""

FAULTS = ["crash", "herd", "pause", "outage", "older", "partition", "cut_off", "alone", "calm"]
"""Kinds of faults.

"herd" crashes half of the VMs or all of them, "older" restores the store from a backup after an
outage, "cut_off" isolates a third of the VMs, "alone" isolates one VM, and "calm" adds no fault.
"""

SILENCE_LIMIT_SECONDS = 10.0
"""A VM that received nothing from the store or a peer for this long must not admit requests."""

INFORMATION_AGE_LIMIT_SECONDS = 17.0
"""Maximum age of the newest information on which a VM may admit requests.

The age counts from the time at which a message was sent or a store call was started. It is the
silence limit of 10 s plus the longest watch of 7 s.
"""

FAULT_FREE_SECONDS = 150.0
"""Length of the occasional periods without new faults, in which recovery is checked."""

STORE_REPAIR_LIMIT_SECONDS = 60.0
"""Time within which a store restored from a backup must have its lost revisions again."""


@dataclasses.dataclass(slots=True)
class Report:
    """Result of one run.

    Parameters
    ----------
    forks
        Revisions that were accepted twice because the store lost the first one in between. A run
        ends at the first fork.
    lost_by_store
        Accepted revisions that the store lost and that no running VM held.
    seconds_until_everywhere
        Time from the acceptance of each revision until it was in force on every VM.
    """

    seed: int
    vms: int
    steps: int
    simulated_seconds: float = 0.0
    revisions: int = 0
    outcomes: configuration_submitters.Outcomes = dataclasses.field(
        default_factory=configuration_submitters.Outcomes
    )
    forks: int = 0
    lost_by_store: int = 0
    faults: dict[str, int] = dataclasses.field(default_factory=dict)
    checks: dict[str, dict[str, object]] = dataclasses.field(default_factory=dict)
    messages: int = 0
    store_calls: int = 0
    seconds_until_everywhere: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _Observation:
    """State at one time: the highest accepted revision, and each VM's incarnation and revision."""

    observed_at: float
    highest_accepted: int
    vm_revisions: dict[str, tuple[int, int]]


class Run:
    """One run of the simulation with submitters, fault injection and checks of the invariants."""

    def __init__(self, seed: int, vms: int, steps: int) -> None:
        self.report = Report(seed, vms, steps)
        self._rng = random.Random(seed)
        self._simulation = configuration_simulation.Simulation(self._rng, vms)
        self._accepted: dict[int, str] = {}
        self._accepted_at: dict[int, float] = {}
        self._known_revisions: dict[int, tuple[str, int]] = {}
        self._vm_revisions: dict[tuple[str, int], int] = {}
        self._observations: collections.deque[_Observation] = collections.deque()
        self._store_complete_at = 0.0
        self._faults: collections.Counter[str] = collections.Counter()
        self._submitters = configuration_submitters.Submitters(
            self._simulation, self._rng, self.report.outcomes, self._record_accepted
        )
        self._simulation.schedule(5.0, self._inject_fault)
        self._simulation.schedule(1.0, self._check_deadlines)

    def run(self) -> Report:
        """Run all steps, or until the first fork."""
        for _ in range(self.report.steps):
            self._simulation.step()
            self._check_step()
            if self.report.forks:
                break
        report, simulation = self.report, self._simulation
        report.simulated_seconds = round(simulation.now, 1)
        report.revisions = max(self._known_revisions, default=0)
        report.faults = dict(sorted(self._faults.items()))
        report.checks = simulation.checks.dump()
        report.messages, report.store_calls = simulation.messages_sent, simulation.store.calls
        return report

    def _check_step(self) -> None:
        simulation = self._simulation
        for vm in simulation.vms.values():
            if simulation.now < vm.paused_until:
                continue
            now, configuration = simulation.now, vm.state.configuration
            previous = self._vm_revisions.get((vm.name, vm.incarnation), 0)
            if configuration.revision != previous:
                self._check_revision(vm, previous)
            admits = vm.state.admission(now) == replica.Admission.ADMITS
            if admits:
                silence = now - vm.last_received_at
                simulation.checks.check(
                    "silent_vm_admits_nothing",
                    silence <= SILENCE_LIMIT_SECONDS,
                    f"{vm.name} after {silence:.1f} s",
                )
                age = now - vm.newest_sent_at
                simulation.checks.check(
                    "old_word_admits_nothing",
                    age <= INFORMATION_AGE_LIMIT_SECONDS,
                    f"{vm.name} after {age:.1f} s",
                )
            if admits and not vm.admitted and not vm.reached_store:
                newest = max(
                    (number for at, number in vm.recent_digests if now - at < 9.9), default=0
                )
                simulation.checks.check(
                    "restarted_vm_takes_the_highest",
                    configuration.revision >= newest,
                    f"{vm.name} admits at {configuration.revision}, newest digest {newest}",
                )
            vm.admitted = admits

    def _check_revision(self, vm: configuration_simulation.VM, previous: int) -> None:
        configuration, checks = vm.state.configuration, self._simulation.checks
        vm.configured_at = min(vm.configured_at, self._simulation.now)
        number = configuration.revision
        self._vm_revisions[(vm.name, vm.incarnation)] = number
        checks.check(
            "revision_goes_forward", number > previous, f"{vm.name}: {previous} to {number}"
        )
        fingerprint = (configuration.digest, configuration.content)
        first_seen = self._known_revisions.setdefault(number, fingerprint)
        checks.check(
            "same_revision_same_configuration", fingerprint == first_seen, f"{vm.name} at {number}"
        )
        value = vm.state.stored_value(number)
        if value is not None:
            change = revisions.decode(value)
            put = all(configuration.get(objects.identity(item)) == item for item in change.put)
            deleted = all(configuration.get(name) is None for name in change.delete)
            checks.check("change_is_applied", put and deleted, f"{vm.name} at {number}")
        expected = state.Configuration().with_changes(0, "", configuration.items(), []).content
        owners = {
            key.digest: item for item in configuration.organisations.values() for key in item.keys
        }
        digests = configuration_submitters.KEY_DIGESTS
        keys_match = all(
            configuration.organisation_for_key(key) is owners.get(key) for key in digests
        )
        checks.check("content_is_what_is_held", expected == configuration.content, vm.name)
        checks.check("key_table_is_what_is_held", keys_match, vm.name)

    def _check_deadlines(self) -> None:
        """Check the store, the VMs' revisions and their admission of requests every second.

        A revision that was available longer ago than the propagation limit must be in force.
        """
        simulation = self._simulation
        simulation.schedule(1.0, self._check_deadlines)
        self._check_store()
        vm_revisions = {
            vm.name: (vm.incarnation, vm.state.revision) for vm in simulation.vms.values()
        }
        self._observations.append(
            _Observation(simulation.now, max(self._accepted, default=0), vm_revisions)
        )
        while self._observations[0].observed_at < simulation.now - PROPAGATION_LIMIT_SECONDS - 1:
            self._observations.popleft()
        observation = self._observations[0]
        threshold = simulation.now - PROPAGATION_LIMIT_SECONDS
        if observation.observed_at > threshold or simulation.partitioned_at > threshold:
            return
        undisturbed = [
            vm
            for vm in simulation.vms.values()
            if max(vm.disturbed_until, vm.configured_at) <= observation.observed_at
        ]
        for vm in simulation.vms.values():
            if max(vm.disturbed_until, vm.started_at) <= observation.observed_at:
                has_source = any(simulation.connected(vm.name, peer.name) for peer in undisturbed)
                simulation.checks.check(
                    "restarted_vm_is_configured_in_time",
                    vm.state.revision > 0 or not has_source,
                    f"{vm.name}, started at {vm.started_at:.1f} s, at {simulation.now:.1f} s",
                )
        store_undisturbed = (
            simulation.store.up and simulation.store_disturbed_at <= observation.observed_at
        )
        for vm in undisturbed:
            peers = [
                u for u in undisturbed if u is not vm and simulation.connected(u.name, vm.name)
            ]
            reads_store = store_undisturbed and simulation.connected(vm.name, "store")
            required = observation.highest_accepted if reads_store else 0
            for peer in peers:
                incarnation, number = observation.vm_revisions[peer.name]
                required = max(required, number if incarnation == peer.incarnation else 0)
            self._check_in_force(vm, required, bool(peers) or reads_store)

    def _check_in_force(
        self, vm: configuration_simulation.VM, required: int, connected: bool
    ) -> None:
        simulation = self._simulation
        simulation.checks.check(
            "accepted_change_is_in_force_in_time",
            vm.state.revision >= required,
            f"{vm.name} at {vm.state.revision}, {required} was available "
            f"{PROPAGATION_LIMIT_SECONDS} s ago, at {simulation.now:.1f} s",
        )
        if connected and required > 0:
            admission = vm.state.admission(simulation.now)
            simulation.checks.check(
                "connected_vm_admits",
                admission == replica.Admission.ADMITS,
                f"{vm.name}: {admission} at {simulation.now:.1f} s",
            )

    def _check_store(self) -> None:
        """Check that the store gets lost revisions back, and record completed propagations.

        The store counts as disturbed while it lacks an accepted revision or one that a VM has in
        force.
        """
        simulation = self._simulation
        numbers = {vm.state.revision for vm in simulation.vms.values()} | set(self._accepted)
        newest = max(numbers, default=0)
        missing = [
            n for n in range(1, newest + 1) if revisions.key(n) not in simulation.store.entries
        ]
        if missing:
            simulation.store_disturbed_at = simulation.now
        holders = [
            vm
            for vm in simulation.vms.values()
            if max(vm.disturbed_until, vm.configured_at)
            < simulation.now - STORE_REPAIR_LIMIT_SECONDS
            and simulation.connected(vm.name, "store")
            and all(vm.state.stored_value(number) for number in missing)
        ]
        recently_partitioned = (
            simulation.partitioned_at > simulation.now - STORE_REPAIR_LIMIT_SECONDS
        )
        if not missing or not holders or not simulation.store.up or recently_partitioned:
            self._store_complete_at = simulation.now
        simulation.checks.check(
            "store_gets_back_what_it_lost",
            simulation.now - self._store_complete_at <= STORE_REPAIR_LIMIT_SECONDS,
            f"{missing} missing since {self._store_complete_at:.1f} s, at {simulation.now:.1f} s",
        )
        propagation_seconds = self.report.seconds_until_everywhere
        for number, at in list(self._accepted_at.items()):
            if all(vm.state.revision >= number for vm in simulation.vms.values()):
                propagation_seconds.append(round(simulation.now - at, 1))
                del self._accepted_at[number]

    def _inject_fault(self) -> None:
        simulation, rng = self._simulation, self._rng
        simulation.store.back_up()
        kind = rng.choice(FAULTS)
        calm = kind == "calm" and rng.random() < 0.3
        simulation.schedule(
            FAULT_FREE_SECONDS if calm else rng.uniform(1.0, 15.0), self._inject_fault
        )
        self._faults[kind] += 1
        names = sorted(simulation.vms)
        match kind:
            case "crash" | "herd" if names:
                count = len(names) if kind == "herd" and rng.random() < 0.2 else len(names) // 2
                for name in rng.sample(names, 1 if kind == "crash" else max(1, count)):
                    self._crash(name)
            case "pause" if names:
                simulation.pause(rng.choice(names), rng.uniform(1.0, 30.0))
            case "outage" | "older" if simulation.store.up:
                simulation.set_store_up(False)
                simulation.schedule(
                    rng.uniform(1.0, 60.0), lambda: self._restore_store(kind == "older")
                )
            case "partition":
                simulation.partition({name: rng.randrange(2) for name in [*names, "store"]})
                simulation.schedule(rng.uniform(1.0, 40.0), lambda: simulation.partition({}))
            case "cut_off" | "alone" if names:
                isolated = rng.sample(names, max(1, len(names) // 3 if kind == "cut_off" else 1))
                # The isolated VMs reach only one another.
                simulation.partition(dict.fromkeys(isolated, 1))
                simulation.schedule(rng.uniform(1.0, 40.0), lambda: simulation.partition({}))

    def _crash(self, name: str) -> None:
        simulation = self._simulation
        vm = simulation.crash(name)
        self._discard_lost_revisions()
        simulation.schedule(
            self._rng.uniform(0.1, 5.0), lambda: simulation.start(name, 1 - vm.incarnation)
        )

    def _restore_store(self, older: bool) -> None:
        simulation = self._simulation
        if older:
            simulation.store.restore_backup(self._rng)
            self._discard_lost_revisions()
        simulation.set_store_up(True)

    def _discard_lost_revisions(self) -> None:
        """Discard revisions that neither the store nor a running VM holds and nothing can restore.

        Revisions that the store still holds after a gap are deleted, as the operators' manual
        prescribes.
        """
        entries = self._simulation.store.entries
        newest = max((vm.state.revision for vm in self._simulation.vms.values()), default=0)
        while revisions.key(newest + 1) in entries and all(
            revisions.key(number) in entries for number in range(1, newest + 1)
        ):
            newest += 1
        for number in [n for n in self._known_revisions if n > newest]:
            del self._known_revisions[number]
        for number in [n for n in self._accepted if n > newest]:
            self.report.lost_by_store += 1
            del self._accepted[number]
            self._accepted_at.pop(number, None)
            entries.pop(revisions.key(number), None)

    def _record_accepted(self, revision: int, identity: str) -> None:
        simulation = self._simulation
        first = self._accepted.setdefault(revision, identity)
        if first != identity and self._faults["older"]:
            self.report.forks += 1
            return
        simulation.checks.check(
            "one_submission_per_revision", first == identity, f"{first}, {identity}"
        )
        self._accepted_at.setdefault(revision, simulation.now)


def run(seed: int, vms: int = 9, steps: int = 100_000) -> Report:
    """Run a simulation of `vms` VMs for `steps` steps.

    Raises
    ------
    InvariantError
        At the first step that breaks an invariant.
    """
    return Run(seed, vms, steps).run()


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of seeds, one run each.")
@click.option("--vms", default=9, show_default=True)
@click.option("--steps", default=100_000, show_default=True, help="Steps of each run.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON, one run a line.")
def configuration(seed: int, seeds: int, vms: int, steps: int, as_json: bool) -> None:
    """Inject random faults into the replication of the configuration; check every step.

    Example: hollyring experiment configuration --seed 7 --vms 9 --steps 100000
    """
    for number in range(seed, seed + seeds):
        report = run(number, vms, steps)
        if as_json:
            click.echo(msgspec.json.encode(report).decode())
            continue
        outcomes = report.outcomes
        times = sorted(report.seconds_until_everywhere) or [0.0]
        check_count = sum(int(str(entry["checks"])) for entry in report.checks.values())
        click.echo(
            f"seed {number}: {report.simulated_seconds:.0f} s, {outcomes.accepted} accepted, "
            f"{outcomes.lost_races} races lost, {outcomes.unknown} unknown, {report.forks} forks, "
            f"{check_count} checks held; everywhere after p50 {times[len(times) // 2]} s, "
            f"max {times[-1]} s"
        )
