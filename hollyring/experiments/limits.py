"""Randomised runs of the limiters of several VMs, judged from outside."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import json
import random
from collections.abc import Callable

import click

from hollyring.core import identities, invariants
from hollyring.limits import holders, messages, settings
from hollyring.limits import limiter as limiters

DOMAINS = 3
ORGANISATIONS = 5
TICK_SECONDS = 0.02
BURST_LAG = 1.1 * settings.HOLD_SECONDS
"""Seconds after which a lowered burst binds: loans given under the old one have lapsed."""

TOLERANCE = 1e-3
"""Tokens by which sums of floating-point numbers may be off."""


@dataclasses.dataclass(slots=True)
class Machine:
    """One VM of the run: its limiter, its clock and what became of it."""

    name: str
    limiter: limiters.Limiter
    incarnation: int
    offset: float
    drift: float
    revision: int = 0
    configured: bool = False
    alive: bool = True
    woken_at: float = 0.0
    mailbox: list[tuple[str, messages.Message]] = dataclasses.field(default_factory=list)
    limits: dict[str, holders.Limit] = dataclasses.field(default_factory=dict)
    running: list[str] = dataclasses.field(default_factory=list)

    def clock(self, now: float) -> float:
        """Return this VM's monotonic clock."""
        return self.offset + now * (1 + self.drift)


@dataclasses.dataclass(slots=True)
class Document:
    """The accepted configuration: what the store holds."""

    revision: int
    roster: holders.Roster
    limits: dict[str, holders.Limit]


@dataclasses.dataclass(slots=True)
class Admission:
    """One admitted request, as the judge sees it."""

    at: float
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ceiling:
    """The highest rate and burst that any live VM applies, from `at` on."""

    at: float
    rate: float
    burst: float


@dataclasses.dataclass(slots=True)
class Judge:
    """Checks the bound over all windows of one organisation.

    A bucket that starts full, fills at the rate and never holds more than the burst has
    room for every admission if and only if no window exceeds burst + rate x time.

    Examples
    --------
    >>> judge = Judge()
    >>> judge.ceiling(0.0, 10.0, 100.0)
    >>> judge.admissions["a"] = Admission(1.0, 100)
    >>> judge.admissions["b"] = Admission(2.0, 11)
    >>> judge.excess()
    1.0
    >>> judge.admissions["b"].tokens = 10
    >>> judge.excess()
    0.0
    """

    admissions: dict[str, Admission] = dataclasses.field(default_factory=dict)
    ceilings: list[Ceiling] = dataclasses.field(default_factory=list)
    least_room: float = 1.0

    def ceiling(self, at: float, rate: float, burst: float) -> None:
        """Note the highest rate and burst in force."""
        last = self.ceilings[-1] if self.ceilings else None
        if last is None or (last.rate, last.burst) != (rate, burst):
            self.ceilings.append(Ceiling(at, rate, burst))

    def excess(self) -> float:
        """Return the most tokens by which any window is above its bound."""
        worst = 0.0
        level = max((c.burst for c in self.ceilings), default=0.0)
        at = self.ceilings[0].at if self.ceilings else 0.0
        index = 0
        for admission in sorted(self.admissions.values(), key=lambda a: a.at):
            while index + 1 < len(self.ceilings) and self.ceilings[index + 1].at <= admission.at:
                level, at = self._fill(level, at, self.ceilings[index + 1].at, index)
                index += 1
            level, at = self._fill(level, at, admission.at, index)
            level -= admission.tokens
            worst = max(worst, -level)
            burst = max(self.ceilings[index].burst, 1.0)
            self.least_room = min(self.least_room, round(level / burst, 6))
        return round(worst, 6) if worst > TOLERANCE else 0.0

    def _fill(self, level: float, at: float, until: float, index: int) -> tuple[float, float]:
        burst = self.ceilings[index].burst
        back = index
        while back > 0 and self.ceilings[back].at > until - BURST_LAG:
            back -= 1
            burst = max(burst, self.ceilings[back].burst)
        return min(burst, level + (until - at) * self.ceilings[index].rate), until


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


Build = Callable[[identities.Incarnation, invariants.Invariants], limiters.Limiter]


