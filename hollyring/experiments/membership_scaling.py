"""Cost of the membership protocol by fleet size, and its detection errors by message loss."""

from __future__ import annotations

import dataclasses
import pathlib
import statistics
import time
import tracemalloc

import click
import msgspec

from hollyring.experiments import membership_simulation
from hollyring.membership import messages, view
from hollyring.node import catalogue, wire

SIZES = (3, 9, 30, 90, 360)
LOSS_SIZES = (9, 90, 360)
LOSS_RATES = (0.0, 0.01, 0.05, 0.2)
MULTI_REGION_VMS = 90
"""Fleet size from which the VMs are spread over several regions."""

REGIONS, FAILURE_DOMAINS = 5, 3
WARMUP_SECONDS = 30.0
MEASURED_SECONDS = 60.0
LOSS_SECONDS = 120.0
CRASHES = 5
DETECTION_SECONDS = 60.0
LOAD_INTERVAL_SECONDS = 60.0
"""Time between two load summaries of one VM."""

REVISION_INTERVAL_SECONDS = 11.4
"""Time between two changes of the configuration, at 7,600 changes a day."""

LOAD_VALUE = b"12345678"
REVISION_VALUE = b"1234567890123456"


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Cost of the protocol per VM; messages and bytes include those sent and received.

    Parameters
    ----------
    machine_ms_per_second, codec_ms_per_second
        CPU time of the protocol's state machine, and of encoding and decoding messages.
    """

    vms: int
    regions: int
    messages_per_second: float
    bytes_per_second: float
    machine_ms_per_second: float
    codec_ms_per_second: float
    memory_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Errors:
    """False detections in a fleet without crashes, and detection times of crashes, in seconds.

    Parameters
    ----------
    first_dead_seconds, all_dead_seconds
        Times until the first and until the last VM lists a crashed VM as dead, one per crash.
    undetected
        Number of crashes that fewer VMs detected than are active in the crashed VM's region.
    """

    vms: int
    loss: float
    false_suspicions_per_vm_hour: float
    false_deaths_per_vm_hour: float
    first_dead_seconds: list[float]
    all_dead_seconds: list[float]
    undetected: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """All measurements of one run."""

    seed: int
    load_entry_seconds: float
    costs: list[Cost]
    errors: list[Errors]


def _converged_fleet(
    vms: int, seed: int, encode: membership_simulation.Encode | None
) -> membership_simulation.Fleet:
    multi_region = vms >= MULTI_REGION_VMS
    regions = REGIONS if multi_region else 1
    domains = FAILURE_DOMAINS
    fleet = membership_simulation.Fleet(vms, seed, regions, domains, encode)
    fleet.converge()
    return fleet


def measure_cost(vms: int, seed: int) -> Cost:
    """Measure the cost per VM in a fleet that gossips load and revision entries."""
    codec = wire.Codec(catalogue.MESSAGES)
    codec_seconds = 0.0

    def encode(message: object) -> bytes:
        nonlocal codec_seconds
        started = time.process_time()
        data = codec.encode(message)
        codec.decode(data)
        codec_seconds += time.process_time() - started
        return data

    tracemalloc.start()
    fleet = _converged_fleet(vms, seed, None)
    _run_with_entries(fleet, vms, WARMUP_SECONDS)
    memory = tracemalloc.get_traced_memory()[0] // vms
    tracemalloc.stop()
    fleet._encode = encode
    fleet.bytes = fleet.messages = 0
    fleet.processor_seconds = 0.0
    _run_with_entries(fleet, vms, MEASURED_SECONDS)
    vm_seconds = vms * MEASURED_SECONDS
    return Cost(
        vms,
        fleet._regions,
        round(2 * fleet.messages / vm_seconds, 2),
        round(2 * fleet.bytes / vm_seconds, 1),
        round(1000 * fleet.processor_seconds / vm_seconds, 3),
        round(1000 * codec_seconds / vm_seconds, 3),
        memory,
    )


def _run_with_entries(fleet: membership_simulation.Fleet, vms: int, seconds: float) -> None:
    """Run the fleet while VMs publish load and revision entries."""
    end = fleet.now + seconds
    next_revision = fleet.now
    updates = 0
    while fleet.now < end:
        updates += 1
        name = f"vm-{updates % vms:03d}"
        version = int(fleet.now * 1000) + updates
        instance = fleet.instances[updates % vms]
        instance.put_entry(view.load_entry_name(name), version, LOAD_VALUE)
        if fleet.now >= next_revision:
            next_revision += REVISION_INTERVAL_SECONDS
            instance.put_entry("revision", version, REVISION_VALUE)
        fleet.run(LOAD_INTERVAL_SECONDS / vms)


def measure_errors(vms: int, loss: float, seed: int) -> Errors:
    """Measure false suspicions and deaths without crashes, and the detection times of crashes."""
    fleet = _converged_fleet(vms, seed, None)
    fleet.conditions.loss_rate = loss
    fleet.run(LOSS_SECONDS)
    suspicions = sum(instance.counts["refuted"] for instance in fleet.instances)
    false_deaths = {
        (change.profile.name, change.profile.incarnation)
        for _, _, change in fleet.status_changes
        if change.status is messages.Status.DEAD
    }
    vm_hours = vms * LOSS_SECONDS / 3600.0
    first_dead, all_dead, undetected = [], [], 0
    for number in range(CRASHES):
        vm = 3 + number * (vms - 4) // CRASHES
        times, detectors = _measure_detection(fleet, vm)
        region_vms = sum(fleet.profile(n).region == fleet.profile(vm).region for n in fleet.active)
        if not times or detectors < region_vms:
            undetected += 1
            continue
        first_dead.append(round(times[0], 1))
        all_dead.append(round(times[-1], 1))
    return Errors(
        vms,
        loss,
        round(suspicions / vm_hours, 3),
        round(len(false_deaths) / vm_hours, 3),
        sorted(first_dead),
        sorted(all_dead),
        undetected,
    )


def _measure_detection(fleet: membership_simulation.Fleet, vm: int) -> tuple[list[float], int]:
    """Crash a VM; return the sorted detection times of the others and how many detected it."""
    fleet.status_changes.clear()
    started = fleet.now
    fleet.crash(vm)
    fleet.run(DETECTION_SECONDS)
    name = fleet.profile(vm).name
    detected_after: dict[int, float] = {}
    for at, detector, change in fleet.status_changes:
        if change.profile.name == name and change.status is messages.Status.DEAD:
            detected_after.setdefault(detector, at - started)
    return sorted(detected_after.values()), len(detected_after)


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of every run.")
@click.option("--sizes", default=",".join(map(str, SIZES)), show_default=True)
@click.option("--loss-sizes", default=",".join(map(str, LOSS_SIZES)), show_default=True)
@click.option("--out", type=click.Path(), required=True, help="File that the JSON is written to.")
def slopes(seed: int, sizes: str, loss_sizes: str, out: str) -> None:
    """Measure the membership protocol by fleet size and message loss.

    Example: hollyring experiment membership-slopes --out membership-slopes.json
    """
    costs = [measure_cost(int(size), seed) for size in sizes.split(",")]
    for measured in costs:
        click.echo(str(measured))
    results = []
    for size in loss_sizes.split(","):
        for loss in LOSS_RATES:
            results.append(measure_errors(int(size), loss, seed))
            click.echo(f"{results[-1]} {statistics.median(results[-1].all_dead_seconds or [0.0])}")
    report = Report(seed, LOAD_INTERVAL_SECONDS, costs, results)
    text = msgspec.json.format(msgspec.json.encode(report), indent=1)
    pathlib.Path(out).write_bytes(text + b"\n")
