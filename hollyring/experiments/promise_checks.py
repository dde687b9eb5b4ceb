"""Checks of the system's promises against the records of callers and upstreams.

The checks do not rely on what the router reports about requests: services count executions,
upstreams record headers, and each response is compared with the expected one.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
from typing import TypeVar

import httpcore
import msgspec

from hollyring.experiments import launcher, load_generator

KEY_PREFIX = "demo-key"
"""Prefix of each caller's key in the experiments."""

Decoded = TypeVar("Decoded")


@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """A guarantee of the system, with the numbers of checks and violations.

    Parameters
    ----------
    since_start
        Whether the counts include everything since the processes started, i.e. also earlier
        cells of a fault matrix.
    """

    name: str
    trials: int
    violations: int
    detail: str = ""
    since_start: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRecords:
    """Executions and headers recorded by the upstreams.

    Parameters
    ----------
    executions
        Number of executions by the services, by request ID.
    orders
        Number of executions by the services, by the order in the request body.
    headers_with_key
        Number of headers received by upstreams that contain a caller's key.
    headers_seen
        Number of headers checked.
    """

    executions: collections.Counter[str]
    orders: collections.Counter[str]
    headers_with_key: int
    headers_seen: int


async def read_upstream_records(fleet: launcher.Fleet) -> UpstreamRecords:
    """Return the combined records of all running upstreams except cache stores."""
    executions: collections.Counter[str] = collections.Counter()
    orders: collections.Counter[str] = collections.Counter()
    header_count = leak_count = 0
    async with httpcore.AsyncConnectionPool() as pool:
        for upstream in fleet.upstreams:
            if not fleet.is_running(upstream.name) or upstream.kind == "cache_store":
                continue
            url = fleet.control_url(upstream.name)
            for headers in await _get(pool, f"{url}/seen", list[list[str]]):
                header_count += len(headers)
                leak_count += sum(KEY_PREFIX in header for header in headers)
            if upstream.kind == "service":
                executions.update(await _get(pool, f"{url}/executions", dict[str, int]))
                orders.update(await _get(pool, f"{url}/bodies", dict[str, int]))
    return UpstreamRecords(executions, orders, leak_count, header_count)


async def _get(pool: httpcore.AsyncConnectionPool, url: str, type_: type[Decoded]) -> Decoded:
    response = await pool.request("GET", url)
    return msgspec.json.decode(response.content, type=type_)


def check_promises(
    outcomes: list[load_generator.Outcome], records: UpstreamRecords
) -> list[Promise]:
    """Check the promises by comparing the outcomes of callers with the records of upstreams."""
    chats = [outcome for outcome in outcomes if outcome.kind != "order"]
    orders = [outcome for outcome in outcomes if outcome.kind == "order"]
    whole = [outcome for outcome in chats if outcome.complete]
    wrong = [outcome for outcome in whole if not outcome.correct]
    unspecified = [
        o for o in outcomes if not o.complete and not o.execution and not o.connection_lost
    ]
    return [
        Promise("complete answers are the caller's own, whole, in order", len(whole), len(wrong)),
        Promise("every refusal says whether the request ran", len(outcomes), len(unspecified),
                ",".join(sorted({outcome.code for outcome in unspecified}))),
        _at_most_once(records),
        _answered_orders_ran(orders, records),
        _not_run_refusals_are_true(orders, records),
        Promise("no upstream sees a caller's key", records.headers_seen, records.headers_with_key,
                since_start=True),
    ]  # fmt: skip


def _at_most_once(records: UpstreamRecords) -> Promise:
    repeated = [name for name, count in records.orders.items() if count > 1]
    name = "a non-idempotent request runs at most once"
    return Promise(name, len(records.orders), len(repeated), ",".join(repeated), since_start=True)


def _answered_orders_ran(orders: list[load_generator.Outcome], records: UpstreamRecords) -> Promise:
    answered = {outcome.order for outcome in orders if outcome.complete}
    missing = [name for name in answered if not records.orders[name]]
    return Promise("an answered order ran", len(answered), len(missing), ",".join(missing))


def _not_run_refusals_are_true(
    orders: list[load_generator.Outcome], records: UpstreamRecords
) -> Promise:
    """Check the orders for which all responses state that they were not run."""
    reported: dict[str, set[str]] = collections.defaultdict(set)
    for outcome in orders:
        reported[outcome.order].add("run" if outcome.complete else outcome.execution or "unknown")
    refused = [name for name, results in reported.items() if results == {"not_run"}]
    ran = [name for name in refused if records.orders[name]]
    return Promise('a refusal that says "not run" is true', len(refused), len(ran), ",".join(ran))


async def read_invariants(fleet: launcher.Fleet) -> list[Promise]:
    """Return one promise per invariant that the VMs check, summed over the VMs that respond."""
    checks: collections.Counter[str] = collections.Counter()
    violations: collections.Counter[str] = collections.Counter()
    details: dict[str, str] = {}
    async with httpcore.AsyncConnectionPool() as pool:
        for vm in fleet.vms:
            if not fleet.is_running(vm.name):
                continue
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                response = await pool.request("GET", f"http://{vm.admin_address}/state")
                for name, counts in msgspec.json.decode(response.content)["invariants"].items():
                    checks[name] += counts["checks"]
                    violations[name] += counts["violations"]
                    details[name] = counts["last"] or details.get(name, "")
    return [
        Promise(f"inside: {name}", checks[name], violations[name], details[name], True)
        for name in sorted(checks)
    ]


def broken(promises: list[Promise]) -> list[Promise]:
    """Return the promises with violations."""
    return [promise for promise in promises if promise.violations]
