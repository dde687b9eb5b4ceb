"""Simulation of a fleet's membership protocol in one process, with a queue of events."""

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
"""One-way delays of a message within a region, and between two regions."""

MAX_SENDS_PER_CALL = 8
"""Maximum number of messages sent by one call.

They are a ping, a ping to another region, a ping to a dead member, three requests for indirect
pings, a sync and an answer.
"""

Encode = Callable[[object], bytes]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Event:
    """A message or a tick for one VM; `sequence` orders events of the same time."""

    at: float
    sequence: int
    vm: int = dataclasses.field(compare=False)
    sender: str = dataclasses.field(compare=False, default="")
    message: messages.Message | None = dataclasses.field(compare=False, default=None)


@dataclasses.dataclass(slots=True)
class NetworkConditions:
    """Faults of the network.

    Parameters
    ----------
    loss_rate, duplication_rate
        Shares of messages that are lost, and that are delivered twice.
    jitter_seconds
        Maximum additional delay, drawn for each message, which reorders messages.
    partitioned
        Pairs of regions, failure domains or VM names that can't reach each other.
    """

    loss_rate: float = 0.0
    duplication_rate: float = 0.0
    jitter_seconds: float = 0.0
    partitioned: set[frozenset[str]] = dataclasses.field(default_factory=set)


