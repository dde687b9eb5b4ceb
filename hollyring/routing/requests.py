"""Routing requests and routing decisions."""

from __future__ import annotations

import dataclasses
import enum

from hollyring.routing import messages, prefix


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """A request that needs an upstream.

    Parameters
    ----------
    organisation, model, version
        Organisation that sent the request, model, and version of its weights.
    chain
        Hash chain of the prompt, from `hollyring.routing.prefix.chain`.
    prompt_tokens, max_tokens
        Number of prompt tokens, and maximum number of tokens in the response.
    deadline
        Time at which the caller stops waiting for the first token.
    excluded
        Names of upstreams that were already tried.
    avoided_domains
        Failure domains of the tried upstreams; other domains are preferred.
    stored_blocks
        Number of leading blocks that the KV cache store has.
    """

    organisation: str
    model: str
    version: str
    chain: prefix.Chain
    prompt_tokens: int
    max_tokens: int
    deadline: float
    excluded: frozenset[str] = frozenset()
    avoided_domains: frozenset[str] = frozenset()
    stored_blocks: int = 0


class Source(enum.StrEnum):
    """Source of an estimate of cached blocks.

    `INDEX` is the cache index, `MEMORY` the prefixes recorded in
    `hollyring.routing.recent_prefixes`.
    """

    NOTHING = "nothing"
    INDEX = "index"
    MEMORY = "memory"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where to send a request.

    Parameters
    ----------
    upstream, incarnation
        Name of the upstream and the incarnation that the estimates apply to; 0 if unknown.
    expected_cached_tokens
        Expected number of cached prompt tokens.
    expected_seconds
        Expected time to first token.
    import_blocks
        Number of leading blocks to import from the KV cache store first; 0 for none.
    source
        Source of the estimate of cached tokens.
    """

    upstream: str
    incarnation: int
    expected_cached_tokens: int
    expected_seconds: float
    import_blocks: int = 0
    source: Source = Source.NOTHING


@dataclasses.dataclass(frozen=True, slots=True)
class AddressedLookup:
    """A lookup and the VM that it is to be sent to."""

    vm: str
    lookup: messages.Lookup


@dataclasses.dataclass(frozen=True, slots=True)
class NeedLookup:
    """Lookups to send before routing again with the answers that arrive in time."""

    lookups: tuple[AddressedLookup, ...]


class Unroutable(enum.StrEnum):
    """Reason why a request has no upstream."""

    NOT_SERVED = "not_served"
    ALL_TRIED = "all_tried"


@dataclasses.dataclass(frozen=True, slots=True)
class NoUpstream:
    """No upstream can serve the request; `retry_after` is in seconds."""

    reason: Unroutable
    retry_after: float


Decision = Route | NeedLookup | NoUpstream
