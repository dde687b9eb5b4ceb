"""Works out docs/CAPACITY.md: each role's cost at the two-year size from measured slopes.

Every figure comes from a file in docs/measurements, which one command writes; nothing is entered
by hand but the size that the users expect.
"""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Any

import click
import msgspec

MILLISECONDS = 1_000.0
MEGABYTE = 1e6
KILOBYTE = 1e3
DAY_SECONDS = 86_400.0

VMS = 360
UPSTREAMS = 1_500
REQUESTS_PER_SECOND = 3_100.0
TOKENS_PER_SECOND = 950_000.0
BLOCKS = 86_000_000
EVENTS_PER_SECOND = 95_000.0
ORGANISATIONS = 4_700
REGIONS = 5
CHANGES_PER_DAY = 7_600
RESTARTS_PER_DAY = 140
FAILURES_PER_DAY = 12
CLAIMED_PART = 0.1
"""Part of the requests taken to be non-idempotent; the users give none."""

PROCESSOR_BUDGET_MS = 49.0
MEMORY_BUDGET_MB = 64.0
BYTES_BUDGET = 5_000.0
STORE_READS = 2_000.0
STORE_WRITES = 400.0
"""What "several hundred writes a second" is taken to be."""

IN_FORCE_SECONDS = 12.0
EVENT_BYTES = 19
"""A block's name in the engines' event stream: 16 hexadecimal digits, quotes and a comma."""

FRAME_BYTES = 12
TCP_IP_BYTES = 40
GROUPS = 32
CLAIM_RETENTION_SECONDS = 86_400.0
LIST_SECONDS = 5.0 * VMS / 9
WATCH_SECONDS = 5.0
VERIFY_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Role:
    """One role's cost for one VM at the two-year size.

    Parameters
    ----------
    processor_ms
        Milliseconds of one core per second.
    memory_mb
        Megabytes.
    bytes_per_second
        Sent and received together.
    counted
        Whether it counts against the control budget.
    """

    name: str
    state: str
    messages: str
    processor_ms: float
    memory_mb: float
    bytes_per_second: float
    mechanism: str
    source: str
    counted: bool = True


class Measured:
    """The files in docs/measurements.

    Parameters
    ----------
    folder
        Where they are.
    """

    __slots__ = ("_folder", "missing")

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self.missing: list[str] = []

    def load(self, name: str) -> dict[str, Any]:
        """Return a file's content, or an empty one and note that it is missing."""
        path = self._folder / name
        if not path.exists():
            self.missing.append(name)
            return {}
        return msgspec.json.decode(path.read_bytes())


def fit(points: list[tuple[float, float]], at: float) -> float:
    """Return the least-squares line through `points` at `at`.

    Examples
    --------
    >>> fit([(1.0, 3.0), (2.0, 5.0)], 10.0)
    21.0
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return mean_y + slope * (at - mean_x)


def roles(measured: Measured) -> list[Role]:
    """Return every role's cost, from the measured files."""
    found = [_process(measured), _entry(measured), *_index(measured), _limits(measured)]
    found += [_configuration(measured), _membership(measured), _orders(measured)]
    return [*found, _claims(measured), _streams(measured), _logs()]


def _process(measured: Measured) -> Role:
    rows = measured.load("control.json").get("rows", [])
    idle = [row for row in rows if row["organisations"] == 5 and not row["engines"]]
    points = [(row["vms"], row["processor_percent"] * 10) for row in idle]
    memory = [(row["vms"], row["resident_mb"]) for row in idle]
    return Role(
        "process, idle",
        "interpreter, libraries, event loop",
        "all periodic messages of the parts",
        fit(points, VMS) if points else 0.0,
        memory[0][1] if memory else 0.0,
        0.0,
        "one process, parts that tick only when due",
        "control.json, 3 to 36 VMs, extrapolated 10-fold",
    )


