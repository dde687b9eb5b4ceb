"""Randomised simulation of lease clients that compete for one lease under faults."""

from __future__ import annotations

import dataclasses
import random

from hollyring.core import identities, invariants
from hollyring.membership import leases

KEY = "leases/right"
TTL_SECONDS = 5.0
CLIENT_COUNT = 3
CLOCK_RATES = (0.99, 1.0, 1.01)
"""Rate of each client's clock, within the clock drift that the lease client allows for."""

LOSS_RATE = 0.1
"""Share of calls that are delayed, and share of answers that are lost."""

PAUSE_PROBABILITY = 0.01
CRASH_PROBABILITY = 0.003
CLOSE_PROBABILITY = 0.002
"""Probabilities per step that a client is paused, crashes, or releases its lease and restarts."""

OVERWRITE_PROBABILITY = 0.001
"""Probability per step that another writer puts the key without a lease."""

ECHO_SHARE = 0.3
"""Share of these in which the value stays the same."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of one run.

    Parameters
    ----------
    acquired
        Number of times that a client acquired the lease.
    overwritten
        Number of times that another writer put the key without a lease.
    held_share
        Share of steps at which a client held the lease.
    """

    seed: int
    acquired: int
    overwritten: int
    held_share: float
    promises: dict[str, dict[str, object]]


@dataclasses.dataclass(slots=True)
class _Call:
    """A call in flight: it takes effect on arrival; its answer follows later or is lost."""

    client: int
    incarnation: int
    action: leases.Action
    arrives_at: float
    lost: bool
    answer: leases.Event | None = None
    answered_at: float = 0.0


@dataclasses.dataclass(slots=True)
class _Client:
    lease: leases.LeaseClient
    incarnation: int
    paused_until: float = 0.0