class World:
    """Limiters of several VMs over a plain list of messages in flight.

    Parameters
    ----------
    rng
        Source of every choice.
    vms
        Number of VMs.
    limits
        The limits at the start.
    build
        Makes the limiter of one life of a VM.
    loss
        Chance that a message is dropped, and that it is doubled.
    late
        Chance that a message is delayed for up to `late_seconds`.
    """

    def __init__(
        self,
        rng: random.Random,
        vms: int,
        limits: list[holders.Limit],
        build: Build = limiters.Limiter,
        loss: float = 0.0,
        late: float = 0.0,
        late_seconds: float = 3.0,
    ) -> None:
        self._rng = rng
        self._build = build
        self._loss = loss
        self._late = late
        self._late_seconds = late_seconds
        self.now = 0.0
        self.store_up = True
        self.cut: set[frozenset[str]] = set()
        self.machines: dict[str, Machine] = {}
        self.destroyed: set[str] = set()
        self.judges: dict[str, Judge] = {}
        self.refusals: list[messages.Refused] = []
        self.decided: dict[str, messages.Decision] = {}
        self.sent = 0
        self._flight: list[tuple[float, int, str, str, messages.Message]] = []
        self._number = itertools.count()
        self._next_tick = 0.0
        slots = tuple(_slot(i, f"vm-{i}") for i in range(vms))
        roster = holders.Roster(1, slots, settled=1)
        self.document = Document(1, roster, {limit.organisation: limit for limit in limits})
        for slot in slots:
            self.start(slot.vm, 1)

    @property
    def alive(self) -> list[Machine]:
        """Machines whose process lives, paused ones among them."""
        return [machine for machine in self.machines.values() if machine.alive]

    @property
    def awake(self) -> list[Machine]:
        """Machines whose process lives and is not paused."""
        return [m for m in self.machines.values() if m.alive and m.woken_at <= self.now]

    def start(self, name: str, incarnation: int) -> Machine:
        """Start a life of VM `name` with an empty memory."""
        vm = identities.Incarnation(name, incarnation)
        drift = self._rng.uniform(-settings.CLOCK_DRIFT, settings.CLOCK_DRIFT)
        state = self._build(vm, invariants.Invariants())
        machine = Machine(name, state, incarnation, self._rng.uniform(0, 1e5), drift)
        self.machines[name] = machine
        self.refresh(machine)
        return machine

    def crash(self, machine: Machine) -> None:
        """End the process of `machine`."""
        machine.alive = False
        machine.mailbox.clear()
        self._note_ceilings()

    def refresh(self, machine: Machine) -> None:
        """Bring a machine's configuration up to date from the store or a configured peer."""
        source = self.document if self.store_up else self._from_peer(machine)
        if source is None or (machine.configured and source.revision <= machine.revision):
            return
        changed = tuple(
            limit for name, limit in source.limits.items() if machine.limits.get(name) != limit
        )
        removed = tuple(name for name in machine.limits if name not in source.limits)
        update = limiters.Update(source.roster, changed, removed)
        machine.limiter.configure(update, machine.clock(self.now))
        machine.limits = dict(source.limits)
        machine.revision = source.revision
        machine.configured = True
        self._note_ceilings()

    def submit(self, machine: Machine, organisation: str, tokens: int) -> str:
        """Offer a request to a VM and return its identity."""
        request = f"r{next(self._number)}"
        clock = machine.clock(self.now)
        self._apply(machine, machine.limiter.admit(organisation, tokens, request, clock))
        return request

    def settle(self, machine: Machine, request: str, used: int) -> None:
        """End an admitted request that used `used` tokens."""
        decision = self.decided[request]
        self.judges[decision.organisation].admissions[request].tokens = used
        self._apply(machine, machine.limiter.settle(request, used, machine.clock(self.now)))

    def run_until(self, until: float) -> None:
        """Deliver messages and tick until `until`, in the order of time."""
        while True:
            due = self._flight[0][0] if self._flight else until
            at = min(due, self._next_tick, until)
            self.now = max(self.now, at)
            if due <= at and self._flight:
                _, _, sender, receiver, message = heapq.heappop(self._flight)
                self._deliver(sender, receiver, message)
            elif self._next_tick <= at:
                self._next_tick += TICK_SECONDS
                self._tick()
            else:
                return

    def _tick(self) -> None:
        for machine in self.awake:
            mailbox, machine.mailbox = machine.mailbox, []
            for sender, message in mailbox:
                self._handle(machine, sender, message)
            self._apply(machine, machine.limiter.tick(machine.clock(self.now)))

    def _deliver(self, sender: str, receiver: str, message: messages.Message) -> None:
        machine = self.machines.get(receiver)
        if machine is None or not machine.alive or frozenset((sender, receiver)) in self.cut:
            return
        if machine.woken_at > self.now:
            machine.mailbox.append((sender, message))
            return
        self._handle(machine, sender, message)

    def _handle(self, machine: Machine, sender: str, message: messages.Message) -> None:
        clock = machine.clock(self.now)
        self._apply(machine, machine.limiter.receive(sender, message, clock))

    def _apply(self, machine: Machine, effects: messages.Effects) -> None:
        for outgoing in effects.messages:
            self._send(machine.name, outgoing)
        for decision in effects.decisions:
            self.decided[decision.request_id] = decision
            match decision:
                case messages.Admitted():
                    admission = Admission(self.now, decision.tokens)
                    judge = self.judges[decision.organisation]
                    judge.admissions[decision.request_id] = admission
                    machine.running.append(decision.request_id)
                case messages.Refused():
                    self.refusals.append(decision)

    def _send(self, sender: str, outgoing: messages.Outgoing) -> None:
        self.sent += 1
        copies = 2 if self._rng.random() < self._loss else 1
        for _ in range(copies):
            if self._rng.random() < self._loss:
                continue
            delay = self._rng.uniform(0.0003, 0.002)
            if self._rng.random() < self._late:
                delay = self._rng.uniform(0.0, self._late_seconds)
            entry = (self.now + delay, next(self._number), sender)
            heapq.heappush(self._flight, (*entry, outgoing.receiver, outgoing.message))

    def _from_peer(self, machine: Machine) -> Document | None:
        """Return the newest configuration among reachable members of their own rosters."""
        found: Document | None = None
        for peer in self.awake:
            roster = peer.limiter.roster
            if peer is machine or not peer.configured or roster is None:
                continue
            if frozenset((peer.name, machine.name)) in self.cut or peer.name not in roster.members:
                continue
            if found is None or peer.revision > found.revision:
                found = Document(peer.revision, roster, dict(peer.limits))
        return found

    def _note_ceilings(self) -> None:
        tables = [machine.limits for machine in self.alive if machine.configured]
        for name in {name for table in tables for name in table} | self.judges.keys():
            known = [table[name] for table in tables if name in table]
            rate = max((limit.rate for limit in known), default=0)
            burst = max((limit.burst for limit in known), default=0)
            self.judges.setdefault(name, Judge()).ceiling(self.now, rate, burst)


