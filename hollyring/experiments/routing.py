"""Comparison of placement policies with real VM processes and inference server stand-ins."""

from __future__ import annotations

import dataclasses
import json
import math
import pathlib
import tempfile
import time

import anyio
import click
import httpcore
import msgspec

from hollyring import declaration
from hollyring.configuration import objects
from hollyring.core import prompt_blocks
from hollyring.experiments import (
    launcher,
    load_generator,
    routing_report,
    routing_sweep,
    routing_workload,
)
from hollyring.routing import policies, prefix

REGION = "experiment"
FAILURE_DOMAINS = 3
CALLER_PORT_OFFSET, PEER_PORT_OFFSET, ADMIN_PORT_OFFSET, ENGINE_PORT_OFFSET = 0, 100, 200, 300
"""Offsets of the ports of VMs and inference servers from the fleet's base port."""

RATE_TOKENS = 1e8
BURST_TOKENS = 1_000_000_000
"""Burst of each organisation; the rate and the burst are too large to justify any refusal."""

FIRST_PORT = 28_000
"""First port to try: above those of the examples, below those of outgoing connections."""

SETTLE_SECONDS = 3.0
DRAIN_SECONDS = 60.0
CRASH_TIME_SHARE = 0.7
"""Fraction of the run after which one inference server restarts with an empty cache."""

EVENT_LOSS_INTERVAL_SECONDS = 2.0
"""Time from one lost cache event of an inference server to the next."""

