"""Randomised simulation of several VMs' limiters that checks the bound on admitted tokens."""

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
    """Result of one run.

    Parameters
    ----------
    seed, vms, steps
        Arguments of the run.
    seconds
        Simulated time.
    admitted
        Number of admitted requests.
    refused
        Number of refused requests by reason.
    undecided
        Not used; always 0.
    wrongly_refused
        Number of refused requests for which a single ideal bucket had enough tokens.
    faults
        Number of injected faults by kind.
    messages
        Number of messages sent.
    excess
        Most tokens by which a window exceeded its bound, by organisation.
    least_room
        Smallest fraction of a burst that was left unused.
    """

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
    def bound_holds(self) -> bool:
        """Whether no window of any organisation exceeded its bound."""
        return not any(self.excess.values())


class RandomDriver:
    """Random requests and faults in a `Simulation`."""

    def __init__(
        self,
        seed: int,
        vms: int,
        limiter_factory: limits_simulation.LimiterFactory = limiters.Limiter,
    ) -> None:
        self._rng = random.Random(seed)
        limits = [self._limit(f"organisation-{i}") for i in range(ORGANISATIONS)]
        loss_rate = self._rng.choice([0.0, 0.02, 0.2])
        delay_rate = self._rng.choice([0.0, 0.02, 0.2])
        self.simulation = limits_simulation.Simulation(
            self._rng, vms, limits, limiter_factory, loss_rate, delay_rate
        )
        self.faults: dict[str, int] = {}
        self._vm_numbers = itertools.count(vms)
        self._incarnations = itertools.count(2)
        self._ideal_buckets: dict[str, tuple[float, float]] = {}
        self._conforming: set[str] = set()
        self._load_factor = self._rng.choice([0.1, 0.3, 3.0])
        all_faults = [
            self._pause,
            self._crash,
            self._restart_all,
            self._partition,
            self._toggle_store,
        ]
        all_faults += [self._set_limit, self._remove_limit, self._replace]
        self._enabled_faults = self._rng.sample(
            all_faults, self._rng.choice([1, 2, 2, len(all_faults)])
        )
        self._fault_probability = self._rng.choice([0.01, 0.05, 0.2])

    def step(self) -> None:
        """Advance the time a little, then perform a random action."""
        simulation, rng = self.simulation, self._rng
        simulation.run_until(simulation.now + rng.expovariate(1 / 0.01))
        if rng.random() < 0.9:
            self._request()
            return
        if rng.random() < 0.2:
            self._spike()
            return
        if rng.random() < self._fault_probability:
            rng.choice(self._enabled_faults)()
            return
        rng.choice([self._settle, self._refresh, self._start, self._heal, self._destroy])()

    def wrongly_refused(self) -> int:
        """Return the number of refused requests for which a single ideal bucket had the tokens."""
        return sum(
            1 for refusal in self.simulation.refusals if refusal.request_id in self._conforming
        )

    def _count(self, fault: str) -> None:
        self.faults[fault] = self.faults.get(fault, 0) + 1

    def _limit(self, name: str) -> holders.Limit:
        burst = self._rng.choice([50, 1000, 20_000, 300_000])
        return holders.Limit(name, self._rng.choice([burst // 10, burst, burst * 5]), burst)

    def _request(self) -> None:
        simulation, rng = self.simulation, self._rng
        vm = rng.choice(simulation.active) if simulation.active else None
        if vm is None or not simulation.configuration.limits:
            return
        if rng.random() < 0.5:
            vm = min(simulation.active, key=lambda each: each.name)
        limit = rng.choice(
            sorted(simulation.configuration.limits.values(), key=lambda x: x.organisation)
        )
        max_tokens = min(limit.burst, limit.rate * 0.1 * self._load_factor + 1)
        tokens = max(1, int(rng.uniform(0, max_tokens)))
        if rng.random() < 0.01:
            tokens = limit.burst + rng.choice([0, 1])
        conforming = self._take_ideal_tokens(limit, tokens)
        request_id = simulation.submit(vm, limit.organisation, tokens)
        if conforming:
            self._conforming.add(request_id)

    def _spike(self) -> None:
        """Request more than a whole burst after some time, and maybe again right after a fault."""
        simulation, rng = self.simulation, self._rng
        if not simulation.configuration.limits:
            return
        limit = rng.choice(
            sorted(simulation.configuration.limits.values(), key=lambda x: x.organisation)
        )
        simulation.run_until(
            simulation.now + rng.choice([0.0, 0.5, 1.2 * limit.burst / limit.rate])
        )
        self._exceed_burst(limit)
        if rng.random() < 0.3:
            rng.choice(self._enabled_faults)()
            simulation.run_until(simulation.now + rng.choice([0.0, 0.05]))
            self._start()
            simulation.run_until(simulation.now + rng.choice([0.05, 0.4]))
            self._exceed_burst(limit)

    def _exceed_burst(self, limit: holders.Limit) -> None:
        simulation, rng = self.simulation, self._rng
        for _ in range(30):
            if simulation.active:
                tokens = max(1, limit.burst // rng.choice([10, 25]))
                simulation.submit(rng.choice(simulation.active), limit.organisation, tokens)
        if self._pause in self._enabled_faults:
            self._pause_waiting_vms()

    def _pause_waiting_vms(self) -> None:
        """Pause the VMs whose requests wait for tokens, until their loans have expired."""
        for vm in self.simulation.active:
            if vm.limiter.waiting:
                vm.paused_until = self.simulation.now + self._rng.choice([0.2, 0.35, 1.0])
                self._count("pause while waiting")

    def _take_ideal_tokens(self, limit: holders.Limit, tokens: int) -> bool:
        level, at = self._ideal_buckets.get(
            limit.organisation, (float(limit.burst), self.simulation.now)
        )
        level = min(limit.burst, level + (self.simulation.now - at) * limit.rate)
        conforming = tokens <= level
        self._ideal_buckets[limit.organisation] = (level - tokens * conforming, self.simulation.now)
        return conforming

    def _settle(self) -> None:
        for vm in self.simulation.active:
            for request_id in vm.running:
                reserved = self.simulation.request_decisions[request_id]
                used = self._rng.randint(0, reserved.tokens)  # type: ignore[union-attr]
                self.simulation.settle(vm, request_id, used)
            vm.running.clear()
        if self._rng.random() < 0.2:
            self._spike()

    def _refresh(self) -> None:
        if self.simulation.active:
            self.simulation.refresh(self._rng.choice(self.simulation.active))

    def _pause(self) -> None:
        if self.simulation.active:
            seconds = self._rng.choice([0.05, 0.9, 1.1, 5.0])
            self._rng.choice(self.simulation.active).paused_until = self.simulation.now + seconds
            self._count("pause")

    def _crash(self) -> None:
        if self.simulation.alive:
            self.simulation.crash(self._rng.choice(self.simulation.alive))
            self._count("crash")

    def _start(self) -> None:
        crashed = [each for each in self.simulation.vms.values() if not each.alive]
        crashed = [each for each in crashed if each.name not in self.simulation.destroyed]
        for vm in crashed[: self._rng.randint(0, 3)]:
            self.simulation.start(vm.name, next(self._incarnations))
            self._count("restart")

    def _restart_all(self) -> None:
        for vm in self.simulation.alive:
            self.simulation.crash(vm)
            self.simulation.start(vm.name, next(self._incarnations))
        self._count("herd")

    def _partition(self) -> None:
        names = sorted(self.simulation.vms)
        group = set(self._rng.sample(names, self._rng.randint(1, len(names))))
        pairs = {frozenset((a, b)) for a in group for b in names if b not in group}
        self.simulation.blocked_links |= pairs
        self._count("partition")

    def _heal(self) -> None:
        self.simulation.blocked_links.clear()

    def _toggle_store(self) -> None:
        self.simulation.store_up = not self.simulation.store_up
        self._count("store")

    def _set_limit(self) -> None:
        configuration = self.simulation.configuration
        name = f"organisation-{self._rng.randrange(ORGANISATIONS)}"
        limits = {**configuration.limits, name: self._limit(name)}
        self._store_configuration(configuration.roster, limits)
        self._count("limit")

    def _remove_limit(self) -> None:
        configuration = self.simulation.configuration
        if len(configuration.limits) > 2:
            limits = dict(configuration.limits)
            del limits[self._rng.choice(sorted(limits))]
            self._store_configuration(configuration.roster, limits)
            self._count("removal")

    def _replace(self) -> None:
        """Replace the VM of a slot, remove a slot, or add one."""
        roster = self.simulation.configuration.roster
        slots = list(roster.slots)
        retiring = [n for n in roster.retiring if n not in self.simulation.destroyed]
        index = self._rng.randrange(len(slots))
        change = self._rng.choice(["replace", "replace", "drop", "add"])
        name = f"vm-{next(self._vm_numbers)}"
        if change == "add":
            slots.append(limits_simulation.make_slot(int(name[3:]), name))
        else:
            retiring.append(slots[index].vm)
        if change == "replace":
            slots[index] = dataclasses.replace(slots[index], vm=name)
        if change == "drop" and len(slots) > 1:
            del slots[index]
        if change != "drop":
            self.simulation.start(name, next(self._incarnations))
        revision = self.simulation.configuration.revision + 1
        changed = holders.Roster(
            revision, tuple(slots), tuple(retiring), self._max_settled_revision()
        )
        self._store_configuration(changed, self.simulation.configuration.limits)
        self._count(change)
        for vm in self.simulation.active:
            if self._rng.random() < 0.5:
                self.simulation.refresh(vm)
        self._spike()

    def _max_settled_revision(self) -> int:
        """Return the latest roster revision that an active VM knows to be settled."""
        states = [vm.limiter.dump()["settled"] for vm in self.simulation.active]
        return max([int(str(state)) for state in states], default=0)

    def _destroy(self) -> None:
        """Destroy the VMs that fill no slot, and notify all active VMs."""
        serving = {slot.vm for slot in self.simulation.configuration.roster.slots}
        for vm in self.simulation.vms.values():
            if vm.name not in serving and vm.name not in self.simulation.destroyed:
                self.simulation.crash(vm)
                self.simulation.destroyed.add(vm.name)
                self._count("destroy")
        for vm in self.simulation.active:
            vm.limiter.mark_destroyed(self.simulation.destroyed)

    def _store_configuration(
        self, roster: holders.Roster, limits: dict[str, holders.Limit]
    ) -> None:
        if self.simulation.store_up:
            self.simulation.configuration = limits_simulation.Configuration(
                self.simulation.configuration.revision + 1, roster, limits
            )


def run(
    seed: int,
    vms: int = 9,
    steps: int = 10_000,
    limiter_factory: limits_simulation.LimiterFactory = limiters.Limiter,
) -> Report:
    """Simulate the limiters of `vms` VMs with random requests and faults.

    Returns
    -------
    Report
        `excess` is positive for an organisation whose admitted tokens exceeded the bound;
        `least_room` is the smallest fraction of any burst that remained unused.
    """
    driver = RandomDriver(seed, vms, limiter_factory)
    for _ in range(steps):
        driver.step()
    simulation = driver.simulation
    report = Report(seed, vms, steps, round(simulation.now, 3))
    report.admitted = sum(len(checker.admissions) for checker in simulation.checkers.values())
    for refusal in simulation.refusals:
        report.refused[refusal.code] = report.refused.get(refusal.code, 0) + 1
    report.wrongly_refused = driver.wrongly_refused()
    report.faults = dict(sorted(driver.faults.items()))
    report.messages = simulation.messages_sent
    report.excess = {
        name: checker.excess() for name, checker in sorted(simulation.checkers.items())
    }
    report.least_room = min(checker.least_room for checker in simulation.checkers.values())
    return report


@click.command("limits")
@click.option("--seed", default=1, show_default=True, help="Seed of all random choices.")
@click.option("--vms", default=9, show_default=True, help="Number of VMs.")
@click.option("--steps", default=100_000, show_default=True, help="Number of random steps.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def command(seed: int, vms: int, steps: int, as_json: bool) -> None:
    """Check that no organisation is admitted more than burst + rate x time across all VMs.

    Example: hollyring experiment limits --seed 7 --vms 9 --steps 100000
    """
    report = run(seed, vms, steps)
    if as_json:
        click.echo(json.dumps(dataclasses.asdict(report), indent=2))
    else:
        verdict = "holds" if report.bound_holds else f"BROKEN {report.excess}"
        click.echo(f"limits: seed {seed}, {vms} VMs, {steps} steps, bound {verdict}")
        click.echo(f"limits: admitted {report.admitted}, refused {report.refused}")
    if not report.bound_holds:
        raise SystemExit(1)
