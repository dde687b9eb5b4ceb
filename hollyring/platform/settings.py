"""The platform's settings file, decoded into the node's own settings."""

from __future__ import annotations

import os
import pathlib
import tomllib

import msgspec

from hollyring.limits import service_retry_budgets
from hollyring.node import adapter_settings, errors

VARIABLE = "HOLLYRING_BOOT"
"""Names the environment variable that holds the path of the settings file."""

MILLISECONDS = 1000.0


class _Listen(msgspec.Struct, frozen=True):
    front: str
    ready: str
    directory: str
    control: str = ""


class _Limits(msgspec.Struct, frozen=True):
    max_fds: int = 1024
    memory_mb: float = 0.0


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 8.0
    lease_ms: float = 3000.0
    retry_budget_ratio: float = 0.2
    budget_slack: float = 50.0
    budget_window_s: float = 10.0
    ttl_max_s: float = 5.0
    version_ms: float = 15_000.0


class _Platform(msgspec.Struct, frozen=True):
    address: str
    ttl_min_ms: float = 1000.0


class _Document(msgspec.Struct, frozen=True):
    node_name: str
    ip: str
    zone: str
    region: str
    internal_ports: list[int]
    listen: _Listen
    platform: _Platform
    seeds: list[str] = []
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


def path() -> pathlib.Path | None:
    """Return the path of the settings file, None where the platform gives none."""
    found = os.environ.get(VARIABLE)
    return pathlib.Path(found) if found else None


def parse(text: str) -> adapter_settings.AdapterSettings:
    """Return the settings in `text`; fields that are not known are ignored.

    Raises
    ------
    SettingsError
        Naming the field that is missing or wrong.
    """
    try:
        found = msgspec.convert(tomllib.loads(text), _Document)
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError([f"settings: not TOML: {error}"]) from error
    except msgspec.ValidationError as error:
        raise errors.SettingsError([f"settings: {error}"]) from error
    if len(found.internal_ports) < 2 or found.internal_ports[1] - found.internal_ports[0] < 1:
        raise errors.SettingsError(["internal_ports: allowed: a first and a later last port"])
    first = found.internal_ports[0]
    seeds = [f"{seed.rpartition(':')[0]}:{first}" for seed in found.seeds]
    return adapter_settings.AdapterSettings(
        name=found.node_name,
        failure_domain=found.zone,
        region=found.region,
        caller_address=found.listen.front,
        health_address=found.listen.ready,
        entry_address=found.listen.directory,
        control_address=found.listen.control,
        peer_address=f"{found.ip}:{first}",
        metrics_address=f"{found.ip}:{first + 1}",
        seeds=tuple(seeds),
        store_address=found.platform.address,
        grace_seconds=found.bounds.grace_s,
        max_entry_ttl_seconds=found.bounds.ttl_max_s,
        retry_rules=service_retry_budgets.RetryRules(
            found.bounds.retry_budget_ratio,
            found.bounds.budget_slack,
            found.bounds.budget_window_s,
        ),
        version_deadline_seconds=found.bounds.version_ms / MILLISECONDS,
    )
