"""A long run over real processes: traffic and random faults, held against the judge's books."""

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


async def _run(seconds: float, seed: int) -> tuple[list[matrix.Cell], int]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="hollyring-soak-"))
    fleet = matrix.create_fleet(launcher.free_base_port(), folder)
    draw = random.Random(seed)
    rows: list[matrix.Cell] = []
    ends = time.monotonic() + seconds
    try:
        await fleet.start_all()
        while time.monotonic() < ends:
            names = _draw(draw)
            rows.append(await matrix.run_cell(fleet, names, draw.getrandbits(32)))
            last = rows[-1]
            click.echo(
                f"{len(rows)}: {' + '.join(last.names)}: {last.complete}/{last.requests} complete, "
                f"{len(last.broken)} promises broken",
                err=True,
            )
        return rows, sum(fleet.is_running(name) for name in fleet.programs)
    finally:
        fleet.stop()


def _draw(draw: random.Random) -> tuple[str, ...]:
    while True:
        names = tuple(draw.sample(sorted(matrix.FAULTS), draw.choice((1, 1, 2, 3))))
        if matrix.compatible(names):
            return names


@click.command()
@click.option("--minutes", default=10.0, show_default=True, help=f"At most {MAX_MINUTES:g}.")
@click.option("--seed", default=1, show_default=True, help="Of faults and traffic.")
def soak(minutes: float, seed: int) -> None:
    """Run random faults under traffic for a while and print trials and violations per promise.

    Exit status 1 means that a promise was broken.

    Example: hollyring experiment soak --minutes 10 --seed 3
    """
    rows, running = anyio.run(_run, min(minutes, MAX_MINUTES) * 60.0, seed)
    requests = sum(row.requests for row in rows)
    complete = sum(row.complete for row in rows)
    click.echo(f"{len(rows)} cells, {requests} requests, {complete} complete, {running} processes")
    click.echo(f"{'trials':>9} {'broken':>7}  promise")
    for promise in totals(rows):
        click.echo(f"{promise.trials:>9} {promise.violations:>7}  {promise.name} {promise.detail}")
    if any(row.broken for row in rows):
        raise SystemExit(EXIT_BROKEN)


def totals(rows: list[matrix.Cell]) -> list[promise_checks.Promise]:
    """Return each promise with its trials and violations over all cells.

    Counts that are of everything since the start enter by their largest value; a restarted
    process begins them anew, so they are lower bounds.
    """
    summed: dict[str, promise_checks.Promise] = {}
    for row in rows:
        for promise in row.promises:
            before = summed.get(promise.name, promise_checks.Promise(promise.name, 0, 0))
            add = max if promise.since_start else operator.add
            summed[promise.name] = promise_checks.Promise(
                promise.name,
                add(before.trials, promise.trials),
                add(before.violations, promise.violations),
                promise.detail or before.detail,
            )
    return list(summed.values())
