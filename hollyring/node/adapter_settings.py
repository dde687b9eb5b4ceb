"""Settings of a VM whose configuration comes from a store."""

from __future__ import annotations

import dataclasses

from hollyring.limits import service_retry_budgets


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterSettings:
    """Where a VM listens and whom it talks to; every address is ``"IP:PORT"``.

    Parameters
    ----------
    name, failure_domain, region
        Where this VM stands.
    caller_address, health_address, entry_address, control_address
        Where callers, health checks, questions for entry addresses and operators connect.
    peer_address, metrics_address
        Where other VMs and the reader of metrics connect.
    seeds
        Peer addresses of some VMs.
    store_address
        The store.
    grace_seconds
        Time from the signal to stop until the process is killed.
    max_entry_ttl_seconds
        Longest time for which callers keep an entry answer.
    retry_rules
        Bounds on what is sent again.
    version_deadline_seconds
        Time after which no request may begin on older weights than those wanted.
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
