"""Fault matrix over real processes: single faults and pairs of faults under traffic.

A cell starts mixed traffic (chats, streams and orders, each order sent twice), injects its faults
during the traffic, heals them, waits until the fleet serves again, and checks all promises
against the records of callers and upstreams.
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

CALLER_COUNT = 6
TRAFFIC_SECONDS = 3.0
INJECT_AT_SECONDS = 0.6
HEAL_AT_SECONDS = 2.0
OUTPUT_TOKENS = 30
RESPONSE_TIMEOUT_SECONDS = 4.0
"""Time without data after which a caller tries the next VM."""

RECOVERY_TIMEOUT_SECONDS = 60.0
"""Time limit to inject a fault, to heal it, and for the fleet to serve again.

A timeout fails the run.
"""

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
"""Faults by their names in the matrix."""


@dataclasses.dataclass(slots=True)
class Cell:
    """A cell of the matrix with its results.

    Parameters
    ----------
    names
        Names of the faults; keys of `FAULTS`.
    requests, complete
        Numbers of all requests and of complete responses.
    promises
        Checked promises.
    recovery_seconds
        Seconds from healing until all VMs serve requests.
    """

    names: tuple[str, ...]
    requests: int = 0
    complete: int = 0
    promises: list[promise_checks.Promise] = dataclasses.field(default_factory=list)
    recovery_seconds: float = 0.0

    @property
    def broken(self) -> list[promise_checks.Promise]:
        """Promises with violations."""
        return promise_checks.broken(self.promises)


def create_fleet(base: int, folder: pathlib.Path) -> launcher.Fleet:
    """Return the fleet of the matrix without starting it."""
    document = small_deployment.document(base, VMS, ENGINES, SERVICES)
    options = launcher.EngineOptions(speed=8.0, cache_idle=2_400.0)
    return launcher.Fleet(document, folder, base + launcher.PLATFORM_PORT_OFFSET, options)


def target(name: str) -> str:
    """Return the name of the process that a fault affects, or ``"configuration"``."""
    match FAULTS[name]:
        case faults.SubmissionRace() | faults.WithdrawKeys():
            return "configuration"
        case fault:
            return fault.name


def are_compatible(names: tuple[str, ...]) -> bool:
    """Return whether faults can be combined, i.e. each of them has a different target."""
    return len({target(name) for name in names}) == len(names)


def _injection_rank(name: str) -> int:
    """Return the sort key for the injection of a fault.

    Faults that are injected through the platform or a control port come first, as they can't be
    injected into a process that another fault has stopped.
    """
    match FAULTS[name]:
        case faults.SubmissionRace() | faults.WithdrawKeys():
            return 0
        case faults.StandInFault():
            return 1
        case _:
            return 2


async def run_cell(fleet: launcher.Fleet, names: tuple[str, ...], seed: int) -> Cell:
    """Run a cell on a fleet that serves requests; the fleet serves again afterwards."""
    cell = Cell(names)
    names = tuple(sorted(names, key=_injection_rank))
    outcomes: list[load_generator.Outcome] = []
    await wait_until_serving(fleet)
    deadline = time.monotonic() + TRAFFIC_SECONDS
    async with anyio.create_task_group() as group:
        for number in range(CALLER_COUNT):
            group.start_soon(
                _run_caller, fleet, f"{seed}-{'+'.join(names)}-{number}", deadline, outcomes
            )
        await anyio.sleep(INJECT_AT_SECONDS)
        for name in names:
            with anyio.fail_after(RECOVERY_TIMEOUT_SECONDS):
                await faults.inject(fleet, FAULTS[name])
        await anyio.sleep(HEAL_AT_SECONDS - INJECT_AT_SECONDS)
        for name in reversed(names):
            with anyio.fail_after(RECOVERY_TIMEOUT_SECONDS):
                await faults.heal(fleet, FAULTS[name])
    healed_at = time.monotonic()
    await wait_until_serving(fleet)
    cell.recovery_seconds = time.monotonic() - healed_at
    cell.requests = len(outcomes)
    cell.complete = sum(outcome.complete for outcome in outcomes)
    cell.promises = promise_checks.check_promises(
        outcomes, await promise_checks.read_upstream_records(fleet)
    )
    cell.promises += await promise_checks.read_invariants(fleet)
    return cell


async def wait_until_serving(fleet: launcher.Fleet) -> None:
    """Wait until each VM completes a chat and an order.

    Raises
    ------
    TimeoutError
        If this takes more than `RECOVERY_TIMEOUT_SECONDS`.
    """
    with anyio.fail_after(RECOVERY_TIMEOUT_SECONDS):
        for vm in fleet.vms:
            client = load_generator.Client(RESPONSE_TIMEOUT_SECONDS)
            caller = load_generator.Caller(
                small_deployment.ORGANISATION, small_deployment.KEY, [vm.caller_address]
            )
            while not (
                await client.complete(caller, small_deployment.MODEL, "?", 1, stream=True)
            ).complete:
                await anyio.sleep(0.1)
            while not (
                await client.send_order(caller, "/orders", _unique_order_id(vm.name))
            ).complete:
                await anyio.sleep(0.1)
            await client.close()


def _unique_order_id(name: str) -> str:
    return f"{name}-{time.monotonic_ns()}"


async def _run_caller(
    fleet: launcher.Fleet, seed: str, deadline: float, outcomes: list[load_generator.Outcome]
) -> None:
    rng = random.Random(seed)
    client = load_generator.Client(RESPONSE_TIMEOUT_SECONDS)
    entries = [vm.caller_address for vm in fleet.vms]
    rng.shuffle(entries)
    caller = load_generator.Caller(small_deployment.ORGANISATION, small_deployment.KEY, entries)
    prompts = load_generator.PromptGenerator(rng, documents=4, subjects=3, document_bytes=12_000)
    for counter in itertools.count():
        if time.monotonic() >= deadline:
            break
        match counter % 3:
            case 0:
                order_id = _unique_order_id(seed)
                outcomes.append(await client.send_order(caller, "/orders", order_id))
                caller.entries.append(caller.entries.pop(0))
                outcomes.append(await client.send_order(caller, "/orders", order_id))
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
        await anyio.sleep(0.02 * rng.random())
    await client.close()


def render(cells: list[Cell], write: Callable[[str], None]) -> None:
    """Write the matrix as a Markdown table."""
    write("| faults | requests | complete | checks | broken | serves again after |\n")
    write("|---|---|---|---|---|---|\n")
    for cell in cells:
        trials = sum(promise.trials for promise in cell.promises)
        broken = "; ".join(f"{p.name}: {p.violations} {p.detail}" for p in cell.broken) or "none"
        write(
            f"| {' + '.join(cell.names)} | {cell.requests} | {cell.complete} | {trials} | {broken} "
            f"| {cell.recovery_seconds:.1f} s |\n"
        )


async def _run_cells(fault_sets: list[tuple[str, ...]], seed: int) -> list[Cell]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="hollyring-matrix-"))
    fleet = create_fleet(launcher.free_base_port(), folder)
    cells = []
    try:
        await fleet.start_all()
        for names in fault_sets:
            cells.append(await run_cell(fleet, names, seed))
            click.echo(f"{' + '.join(names)}: {len(cells[-1].broken)} broken", err=True)
        return cells
    finally:
        fleet.stop()


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the traffic.")
@click.option("--pairs", default=0, show_default=True, help="Number of random pairs to add.")
@click.option("--out", type=click.Path(path_type=pathlib.Path), help="File for the table.")
def matrix(seed: int, pairs: int, out: pathlib.Path | None) -> None:
    """Run the fault matrix over real processes and print it as a table.

    Exit status 1 means that a promise was broken.

    Example: hollyring experiment matrix --pairs 20 --out docs/fault-matrix.md
    """
    singles = [(name,) for name in FAULTS]
    all_pairs = [names for names in itertools.combinations(FAULTS, 2) if are_compatible(names)]
    sampled = random.Random(seed).sample(all_pairs, min(pairs, len(all_pairs)))
    cells = anyio.run(_run_cells, [*singles, *sampled], seed)
    text: list[str] = [f"# Fault matrix\n\nMade by `hollyring experiment matrix --seed {seed} "]
    text.append(f"--pairs {pairs}`.\n\n")
    render(cells, text.append)
    click.echo("".join(text))
    if out is not None:
        out.write_text("".join(text))
    if any(cell.broken for cell in cells):
        raise SystemExit(1)
