"""Orders to upstreams: weights, adapters, roles, fencing, pace of a rollout."""

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
