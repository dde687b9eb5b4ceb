"""Revisions of the configuration, their storage, and their replication to the VMs."""

from hollyring.core import lazy

__all__ = [  # noqa: F822
    "deployment",
    "documents",
    "errors",
    "gossip",
    "loader",
    "messages",
    "mirror",
    "objects",
    "replica",
    "revision_log",
    "revisions",
    "seeded_random",
    "snapshot_transfer",
    "snapshot_writer",
    "snapshots",
    "state",
    "store",
    "store_sync",
    "submission",
    "validation",
]

__getattr__ = lazy.submodule_getattr(__name__, __all__)
