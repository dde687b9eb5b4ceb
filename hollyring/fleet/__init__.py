"""Orders to upstreams: weights, adapters, roles, fencing, pace of a rollout, drain."""

from hollyring.core import lazy

__all__ = [  # noqa: F822
    "coverage",
    "drain",
    "errors",
    "messages",
    "rollout",
    "targets",
]

__getattr__ = lazy.modules(__name__, __all__)
