"""Stream order and resumption, at-most-once execution, refusals and their truth."""

from hollyring.delivery import errors, events, refusal, stream

__all__ = ["errors", "events", "refusal", "stream"]
