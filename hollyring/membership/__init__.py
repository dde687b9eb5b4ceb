"""Liveness of VMs, the addresses that callers are told, and leases."""

from hollyring.membership import (
    actions,
    beliefs,
    entry,
    errors,
    gossip,
    leases,
    members,
    messages,
    pulse,
    table,
)

__all__ = [
    "actions",
    "beliefs",
    "entry",
    "errors",
    "gossip",
    "leases",
    "members",
    "messages",
    "pulse",
    "table",
]
