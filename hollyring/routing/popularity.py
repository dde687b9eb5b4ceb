"""Decaying counts of the requests that this VM recently dispatched with each prefix."""

from __future__ import annotations

import collections
import math

HALF_LIFE_SECONDS = 10.0
MAX_HASHES = 8192
"""Maximum number of counted prefixes; the least recently counted is dropped first."""


class Popularity:
    """Exponentially decaying counts of requests by prefix hash.

    Examples
    --------
    >>> counts = Popularity()
    >>> counts.add(17, now=0.0)
    >>> counts.add(17, now=0.0)
    >>> counts.count(17, now=0.0), counts.count(17, now=HALF_LIFE_SECONDS)
    (2.0, 1.0)
    """

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: collections.OrderedDict[int, tuple[float, float]] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, prefix_hash: int, now: float) -> None:
        """Count one request with the prefix `prefix_hash`."""
        self._counts[prefix_hash] = (self.count(prefix_hash, now) + 1.0, now)
        self._counts.move_to_end(prefix_hash)
        if len(self._counts) > MAX_HASHES:
            self._counts.popitem(last=False)

    def count(self, prefix_hash: int, now: float) -> float:
        """Return the decayed number of requests with the prefix `prefix_hash`."""
        count, at = self._counts.get(prefix_hash, (0.0, now))
        return count * math.exp2((at - now) / HALF_LIFE_SECONDS)
