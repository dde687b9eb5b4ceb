"""Randomised run over the machines that put a configuration in force."""

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

IN_FORCE_SECONDS = 12.0
"""An accepted change must be in force on every connected VM after this long."""

FAULTS = ["crash", "herd", "pause", "outage", "older", "partition", "cut_off", "alone", "calm"]

SILENCE_SECONDS = 10.0
"""A VM that read nothing from the store or a peer for this long must not admit."""

WORD_SECONDS = 17.0
"""Nor on word that was sent or asked for longer ago: 10 s after a watch of at most 7 s."""

CALM_SECONDS = 150.0
"""Now and then no fault is added for this long, so that what has to heal can be seen to."""

GIVEN_BACK_SECONDS = 60.0
"""A store that came back older has what it lost again after this long."""


@dataclasses.dataclass(slots=True)
class Report:
    """What one run did and found.

    `forks` counts revisions that were accepted twice as the store lost the first in between; a
    run ends at the first. `lost_by_store` counts accepted revisions that the store lost and no
    living VM held.
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
class _Past:
    at: float
    head: int
    held: dict[str, tuple[int, int]]


class Run:
    """One run: the world, its operators and faults, and the invariants at each step."""

    def __init__(self, seed: int, vms: int, steps: int) -> None:
        self.report = Report(seed, vms, steps)
        self._rng = random.Random(seed)
        self._world = configuration_simulation.World(self._rng, vms)
        self._accepted: dict[int, str] = {}
        self._accepted_at: dict[int, float] = {}
        self._digests: dict[int, tuple[str, int]] = {}
        self._revisions: dict[tuple[str, int], int] = {}
        self._past: collections.deque[_Past] = collections.deque()
        self._whole_at = 0.0
        self._faults: collections.Counter[str] = collections.Counter()
        self._operators = configuration_submitters.Operators(
            self._world, self._rng, self.report.outcomes, self._accept
        )
        self._world.at(5.0, self._fault)
        self._world.at(1.0, self._look)

    def run(self) -> Report:
        """Run to the end."""
        for _ in range(self.report.steps):
            self._world.step()
            self._check_step()
            if self.report.forks:
                break
        report, world = self.report, self._world
        report.simulated_seconds = round(world.now, 1)
        report.revisions = max(self._digests, default=0)
        report.faults = dict(sorted(self._faults.items()))
        report.checks = world.checks.dump()
        report.messages, report.store_calls = world.sent, world.store.calls
        return report

    def _check_step(self) -> None:
        world = self._world
        for vm in world.vms.values():
            if world.now < vm.paused_until:
                continue
            now, configuration = world.now, vm.target.configuration
            before = self._revisions.get((vm.name, vm.life), 0)
            if configuration.revision != before:
                self._check_revision(vm, before)
            admits = vm.target.admission(now) == replica.Admission.ADMITS
            if admits:
                silent = now - vm.heard
                world.checks.check(
                    "silent_vm_admits_nothing",
                    silent <= SILENCE_SECONDS,
                    f"{vm.name} after {silent:.1f} s",
                )
                old = now - vm.word_of
                world.checks.check(
                    "old_word_admits_nothing", old <= WORD_SECONDS, f"{vm.name} after {old:.1f} s"
                )
            if admits and not vm.admitted and not vm.heard_store:
                newest = max((number for at, number in vm.newest if now - at < 9.9), default=0)
                world.checks.check(
                    "restarted_vm_takes_the_highest",
                    configuration.revision >= newest,
                    f"{vm.name} admits at {configuration.revision}, heard of {newest}",
                )
            vm.admitted = admits

    def _check_revision(self, vm: configuration_simulation.VM, before: int) -> None:
        configuration, checks = vm.target.configuration, self._world.checks
        vm.began = min(vm.began, self._world.now)
        number = configuration.revision
        self._revisions[(vm.name, vm.life)] = number
        checks.check("revision_goes_forward", number > before, f"{vm.name}: {before} to {number}")
        same = (configuration.digest, configuration.content)
        known = self._digests.setdefault(number, same)
        checks.check("same_revision_same_configuration", same == known, f"{vm.name} at {number}")
        value = vm.target.stored_value(number)
        if value is not None:
            change = revisions.decode(value)
            put = all(configuration.get(objects.identity(item)) == item for item in change.put)
            deleted = all(configuration.get(name) is None for name in change.delete)
            checks.check("change_is_applied", put and deleted, f"{vm.name} at {number}")
        total = state.Configuration().with_changes(0, "", configuration.items(), []).content
        owners = {
            key.digest: item for item in configuration.organisations.values() for key in item.keys
        }
        digests = configuration_submitters.DIGESTS
        right = all(configuration.organisation_for_key(key) is owners.get(key) for key in digests)
        checks.check("content_is_what_is_held", total == configuration.content, vm.name)
        checks.check("key_table_is_what_is_held", right, vm.name)

    def _look(self) -> None:
        """Each second, check that what was known long enough ago is in force."""
        world = self._world
        world.at(1.0, self._look)
        self._judge_store()
        held = {vm.name: (vm.life, vm.target.revision) for vm in world.vms.values()}
        self._past.append(_Past(world.now, max(self._accepted, default=0), held))
        while self._past[0].at < world.now - IN_FORCE_SECONDS - 1:
            self._past.popleft()
        past = self._past[0]
        since = world.now - IN_FORCE_SECONDS
        if past.at > since or world.grouped > since:
            return
        steady = [vm for vm in world.vms.values() if max(vm.disturbed, vm.began) <= past.at]
        for vm in world.vms.values():
            if max(vm.disturbed, vm.started) <= past.at:
                helped = any(world.linked(vm.name, peer.name) for peer in steady)
                world.checks.check(
                    "restarted_vm_is_configured_in_time",
                    vm.target.revision > 0 or not helped,
                    f"{vm.name}, started at {vm.started:.1f} s, at {world.now:.1f} s",
                )
        store_steady = world.store.up and world.store_disturbed <= past.at
        for vm in steady:
            peers = [u for u in steady if u is not vm and world.linked(u.name, vm.name)]
            reads = store_steady and world.linked(vm.name, "store")
            required = past.head if reads else 0
            for peer in peers:
                life, number = past.held[peer.name]
                required = max(required, number if life == peer.life else 0)
            self._check_in_force(vm, required, bool(peers) or reads)

    def _check_in_force(
        self, vm: configuration_simulation.VM, required: int, connected: bool
    ) -> None:
        world = self._world
        world.checks.check(
            "accepted_change_is_in_force_in_time",
            vm.target.revision >= required,
            f"{vm.name} at {vm.target.revision}, {required} was known "
            f"{IN_FORCE_SECONDS} s ago, at {world.now:.1f} s",
        )
        if connected and required > 0:
            admission = vm.target.admission(world.now)
            world.checks.check(
                "connected_vm_admits",
                admission == replica.Admission.ADMITS,
                f"{vm.name}: {admission} at {world.now:.1f} s",
            )

    def _judge_store(self) -> None:
        """Count the store as disturbed while it lacks what a VM has in force."""
        world = self._world
        numbers = {vm.target.revision for vm in world.vms.values()} | set(self._accepted)
        newest = max(numbers, default=0)
        missing = [n for n in range(1, newest + 1) if revisions.key(n) not in world.store.entries]
        if missing:
            world.store_disturbed = world.now
        able = [
            vm
            for vm in world.vms.values()
            if max(vm.disturbed, vm.began) < world.now - GIVEN_BACK_SECONDS
            and world.linked(vm.name, "store")
            and all(vm.target.stored_value(number) for number in missing)
        ]
        cut = world.grouped > world.now - GIVEN_BACK_SECONDS
        if not missing or not able or not world.store.up or cut:
            self._whole_at = world.now
        world.checks.check(
            "store_gets_back_what_it_lost",
            world.now - self._whole_at <= GIVEN_BACK_SECONDS,
            f"{missing} missing since {self._whole_at:.1f} s, at {world.now:.1f} s",
        )
        reached = self.report.seconds_until_everywhere
        for number, at in list(self._accepted_at.items()):
            if all(vm.target.revision >= number for vm in world.vms.values()):
                reached.append(round(world.now - at, 1))
                del self._accepted_at[number]

    def _fault(self) -> None:
        world, rng = self._world, self._rng
        world.store.back_up()
        kind = rng.choice(FAULTS)
        calm = kind == "calm" and rng.random() < 0.3
        world.at(CALM_SECONDS if calm else rng.uniform(1.0, 15.0), self._fault)
        self._faults[kind] += 1
        names = sorted(world.vms)
        match kind:
            case "crash" | "herd" if names:
                count = len(names) if kind == "herd" and rng.random() < 0.2 else len(names) // 2
                for name in rng.sample(names, 1 if kind == "crash" else max(1, count)):
                    self._crash(name)
            case "pause" if names:
                world.pause(rng.choice(names), rng.uniform(1.0, 30.0))
            case "outage" | "older" if world.store.up:
                world.set_store(False)
                world.at(rng.uniform(1.0, 60.0), lambda: self._return(kind == "older"))
            case "partition":
                world.partition({name: rng.randrange(2) for name in [*names, "store"]})
                world.at(rng.uniform(1.0, 40.0), lambda: world.partition({}))
            case "cut_off" | "alone" if names:
                away = rng.sample(names, max(1, len(names) // 3 if kind == "cut_off" else 1))
                # Those VMs hear one another and nobody else.
                world.partition(dict.fromkeys(away, 1))
                world.at(rng.uniform(1.0, 40.0), lambda: world.partition({}))

    def _crash(self, name: str) -> None:
        world = self._world
        vm = world.stop(name)
        self._forget_lost()
        world.at(self._rng.uniform(0.1, 5.0), lambda: world.start(name, 1 - vm.life))

    def _return(self, older: bool) -> None:
        world = self._world
        if older:
            world.store.go_back(self._rng)
            self._forget_lost()
        world.set_store(True)

    def _forget_lost(self) -> None:
        """Forget what neither the store nor a living VM holds: nothing can bring it back.

        Revisions that the store still has behind a gap are deleted, as the operators' page says.
        """
        entries = self._world.store.entries
        top = max((vm.target.revision for vm in self._world.vms.values()), default=0)
        while revisions.key(top + 1) in entries and all(
            revisions.key(number) in entries for number in range(1, top + 1)
        ):
            top += 1
        for number in [n for n in self._digests if n > top]:
            del self._digests[number]
        for number in [n for n in self._accepted if n > top]:
            self.report.lost_by_store += 1
            del self._accepted[number]
            self._accepted_at.pop(number, None)
            entries.pop(revisions.key(number), None)

    def _accept(self, revision: int, identity: str) -> None:
        world = self._world
        earlier = self._accepted.setdefault(revision, identity)
        if earlier != identity and self._faults["older"]:
            self.report.forks += 1
            return
        world.checks.check(
            "one_submission_per_revision", earlier == identity, f"{earlier}, {identity}"
        )
        self._accepted_at.setdefault(revision, world.now)


def run(seed: int, vms: int = 9, steps: int = 100_000) -> Report:
    """Run `steps` steps over `vms` VMs and return what was done.

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
    """Drive the configuration's machines through random faults and check them at each step.

    Example: hollyring experiment configuration --seed 7 --vms 9 --steps 100000
    """
    for number in range(seed, seed + seeds):
        report = run(number, vms, steps)
        if as_json:
            click.echo(msgspec.json.encode(report).decode())
            continue
        found = report.outcomes
        times = sorted(report.seconds_until_everywhere) or [0.0]
        checked = sum(int(str(entry["checks"])) for entry in report.checks.values())
        click.echo(
            f"seed {number}: {report.simulated_seconds:.0f} s, {found.accepted} accepted, "
            f"{found.lost_races} races lost, {found.unknown} unknown, {report.forks} forks, "
            f"{checked} checks held; everywhere after p50 {times[len(times) // 2]} s, "
            f"max {times[-1]} s"
        )
