"""What routing is asked and what it answers."""

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
        Whose request it is, and for which weights.
    chain
        Names of the prompt's pieces, from `hollyring.routing.prefix.chain`.
    prompt_tokens, max_tokens
        Sizes of the prompt and of the longest answer.
    deadline
        When the caller stops waiting for the first token.
    excluded
        Upstreams that were tried already.
    avoided_domains
        Failure domains of the tried ones: others are preferred.
    stored_blocks
        Leading pieces that the KV cache store is known to hold.
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
    """Where the expectation of cached pieces came from."""

    NOTHING = "nothing"
    INDEX = "index"
    MEMORY = "memory"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where to send a request.

    Parameters
    ----------
    upstream, incarnation
        The upstream and the life of it that the expectations are about; 0 if never seen.
    expected_cached_tokens
        Prompt tokens that it is expected to hold.
    expected_seconds
        Expected time to first token.
    import_pieces
        Leading pieces to order from the KV cache store first; 0 for none.
    source
        What the expectation relies on.
    """

    upstream: str
    incarnation: int
    expected_cached_tokens: int
    expected_seconds: float
    import_pieces: int = 0
    source: Source = Source.NOTHING


@dataclasses.dataclass(frozen=True, slots=True)
class AddressedLookup:
    """A lookup and the VM to send it to."""

    vm: str
    lookup: messages.Lookup


@dataclasses.dataclass(frozen=True, slots=True)
class NeedLookup:
    """Ask these VMs first, then route again with what came back in time."""

    lookups: tuple[AddressedLookup, ...]


class Unroutable(enum.StrEnum):
    """Why a request has no upstream."""

    NOT_SERVED = "not_served"
    ALL_TRIED = "all_tried"


@dataclasses.dataclass(frozen=True, slots=True)
class NoUpstream:
    """No upstream can take the request."""

    reason: Unroutable
    retry_after: float


Decision = Route | NeedLookup | NoUpstream
