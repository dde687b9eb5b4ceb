"""Cost of the membership protocol by fleet size, and its errors by loss of messages."""

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
LOSSES = (0.0, 0.01, 0.05, 0.2)
MANY_VMS = 90
MANY_REGIONS, MANY_DOMAINS = 5, 3
WARM_SECONDS = 30.0
MEASURED_SECONDS = 60.0
LOSS_SECONDS = 120.0
CRASHES = 5
DETECTION_SECONDS = 60.0
LOAD_SECONDS = 60.0
"""Time from one load summary of a VM to the next."""

REVISION_SECONDS = 11.4
"""Time from one change of configuration to the next, at 7,600 a day."""

LOAD_VALUE = b"12345678"
REVISION_VALUE = b"1234567890123456"


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What the protocol costs one VM; bytes count sent and received together."""

    vms: int
    regions: int
    messages_per_second: float
    bytes_per_second: float
    machine_ms_per_second: float
    codec_ms_per_second: float
    memory_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Errors:
    """False beliefs in a fleet without failures, and times until a crash is known."""

    vms: int
    loss: float
    false_suspicions_per_vm_hour: float
    false_deaths_per_vm_hour: float
    first_dead_seconds: list[float]
    all_dead_seconds: list[float]
    undetected: int


@dataclasses.dataclass(frozen=True, slots=True)
class Slopes:
    """All measurements of one run."""

    seed: int
    load_entry_seconds: float
    costs: list[Cost]
    errors: list[Errors]


def _fleet(
    vms: int, seed: int, encode: membership_simulation.Encode | None
) -> membership_simulation.Fleet:
    many = vms >= MANY_VMS
    regions = MANY_REGIONS if many else 1
    domains = MANY_DOMAINS
    fleet = membership_simulation.Fleet(vms, seed, regions, domains, encode)
    fleet.settle()
    return fleet


def cost(vms: int, seed: int) -> Cost:
    """Return what a fleet of this size costs each VM, with entries travelling."""
    codec = wire.Codec(catalogue.MESSAGES)
    codec_seconds = 0.0

    def encode(message: object) -> bytes:
        nonlocal codec_seconds
        began = time.process_time()
        data = codec.encode(message)
        codec.decode(data)
        codec_seconds += time.process_time() - began
        return data

    tracemalloc.start()
    fleet = _fleet(vms, seed, None)
    _let_run(fleet, vms, WARM_SECONDS)
    memory = tracemalloc.get_traced_memory()[0] // vms
    tracemalloc.stop()
    fleet._encode = encode
    fleet.bytes = fleet.messages = 0
    fleet.machine_seconds = 0.0
    _let_run(fleet, vms, MEASURED_SECONDS)
    per_vm = vms * MEASURED_SECONDS
    return Cost(
        vms,
        fleet._regions,
        round(2 * fleet.messages / per_vm, 2),
        round(2 * fleet.bytes / per_vm, 1),
        round(1000 * fleet.machine_seconds / per_vm, 3),
        round(1000 * codec_seconds / per_vm, 3),
        memory,
    )


def _let_run(fleet: membership_simulation.Fleet, vms: int, seconds: float) -> None:
    """Let time pass while loads and revisions travel as entries."""
    end = fleet.now + seconds
    next_revision = fleet.now
    turn = 0
    while fleet.now < end:
        turn += 1
        name = f"vm-{turn % vms:03d}"
        version = int(fleet.now * 1000) + turn
        life = fleet.lives[turn % vms]
        life.put_entry(view.load_entry_name(name), version, LOAD_VALUE)
        if fleet.now >= next_revision:
            next_revision += REVISION_SECONDS
            life.put_entry("revision", version, REVISION_VALUE)
        fleet.run(LOAD_SECONDS / vms)


def errors(vms: int, loss: float, seed: int) -> Errors:
    """Return false suspicions without any failure, and how fast crashes are known."""
    fleet = _fleet(vms, seed, None)
    fleet.conditions.loss = loss
    fleet.run(LOSS_SECONDS)
    suspicions = sum(life.counts["refuted"] for life in fleet.lives)
    wrong = {
        (change.profile.name, change.profile.incarnation)
        for _, _, change in fleet.changes
        if change.status is messages.Status.DEAD
    }
    hours = vms * LOSS_SECONDS / 3600.0
    first, last, undetected = [], [], 0
    for number in range(CRASHES):
        vm = 3 + number * (vms - 4) // CRASHES
        times, believers = _crash(fleet, vm)
        region = sum(fleet.profile(n).region == fleet.profile(vm).region for n in fleet.running)
        if not times or believers < region:
            undetected += 1
            continue
        first.append(round(times[0], 1))
        last.append(round(times[-1], 1))
    return Errors(
        vms,
        loss,
        round(suspicions / hours, 3),
        round(len(wrong) / hours, 3),
        sorted(first),
        sorted(last),
        undetected,
    )


def _crash(fleet: membership_simulation.Fleet, vm: int) -> tuple[list[float], int]:
    """Crash a VM; return when each of the others took it for dead, and how many did."""
    fleet.changes.clear()
    began = fleet.now
    fleet.crash(vm)
    fleet.run(DETECTION_SECONDS)
    name = fleet.profile(vm).name
    told: dict[int, float] = {}
    for at, believer, change in fleet.changes:
        if change.profile.name == name and change.status is messages.Status.DEAD:
            told.setdefault(believer, at - began)
    return sorted(told.values()), len(told)


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of every run.")
@click.option("--sizes", default=",".join(map(str, SIZES)), show_default=True)
@click.option("--loss-sizes", default=",".join(map(str, LOSS_SIZES)), show_default=True)
@click.option("--out", type=click.Path(), required=True, help="File that the JSON is written to.")
def slopes(seed: int, sizes: str, loss_sizes: str, out: str) -> None:
    """Measure the membership protocol by fleet size and loss.

    Example: hollyring experiment membership-slopes --out membership-slopes.json
    """
    costs = [cost(int(size), seed) for size in sizes.split(",")]
    for one in costs:
        click.echo(str(one))
    found = []
    for size in loss_sizes.split(","):
        for loss in LOSSES:
            found.append(errors(int(size), loss, seed))
            click.echo(f"{found[-1]} {statistics.median(found[-1].all_dead_seconds or [0.0])}")
    report = Slopes(seed, LOAD_SECONDS, costs, found)
    text = msgspec.json.format(msgspec.json.encode(report), indent=1)
    pathlib.Path(out).write_bytes(text + b"\n")
