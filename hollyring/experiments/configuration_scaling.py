"""Cost of the configuration by number of organisations and VMs, with wire-encoded messages."""

from __future__ import annotations

import gc
import heapq
import pathlib
import random
import statistics
import time
import tracemalloc
import typing

import click
import msgspec

from hollyring.configuration import (
    messages,
    objects,
    replica,
    revision_log,
    revisions,
    snapshots,
    state,
)
from hollyring.core import invariants
from hollyring.node import catalogue, wire

KEYS_PER_ORGANISATION = 3
CHANGES = 600
"""Changes applied at each size: more than a VM retains, so that its log is full."""

ORGANISATIONS = (5, 500, 4_700)
VMS = (3, 9, 30, 90, 360)
IDLE_SECONDS = 60.0
MAX_DELAY_SECONDS = 0.05
LOSS_RATES = (0.0, 0.1)
PROPAGATION_TRIALS = 20
SEED = 1


class OrganisationPoint(msgspec.Struct):
    """Cost at one number of organisations with three keys each.

    Parameters
    ----------
    whole_bytes, segments
        Size of a snapshot of the configuration, and its number of segments.
    change_bytes, change_bytes_full_roster
        Median size of a change, and the size of one when the list of removed VMs is full.
    change_processor_us
        Median CPU time of applying a change, in microseconds.
    load_processor_ms, snapshot_processor_ms
        CPU time of restoring and of creating a snapshot, in milliseconds.
    memory_bytes, memory_full_bytes
        Memory of the configuration, without and with a full revision log.
    load_peak_bytes
        Peak memory while a snapshot is restored.
    """

    organisations: int
    whole_bytes: int
    segments: int
    change_bytes: int
    change_bytes_full_roster: int
    change_processor_us: float
    load_processor_ms: float
    snapshot_processor_ms: float
    memory_bytes: int
    memory_full_bytes: int
    load_peak_bytes: int


class FleetPoint(msgspec.Struct):
    """Cost of gossip in one fleet, and time until a change spreads to all VMs without the store.

    Parameters
    ----------
    dropped
        Share of messages that are lost.
    change_bytes_per_vm, change_messages_per_vm
        Traffic of one change per VM, in addition to the idle traffic.
    everywhere_p50_seconds, everywhere_max_seconds
        Median and maximum time until a change is in force on all VMs.
    """

    vms: int
    dropped: float
    idle_messages_per_vm_second: float
    idle_bytes_per_vm_second: float
    idle_processor_ms_per_vm_second: float
    change_bytes_per_vm: float
    change_messages_per_vm: float
    everywhere_p50_seconds: float
    everywhere_max_seconds: float


class Measurements(msgspec.Struct):
    """All measurements of one run."""

    by_organisations: list[OrganisationPoint]
    by_vms: list[FleetPoint]


def _organisation(number: int, rate: float = 100.0) -> objects.Organisation:
    keys = tuple(
        objects.Key(f"key-{index}", objects.key_digest(f"demo-key-{number}-{index}"))
        for index in range(KEYS_PER_ORGANISATION)
    )
    return objects.Organisation(f"organisation-{number}", rate, 400_000, 1.0, keys)


def _initial_configuration(organisations: int) -> tuple[state.Configuration, bytes]:
    put: list[objects.Object] = [objects.Deployment("slopes")]
    put += (_organisation(number) for number in range(organisations))
    configuration = state.Configuration()
    content = configuration.with_changes(1, "", put, []).content
    # The measurements start from one large revision; a submitter would split it.
    value = msgspec.json.encode(revisions.Revision(1, "", f"{content:064x}", "base"))
    return configuration.with_changes(1, revisions.digest(value), put, []), value


def _changes(base: state.Configuration, count: int, organisations: int) -> list[bytes]:
    rng = random.Random(SEED)
    values = []
    for index in range(count):
        put = (_organisation(rng.randrange(organisations), float(index + 1)),)
        submission = f"{rng.getrandbits(128):032x}"
        at = "2026-01-01T00:00:00+00:00"
        values.append(revisions.encode_next(base, submission, put, (), "operator", at))
        base = revisions.apply(base, values[-1])
    return values


