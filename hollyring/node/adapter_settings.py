"""Settings of a VM process that runs on an adapter."""

from __future__ import annotations

import dataclasses

from hollyring.configuration import freshness
from hollyring.limits import service_retry_budgets
from hollyring.releases import messages


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterSettings:
    """Location, addresses and time limits of a VM; every address is ``"IP:PORT"``.

    Parameters
    ----------
    name, failure_domain, region
        Identity and location of this VM.
    caller_address, health_address, entry_address, control_address
        Addresses to listen on for callers, health checks, entry requests and operators.
    peer_address, metrics_address
        Addresses to listen on for other VMs and the metrics scraper.
    seeds
        Peer addresses of some other VMs.
    store_address
        Address of the key-value store.
    grace_seconds
        Time from the stop signal until the process is killed.
    max_entry_ttl_seconds
        Longest time for which callers may cache an entry response.
    retry_rules
        Limits on retries.
    rate_window_seconds
        Window in which an organisation may use its rate and its burst.
    capacity
        Processor capacity of this VM in cores.
    first_start
        Whether the whole fleet starts for the first time.
    version_deadline_seconds
        Time after a change of the wanted version from which no request may begin on older weights.
    freshness_rules
        How recent this VM's copies of the store have to be.
    link_bits_per_second
        Bandwidth of this VM's link.
    memory_bytes
        Memory that the process may use; 0 for any amount.
    descriptors
        Open files and sockets that the process may have.
    release_rules
        Bounds on what a bad software version may get; None to take no part in releases.
    """

    name: str
    failure_domain: str
    region: str
    caller_address: str
    health_address: str
    entry_address: str
    control_address: str
    peer_address: str
    metrics_address: str
    seeds: tuple[str, ...]
    store_address: str
    grace_seconds: float
    max_entry_ttl_seconds: float
    retry_rules: service_retry_budgets.RetryRules
    version_deadline_seconds: float
    rate_window_seconds: float = 8.0
    capacity: float = 1.0
    first_start: bool = False
    freshness_rules: freshness.FreshnessRules = freshness.FreshnessRules()
    link_bits_per_second: float = 1e9
    memory_bytes: int = 0
    release_rules: messages.ReleaseRules | None = None
    descriptors: int = 4100
