"""Failure detection between VMs, selection of VM addresses for callers, and leases.

There are two independent membership protocols, each with its own way to select addresses: SWIM
(`members` and `entry_points`), and all-to-all heartbeats (`heartbeat`).
"""

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
