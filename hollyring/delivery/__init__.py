"""Ordered and resumable streams, at-most-once calls, and refusals with their execution status."""

from hollyring.core import lazy

__all__ = [  # noqa: F822
    "calls",
    "claim_log",
    "claims",
    "errors",
    "event_stream",
    "event_ids",
    "messages",
    "records",
    "refusal",
    "storage",
    "stream",
    "stream_origins",
]

__getattr__ = lazy.submodule_getattr(__name__, __all__)
