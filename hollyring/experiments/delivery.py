"""Exhaustive and randomised runs of the at-most-once machinery."""

from __future__ import annotations

import dataclasses
import enum
import pickle
import random
from collections.abc import Iterator

import click
import msgspec

from hollyring.experiments import delivery_simulation

SKIPPED = {"_counters", "_promises", "_replies", "_failures", "_due", "_last_put", "outcomes"}
MAX_FLIGHTS = 60
MAX_WAITING = 30
FAULT_SHARE = 0.08
REPEAT_SHARE = 0.6
BODY_SHARE = 0.05
RECENT_KEYS = 12


@dataclasses.dataclass(slots=True)
class Explored:
    """What an exhaustive run visited."""

    states: int = 0
    ends: int = 0
    unanswered: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """A state still to be expanded: the world, faults left and attempts begun."""

    world: bytes
    faults: int
    begun: int


def freeze(value: object) -> object:
    """Return a hashable picture of a world, without what only counts or times."""
    match value:
        case list() | tuple():
            return tuple(freeze(one) for one in value)
        case dict():
            return frozenset((key, freeze(one)) for key, one in value.items())
        case str() | bytes() | int() | float() | None | enum.Enum():
            return value
    names = getattr(type(value), "__slots__", None) or sorted(vars(value))
    fields = (freeze(getattr(value, name)) for name in names if name not in SKIPPED)
    return (type(value).__name__, *fields)


def explore(
    attempts: list[delivery_simulation.Attempt],
    vms: int = 2,
    faults: int = 1,
    seal_records: int = 256,
    most_states: int = 10_000_000,
) -> Explored:
    """Visit every state that any order of messages and up to `faults` faults can reach.

    Parameters
    ----------
    attempts
        What the caller sends, each to any VM at any time, in this order.
    vms
        Number of VMs.
    faults
        Most faults in one history.
    seal_records
        Records after which a claim log starts a segment.
    most_states
        States after which to give up.

    Raises
    ------
    InvariantError
        If a promise is broken in any of them.
    """
    explored = Explored()
    seen: set[int] = set()
    start = delivery_simulation.World(vms, seal_records)
    stack = [Node(pickle.dumps(start), faults, 0)]
    while stack and explored.states < most_states:
        node = stack.pop()
        explored.states += 1
        children = list(_expand(node, attempts, vms))
        if not children:
            _end(explored, node, attempts)
        for world, left, begun in children:
            picture = hash((freeze(world), left, begun))
            if picture not in seen:
                seen.add(picture)
                stack.append(Node(pickle.dumps(world), left, begun))
    return explored


def _expand(
    node: Node, attempts: list[delivery_simulation.Attempt], vms: int
) -> Iterator[tuple[delivery_simulation.World, int, int]]:
    present = pickle.loads(node.world)
    if node.begun < len(attempts):
        for vm in range(vms if node.begun else 1):
            world = pickle.loads(node.world)
            world.begin(node.begun, attempts[node.begun], vm)
            yield world, node.faults, node.begun + 1
    for choice in present.steps():
        world = pickle.loads(node.world)
        world.do(choice)
        yield world, node.faults, node.begun
    for choice in present.faults() if node.faults else ():
        world = pickle.loads(node.world)
        world.do(choice)
        yield world, node.faults - 1, node.begun


def _end(explored: Explored, node: Node, attempts: list[delivery_simulation.Attempt]) -> None:
    explored.ends += 1
    if pickle.loads(node.world).waiting:
        explored.unanswered += 1


def run(seed: int, vms: int, steps: int) -> delivery_simulation.World:
    """Drive a world by seeded choices: many keys, repeats, faults of every kind.

    Raises
    ------
    InvariantError
        If a promise is broken.
    """
    source = random.Random(seed)
    world = delivery_simulation.World(vms, seal_records=4)
    recent: list[delivery_simulation.Attempt] = []
    begun = 0
    for step in range(steps):
        world.now += source.expovariate(100.0)
        if len(world.flights) > MAX_FLIGHTS:
            world.do(delivery_simulation.Deliver(source.randrange(len(world.flights))))
            continue
        choices = world.faults() if source.random() < FAULT_SHARE else world.steps()
        if choices and (source.random() < 0.9 or len(world.waiting) > MAX_WAITING):
            world.do(source.choice(choices))
            continue
        if len(world.waiting) > MAX_WAITING:
            continue
        attempt = _attempt(source, recent, step)
        world.begin(begun, attempt, source.randrange(vms))
        begun += 1
    return world


def _attempt(
    source: random.Random, recent: list[delivery_simulation.Attempt], step: int
) -> delivery_simulation.Attempt:
    if recent and source.random() < REPEAT_SHARE:
        earlier = source.choice(recent)
        if source.random() < BODY_SHARE:
            return dataclasses.replace(earlier, body=b"other")
        return earlier
    attempt = delivery_simulation.Attempt(source.randbytes(16), b"body-%d" % step)
    recent.append(attempt)
    del recent[:-RECENT_KEYS]
    return attempt


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of seeds, one run each.")
@click.option("--vms", default=9, show_default=True, help="Number of VMs.")
@click.option("--steps", default=100_000, show_default=True, help="Steps of each run.")
@click.option("--faults", default=0, help="Visit every history with up to this many faults.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def delivery(seed: int, seeds: int, vms: int, steps: int, faults: int, as_json: bool) -> None:
    """Check that no non-idempotent call runs twice and that each "not run" is true.

    Example: hollyring experiment delivery --seed 7 --vms 9 --steps 100000
    """
    if faults:
        order = delivery_simulation.Attempt(b"k" * 16, b"order")
        explored = explore([order, order], vms=min(vms, 2), faults=faults)
        _print(dataclasses.asdict(explored), as_json)
        return
    for number in range(seed, seed + seeds):
        world = run(number, vms, steps)
        report = {"seed": number, "outcomes": world.outcomes, "executions": world.executions}
        _print({**report, "promises": world.checks}, as_json)


def _print(report: dict[str, object], as_json: bool) -> None:
    if as_json:
        click.echo(msgspec.json.encode(report).decode())
        return
    for name, value in report.items():
        click.echo(f"{name}: {value}")