class Simulation:
    """Lease clients, the key-value store that grants leases, and the calls in flight."""

    def __init__(self, seed: int, overwrite_probability: float = OVERWRITE_PROBABILITY) -> None:
        self._overwrite_probability = overwrite_probability
        self._rng = random.Random(seed)
        self._clients = [_Client(self._create_lease_client(n, 1), 1) for n in range(CLIENT_COUNT)]
        self._calls: list[_Call] = []
        self._lease_expiry: dict[str, float] = {}
        self._entry = (b"", 0, "")
        self._version = 0
        self._highest_fencing = 0
        self.now = 0.0
        self.acquired = 0
        self.held_steps = 0
        self.overwritten = 0
        self.checks = invariants.Invariants()

    def step(self) -> None:
        """Advance the time, with at most one random fault, and check the invariants."""
        self.now += self._rng.expovariate(20.0)
        self._expire_leases()
        self._inject_fault()
        for call in [queued for queued in self._calls if queued.arrives_at <= self.now]:
            self._deliver(call)
        for number, client in enumerate(self._clients):
            if client.paused_until <= self.now:
                self._perform(number, client.lease.tick(self._clock(number)))
        self._check()

    def _check(self) -> None:
        fencing_numbers = [self._fencing(number) for number in range(CLIENT_COUNT)]
        held = [fencing for fencing in fencing_numbers if fencing is not None]
        self.checks.check("one_holder", len(held) <= 1, str(fencing_numbers))
        self.held_steps += bool(held)
        for fencing in held:
            self.checks.check(
                "fencing_never_goes_back", fencing >= self._highest_fencing, str(fencing)
            )
            self._highest_fencing = max(self._highest_fencing, fencing)

    def _fencing(self, number: int) -> int | None:
        return self._clients[number].lease.fencing(self._clock(number))

    def _clock(self, number: int) -> float:
        return self.now * CLOCK_RATES[number]

    def _create_lease_client(self, number: int, incarnation: int) -> leases.LeaseClient:
        return leases.LeaseClient(
            KEY, identities.Incarnation(f"vm-{number}", incarnation), TTL_SECONDS
        )

    def _inject_fault(self) -> None:
        number = self._rng.randrange(CLIENT_COUNT)
        client = self._clients[number]
        draw = self._rng.random()
        if draw < PAUSE_PROBABILITY:
            client.paused_until = self.now + self._rng.random() * 3 * TTL_SECONDS
        elif draw < PAUSE_PROBABILITY + CRASH_PROBABILITY:
            self._clients[number] = _Client(
                self._create_lease_client(number, client.incarnation + 1), client.incarnation + 1
            )
        elif draw < PAUSE_PROBABILITY + CRASH_PROBABILITY + CLOSE_PROBABILITY:
            self._perform(number, client.lease.close())
            self._clients[number] = _Client(
                self._create_lease_client(number, client.incarnation + 1), client.incarnation + 1
            )
        elif draw > 1.0 - self._overwrite_probability:
            self._overwrite()

    def _overwrite(self) -> None:
        """Put the key without a lease, at times with the value that it has."""
        self._version += 1
        value = self._entry[0] if self._rng.random() < ECHO_SHARE else b"a text"
        self._entry = (value, self._version, "")
        self.overwritten += 1

    def _perform(self, number: int, actions: list[leases.Action]) -> None:
        for action in actions:
            if isinstance(action, leases.Acquired):
                self.acquired += 1
            if isinstance(action, leases.Acquired | leases.Lost):
                continue
            delayed = self._rng.random() < LOSS_RATE
            arrives_at = self.now + self._rng.expovariate(1.0 if delayed else 50.0)
            lost = self._rng.random() < LOSS_RATE
            incarnation = self._clients[number].incarnation
            self._calls.append(_Call(number, incarnation, action, arrives_at, lost))

    def _deliver(self, call: _Call) -> None:
        if call.answer is None:
            call.answer = self._handle(call.action)
            call.arrives_at = self.now + self._rng.expovariate(50.0) + (1.0 if call.lost else 0.0)
            return
        client = self._clients[call.client]
        if client.paused_until > self.now:
            return
        self._calls.remove(call)
        if client.incarnation != call.incarnation or isinstance(call.action, leases.ReleaseLease):
            return
        answer = leases.Failed(call.answer.call) if call.lost else call.answer
        self._perform(call.client, client.lease.handle(answer, self._clock(call.client)))

    def _handle(self, action: leases.Action) -> leases.Event:
        self._expire_leases()
        match action:
            case leases.ReadHolder(call):
                value, current, lease = self._entry
                return leases.HolderRead(call, value, current, bool(current) and not lease)
            case leases.GrantLease(call, ttl):
                lease = f"L{call}-{len(self._lease_expiry)}-{self.now}"
                self._lease_expiry[lease] = self.now + ttl
                return leases.LeaseGranted(call, lease)
            case leases.WriteHolder(call, _, value, version, lease):
                if version != self._entry[1] or lease not in self._lease_expiry:
                    return leases.Refused(call)
                self._version += 1
                self._entry = (value, self._version, lease)
                return leases.HolderWritten(call, self._version)
            case leases.RenewLease(call, lease, _, version):
                if lease not in self._lease_expiry:
                    return leases.Refused(call)
                self._lease_expiry[lease] = self.now + TTL_SECONDS
                if version != self._entry[1]:
                    return leases.Refused(call)
                return leases.LeaseRenewed(call)
            case leases.ReleaseLease(lease):
                self._lease_expiry[lease] = self.now
                self._expire_leases()
        return leases.Failed(0)

    def _expire_leases(self) -> None:
        for lease in [
            lease for lease, expires_at in self._lease_expiry.items() if expires_at <= self.now
        ]:
            del self._lease_expiry[lease]
            if self._entry[2] == lease:
                self._entry = (b"", 0, "")


def run(seed: int, steps: int, overwrite_probability: float = OVERWRITE_PROBABILITY) -> Report:
    """Run the simulation for `steps` steps.

    Raises
    ------
    InvariantError
        If two clients hold the lease at once, or a fencing token decreases.
    """
    simulation = Simulation(seed, overwrite_probability)
    for _ in range(steps):
        simulation.step()
    held = round(simulation.held_steps / steps, 3)
    return Report(seed, simulation.acquired, simulation.overwritten, held, simulation.checks.dump())
