"""Comparison of routing variants by simulation, printed as a table."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import click

from hollyring.experiments import routing_report, routing_simulation, routing_workload
from hollyring.routing import policies

HEADER = (
    "| workload | requests/s | variant | hit rate | p50 s | p95 s | p99 s | wasted tokens "
    "| worst p95 s | lookup bytes/request |\n|---|---|---|---|---|---|---|---|---|---|"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Variant:
    """A placement policy and its sources of routing information.

    Parameters
    ----------
    name
        Name in the table.
    policy
        The placement policy.
    lookups, index_enabled, perfect_index
        See `hollyring.experiments.routing_simulation.Settings`.
    """

    name: str
    policy: policies.Policy
    lookups: bool = True
    index_enabled: bool = True
    perfect_index: bool = False


VARIANTS = (
    Variant("prefix", policies.Prefix()),
    Variant("prefix, no lookups", policies.Prefix(), lookups=False),
    Variant("prefix, no index", policies.Prefix(), index_enabled=False),
    Variant("prefix, own memory only", policies.Prefix(), lookups=False, index_enabled=False),
    Variant("prefix, told the truth", policies.Prefix(), perfect_index=True),
    Variant("hash_only", policies.HashOnly()),
    Variant("least_loaded", policies.LeastLoaded()),
    Variant("round_robin", policies.RoundRobin()),
)


def run_variant(
    variant: Variant, workload: str, rate: float, seeds: range, seconds: float = 120.0
) -> list[routing_report.Summary]:
    """Simulate one variant with each seed."""
    settings = routing_simulation.Settings(
        rate=rate,
        seconds=seconds,
        lookups=variant.lookups,
        index_enabled=variant.index_enabled,
        perfect_index=variant.perfect_index,
    )
    traffic = routing_workload.WORKLOADS[workload]
    return [
        routing_simulation.Simulation(variant.policy, traffic, settings, seed).run().summary()
        for seed in seeds
    ]


def row(
    variant: Variant, workload: str, rate: float, summaries: list[routing_report.Summary]
) -> str:
    """Return a row of the table, with means over the seeds."""

    def mean(value: Callable[[routing_report.Summary], float]) -> float:
        return sum(map(value, summaries)) / len(summaries)

    return (
        f"| {workload} | {rate:g} | {variant.name} | {mean(lambda s: s.hit_rate):.3f} "
        f"| {mean(lambda s: s.p50):.2f} | {mean(lambda s: s.p95):.2f} "
        f"| {mean(lambda s: s.p99):.2f} | {mean(lambda s: s.wasted_tokens):.0f} "
        f"| {mean(lambda s: s.worst_p95):.2f} "
        f"| {mean(lambda s: s.control_bytes / max(1, s.requests)):.0f} |"
    )


@click.command("routing-replay")
@click.option("--workload", "workloads", multiple=True, default=tuple(routing_workload.WORKLOADS))
@click.option("--rate", "rates", multiple=True, type=float, default=(4.0, 7.0), show_default=True)
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=3, show_default=True, help="Number of seeds to average over.")
def routing_variants(
    workloads: tuple[str, ...], rates: tuple[float, ...], seed: int, seeds: int
) -> None:
    """Simulate the routing decisions of nine VMs with simulated caches and prefill queues.

    Example: hollyring experiment routing-replay --workload bohari --rate 4 --seeds 3
    """
    click.echo(HEADER)
    for workload in workloads:
        for rate in rates:
            for variant in VARIANTS:
                summaries = run_variant(variant, workload, rate, range(seed, seed + seeds))
                click.echo(row(variant, workload, rate, summaries))
