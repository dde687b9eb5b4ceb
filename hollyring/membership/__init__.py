"""Failure detection between VMs, selection of VM addresses for callers, and leases."""

from hollyring.core import lazy

__all__ = [  # noqa: F822
    "actions",
    "entry_points",
    "errors",
    "gossip",
    "heartbeat",
    "leases",
    "members",
    "messages",
    "randomness",
    "table",
    "view",
]

__getattr__ = lazy.submodule_getattr(__name__, __all__)
