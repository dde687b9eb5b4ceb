"""Many VMs' membership state machines in one process, joined by a queue of messages."""

from __future__ import annotations

import dataclasses
import heapq
import random
import time
from collections.abc import Callable

from hollyring.core import invariants
from hollyring.membership import actions, gossip, members, messages

DELAY_SECONDS = 0.001
REGION_DELAY_SECONDS = 0.05
MOST_SENDS = 8
"""Messages that one call may cause: a ping, two outside, three requests, a sync and an answer."""

Encode = Callable[[object], bytes]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Event:
    """Something that happens to a VM at a time; the order breaks ties."""

    at: float
    order: int
    vm: int = dataclasses.field(compare=False)
    sender: str = dataclasses.field(compare=False, default="")
    message: messages.Message | None = dataclasses.field(compare=False, default=None)


@dataclasses.dataclass(slots=True)
class Conditions:
    """How messages fare.

    Parameters
    ----------
    loss, double
        Shares of messages that are lost, and that arrive twice.
    spread_seconds
        Most further delay, drawn for each message, so that messages overtake each other.
    cut
        Pairs of places, as `Fleet.place` tells them, that can't hear each other.
    """

    loss: float = 0.0
    double: float = 0.0
    spread_seconds: float = 0.0
    cut: set[frozenset[str]] = dataclasses.field(default_factory=set)


