"""Revisions of the configuration, their deltas, and what is in force on a VM."""

from hollyring.configuration import (
    checks,
    documents,
    errors,
    follower,
    in_force,
    loading,
    messages,
    objects,
    publishing,
    revisions,
    snapshots,
    state,
    store,
    submission,
)
from hollyring.configuration.follower import Follower
from hollyring.configuration.in_force import InForce
from hollyring.configuration.state import Configuration

__all__ = [
    "Configuration",
    "Follower",
    "InForce",
    "checks",
    "documents",
    "errors",
    "follower",
    "in_force",
    "loading",
    "messages",
    "objects",
    "publishing",
    "revisions",
    "snapshots",
    "state",
    "store",
    "submission",
]
