"""Cost of each component at the size expected in two years, from measured scaling.

Figures are computed from files in docs/measurements, each of which one command writes. The expected
size, the budgets and the assumptions, for which there is no measurement, are constants of this
module.
"""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Any

import msgspec

MICROSECONDS_PER_MILLISECOND = 1_000.0
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
CLAIMED_SHARE = 0.1
"""Assumed share of non-idempotent requests; the users give no figure."""

PROCESSOR_BUDGET_MS = 49.0
MEMORY_BUDGET_MB = 64.0
BYTES_PER_SECOND_BUDGET = 5_000.0
STORE_READS_PER_SECOND = 2_000.0
STORE_WRITES_PER_SECOND = 400.0
"""Assumed value of the "several hundred writes a second" that the requirements state."""

PROPAGATION_LIMIT_SECONDS = 12.0
EVENT_BYTES_PER_BLOCK = 19
"""A block hash in an inference server's events: 16 hexadecimal digits, quotes and a comma."""

FRAME_BYTES = 12
TCP_IP_BYTES = 40
CLAIM_GROUPS = 32
CLAIM_RETENTION_SECONDS = 86_400.0
LIST_INTERVAL_SECONDS = 5.0 * VMS / 9
"""Time between two reads of the list of VMs by one VM, which grows with the fleet."""

WATCH_INTERVAL_SECONDS = 5.0
VERIFY_INTERVAL_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class ComponentCost:
    """Cost of one component for one VM at the size expected in two years.

    Parameters
    ----------
    state, messages, mechanism
        Descriptions of what the component stores, of its messages and of how it works.
    processor_ms
        CPU time, in milliseconds of one core per second.
    memory_mb
        Memory, in megabytes.
    bytes_per_second
        Bytes sent and received per second.
    source
        File that the figures are computed from, and how far they are extrapolated.
    counted
        Whether the component counts against the control budget.
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


class Measurements:
    """Files of measurements, loaded on demand.

    Parameters
    ----------
    folder
        Directory of the files.

    Attributes
    ----------
    missing
        Names of the files that were requested but don't exist.
    """

    __slots__ = ("_folder", "missing")

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self.missing: list[str] = []

    def load(self, name: str) -> dict[str, Any]:
        """Return the content of a file; record a missing file and return an empty dictionary."""
        path = self._folder / name
        if not path.exists():
            self.missing.append(name)
            return {}
        return msgspec.json.decode(path.read_bytes())


def fit(points: list[tuple[float, float]], at: float) -> float:
    """Return the value at `at` of the least-squares line through `points`.

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


def component_costs(measurements: Measurements) -> list[ComponentCost]:
    """Return the cost of every component."""
    costs = [
        _process(measurements),
        _routing(measurements),
        *_cache_index(measurements),
        _limits(measurements),
    ]
    costs += [_configuration(measurements), _membership(measurements), _orders(measurements)]
    return [*costs, _claims(measurements), _streams(measurements), _logs()]


def _process(measurements: Measurements) -> ComponentCost:
    rows = measurements.load("control.json").get("rows", [])
    idle = [row for row in rows if row["organisations"] == 5 and not row["engines"]]
    points = [(row["vms"], row["processor_percent"] * 10) for row in idle]
    memory = [(row["vms"], row["resident_mb"]) for row in idle]
    return ComponentCost(
        "process, idle",
        "interpreter, libraries, event loop",
        "all periodic messages of the components",
        fit(points, VMS) if points else 0.0,
        memory[0][1] if memory else 0.0,
        0.0,
        "one process, components that run only when due",
        "control.json, 3 to 36 VMs, extrapolated 10-fold",
    )


