"""Randomised fault injection into the membership protocol and the lease client."""

from __future__ import annotations

import dataclasses
import random

import click
import msgspec

from hollyring.experiments import lease_simulation, membership_simulation

QUIET_SECONDS = 90.0
"""Time without faults after which the membership of all running VMs must agree."""

FAULT_PROBABILITY = 0.02
MAX_PAUSE_SECONDS = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of one randomised run."""

    seed: int
    vms: int
    steps: int
    faults: int
    seconds: float
    messages: int
    disagreements: list[str]
    promises: dict[str, dict[str, object]]


def run(seed: int, vms: int, steps: int, regions: int = 1) -> Report:
    """Run a fleet with faults of every kind, then without faults until it converges.

    The seed VMs, whose addresses every VM gets at its start, are started before the time without
    faults if they are down: two VMs that started while all seed VMs were down have no means of
    discovering each other.

    Raises
    ------
    InvariantError
        If an invariant is violated.
    """
    rng = random.Random(seed)
    fleet = membership_simulation.Fleet(vms, seed, regions=regions)
    faults = 0
    for _ in range(steps):
        fleet.step()
        if rng.random() < FAULT_PROBABILITY:
            faults += 1
            _inject_fault(fleet, rng, vms)
    fleet.conditions = membership_simulation.NetworkConditions()
    for vm in fleet.seeds:
        if not fleet.is_running(vm):
            fleet.start(vm)
    fleet.run(MAX_PAUSE_SECONDS + QUIET_SECONDS)
    disagreements = fleet.disagreements()
    fleet.checks.check("all_agree_after_quiet", not disagreements, "; ".join(disagreements[:3]))
    return Report(
        seed,
        vms,
        steps,
        faults,
        round(fleet.now, 1),
        fleet.messages,
        disagreements,
        fleet.checks.dump(),
    )


def _inject_fault(fleet: membership_simulation.Fleet, rng: random.Random, vms: int) -> None:
    conditions = fleet.conditions
    vm = rng.randrange(vms)
    match rng.randrange(8):
        case 0:
            conditions.loss_rate = rng.choice([0.0, 0.0, 0.05, 0.3])
        case 1:
            conditions.duplication_rate = rng.choice([0.0, 0.2])
        case 2:
            conditions.jitter_seconds = rng.choice([0.0, 0.2, 2.0])
        case 3:
            other = rng.randrange(vms)
            one, two = fleet.profile(vm), fleet.profile(other)
            pairs = [(one.region, two.region), (one.failure_domain, two.failure_domain)]
            conditions.partitioned.add(frozenset(rng.choice([*pairs, (one.name, two.name)])))
        case 4:
            conditions.partitioned.clear()
        case 5:
            fleet.pause(vm, rng.random() * MAX_PAUSE_SECONDS)
        case 6:
            fleet.crash(vm)
        case 7:
            fleet.start(vm)


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of seeds, one run each.")
@click.option("--vms", default=9, show_default=True, help="Number of VMs.")
@click.option("--regions", default=1, show_default=True, help="Number of regions of the VMs.")
@click.option("--steps", default=100_000, show_default=True, help="Steps of each run.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def membership(seed: int, seeds: int, vms: int, regions: int, steps: int, as_json: bool) -> None:
    """Check that VMs agree on the membership, and that a lease never has two holders.

    Example: hollyring experiment membership --seed 7 --vms 9 --steps 100000
    """
    for number in range(seed, seed + seeds):
        report = run(number, vms, steps, regions)
        lease_report = lease_simulation.run(number, steps)
        if as_json:
            both = {"membership": report, "leases": lease_report}
            click.echo(msgspec.json.encode(both).decode())
            continue
        click.echo(f"membership: {report}")
        click.echo(f"leases: {lease_report}")
