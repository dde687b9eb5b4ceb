"""Request routing: prefix hashes, the cache index and placement on upstreams."""

from hollyring.core import lazy

__all__ = [  # noqa: F822
    "attempts",
    "block_table",
    "errors",
    "events",
    "health",
    "index",
    "load",
    "lookups",
    "messages",
    "placement",
    "policies",
    "popularity",
    "prefix",
    "prefix_caches",
    "recent_prefixes",
    "registry",
    "requests",
    "retry",
    "router",
    "selection",
    "software_versions",
    "upstreams",
]

__getattr__ = lazy.submodule_getattr(__name__, __all__)
