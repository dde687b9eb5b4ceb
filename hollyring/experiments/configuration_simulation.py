"""Simulation of VMs, network and store for fault injection into the configuration.

The simulation is a queue of events ordered by their due time.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from collections.abc import Callable, Sequence

from hollyring.configuration import messages, replica, store, store_sync
from hollyring.core import invariants

LOSS_RATE = 0.1
"""Share of messages that are lost; half of it each for store calls and for their answers."""

DUPLICATION_RATE = 0.05
"""Share of messages that are delivered twice."""

MISSED_WATCH_RATE = 0.05
"""Share of watches that miss the creation of their key."""

MAX_DELAY_SECONDS = 0.5
TIMEOUT_SECONDS = 2.0
"""Time after which a VM gives up a store call without an answer."""


class Store:
    """Simulated key-value store of the platform, with outages and restores from backups."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[bytes, int]] = {}
        self.up = True
        self.calls = 0
        self._backups: list[dict[str, tuple[bytes, int]]] = [{}]
        self._version = 0

    def back_up(self) -> None:
        """Save a backup; the 4 newest are kept."""
        self._backups = [*self._backups[-3:], dict(self.entries)]

    def restore_backup(self, rng: random.Random) -> None:
        """Replace the content by a random backup."""
        self.entries = dict(rng.choice(self._backups))

    def perform(self, call: store.Call) -> store.Answer:
        """Apply a call that reached the store and return its result."""
        self.calls += 1
        match call:
            case store.Read(key) | store.Watch(key):
                entry = self.entries.get(key)
                return store.Found(*entry) if entry else store.Absent()
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
    """One incarnation of a VM.

    Parameters
    ----------
    incarnation
        Number of the incarnation, negative once the VM has crashed.
    configured_at
        Time at which the VM first had a revision in force; infinity before.
    disturbed_until
        End of the VM's last fault, or the start of the incarnation.
    last_received_at
        Time of the last message from a peer or answer of the store.
    newest_sent_at
        Latest time at which a received message was sent or an answered store call was started.
    call_started_at
        Start of the current store call.
    reached_store
        Whether the store has answered this incarnation.
    recent_digests
        Time and revision of the digests received in the last 10 s.
    admitted
        Whether the VM admitted requests at the last check.
    """

    name: str
    state: replica.Replica
    sync: store_sync.StoreSync
    incarnation: int
    started_at: float
    configured_at: float
    disturbed_until: float
    paused_until: float = 0.0
    last_received_at: float = 0.0
    newest_sent_at: float = 0.0
    call_started_at: float = 0.0
    reached_store: bool = False
    recent_digests: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    admitted: bool = False


@dataclasses.dataclass(slots=True)
class _PendingWatch:
    """A watch that waits for its key.

    A watch that misses the event ends by its timeout, or when the store becomes unreachable.
    """

    vm: VM
    call: store.Watch
    misses_event: bool


