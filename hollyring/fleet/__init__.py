"""Orders to upstreams: weights, adapters, roles, fencing, pace of a rollout, drain."""

from hollyring.fleet import drain, errors, messages, rollout, targets

__all__ = ["drain", "errors", "messages", "rollout", "targets"]
