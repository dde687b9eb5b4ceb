"""Estimated contents of the prefix caches of inference servers and cache stores.

A holder is an inference server or a cache store. A prompt part counts as cached once the response
to a request with that part has begun. Holders report insertions and evictions with a delay; these
reports correct the estimate, and the capacity of a holder bounds it, in which a part takes a block
at least. As callers choose how many parts a prompt has, all estimates together are bounded by the
number of their parts as well. The estimate for a holder is dropped when it restarts or changes its
weights. A wrong estimate makes a response slower but never incorrect, as holders look up parts by
salt.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence

from hollyring.core import request_types
from hollyring.limits import byte_budget

CAPACITY_FACTOR = 1.1
"""Maximum size of the estimate relative to the capacity.

It is above 1, as the holders report their evictions, which then reduce the estimate.
"""

BLOCK_TOKENS = 16
"""Block size of the KV cache; a part that lacks at most one block counts as complete."""

MAX_NAME_CHARACTERS = 128
"""Longest name of a part that is estimated; callers choose the names."""

PART_BYTES = 450
"""Memory of one part in an estimate, with the longest name."""

MEMORY_SHARE = 0.2
"""Share of what a process has beside its own memory that all estimates may take."""

MIN_PARTS = 8_000
MAX_PARTS = 400_000

DROPPED_SHARE = 16
"""Part of the largest estimate, as a divisor, that is dropped at once where there are too many."""


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
        if len(name) > MAX_NAME_CHARACTERS:
            return
        key = (salt, name)
        self._tokens -= _occupied(self._held.pop(key, 0))
        if tokens > 0:
            self._held[key] = tokens
            self._tokens += _occupied(tokens)
        while self._tokens > self._capacity and self._held:
            self._drop_oldest()

    def drop(self, parts: int) -> None:
        """Drop some parts, the least recently used ones."""
        for _ in range(min(parts, len(self._held))):
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, dropped = self._held.popitem(last=False)
        self._tokens -= _occupied(dropped)

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

    Parameters
    ----------
    max_parts
        Most parts of all estimates together; the largest estimate gives way.

    Examples
    --------
    >>> caches = PrefixCaches()
    >>> parts = (request_types.Part("circular", 4000), request_types.Part("parish", 2000))
    >>> caches.touch("ls-1", 100_000, "v1", parts)
    >>> caches.cached_tokens("ls-1", "v1", parts), caches.cached_tokens("ls-1", "v2", parts)
    (6000, 0)
    """

    __slots__ = ("_caches", "_max_parts", "_parts")

    def __init__(self, max_parts: int = MAX_PARTS) -> None:
        self._caches: dict[str, PrefixCache] = {}
        self._max_parts = max_parts
        self._parts = 0

    @property
    def parts(self) -> int:
        """Number of parts of all estimates."""
        return self._parts

    def touch(
        self, holder: str, capacity: int, salt: str, parts: Sequence[request_types.Part]
    ) -> None:
        """Mark `parts` as cached and used at `holder`, which has room for `capacity` tokens."""
        cache = self._cache(holder, capacity)
        before = len(cache)
        cache.touch(salt, parts)
        self._count(len(cache) - before)

    def set(self, holder: str, capacity: int, salt: str, name: str, tokens: int) -> None:
        """Set the number of cached tokens of a part at `holder`."""
        cache = self._cache(holder, capacity)
        before = len(cache)
        cache.set(salt, name, tokens)
        self._count(len(cache) - before)

    def _cache(self, holder: str, capacity: int) -> PrefixCache:
        cache = self._caches.get(holder)
        if cache is None:
            cache = self._caches[holder] = PrefixCache(capacity)
        return cache

    def _count(self, added: int) -> None:
        """Count parts that were added, and drop some where there are too many."""
        self._parts += added
        while self._parts > self._max_parts:
            largest = max(self._caches.values(), key=len)
            before = len(largest)
            largest.drop(max(1, before // DROPPED_SHARE))
            self._parts -= before - len(largest)

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
        cache = self._caches.pop(holder, None)
        if cache is not None:
            self._parts -= len(cache)

    def dump(self) -> dict[str, int]:
        """Return the number of cached parts by holder."""
        return {holder: len(cache) for holder, cache in self._caches.items()}


def max_parts_for(memory_bytes: int) -> int:
    """Return the most parts of all estimates of a process; 0 bytes stand for any amount.

    Examples
    --------
    >>> max_parts_for(150_000_000), max_parts_for(0)
    (34666, 400000)
    """
    if not memory_bytes:
        return MAX_PARTS
    rest = (memory_bytes - byte_budget.OWN_BYTES) * MEMORY_SHARE
    return max(MIN_PARTS, min(MAX_PARTS, int(rest / PART_BYTES)))


def _occupied(tokens: int) -> int:
    """Return the tokens of a cache that a part takes, which is one block at least."""
    return max(tokens, BLOCK_TOKENS) if tokens else 0
