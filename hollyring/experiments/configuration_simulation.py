"""What surrounds the machines in the randomised run of the configuration: store, links, faults.

No model of machines or networks: a list of what is due, from which the run takes the next thing.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from collections.abc import Callable, Sequence

from hollyring.configuration import messages, replica, store, store_sync
from hollyring.core import invariants

DROP = 0.1
"""Share of messages and calls that are lost."""

DOUBLE = 0.05
"""Share of messages that arrive twice."""

WATCH_GAP = 0.05
"""Share of watches that miss the appearance of their key."""

MAX_DELAY_SECONDS = 0.5
TIMEOUT_SECONDS = 2.0


class Store:
    """The platform's service: up or down, with backups that it may come back with."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[bytes, int]] = {}
        self.up = True
        self.calls = 0
        self._backups: list[dict[str, tuple[bytes, int]]] = [{}]
        self._version = 0

    def back_up(self) -> None:
        """Keep a backup."""
        self._backups = [*self._backups[-3:], dict(self.entries)]

    def go_back(self, rng: random.Random) -> None:
        """Come back as one of the backups."""
        self.entries = dict(rng.choice(self._backups))

    def perform(self, call: store.Call) -> store.Answer:
        """Make a call that reached the store."""
        self.calls += 1
        match call:
            case store.Read(key) | store.Watch(key):
                held = self.entries.get(key)
                return store.Found(*held) if held else store.Absent()
            case store.Write(key, value, version):
                if self.entries.get(key, (b"", 0))[1] != version:
                    return store.Conflict()
                self._version += 1
                self.entries[key] = (value, self._version)
                return store.Written()
            case store.Delete(key):
                return store.Written() if self.entries.pop(key, None) else store.Absent()
            case store.Pause():
                return store.Waited()


@dataclasses.dataclass(slots=True)
class VM:
    """One incarnation of a VM."""

    name: str
    target: replica.Replica
    follower: store_sync.StoreSync
    life: int
    started: float
    began: float
    disturbed: float
    paused_until: float = 0.0
    heard: float = 0.0
    word_of: float = 0.0
    asked: float = 0.0
    heard_store: bool = False
    newest: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    admitted: bool = False


@dataclasses.dataclass(slots=True)
class _Waiting:
    vm: VM
    call: store.Watch
    deaf: bool


