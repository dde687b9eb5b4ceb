"""Randomised runs of the limiters of several VMs, judged from outside."""

from __future__ import annotations

import dataclasses
import itertools
import json
import random

import click

from hollyring.experiments import limits_simulation
from hollyring.limits import holders
from hollyring.limits import limiter as limiters

ORGANISATIONS = 5


@dataclasses.dataclass(slots=True)
class Report:
    """What a run did and what the judge found."""

    seed: int
    vms: int
    steps: int
    seconds: float = 0.0
    admitted: int = 0
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    undecided: int = 0
    wrongly_refused: int = 0
    faults: dict[str, int] = dataclasses.field(default_factory=dict)
    messages: int = 0
    excess: dict[str, float] = dataclasses.field(default_factory=dict)
    least_room: float = 1.0

    @property
    def holds(self) -> bool:
        """Whether no window of any organisation was above its bound."""
        return not any(self.excess.values())


class Turmoil:
    """Random requests and faults on a `World`."""

    def __init__(
        self, seed: int, vms: int, build: limits_simulation.Build = limiters.Limiter
    ) -> None:
        self._rng = random.Random(seed)
        limits = [self._limit(f"organisation-{i}") for i in range(ORGANISATIONS)]
        loss = self._rng.choice([0.0, 0.02, 0.2])
        late = self._rng.choice([0.0, 0.02, 0.2])
        self.world = limits_simulation.World(self._rng, vms, limits, build, loss, late)
        self.faults: dict[str, int] = {}
        self._vms = itertools.count(vms)
        self._numbers = itertools.count(2)
        self._ideal: dict[str, tuple[float, float]] = {}
        self._inside: set[str] = set()
        self._heat = self._rng.choice([0.1, 0.3, 3.0])
        faulty = [self._pause, self._crash, self._herd, self._cut, self._store]
        faulty += [self._set_limit, self._remove_limit, self._replace]
        self._faulty = self._rng.sample(faulty, self._rng.choice([1, 2, 2, len(faulty)]))
        self._trouble = self._rng.choice([0.01, 0.05, 0.2])

    def step(self) -> None:
        """Let a little time pass, then do one thing."""
        world, rng = self.world, self._rng
        world.run_until(world.now + rng.expovariate(1 / 0.01))
        if rng.random() < 0.9:
            self._request()
            return
        if rng.random() < 0.2:
            self._spike()
            return
        if rng.random() < self._trouble:
            rng.choice(self._faulty)()
            return
        rng.choice([self._settle, self._refresh, self._start, self._heal, self._destroy])()

    def wrongly_refused(self) -> int:
        """Return the refusals of requests for which an ideal single bucket had room."""
        return sum(1 for refusal in self.world.refusals if refusal.request_id in self._inside)

    def _count(self, fault: str) -> None:
        self.faults[fault] = self.faults.get(fault, 0) + 1

    def _limit(self, name: str) -> holders.Limit:
        burst = self._rng.choice([50, 1000, 20_000, 300_000])
        return holders.Limit(name, self._rng.choice([burst // 10, burst, burst * 5]), burst)

    def _request(self) -> None:
        world, rng = self.world, self._rng
        machine = rng.choice(world.awake) if world.awake else None
        if machine is None or not world.document.limits:
            return
        if rng.random() < 0.5:
            machine = min(world.awake, key=lambda m: m.name)
        limit = rng.choice(sorted(world.document.limits.values(), key=lambda x: x.organisation))
        most = min(limit.burst, limit.rate * 0.1 * self._heat + 1)
        tokens = max(1, int(rng.uniform(0, most)))
        if rng.random() < 0.01:
            tokens = limit.burst + rng.choice([0, 1])
        inside = self._take_ideal(limit, tokens)
        request = world.submit(machine, limit.organisation, tokens)
        if inside:
            self._inside.add(request)

    def _spike(self) -> None:
        """Ask for more than a whole burst after a rest; perhaps again right after a fault."""
        world, rng = self.world, self._rng
        if not world.document.limits:
            return
        limit = rng.choice(sorted(world.document.limits.values(), key=lambda x: x.organisation))
        world.run_until(world.now + rng.choice([0.0, 0.5, 1.2 * limit.burst / limit.rate]))
        self._flood(limit)
        if rng.random() < 0.3:
            rng.choice(self._faulty)()
            world.run_until(world.now + rng.choice([0.0, 0.05]))
            self._start()
            world.run_until(world.now + rng.choice([0.05, 0.4]))
            self._flood(limit)

    def _flood(self, limit: holders.Limit) -> None:
        world, rng = self.world, self._rng
        for _ in range(30):
            if world.awake:
                tokens = max(1, limit.burst // rng.choice([10, 25]))
                world.submit(rng.choice(world.awake), limit.organisation, tokens)
        if self._pause in self._faulty:
            self._pause_waiting()

    def _pause_waiting(self) -> None:
        """Pause the VMs whose requests wait for tokens, until their loans have lapsed."""
        for machine in self.world.awake:
            if machine.limiter.waiting:
                machine.woken_at = self.world.now + self._rng.choice([0.2, 0.35, 1.0])
                self._count("pause while waiting")

    def _take_ideal(self, limit: holders.Limit, tokens: int) -> bool:
        level, at = self._ideal.get(limit.organisation, (float(limit.burst), self.world.now))
        level = min(limit.burst, level + (self.world.now - at) * limit.rate)
        inside = tokens <= level
        self._ideal[limit.organisation] = (level - tokens * inside, self.world.now)
        return inside

    def _settle(self) -> None:
        for machine in self.world.awake:
            for request in machine.running:
                reserved = self.world.decided[request]
                used = self._rng.randint(0, reserved.tokens)  # type: ignore[union-attr]
                self.world.settle(machine, request, used)
            machine.running.clear()
        if self._rng.random() < 0.2:
            self._spike()

    def _refresh(self) -> None:
        if self.world.awake:
            self.world.refresh(self._rng.choice(self.world.awake))

    def _pause(self) -> None:
        if self.world.awake:
            seconds = self._rng.choice([0.05, 0.9, 1.1, 5.0])
            self._rng.choice(self.world.awake).woken_at = self.world.now + seconds
            self._count("pause")

    def _crash(self) -> None:
        if self.world.alive:
            self.world.crash(self._rng.choice(self.world.alive))
            self._count("crash")

    def _start(self) -> None:
        dead = [m for m in self.world.machines.values() if not m.alive]
        dead = [m for m in dead if m.name not in self.world.destroyed]
        for machine in dead[: self._rng.randint(0, 3)]:
            self.world.start(machine.name, next(self._numbers))
            self._count("restart")

    def _herd(self) -> None:
        for machine in self.world.alive:
            self.world.crash(machine)
            self.world.start(machine.name, next(self._numbers))
        self._count("herd")

    def _cut(self) -> None:
        names = sorted(self.world.machines)
        side = set(self._rng.sample(names, self._rng.randint(1, len(names))))
        pairs = {frozenset((a, b)) for a in side for b in names if b not in side}
        self.world.cut |= pairs
        self._count("partition")

    def _heal(self) -> None:
        self.world.cut.clear()

    def _store(self) -> None:
        self.world.store_up = not self.world.store_up
        self._count("store")

    def _set_limit(self) -> None:
        document = self.world.document
        name = f"organisation-{self._rng.randrange(ORGANISATIONS)}"
        limits = {**document.limits, name: self._limit(name)}
        self._accept(document.roster, limits)
        self._count("limit")

    def _remove_limit(self) -> None:
        document = self.world.document
        if len(document.limits) > 2:
            limits = dict(document.limits)
            del limits[self._rng.choice(sorted(limits))]
            self._accept(document.roster, limits)
            self._count("removal")

    def _replace(self) -> None:
        """Give a slot to a new VM, drop a slot, or add one."""
        roster = self.world.document.roster
        slots = list(roster.slots)
        retiring = [n for n in roster.retiring if n not in self.world.destroyed]
        index = self._rng.randrange(len(slots))
        change = self._rng.choice(["replace", "replace", "drop", "add"])
        name = f"vm-{next(self._vms)}"
        if change == "add":
            slots.append(limits_simulation.place(int(name[3:]), name))
        else:
            retiring.append(slots[index].vm)
        if change == "replace":
            slots[index] = dataclasses.replace(slots[index], vm=name)
        if change == "drop" and len(slots) > 1:
            del slots[index]
        if change != "drop":
            self.world.start(name, next(self._numbers))
        revision = self.world.document.revision + 1
        changed = holders.Roster(revision, tuple(slots), tuple(retiring), self._settled())
        self._accept(changed, self.world.document.limits)
        self._count(change)
        for machine in self.world.awake:
            if self._rng.random() < 0.5:
                self.world.refresh(machine)
        self._spike()

    def _settled(self) -> int:
        states = [machine.limiter.dump()["settled"] for machine in self.world.awake]
        return max([int(str(state)) for state in states], default=0)

    def _destroy(self) -> None:
        """Destroy the VMs that have left the slots, and tell whoever is awake."""
        serving = {slot.vm for slot in self.world.document.roster.slots}
        for machine in self.world.machines.values():
            if machine.name not in serving and machine.name not in self.world.destroyed:
                self.world.crash(machine)
                self.world.destroyed.add(machine.name)
                self._count("destroy")
        for machine in self.world.awake:
            machine.limiter.mark_destroyed(self.world.destroyed)

    def _accept(self, roster: holders.Roster, limits: dict[str, holders.Limit]) -> None:
        if self.world.store_up:
            self.world.document = limits_simulation.Document(
                self.world.document.revision + 1, roster, limits
            )


def run(
    seed: int, vms: int = 9, steps: int = 10_000, build: limits_simulation.Build = limiters.Limiter
) -> Report:
    """Drive the limiters of `vms` VMs through random requests and faults.

    Returns
    -------
    Report
        Its `excess` is above 0 for an organisation that was admitted more than its bound;
        `least_room` is the smallest part of any burst that the judge still found unused.
    """
    turmoil = Turmoil(seed, vms, build)
    for _ in range(steps):
        turmoil.step()
    world = turmoil.world
    report = Report(seed, vms, steps, round(world.now, 3))
    report.admitted = sum(len(judge.admissions) for judge in world.judges.values())
    for refusal in world.refusals:
        report.refused[refusal.code] = report.refused.get(refusal.code, 0) + 1
    report.wrongly_refused = turmoil.wrongly_refused()
    report.faults = dict(sorted(turmoil.faults.items()))
    report.messages = world.sent
    report.excess = {name: judge.excess() for name, judge in sorted(world.judges.items())}
    report.least_room = min(judge.least_room for judge in world.judges.values())
    return report


@click.command("limits")
@click.option("--seed", default=1, show_default=True, help="Seed of every choice.")
@click.option("--vms", default=9, show_default=True, help="Number of VMs.")
@click.option("--steps", default=100_000, show_default=True, help="Requests and faults.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def command(seed: int, vms: int, steps: int, as_json: bool) -> None:
    """Check that no organisation gets more than burst + rate x time across all VMs.

    Example: hollyring experiment limits --seed 7 --vms 9 --steps 100000
    """
    report = run(seed, vms, steps)
    if as_json:
        click.echo(json.dumps(dataclasses.asdict(report), indent=2))
    else:
        verdict = "holds" if report.holds else f"BROKEN {report.excess}"
        click.echo(f"limits: seed {seed}, {vms} VMs, {steps} steps, bound {verdict}")
        click.echo(f"limits: admitted {report.admitted}, refused {report.refused}")
    if not report.holds:
        raise SystemExit(1)