CACHE_IDLE_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Size and traffic of a comparison.

    Parameters
    ----------
    workload, seed
        Name of the workload and seed of its requests, which are the same for all policies.
    rate, seconds
        Requests per second and duration of each policy's run.
    vms, engines
        Number of VM processes and of inference server stand-ins.
    speed
        Factor by which the inference servers compute faster, and keep idle blocks for a shorter
        time, than their settings say.
    cache_blocks
        Capacity of an inference server's cache in blocks.
    crash, event_loss
        Whether an inference server restarts, and whether cache events are lost.
    """

    workload: str = "bohari"
    seed: int = 1
    rate: float = 8.0
    seconds: float = 45.0
    vms: int = 3
    engines: int = 6
    speed: float = 2.0
    cache_blocks: int = 400
    crash: bool = True
    event_loss: bool = True


DEFAULT_PLAN = Plan()


def declare(plan: Plan, base_port: int) -> declaration.Deployment:
    """Return the deployment for a comparison."""
    workload = routing_workload.WORKLOADS[plan.workload]
    deployment = declaration.deployment(plan.workload)
    for number in range(len(workload.organisation_shares)):
        name = f"{workload.name}-{number + 1}"
        deployment.organisation(name, rate=RATE_TOKENS, burst=BURST_TOKENS)
        deployment.key(name, f"{name}-key", secret=f"demo-key-{name}")
    deployment.model(routing_workload.MODEL, version=routing_workload.VERSION)
    for number in range(plan.vms):
        ports = [
            f"127.0.0.1:{base_port + offset + number}"
            for offset in (CALLER_PORT_OFFSET, PEER_PORT_OFFSET, ADMIN_PORT_OFFSET)
        ]
        deployment.vm(f"vm-{number}", REGION, f"domain-{number % FAILURE_DOMAINS}", *ports)
    for number in range(plan.engines):
        deployment.upstream(
            f"engine-{number}",
            "engine",
            f"http://127.0.0.1:{base_port + ENGINE_PORT_OFFSET + number}",
            REGION,
            f"domain-{number % FAILURE_DOMAINS}",
            models=[routing_workload.MODEL],
            checks_fencing=True,
        )
    return deployment


class ReferenceCache:
    """Cache of unlimited size, indexed without delay: the upper bound for cached tokens.

    A block counts as cached from the first token of a request that contains it until it has been
    unused for the idle time of the inference servers, whose restarts are ignored.

    Parameters
    ----------
    idle_seconds
        Time after which an unused block is evicted.
    """

    __slots__ = ("_idle_seconds", "_used_at")

    def __init__(self, idle_seconds: float) -> None:
        self._idle_seconds = idle_seconds
        self._used_at: dict[int, float] = {}

    def cached_blocks(self, hashes: tuple[int, ...], now: float) -> int:
        """Return the number of leading blocks that are cached at `now`."""
        for count, block_hash in enumerate(hashes):
            if now - self._used_at.get(block_hash, -math.inf) > self._idle_seconds:
                return count
        return len(hashes)

    def store(self, hashes: tuple[int, ...], now: float) -> None:
        """Cache all blocks of a chain."""
        for block_hash in hashes:
            self._used_at[block_hash] = now


@dataclasses.dataclass(slots=True)
class _SentRequest:
    arrival: routing_workload.Arrival
    hashes: tuple[int, ...]
    sent_at: float
    outcome: load_generator.Outcome


async def compare(plan: Plan, policy_names: list[str]) -> dict[str, routing_report.Summary]:
    """Run the policies one after the other with the same traffic."""
    return {name: await run(plan, name) for name in policy_names}


async def run(plan: Plan, policy: str) -> routing_report.Summary:
    """Run one policy on a new fleet."""
    base_port = launcher.free_base_port(FIRST_PORT)
    options = launcher.EngineOptions(
        speed=plan.speed, cache_blocks=plan.cache_blocks, cache_idle=CACHE_IDLE_SECONDS
    )
    with tempfile.TemporaryDirectory() as folder:
        fleet = launcher.Fleet(
            declare(plan, base_port).document,
            pathlib.Path(folder),
            base_port + launcher.PLATFORM_PORT_OFFSET,
            options,
            {"policy": policy},
        )
        try:
            await fleet.start_all()
            await anyio.sleep(SETTLE_SECONDS)
            sent = await _send_workload(plan, fleet)
            lookups, violations = await _read_counters(fleet)
        finally:
            fleet.stop()
    return dataclasses.replace(_summarise(plan, sent), lookups=lookups, violations=violations)


async def _send_workload(plan: Plan, fleet: launcher.Fleet) -> list[_SentRequest]:
    sent: list[_SentRequest] = []
    client = load_generator.Client()
    entries = [vm.caller_address for vm in fleet.vms]
    workload = routing_workload.WORKLOADS[plan.workload]
    arrivals = list(routing_workload.arrivals(workload, plan.rate, plan.seconds, plan.seed))
    started_at = time.monotonic()
    with anyio.move_on_after(plan.seconds + DRAIN_SECONDS):
        async with anyio.create_task_group() as group:
            group.start_soon(_inject_faults, plan, fleet)
            for number, arrival in enumerate(arrivals):
                await anyio.sleep(max(0.0, started_at + arrival.at - time.monotonic()))
                first = number % len(entries)
                rotated = entries[first:] + entries[:first]
                group.start_soon(_send, client, rotated, arrival, started_at, sent)
    await client.close()
    return sent


async def _send(
    client: load_generator.Client,
    entries: list[str],
    arrival: routing_workload.Arrival,
    started_at: float,
    sent: list[_SentRequest],
) -> None:
    caller = load_generator.Caller(
        arrival.organisation, f"demo-key-{arrival.organisation}", entries
    )
    text = arrival.prompt.decode()
    rendered = prompt_blocks.render([{"role": "user", "content": text}])
    model, version = routing_workload.MODEL, routing_workload.VERSION
    hashes = prefix.chain(arrival.organisation, model, version, rendered).hashes
    request = _SentRequest(
        arrival, hashes, time.monotonic() - started_at, load_generator.Outcome("stream", "")
    )
    sent.append(request)
    request.outcome = await client.complete(caller, model, text, arrival.answer_tokens, stream=True)


async def _inject_faults(plan: Plan, fleet: launcher.Fleet) -> None:
    """Drop cache events throughout the run, and restart one inference server."""
    engines = [upstream for upstream in fleet.upstreams if upstream.kind == "engine"]
    crash_at = plan.seconds * CRASH_TIME_SHARE if plan.crash else math.inf
    started_at = time.monotonic()
    crashed = False
    async with httpcore.AsyncConnectionPool() as pool:
        while (elapsed := time.monotonic() - started_at) < plan.seconds:
            if elapsed >= crash_at and not crashed:
                crashed = True
                await _request_fault(pool, fleet, engines[0], "restart")
            if plan.event_loss:
                for engine in engines:
                    await _request_fault(pool, fleet, engine, "event_loss")
            await anyio.sleep(EVENT_LOSS_INTERVAL_SECONDS)


async def _request_fault(
    pool: httpcore.AsyncConnectionPool,
    fleet: launcher.Fleet,
    engine: objects.Upstream,
    kind: str,
) -> None:
    content = msgspec.json.encode({"kind": kind, "count": 1})
    await pool.request("POST", f"{fleet.control_url(engine.name)}/faults", content=content)


async def _read_counters(fleet: launcher.Fleet) -> tuple[int, int]:
    """Return the VMs' total numbers of lookups and of invariant violations."""
    lookups = violations = 0
    async with httpcore.AsyncConnectionPool() as pool:
        for vm in fleet.vms:
            response = await pool.request("GET", f"http://{vm.admin_address}/state")
            state = msgspec.json.decode(response.content)
            lookups += state["routing"]["counters"]["lookups"]
            violations += sum(each["violations"] for each in state["invariants"].values())
    return lookups, violations


