"""Limiters of several VMs over a plain list of messages in flight, and a judge of the bound."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from hollyring.core import identities, invariants
from hollyring.limits import holders, messages, settings
from hollyring.limits import limiter as limiters

DOMAINS = 3
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
        slots = tuple(place(i, f"vm-{i}") for i in range(vms))
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
        drift = self._rng.uniform(-settings.MAX_CLOCK_DRIFT, settings.MAX_CLOCK_DRIFT)
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


def place(index: int, vm: str) -> holders.Slot:
    """Return the slot `index`, filled by `vm`."""
    return holders.Slot(f"slot-{index}", vm, f"fd-{index % DOMAINS}", "r-0")