class Fleet:
    """VMs with their clocks, and the messages between them.

    Parameters
    ----------
    vms
        Number of VMs.
    seed
        Decides every random choice.
    regions, failure_domains
        Over how many the VMs are spread.
    encode
        Gives each message's encoded form, to count bytes; None counts none.
    """

    def __init__(
        self,
        vms: int,
        seed: int,
        regions: int = 1,
        failure_domains: int = 3,
        encode: Encode | None = None,
    ) -> None:
        self._source = random.Random(seed)
        self._encode = encode
        self._regions = regions
        self._failure_domains = failure_domains
        self._queue: list[Event] = []
        self._order = 0
        self._numbers = [1] * vms
        self._paused_until = [0.0] * vms
        self._running = [True] * vms
        self._highest: list[dict[str, int]] = [{} for _ in range(vms)]
        self.now = 0.0
        self.conditions = Conditions()
        self.promises = invariants.Invariants()
        self.changes: list[tuple[float, int, actions.StatusChanged]] = []
        self.bytes = 0
        self.messages = 0
        self.machine_seconds = 0.0
        self.lives = [self._life(number) for number in range(vms)]
        for number in range(vms):
            self._wake(number, 0.0)

    @property
    def running(self) -> list[int]:
        """VMs that are neither dead nor paused."""
        return [n for n, up in enumerate(self._running) if up and self._paused_until[n] <= self.now]

    @property
    def seeds(self) -> list[int]:
        """VMs whose addresses every VM is given at its start."""
        return list(range(min(3, len(self._numbers))))

    def profile(self, vm: int) -> messages.Profile:
        """Return the present life of a VM."""
        region = vm % self._regions
        domain = vm // self._regions % self._failure_domains
        name = f"vm-{vm:03d}"
        address = f"10.{region}.{domain}.{vm % 256}:{7000 + vm // 256}"
        place = f"region-{region}"
        return messages.Profile(
            name, self._numbers[vm], address, address, f"{place}-fd-{domain}", place
        )

    def settle(self) -> None:
        """Let every VM know every other at once, as after a long quiet time."""
        profiles = [self.profile(number) for number in range(len(self.lives))]
        for life in self.lives:
            life.handle(
                messages.Sync("", 0, False, messages.Gossip(profiles, [], [])), "", self.now
            )
            life._view._queue = gossip.Queue()

    def run(self, seconds: float) -> None:
        """Let this much time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0].at <= end:
            self.step()
        self.now = end

    def step(self) -> None:
        """Let the next thing happen, if anything can."""
        if not self._queue:
            return
        event = heapq.heappop(self._queue)
        self.now = max(self.now, event.at)
        if not self._running[event.vm]:
            return
        if self._paused_until[event.vm] > self.now:
            later = dataclasses.replace(event, at=self._paused_until[event.vm])
            heapq.heappush(self._queue, later)
            return
        life = self.lives[event.vm]
        began = time.process_time()
        if event.message is None:
            done = life.tick(self.now)
        else:
            done = life.handle(event.message, event.sender, self.now)
        self.machine_seconds += time.process_time() - began
        self._do(event.vm, done)
        if event.message is None:
            self._wake(event.vm, max(life.due, self.now))

    def runs(self, vm: int) -> bool:
        """Tell whether a VM has not crashed."""
        return self._running[vm]

    def crash(self, vm: int) -> None:
        """Stop a VM for good, or until `start`."""
        self._running[vm] = False

    def start(self, vm: int) -> None:
        """Start a new life of a VM that knows only where to ask."""
        self._running[vm] = True
        self._numbers[vm] += 1
        self._paused_until[vm] = 0.0
        self._highest[vm] = {}
        self.lives[vm] = self._life(vm)
        self._wake(vm, self.now)

    def pause(self, vm: int, seconds: float) -> None:
        """Let a VM stand still; what arrives meanwhile waits for it."""
        self._paused_until[vm] = self.now + seconds

    def disagreements(self) -> list[str]:
        """Return what running VMs believe wrongly of each other.

        A VM of a region that is wholly down may be believed in, as long as its region is known
        to be out of reach: nobody is left there to judge it.
        """
        found = []
        running = set(self.running)
        for number in sorted(running):
            life = self.lives[number]
            silent = life.unreachable_regions(self.now)
            for other in range(len(self.lives)):
                name = f"vm-{other:03d}"
                member = life.members.get(name)
                if other == number:
                    continue
                alive = member is not None and member.status is messages.Status.ALIVE
                right = member is not None and member.profile.incarnation == self._numbers[other]
                if other in running and not (alive and right):
                    found.append(f"vm-{number:03d} misses {name}: {member}")
                if other not in running and alive and self.profile(other).region not in silent:
                    found.append(f"vm-{number:03d} believes in {name}: {member}")
        return found

    def _life(self, vm: int) -> members.Members:
        seeds = [self.profile(seed).address for seed in self.seeds]
        source = random.Random(self._source.random())
        return members.Members(self.profile(vm), seeds, source, self.now)

    def _wake(self, vm: int, at: float) -> None:
        self._order += 1
        heapq.heappush(self._queue, Event(at, self._order, vm))

    def _do(self, vm: int, done: list[actions.Action]) -> None:
        sends = 0
        for action in done:
            match action:
                case actions.Send():
                    sends += 1
                    self._send(vm, action)
                case actions.StatusChanged(profile):
                    highest = self._highest[vm].get(profile.name, 0)
                    ahead = profile.incarnation >= highest
                    self.promises.check("lives_never_go_back", ahead, str(profile))
                    self._highest[vm][profile.name] = profile.incarnation
                    self.changes.append((self.now, vm, action))
                case actions.Paused():
                    doubts = not self.lives[vm].may_act(self.now)
                    alone = not any(m.status < 3 for m in self.lives[vm].members.values())
                    self.promises.check("woken_vm_doubts", doubts or alone, str(vm))
        self.promises.check("sends_are_bounded", sends <= MOST_SENDS, str(sends))

    def _send(self, vm: int, send: actions.Send) -> None:
        self.messages += 1
        if isinstance(send.message, messages.Ping | messages.Ack):
            self._check_news(send.message.gossip)
        if self._encode is not None:
            self.bytes += len(self._encode(send.message))
        receiver = self._receiver(send.address)
        if receiver is None or self._cut(vm, receiver):
            return
        sender = self.profile(vm).address
        copies = 2 if self._source.random() < self.conditions.double else 1
        for _ in range(copies):
            if self._source.random() < self.conditions.loss:
                continue
            self._order += 1
            at = self.now + self._delay(vm, receiver)
            heapq.heappush(self._queue, Event(at, self._order, receiver, sender, send.message))

    def _check_news(self, news: messages.Gossip) -> None:
        items: list[gossip.Item] = [*news.profiles, *news.updates, *news.entries]
        sizes = [gossip.estimated_bytes(item) for item in items]
        urgent = 2 * max(sizes, default=0)
        self.promises.check("news_is_bounded", sum(sizes) <= gossip.MAX_PAYLOAD_BYTES + urgent)

    def _receiver(self, address: str) -> int | None:
        host, port = address.rsplit(":", 1)
        vm = int(host.rsplit(".", 1)[1]) + 256 * (int(port) - 7000)
        return vm if vm < len(self.lives) else None

    def _cut(self, one: int, other: int) -> bool:
        first, second = self.profile(one), self.profile(other)
        pairs = {
            frozenset((first.region, second.region)),
            frozenset((first.failure_domain, second.failure_domain)),
            frozenset((first.name, second.name)),
        }
        return bool(pairs & self.conditions.cut)

    def _delay(self, one: int, other: int) -> float:
        near = one % self._regions == other % self._regions
        least = DELAY_SECONDS if near else REGION_DELAY_SECONDS
        return least + self._source.random() * self.conditions.spread_seconds
