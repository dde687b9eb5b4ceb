"""Writes docs/CAPACITY.md from the measured files: `hollyring experiment capacity`."""

from __future__ import annotations

import pathlib

import click

from hollyring.experiments import capacity_model

BYTES_UNIT = "KB/s, both directions, TCP/IP headers included"


def page(measurements: capacity_model.Measurements) -> str:
    """Return the text of docs/CAPACITY.md."""
    costs = capacity_model.component_costs(measurements)
    counted = [cost for cost in costs if cost.counted]
    totals = (
        sum(cost.processor_ms for cost in counted),
        sum(cost.memory_mb for cost in counted),
        sum(cost.bytes_per_second for cost in counted),
    )
    parts = [
        _summary(costs, totals, measurements),
        _table(costs, totals),
        _store_calls(measurements),
    ]
    parts += [_propagation(measurements), _daily_load(measurements), _sources(measurements)]
    return "\n".join(parts)


def _verdict(name: str, value: float, budget: float, unit: str) -> str:
    if value <= budget:
        return f"- {name}: {value:.1f} of {budget:g} {unit}: fits."
    return f"- **{name}: {value:.1f} of {budget:g} {unit}: does not fit, by {value - budget:.1f}.**"


def _summary(
    costs: list[capacity_model.ComponentCost],
    totals: tuple[float, float, float],
    measurements: capacity_model.Measurements,
) -> str:
    claims = next(cost for cost in costs if cost.name.startswith("claims"))
    index = next(cost for cost in costs if cost.name == "cache index")
    claim = measurements.load("delivery-claims.json")["logs"][-1]
    limits = next(cost for cost in costs if cost.name == "limits")
    entry = next(cost for cost in costs if cost.name == "entry and routing")
    missing = ", ".join(sorted(set(measurements.missing))) or "none"
    written_kb = claims.bytes_per_second / capacity_model.KILOBYTE
    return f"""# Capacity at the two-year size

Made by `bin/hollyring experiment capacity` from the files in `docs/measurements`; not edited by
hand. Per VM, control only, against 4.9% of a core, 64 MB and 5 KB/s:

{_verdict("processor", totals[0], capacity_model.PROCESSOR_BUDGET_MS, "ms/s")}
{_verdict("memory", totals[1], capacity_model.MEMORY_BUDGET_MB, "MB, libraries included")}
{_verdict("bytes", totals[2] / capacity_model.KILOBYTE, capacity_model.BYTES_PER_SECOND_BUDGET / capacity_model.KILOBYTE, BYTES_UNIT)}

What does not fit, and what would:

- **Cache events.** {index.bytes_per_second / capacity_model.KILOBYTE:.1f} KB/s of the sum are the engines' own
  events ({capacity_model.EVENT_BYTES_PER_BLOCK} bytes a block in their JSON stream). They cannot be made smaller from this
  side of the protocol. Eight bytes a block would take
  {capacity_model.EVENTS_PER_SECOND / capacity_model.VMS * 8 / capacity_model.KILOBYTE:.1f} KB/s. The other way is to hear only a part of the
  upstreams' events: own dispatches and the cached tokens that each answer reports carry most of
  the hit rate (`docs/design/routing.md`).
- **Claims of non-idempotent calls**, if {capacity_model.CLAIMED_SHARE:.0%} of the requests are such (the users
  give no figure): a writer of one of {capacity_model.CLAIM_GROUPS} groups would hold
  {claims.memory_mb:,.0f} MB and write {written_kb:,.0f} KB/s, kept for
  {capacity_model.CLAIM_RETENTION_SECONDS / 3600:.0f} h. More groups spread it ({capacity_model.VMS} groups:
  {claims.memory_mb * capacity_model.CLAIM_GROUPS / capacity_model.VMS:,.0f} MB each), a shorter retention shrinks it in proportion,
  and claims kept in their stored form take {claim["stored_bytes_per_claim"]:.0f} bytes in place of
  {claim["memory_bytes_per_claim"]:.0f}. Today's size is far below. Claims are left out of the sums above.
- **Limits.** {limits.bytes_per_second / capacity_model.KILOBYTE:.1f} KB/s, of which the messages themselves
  are the smaller part: the rest is TCP/IP and frame headers, one set for each message. Fewer
  holders for a small organisation (it now has 9, and asks several of them for one request) and
  messages to one VM gathered into one segment would take most of it away; neither is built. A
  trial of 90 machines and 4,700 organisations sent 32 messages/s with 3 holders against 63 with
  9, and refused no more; but then a death costs a third of an organisation's rate until the VM is
  back, in place of a ninth.
- **Look-ups** of the router, {entry.bytes_per_second / capacity_model.KILOBYTE:.1f} KB/s, rest on an assumed
  part of the decisions. The replays of `docs/design/routing.md` kept them under 1.5 KB/s.
- **The idle process's processor time** is the least certain figure: it is extrapolated tenfold
  from fleets of up to 36 real processes.
- Files not measured yet: {missing}.
"""


