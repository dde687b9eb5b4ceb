"""Estimated contents of the prefix caches of inference servers and cache stores.

A holder is an inference server or a cache store. A prompt part counts as cached once the response
to a request with that part has begun. Holders report insertions and evictions with a delay; these
reports correct the estimate, and the capacity of a holder bounds it. The estimate for a holder is
dropped when it restarts or changes its weights. A wrong estimate makes a response slower but never
incorrect, as holders look up parts by salt.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence

from hollyring.core import request_types

CAPACITY_FACTOR = 1.1
"""Maximum size of the estimate relative to the capacity.

It is above 1, as the holders report their evictions, which then reduce the estimate.
"""

BLOCK_TOKENS = 16
"""Block size of the KV cache; a part that lacks at most one block counts as complete."""


class PrefixCache:
    """Estimated contents of one prefix cache, evicted in least recently used order."""

    __slots__ = ("_capacity", "_held", "_tokens")

    def __init__(self, capacity: int) -> None:
        self._capacity = int(capacity * CAPACITY_FACTOR)
        self._held: collections.OrderedDict[tuple[str, str], int] = collections.OrderedDict()
        self._tokens = 0

    def __len__(self) -> int:
        return len(self._held)

    def touch(self, salt: str, parts: Sequence[request_types.Part]) -> None:
        """Mark `parts` as cached and used; the first are evicted last, as later ones need them."""
        for part in reversed(parts):
            self.set(salt, part.name, part.tokens)

    def set(self, salt: str, name: str, tokens: int) -> None:
        """Set the number of cached tokens of a part; 0 removes it."""
        key = (salt, name)
        self._tokens += tokens - self._held.pop(key, 0)
        if tokens > 0:
            self._held[key] = tokens
        while self._tokens > self._capacity and self._held:
            _, dropped = self._held.popitem(last=False)
            self._tokens -= dropped

    def contents(self) -> list[tuple[str, str, int]]:
        """Return salt, name and cached tokens of each part, the least recently used one first."""
        return [(salt, name, tokens) for (salt, name), tokens in self._held.items()]

    def leading_tokens(self, salt: str, parts: Sequence[request_types.Part]) -> int:
        """Return the length of the cached prefix of `parts`, in tokens."""
        tokens = 0
        for part in parts:
            held = self._held.get((salt, part.name), 0)
            if held < part.tokens - BLOCK_TOKENS:
                return tokens + min(held, part.tokens)
            tokens += part.tokens
        return tokens


class PrefixCaches:
    """Estimated contents of the prefix caches by holder.

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
        """Mark `parts` as cached and used at `holder`, which has room for `capacity` tokens."""
        cache = self._caches.get(holder)
        if cache is None:
            cache = self._caches[holder] = PrefixCache(capacity)
        cache.touch(salt, parts)

    def set(self, holder: str, capacity: int, salt: str, name: str, tokens: int) -> None:
        """Set the number of cached tokens of a part at `holder`."""
        cache = self._caches.get(holder)
        if cache is None:
            cache = self._caches[holder] = PrefixCache(capacity)
        cache.set(salt, name, tokens)

    def cached_tokens(self, holder: str, salt: str, parts: Sequence[request_types.Part]) -> int:
        """Return the estimated length of the prefix of `parts` cached at `holder`, in tokens."""
        cache = self._caches.get(holder)
        return cache.leading_tokens(salt, parts) if cache else 0

    def contents(self, holder: str) -> list[tuple[str, str, int]]:
        """Return salt, name and cached tokens of the parts at `holder`, as `PrefixCache` does."""
        cache = self._caches.get(holder)
        return cache.contents() if cache else []

    def remove_holder(self, holder: str) -> None:
        """Drop the estimate for a holder that restarted, left or changed its weights."""
        self._caches.pop(holder, None)

    def dump(self) -> dict[str, int]:
        """Return the number of cached parts by holder."""
        return {holder: len(cache) for holder, cache in self._caches.items()}
