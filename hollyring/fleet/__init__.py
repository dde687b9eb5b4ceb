"""Orders to upstreams: weights, adapters, roles, fencing, pace of a rollout, drain."""

from hollyring.fleet import coverage, drain, errors, messages, rollout, targets

__all__ = ["coverage", "drain", "errors", "messages", "rollout", "targets"]
