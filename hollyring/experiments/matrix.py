"""The fault matrix over real processes: each fault alone, twice, and in pairs, under traffic.

A cell starts mixed traffic (chats, streams and orders, each order sent twice), injects its faults
part of the way through, heals them, waits until the fleet serves again, and holds all promises
against the judge's books.
"""

from __future__ import annotations

import dataclasses
import itertools
import pathlib
import random
import tempfile
import time
from collections.abc import Callable

import anyio
import click

from hollyring.experiments import faults, launcher, load_generator, promise_checks, small_deployment

CALLERS = 6
TRAFFIC_SECONDS = 3.0
STRIKE_AT = 0.6
HEAL_AT = 2.0
OUTPUT_TOKENS = 30
PATIENCE_SECONDS = 4.0
"""A caller gives a silent VM up after this time."""

SERVE_SECONDS = 60.0
"""A healed fleet that does not serve within this time is broken."""

VMS, ENGINES, SERVICES = 3, 3, 2

FAULTS: dict[str, faults.Fault] = {
    "engine killed": faults.Kill("engine-0"),
    "engine restarts empty": faults.StandInFault("engine-1", "restart"),
    "engine cuts streams": faults.StandInFault("engine-1", "cut", value=3),
    "engine refuses": faults.StandInFault("engine-2", "refuse"),
    "engine frozen": faults.Freeze("engine-2"),
    "engine slow": faults.StandInFault("engine-0", "slow", value=10),
    "engine leaves": faults.StandInFault("engine-0", "leaving"),
    "cache events lost": faults.StandInFault("engine-1", "event_loss"),
    "VM killed": faults.Kill("vm-0"),
    "VM frozen": faults.Freeze("vm-1"),
    "VM leaves": faults.Terminate("vm-2"),
    "platform down": faults.StandInFault("platform", "outage"),
    "platform hangs": faults.StandInFault("platform", "outage", mode="hang"),
    "platform slow": faults.StandInFault("platform", "slow", value=0.5),
    "platform loses answers": faults.StandInFault("platform", "lost_answer"),
    "platform over its rate": faults.StandInFault("platform", "limit"),
    "service loses answers": faults.StandInFault("orders-0", "lost_answer"),
    "service answers late": faults.StandInFault("orders-0", "late_answer", value=1.0),
    "service cuts connections": faults.StandInFault("orders-1", "cut"),
    "service killed": faults.Kill("orders-1"),
    "operators race": faults.SubmissionRace(),
    "key withdrawn": faults.WithdrawKeys(small_deployment.ORGANISATION),
}
"""Faults of the brief by the names that the matrix gives them."""


@dataclasses.dataclass(slots=True)
class Cell:
    """One cell of the matrix and what came of it.

    Parameters
    ----------
    names
        Names of the faults, in `FAULTS`.
    promises
        What was held against the books.
    recovery_seconds
        From healing until a request was complete.
    """

    names: tuple[str, ...]
    requests: int = 0
    complete: int = 0
    promises: list[promise_checks.Promise] = dataclasses.field(default_factory=list)
    recovery_seconds: float = 0.0

    @property
    def broken(self) -> list[promise_checks.Promise]:
        """The promises that were broken."""
        return promise_checks.broken(self.promises)


def create_fleet(base: int, folder: pathlib.Path) -> launcher.Fleet:
    """Return the matrix's fleet, not yet started."""
    document = small_deployment.document(base, VMS, ENGINES, SERVICES)
    options = launcher.EngineOptions(speed=8.0, cache_idle=2_400.0)
    return launcher.Fleet(document, folder, base + launcher.PLATFORM_PORT_OFFSET, options)


def target(name: str) -> str:
    """Return the process that a fault strikes, or ``"configuration"``."""
    match FAULTS[name]:
        case faults.SubmissionRace() | faults.WithdrawKeys():
            return "configuration"
        case fault:
            return fault.name


def compatible(names: tuple[str, ...]) -> bool:
    """Tell whether faults can strike together: each needs a process of its own."""
    return len({target(name) for name in names}) == len(names)


def _order(name: str) -> int:
    """Return when a fault strikes: what needs an answer comes before what takes answers away."""
    match FAULTS[name]:
        case faults.SubmissionRace() | faults.WithdrawKeys():
            return 0
        case faults.StandInFault():
            return 1
        case _:
            return 2


