"""The judge of a run: keeps its own books and holds the system's promises against them.

Nothing that the system says of itself is taken for granted: executions are counted by the
services, seen headers by the upstreams, and every answer is compared with the expected one.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
from typing import TypeVar

import httpcore
import msgspec

from hollyring.experiments import launcher, load_generator

SECRET = "demo-key"
"""Part of every caller's key in the experiments."""

Counted = TypeVar("Counted")


@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """One promise, how often it was put to the test and how often it was broken.

    Parameters
    ----------
    since_start
        Whether the counts are of everything since the processes started, earlier cells included.
    """

    name: str
    trials: int
    violations: int
    detail: str = ""
    since_start: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRecords:
    """What the upstreams counted.

    Parameters
    ----------
    executions
        How often the services ran each order, by its request identity.
    orders
        The same by the order that the request's body names.
    keys_seen
        Headers in which an upstream saw a caller's key.
    headers_seen
        Headers looked at.
    """

    executions: collections.Counter[str]
    orders: collections.Counter[str]
    keys_seen: int
    headers_seen: int


async def read_upstream_records(fleet: launcher.Fleet) -> UpstreamRecords:
    """Return what all running upstreams have counted."""
    executions: collections.Counter[str] = collections.Counter()
    orders: collections.Counter[str] = collections.Counter()
    seen = leaked = 0
    async with httpcore.AsyncConnectionPool() as pool:
        for upstream in fleet.upstreams:
            if not fleet.is_running(upstream.name) or upstream.kind == "cache_store":
                continue
            url = fleet.control_url(upstream.name)
            for headers in await _get(pool, f"{url}/seen", list[list[str]]):
                seen += len(headers)
                leaked += sum(SECRET in header for header in headers)
            if upstream.kind == "service":
                executions.update(await _get(pool, f"{url}/executions", dict[str, int]))
                orders.update(await _get(pool, f"{url}/bodies", dict[str, int]))
    return UpstreamRecords(executions, orders, leaked, seen)


async def _get(pool: httpcore.AsyncConnectionPool, url: str, shape: type[Counted]) -> Counted:
    response = await pool.request("GET", url)
    return msgspec.json.decode(response.content, type=shape)


def check_promises(outcomes: list[load_generator.Outcome], books: UpstreamRecords) -> list[Promise]:
    """Hold what callers saw against what upstreams counted."""
    chats = [outcome for outcome in outcomes if outcome.kind != "order"]
    orders = [outcome for outcome in outcomes if outcome.kind == "order"]
    whole = [outcome for outcome in chats if outcome.complete]
    wrong = [outcome for outcome in whole if not outcome.correct]
    unsaid = [o for o in outcomes if not o.complete and not o.execution and not o.connection_lost]
    return [
        Promise("complete answers are the caller's own, whole, in order", len(whole), len(wrong)),
        Promise("every refusal says whether the request ran", len(outcomes), len(unsaid),
                ",".join(sorted({outcome.code for outcome in unsaid}))),
        _at_most_once(books),
        _answered_ran(orders, books),
        _not_run_is_true(orders, books),
        Promise("no upstream sees a caller's key", books.headers_seen, books.keys_seen,
                since_start=True),
    ]  # fmt: skip


def _at_most_once(books: UpstreamRecords) -> Promise:
    doubled = [name for name, count in books.orders.items() if count > 1]
    name = "a non-idempotent request runs at most once"
    return Promise(name, len(books.orders), len(doubled), ",".join(doubled), since_start=True)


def _answered_ran(orders: list[load_generator.Outcome], books: UpstreamRecords) -> Promise:
    answered = {outcome.order for outcome in orders if outcome.complete}
    missing = [name for name in answered if not books.orders[name]]
    return Promise("an answered order ran", len(answered), len(missing), ",".join(missing))


def _not_run_is_true(orders: list[load_generator.Outcome], books: UpstreamRecords) -> Promise:
    """Check orders for which every answer was "not run"."""
    said: dict[str, set[str]] = collections.defaultdict(set)
    for outcome in orders:
        said[outcome.order].add("run" if outcome.complete else outcome.execution or "unknown")
    refused = [name for name, words in said.items() if words == {"not_run"}]
    ran = [name for name in refused if books.orders[name]]
    return Promise('a refusal that says "not run" is true', len(refused), len(ran), ",".join(ran))


async def read_invariants(fleet: launcher.Fleet) -> list[Promise]:
    """Return the invariants that the VMs checked inside, summed over those that answer."""
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
    """Return the promises that were broken."""
    return [promise for promise in promises if promise.violations]
