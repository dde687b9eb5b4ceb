"""Prefix chains, the cache index, placement, retries and deadlines."""

from hollyring.routing import (
    blocks,
    errors,
    events,
    health,
    index,
    load,
    memory,
    messages,
    placement,
    policies,
    popularity,
    prefix,
    requests,
    retry,
    router,
    upstreams,
)

__all__ = [
    "blocks",
    "errors",
    "events",
    "health",
    "index",
    "load",
    "memory",
    "messages",
    "placement",
    "policies",
    "popularity",
    "prefix",
    "requests",
    "retry",
    "router",
    "upstreams",
]
