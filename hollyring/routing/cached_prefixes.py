"""Where the start of one prompt is cached, looked up once for all candidates of a selection."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Iterable, Sequence

from hollyring.configuration import deployment
from hollyring.core import request_types
from hollyring.routing import prefix_caches, registry

KEPT_LEVELS = 2
"""Numbers of cached tokens whose upstreams are kept; one upstream may be all of the first."""


MIN_SAVED_TOKENS = 1000
"""Least number of shared tokens for which a prompt is saved to a cache store.

All parts of the prompt are saved. With fewer shared tokens, unshared ones would fill the store.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Address and failure domain of an upstream or cache store to fetch prompt parts from."""

    address: str
    domain: str


NO_SOURCE = Source("", "")


class _Level:
    """Upstreams that cache the same number of tokens, in their order in the registry."""

    __slots__ = ("tokens", "_holders", "_by_domain")

    def __init__(self, tokens: int, holders: list[registry.Upstream]) -> None:
        self.tokens = tokens
        self._holders = holders
        self._by_domain: dict[str, list[registry.Upstream]] = collections.defaultdict(list)
        for holder in holders:
            self._by_domain[holder.entry.domain].append(holder)

    def other_than(self, upstream: registry.Upstream) -> registry.Upstream | None:
        """Return another upstream than the given one, in its failure domain if there is one."""
        near = self._by_domain.get(upstream.entry.domain, [])
        found = _first_other(reversed(near), upstream)
        return found or _first_other(self._holders, upstream)


class CachedPrefixes:
    """Lengths of the cached prefixes of a prompt under one cache salt.

    Parameters
    ----------
    upstreams
        All upstreams of the prompt's service.
    stores
        Cache stores that may be used.
    cached_tokens
        Returns the length of the prefix that a holder caches, in tokens.
    now
        Time at which upstreams that are suspect or load weights are no sources.
    """

    __slots__ = ("_tokens", "_levels", "_stores")

    def __init__(
        self,
        upstreams: Iterable[registry.Upstream],
        stores: Iterable[deployment.CacheStore],
        cached_tokens: Callable[[str], int],
        now: float,
    ) -> None:
        self._tokens: dict[str, int] = {}
        holders: dict[int, list[registry.Upstream]] = collections.defaultdict(list)
        for upstream in upstreams:
            tokens = self._tokens[upstream.name] = cached_tokens(upstream.name)
            if tokens and not upstream.is_suspect(now) and not upstream.is_loading(now):
                holders[tokens].append(upstream)
        most = sorted(holders, reverse=True)[:KEPT_LEVELS]
        self._levels = [_Level(tokens, holders[tokens]) for tokens in most]
        self._stores = [(store, cached_tokens(store.address)) for store in stores]

    def tokens(self, upstream: registry.Upstream) -> int:
        """Return the length of the prefix that an upstream caches, in tokens."""
        return self._tokens[upstream.name]

    def source(self, upstream: registry.Upstream) -> tuple[Source, int]:
        """Return where an upstream can fetch the longest cached prefix, and its length in tokens.

        The source is another upstream or a cache store. Among equals, a cache store comes first,
        then an upstream in the failure domain of the given one.
        """
        source, most_tokens = NO_SOURCE, 0
        for level in self._levels:
            other = level.other_than(upstream)
            if other is not None:
                source, most_tokens = Source(other.entry.address, other.entry.domain), level.tokens
                break
        for store, tokens in self._stores:
            if tokens >= most_tokens > 0 or tokens > most_tokens:
                source, most_tokens = Source(store.address, store.failure_domain), tokens
        return source, most_tokens


class Lookups:
    """Lookups of one prompt, kept for all candidates of a selection.

    Parameters
    ----------
    prompt
        The prompt.
    upstreams
        All upstreams of its service.
    stores
        Cache stores that may be used.
    caches
        Estimated contents of the prefix caches.
    now
        Time of the selection.
    """

    __slots__ = (
        "_prompt",
        "_upstreams",
        "_stores",
        "_caches",
        "_now",
        "_prefixes",
        "_stores_to_save",
    )

    def __init__(
        self,
        prompt: request_types.Prompt,
        upstreams: Sequence[registry.Upstream],
        stores: Sequence[deployment.CacheStore],
        caches: prefix_caches.PrefixCaches,
        now: float,
    ) -> None:
        self._prompt = prompt
        self._upstreams = upstreams
        self._stores = stores
        self._caches = caches
        self._now = now
        self._prefixes: dict[str, CachedPrefixes] = {}
        self._stores_to_save: dict[str, str] = {}

    def prefixes(self, salt: str) -> CachedPrefixes:
        """Return the lengths of the cached prefixes under a cache salt."""
        known = self._prefixes.get(salt)
        if known is None:
            known = self._prefixes[salt] = CachedPrefixes(
                self._upstreams,
                self._stores,
                lambda holder: self._caches.cached_tokens(holder, salt, self._prompt.parts),
                self._now,
            )
        return known

    def store_to_save(self, salt: str) -> str:
        """Return the address of a store that lacks shared parts, or an empty string."""
        known = self._stores_to_save.get(salt)
        if known is None:
            known = self._stores_to_save[salt] = self._find_store_to_save(salt)
        return known

    def _find_store_to_save(self, salt: str) -> str:
        shared = self._prompt.shared_parts
        tokens = sum(part.tokens for part in shared)
        if tokens < MIN_SAVED_TOKENS:
            return ""
        for store in self._stores:
            if self._caches.cached_tokens(store.address, salt, shared) < tokens:
                return store.address
        return ""


def _first_other(
    holders: Iterable[registry.Upstream], upstream: registry.Upstream
) -> registry.Upstream | None:
    return next((holder for holder in holders if holder is not upstream), None)