def _entry(measured: Measured) -> Role:
    data = measured.load("routing-slopes.json")
    decision_us = data["by_upstreams"][-1]["p50_us"] + data["by_upstreams"][-1]["chain_p50_us"]
    per_second = REQUESTS_PER_SECOND / VMS
    # At worst each decision asks two watchers and is asked as often: question and answer.
    lookup_bytes = 2 * 2 * (100 + 120 + 2 * (FRAME_BYTES + TCP_IP_BYTES))
    return Role(
        "entry and routing",
        "300 upstreams of the region, own dispatches",
        f"{per_second:.1f} decisions/s, a look-up where the stake is worth it",
        per_second * decision_us / MILLISECONDS,
        1.0,
        per_second * LOOKUP_PART * lookup_bytes,
        "affinity by rendezvous, own memory, one round trip to watchers",
        "routing-slopes.json, 6 to 300 upstreams, not extrapolated; look-ups at a part of "
        f"{LOOKUP_PART:.0%} and 100 + 120 bytes, assumed",
    )


LOOKUP_PART = 0.25
"""Part of the decisions that asks other VMs; assumed, to be measured on the fleet."""


def _index(measured: Measured) -> list[Role]:
    data = measured.load("routing-slopes.json")
    row = data["index"][-1]
    events = EVENTS_PER_SECOND / VMS
    blocks = BLOCKS / VMS
    control = measured.load("control.json").get("rows", [])
    polled = [row for row in control if row["engines"]]
    idle = [row for row in control if row["organisations"] == 5 and not row["engines"]]
    poll_ms = max(0.0, polled[0]["processor_percent"] - idle[0]["processor_percent"]) * 10
    return [
        Role(
            "cache index",
            f"{blocks:,.0f} blocks of {UPSTREAMS / VMS:.1f} upstreams",
            f"{events:.0f} events/s",
            events * row["event_us"] / MILLISECONDS,
            blocks * row["bytes_per_block"] / MEGABYTE,
            events * EVENT_BYTES,
            "one watcher per upstream, open-addressed table of 8-byte names",
            "routing-slopes.json, 24,100 to 241,000 blocks, not extrapolated",
        ),
        Role(
            "polls of watched upstreams",
            "connections",
            f"{polled[0]['polls']:.1f} polls/s",
            poll_ms,
            0.2,
            polled[0]["poll_bytes"],
            "bounded polls per VM, slower for each upstream the more are watched",
            "control.json, 4 upstreams per VM, empty caches",
        ),
    ]


def _limits(measured: Measured) -> Role:
    rows = measured.load("limits-slopes.json").get("slopes", [])
    row = next((r for r in rows if (r["vms"], r["organisations"]) == (VMS, ORGANISATIONS)), None)
    if row is None:
        return Role("limits", "", "", 0.0, 0.0, 0.0, "escrow among holders", "not measured")
    sent = row["bytes_sent_per_second"] + row["messages_sent_per_second"] * TCP_IP_BYTES
    return Role(
        "limits",
        f"shares and borrowers, {ORGANISATIONS:,} organisations",
        f"{row['messages_sent_per_second']:.1f} messages/s sent",
        row["processor_ms_per_second"],
        row["state_bytes"] / MEGABYTE,
        2 * sent,
        "escrow among holders, donor debited first, no call on the store",
        "limits-slopes.json, 3 to 360 machines, not extrapolated",
    )


def _configuration(measured: Measured) -> Role:
    data = measured.load("configuration-slopes.json")
    big = data["by_organisations"][-1]
    gossip = next(r for r in data["by_vms"] if r["vms"] == VMS and not r["dropped"])
    changes = CHANGES_PER_DAY / DAY_SECONDS
    idle_bytes = gossip["idle_bytes_per_vm_second"]
    idle_bytes += gossip["idle_messages_per_vm_second"] * TCP_IP_BYTES
    change = gossip["change_bytes_per_vm"] + big["change_bytes"]
    processor = gossip["idle_processor_ms_per_vm_second"]
    return Role(
        "configuration",
        f"{big['whole_bytes'] / MEGABYTE:.1f} MB of objects, key table, retained deltas",
        f"{gossip['idle_messages_per_vm_second']:.1f} digests/s, {changes:.3f} changes/s",
        processor + changes * big["change_processor_us"] / MILLISECONDS,
        big["memory_full_bytes"] / MEGABYTE,
        2 * idle_bytes + changes * change,
        "one key per revision, a watch on the next one, digests between VMs",
        "configuration-slopes.json, 3 to 360 machines, 5 to 4,700 organisations",
    )


