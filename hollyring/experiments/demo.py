"""Demonstration: a deployment under traffic, two killed processes and a check of the promises."""

from __future__ import annotations

import collections
import dataclasses
import math
import pathlib
import random
import signal
import time
from collections.abc import Callable

import anyio

from hollyring.configuration import documents, objects
from hollyring.experiments import launcher, load_generator, promise_checks

SEED = 7
OUTPUT_TOKENS = 40
CALLERS = 12
MAX_PAUSE_SECONDS = 0.1
SETTLE_SECONDS = 3.0
KILL_VM_FRACTION = 0.3
KILL_ENGINE_FRACTION = 0.5
"""Fractions of the run after which a VM and an inference server are killed."""

ORDERS_PATH = "/orders"

ReportProgress = Callable[[str], None]


@dataclasses.dataclass(slots=True)
class Report:
    """Results of a run.

    Parameters
    ----------
    first_token
        Seconds until the first token, by quantile.
    hit_rate
        Fraction of all prompt tokens that were cached, from 0 to 1.
    retried
        Number of requests with more than one attempt.
    refused
        Number of requests by error code or name of a connection error.
    processes
        Number of processes of the deployment.
    """

    requests: int = 0
    complete: int = 0
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    retried: int = 0
    hit_rate: float = 0.0
    first_token: dict[str, float] = dataclasses.field(default_factory=dict)
    processes: int = 0
    promises: list[promise_checks.Promise] = dataclasses.field(default_factory=list)

    @property
    def promises_kept(self) -> bool:
        """Whether all promises were kept."""
        return not any(promise.violations for promise in self.promises)


async def run(
    document: documents.Document,
    folder: pathlib.Path,
    platform_port: int,
    seconds: float,
    report_progress: ReportProgress,
) -> Report:
    """Run the demonstration and return its report."""
    fleet = launcher.Fleet(document, folder, platform_port, launcher.EngineOptions(speed=4.0))
    try:
        report_progress(f"starting {len(fleet.programs)} processes; logs are in {folder}")
        await fleet.start_all()
        await anyio.sleep(SETTLE_SECONDS)
        return await _run_traffic(fleet, seconds, report_progress)
    finally:
        fleet.stop()


async def _run_traffic(
    fleet: launcher.Fleet, seconds: float, report_progress: ReportProgress
) -> Report:
    outcomes: list[load_generator.Outcome] = []
    deadline = time.monotonic() + seconds
    report_progress(f"sending chats, streams and orders for {seconds:g} s")
    async with anyio.create_task_group() as group:
        for number in range(CALLERS):
            group.start_soon(_run_caller, fleet, number, deadline, outcomes)
        await anyio.sleep(seconds * KILL_VM_FRACTION)
        vm_name = fleet.vms[0].name
        report_progress(f"killing {vm_name}")
        fleet.signal(vm_name, signal.SIGKILL)
        await anyio.sleep(seconds * (KILL_ENGINE_FRACTION - KILL_VM_FRACTION))
        engine = next(u.name for u in fleet.upstreams if u.kind == "engine")
        report_progress(f"killing {engine}")
        fleet.signal(engine, signal.SIGKILL)
    return await _create_report(fleet, outcomes)


async def _run_caller(
    fleet: launcher.Fleet,
    number: int,
    deadline: float,
    outcomes: list[load_generator.Outcome],
) -> None:
    """Send requests sequentially until the deadline."""
    rng = random.Random(f"{SEED}-{number}")
    names = [item.name for item in fleet.document.objects if isinstance(item, objects.Organisation)]
    organisation = names[number % len(names)]
    model = next(item.name for item in fleet.document.objects if isinstance(item, objects.Model))
    entries = [vm.caller_address for vm in fleet.vms]
    caller = load_generator.Caller(organisation, f"demo-key-{organisation}", entries)
    prompts = load_generator.PromptGenerator(rng)
    client = load_generator.Client()
    counter = 0
    while time.monotonic() < deadline:
        counter += 1
        caller.entries = await client.fetch_entries(caller.entries)
        match counter % 3:
            case 0:
                order_id = f"order-{number}-{counter}"
                outcomes.append(await client.send_order(caller, ORDERS_PATH, order_id))
                outcomes.append(await client.send_order(caller, ORDERS_PATH, order_id))
            case kind:
                outcomes.append(
                    await client.complete(
                        caller, model, prompts.next_prompt(), OUTPUT_TOKENS, stream=kind == 1
                    )
                )
        await anyio.sleep(MAX_PAUSE_SECONDS * rng.random())
    await client.close()


async def _create_report(fleet: launcher.Fleet, outcomes: list[load_generator.Outcome]) -> Report:
    report = Report(requests=len(outcomes), processes=len(fleet.programs))
    report.complete = sum(outcome.complete for outcome in outcomes)
    report.refused = dict(collections.Counter(o.code for o in outcomes if o.code))
    report.retried = sum(outcome.attempts > 1 for outcome in outcomes)
    prompt_tokens = sum(outcome.prompt_tokens for outcome in outcomes)
    cached_tokens = sum(outcome.cached_tokens for outcome in outcomes)
    report.hit_rate = cached_tokens / prompt_tokens if prompt_tokens else 0.0
    report.first_token = quantiles([o.first_token for o in outcomes])
    records = await promise_checks.read_upstream_records(fleet)
    report.promises = promise_checks.check_promises(
        outcomes, records
    ) + await promise_checks.read_invariants(fleet)
    return report


def quantiles(seconds: list[float]) -> dict[str, float]:
    """Return p50, p95 and p99 of `seconds` without NaN values; empty if there are no others."""
    measured = sorted(value for value in seconds if not math.isnan(value))
    if not measured:
        return {}
    last = len(measured) - 1
    return {
        f"p{q}": measured[min(last, math.ceil(q / 100 * len(measured)) - 1)] for q in (50, 95, 99)
    }


def render(report: Report) -> str:
    """Return the report as text for a terminal."""
    lines = [
        f"processes         {report.processes}",
        f"requests          {report.requests}",
        f"complete          {report.complete}",
        f"retried elsewhere {report.retried}",
        f"refused           {report.refused or 'none'}",
        f"hit rate          {report.hit_rate:.3f}",
    ]
    lines += [f"first token {q:<5} {seconds:.3f} s" for q, seconds in report.first_token.items()]
    lines.append("")
    lines.append(f"{'trials':>8} {'broken':>7}  promise")
    lines += [f"{p.trials:>8} {p.violations:>7}  {p.name}" for p in report.promises]
    return "\n".join(lines)
