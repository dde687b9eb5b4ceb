"""The limited prefix cache of the language server stand-in and the events it publishes."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Iterable

from hollyring.core import prompt_blocks

MAX_EVENTS = 20_000


@dataclasses.dataclass(slots=True)
class CacheEvent:
    """A published change of the cache."""

    seq: int
    kind: str
    blocks: list[str]
    at: float


class PrefixCache:
    """Blocks by name in order of use, evicted when over capacity or idle.

    Parameters
    ----------
    capacity
        How many blocks fit.
    idle_seconds
        A block unused for so long is evicted.
    lost
        Tells of each event whether it is lost, which leaves a gap.
    """

    def __init__(
        self, capacity: int, idle_seconds: float, drop_event: Callable[[], bool] = lambda: False
    ) -> None:
        self._capacity = capacity
        self._idle_seconds = idle_seconds
        self._last_used: collections.OrderedDict[int, float] = collections.OrderedDict()
        self._events: collections.deque[CacheEvent] = collections.deque(maxlen=MAX_EVENTS)
        self._seq = 0
        self._drop_event = drop_event

    @property
    def seq(self) -> int:
        """Number of the latest event."""
        return self._seq

    @property
    def block_hashes(self) -> list[str]:
        """Names of the cached blocks, least recently used first."""
        return [f"{block_hash:016x}" for block_hash in self._last_used]

    def match_prefix(self, block_hashes: Iterable[int], now: float) -> int:
        """Return how many leading blocks of `names` are cached, and mark them used."""
        count = 0
        for block_hash in block_hashes:
            if block_hash not in self._last_used:
                break
            self._last_used[block_hash] = now
            self._last_used.move_to_end(block_hash)
            count += 1
        return count

    def store(self, block_hashes: Iterable[int], now: float) -> None:
        """Cache the blocks `names`, evicting the least recently used beyond the capacity."""
        added = [block_hash for block_hash in block_hashes if block_hash not in self._last_used]
        for block_hash in reversed(added):
            self._last_used[block_hash] = now
        self._publish("stored", added, now)
        excess = max(0, len(self._last_used) - self._capacity)
        self._publish(
            "removed", [self._last_used.popitem(last=False)[0] for _ in range(excess)], now
        )

    def evict_idle(self, now: float) -> None:
        """Evict the blocks that were not used for long."""
        removed = []
        while self._last_used and next(iter(self._last_used.values())) < now - self._idle_seconds:
            removed.append(self._last_used.popitem(last=False)[0])
        self._publish("removed", removed, now)

    def clear(self, now: float) -> None:
        """Drop every block, as new weights do."""
        self._last_used.clear()
        self._publish("cleared", [], now)

    def contains(self, block_hash: int) -> bool:
        """Tell whether block `name` is cached."""
        return block_hash in self._last_used

    def events(self, after: int, until: float) -> list[CacheEvent]:
        """Return the events numbered above `after` that happened by `until`."""
        return [event for event in self._events if event.seq > after and event.at <= until]

    def first_seq(self) -> int:
        """Return the number of the oldest event kept."""
        return self._events[0].seq if self._events else self._seq + 1

    def _publish(self, kind: str, block_hashes: list[int], now: float) -> None:
        if not block_hashes and kind != "cleared":
            return
        self._seq += 1
        if self._drop_event():
            return
        self._events.append(
            CacheEvent(self._seq, kind, [f"{block_hash:016x}" for block_hash in block_hashes], now)
        )


def cached_tokens(blocks: int) -> int:
    """Return the tokens that `blocks` cached blocks hold."""
    return blocks * prompt_blocks.BLOCK_TOKENS