async def run_cell(fleet: launcher.Fleet, names: tuple[str, ...], seed: int) -> Cell:
    """Run one cell on a fleet that serves, and leave it serving."""
    cell = Cell(names)
    names = tuple(sorted(names, key=_order))
    outcomes: list[load_generator.Outcome] = []
    await wait_until_serving(fleet)
    ends = time.monotonic() + TRAFFIC_SECONDS
    async with anyio.create_task_group() as group:
        for number in range(CALLERS):
            group.start_soon(_caller, fleet, f"{seed}-{'+'.join(names)}-{number}", ends, outcomes)
        await anyio.sleep(STRIKE_AT)
        for name in names:
            with anyio.fail_after(SERVE_SECONDS):
                await faults.inject(fleet, FAULTS[name])
        await anyio.sleep(HEAL_AT - STRIKE_AT)
        for name in reversed(names):
            with anyio.fail_after(SERVE_SECONDS):
                await faults.heal(fleet, FAULTS[name])
    healed = time.monotonic()
    await wait_until_serving(fleet)
    cell.recovery_seconds = time.monotonic() - healed
    cell.requests = len(outcomes)
    cell.complete = sum(outcome.complete for outcome in outcomes)
    cell.promises = promise_checks.check_promises(
        outcomes, await promise_checks.read_upstream_records(fleet)
    )
    cell.promises += await promise_checks.read_invariants(fleet)
    return cell


async def wait_until_serving(fleet: launcher.Fleet) -> None:
    """Return once every VM completes a chat and an order.

    Raises
    ------
    TimeoutError
        If that takes more than `SERVE_SECONDS`.
    """
    with anyio.fail_after(SERVE_SECONDS):
        for vm in fleet.vms:
            client = load_generator.Client(PATIENCE_SECONDS)
            caller = load_generator.Caller(
                small_deployment.ORGANISATION, small_deployment.KEY, [vm.caller_address]
            )
            while not (
                await client.complete(caller, small_deployment.MODEL, "?", 1, stream=True)
            ).complete:
                await anyio.sleep(0.1)
            while not (await client.order(caller, "/orders", _fresh(vm.name))).complete:
                await anyio.sleep(0.1)
            await client.close()


def _fresh(name: str) -> str:
    return f"{name}-{time.monotonic_ns()}"


async def _caller(
    fleet: launcher.Fleet, seed: str, ends: float, outcomes: list[load_generator.Outcome]
) -> None:
    draw = random.Random(seed)
    client = load_generator.Client(PATIENCE_SECONDS)
    entries = [vm.caller_address for vm in fleet.vms]
    draw.shuffle(entries)
    caller = load_generator.Caller(small_deployment.ORGANISATION, small_deployment.KEY, entries)
    prompts = load_generator.PromptGenerator(draw, documents=4, parishes=3, document_bytes=12_000)
    for counter in itertools.count():
        if time.monotonic() >= ends:
            break
        match counter % 3:
            case 0:
                order = _fresh(seed)
                outcomes.append(await client.order(caller, "/orders", order))
                caller.entries.append(caller.entries.pop(0))
                outcomes.append(await client.order(caller, "/orders", order))
            case kind:
                outcomes.append(
                    await client.complete(
                        caller,
                        small_deployment.MODEL,
                        prompts.next_prompt(),
                        OUTPUT_TOKENS,
                        stream=kind == 1,
                    )
                )
        await anyio.sleep(0.02 * draw.random())
    await client.close()


def render(rows: list[Cell], write: Callable[[str], None]) -> None:
    """Write the matrix as a table."""
    write("| faults | requests | complete | checks | broken | serves again after |\n")
    write("|---|---|---|---|---|---|\n")
    for row in rows:
        trials = sum(promise.trials for promise in row.promises)
        broken = "; ".join(f"{p.name}: {p.violations} {p.detail}" for p in row.broken) or "none"
        write(
            f"| {' + '.join(row.names)} | {row.requests} | {row.complete} | {trials} | {broken} "
            f"| {row.recovery_seconds:.1f} s |\n"
        )


async def _run(chosen: list[tuple[str, ...]], seed: int) -> list[Cell]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="hollyring-matrix-"))
    fleet = create_fleet(launcher.free_base_port(), folder)
    rows = []
    try:
        await fleet.start_all()
        for names in chosen:
            rows.append(await run_cell(fleet, names, seed))
            click.echo(f"{' + '.join(names)}: {len(rows[-1].broken)} broken", err=True)
        return rows
    finally:
        fleet.stop()


@click.command()
@click.option("--seed", default=1, show_default=True, help="Of the traffic.")
@click.option("--pairs", default=0, show_default=True, help="Pairs to draw besides single faults.")
@click.option("--out", type=click.Path(path_type=pathlib.Path), help="Write the table here.")
def matrix(seed: int, pairs: int, out: pathlib.Path | None) -> None:
    """Run the fault matrix over real processes and print it as a table.

    Exit status 1 means that a promise was broken.

    Example: hollyring experiment matrix --pairs 20 --out docs/fault-matrix.md
    """
    singles = [(name,) for name in FAULTS]
    every = [names for names in itertools.combinations(FAULTS, 2) if compatible(names)]
    drawn = random.Random(seed).sample(every, min(pairs, len(every)))
    rows = anyio.run(_run, [*singles, *drawn], seed)
    text: list[str] = [f"# Fault matrix\n\nMade by `hollyring experiment matrix --seed {seed} "]
    text.append(f"--pairs {pairs}`.\n\n")
    render(rows, text.append)
    click.echo("".join(text))
    if out is not None:
        out.write_text("".join(text))
    if any(row.broken for row in rows):
        raise SystemExit(1)
