"""Simulation of several VMs' limiters, and a check of the bound on admitted tokens."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from hollyring.core import identities, invariants
from hollyring.limits import holders, messages, settings
from hollyring.limits import limiter as limiters

FAILURE_DOMAINS = 3
TICK_SECONDS = 0.02
BURST_DECREASE_DELAY_SECONDS = 1.1 * settings.HOLD_SECONDS
"""Time after which a lower burst applies: loans granted under the old one have expired."""

TOLERANCE_TOKENS = 1e-3
"""Largest rounding error of the sums, in tokens."""


@dataclasses.dataclass(slots=True)
class VM:
    """Simulated VM and the state of its current process.

    Parameters
    ----------
    name, incarnation
        Name and current incarnation.
    limiter
        Limiter of this incarnation.
    clock_offset, clock_drift
        Offset in seconds and relative drift of the VM's monotonic clock.
    revision, limits
        Revision and limits of the applied configuration.
    configured
        Whether a configuration is applied.
    alive
        Whether the process is running or paused, and not crashed.
    paused_until
        Time when the pause ends.
    inbox
        Senders and messages that arrived during the pause.
    running
        IDs of admitted requests that are not settled.
    """

    name: str
    limiter: limiters.Limiter
    incarnation: int
    clock_offset: float
    clock_drift: float
    revision: int = 0
    configured: bool = False
    alive: bool = True
    paused_until: float = 0.0
    inbox: list[tuple[str, messages.Message]] = dataclasses.field(default_factory=list)
    limits: dict[str, holders.Limit] = dataclasses.field(default_factory=dict)
    running: list[str] = dataclasses.field(default_factory=list)

    def clock(self, now: float) -> float:
        """Return the time of this VM's monotonic clock."""
        return self.clock_offset + now * (1 + self.clock_drift)


@dataclasses.dataclass(slots=True)
class Configuration:
    """Accepted configuration, as the store contains it."""

    revision: int
    roster: holders.Roster
    limits: dict[str, holders.Limit]


@dataclasses.dataclass(slots=True)
class Admission:
    """Time of an admitted request, and its reserved or, once it is settled, used tokens."""

    at: float
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class MaxLimit:
    """Highest rate and burst that any live VM applies, from `at` on."""

    at: float
    rate: float
    burst: float


@dataclasses.dataclass(slots=True)
class BoundChecker:
    """Checks the bound on admitted tokens over all time windows of one organisation.

    A token bucket that starts full, is refilled at the rate and is limited to the burst covers
    every admission if and only if no window exceeds burst + rate x time.

    Parameters
    ----------
    admissions
        Admitted requests by ID.
    max_limits
        Changes of the highest rate and burst, in order of time.
    least_room
        Smallest fraction of a burst that was left unused, as determined by `excess`.

    Examples
    --------
    >>> checker = BoundChecker()
    >>> checker.record_max_limit(0.0, 10.0, 100.0)
    >>> checker.admissions["a"] = Admission(1.0, 100)
    >>> checker.admissions["b"] = Admission(2.0, 11)
    >>> checker.excess()
    1.0
    >>> checker.admissions["b"].tokens = 10
    >>> checker.excess()
    0.0
    """

    admissions: dict[str, Admission] = dataclasses.field(default_factory=dict)
    max_limits: list[MaxLimit] = dataclasses.field(default_factory=list)
    least_room: float = 1.0

    def record_max_limit(self, at: float, rate: float, burst: float) -> None:
        """Record the highest rate and burst that apply from `at` on."""
        last = self.max_limits[-1] if self.max_limits else None
        if last is None or (last.rate, last.burst) != (rate, burst):
            self.max_limits.append(MaxLimit(at, rate, burst))

    def excess(self) -> float:
        """Return the most tokens by which any window exceeds its bound, and set `least_room`."""
        max_excess = 0.0
        level = max((c.burst for c in self.max_limits), default=0.0)
        at = self.max_limits[0].at if self.max_limits else 0.0
        index = 0
        for admission in sorted(self.admissions.values(), key=lambda a: a.at):
            while (
                index + 1 < len(self.max_limits) and self.max_limits[index + 1].at <= admission.at
            ):
                level, at = self._refill(level, at, self.max_limits[index + 1].at, index)
                index += 1
            level, at = self._refill(level, at, admission.at, index)
            level -= admission.tokens
            max_excess = max(max_excess, -level)
            burst = max(self.max_limits[index].burst, 1.0)
            self.least_room = min(self.least_room, round(level / burst, 6))
        return round(max_excess, 6) if max_excess > TOLERANCE_TOKENS else 0.0

    def _refill(self, level: float, at: float, until: float, index: int) -> tuple[float, float]:
        burst = self.max_limits[index].burst
        earlier = index
        while earlier > 0 and self.max_limits[earlier].at > until - BURST_DECREASE_DELAY_SECONDS:
            earlier -= 1
            burst = max(burst, self.max_limits[earlier].burst)
        return min(burst, level + (until - at) * self.max_limits[index].rate), until


