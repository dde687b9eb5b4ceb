"""What this VM learnt itself about which upstream holds which prefix.

Each own dispatch says that its upstream is about to hold the prompt's pieces, and the
``cached_tokens`` of its answer says what it held. That is known at once, without any message.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Mapping, Sequence

MAX_NAMES = 16_384
"""Most block names remembered."""

RETENTION_SECONDS = 20.0
"""How long an upstream is taken to keep a prefix until its answers show otherwise."""

MIN_RETENTION_SECONDS = 1.0
MAX_RETENTION_SECONDS = 600.0

_GROWTH = 1.1
_SHRINK = 0.7


@dataclasses.dataclass(slots=True)
class Sighting:
    """An upstream's life that held a prefix at some moment."""

    incarnation: int
    seen_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Recalled:
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

    pieces: int
    incarnation: int
    confidence: float


class Sightings:
    """Recently seen prefixes by block name, least recently seen forgotten first.

    Parameters
    ----------
    max_names
        Most block names remembered.
    """

    __slots__ = ("_max_names", "_names", "_retention", "_valid_after")

    def __init__(self, max_names: int = MAX_NAMES) -> None:
        self._max_names = max_names
        self._names: collections.OrderedDict[int, dict[str, Sighting]] = collections.OrderedDict()
        self._retention: dict[str, float] = {}
        self._valid_after: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._names)

    def retention(self, upstream: str) -> float:
        """Return how many seconds `upstream` seems to keep a prefix."""
        return self._retention.get(upstream, RETENTION_SECONDS)

    def remember(
        self, upstream: str, incarnation: int, names: Sequence[int], seen_at: float
    ) -> None:
        """Note that `upstream` held `names` at `seen_at`; later sightings win."""
        for name in names:
            holders = self._names.get(name)
            if holders is None:
                holders = self._names[name] = {}
            else:
                self._names.move_to_end(name)
            known = holders.get(upstream)
            if known is None or (incarnation, seen_at) > (known.incarnation, known.seen_at):
                holders[upstream] = Sighting(incarnation, seen_at)
        while len(self._names) > self._max_names:
            self._names.popitem(last=False)

    def forget(self, upstream: str, names: Sequence[int]) -> None:
        """Note that `upstream` doesn't hold `names`."""
        for name in names:
            holders = self._names.get(name)
            if holders is None:
                continue
            holders.pop(upstream, None)
            if not holders:
                del self._names[name]

    def invalidate(self, upstream: str, now: float) -> None:
        """Trust no earlier sighting on `upstream`: it failed and may have come back empty."""
        self._valid_after[upstream] = now

    def recall(
        self, names: Sequence[int], lives: Mapping[str, int], now: float
    ) -> dict[str, Recalled]:
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
        found: dict[str, Recalled] = {}
        for index in range(len(names) - 1, -1, -1):
            for upstream, sighting in self._names.get(names[index], {}).items():
                if upstream in found or lives.get(upstream) != sighting.incarnation:
                    continue
                if sighting.seen_at <= self._valid_after.get(upstream, -math.inf):
                    continue
                age = max(0.0, now - sighting.seen_at)
                confidence = math.exp(-((age / self.retention(upstream)) ** 2))
                found[upstream] = Recalled(index + 1, sighting.incarnation, confidence)
        return found

    def age(self, upstream: str, names: Sequence[int], depth: int, now: float) -> float:
        """Return how long ago `upstream` was seen with the prefix of `depth` pieces, or 0."""
        if not depth:
            return 0.0
        sighting = self._names.get(names[depth - 1], {}).get(upstream)
        return now - sighting.seen_at if sighting else 0.0

    def learn(self, upstream: str, age: float, kept: bool) -> None:
        """Correct the retention of `upstream` by a prefix that was or wasn't kept for `age`."""
        retention = self.retention(upstream)
        if kept and age > retention / 2:
            retention = max(retention, age) * _GROWTH
        elif not kept and age < 2 * retention:
            retention = max(min(retention, age), retention * _SHRINK)
        self._retention[upstream] = min(
            MAX_RETENTION_SECONDS, max(MIN_RETENTION_SECONDS, retention)
        )

    def dump(self) -> dict[str, object]:
        """Return the size and the retention of each upstream."""
        retention = {name: round(value, 1) for name, value in sorted(self._retention.items())}
        return {"names": len(self._names), "retention_seconds": retention}
