"""What this VM learnt itself about which upstream holds which prefix.

Each own dispatch says that its upstream is about to hold the prompt's pieces, and the
``cached_tokens`` of its answer says what it held. That is known at once, without any message.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Mapping, Sequence

MAX_HASHES = 16_384
"""Most block names remembered."""

RETENTION_SECONDS = 20.0
"""How long an upstream is taken to keep a prefix until its answers show otherwise."""

MIN_RETENTION_SECONDS = 1.0
MAX_RETENTION_SECONDS = 600.0

_RETENTION_GROWTH = 1.1
_RETENTION_SHRINK = 0.7


@dataclasses.dataclass(slots=True)
class PrefixRecord:
    """An upstream's life that held a prefix at some moment."""

    incarnation: int
    seen_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixMatch:
    """A remembered prefix.

    Parameters
    ----------
    pieces
        Leading pieces that the upstream held.
    incarnation
        The upstream's life that held them.
    confidence
        From 0 to 1: falls with age, faster on upstreams that were seen to evict soon.
    """

    blocks: int
    incarnation: int
    confidence: float


class RecentPrefixes:
    """Recently seen prefixes by block name, least recently seen forgotten first.

    Parameters
    ----------
    max_names
        Most block names remembered.
    """

    __slots__ = ("_max_hashes", "_upstreams_by_hash", "_retention", "_valid_after")

    def __init__(self, max_hashes: int = MAX_HASHES) -> None:
        self._max_hashes = max_hashes
        self._upstreams_by_hash: collections.OrderedDict[int, dict[str, PrefixRecord]] = (
            collections.OrderedDict()
        )
        self._retention: dict[str, float] = {}
        self._valid_after: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._upstreams_by_hash)

    def retention(self, upstream: str) -> float:
        """Return how many seconds `upstream` seems to keep a prefix."""
        return self._retention.get(upstream, RETENTION_SECONDS)

    def record(
        self, upstream: str, incarnation: int, hashes: Sequence[int], seen_at: float
    ) -> None:
        """Note that `upstream` held `names` at `seen_at`; later sightings win."""
        for block_hash in hashes:
            holders = self._upstreams_by_hash.get(block_hash)
            if holders is None:
                holders = self._upstreams_by_hash[block_hash] = {}
            else:
                self._upstreams_by_hash.move_to_end(block_hash)
            previous = holders.get(upstream)
            if previous is None or (incarnation, seen_at) > (
                previous.incarnation,
                previous.seen_at,
            ):
                holders[upstream] = PrefixRecord(incarnation, seen_at)
        while len(self._upstreams_by_hash) > self._max_hashes:
            self._upstreams_by_hash.popitem(last=False)

    def remove(self, upstream: str, hashes: Sequence[int]) -> None:
        """Note that `upstream` doesn't hold `names`."""
        for block_hash in hashes:
            holders = self._upstreams_by_hash.get(block_hash)
            if holders is None:
                continue
            holders.pop(upstream, None)
            if not holders:
                del self._upstreams_by_hash[block_hash]

    def invalidate(self, upstream: str, now: float) -> None:
        """Trust no earlier sighting on `upstream`: it failed and may have come back empty."""
        self._valid_after[upstream] = now

    def find(
        self, hashes: Sequence[int], incarnations: Mapping[str, int], now: float
    ) -> dict[str, PrefixMatch]:
        """Return, for each upstream that was seen with a prefix of `names`, the longest one.

        Parameters
        ----------
        names
            The chain's names, shortest prefix first.
        lives
            Present incarnation of each upstream; sightings of any other are passed over.
        now
            Present time.
        """
        found: dict[str, PrefixMatch] = {}
        for position in range(len(hashes) - 1, -1, -1):
            for upstream, record in self._upstreams_by_hash.get(hashes[position], {}).items():
                if upstream in found or incarnations.get(upstream) != record.incarnation:
                    continue
                if record.seen_at <= self._valid_after.get(upstream, -math.inf):
                    continue
                age = max(0.0, now - record.seen_at)
                confidence = math.exp(-((age / self.retention(upstream)) ** 2))
                found[upstream] = PrefixMatch(position + 1, record.incarnation, confidence)
        return found

    def record_age(self, upstream: str, hashes: Sequence[int], depth: int, now: float) -> float:
        """Return how long ago `upstream` was seen with the prefix of `depth` pieces, or 0."""
        if not depth:
            return 0.0
        record = self._upstreams_by_hash.get(hashes[depth - 1], {}).get(upstream)
        return now - record.seen_at if record else 0.0

    def update_retention(self, upstream: str, age: float, cached: bool) -> None:
        """Correct the retention of `upstream` by a prefix that was or wasn't kept for `age`."""
        retention = self.retention(upstream)
        if cached and age > retention / 2:
            retention = max(retention, age) * _RETENTION_GROWTH
        elif not cached and age < 2 * retention:
            retention = max(min(retention, age), retention * _RETENTION_SHRINK)
        self._retention[upstream] = min(
            MAX_RETENTION_SECONDS, max(MIN_RETENTION_SECONDS, retention)
        )

    def dump(self) -> dict[str, object]:
        """Return the size and the retention of each upstream."""
        retention = {name: round(value, 1) for name, value in sorted(self._retention.items())}
        return {"names": len(self._upstreams_by_hash), "retention_seconds": retention}
