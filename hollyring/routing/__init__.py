"""Prefix chains, the cache index, placement, retries and deadlines."""

from hollyring.core import lazy

__all__ = [  # noqa: F822
    "attempts",
    "blocks",
    "errors",
    "events",
    "health",
    "holdings",
    "index",
    "load",
    "lookups",
    "memory",
    "messages",
    "placement",
    "placing",
    "policies",
    "popularity",
    "prefix",
    "requests",
    "retry",
    "router",
    "serving",
    "upstreams",
]

__getattr__ = lazy.submodule_getattr(__name__, __all__)
