"""Rollout of weights, adapters and roles to upstreams, by orders with fencing tokens."""

from hollyring.core import lazy

__all__ = [  # noqa: F822
    "coverage",
    "errors",
    "messages",
    "rollout",
    "rollout_limits",
    "targets",
]

__getattr__ = lazy.submodule_getattr(__name__, __all__)
