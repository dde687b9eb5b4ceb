"""Liveness of VMs, the addresses that callers are told, and leases."""

from hollyring.core import lazy

__all__ = [  # noqa: F822
    "actions",
    "beliefs",
    "entry",
    "errors",
    "gossip",
    "heartbeat",
    "leases",
    "members",
    "messages",
    "source",
    "table",
]

__getattr__ = lazy.submodule_getattr(__name__, __all__)