LimiterFactory = Callable[[identities.Incarnation, invariants.Invariants], limiters.Limiter]


class Simulation:
    """Simulation of several VMs' limiters and the messages in flight between them.

    Parameters
    ----------
    rng
        Source of all random choices.
    vm_count
        Number of VMs.
    limits
        Initial limits.
    limiter_factory
        Creates the limiter of one incarnation of a VM.
    loss_rate
        Probability that a message is lost, and also that it is duplicated.
    delay_rate
        Probability that a message is delayed by up to `max_delay_seconds`.
    max_delay_seconds
        Longest delay of a delayed message.
    """

    def __init__(
        self,
        rng: random.Random,
        vm_count: int,
        limits: list[holders.Limit],
        limiter_factory: LimiterFactory = limiters.Limiter,
        loss_rate: float = 0.0,
        delay_rate: float = 0.0,
        max_delay_seconds: float = 3.0,
    ) -> None:
        self._rng = rng
        self._limiter_factory = limiter_factory
        self._loss_rate = loss_rate
        self._delay_rate = delay_rate
        self._max_delay_seconds = max_delay_seconds
        self.now = 0.0
        self.store_up = True
        self.blocked_links: set[frozenset[str]] = set()
        self.vms: dict[str, VM] = {}
        self.destroyed: set[str] = set()
        self.checkers: dict[str, BoundChecker] = {}
        self.refusals: list[messages.Refused] = []
        self.request_decisions: dict[str, messages.Decision] = {}
        self.messages_sent = 0
        self._in_flight: list[tuple[float, int, str, str, messages.Message]] = []
        self._sequence = itertools.count()
        self._next_tick = 0.0
        slots = tuple(make_slot(i, f"vm-{i}") for i in range(vm_count))
        roster = holders.Roster(1, slots, settled=1)
        self.configuration = Configuration(
            1, roster, {limit.organisation: limit for limit in limits}
        )
        for slot in slots:
            self.start(slot.vm, 1)

    @property
    def alive(self) -> list[VM]:
        """VMs that have not crashed, including paused ones."""
        return [vm for vm in self.vms.values() if vm.alive]

    @property
    def active(self) -> list[VM]:
        """VMs that have not crashed and are not paused."""
        return [vm for vm in self.vms.values() if vm.alive and vm.paused_until <= self.now]

    def start(self, name: str, incarnation: int) -> VM:
        """Start an incarnation of VM `name` without state."""
        identity = identities.Incarnation(name, incarnation)
        clock_drift = self._rng.uniform(-settings.MAX_CLOCK_DRIFT, settings.MAX_CLOCK_DRIFT)
        limiter = self._limiter_factory(identity, invariants.Invariants())
        vm = VM(name, limiter, incarnation, self._rng.uniform(0, 1e5), clock_drift)
        self.vms[name] = vm
        self.refresh(vm)
        return vm

    def crash(self, vm: VM) -> None:
        """Stop the process of `vm` and drop the messages that it has not handled."""
        vm.alive = False
        vm.inbox.clear()
        self._record_max_limits()

    def refresh(self, vm: VM) -> None:
        """Update the configuration of `vm` from the store or, in its outage, from a peer."""
        source = self.configuration if self.store_up else self._peer_configuration(vm)
        if source is None or (vm.configured and source.revision <= vm.revision):
            return
        changed = tuple(
            limit for name, limit in source.limits.items() if vm.limits.get(name) != limit
        )
        removed = tuple(name for name in vm.limits if name not in source.limits)
        update = limiters.Update(source.roster, changed, removed)
        vm.limiter.configure(update, vm.clock(self.now))
        vm.limits = dict(source.limits)
        vm.revision = source.revision
        vm.configured = True
        self._record_max_limits()

    def submit(self, vm: VM, organisation: str, tokens: int) -> str:
        """Submit a request to `vm` and return the request's ID."""
        request_id = f"r{next(self._sequence)}"
        clock = vm.clock(self.now)
        self._apply(vm, vm.limiter.admit(organisation, tokens, request_id, clock))
        return request_id

    def settle(self, vm: VM, request_id: str, used: int) -> None:
        """Settle an admitted request that used `used` tokens."""
        decision = self.request_decisions[request_id]
        self.checkers[decision.organisation].admissions[request_id].tokens = used
        self._apply(vm, vm.limiter.settle(request_id, used, vm.clock(self.now)))

    def run_until(self, until: float) -> None:
        """Deliver messages and run ticks in order of time, up to `until`."""
        while True:
            due = self._in_flight[0][0] if self._in_flight else until
            at = min(due, self._next_tick, until)
            self.now = max(self.now, at)
            if due <= at and self._in_flight:
                _, _, sender, receiver, message = heapq.heappop(self._in_flight)
                self._deliver(sender, receiver, message)
            elif self._next_tick <= at:
                self._next_tick += TICK_SECONDS
                self._tick()
            else:
                return

    def _tick(self) -> None:
        for vm in self.active:
            inbox, vm.inbox = vm.inbox, []
            for sender, message in inbox:
                self._handle(vm, sender, message)
            self._apply(vm, vm.limiter.tick(vm.clock(self.now)))

    def _deliver(self, sender: str, receiver: str, message: messages.Message) -> None:
        vm = self.vms.get(receiver)
        if vm is None or not vm.alive or frozenset((sender, receiver)) in self.blocked_links:
            return
        if vm.paused_until > self.now:
            vm.inbox.append((sender, message))
            return
        self._handle(vm, sender, message)

    def _handle(self, vm: VM, sender: str, message: messages.Message) -> None:
        clock = vm.clock(self.now)
        self._apply(vm, vm.limiter.receive(sender, message, clock))

    def _apply(self, vm: VM, effects: messages.Effects) -> None:
        for outgoing in effects.messages:
            self._send(vm.name, outgoing)
        for decision in effects.decisions:
            self.request_decisions[decision.request_id] = decision
            match decision:
                case messages.Admitted():
                    admission = Admission(self.now, decision.tokens)
                    checker = self.checkers[decision.organisation]
                    checker.admissions[decision.request_id] = admission
                    vm.running.append(decision.request_id)
                case messages.Refused():
                    self.refusals.append(decision)

    def _send(self, sender: str, outgoing: messages.Outgoing) -> None:
        self.messages_sent += 1
        copies = 2 if self._rng.random() < self._loss_rate else 1
        for _ in range(copies):
            if self._rng.random() < self._loss_rate:
                continue
            delay = self._rng.uniform(0.0003, 0.002)
            if self._rng.random() < self._delay_rate:
                delay = self._rng.uniform(0.0, self._max_delay_seconds)
            entry = (self.now + delay, next(self._sequence), sender)
            heapq.heappush(self._in_flight, (*entry, outgoing.receiver, outgoing.message))

    def _peer_configuration(self, vm: VM) -> Configuration | None:
        """Return the latest configuration of the reachable VMs that belong to their own roster."""
        found: Configuration | None = None
        for peer in self.active:
            roster = peer.limiter.roster
            if peer is vm or not peer.configured or roster is None:
                continue
            if (
                frozenset((peer.name, vm.name)) in self.blocked_links
                or peer.name not in roster.members
            ):
                continue
            if found is None or peer.revision > found.revision:
                found = Configuration(peer.revision, roster, dict(peer.limits))
        return found

    def _record_max_limits(self) -> None:
        tables = [vm.limits for vm in self.alive if vm.configured]
        for name in {name for table in tables for name in table} | self.checkers.keys():
            applied = [table[name] for table in tables if name in table]
            rate = max((limit.rate for limit in applied), default=0)
            burst = max((limit.burst for limit in applied), default=0)
            self.checkers.setdefault(name, BoundChecker()).record_max_limit(self.now, rate, burst)


def make_slot(index: int, vm: str) -> holders.Slot:
    """Return the slot number `index`, filled by `vm`."""
    return holders.Slot(f"slot-{index}", vm, f"fd-{index % FAILURE_DOMAINS}", "r-0")
