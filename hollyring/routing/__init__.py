"""Request routing: prefix hashes, the cache index and placement on upstreams."""

from hollyring.core import lazy

__all__ = [  # noqa: F822
    "attempts",
    "block_table",
    "errors",
    "events",
    "health",
    "holdings",
    "index",
    "load",
    "lookups",
    "messages",
    "placement",
    "placing",
    "policies",
    "popularity",
    "prefix",
    "recent_prefixes",
    "requests",
    "retry",
    "router",
    "serving",
    "upstreams",
]

__getattr__ = lazy.modules(__name__, __all__)