class Fleet:
    """Simulated VMs and the messages between them.

    Parameters
    ----------
    vms
        Number of VMs.
    seed
        Seed of every random choice.
    regions, failure_domains
        Number of regions, and of failure domains in each region.
    encode
        Encoder of messages, used to count bytes; None disables the count.
    """

    def __init__(
        self,
        vms: int,
        seed: int,
        regions: int = 1,
        failure_domains: int = 3,
        encode: Encode | None = None,
    ) -> None:
        self._rng = random.Random(seed)
        self._encode = encode
        self._regions = regions
        self._failure_domains = failure_domains
        self._queue: list[Event] = []
        self._sequence = 0
        self._incarnations = [1] * vms
        self._paused_until = [0.0] * vms
        self._running = [True] * vms
        self._highest_incarnations: list[dict[str, int]] = [{} for _ in range(vms)]
        self.now = 0.0
        self.conditions = NetworkConditions()
        self.checks = invariants.Invariants()
        self.status_changes: list[tuple[float, int, actions.StatusChanged]] = []
        self.bytes = 0
        self.messages = 0
        self.processor_seconds = 0.0
        self.instances = [self._create_instance(number) for number in range(vms)]
        for number in range(vms):
            self._schedule_tick(number, 0.0)

    @property
    def active(self) -> list[int]:
        """VMs that are neither crashed nor paused."""
        return [n for n, up in enumerate(self._running) if up and self._paused_until[n] <= self.now]

    @property
    def seeds(self) -> list[int]:
        """VMs whose addresses every VM gets at its start."""
        return list(range(min(3, len(self._incarnations))))

    def profile(self, vm: int) -> messages.Profile:
        """Return the profile of a VM's current incarnation."""
        region = vm % self._regions
        domain = vm // self._regions % self._failure_domains
        name = f"vm-{vm:03d}"
        address = f"10.{region}.{domain}.{vm % 256}:{7000 + vm // 256}"
        region_name = f"region-{region}"
        return messages.Profile(
            name,
            self._incarnations[vm],
            address,
            address,
            f"{region_name}-fd-{domain}",
            region_name,
        )

    def converge(self) -> None:
        """Give every VM the full membership at once, as in a converged fleet."""
        profiles = [self.profile(number) for number in range(len(self.instances))]
        for instance in self.instances:
            instance.handle(
                messages.Sync("", 0, False, messages.Gossip(profiles, [], [])), "", self.now
            )
            instance._view._queue = gossip.Queue()

    def run(self, seconds: float) -> None:
        """Run the events of the next `seconds`."""
        end = self.now + seconds
        while self._queue and self._queue[0].at <= end:
            self.step()
        self.now = end

    def step(self) -> None:
        """Run the next event, if there is one."""
        if not self._queue:
            return
        event = heapq.heappop(self._queue)
        self.now = max(self.now, event.at)
        if not self._running[event.vm]:
            return
        if self._paused_until[event.vm] > self.now:
            deferred = dataclasses.replace(event, at=self._paused_until[event.vm])
            heapq.heappush(self._queue, deferred)
            return
        instance = self.instances[event.vm]
        started = time.process_time()
        if event.message is None:
            emitted = instance.tick(self.now)
        else:
            emitted = instance.handle(event.message, event.sender, self.now)
        self.processor_seconds += time.process_time() - started
        self._perform(event.vm, emitted)
        if event.message is None:
            self._schedule_tick(event.vm, max(instance.due, self.now))

    def is_running(self, vm: int) -> bool:
        """Return whether a VM is running, paused or not."""
        return self._running[vm]

    def crash(self, vm: int) -> None:
        """Crash a VM; it stays down until `start`."""
        self._running[vm] = False

    def start(self, vm: int) -> None:
        """Start a new incarnation of a VM that has only the addresses of the seeds."""
        self._running[vm] = True
        self._incarnations[vm] += 1
        self._paused_until[vm] = 0.0
        self._highest_incarnations[vm] = {}
        self.instances[vm] = self._create_instance(vm)
        self._schedule_tick(vm, self.now)

    def pause(self, vm: int, seconds: float) -> None:
        """Pause a VM for `seconds`; its events are deferred until then."""
        self._paused_until[vm] = self.now + seconds

    def disagreements(self) -> list[str]:
        """Return descriptions of wrong membership entries on running VMs.

        A VM of a region that is entirely down may be listed as alive while the region is marked
        as unreachable, because no VM of that region is left to detect the crash.
        """
        findings = []
        active = set(self.active)
        for number in sorted(active):
            instance = self.instances[number]
            unreachable = instance.unreachable_regions(self.now)
            for other in range(len(self.instances)):
                name = f"vm-{other:03d}"
                member = instance.members.get(name)
                if other == number:
                    continue
                alive = member is not None and member.status is messages.Status.ALIVE
                current = (
                    member is not None and member.profile.incarnation == self._incarnations[other]
                )
                if other in active and not (alive and current):
                    findings.append(f"vm-{number:03d} does not list {name} as alive: {member}")
                if other not in active and alive and self.profile(other).region not in unreachable:
                    findings.append(f"vm-{number:03d} still lists {name} as alive: {member}")
        return findings

    def _create_instance(self, vm: int) -> members.Members:
        seeds = [self.profile(seed).address for seed in self.seeds]
        rng = random.Random(self._rng.random())
        return members.Members(self.profile(vm), seeds, rng, self.now)

    def _schedule_tick(self, vm: int, at: float) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, Event(at, self._sequence, vm))

    def _perform(self, vm: int, emitted: list[actions.Action]) -> None:
        sends = 0
        for action in emitted:
            match action:
                case actions.Send():
                    sends += 1
                    self._send(vm, action)
                case actions.StatusChanged(profile):
                    highest = self._highest_incarnations[vm].get(profile.name, 0)
                    monotonic = profile.incarnation >= highest
                    self.checks.check("lives_never_go_back", monotonic, str(profile))
                    self._highest_incarnations[vm][profile.name] = profile.incarnation
                    self.status_changes.append((self.now, vm, action))
                case actions.Paused():
                    suspended = not self.instances[vm].may_act(self.now)
                    alone = not any(m.status < 3 for m in self.instances[vm].members.values())
                    self.checks.check("woken_vm_doubts", suspended or alone, str(vm))
        self.checks.check("sends_are_bounded", sends <= MAX_SENDS_PER_CALL, str(sends))

    def _send(self, vm: int, send: actions.Send) -> None:
        self.messages += 1
        if isinstance(send.message, messages.Ping | messages.Ack):
            self._check_gossip_size(send.message.gossip)
        if self._encode is not None:
            self.bytes += len(self._encode(send.message))
        receiver = self._receiver(send.address)
        if receiver is None or self._partitioned(vm, receiver):
            return
        sender = self.profile(vm).address
        copies = 2 if self._rng.random() < self.conditions.duplication_rate else 1
        for _ in range(copies):
            if self._rng.random() < self.conditions.loss_rate:
                continue
            self._sequence += 1
            at = self.now + self._delay(vm, receiver)
            heapq.heappush(self._queue, Event(at, self._sequence, receiver, sender, send.message))

    def _check_gossip_size(self, payload: messages.Gossip) -> None:
        items: list[gossip.Item] = [*payload.profiles, *payload.updates, *payload.entries]
        sizes = [gossip.estimated_bytes(item) for item in items]
        urgent_bytes = 2 * max(sizes, default=0)
        self.checks.check("news_is_bounded", sum(sizes) <= gossip.MAX_PAYLOAD_BYTES + urgent_bytes)

    def _receiver(self, address: str) -> int | None:
        host, port = address.rsplit(":", 1)
        vm = int(host.rsplit(".", 1)[1]) + 256 * (int(port) - 7000)
        return vm if vm < len(self.instances) else None

    def _partitioned(self, sender: int, receiver: int) -> bool:
        first, second = self.profile(sender), self.profile(receiver)
        pairs = {
            frozenset((first.region, second.region)),
            frozenset((first.failure_domain, second.failure_domain)),
            frozenset((first.name, second.name)),
        }
        return bool(pairs & self.conditions.partitioned)

    def _delay(self, sender: int, receiver: int) -> float:
        same_region = sender % self._regions == receiver % self._regions
        min_delay = DELAY_SECONDS if same_region else REGION_DELAY_SECONDS
        return min_delay + self._rng.random() * self.conditions.jitter_seconds
