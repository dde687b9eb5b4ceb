"""What one VM's data path adds: time to first token, and processor time per streamed token.

The same requests go directly to the stand-in language server and through the VM, in turn, in one
run.
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
WARM_REQUESTS = 20
STREAMS = 50
STREAM_TOKENS = 400
SETTLE_SECONDS = 20.0
SPEED = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What was measured.

    Parameters
    ----------
    direct_ms, through_ms
        Median milliseconds to first token, directly and through the VM.
    added_ms
        Median of the differences of pairs.
    tokens
        Tokens streamed through the VM in the second part.
    processor_us_per_token
        Processor microseconds of the VM process per streamed token.
    tokens_per_core_second
        Its inverse.
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
    """Run one VM, one language server and the platform, and measure."""
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
    through = load_generator.Caller(
        small_deployment.ORGANISATION, small_deployment.KEY, [fleet.vms[0].caller_address]
    )
    await _until_admitted(client, through)
    times: list[tuple[float, float]] = []
    for _ in range(pairs + WARM_REQUESTS):
        one = await client.complete(direct, small_deployment.MODEL, PROMPT, 4, stream=True)
        other = await client.complete(through, small_deployment.MODEL, PROMPT, 4, stream=True)
        times.append((one.first_token, other.first_token))
    times = times[WARM_REQUESTS:]
    process = fleet.programs[fleet.vms[0].name].process
    assert process is not None
    before, started = process_usage.read_usage(process.pid), time.monotonic()
    async with anyio.create_task_group() as group:
        for _ in range(STREAMS):
            group.start_soon(_stream, client, through)
    seconds = time.monotonic() - started
    after = process_usage.read_usage(process.pid)
    await client.close()
    tokens = STREAMS * STREAM_TOKENS
    spent = after.cpu_seconds - before.cpu_seconds
    return Report(
        date=datetime.datetime.now(datetime.UTC).date().isoformat(),
        pairs=pairs,
        direct_ms=1e3 * statistics.median(one for one, _ in times),
        through_ms=1e3 * statistics.median(other for _, other in times),
        added_ms=1e3 * statistics.median(other - one for one, other in times),
        tokens=tokens,
        wall_seconds=seconds,
        processor_us_per_token=1e6 * spent / tokens,
        tokens_per_core_second=tokens / spent,
        resident_mb=after.resident_bytes / 1e6,
    )


async def _stream(client: load_generator.Client, caller: load_generator.Caller) -> None:
    outcome = await client.complete(
        caller, small_deployment.MODEL, PROMPT, STREAM_TOKENS, stream=True
    )
    if not outcome.correct:
        raise AssertionError(f"wrong answer: {outcome}")


async def _until_admitted(client: load_generator.Client, caller: load_generator.Caller) -> None:
    """Wait until the shares of a fresh fleet hold tokens."""
    with anyio.fail_after(SETTLE_SECONDS):
        while not (
            await client.complete(caller, small_deployment.MODEL, "ready?", 1, stream=False)
        ).complete:
            await anyio.sleep(0.1)


@click.command()
@click.option("--pairs", default=200, show_default=True, help="Requests each way, at most 5000.")
@click.option("--out", type=click.Path(path_type=pathlib.Path), help="Also write the report here.")
def overhead(pairs: int, out: pathlib.Path | None) -> None:
    """Measure what a VM adds to a request and what a streamed token costs it.

    Example: hollyring experiment overhead --pairs 500
    """
    report = anyio.run(measure, min(pairs, 5_000))
    text = msgspec.json.format(msgspec.json.encode(report), indent=2).decode()
    click.echo(text)
    if out is not None:
        out.write_text(text + "\n")
