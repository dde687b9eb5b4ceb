"""Prefixes that upstreams cached recently, according to dispatches and to answers to lookups.

A dispatch implies that its upstream will cache the blocks of the prompt, and the ``cached_tokens``
of the response show what it had cached before. This VM knows both without a message to another VM.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Mapping, Sequence

MAX_HASHES = 16_384
"""Maximum number of recorded block hashes."""

RETENTION_SECONDS = 20.0
"""Initial estimate of the time for which an upstream keeps a prefix; its responses correct it."""

MIN_RETENTION_SECONDS = 1.0
MAX_RETENTION_SECONDS = 600.0

_RETENTION_GROWTH = 1.1
_RETENTION_SHRINK = 0.7


@dataclasses.dataclass(slots=True)
class PrefixRecord:
    """Record that an incarnation of an upstream had a prefix cached at the time `seen_at`."""

    incarnation: int
    seen_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixMatch:
    """Longest recorded prefix of a hash chain at one upstream.

    Parameters
    ----------
    blocks
        Number of leading blocks that were cached.
    incarnation
        Incarnation of the upstream that cached them.
    confidence
        From 0 to 1; decreases with age, faster for upstreams that evict early.
    """

    blocks: int
    incarnation: int
    confidence: float


class RecentPrefixes:
    """Upstreams that recently cached each block, by hash.

    Parameters
    ----------
    max_hashes
        Maximum number of recorded block hashes; the least recently recorded is dropped first.
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
        """Return the estimated time in seconds for which `upstream` keeps a prefix."""
        return self._retention.get(upstream, RETENTION_SECONDS)

    def record(
        self, upstream: str, incarnation: int, hashes: Sequence[int], seen_at: float
    ) -> None:
        """Record that `upstream` had `hashes` cached at `seen_at`; the latest record is kept."""
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
        """Remove the records of `hashes` at `upstream`."""
        for block_hash in hashes:
            holders = self._upstreams_by_hash.get(block_hash)
            if holders is None:
                continue
            holders.pop(upstream, None)
            if not holders:
                del self._upstreams_by_hash[block_hash]

    def invalidate(self, upstream: str, now: float) -> None:
        """Ignore the records of `upstream` up to `now`: it failed and may have lost its cache."""
        self._valid_after[upstream] = now

    def find(
        self, hashes: Sequence[int], incarnations: Mapping[str, int], now: float
    ) -> dict[str, PrefixMatch]:
        """Return the longest recorded prefix of `hashes` for each upstream that has one.

        Parameters
        ----------
        hashes
            Hashes of the chain, shortest prefix first.
        incarnations
            Current incarnation of each upstream; records of other incarnations are ignored.
        now
            Current time in seconds.
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
        """Return the age of the record of the prefix of `depth` blocks at `upstream`, or 0."""
        if not depth:
            return 0.0
        record = self._upstreams_by_hash.get(hashes[depth - 1], {}).get(upstream)
        return now - record.seen_at if record else 0.0

    def update_retention(self, upstream: str, age: float, cached: bool) -> None:
        """Update the retention of `upstream` from whether a prefix was still cached after `age`."""
        retention = self.retention(upstream)
        if cached and age > retention / 2:
            retention = max(retention, age) * _RETENTION_GROWTH
        elif not cached and age < 2 * retention:
            retention = max(min(retention, age), retention * _RETENTION_SHRINK)
        self._retention[upstream] = min(
            MAX_RETENTION_SECONDS, max(MIN_RETENTION_SECONDS, retention)
        )

    def dump(self) -> dict[str, object]:
        """Return the number of hashes and the retention of each upstream."""
        retention = {name: round(value, 1) for name, value in sorted(self._retention.items())}
        return {"names": len(self._upstreams_by_hash), "retention_seconds": retention}
