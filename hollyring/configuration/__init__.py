"""Revisions of the configuration, their deltas, and what is in force on a VM."""

from hollyring.core import lazy

__all__ = [  # noqa: F822
    "checks",
    "choice",
    "deployment",
    "documents",
    "errors",
    "follower",
    "gossip",
    "in_force",
    "loading",
    "messages",
    "mirror",
    "objects",
    "publishing",
    "retained",
    "revisions",
    "snapshots",
    "state",
    "store",
    "submission",
    "transfer",
]

__getattr__ = lazy.submodule_getattr(__name__, __all__)