def _membership(measured: Measured) -> Role:
    rows = measured.load("membership-slopes.json")
    steady = rows.get("by_vms") or rows.get("costs") or rows.get("steady") or []
    row = next((r for r in steady if r["vms"] == VMS), None)
    if row is None:
        return Role("membership", "", "", 0.0, 0.0, 0.0, "heartbeats", "not measured at 360")
    bytes_per_second = row.get("bytes_per_second", row.get("bytes_per_vm_second", 0.0))
    messages = row.get("messages_per_second", row.get("messages_per_vm_second", 4.0))
    processor = row.get("processor_ms_per_second", row.get("processor_ms_per_vm_second", 0.0))
    memory = row.get("memory_bytes", row.get("state_bytes", 0.0))
    return Role(
        "membership",
        f"{VMS} members, small entries",
        f"{messages:.1f} messages/s",
        processor,
        memory / MEGABYTE,
        bytes_per_second + messages * (FRAME_BYTES + TCP_IP_BYTES),
        "one probe a period whatever the size, news bounded in bytes",
        "membership-slopes.json",
    )


def _orders(measured: Measured) -> Role:
    data = measured.load("orders-slopes.json")
    row = data["costs"][-1] if data else {"rollout_step_us": 0.0, "bytes_per_upstream": 0.0}
    return Role(
        "orders to upstreams",
        f"{UPSTREAMS:,} upstreams, on the lease holder only",
        "a rollout's steps while one runs",
        row["rollout_step_us"] / MILLISECONDS,
        row["bytes_per_upstream"] * UPSTREAMS / MEGABYTE,
        0.0,
        "one lease holder, state derived from what upstreams report",
        "orders-slopes.json, to 1,500 upstreams, one step a second; not yet run by the VM",
    )


def _claims(measured: Measured) -> Role:
    row = measured.load("delivery-claims.json")["logs"][-1]
    rate = REQUESTS_PER_SECOND * CLAIMED_PART
    kept = rate * CLAIM_RETENTION_SECONDS / GROUPS
    per_writer = rate / GROUPS
    return Role(
        "claims of non-idempotent calls",
        f"{kept:,.0f} claims of one group, on {GROUPS} of {VMS} VMs",
        f"{per_writer:.1f} claims/s on a writer",
        per_writer * row["microseconds_per_claim"] / MILLISECONDS,
        kept * row["memory_bytes_per_claim"] / MEGABYTE,
        per_writer * row["written_bytes_per_claim"],
        "claims grouped in logs, compare-and-swap per batch",
        f"delivery-claims.json; {CLAIMED_PART:.0%} of requests assumed non-idempotent",
        counted=False,
    )


def _streams(measured: Measured) -> Role:
    data = measured.load("overhead.json")
    per_node = TOKENS_PER_SECOND / VMS
    return Role(
        "streams (data path)",
        "one text per open stream",
        f"{per_node:,.0f} tokens/s",
        per_node * data["processor_us_per_token"] / MILLISECONDS if data else 0.0,
        0.0,
        0.0,
        "no buffer between upstream and caller",
        "overhead.json; not control",
        counted=False,
    )


def _logs() -> Role:
    return Role(
        "logs and metrics",
        "counters and histograms",
        "a line per change, none per request",
        0.0,
        0.5,
        0.0,
        "bounded histograms; lines only on change",
        "not measured apart: inside the process's figures",
    )


