"""Table and plots of placement policies by load."""

from __future__ import annotations

import dataclasses
import json
import pathlib

from hollyring.experiments import routing_report

LOADS = (0.3, 0.6, 0.9, 1.2)
"""Loads as fractions of the capacity."""

METRICS = {
    "hit_rate": "prefix hit rate",
    "p99": "p99 time to first token, s",
    "wasted_tokens": "recomputed tokens that the reference cache held",
    "worst_p95": "p95 time to first token of the worst-served organisation, s",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """Result of one policy at one load."""

    policy: str
    load: float
    summary: routing_report.Summary


def write(points: list[Point], plan: dict[str, object], folder: pathlib.Path) -> None:
    """Write ``routing-sweep.json``, ``.md`` and ``.svg`` into `folder`."""
    folder.mkdir(parents=True, exist_ok=True)
    report = {"plan": plan, "points": [dataclasses.asdict(point) for point in points]}
    (folder / "routing-sweep.json").write_text(json.dumps(report, indent=1) + "\n")
    (folder / "routing-sweep.md").write_text(table(points))
    plot(points, folder / "routing-sweep.svg")


def table(points: list[Point]) -> str:
    """Return the results as a Markdown table."""
    lines = [
        "| load | policy | requests | hit rate | p50 s | p95 s | p99 s | wasted tokens "
        "| worst p95 s | refused | unfinished |",
        "|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for point in points:
        summary = point.summary
        lines.append(
            f"| {point.load:.0%} | {point.policy} | {summary.requests} | {summary.hit_rate:.3f} "
            f"| {summary.p50:.2f} | {summary.p95:.2f} | {summary.p99:.2f} "
            f"| {summary.wasted_tokens} | {summary.worst_p95:.2f} "
            f"| {summary.refused} | {summary.failed} |"
        )
    return "\n".join(lines) + "\n"


def plot(points: list[Point], path: pathlib.Path) -> None:
    """Plot each metric against the load as SVG, with one line per policy."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(10, 7), layout="constrained")
    for axis, (field, label) in zip(axes.flat, METRICS.items(), strict=True):
        for policy in dict.fromkeys(point.policy for point in points):
            policy_points = [point for point in points if point.policy == policy]
            loads = [100 * point.load for point in policy_points]
            values = [getattr(point.summary, field) for point in policy_points]
            axis.plot(loads, values, marker="o", label=policy)
        axis.set_xlabel("load, % of capacity")
        axis.set_title(label, fontsize=9)
        axis.grid(alpha=0.3)
        if field != "hit_rate":
            axis.set_yscale("symlog")
    axes.flat[0].legend()
    figure.savefig(path, format="svg", metadata={"Date": None})
    pyplot.close(figure)
