"""Commands that inspect VMs and send traffic to them: ``state``, ``load`` and ``demo``."""

from __future__ import annotations

import json
import pathlib
import random
import sys
import tempfile
import time

import anyio
import click
import httpcore
import msgspec

EXIT_FAILURE = 1
EXIT_BAD_INPUT = 2
EXIT_UNREACHABLE = 4
HTTP_TIMEOUT_SECONDS = 2.0


@click.command()
@click.argument("address")
@click.option("--key", envvar="HOLLYRING_ADMIN_KEY", default="", help="Admin bearer token.")
def state(address: str, key: str) -> None:
    """Print the state of the VM whose admin port is ADDRESS, as JSON.

    Exit status 4: the VM could not be reached; 1: it responded with an error.

    Example: hollyring state 127.0.0.1:20200
    """
    headers = [(b"authorization", f"Bearer {key}".encode())] if key else []
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), HTTP_TIMEOUT_SECONDS)
    try:
        response = httpcore.request(
            "GET", f"http://{address}/state", headers=headers, extensions={"timeout": timeout}
        )
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
        click.echo(f"{address}: not reached: {type(error).__name__}", err=True)
        raise SystemExit(EXIT_UNREACHABLE) from error
    click.echo(json.dumps(msgspec.json.decode(response.content), indent=2))
    if response.status != 200:
        raise SystemExit(EXIT_FAILURE)


@click.command()
@click.argument("entries", nargs=-1, required=True)
@click.option("--key", envvar="HOLLYRING_KEY", required=True, help="API key of the organisation.")
@click.option("--organisation", default="", help="Name of the organisation, for the report.")
@click.option("--model", required=True)
@click.option("--seconds", default=10.0, show_default=True, help="At most 600.")
@click.option("--callers", default=4, show_default=True, help="At most 200.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def load(
    entries: tuple[str, ...],
    key: str,
    organisation: str,
    model: str,
    seconds: float,
    callers: int,
    seed: int,
    as_json: bool,
) -> None:
    """Send chat requests with shared prefixes to the VMs at ENTRIES ("IP:PORT") and print a report.

    Responses are compared with those expected of the stand-in inference server.

    Example: hollyring load 127.0.0.1:20000 --key demo-key-kigoma --model parish-assistant
    """
    from hollyring.experiments import demo
    from hollyring.experiments import load_generator as loads

    seconds, callers = min(seconds, 600.0), min(callers, 200)
    outcomes: list[loads.Outcome] = []

    async def run_caller(index: int, deadline: float) -> None:
        client = loads.Client()
        prompts = loads.PromptGenerator(random.Random(f"{seed}-{index}"))
        caller = loads.Caller(organisation, key, list(entries))
        while time.monotonic() < deadline:
            caller.entries = await client.fetch_entries(caller.entries)
            outcomes.append(
                await client.complete(caller, model, prompts.next_prompt(), 40, stream=True)
            )
        await client.close()

    async def run() -> None:
        async with anyio.create_task_group() as group:
            for index in range(callers):
                group.start_soon(run_caller, index, time.monotonic() + seconds)

    anyio.run(run)
    report = {
        "requests": len(outcomes),
        "complete": sum(outcome.complete for outcome in outcomes),
        "wrong": sum(outcome.complete and not outcome.correct for outcome in outcomes),
        "first_token": demo.quantiles([outcome.first_token for outcome in outcomes]),
        "codes": sorted({outcome.code for outcome in outcomes if outcome.code}),
    }
    click.echo(json.dumps(report, indent=None if as_json else 2))


@click.command()
@click.option("--seconds", default=15.0, show_default=True, help="Duration of the traffic.")
@click.option("--base-port", default=0, help="First port; 0 selects free ports.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def demo(seconds: float, base_port: int, as_json: bool) -> None:
    """Run a deployment on loopback, kill a VM and an inference server, and print a report.

    Starts nine VMs in three failure domains, six inference servers, a cache store, three
    servers of an order service and the platform's service, each as a separate process.

    Exit status 1: a guarantee was violated.

    Example: hollyring demo --seconds 20
    """
    from hollyring.experiments import demo as demos
    from hollyring.experiments import launcher

    def report_progress(sentence: str) -> None:
        click.echo(f"demo: {sentence}", err=True)

    root = pathlib.Path(__file__).parents[2]
    sys.path.insert(0, str(root / "examples"))
    import bohari

    base = base_port or launcher.free_base_port()
    document = bohari.declare(base).document
    folder = pathlib.Path(tempfile.mkdtemp(prefix="hollyring-demo-"))
    port = base + launcher.PLATFORM_PORT_OFFSET
    report = anyio.run(demos.run, document, folder, port, seconds, report_progress)
    if as_json:
        click.echo(msgspec.json.encode(report))
    else:
        click.echo(demos.render(report))
    if not report.promises_kept:
        raise SystemExit(EXIT_FAILURE)