def _table(costs: list[capacity_model.ComponentCost], totals: tuple[float, float, float]) -> str:
    lines = [
        "## Per role and VM\n",
        "| role | state | messages | processor ms/s | memory MB | bytes/s | mechanism | from |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for cost in costs:
        name = cost.name if cost.counted else f"{cost.name} (not in the sum)"
        lines.append(
            f"| {name} | {cost.state} | {cost.messages} | {cost.processor_ms:.2f} "
            f"| {cost.memory_mb:.2f} | {cost.bytes_per_second:,.0f} | {cost.mechanism} "
            f"| {cost.source} |"
        )
    lines.append(
        f"| **sum of control** | | | **{totals[0]:.1f}** of {capacity_model.PROCESSOR_BUDGET_MS:g} "
        f"| **{totals[1]:.1f}** of {capacity_model.MEMORY_BUDGET_MB:g} | **{totals[2]:,.0f}** of "
        f"{capacity_model.BYTES_PER_SECOND_BUDGET:,.0f} | | |"
    )
    note = (
        "\nThe idle process already spends what configuration and membership spend idle; they are "
        "counted twice, so the sum errs upwards.\n"
    )
    return "\n".join(lines) + "\n" + note


def _store_calls(measurements: capacity_model.Measurements) -> str:
    largest = measurements.load("configuration-slopes.json")["by_organisations"][-1]
    changes = capacity_model.CHANGES_PER_DAY / capacity_model.DAY_SECONDS
    watches = (
        capacity_model.VMS / capacity_model.WATCH_INTERVAL_SECONDS + capacity_model.VMS * changes
    )
    checks = capacity_model.VMS / capacity_model.VERIFY_INTERVAL_SECONDS
    lists = capacity_model.VMS / capacity_model.LIST_INTERVAL_SECONDS
    claims = min(
        capacity_model.REQUESTS_PER_SECOND * capacity_model.CLAIMED_SHARE,
        capacity_model.CLAIM_GROUPS * 5.0,
    )
    start_reads = largest["segments"] + 2 + 100
    restart_reads = capacity_model.RESTARTS_PER_DAY * start_reads
    domain_vms = capacity_model.VMS / 14
    return f"""## Calls on the platform's service

Against {capacity_model.STORE_READS_PER_SECOND:,.0f} reads/s (a waiting watch is a call) and {capacity_model.STORE_WRITES_PER_SECOND:g} writes/s.

| kind | steady, per second | counted as |
|---|---|---|
| watch of the next revision, every {capacity_model.WATCH_INTERVAL_SECONDS:g} s and at a change | {watches:.0f} | read |
| check of the revision in force every {capacity_model.VERIFY_INTERVAL_SECONDS:g} s | {checks:.0f} | read |
| list of VMs | {lists:.1f} | read |
| submissions | {changes:.3f}, and a snapshot now and then | write |
| claims, a group at most 5 times a second | {claims:.0f} | write |
| limits, membership, routing | 0 | |
| sum | {watches + checks + lists:.0f} reads, {claims + changes:.0f} writes | |

- A herd of {capacity_model.RESTARTS_PER_DAY} restarts: peers serve the configuration; a VM that finds none reads
  the pointer, {largest["segments"]} segments and at most 100 deltas: {start_reads} reads, so
  {restart_reads:,} if no peer answers any of them, {restart_reads / capacity_model.STORE_READS_PER_SECOND:.1f} s of the service's reads.
- A failure domain lost and back ({domain_vms:.0f} VMs): {domain_vms * start_reads:,.0f} reads at worst,
  {domain_vms * start_reads / capacity_model.STORE_READS_PER_SECOND:.1f} s. A region ({capacity_model.VMS / capacity_model.REGIONS:.0f} VMs):
  {capacity_model.VMS / capacity_model.REGIONS * start_reads / capacity_model.STORE_READS_PER_SECOND:.1f} s. Peers in the other domains make it close to none.
- The service returns after an outage: every VM retries within 1 s, spread over half of it:
  {capacity_model.VMS} reads in the first second, and the steady rate from then on.
"""


def _propagation(measurements: capacity_model.Measurements) -> str:
    rows = measurements.load("configuration-slopes.json")["by_vms"]
    lines = [
        "## Until a change or a withdrawn key is in force\n",
        f"Bound: {capacity_model.PROPAGATION_LIMIT_SECONDS:g} s everywhere. Through the service's watch it is one round "
        "trip. Without the service, from VM to VM, by state machines in one process:\n",
        "| VMs | messages lost | half of the changes, s | slowest change, s |",
        "|---|---|---|---|",
    ]
    lines += [
        f"| {row['vms']} | {row['dropped']:.0%} | {row['everywhere_p50_seconds']:.2f} "
        f"| {row['everywhere_max_seconds']:.2f} |"
        for row in rows
    ]
    lines.append(
        "\nA withdrawn key stops when the revision is in force: each request and each token of an "
        "open stream is checked against the configuration in force.\n"
    )
    return "\n".join(lines)


def _daily_load(measurements: capacity_model.Measurements) -> str:
    largest = measurements.load("configuration-slopes.json")["by_organisations"][-1]
    processor = capacity_model.CHANGES_PER_DAY * largest["change_processor_us"] / 1e6
    sent = capacity_model.CHANGES_PER_DAY * largest["change_bytes"] / capacity_model.MEGABYTE
    loads = (
        (capacity_model.RESTARTS_PER_DAY + capacity_model.FAILURES_PER_DAY)
        * largest["whole_bytes"]
        / capacity_model.MEGABYTE
    )
    changes = f"{capacity_model.CHANGES_PER_DAY:,} changes"
    return f"""## A day of {capacity_model.FAILURES_PER_DAY} failures, {capacity_model.RESTARTS_PER_DAY} restarts, {changes}

- Each VM applies {capacity_model.CHANGES_PER_DAY:,} changes: {processor:.0f} s of processor and
  {sent:.1f} MB in the day.
- {capacity_model.RESTARTS_PER_DAY + capacity_model.FAILURES_PER_DAY} starts move {loads:.0f} MB of configuration between VMs, and
  each takes {largest["load_processor_ms"]:.0f} ms of processor at both ends.
"""


def _sources(measurements: capacity_model.Measurements) -> str:
    return """## How each file is made

| file | command |
|---|---|
| control.json | `bin/hollyring experiment control --out docs/measurements/control.json` |
| overhead.json | `bin/hollyring experiment overhead --out docs/measurements/overhead.json` |
| routing-slopes.json | `bin/hollyring experiment routing-slopes` |
| limits-slopes.json | `bin/hollyring experiment limits-slopes` |
| configuration-slopes.json | `bin/hollyring experiment configuration-slopes` |
| membership-slopes.json | `bin/hollyring experiment membership-slopes` |
| delivery-claims.json | `bin/hollyring experiment delivery-cost` |
| orders-slopes.json | `bin/hollyring experiment rollout --slopes` |

All were measured on 2026-12-03 on one machine of ten cores that other work shared; processor
times are of the process, so they suffer less from that than elapsed times.
"""


@click.command()
@click.option(
    "--folder",
    type=click.Path(exists=True, path_type=pathlib.Path),
    default=pathlib.Path("docs/measurements"),
    show_default=True,
)
@click.option(
    "--out",
    type=click.Path(path_type=pathlib.Path),
    default=pathlib.Path("docs/CAPACITY.md"),
    show_default=True,
)
def capacity(folder: pathlib.Path, out: pathlib.Path) -> None:
    """Work out the capacity page from the measured files.

    Example: hollyring experiment capacity
    """
    out.write_text(page(capacity_model.Measurements(folder)))
    click.echo(f"{out}: written")
