"""Failure detection between VMs, selection of VM addresses for callers, and leases.

There are two independent membership protocols, each with its own way to select addresses: SWIM
(`members` and `entry_points`), and heartbeats among the VMs that serve callers (`heartbeat`,
`peer_table` and `serving_set`).
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
    "peer_table",
    "randomness",
    "request_meter",
    "serving_set",
    "table",
    "view",
]

__getattr__ = lazy.submodule_getattr(__name__, __all__)
