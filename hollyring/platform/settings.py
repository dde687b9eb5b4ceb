"""Parser of the platform's settings file."""

from __future__ import annotations

import math
import os
import pathlib
import tomllib

import msgspec

from hollyring.configuration import freshness
from hollyring.limits import byte_budget, service_retry_budgets
from hollyring.node import adapter_settings, errors
from hollyring.releases import messages

ENVIRONMENT_VARIABLE = "HOLLYRING_BOOT"
"""Environment variable with the path of the settings file."""

MS_PER_SECOND = 1000.0
BITS_PER_MEGABIT = 1e6
MAX_DOTS_PER_LINE = 5_000
"""Most dots of one line, three for each seed; the time to parse a key grows with their square."""


class _Listen(msgspec.Struct, frozen=True):
    front: str  # for callers
    ready: str  # for health checks
    directory: str  # for requests for entry addresses
    control: str = ""  # for operators


class _Limits(msgspec.Struct, frozen=True):
    max_fds: int = 1024
    memory_mb: float = 0.0  # of a process; 0: any amount
    cpu_share: float = 1.0  # of each core
    cores: int = 1
    link_mbps: float = 1000.0  # megabits per second


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 8.0
    lease_ms: float = 3000.0
    retry_budget_ratio: float = 0.2
    budget_slack: float = 50.0
    budget_window_s: float = 10.0
    quota_window_s: float = 8.0  # in which an organisation may use its rate and its burst
    ttl_max_s: float = 5.0  # longest TTL of an entry response
    version_ms: float = 15_000.0  # time for which weights older than the wanted ones are used
    config_apply_ms: float = 2000.0  # until a configuration is in force everywhere
    drain_ms: float = 2000.0  # until an upstream that leaves gets nothing more
    expose_share: float | None = (
        None  # of a service's requests, for a bad version; None: no releases
    )
    expose_slack: float = 0.0
    fail_closed: bool = False  # whether a VM that can't reach the store refuses requests


class _Platform(msgspec.Struct, frozen=True):
    address: str  # of the metadata store
    ttl_min_ms: float = 1000.0


class _SettingsFile(msgspec.Struct, frozen=True):
    node_name: str  # name of the VM
    ip: str
    zone: str  # failure domain
    region: str
    internal_ports: list[int]
    listen: _Listen
    platform: _Platform
    first_start: bool = False  # of the whole fleet
    seeds: list[str] = []  # "IP:PORT"; the port is replaced by the first internal port
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


def path_from_environment() -> pathlib.Path | None:
    """Return the path of the settings file, or None if `ENVIRONMENT_VARIABLE` is not set."""
    value = os.environ.get(ENVIRONMENT_VARIABLE)
    return pathlib.Path(value) if value else None


def parse(text: str) -> adapter_settings.AdapterSettings:
    """Return the settings in `text`; unknown fields are ignored.

    Raises
    ------
    SettingsError
        If a field is missing or invalid; the message names it.
    """
    if any(line.count(".") > MAX_DOTS_PER_LINE for line in text.splitlines()):
        raise errors.SettingsError([f"settings: a line with over {MAX_DOTS_PER_LINE} dots"])
    try:
        document = msgspec.convert(tomllib.loads(text), _SettingsFile)
    except msgspec.ValidationError as error:
        raise errors.SettingsError([f"settings: {error}"]) from error
    except (ValueError, RecursionError) as error:  # whatever the parser finds wrong
        raise errors.SettingsError([f"settings: invalid TOML: {error}"]) from error
    if (
        len(document.internal_ports) < 2
        or document.internal_ports[1] - document.internal_ports[0] < 1
    ):
        raise errors.SettingsError(["internal_ports: allowed: a first port and a higher last port"])
    first_port = document.internal_ports[0]
    seeds = [f"{seed.rpartition(':')[0]}:{first_port}" for seed in document.seeds]
    return adapter_settings.AdapterSettings(
        name=document.node_name,
        failure_domain=document.zone,
        region=document.region,
        caller_address=document.listen.front,
        health_address=document.listen.ready,
        entry_address=document.listen.directory,
        control_address=document.listen.control,
        peer_address=f"{document.ip}:{first_port}",
        metrics_address=f"{document.ip}:{first_port + 1}",
        seeds=tuple(seeds),
        store_address=document.platform.address,
        grace_seconds=document.bounds.grace_s,
        max_entry_ttl_seconds=document.bounds.ttl_max_s,
        retry_rules=service_retry_budgets.RetryRules(
            document.bounds.retry_budget_ratio,
            document.bounds.budget_slack,
            document.bounds.budget_window_s,
        ),
        version_deadline_seconds=document.bounds.version_ms / MS_PER_SECOND,
        rate_window_seconds=document.bounds.quota_window_s,
        capacity=document.limits.cpu_share * document.limits.cores,
        first_start=document.first_start,
        freshness_rules=freshness.FreshnessRules(
            min(document.bounds.config_apply_ms, document.bounds.drain_ms) / MS_PER_SECOND,
            serves_without_store=not document.bounds.fail_closed,
        ),
        link_bits_per_second=document.limits.link_mbps * BITS_PER_MEGABIT,
        memory_bytes=_memory_bytes(document.limits.memory_mb),
        release_rules=_release_rules(document.bounds),
        descriptors=document.limits.max_fds,
    )


def _release_rules(bounds: _Bounds) -> messages.ReleaseRules | None:
    """Return the bounds on what a bad software version may get, None if none is named."""
    if bounds.expose_share is None:
        return None
    return messages.ReleaseRules(bounds.expose_share, bounds.expose_slack)


def _memory_bytes(megabytes: float) -> int:
    """Return the memory of a process, 0 if none is named that a process could have."""
    if not 0.0 < megabytes < math.inf:
        return 0
    return int(megabytes * byte_budget.BYTES_PER_MEGABYTE)