class World:
    """VMs, the store, and everything that is due."""

    def __init__(self, rng: random.Random, count: int) -> None:
        self.rng = rng
        self.now = 0.0
        self.store = Store()
        self.store_disturbed = 0.0
        self.grouped = 0.0
        self.checks = invariants.Invariants()
        self.sent = 0
        self.vms: dict[str, VM] = {}
        self._groups: dict[str, int] = {}
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._waiting: list[_Waiting] = []
        for index in range(count):
            self.start(f"vm-{index}", 1)

    def at(self, delay: float, act: Callable[[], None]) -> None:
        """Do something after a delay."""
        self._order += 1
        heapq.heappush(self._due, (self.now + delay, self._order, act))

    def step(self) -> None:
        """Do what is due next."""
        when, _, act = heapq.heappop(self._due)
        self.now = max(self.now, when)
        act()

    def start(self, name: str, life: int) -> None:
        """Start a VM without memory of its earlier lives."""
        target = replica.Replica(self.checks, self.now)
        following = store_sync.StoreSync(target, self.rng.getrandbits(64), self.now)
        vm = VM(name, target, following, life, self.now, float("inf"), self.now)
        vm.heard = vm.word_of = self.now
        self.vms[name] = vm
        self._tick(vm)
        self._ask(vm)

    def stop(self, name: str) -> VM:
        """Crash a VM."""
        vm = self.vms.pop(name)
        vm.life = -vm.life
        return vm

    def pause(self, name: str, seconds: float) -> None:
        """Pause a VM's process."""
        self.vms[name].paused_until = self.now + seconds
        self.vms[name].disturbed = self.now + seconds

    def partition(self, groups: dict[str, int]) -> None:
        """Put VMs and the store, called "store", into groups that don't hear each other."""
        self._groups = groups
        self.grouped = self.now
        self._fail_watches()

    def set_store(self, up: bool) -> None:
        """Let the store go away or come back."""
        self.store.up = up
        self.store_disturbed = self.now
        if not up:
            self._fail_watches()

    def linked(self, one: str, other: str) -> bool:
        """Tell whether two of VMs and store can hear each other."""
        return self._groups.get(one, 0) == self._groups.get(other, 0)

    def appeared(self, key: str) -> None:
        """Wake the watches on a key that was written."""
        for waiting in self._waiting:
            if waiting.call.key == key and not waiting.deaf:
                self._finish(waiting, self._delay())
        self._waiting = [w for w in self._waiting if w.call.key != key or w.deaf]

    def _delay(self) -> float:
        return self.rng.uniform(0.001, MAX_DELAY_SECONDS)

    def _tick(self, vm: VM) -> None:
        if vm.life < 0:
            return
        if self.now >= vm.paused_until:
            peers: Sequence[str] = [name for name in self.vms if name != vm.name]
            self.send(vm, vm.target.tick(self.now, peers, self.rng.getrandbits(64)))
        self.at(replica.TICK_SECONDS * self.rng.uniform(0.9, 1.1), lambda: self._tick(vm))

    def send(self, vm: VM, sends: list[messages.Send]) -> None:
        """Put a VM's messages on their way."""
        for send in sends:
            self.sent += 1
            if self.rng.random() < DROP:
                continue
            copies = 2 if self.rng.random() < DOUBLE else 1
            for _ in range(copies):
                self.at(self._delay(), self._delivery(vm.name, send))

    def _delivery(self, sender: str, send: messages.Send) -> Callable[[], None]:
        sent = self.now
        return lambda: self._deliver(sender, send, sent)

    def _deliver(self, sender: str, send: messages.Send, sent: float) -> None:
        vm = self.vms.get(send.to)
        if vm is None or not self.linked(sender, send.to):
            return
        if self.now < vm.paused_until:
            # It waits in the socket, in order with the others.
            self.at(vm.paused_until - self.now, lambda: self._read(vm, sender, send, sent))
            return
        self._read(vm, sender, send, sent)

    def _read(self, vm: VM, sender: str, send: messages.Send, sent: float) -> None:
        if vm.life < 0:
            return
        if self.now < vm.paused_until:
            self.at(vm.paused_until - self.now, lambda: self._read(vm, sender, send, sent))
            return
        vm.heard, vm.word_of = self.now, max(vm.word_of, sent)
        if isinstance(send.message, messages.Digest):
            vm.newest = [pair for pair in vm.newest if self.now - pair[0] < 10]
            vm.newest.append((self.now, send.message.revision))
        self.send(vm, vm.target.on_message(sender, send.message, self.now))

    def _ask(self, vm: VM) -> None:
        call = vm.follower.call
        vm.asked = self.now
        if isinstance(call, store.Pause):
            self.at(call.seconds, lambda: self._answer(vm, store.Waited()))
            return
        if self.rng.random() < DROP / 2:
            self.at(TIMEOUT_SECONDS, lambda: self._answer(vm, store.Failed()))
            return
        self.at(self._delay() / 10, lambda: self._arrive(vm, call))

    def _arrive(self, vm: VM, call: store.Call) -> None:
        if not self.store.up or not self.linked(vm.name, "store"):
            late = self.rng.choice([0.001, TIMEOUT_SECONDS])
            self.at(late, lambda: self._answer(vm, store.Failed()))
            return
        answer = self.store.perform(call)
        if isinstance(call, store.Watch) and isinstance(answer, store.Absent):
            waiting = _Waiting(vm, call, self.rng.random() < WATCH_GAP)
            self._waiting.append(waiting)
            self.at(call.seconds, lambda: self._expire(waiting))
            return
        if isinstance(call, store.Write) and isinstance(answer, store.Written):
            self.appeared(call.key)
        if self.rng.random() < DROP / 2:
            self.at(TIMEOUT_SECONDS, lambda: self._answer(vm, store.Failed()))
            return
        self.at(self._delay(), lambda: self._answer(vm, answer))

    def _expire(self, waiting: _Waiting) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            self._answer(waiting.vm, store.Absent())

    def _finish(self, waiting: _Waiting, delay: float) -> None:
        answer = self.store.perform(waiting.call)
        self.at(delay, lambda: self._answer(waiting.vm, answer))

    def _fail_watches(self) -> None:
        failed = [w for w in self._waiting if self._cut(w.vm)]
        self._waiting = [w for w in self._waiting if not self._cut(w.vm)]
        for waiting in failed:
            vm = waiting.vm
            late = self.rng.uniform(0, TIMEOUT_SECONDS)
            self.at(late, lambda vm=vm: self._answer(vm, store.Failed()))  # type: ignore

    def _cut(self, vm: VM) -> bool:
        return not self.store.up or not self.linked(vm.name, "store")

    def _answer(self, vm: VM, answer: store.Answer) -> None:
        if vm.life < 0:
            return
        if self.now < vm.paused_until:
            self.at(vm.paused_until - self.now, lambda: self._answer(vm, answer))
            return
        if not isinstance(answer, store.Failed | store.Waited):
            vm.heard, vm.heard_store = self.now, True
            vm.word_of = max(vm.word_of, vm.asked)
        self.send(vm, vm.follower.on_answer(answer, self.now))
        self._ask(vm)