def _routing(measurements: Measurements) -> ComponentCost:
    data = measurements.load("routing-slopes.json")
    decision_us = data["by_upstreams"][-1]["p50_us"] + data["by_upstreams"][-1]["chain_p50_us"]
    per_second = REQUESTS_PER_SECOND / VMS
    # In the worst case each decision sends lookups to two VMs that watch upstreams, and the VM
    # receives as many: a request and a response each.
    lookup_bytes = 2 * 2 * (100 + 120 + 2 * (FRAME_BYTES + TCP_IP_BYTES))
    return ComponentCost(
        "entry and routing",
        "300 upstreams of the region, own dispatches",
        f"{per_second:.1f} decisions/s, a lookup where the expected benefit justifies it",
        per_second * decision_us / MICROSECONDS_PER_MILLISECOND,
        1.0,
        per_second * LOOKUP_SHARE * lookup_bytes,
        "rendezvous affinity, local history, one round trip to watchers",
        "routing-slopes.json, 6 to 300 upstreams, not extrapolated; lookups at a share of "
        f"{LOOKUP_SHARE:.0%} and 100 + 120 bytes, assumed",
    )


LOOKUP_SHARE = 0.25
"""Assumed share of decisions with lookups at other VMs; not measured on a fleet yet."""


def _cache_index(measurements: Measurements) -> list[ComponentCost]:
    data = measurements.load("routing-slopes.json")
    row = data["index"][-1]
    events = EVENTS_PER_SECOND / VMS
    blocks = BLOCKS / VMS
    control = measurements.load("control.json").get("rows", [])
    polled = [row for row in control if row["engines"]]
    idle = [row for row in control if row["organisations"] == 5 and not row["engines"]]
    poll_ms = max(0.0, polled[0]["processor_percent"] - idle[0]["processor_percent"]) * 10
    return [
        ComponentCost(
            "cache index",
            f"{blocks:,.0f} blocks of {UPSTREAMS / VMS:.1f} upstreams",
            f"{events:.0f} events/s",
            events * row["event_us"] / MICROSECONDS_PER_MILLISECOND,
            blocks * row["bytes_per_block"] / MEGABYTE,
            events * EVENT_BYTES_PER_BLOCK,
            "one watcher per upstream, open-addressing table of 8-byte hashes",
            "routing-slopes.json, 24,100 to 241,000 blocks, not extrapolated",
        ),
        ComponentCost(
            "polls of watched upstreams",
            "connections",
            f"{polled[0]['polls']:.1f} polls/s",
            poll_ms,
            0.2,
            polled[0]["poll_bytes"],
            "bounded polls per VM; the interval grows with the number of watched upstreams",
            "control.json, 4 upstreams per VM, empty caches",
        ),
    ]


def _limits(measurements: Measurements) -> ComponentCost:
    rows = measurements.load("limits-slopes.json").get("slopes", [])
    row = next((r for r in rows if (r["vms"], r["organisations"]) == (VMS, ORGANISATIONS)), None)
    if row is None:
        return ComponentCost(
            "limits", "", "", 0.0, 0.0, 0.0, "escrow among holders", "not measured"
        )
    header_bytes = row["messages_sent_per_second"] * (FRAME_BYTES + TCP_IP_BYTES)
    sent = row["bytes_sent_per_second"] + header_bytes
    return ComponentCost(
        "limits",
        f"shares and borrowers, {ORGANISATIONS:,} organisations",
        f"{row['messages_sent_per_second']:.1f} messages/s sent",
        row["processor_ms_per_second"],
        row["state_bytes"] / MEGABYTE,
        2 * sent,
        "escrow among holders, donor debited first, no store calls",
        "limits-slopes.json, 3 to 360 VMs, not extrapolated",
    )


def _configuration(measurements: Measurements) -> ComponentCost:
    data = measurements.load("configuration-slopes.json")
    largest = data["by_organisations"][-1]
    gossip = next(r for r in data["by_vms"] if r["vms"] == VMS and not r["dropped"])
    changes = CHANGES_PER_DAY / DAY_SECONDS
    idle_bytes = gossip["idle_bytes_per_vm_second"]
    idle_bytes += gossip["idle_messages_per_vm_second"] * TCP_IP_BYTES
    change = gossip["change_bytes_per_vm"] + largest["change_bytes"]
    processor = gossip["idle_processor_ms_per_vm_second"]
    return ComponentCost(
        "configuration",
        f"{largest['whole_bytes'] / MEGABYTE:.1f} MB of objects, key table, retained deltas",
        f"{gossip['idle_messages_per_vm_second']:.1f} digests/s, {changes:.3f} changes/s",
        processor + changes * largest["change_processor_us"] / MICROSECONDS_PER_MILLISECOND,
        largest["memory_full_bytes"] / MEGABYTE,
        2 * idle_bytes + changes * change,
        "one key per revision, a watch on the next key, digests between VMs",
        "configuration-slopes.json, 3 to 360 VMs, 5 to 4,700 organisations",
    )