def _change_bytes_full_roster(base: state.Configuration) -> int:
    """Return the size in bytes of a change when the list of removed VMs is full."""
    names = [f"vm-{index:04}" for index in range(state.MAX_RETIRED_VMS)]
    address = "127.0.0.1:1"
    vms = [objects.VM(name, "region", "domain", address, address, address) for name in names]
    removed = [objects.identity(vm) for vm in vms]
    retired = base.with_changes(2, "", vms, []).with_changes(3, "", [], removed)
    return len(_changes(retired, 1, len(base.organisations))[0])


def measure_organisations(organisations: int) -> OrganisationPoint:
    """Measure the cost at one number of organisations."""
    base, first_revision = _initial_configuration(organisations)
    values = _changes(base, CHANGES, organisations)
    started = time.process_time()
    snapshot = snapshots.create(base, first_revision)
    create_seconds = time.process_time() - started
    gc.collect()
    tracemalloc.start()
    baseline_bytes = tracemalloc.get_traced_memory()[0]
    started = time.process_time()
    configuration = snapshots.restore(snapshot)
    traced_restore = tracemalloc.get_traced_memory()
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0] - baseline_bytes
    log = revision_log.RevisionLog()
    log.reset(1, first_revision)
    for value in values:
        configuration = revisions.apply(configuration, value)
        log.append(bytes(bytearray(value)))
    gc.collect()
    full_bytes = tracemalloc.get_traced_memory()[0] - baseline_bytes
    tracemalloc.stop()
    del configuration
    started = time.process_time()
    configuration = snapshots.restore(snapshot)
    restore_seconds = time.process_time() - started
    costs = []
    for value in values:
        started = time.process_time()
        configuration = revisions.apply(configuration, value)
        costs.append(time.process_time() - started)
    return OrganisationPoint(
        organisations=organisations,
        whole_bytes=sum(map(len, snapshot.segments)),
        segments=len(snapshot.segments),
        change_bytes=round(statistics.median(map(len, values))),
        change_bytes_full_roster=_change_bytes_full_roster(base),
        change_processor_us=round(statistics.median(costs) * 1e6, 1),
        load_processor_ms=round(restore_seconds * 1e3, 2),
        snapshot_processor_ms=round(create_seconds * 1e3, 2),
        memory_bytes=memory,
        memory_full_bytes=full_bytes,
        load_peak_bytes=traced_restore[1] - baseline_bytes,
    )


class _Fleet:
    """VMs that exchange encoded messages with one another, without a store."""

    def __init__(self, count: int, loss_rate: float, seed: int) -> None:
        self.now = 0.0
        self.bytes = 0
        self.messages = 0
        self._rng = random.Random(seed)
        self._loss_rate = loss_rate
        self._codec = wire.Codec(catalogue.MESSAGES)
        self._events: list[tuple[float, int, str, str, bytes]] = []
        self._sequence = 0
        self.names = [f"vm-{index}" for index in range(count)]
        self.vms = {}
        base, first_revision = _initial_configuration(5)
        self.next_revision = _changes(base, 1, 5)[0]
        segments = snapshots.create(base, first_revision).segments
        for name in self.names:
            vm = self.vms[name] = replica.Replica(invariants.Invariants(), 0.0)
            for index, body in enumerate(segments):
                vm.on_message(
                    "vm", messages.Segment(1, first_revision, index, len(segments), body), 0.0
                )
            self._schedule(self._rng.random(), name, "", b"")

    def run(self, until: float) -> None:
        """Run until time `until`, or until all VMs have the next revision."""
        while self._events[0][0] < until and not self.converged:
            self.now, _, receiver, sender, data = heapq.heappop(self._events)
            if not data:
                peers = [name for name in self.names if name != receiver]
                self.send(receiver, self.vms[receiver].tick(self.now, peers, self._random()))
                self._schedule(self.now + replica.TICK_SECONDS, receiver, "", b"")
                continue
            message = typing.cast(messages.Message, self._codec.decode(data)[0])
            self.send(receiver, self.vms[receiver].on_message(sender, message, self.now))
        self.now = max(self.now, until) if not self.converged else self.now

    @property
    def converged(self) -> bool:
        """Whether every VM has revision 2."""
        return all(vm.revision == 2 for vm in self.vms.values())

    def send(self, sender: str, sends: list[messages.Send]) -> None:
        """Encode and send messages, some of which are lost."""
        for send in sends:
            data = self._codec.encode(send.message)
            self.bytes += len(data)
            self.messages += 1
            if self._rng.random() >= self._loss_rate:
                delay = self._rng.uniform(0, MAX_DELAY_SECONDS)
                self._schedule(self.now + delay, send.to, sender, data)

    def _schedule(self, at: float, receiver: str, sender: str, data: bytes) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, receiver, sender, data))

    def _random(self) -> int:
        return self._rng.getrandbits(64)