def page(measured: Measured) -> str:
    """Return the text of docs/CAPACITY.md."""
    found = roles(measured)
    counted = [role for role in found if role.counted]
    totals = (
        sum(role.processor_ms for role in counted),
        sum(role.memory_mb for role in counted),
        sum(role.bytes_per_second for role in counted),
    )
    parts = [_head(found, totals, measured), _table(found, totals), _store(measured)]
    parts += [_force(measured), _day(measured), _sources(measured)]
    return "\n".join(parts)


def _verdict(name: str, value: float, budget: float, unit: str) -> str:
    if value <= budget:
        return f"- {name}: {value:.1f} of {budget:g} {unit}: fits."
    return f"- **{name}: {value:.1f} of {budget:g} {unit}: does not fit, by {value - budget:.1f}.**"


def _head(found: list[Role], totals: tuple[float, float, float], measured: Measured) -> str:
    claims = next(role for role in found if role.name.startswith("claims"))
    index = next(role for role in found if role.name == "cache index")
    missing = ", ".join(sorted(set(measured.missing))) or "none"
    writer = claims.bytes_per_second / KILOBYTE
    return f"""# Capacity at the two-year size

Made by `bin/hollyring experiment capacity` from the files in `docs/measurements`; not edited by
hand. Per VM, control only, against 4.9% of a core, 64 MB and 5 KB/s:

{_verdict("processor", totals[0], PROCESSOR_BUDGET_MS, "ms/s")}
{_verdict("memory", totals[1], MEMORY_BUDGET_MB, "MB, libraries included")}
{_verdict("bytes", totals[2] / KILOBYTE, BYTES_BUDGET / KILOBYTE, "KB/s, both directions, TCP/IP headers included")}

What does not fit, and what would:

- **Cache events.** {index.bytes_per_second / KILOBYTE:.1f} KB/s of the sum are the engines' own
  events ({EVENT_BYTES} bytes a block in their JSON stream). They cannot be made smaller from this
  side of the protocol. Eight bytes a block would take
  {EVENTS_PER_SECOND / VMS * 8 / KILOBYTE:.1f} KB/s. The other way is to hear only a part of the
  upstreams' events: own dispatches and the cached tokens that each answer reports carry most of
  the hit rate (`docs/design/routing.md`).
- **Claims of non-idempotent calls**, if {CLAIMED_PART:.0%} of the requests are such (the users
  give no figure): a writer of one of {GROUPS} groups would hold
  {claims.memory_mb:,.0f} MB and write {writer:,.0f} KB/s, kept for
  {CLAIM_RETENTION_SECONDS / 3600:.0f} h. More groups spread it ({VMS} groups:
  {claims.memory_mb * GROUPS / VMS:,.0f} MB each), a shorter retention shrinks it in proportion,
  and claims kept as digests in a compact table instead of objects take about a tenth. Today's
  size is far below. Claims are left out of the sums above.
- Files not measured yet: {missing}.
"""


