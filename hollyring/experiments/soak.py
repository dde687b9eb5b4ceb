"""Soak test over real processes: traffic and random faults, with checks of all promises."""

from __future__ import annotations

import operator
import pathlib
import random
import tempfile
import time

import anyio
import click

from hollyring.experiments import launcher, matrix, promise_checks

MAX_MINUTES = 60.0
EXIT_BROKEN = 1


async def _run_cells(seconds: float, seed: int) -> tuple[list[matrix.Cell], int]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="hollyring-soak-"))
    fleet = matrix.create_fleet(launcher.free_base_port(), folder)
    rng = random.Random(seed)
    cells: list[matrix.Cell] = []
    deadline = time.monotonic() + seconds
    try:
        await fleet.start_all()
        while time.monotonic() < deadline:
            names = _draw_faults(rng)
            cells.append(await matrix.run_cell(fleet, names, rng.getrandbits(32)))
            last = cells[-1]
            click.echo(
                f"{len(cells)}: {' + '.join(last.names)}: {last.complete}/{last.requests} complete,"
                f" {len(last.broken)} promises broken",
                err=True,
            )
        return cells, sum(fleet.is_running(name) for name in fleet.programs)
    finally:
        fleet.stop()


def _draw_faults(rng: random.Random) -> tuple[str, ...]:
    while True:
        names = tuple(rng.sample(sorted(matrix.FAULTS), rng.choice((1, 1, 2, 3))))
        if matrix.are_compatible(names):
            return names


@click.command()
@click.option(
    "--minutes", default=10.0, show_default=True, help=f"Duration, at most {MAX_MINUTES:g}."
)
@click.option("--seed", default=1, show_default=True, help="Seed of faults and traffic.")
def soak(minutes: float, seed: int) -> None:
    """Inject random faults under traffic and print trials and violations per promise.

    Exit status 1 means that a promise was broken.

    Example: hollyring experiment soak --minutes 10 --seed 3
    """
    cells, running = anyio.run(_run_cells, min(minutes, MAX_MINUTES) * 60.0, seed)
    requests = sum(cell.requests for cell in cells)
    complete = sum(cell.complete for cell in cells)
    click.echo(f"{len(cells)} cells, {requests} requests, {complete} complete, {running} processes")
    click.echo(f"{'trials':>9} {'broken':>7}  promise")
    for promise in totals(cells):
        click.echo(f"{promise.trials:>9} {promise.violations:>7}  {promise.name} {promise.detail}")
    if any(cell.broken for cell in cells):
        raise SystemExit(EXIT_BROKEN)


def totals(cells: list[matrix.Cell]) -> list[promise_checks.Promise]:
    """Return each promise with its trials and violations summed over all cells.

    Counts since the start of the processes contribute their maximum instead. As a restarted
    process counts from zero, these totals are lower bounds.
    """
    by_name: dict[str, promise_checks.Promise] = {}
    for cell in cells:
        for promise in cell.promises:
            before = by_name.get(promise.name, promise_checks.Promise(promise.name, 0, 0))
            combine = max if promise.since_start else operator.add
            by_name[promise.name] = promise_checks.Promise(
                promise.name,
                combine(before.trials, promise.trials),
                combine(before.violations, promise.violations),
                promise.detail or before.detail,
            )
    return list(by_name.values())