def measure_fleet(count: int, loss_rate: float, trials: int = PROPAGATION_TRIALS) -> FleetPoint:
    """Measure the gossip of one fleet.

    Parameters
    ----------
    count
        Number of VMs.
    loss_rate
        Share of messages that are lost.
    trials
        Number of changes whose propagation is measured, each in a new fleet.
    """
    idle = _Fleet(count, loss_rate, SEED)
    idle.run(5.0)
    messages_before, bytes_before, processor_start = idle.messages, idle.bytes, time.process_time()
    idle.run(5.0 + IDLE_SECONDS)
    processor = time.process_time() - processor_start
    idle_vm_seconds = count * IDLE_SECONDS
    idle_messages = (idle.messages - messages_before) / idle_vm_seconds
    idle_bytes = (idle.bytes - bytes_before) / idle_vm_seconds
    times, extra_bytes, extra_messages = [], [], []
    for seed in range(trials):
        fleet = _Fleet(count, loss_rate, seed)
        fleet.run(5.0)
        messages_before, bytes_before, started = fleet.messages, fleet.bytes, fleet.now
        fleet.send("vm-0", fleet.vms["vm-0"].on_value(fleet.next_revision, fleet.now))
        fleet.run(65.0)
        times.append(fleet.now - started)
        elapsed_vm_seconds = count * times[-1]
        extra_messages.append(
            (fleet.messages - messages_before - idle_messages * elapsed_vm_seconds) / count
        )
        extra_bytes.append((fleet.bytes - bytes_before - idle_bytes * elapsed_vm_seconds) / count)
    return FleetPoint(
        vms=count,
        dropped=loss_rate,
        idle_messages_per_vm_second=round(idle_messages, 2),
        idle_bytes_per_vm_second=round(idle_bytes, 1),
        idle_processor_ms_per_vm_second=round(processor / idle_vm_seconds * 1e3, 3),
        change_bytes_per_vm=round(statistics.mean(extra_bytes), 1),
        change_messages_per_vm=round(statistics.mean(extra_messages), 2),
        everywhere_p50_seconds=round(statistics.median(times), 2),
        everywhere_max_seconds=round(max(times), 2),
    )


def measure_all() -> Measurements:
    """Measure every number of organisations, and every fleet at every loss rate."""
    return Measurements(
        [measure_organisations(count) for count in ORGANISATIONS],
        [measure_fleet(count, loss_rate) for loss_rate in LOSS_RATES for count in VMS],
    )


@click.command("configuration-slopes")
@click.option(
    "--output",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    default=pathlib.Path("docs/measurements/configuration-slopes.json"),
    show_default=True,
)
def configuration_scaling(output: pathlib.Path) -> None:
    """Measure the cost of the configuration and write the results as JSON.

    Example: hollyring experiment configuration-slopes --output slopes.json
    """
    output.write_bytes(msgspec.json.format(msgspec.json.encode(measure_all())) + b"\n")
    click.echo(f"{output} written")
