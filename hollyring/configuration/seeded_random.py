"""Seeded random numbers and samples."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash


class SeededRandom:
    """Deterministic random number generator.

    Examples
    --------
    >>> random = SeededRandom(7)
    >>> 0 <= random.uniform() < 1
    True
    >>> sorted(SeededRandom(7).sample(["vm-1", "vm-2"], 3))
    ['vm-1', 'vm-2']
    """

    __slots__ = ("_seed", "_count")

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._count = 0

    def uint64(self) -> int:
        """Return the next unsigned 64-bit integer."""
        self._count += 1
        return xxhash.xxh3_64_intdigest(self._count.to_bytes(8, "big"), seed=self._seed)

    def uniform(self) -> float:
        """Return the next float in [0, 1)."""
        return (self.uint64() >> 11) / (1 << 53)

    def sample(self, members: Sequence[str], count: int) -> list[str]:
        """Return `count` distinct members in their order, or all members if there are fewer."""
        if len(members) <= count:
            return list(members)
        indices: set[int] = set()
        while len(indices) < count:
            indices.add(self.uint64() % len(members))
        return [members[index] for index in sorted(indices)]
