"""Settings of a VM process, parsed from JSON; all errors are reported at once."""

from __future__ import annotations

import ipaddress
import json
from typing import Any

import msgspec

from hollyring.node import errors

MIN_PEER_KEY_BYTES = 16


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on requests and connections of callers, and times of a graceful shutdown.

    For `leave_seconds` a leaving VM still serves callers that received its address before; then
    open requests have `shutdown_seconds` to finish. A completion is cancelled if its caller blocks
    a send for `reader_seconds`.
    """

    header_bytes: int = 16_384
    body_bytes: int = 8_000_000
    prompt_tokens: int = 200_000
    output_tokens: int = 8_192
    connections: int = 2_000
    header_seconds: float = 10.0
    body_seconds: float = 30.0
    reader_seconds: float = 20.0
    deadline_seconds: float = 120.0
    leave_seconds: float = 12.0
    shutdown_seconds: float = 60.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings that a VM needs at its start.

    Parameters
    ----------
    name, region, failure_domain
        Identity and location of this VM; `name` is its name in the roster.
    caller_address, peer_address, admin_address
        ``"IP:PORT"`` to listen on for callers, other VMs and operators.
    platform
        ``"http://IP:PORT"`` of the platform's key-value service.
    seeds
        Peer addresses of VMs through which this one joins; one running VM is enough.
    peer_keys
        Secrets shared by the VMs, newest first. Connections are opened with the first and accepted
        with any, so that keys can be rotated during traffic.
    admin_key
        Bearer token of the admin port; if empty, only loopback addresses may connect.
    policy
        Routing policy.
    log_file
        File to which logs are appended; if empty, they are written to standard error.
    memory_mb
        Megabytes that the process may use; 0 for any amount.
    """

    name: str
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    admin_address: str
    platform: str
    peer_keys: list[str]
    seeds: list[str] = []
    admin_key: str = ""
    policy: str = "prefix"
    log_file: str = ""
    memory_mb: int = 0
    limits: Limits = Limits()


def split_address(address: str) -> tuple[str, int]:
    """Split ``"IP:PORT"`` into IP address and port.

    Raises
    ------
    ValueError
        If `address` has another form.

    Examples
    --------
    >>> split_address("127.0.0.1:7000")
    ('127.0.0.1', 7000)
    """
    host, _, port = address.rpartition(":")
    number = int(port)
    if not 0 < number < 65_536:
        raise ValueError(f"port {number} is not in 1..65535")
    return str(ipaddress.ip_address(host.strip("[]"))), number


def _is_address(value: str) -> bool:
    try:
        split_address(value)
    except ValueError:
        return False
    return True


def _address_findings(settings: Settings) -> list[str]:
    findings = [
        f'seeds: "{seed}": allowed: "IP:PORT"' for seed in settings.seeds if not _is_address(seed)
    ]
    for field in ("caller_address", "peer_address", "admin_address"):
        value = getattr(settings, field)
        if not _is_address(value):
            findings.append(f'{field}: "{value}": allowed: "IP:PORT" with a port in 1..65535')
    if not settings.platform.startswith("http://"):
        findings.append(f'platform: "{settings.platform}": allowed: "http://IP:PORT"')
    return findings


def _value_findings(settings: Settings) -> list[str]:
    findings = _address_findings(settings)
    if not settings.peer_keys:
        findings.append("peer_keys: []: allowed: one or more secrets")
    if any(len(key) < MIN_PEER_KEY_BYTES for key in settings.peer_keys):
        findings.append(f"peer_keys: (hidden): allowed: {MIN_PEER_KEY_BYTES} or more bytes each")
    allowed = ("prefix", "least_loaded", "round_robin", "hash_only")
    if settings.policy not in allowed:
        findings.append(f'policy: "{settings.policy}": allowed: {", ".join(allowed)}')
    if settings.memory_mb < 0:
        findings.append(f"memory_mb: {settings.memory_mb}: allowed: 0 or more")
    for field in Limits.__struct_fields__:
        value = getattr(settings.limits, field)
        if value <= 0:
            findings.append(f"limits.{field}: {value}: allowed: more than 0")
    return findings


def _field_finding(type_: type[msgspec.Struct], prefix: str, name: str, value: Any) -> str | None:
    field = next((f for f in msgspec.structs.fields(type_) if f.name == name), None)
    if field is None:
        return f"{prefix}{name}: unknown field: allowed: {', '.join(type_.__struct_fields__)}"
    try:
        msgspec.convert(value, field.type)
    except msgspec.ValidationError as error:
        shown_value = "(hidden)" if "key" in name else json.dumps(value)
        return f"{prefix}{name}: {shown_value}: allowed: {error}"
    return None


def _type_findings(document: dict[str, Any]) -> list[str]:
    findings = []
    for name, value in document.items():
        finding = _field_finding(Settings, "", name, value)
        if finding and name == "limits" and isinstance(value, dict):
            parts = [_field_finding(Limits, "limits.", n, v) for n, v in value.items()]
            findings += [part for part in parts if part]
        elif finding:
            findings.append(finding)
    for field in msgspec.structs.fields(Settings):
        if field.required and field.name not in document:
            findings.append(f"{field.name}: missing: allowed: a value, it has no default")
    return findings


def parse(text: bytes | str) -> Settings:
    """Return the settings in the JSON document `text`.

    Raises
    ------
    SettingsError
        If a setting is invalid. It lists every error with field, value and what is allowed;
        secrets are not shown.

    Examples
    --------
    >>> try:
    ...     parse('{"name": 3, "colour": "red"}')
    ... except errors.SettingsError as error:
    ...     print(error.findings[0])
    name: 3: allowed: Expected `str`, got `int`
    """
    try:
        document = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        raise errors.SettingsError([f"settings: not JSON: {error}"]) from error
    if not isinstance(document, dict):
        raise errors.SettingsError(["settings: allowed: a JSON object"])
    findings = _type_findings(document)
    if findings:
        raise errors.SettingsError(findings)
    settings = msgspec.convert(document, Settings)
    findings = _value_findings(settings)
    if findings:
        raise errors.SettingsError(findings)
    return settings
