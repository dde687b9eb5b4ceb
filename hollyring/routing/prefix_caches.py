"""Which parts of prompts each language server and cache store is thought to hold.

A part counts as held once a request that reads it began to answer. Holders tell late what they
took up and dropped, which corrects the guess; a holder's size bounds it. Parts are forgotten when
their holder restarts or changes its weights. A wrong guess costs time, never correctness: holders
find parts by salt.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence

from hollyring.core import request_types

CAPACITY_FACTOR = 1.1
"""More than a holder's memory is never counted; evictions are told, so the bound may be loose."""

BLOCK_TOKENS = 16
"""Holders keep whole blocks: a part that lacks less than one counts as whole."""


class PrefixCache:
    """One holder's parts with the tokens held of each, the least recently used first."""

    __slots__ = ("_capacity", "_held", "_tokens")

    def __init__(self, capacity: int) -> None:
        self._capacity = int(capacity * CAPACITY_FACTOR)
        self._held: collections.OrderedDict[tuple[str, str], int] = collections.OrderedDict()
        self._tokens = 0

    def __len__(self) -> int:
        return len(self._held)

    def touch(self, salt: str, parts: Sequence[request_types.Part]) -> None:
        """Count `parts` as used now; the first ones yield last, as later ones need them."""
        for part in reversed(parts):
            self.set(salt, part.name, part.tokens)

    def set(self, salt: str, name: str, tokens: int) -> None:
        """Count `tokens` of a part as held, none if 0."""
        key = (salt, name)
        self._tokens += tokens - self._held.pop(key, 0)
        if tokens > 0:
            self._held[key] = tokens
        while self._tokens > self._capacity and self._held:
            _, dropped = self._held.popitem(last=False)
            self._tokens -= dropped

    def leading_tokens(self, salt: str, parts: Sequence[request_types.Part]) -> int:
        """Return the leading tokens of `parts` that are all held."""
        tokens = 0
        for part in parts:
            held = self._held.get((salt, part.name), 0)
            if held < part.tokens - BLOCK_TOKENS:
                return tokens + min(held, part.tokens)
            tokens += part.tokens
        return tokens


class PrefixCaches:
    """What all holders are thought to hold.

    Examples
    --------
    >>> caches = PrefixCaches()
    >>> parts = (request_types.Part("circular", 4000), request_types.Part("parish", 2000))
    >>> caches.touch("ls-1", 100_000, "v1", parts)
    >>> caches.cached_tokens("ls-1", "v1", parts), caches.cached_tokens("ls-1", "v2", parts)
    (6000, 0)
    """

    __slots__ = ("_caches",)

    def __init__(self) -> None:
        self._caches: dict[str, PrefixCache] = {}

    def touch(
        self, holder: str, capacity: int, salt: str, parts: Sequence[request_types.Part]
    ) -> None:
        """Count `parts` as held and used by `holder`, whose memory has `capacity` tokens."""
        cache = self._caches.get(holder)
        if cache is None:
            cache = self._caches[holder] = PrefixCache(capacity)
        cache.touch(salt, parts)

    def set(self, holder: str, capacity: int, salt: str, name: str, tokens: int) -> None:
        """Take in how much of a part `holder` holds now."""
        cache = self._caches.get(holder)
        if cache is None:
            cache = self._caches[holder] = PrefixCache(capacity)
        cache.set(salt, name, tokens)

    def cached_tokens(self, holder: str, salt: str, parts: Sequence[request_types.Part]) -> int:
        """Return the leading tokens of `parts` that `holder` is thought to hold."""
        cache = self._caches.get(holder)
        return cache.leading_tokens(salt, parts) if cache else 0

    def remove_holder(self, holder: str) -> None:
        """Forget a holder that restarted, went, or changed its weights."""
        self._caches.pop(holder, None)

    def dump(self) -> dict[str, int]:
        """Return the parts counted at each holder."""
        return {holder: len(cache) for holder, cache in self._caches.items()}