def _summarise(plan: Plan, sent: list[_SentRequest]) -> routing_report.Summary:
    tally = routing_report.Tally()
    reference = ReferenceCache(CACHE_IDLE_SECONDS / plan.speed)
    events = []
    for request in sent:
        events.append((request.sent_at, 0, request))
        if not math.isnan(request.outcome.first_token):
            events.append((request.sent_at + request.outcome.first_token, 1, request))
    events.sort(key=lambda event: event[:2])
    reference_blocks: dict[int, int] = {}
    for now, kind, request in events:
        if kind == 0:
            reference_blocks[id(request)] = reference.cached_blocks(request.hashes, now)
            continue
        reference.store(request.hashes, now)
    for request in sent:
        outcome = request.outcome
        if not outcome.complete:
            tally.refused += bool(outcome.code)
            tally.failed += not outcome.code
            continue
        tally.wrong += not outcome.correct
        reference_tokens = reference_blocks[id(request)] * prompt_blocks.BLOCK_TOKENS
        wasted = max(0, reference_tokens - outcome.cached_tokens)
        tally.reference_tokens += max(reference_tokens, outcome.cached_tokens)
        tally.add(
            request.arrival.organisation,
            outcome.first_token,
            outcome.prompt_tokens,
            outcome.cached_tokens,
            wasted,
        )
    return tally.summary()


@click.command()
@click.option(
    "--policies",
    "names",
    default=",".join(policies.BY_NAME),
    show_default=True,
    help="Compared.",
)
@click.option("--seed", default=1, show_default=True, help="Seed of the traffic.")
@click.option(
    "--workload",
    type=click.Choice(sorted(routing_workload.WORKLOADS)),
    default="bohari",
    show_default=True,
    help="Workload to send.",
)
@click.option("--rate", default=DEFAULT_PLAN.rate, show_default=True, help="Requests per second.")
@click.option(
    "--seconds", default=DEFAULT_PLAN.seconds, show_default=True, help="Duration of each run."
)
@click.option("--vms", default=DEFAULT_PLAN.vms, show_default=True, help="Number of VMs.")
@click.option(
    "--engines",
    default=DEFAULT_PLAN.engines,
    show_default=True,
    help="Number of inference servers.",
)
@click.option(
    "--speed",
    default=DEFAULT_PLAN.speed,
    show_default=True,
    help="Speed factor of the inference servers.",
)
@click.option(
    "--sweep",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Measure loads from 30% to 120% of --rate; write a table and plots into this folder.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def routing(
    names: str,
    seed: int,
    workload: str,
    rate: float,
    seconds: float,
    vms: int,
    engines: int,
    speed: float,
    sweep: pathlib.Path | None,
    as_json: bool,
) -> None:
    """Compare placement policies with the same traffic on real VMs and inference server stand-ins.

    With --sweep, --rate stands for 100 % of the capacity.

    Example: hollyring experiment routing --policies prefix,least_loaded --seed 1 --json
    """
    selected = names.split(",")
    unknown = sorted(set(selected) - set(policies.BY_NAME))
    if unknown:
        raise click.BadParameter(f"unknown: {', '.join(unknown)}", param_hint="--policies")
    plan = Plan(workload, seed, rate, seconds, vms, engines, speed)
    if sweep is None:
        _print(anyio.run(compare, plan, selected), plan, as_json)
        return
    points = []
    for load_share in routing_sweep.LOADS:
        summaries = anyio.run(compare, dataclasses.replace(plan, rate=rate * load_share), selected)
        points += [
            routing_sweep.Point(name, load_share, summary) for name, summary in summaries.items()
        ]
    routing_sweep.write(points, dataclasses.asdict(plan), sweep)


def _print(summaries: dict[str, routing_report.Summary], plan: Plan, as_json: bool) -> None:
    results = {name: dataclasses.asdict(summary) for name, summary in summaries.items()}
    if as_json:
        click.echo(json.dumps({"plan": dataclasses.asdict(plan), "policies": results}, indent=2))
        return
    for name, summary in results.items():
        click.echo(name + "".join(f"\n  {key}: {value}" for key, value in summary.items()))