class Simulation:
    """VMs, the store and the queue of events."""

    def __init__(self, rng: random.Random, count: int) -> None:
        self.rng = rng
        self.now = 0.0
        self.store = Store()
        self.store_disturbed_at = 0.0
        self.partitioned_at = 0.0
        self.checks = invariants.Invariants()
        self.messages_sent = 0
        self.vms: dict[str, VM] = {}
        self._partition_groups: dict[str, int] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._watches: list[_PendingWatch] = []
        for index in range(count):
            self.start(f"vm-{index}", 1)

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay, self._sequence, action))

    def step(self) -> None:
        """Run the next event."""
        due, _, action = heapq.heappop(self._events)
        self.now = max(self.now, due)
        action()

    def start(self, name: str, incarnation: int) -> None:
        """Start a new incarnation of a VM, without state of earlier ones."""
        state = replica.Replica(self.checks, self.now)
        sync = store_sync.StoreSync(state, self.rng.getrandbits(64), self.now)
        vm = VM(name, state, sync, incarnation, self.now, float("inf"), self.now)
        vm.last_received_at = vm.newest_sent_at = self.now
        self.vms[name] = vm
        self._tick(vm)
        self._call_store(vm)

    def crash(self, name: str) -> VM:
        """Crash a VM."""
        vm = self.vms.pop(name)
        vm.incarnation = -vm.incarnation
        return vm

    def pause(self, name: str, seconds: float) -> None:
        """Suspend a VM's process for `seconds`."""
        self.vms[name].paused_until = self.now + seconds
        self.vms[name].disturbed_until = self.now + seconds

    def partition(self, groups: dict[str, int]) -> None:
        """Partition the VMs and the store.

        Parameters
        ----------
        groups
            Group of each VM, and of the store under the name "store"; 0 where it is not given.
            Members of different groups can't reach each other.
        """
        self._partition_groups = groups
        self.partitioned_at = self.now
        self._fail_unreachable_watches()

    def set_store_up(self, up: bool) -> None:
        """Start or end an outage of the store."""
        self.store.up = up
        self.store_disturbed_at = self.now
        if not up:
            self._fail_unreachable_watches()

    def connected(self, one: str, other: str) -> bool:
        """Return whether two VMs, or a VM and the store, can reach each other."""
        return self._partition_groups.get(one, 0) == self._partition_groups.get(other, 0)

    def notify_watches(self, key: str) -> None:
        """Complete the watches on a key that was written."""
        for watch in self._watches:
            if watch.call.key == key and not watch.misses_event:
                self._complete_watch(watch, self._delay())
        self._watches = [w for w in self._watches if w.call.key != key or w.misses_event]

    def _delay(self) -> float:
        return self.rng.uniform(0.001, MAX_DELAY_SECONDS)

    def _tick(self, vm: VM) -> None:
        if vm.incarnation < 0:
            return
        if self.now >= vm.paused_until:
            peers: Sequence[str] = [name for name in self.vms if name != vm.name]
            self.send(vm, vm.state.tick(self.now, peers, self.rng.getrandbits(64)))
        self.schedule(replica.TICK_SECONDS * self.rng.uniform(0.9, 1.1), lambda: self._tick(vm))

    def send(self, vm: VM, sends: list[messages.Send]) -> None:
        """Send a VM's messages, some of which are lost or duplicated."""
        for send in sends:
            self.messages_sent += 1
            if self.rng.random() < LOSS_RATE:
                continue
            copies = 2 if self.rng.random() < DUPLICATION_RATE else 1
            for _ in range(copies):
                self.schedule(self._delay(), self._delivery_action(vm.name, send))

    def _delivery_action(self, sender: str, send: messages.Send) -> Callable[[], None]:
        sent_at = self.now
        return lambda: self._deliver(sender, send, sent_at)

    def _deliver(self, sender: str, send: messages.Send, sent_at: float) -> None:
        vm = self.vms.get(send.to)
        if vm is None or not self.connected(sender, send.to):
            return
        if self.now < vm.paused_until:
            # The socket of a paused process buffers its messages in order.
            self.schedule(
                vm.paused_until - self.now, lambda: self._receive(vm, sender, send, sent_at)
            )
            return
        self._receive(vm, sender, send, sent_at)

    def _receive(self, vm: VM, sender: str, send: messages.Send, sent_at: float) -> None:
        if vm.incarnation < 0:
            return
        if self.now < vm.paused_until:
            self.schedule(
                vm.paused_until - self.now, lambda: self._receive(vm, sender, send, sent_at)
            )
            return
        vm.last_received_at, vm.newest_sent_at = self.now, max(vm.newest_sent_at, sent_at)
        if isinstance(send.message, messages.Digest):
            vm.recent_digests = [pair for pair in vm.recent_digests if self.now - pair[0] < 10]
            vm.recent_digests.append((self.now, send.message.revision))
        self.send(vm, vm.state.on_message(sender, send.message, self.now))

    def _call_store(self, vm: VM) -> None:
        call = vm.sync.call
        vm.call_started_at = self.now
        if isinstance(call, store.Pause):
            self.schedule(call.seconds, lambda: self._deliver_answer(vm, store.Waited()))
            return
        if self.rng.random() < LOSS_RATE / 2:
            self.schedule(TIMEOUT_SECONDS, lambda: self._deliver_answer(vm, store.Failed()))
            return
        self.schedule(self._delay() / 10, lambda: self._handle_call(vm, call))

    def _handle_call(self, vm: VM, call: store.Call) -> None:
        if not self.store.up or not self.connected(vm.name, "store"):
            delay = self.rng.choice([0.001, TIMEOUT_SECONDS])
            self.schedule(delay, lambda: self._deliver_answer(vm, store.Failed()))
            return
        answer = self.store.perform(call)
        if isinstance(call, store.Watch) and isinstance(answer, store.Absent):
            watch = _PendingWatch(vm, call, self.rng.random() < MISSED_WATCH_RATE)
            self._watches.append(watch)
            self.schedule(call.seconds, lambda: self._expire_watch(watch))
            return
        if isinstance(call, store.Write) and isinstance(answer, store.Written):
            self.notify_watches(call.key)
        if self.rng.random() < LOSS_RATE / 2:
            self.schedule(TIMEOUT_SECONDS, lambda: self._deliver_answer(vm, store.Failed()))
            return
        self.schedule(self._delay(), lambda: self._deliver_answer(vm, answer))

    def _expire_watch(self, watch: _PendingWatch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self._deliver_answer(watch.vm, store.Absent())

    def _complete_watch(self, watch: _PendingWatch, delay: float) -> None:
        answer = self.store.perform(watch.call)
        self.schedule(delay, lambda: self._deliver_answer(watch.vm, answer))

    def _fail_unreachable_watches(self) -> None:
        failed = [w for w in self._watches if self._store_unreachable(w.vm)]
        self._watches = [w for w in self._watches if not self._store_unreachable(w.vm)]
        for watch in failed:
            vm = watch.vm
            delay = self.rng.uniform(0, TIMEOUT_SECONDS)
            self.schedule(delay, lambda vm=vm: self._deliver_answer(vm, store.Failed()))  # type: ignore

    def _store_unreachable(self, vm: VM) -> bool:
        return not self.store.up or not self.connected(vm.name, "store")

    def _deliver_answer(self, vm: VM, answer: store.Answer) -> None:
        if vm.incarnation < 0:
            return
        if self.now < vm.paused_until:
            self.schedule(vm.paused_until - self.now, lambda: self._deliver_answer(vm, answer))
            return
        if not isinstance(answer, store.Failed | store.Waited):
            vm.last_received_at, vm.reached_store = self.now, True
            vm.newest_sent_at = max(vm.newest_sent_at, vm.call_started_at)
        self.send(vm, vm.sync.on_answer(answer, self.now))
        self._call_store(vm)
