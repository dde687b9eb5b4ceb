"""Randomised simulation of rollouts under faults that checks the rollout's invariants."""

from __future__ import annotations

import dataclasses
import sys

import click
import msgspec

from hollyring.core import invariants
from hollyring.experiments import rollout_scaling, rollout_simulation
from hollyring.fleet import rollout_limits

CONVERGENCE_SECONDS = 600.0
"""Time limit of convergence without faults; 30 s are added per upstream."""


@dataclasses.dataclass(slots=True)
class Report:
    """Result of one run.

    Parameters
    ----------
    seed, upstreams, steps
        Arguments of the run.
    violations
        Number of violations of all invariants.
    converged
        Whether all upstreams finally served their declared targets.
    settle_seconds
        Simulated time from the last fault until convergence or the time limit.
    counts
        Number of events by kind.
    invariants
        Checks and violations by invariant; ``true_`` marks those checked against the simulated
        upstreams.
    """

    seed: int
    upstreams: int
    steps: int
    violations: int
    converged: bool
    settle_seconds: float
    counts: dict[str, int]
    invariants: dict[str, dict[str, object]]


def limits_for_seed(seed: int) -> rollout_limits.RolloutLimits:
    """Return limits that vary with the seed.

    If one time limit were always longer than another, it could hide that the shorter one is not
    observed.
    """
    return rollout_limits.RolloutLimits(
        weights_concurrency=2 + seed % 2,
        weights_seconds=(4.0, 12.0)[seed // 2 % 2],
        lease_seconds=5.0,
        delivery_timeout_seconds=(2.0, 5.0)[seed // 4 % 2],
        report_lag_seconds=(0.5, 3.0)[seed // 8 % 2],
    )


def run(
    seed: int,
    upstreams: int,
    steps: int,
    strict: bool = False,
    faults: rollout_simulation.FaultProbabilities | None = None,
) -> Report:
    """Simulate `steps` ticks with faults, then ticks without faults until the fleet converges.

    Parameters
    ----------
    seed
        Seed of all random choices.
    upstreams
        Number of upstreams.
    steps
        Number of ticks with faults.
    strict
        Raise on the first violation of an invariant.
    faults
        Probabilities of the faults, or None for the defaults.
    """
    counter = invariants.Invariants(strict)
    probabilities = faults or rollout_simulation.FaultProbabilities()
    simulation = rollout_simulation.Simulation(
        seed, upstreams, limits_for_seed(seed), probabilities, counter
    )
    simulation.declare_versions()
    for _ in range(steps):
        simulation.step()
    simulation.faults = rollout_simulation.NO_FAULTS
    faults_ended_at = simulation.now
    while (
        not simulation.converged
        and simulation.now < faults_ended_at + CONVERGENCE_SECONDS + 30 * upstreams
    ):
        simulation.step()
    return Report(
        seed,
        upstreams,
        steps,
        counter.violations,
        simulation.converged,
        simulation.now - faults_ended_at,
        dict(simulation.counts),
        counter.dump(),
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--upstreams", default=6, show_default=True)
@click.option("--steps", default=2000, show_default=True, help="Ticks of 0.25 s with faults.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
@click.option("--slopes", is_flag=True, help="Print costs per upstream as JSON instead.")
def rollout(seed: int, upstreams: int, steps: int, as_json: bool, slopes: bool) -> None:
    """Roll out versions, adapters and roles while lease holders and upstreams fail.

    Exits with status 1 if an invariant was violated or the fleet did not converge afterwards.

    Example: hollyring experiment rollout --seed 7 --upstreams 9 --json
    """
    if slopes:
        click.echo(msgspec.json.format(msgspec.json.encode(rollout_scaling.measure())))
        return
    report = run(seed, upstreams, steps)
    if as_json:
        click.echo(msgspec.json.encode(report))
    else:
        click.echo(f"violations {report.violations}, converged {report.converged}")
        for name, count in sorted(report.counts.items()):
            click.echo(f"  {name} {count}")
    sys.exit(int(report.violations > 0 or not report.converged))
