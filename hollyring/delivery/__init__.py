"""Stream order and resumption, at-most-once execution, refusals and their truth."""

from hollyring.delivery import (
    calls,
    claimlog,
    claims,
    errors,
    events,
    messages,
    records,
    refusal,
    storage,
    stream,
)

__all__ = [
    "calls",
    "claimlog",
    "claims",
    "errors",
    "events",
    "messages",
    "records",
    "refusal",
    "storage",
    "stream",
]
