"""Validation of whole configurations: values, references and uniqueness."""

from __future__ import annotations

import collections
import ipaddress
import re
from collections.abc import Collection, Iterable, Iterator

from hollyring.configuration import errors, objects, state

MIN_BURST_TOKENS = 1_024
"""Minimum burst of an organisation; a smaller one could not admit one chunk of a prompt."""

MAX_RATE = 10_000_000.0
"""Maximum rate of an organisation, in tokens per second."""

MAX_NAME_LENGTH = 128

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_NAME_RULE = f"letters, digits, '.', '_' and '-', at most {MAX_NAME_LENGTH}"
_DIGEST = re.compile(r"[0-9a-f]{64}")
_PATH = re.compile(r"(/[A-Za-z0-9._~-]+)+")
_METHODS = ("DELETE", "GET", "HEAD", "PATCH", "POST", "PUT")
_RESERVED_PREFIXES = ("/v1",)
_HIDDEN = "(hidden)"


def validate(items: Iterable[objects.Object]) -> list[str]:
    """Return all errors of a whole configuration, one line each: field, value, allowed values.

    Examples
    --------
    >>> validate([objects.Deployment("bohari"), objects.Adapter("feast", "parish-7b", "1")])
    ['adapter/feast.model: "parish-7b": allowed: a declared model: (none)']
    """
    listed = list(items)
    findings = list(_duplicate_findings(listed))
    configuration = state.Configuration().with_changes(0, "", listed, [])
    if configuration.deployment is None:
        findings.append("deployment: missing: allowed: exactly one deployment")
    for item in listed:
        findings += _object_findings(configuration, item)
    findings += _conflict_findings(listed)
    return findings


def require_valid(items: Iterable[objects.Object]) -> None:
    """Raise an error if a whole configuration is invalid.

    Raises
    ------
    InvalidConfigurationError
        Contains all findings of `validate`.
    """
    findings = validate(items)
    if findings:
        raise errors.InvalidConfigurationError(findings)


def _finding(item: objects.Object, field: str, value: object, allowed: str) -> str:
    shown = f'"{value}"' if isinstance(value, str) and value != _HIDDEN else str(value)
    return f"{objects.identity(item)}.{field}: {shown}: allowed: {allowed}"


def _duplicate_findings(items: list[objects.Object]) -> Iterator[str]:
    counts = collections.Counter(objects.identity(item) for item in items)
    for identity, count in sorted(counts.items()):
        if count > 1:
            yield f"{identity}: declared {count} times: allowed: once"
    deployments = [item.name for item in items if isinstance(item, objects.Deployment)]
    if len(set(deployments)) > 1:
        yield f"deployment: {', '.join(deployments)}: allowed: exactly one deployment"


def _object_findings(configuration: state.Configuration, item: objects.Object) -> Iterator[str]:
    if not isinstance(item, objects.Route):
        yield from _name_findings(item, "name", item.name)
    match item:
        case objects.Deployment():
            if item.concurrent_loads < 1:
                yield _finding(item, "concurrent_loads", item.concurrent_loads, "1 or more")
        case objects.Organisation():
            yield from _organisation_findings(configuration, item)
        case objects.Model():
            yield from _name_findings(item, "version", item.version)
        case objects.Adapter():
            yield from _name_findings(item, "version", item.version)
            yield from _reference_findings(item, "model", [item.model], configuration.models)
        case objects.Upstream():
            yield from _upstream_findings(configuration, item)
        case objects.Route():
            yield from _route_findings(configuration, item)
        case objects.VM():
            yield from _location_findings(item)
            for field in ("caller_address", "peer_address", "admin_address"):
                yield from _address_findings(item, field, getattr(item, field), "")


def _organisation_findings(
    configuration: state.Configuration, item: objects.Organisation
) -> Iterator[str]:
    if not 0 < item.rate <= MAX_RATE:
        yield _finding(item, "rate", item.rate, f"more than 0, at most {MAX_RATE:.0f} tokens/s")
    if item.burst < MIN_BURST_TOKENS:
        yield _finding(item, "burst", item.burst, f"{MIN_BURST_TOKENS} tokens or more")
    if not 0 < item.weight <= 1000:
        yield _finding(item, "weight", item.weight, "more than 0, at most 1000")
    yield from _reference_findings(item, "models", item.models, configuration.models)
    identities = [key.identity for key in item.keys]
    for index, key in enumerate(item.keys):
        if identities.count(key.identity) > 1:
            yield _finding(item, f"keys[{index}].identity", key.identity, "once per organisation")
        yield from _name_findings(item, f"keys[{index}].identity", key.identity)
        if not _DIGEST.fullmatch(key.digest):
            allowed = "SHA-256 in 64 lowercase hexadecimal digits"
            # The value is hidden, because it may be the secret in place of its digest.
            yield _finding(item, f"keys[{index}].digest", _HIDDEN, allowed)


