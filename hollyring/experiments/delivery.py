"""Exhaustive and randomised simulation of at-most-once execution."""

from __future__ import annotations

import dataclasses
import enum
import pickle
import random
from collections.abc import Iterator

import click
import msgspec

from hollyring.experiments import delivery_simulation

IGNORED_ATTRIBUTES = {
    "_counters",
    "_invariants",
    "_replies",
    "_failures",
    "_due",
    "_last_put",
    "outcomes",
}
"""Attributes that only count or time, excluded from the comparison of states."""

MAX_IN_FLIGHT = 60
"""Number of messages in flight above which a random run only delivers messages."""

MAX_PENDING = 30
"""Number of attempts without a reply above which a random run begins no further attempt."""

FAULT_PROBABILITY = 0.08
RETRY_PROBABILITY = 0.6
CHANGED_BODY_PROBABILITY = 0.05
MAX_RECENT_ATTEMPTS = 12
"""Number of attempts from which a retry is drawn."""


@dataclasses.dataclass(slots=True)
class Explored:
    """Result of an exhaustive run.

    Parameters
    ----------
    states
        States visited.
    ends
        States without a further step.
    unanswered
        Ends in which an attempt has no reply.
    """

    states: int = 0
    ends: int = 0
    unanswered: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SearchNode:
    """A state to expand: the pickled simulation, the faults left and the attempts begun."""

    simulation: bytes
    faults: int
    begun: int


def freeze(value: object) -> object:
    """Return a hashable form of a simulation, without attributes that only count or time."""
    match value:
        case list() | tuple():
            return tuple(freeze(one) for one in value)
        case dict():
            return frozenset((key, freeze(one)) for key, one in value.items())
        case str() | bytes() | int() | float() | None | enum.Enum():
            return value
    names = getattr(type(value), "__slots__", None) or sorted(vars(value))
    fields = (freeze(getattr(value, name)) for name in names if name not in IGNORED_ATTRIBUTES)
    return (type(value).__name__, *fields)


def explore(
    attempts: list[delivery_simulation.Attempt],
    vms: int = 2,
    faults: int = 1,
    max_head_records: int = 256,
    max_states: int = 10_000_000,
) -> Explored:
    """Visit every state that is reachable by any order of messages with up to `faults` faults.

    Parameters
    ----------
    attempts
        Attempts of the caller, begun in this order, each at any time and on any VM.
    vms
        Number of VMs.
    faults
        Maximum number of faults in one sequence of steps.
    max_head_records
        Number of records after which a claim log starts a segment.
    max_states
        Number of states after which the search ends.

    Raises
    ------
    InvariantError
        If an invariant is violated in any state.
    """
    explored = Explored()
    seen: set[int] = set()
    start = delivery_simulation.Simulation(vms, max_head_records)
    stack = [SearchNode(pickle.dumps(start), faults, 0)]
    while stack and explored.states < max_states:
        node = stack.pop()
        explored.states += 1
        children = list(_expand(node, attempts, vms))
        if not children:
            _count_end(explored, node, attempts)
        for simulation, faults_left, begun in children:
            fingerprint = hash((freeze(simulation), faults_left, begun))
            if fingerprint not in seen:
                seen.add(fingerprint)
                stack.append(SearchNode(pickle.dumps(simulation), faults_left, begun))
    return explored


def _expand(
    node: SearchNode, attempts: list[delivery_simulation.Attempt], vms: int
) -> Iterator[tuple[delivery_simulation.Simulation, int, int]]:
    current = pickle.loads(node.simulation)
    if node.begun < len(attempts):
        for vm in range(vms if node.begun else 1):
            simulation = pickle.loads(node.simulation)
            simulation.begin(node.begun, attempts[node.begun], vm)
            yield simulation, node.faults, node.begun + 1
    for choice in current.steps():
        simulation = pickle.loads(node.simulation)
        simulation.apply(choice)
        yield simulation, node.faults, node.begun
    for choice in current.faults() if node.faults else ():
        simulation = pickle.loads(node.simulation)
        simulation.apply(choice)
        yield simulation, node.faults - 1, node.begun


def _count_end(
    explored: Explored, node: SearchNode, attempts: list[delivery_simulation.Attempt]
) -> None:
    explored.ends += 1
    if pickle.loads(node.simulation).pending:
        explored.unanswered += 1


def run(seed: int, vms: int, steps: int) -> delivery_simulation.Simulation:
    """Run a simulation by random choices: many keys, retries and faults of every kind.

    Raises
    ------
    InvariantError
        If an invariant is violated.
    """
    rng = random.Random(seed)
    simulation = delivery_simulation.Simulation(vms, max_head_records=4)
    recent: list[delivery_simulation.Attempt] = []
    begun = 0
    for step in range(steps):
        simulation.now += rng.expovariate(100.0)
        if len(simulation.in_flight) > MAX_IN_FLIGHT:
            simulation.apply(delivery_simulation.Deliver(rng.randrange(len(simulation.in_flight))))
            continue
        choices = simulation.faults() if rng.random() < FAULT_PROBABILITY else simulation.steps()
        if choices and (rng.random() < 0.9 or len(simulation.pending) > MAX_PENDING):
            simulation.apply(rng.choice(choices))
            continue
        if len(simulation.pending) > MAX_PENDING:
            continue
        attempt = _draw_attempt(rng, recent, step)
        simulation.begin(begun, attempt, rng.randrange(vms))
        begun += 1
    return simulation


def _draw_attempt(
    rng: random.Random, recent: list[delivery_simulation.Attempt], step: int
) -> delivery_simulation.Attempt:
    if recent and rng.random() < RETRY_PROBABILITY:
        earlier = rng.choice(recent)
        if rng.random() < CHANGED_BODY_PROBABILITY:
            return dataclasses.replace(earlier, body=b"other")
        return earlier
    attempt = delivery_simulation.Attempt(rng.randbytes(16), b"body-%d" % step)
    recent.append(attempt)
    del recent[:-MAX_RECENT_ATTEMPTS]
    return attempt


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of seeds, one run each.")
@click.option("--vms", default=9, show_default=True, help="Number of VMs.")
@click.option("--steps", default=100_000, show_default=True, help="Steps of each run.")
@click.option(
    "--faults",
    default=0,
    help="Search all sequences of steps with up to this many faults, on at most 2 VMs, "
    "instead of random runs.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def delivery(seed: int, seeds: int, vms: int, steps: int, faults: int, as_json: bool) -> None:
    """Check that no non-idempotent call runs twice and that each "not run" reply is true.

    Example: hollyring experiment delivery --seed 7 --vms 9 --steps 100000
    """
    if faults:
        order = delivery_simulation.Attempt(b"k" * 16, b"order")
        explored = explore([order, order], vms=min(vms, 2), faults=faults)
        _print(dataclasses.asdict(explored), as_json)
        return
    for number in range(seed, seed + seeds):
        simulation = run(number, vms, steps)
        report = {
            "seed": number,
            "outcomes": simulation.outcomes,
            "executions": simulation.executions,
        }
        _print({**report, "promises": simulation.checks}, as_json)


def _print(report: dict[str, object], as_json: bool) -> None:
    if as_json:
        click.echo(msgspec.json.encode(report).decode())
        return
    for name, value in report.items():
        click.echo(f"{name}: {value}")