def _table(found: list[Role], totals: tuple[float, float, float]) -> str:
    lines = [
        "## Per role and VM\n",
        "| role | state | messages | processor ms/s | memory MB | bytes/s | mechanism | from |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for role in found:
        name = role.name if role.counted else f"{role.name} (not in the sum)"
        lines.append(
            f"| {name} | {role.state} | {role.messages} | {role.processor_ms:.2f} "
            f"| {role.memory_mb:.2f} | {role.bytes_per_second:,.0f} | {role.mechanism} "
            f"| {role.source} |"
        )
    lines.append(
        f"| **sum of control** | | | **{totals[0]:.1f}** of {PROCESSOR_BUDGET_MS:g} "
        f"| **{totals[1]:.1f}** of {MEMORY_BUDGET_MB:g} | **{totals[2]:,.0f}** of "
        f"{BYTES_BUDGET:,.0f} | | |"
    )
    note = (
        "\nThe idle process already spends what configuration and membership spend idle; they are "
        "counted twice, so the sum errs upwards.\n"
    )
    return "\n".join(lines) + "\n" + note


def _store(measured: Measured) -> str:
    big = measured.load("configuration-slopes.json")["by_organisations"][-1]
    changes = CHANGES_PER_DAY / DAY_SECONDS
    watches = VMS / WATCH_SECONDS + VMS * changes
    verify = VMS / VERIFY_SECONDS
    listed = VMS / LIST_SECONDS
    claims = min(REQUESTS_PER_SECOND * CLAIMED_PART, GROUPS * 5.0)
    start = big["segments"] + 2 + 100
    herd = RESTARTS_PER_DAY * start
    domain = VMS / 14
    return f"""## Calls on the platform's service

Against {STORE_READS:,.0f} reads/s (a waiting watch is a call) and {STORE_WRITES:g} writes/s.

| kind | steady, per second | counted as |
|---|---|---|
| watch of the next revision, asked again every {WATCH_SECONDS:g} s and at each change | {watches:.0f} | read |
| check of the revision in force every {VERIFY_SECONDS:g} s | {verify:.0f} | read |
| list of VMs | {listed:.1f} | read |
| submissions | {changes:.3f}, and a snapshot now and then | write |
| claims, a group at most 5 times a second | {claims:.0f} | write |
| limits, membership, routing | 0 | |
| sum | {watches + verify + listed:.0f} reads, {claims + changes:.0f} writes | |

- A herd of {RESTARTS_PER_DAY} restarts: peers serve the configuration; a VM that finds none reads
  the pointer, {big["segments"]} segments and at most 100 deltas: {start} reads, so
  {herd:,} if no peer answers any of them, {herd / STORE_READS:.1f} s of the service's reads.
- A failure domain lost and back ({domain:.0f} VMs): {domain * start:,.0f} reads at worst,
  {domain * start / STORE_READS:.1f} s. A region ({VMS / REGIONS:.0f} VMs):
  {VMS / REGIONS * start / STORE_READS:.1f} s. Peers in the other domains make it close to none.
- The service returns after an outage: every VM retries within 1 s, spread over half of it:
  {VMS} reads in the first second, and the steady rate from then on.
"""


def _force(measured: Measured) -> str:
    rows = measured.load("configuration-slopes.json")["by_vms"]
    lines = [
        "## Until a change or a withdrawn key is in force\n",
        f"Bound: {IN_FORCE_SECONDS:g} s everywhere. Through the service's watch it is one round "
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


def _day(measured: Measured) -> str:
    big = measured.load("configuration-slopes.json")["by_organisations"][-1]
    processor = CHANGES_PER_DAY * big["change_processor_us"] / 1e6
    sent = CHANGES_PER_DAY * big["change_bytes"] / MEGABYTE
    loads = (RESTARTS_PER_DAY + FAILURES_PER_DAY) * big["whole_bytes"] / MEGABYTE
    return f"""## A day of {FAILURES_PER_DAY} failures, {RESTARTS_PER_DAY} restarts, {CHANGES_PER_DAY:,} changes

- Each VM applies {CHANGES_PER_DAY:,} changes: {processor:.0f} s of processor and
  {sent:.1f} MB in the day.
- {RESTARTS_PER_DAY + FAILURES_PER_DAY} starts move {loads:.0f} MB of configuration between VMs, and
  each takes {big["load_processor_ms"]:.0f} ms of processor at both ends.
"""


def _sources(measured: Measured) -> str:
    return """## How each file is made

| file | command |
|---|---|
| control.json | `bin/hollyring experiment control --out docs/measurements/control.json` |
| overhead.json | `bin/hollyring experiment overhead --out docs/measurements/overhead.json` |
| routing-slopes.json | `bin/hollyring experiment routing-slopes` |
| limits-slopes.json | `bin/hollyring experiment limits-slopes` |
| configuration-slopes.json | `bin/hollyring experiment configuration-slopes` |
| membership-slopes.json | `bin/hollyring experiment membership-slopes` |
| delivery-claims.json | `bin/hollyring experiment delivery` |
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
    out.write_text(page(Measured(folder)))
    click.echo(f"{out}: written")