def _upstream_findings(configuration: state.Configuration, item: objects.Upstream) -> Iterator[str]:
    yield from _location_findings(item)
    yield from _address_findings(item, "address", item.address, "http://")
    yield from _reference_findings(item, "models", item.models, configuration.models)
    if item.kind == "engine":
        if not item.models:
            yield _finding(item, "models", [], "one or more models for an engine")
        return
    if item.models:
        yield _finding(item, "models", list(item.models), f"none for a {item.kind}")
    if item.role != "both":
        yield _finding(item, "role", item.role, f'"both" for a {item.kind}')
    if item.checks_fencing:
        yield _finding(item, "checks_fencing", "true", f"false for a {item.kind}")


def _route_findings(configuration: state.Configuration, item: objects.Route) -> Iterator[str]:
    if not _PATH.fullmatch(item.path_prefix):
        yield _finding(item, "path_prefix", item.path_prefix, 'a path such as "/orders/status"')
    if any(
        item.path_prefix == reserved or item.path_prefix.startswith(reserved + "/")
        for reserved in _RESERVED_PREFIXES
    ):
        yield _finding(item, "path_prefix", item.path_prefix, "a path that is not under /v1")
    services = {n: u for n, u in configuration.upstreams.items() if u.kind == "service"}
    yield from _reference_findings(item, "upstreams", item.upstreams, services, "service")
    if not item.upstreams:
        yield _finding(item, "upstreams", [], "one or more services")
    if not item.methods:
        yield _finding(item, "methods", [], "one or more methods")
    for method in item.methods:
        if method not in _METHODS:
            yield _finding(item, "methods", method, ", ".join(_METHODS))
    if item.open_to_all and not item.idempotent:
        allowed = (
            "false if idempotent is false, because retries are deduplicated by organisation and key"
        )
        yield _finding(item, "open_to_all", "true", allowed)


def _name_findings(item: objects.Object, field: str, value: str) -> Iterator[str]:
    if len(value) > MAX_NAME_LENGTH or not _NAME.fullmatch(value):
        yield _finding(item, field, value, _NAME_RULE)


def _location_findings(item: objects.Upstream | objects.VM) -> Iterator[str]:
    yield from _name_findings(item, "region", item.region)
    yield from _name_findings(item, "failure_domain", item.failure_domain)


def _reference_findings(
    item: objects.Object,
    field: str,
    names: Iterable[str],
    declared: Collection[str],
    kind: str = "model",
) -> Iterator[str]:
    for name in names:
        if name not in declared:
            allowed = ", ".join(sorted(declared)) or "(none)"
            yield _finding(item, field, name, f"a declared {kind}: {allowed}")


def _address_findings(item: objects.Object, field: str, value: str, scheme: str) -> Iterator[str]:
    host, _, port = value.removeprefix(scheme).rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid = value.startswith(scheme) and 0 < int(port) < 65_536
    except ValueError:
        valid = False
    if not valid:
        yield _finding(item, field, value, f'"{scheme}IP:PORT" with a port in 1..65535')


def _conflict_findings(items: list[objects.Object]) -> Iterator[str]:
    addresses: dict[str, str] = {}
    digests: dict[str, str] = {}
    for item in items:
        for field, value in _addresses(item):
            holder = addresses.setdefault(value, f"{objects.identity(item)}.{field}")
            if holder != f"{objects.identity(item)}.{field}":
                yield _finding(item, field, value, f"an unused address; {holder} has this one")
        for index, key in enumerate(item.keys if isinstance(item, objects.Organisation) else ()):
            path = f"{objects.identity(item)}.keys[{index}]"
            holder = digests.setdefault(key.digest, path)
            if holder != path:
                allowed = f"a key granted once; {holder} has this one"
                yield f"{path}.digest: {_HIDDEN}: allowed: {allowed}"


def _addresses(item: objects.Object) -> Iterator[tuple[str, str]]:
    match item:
        case objects.Upstream():
            yield "address", item.address.removeprefix("http://")
        case objects.VM():
            for field in ("caller_address", "peer_address", "admin_address"):
                yield field, getattr(item, field)
