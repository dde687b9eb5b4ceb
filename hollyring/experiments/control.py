"""Control plane overhead of a VM process: CPU, memory, network bytes and platform requests.

Idle fleets of several sizes run as separate processes. Each VM is measured through ``/proc`` and
its state dump. `hollyring.experiments.capacity_model` extrapolates the results to larger fleets.
"""

from __future__ import annotations

import dataclasses
import datetime
import pathlib
import statistics
import tempfile
from typing import Any

import anyio
import click
import httpcore
import msgspec

from hollyring.configuration import documents, objects
from hollyring.experiments import launcher, process_usage, small_deployment

MAX_VMS = 60
WATCHED_UPSTREAMS = 4
"""Number of upstreams that each VM polls in the last row, as at the size expected in two years."""

TCP_IP_BYTES = 40
"""TCP and IP header bytes per message, in addition to its frame and without acknowledgements."""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Medians over the VMs of a fleet.

    Parameters
    ----------
    vms, engines, organisations
        Size of the fleet.
    processor_percent
        CPU time in percent of one core.
    resident_mb
        Resident memory of the process in megabytes, including libraries.
    sent_bytes, received_bytes
        Bytes per second on peer connections, including framing but not TCP/IP headers.
    messages
        Messages sent and received per second on peer connections.
    reads, writes, watches
        Platform requests per second and VM.
    polls, poll_bytes
        Polls of watched upstreams per second, and their bytes per second in both directions.
    """

    vms: int
    engines: int
    organisations: int
    processor_percent: float
    resident_mb: float
    sent_bytes: float
    received_bytes: float
    messages: float
    reads: float
    writes: float
    watches: float
    polls: float
    poll_bytes: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """All rows, with the date, the settling time and the measuring time in seconds."""

    date: str
    settle: float
    seconds: float
    rows: list[Row]


def _document(base: int, vms: int, engines: int, organisations: int) -> documents.Document:
    items = small_deployment.document(base, vms=0, engines=engines, services=0).objects
    for index in range(vms):
        ports = [f"127.0.0.1:{base + offset + index}" for offset in (0, 100, 200)]
        domain = small_deployment.FAILURE_DOMAINS[index % len(small_deployment.FAILURE_DOMAINS)]
        items.append(objects.VM(f"vm-{index}", "r", domain, *ports))
    for index in range(organisations):
        name = f"organisation-{index}"
        key = objects.Key("till", objects.key_digest(name))
        items.append(objects.Organisation(name, 1_000.0, 100_000, keys=(key,)))
    return documents.Document(items)


async def measure(vms: int, engines: int, organisations: int, settle: float, seconds: float) -> Row:
    """Run an idle fleet of `vms` VM processes and return the medians over them."""
    base = launcher.free_base_port()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="hollyring-control-"))
    document = _document(base, vms, engines, organisations)
    fleet = launcher.Fleet(document, folder, base + launcher.PLATFORM_PORT_OFFSET)
    try:
        await fleet.start_all()
        await anyio.sleep(settle)
        before = [await _sample(fleet, vm) for vm in fleet.vms]
        await anyio.sleep(seconds)
        after = [await _sample(fleet, vm) for vm in fleet.vms]
        return _row(before, after, engines, organisations, seconds)
    finally:
        fleet.stop()


async def _sample(
    fleet: launcher.Fleet, vm: objects.VM
) -> tuple[process_usage.ProcessUsage, dict[str, Any]]:
    process = fleet.programs[vm.name].process
    assert process is not None
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("GET", f"http://{vm.admin_address}/state")
    return process_usage.read_usage(process.pid), msgspec.json.decode(response.content)


def _row(
    before: list[tuple[process_usage.ProcessUsage, dict[str, Any]]],
    after: list[tuple[process_usage.ProcessUsage, dict[str, Any]]],
    engines: int,
    organisations: int,
    seconds: float,
) -> Row:
    pairs = list(zip(before, after, strict=True))

    def rate(part: str, name: str) -> float:
        increases = [b[1][part][name] - a[1][part][name] for a, b in pairs]
        return round(statistics.median(increases) / seconds, 3)

    cpu_seconds = [b[0].cpu_seconds - a[0].cpu_seconds for a, b in pairs]
    resident = [b[0].resident_bytes / 1e6 for _, b in pairs]
    return Row(
        vms=len(pairs),
        engines=engines,
        organisations=organisations,
        processor_percent=round(100 * statistics.median(cpu_seconds) / seconds, 3),
        resident_mb=round(statistics.median(resident), 1),
        sent_bytes=rate("peers", "sent_bytes"),
        received_bytes=rate("peers", "received_bytes"),
        messages=rate("peers", "sent") + rate("peers", "received"),
        reads=rate("platform", "read"),
        writes=rate("platform", "write"),
        watches=rate("platform", "watch"),
        polls=rate("routing", "polls"),
        poll_bytes=rate("routing", "poll_bytes"),
    )


async def _measure_all(
    sizes: list[int], organisations: list[int], settle: float, seconds: float
) -> Report:
    fewest = organisations[0]
    rows = [await measure(vms, 0, fewest, settle, seconds) for vms in sizes]
    rows += [await measure(sizes[0], 0, count, settle, seconds) for count in organisations[1:]]
    rows.append(await measure(sizes[0], sizes[0] * WATCHED_UPSTREAMS, fewest, settle, seconds))
    return Report(datetime.datetime.now(datetime.UTC).date().isoformat(), settle, seconds, rows)


@click.command()
@click.option(
    "--vms", default="3,9,18,36", show_default=True, help=f"Fleet sizes, at most {MAX_VMS}."
)
@click.option(
    "--organisations", default="5,500,4700", show_default=True, help="Numbers of organisations."
)
@click.option("--settle", default=45.0, show_default=True, help="Seconds before each measurement.")
@click.option("--seconds", default=20.0, show_default=True, help="Seconds of each measurement.")
@click.option("--out", type=click.Path(path_type=pathlib.Path), help="File for the report.")
def control(
    vms: str, organisations: str, settle: float, seconds: float, out: pathlib.Path | None
) -> None:
    """Measure the control plane overhead of idle VMs over fleet sizes and organisations.

    A fleet settles first, because its VMs open their connections to each other one by one.

    Example: hollyring experiment control --vms 3,9 --organisations 5 --seconds 10
    """
    sizes = [min(int(part), MAX_VMS) for part in vms.split(",")]
    counts = [int(part) for part in organisations.split(",")]
    report = anyio.run(_measure_all, sizes, counts, min(settle, 300.0), min(seconds, 120.0))
    text = msgspec.json.format(msgspec.json.encode(report), indent=1).decode()
    click.echo(text)
    if out is not None:
        out.write_text(text + "\n")
