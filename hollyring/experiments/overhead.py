"""Overhead of a VM's data path: added time to first token and CPU time per streamed token.

A run sends the same requests alternately to the inference server stand-in and to the VM in front
of it.
"""

from __future__ import annotations

import dataclasses
import datetime
import pathlib
import statistics
import tempfile
import time

import anyio
import click
import msgspec

from hollyring.experiments import launcher, load_generator, process_usage, small_deployment

PROMPT = "Is Kigoma eligible? " * 200
WARMUP_PAIRS = 20
STREAMS = 50
STREAM_TOKENS = 400
ADMISSION_TIMEOUT_SECONDS = 20.0
SPEED = 50.0
"""Speed factor of the inference server stand-in."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Results of a measurement.

    Parameters
    ----------
    direct_ms, through_ms
        Median time to first token in milliseconds, without and with the VM.
    added_ms
        Median difference of a pair of requests in milliseconds.
    tokens
        Number of tokens streamed through the VM for the measurement of CPU time.
    wall_seconds
        Elapsed time of these streams.
    processor_us_per_token
        CPU time of the VM process per streamed token in microseconds.
    tokens_per_core_second
        Streamed tokens per second of CPU time of the VM process.
    resident_mb
        Resident memory of the VM process after the streams, in megabytes.
    """

    date: str
    pairs: int
    direct_ms: float
    through_ms: float
    added_ms: float
    tokens: int
    wall_seconds: float
    processor_us_per_token: float
    tokens_per_core_second: float
    resident_mb: float


async def measure(pairs: int) -> Report:
    """Start one VM, one inference server and the platform, and measure the overhead."""
    base = launcher.free_base_port()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="hollyring-overhead-"))
    document = small_deployment.document(base, vms=1, engines=1, services=0)
    options = launcher.EngineOptions(speed=SPEED, max_running=64, prefill=100_000.0)
    fleet = launcher.Fleet(document, folder, base + launcher.PLATFORM_PORT_OFFSET, options)
    try:
        await fleet.start_all()
        return await _measure(fleet, pairs)
    finally:
        fleet.stop()


async def _measure(fleet: launcher.Fleet, pairs: int) -> Report:
    client = load_generator.Client()
    engine = fleet.upstreams[0].address.removeprefix("http://")
    direct = load_generator.Caller("", "none", [engine])
    via_vm = load_generator.Caller(
        small_deployment.ORGANISATION, small_deployment.KEY, [fleet.vms[0].caller_address]
    )
    await _wait_until_admitted(client, via_vm)
    times: list[tuple[float, float]] = []
    for _ in range(pairs + WARMUP_PAIRS):
        direct_outcome = await client.complete(
            direct, small_deployment.MODEL, PROMPT, 4, stream=True
        )
        vm_outcome = await client.complete(via_vm, small_deployment.MODEL, PROMPT, 4, stream=True)
        times.append((direct_outcome.first_token, vm_outcome.first_token))
    times = times[WARMUP_PAIRS:]
    process = fleet.programs[fleet.vms[0].name].process
    assert process is not None
    before, started = process_usage.read_usage(process.pid), time.monotonic()
    async with anyio.create_task_group() as group:
        for _ in range(STREAMS):
            group.start_soon(_stream, client, via_vm)
    seconds = time.monotonic() - started
    after = process_usage.read_usage(process.pid)
    await client.close()
    tokens = STREAMS * STREAM_TOKENS
    cpu_seconds = after.cpu_seconds - before.cpu_seconds
    return Report(
        date=datetime.datetime.now(datetime.UTC).date().isoformat(),
        pairs=pairs,
        direct_ms=1e3 * statistics.median(direct_seconds for direct_seconds, _ in times),
        through_ms=1e3 * statistics.median(vm_seconds for _, vm_seconds in times),
        added_ms=1e3
        * statistics.median(vm_seconds - direct_seconds for direct_seconds, vm_seconds in times),
        tokens=tokens,
        wall_seconds=seconds,
        processor_us_per_token=1e6 * cpu_seconds / tokens,
        tokens_per_core_second=tokens / cpu_seconds,
        resident_mb=after.resident_bytes / 1e6,
    )


async def _stream(client: load_generator.Client, caller: load_generator.Caller) -> None:
    outcome = await client.complete(
        caller, small_deployment.MODEL, PROMPT, STREAM_TOKENS, stream=True
    )
    if not outcome.correct:
        raise AssertionError(f"incomplete or incorrect response: {outcome}")


async def _wait_until_admitted(
    client: load_generator.Client, caller: load_generator.Caller
) -> None:
    """Wait until the VM admits a request, as rate limit shares of a new fleet start empty."""
    with anyio.fail_after(ADMISSION_TIMEOUT_SECONDS):
        while not (
            await client.complete(caller, small_deployment.MODEL, "ready?", 1, stream=False)
        ).complete:
            await anyio.sleep(0.1)


@click.command()
@click.option("--pairs", default=200, show_default=True, help="Pairs of requests, at most 5000.")
@click.option("--out", type=click.Path(path_type=pathlib.Path), help="File for the report.")
def overhead(pairs: int, out: pathlib.Path | None) -> None:
    """Measure the latency that a VM adds to a request and its CPU time per streamed token.

    Example: hollyring experiment overhead --pairs 500
    """
    report = anyio.run(measure, min(pairs, 5_000))
    text = msgspec.json.format(msgspec.json.encode(report), indent=2).decode()
    click.echo(text)
    if out is not None:
        out.write_text(text + "\n")