def _slot(index: int, vm: str) -> holders.Slot:
    return holders.Slot(f"slot-{index}", vm, f"fd-{index % DOMAINS}", "r-0")


class Turmoil:
    """Random requests and faults on a `World`."""

    def __init__(self, seed: int, vms: int, build: Build = limiters.Limiter) -> None:
        self._rng = random.Random(seed)
        limits = [self._limit(f"organisation-{i}") for i in range(ORGANISATIONS)]
        loss = self._rng.choice([0.0, 0.02, 0.2])
        late = self._rng.choice([0.0, 0.02, 0.2])
        self.world = World(self._rng, vms, limits, build, loss, late)
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
        """Ask for more than a whole burst at once, at several VMs, after a rest."""
        world, rng = self.world, self._rng
        world.run_until(world.now + rng.choice([0.0, 0.5, 3.0]))
        if not world.awake or not world.document.limits:
            return
        name = rng.choice(sorted(world.document.limits))
        burst = world.document.limits[name].burst
        for _ in range(30):
            world.submit(rng.choice(world.awake), name, max(1, burst // rng.choice([10, 25])))

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
            slots.append(_slot(int(name[3:]), name))
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
            self.world.document = Document(self.world.document.revision + 1, roster, limits)


def run(seed: int, vms: int = 9, steps: int = 10_000, build: Build = limiters.Limiter) -> Report:
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
