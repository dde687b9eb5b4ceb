"""Checks of a deployment's configuration before it is sent, and what differs between two.

An *error* makes requests fail that the operator meant to be served. A *warning* is an entry that
can never match, or a limit that contradicts another one.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

from hollyring.configuration import deployment


class Severity(enum.StrEnum):
    """How grave a finding is."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """What is wrong with one entry, such as ``"route r-1"``."""

    severity: Severity
    entry: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Entries of a configuration as they are written, duplicates included."""

    routes: Sequence[deployment.Route]
    services: Sequence[deployment.Service]
    organisations: Sequence[deployment.Organisation]
    limits: deployment.RequestLimits
    requires_keys: bool


class ChangeKind(enum.StrEnum):
    """What happened to an entry between two configurations."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An entry that differs between two configurations.

    Parameters
    ----------
    fields
        For a changed entry, the value before and after of each field that differs.
    """

    kind: ChangeKind
    entry: str
    fields: Mapping[str, tuple[Any, Any]] = dataclasses.field(default_factory=dict)


def check(entries: Entries) -> list[Finding]:
    """Return all findings, errors first.

    Examples
    --------
    >>> limits = deployment.RequestLimits(header_bytes=0)
    >>> found = check(Entries([], [], [], limits, requires_keys=False))
    >>> [(f.severity.value, f.text) for f in found]
    [('error', 'header_bytes is 0: every request is refused')]
    """
    findings = [
        *_limit_findings(entries.limits),
        *_route_findings(entries),
        *_service_findings(entries),
        *_organisation_findings(entries),
    ]
    return sorted(findings, key=lambda finding: finding.severity is not Severity.ERROR)


def differences(before: Entries, after: Entries) -> list[Change]:
    """Return the entries that differ."""
    changes: list[Change] = []
    for kind in ("routes", "services", "organisations"):
        old = {item.name: item for item in getattr(before, kind)}
        new = {item.name: item for item in getattr(after, kind)}
        singular = kind.removesuffix("s")
        changes += [Change(ChangeKind.REMOVED, f"{singular} {n}") for n in old if n not in new]
        changes += [Change(ChangeKind.ADDED, f"{singular} {n}") for n in new if n not in old]
        for name in old.keys() & new.keys():
            changes += _changed(f"{singular} {name}", old[name], new[name])
    changes += _changed("limits", before.limits, after.limits)
    if before.requires_keys != after.requires_keys:
        fields = {"requires_keys": (before.requires_keys, after.requires_keys)}
        changes.append(Change(ChangeKind.CHANGED, "organisations", fields))
    return sorted(changes, key=lambda change: change.entry)


def _changed(entry: str, before: Any, after: Any) -> list[Change]:
    names = [field.name for field in dataclasses.fields(before)]
    values = {name: (getattr(before, name), getattr(after, name)) for name in names}
    differing = {name: pair for name, pair in values.items() if pair[0] != pair[1]}
    return [Change(ChangeKind.CHANGED, entry, differing)] if differing else []


def _limit_findings(limits: deployment.RequestLimits) -> Iterator[Finding]:
    for field in dataclasses.fields(limits):
        if getattr(limits, field.name) <= 0:
            text = f"{field.name} is {getattr(limits, field.name)}: every request is refused"
            yield Finding(Severity.ERROR, "limits", text)


def _route_findings(entries: Entries) -> Iterator[Finding]:
    services = {service.name for service in entries.services}
    yield from _duplicates("route", (route.name for route in entries.routes))
    matching = {(route.host, route.prefix): route.name for route in entries.routes}
    for route in entries.routes:
        entry = f"route {route.name}"
        hidden_by = matching[route.host, route.prefix]
        if hidden_by != route.name:
            text = f"never matches beside route {hidden_by}, which has its host and prefix"
            yield Finding(Severity.WARNING, entry, text)
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            text = f"prefix {route.prefix!r} never matches: it must begin and end with a slash"
            yield Finding(Severity.ERROR, entry, text)
        yield from _split_findings(entry, route, services)
        if route.timeout <= 0:
            yield Finding(Severity.ERROR, entry, "timeout is not positive: every request fails")
        elif route.target_latency > route.timeout:
            text = f"target {route.target_latency} s is longer than timeout {route.timeout} s"
            yield Finding(Severity.WARNING, entry, text)
        if route.open_to_all and not entries.requires_keys:
            yield Finding(Severity.WARNING, entry, "is public, but no route needs a key")


def _split_findings(entry: str, route: deployment.Route, services: set[str]) -> Iterator[Finding]:
    for split in route.splits:
        if split.service not in services:
            yield Finding(Severity.ERROR, entry, f"service {split.service!r} does not exist")
        if split.weight <= 0 and len(route.splits) > 1:
            text = f"service {split.service!r} has weight {split.weight} and gets nothing"
            yield Finding(Severity.WARNING, entry, text)
    if not route.splits:
        yield Finding(Severity.ERROR, entry, "leads to no service")
    elif sum(split.weight for split in route.splits) <= 0:
        yield Finding(Severity.ERROR, entry, "the weights of its services add up to nothing")


def _service_findings(entries: Entries) -> Iterator[Finding]:
    used = {split.service for route in entries.routes for split in route.splits}
    yield from _duplicates("service", (service.name for service in entries.services))
    for service in entries.services:
        entry = f"service {service.name}"
        if service.name not in used and service.cache_store is None:
            yield Finding(Severity.WARNING, entry, "no route leads to it")
        if service.max_connections <= 0:
            yield Finding(Severity.ERROR, entry, "max_connections is not positive")
        engine = service.engine
        if engine is None:
            continue
        if engine.slots <= 0 or engine.cache_tokens <= 0:
            yield Finding(Severity.ERROR, entry, "its engine has no slots or no memory")
        elif service.max_connections < engine.slots:
            text = f"{service.max_connections} connections leave some of {engine.slots} slots idle"
            yield Finding(Severity.WARNING, entry, text)
        if not engine.models:
            yield Finding(Severity.WARNING, entry, "its engine serves no model")


def _organisation_findings(entries: Entries) -> Iterator[Finding]:
    yield from _duplicates("organisation", (item.name for item in entries.organisations))
    holders: dict[str, list[str]] = collections.defaultdict(list)
    for item in entries.organisations:
        entry = f"organisation {item.name}"
        for key in item.keys:
            holders[key].append(item.name)
        if not item.keys:
            yield Finding(Severity.WARNING, entry, "has no key: no request can be its own")
        if item.rate < 0 or item.burst < 0:
            yield Finding(Severity.ERROR, entry, "its rate or burst is negative")
        elif item.rate == 0 and item.burst > 0:
            yield Finding(Severity.WARNING, entry, "has a burst but no rate: it is not limited")
        if item.counts_tokens and item.rate > 0 and item.plain_tokens > item.rate + item.burst:
            text = f"one request of {item.plain_tokens} tokens exceeds its rate and burst"
            yield Finding(Severity.WARNING, entry, text)
    for names in holders.values():
        if len(names) > 1:
            text = f"a key is also held by {', '.join(names[:-1])}, whose requests count as its own"
            yield Finding(Severity.ERROR, f"organisation {names[-1]}", text)


def _duplicates(kind: str, names: Iterable[str]) -> Iterator[Finding]:
    for name, count in collections.Counter(names).items():
        if count > 1:
            text = f"is written {count} times; only the last one counts"
            yield Finding(Severity.ERROR, f"{kind} {name}", text)