def _membership(measurements: Measurements) -> ComponentCost:
    rows = measurements.load("membership-slopes.json").get("costs", [])
    row = next((r for r in rows if r["vms"] == VMS), None)
    if row is None:
        return ComponentCost(
            "membership", "", "", 0.0, 0.0, 0.0, "heartbeats", "not measured at 360"
        )
    messages = row["messages_per_second"]
    return ComponentCost(
        "membership",
        f"{VMS} members of {row['regions']} regions, small entries",
        f"{messages:.1f} messages/s",
        row["machine_ms_per_second"] + row["codec_ms_per_second"],
        row["memory_bytes"] / MEGABYTE,
        row["bytes_per_second"] + messages * (FRAME_BYTES + TCP_IP_BYTES),
        "one probe per period at any fleet size, gossip bounded in bytes",
        "membership-slopes.json, 9 to 360 VMs, not extrapolated",
    )


def _orders(measurements: Measurements) -> ComponentCost:
    """Return the cost of the orders of rollouts, e.g. to load a model."""
    data = measurements.load("orders-slopes.json")
    row = data["costs"][-1] if data else {"rollout_step_us": 0.0, "bytes_per_upstream": 0.0}
    return ComponentCost(
        "orders to upstreams",
        f"{UPSTREAMS:,} upstreams, on the lease holder only",
        "the steps of a rollout in progress",
        row["rollout_step_us"] / MICROSECONDS_PER_MILLISECOND,
        row["bytes_per_upstream"] * UPSTREAMS / MEGABYTE,
        0.0,
        "one lease holder, state derived from what upstreams report",
        "orders-slopes.json, up to 1,500 upstreams, one step per second; not yet run by the VM",
    )


def _claims(measurements: Measurements) -> ComponentCost:
    row = measurements.load("delivery-claims.json")["logs"][-1]
    rate = REQUESTS_PER_SECOND * CLAIMED_SHARE
    kept = rate * CLAIM_RETENTION_SECONDS / CLAIM_GROUPS
    per_writer = rate / CLAIM_GROUPS
    return ComponentCost(
        "claims of non-idempotent calls",
        f"{kept:,.0f} claims of one group, on {CLAIM_GROUPS} of {VMS} VMs",
        f"{per_writer:.1f} claims/s on a writer",
        per_writer * row["microseconds_per_claim"] / MICROSECONDS_PER_MILLISECOND,
        kept * row["memory_bytes_per_claim"] / MEGABYTE,
        per_writer * row["written_bytes_per_claim"],
        "claims grouped in logs, compare-and-swap per batch",
        f"delivery-claims.json; {CLAIMED_SHARE:.0%} of requests assumed non-idempotent",
        counted=False,
    )


def _streams(measurements: Measurements) -> ComponentCost:
    data = measurements.load("overhead.json")
    per_vm = TOKENS_PER_SECOND / VMS
    return ComponentCost(
        "streams (data path)",
        "one text per open stream",
        f"{per_vm:,.0f} tokens/s",
        per_vm * data["processor_us_per_token"] / MICROSECONDS_PER_MILLISECOND if data else 0.0,
        0.0,
        0.0,
        "no buffer between upstream and caller",
        "overhead.json; not control",
        counted=False,
    )


def _logs() -> ComponentCost:
    return ComponentCost(
        "logs and metrics",
        "counters and histograms",
        "one line per change, none per request",
        0.0,
        0.5,
        0.0,
        "bounded histograms; log lines only on change",
        "not measured separately: included in the figures of the process",
    )
