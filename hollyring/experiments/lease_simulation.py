"""A few lease clients that contend for one right while everything about them fails."""

from __future__ import annotations

import dataclasses
import random

from hollyring.core import identities, invariants
from hollyring.membership import leases

KEY = "leases/right"
TTL_SECONDS = 5.0
CLIENTS = 3
CLOCK_RATES = (0.99, 1.0, 1.01)
"""How fast each client's clock runs, within the lease client's drift margin."""

LOSS = 0.1
PAUSE_SHARE = 0.01
CRASH_SHARE = 0.003
CLOSE_SHARE = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one run saw."""

    seed: int
    acquired: int
    held_share: float
    promises: dict[str, dict[str, object]]


@dataclasses.dataclass(slots=True)
class _Call:
    """A call on its way; it takes effect when it lands, and its answer comes later or never."""

    client: int
    life: int
    action: leases.Action
    lands_at: float
    lost: bool
    answer: leases.Event | None = None
    answered_at: float = 0.0


@dataclasses.dataclass(slots=True)
class _Client:
    lease: leases.LeaseClient
    life: int
    paused_until: float = 0.0


class World:
    """Clients, the service and the calls between them."""

    def __init__(self, seed: int) -> None:
        self._source = random.Random(seed)
        self._clients = [_Client(self._lease(n, 1), 1) for n in range(CLIENTS)]
        self._calls: list[_Call] = []
        self._granted: dict[str, float] = {}
        self._key = (b"", 0, "")
        self._version = 0
        self._fenced = 0
        self.now = 0.0
        self.acquired = 0
        self.held_steps = 0
        self.promises = invariants.Invariants()

    def step(self) -> None:
        """Let a little time pass, and perhaps a fault happen."""
        self.now += self._source.expovariate(20.0)
        self._lapse()
        self._faults()
        for call in [one for one in self._calls if one.lands_at <= self.now]:
            self._land(call)
        for number, client in enumerate(self._clients):
            if client.paused_until <= self.now:
                self._do(number, client.lease.tick(self._clock(number)))
        self._check()

    def _check(self) -> None:
        holding = [self._acting(number) for number in range(CLIENTS)]
        held = [fencing for fencing in holding if fencing is not None]
        self.promises.check("one_holder", len(held) <= 1, str(holding))
        self.held_steps += bool(held)
        for fencing in held:
            self.promises.check("fencing_never_goes_back", fencing >= self._fenced, str(fencing))
            self._fenced = max(self._fenced, fencing)

    def _acting(self, number: int) -> int | None:
        return self._clients[number].lease.fencing(self._clock(number))

    def _clock(self, number: int) -> float:
        return self.now * CLOCK_RATES[number]

    def _lease(self, number: int, life: int) -> leases.LeaseClient:
        return leases.LeaseClient(KEY, identities.Incarnation(f"vm-{number}", life), TTL_SECONDS)

    def _faults(self) -> None:
        number = self._source.randrange(CLIENTS)
        client = self._clients[number]
        chance = self._source.random()
        if chance < PAUSE_SHARE:
            client.paused_until = self.now + self._source.random() * 3 * TTL_SECONDS
        elif chance < PAUSE_SHARE + CRASH_SHARE:
            self._clients[number] = _Client(self._lease(number, client.life + 1), client.life + 1)
        elif chance < PAUSE_SHARE + CRASH_SHARE + CLOSE_SHARE:
            self._do(number, client.lease.close())
            self._clients[number] = _Client(self._lease(number, client.life + 1), client.life + 1)

    def _do(self, number: int, actions: list[leases.Action]) -> None:
        for action in actions:
            if isinstance(action, leases.Acquired):
                self.acquired += 1
            if isinstance(action, leases.Acquired | leases.Lost):
                continue
            slow = self._source.random() < LOSS
            lands_at = self.now + self._source.expovariate(1.0 if slow else 50.0)
            lost = self._source.random() < LOSS
            life = self._clients[number].life
            self._calls.append(_Call(number, life, action, lands_at, lost))

    def _land(self, call: _Call) -> None:
        if call.answer is None:
            call.answer = self._serve(call.action)
            call.lands_at = self.now + self._source.expovariate(50.0) + (1.0 if call.lost else 0.0)
            return
        client = self._clients[call.client]
        if client.paused_until > self.now:
            return
        self._calls.remove(call)
        if client.life != call.life or isinstance(call.action, leases.ReleaseLease):
            return
        answer = leases.Failed(call.answer.call) if call.lost else call.answer
        self._do(call.client, client.lease.handle(answer, self._clock(call.client)))

    def _serve(self, action: leases.Action) -> leases.Event:
        self._lapse()
        match action:
            case leases.ReadHolder(call):
                return leases.HolderRead(call, *self._key[:2])
            case leases.GrantLease(call, ttl):
                lease = f"L{call}-{len(self._granted)}-{self.now}"
                self._granted[lease] = self.now + ttl
                return leases.LeaseGranted(call, lease)
            case leases.WriteHolder(call, _, value, version, lease):
                if version != self._key[1] or lease not in self._granted:
                    return leases.Refused(call)
                self._version += 1
                self._key = (value, self._version, lease)
                return leases.HolderWritten(call, self._version)
            case leases.RenewLease(call, lease):
                if lease not in self._granted:
                    return leases.Refused(call)
                self._granted[lease] = self.now + TTL_SECONDS
                return leases.LeaseRenewed(call)
            case leases.ReleaseLease(lease):
                self._granted[lease] = self.now
                self._lapse()
        return leases.Failed(0)

    def _lapse(self) -> None:
        for lease in [lease for lease, until in self._granted.items() if until <= self.now]:
            del self._granted[lease]
            if self._key[2] == lease:
                self._key = (b"", 0, "")


def run(seed: int, steps: int) -> Report:
    """Drive the clients through `steps` steps.

    Raises
    ------
    InvariantError
        If two clients could act at once, or fencing numbers went back.
    """
    world = World(seed)
    for _ in range(steps):
        world.step()
    held = round(world.held_steps / steps, 3)
    return Report(seed, world.acquired, held, world.promises.dump())
