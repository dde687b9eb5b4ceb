"""Prefix cache of the inference server stand-in, with the change events that it publishes."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Iterable

from hollyring.core import prompt_blocks

MAX_EVENTS = 20_000
"""Number of latest events that a cache retains."""


@dataclasses.dataclass(slots=True)
class CacheEvent:
    """A change of the cache.

    Parameters
    ----------
    seq
        Sequence number.
    kind
        ``"stored"``, ``"removed"`` or ``"cleared"``.
    blocks
        Hashes of the affected blocks, as 16 hexadecimal digits.
    at
        Time of the change on the monotonic clock, in seconds.
    """

    seq: int
    kind: str
    blocks: list[str]
    at: float


class PrefixCache:
    """LRU cache of block hashes that also evicts idle blocks.

    Parameters
    ----------
    capacity
        Maximum number of blocks.
    idle_seconds
        Seconds after which an unused block is evicted.
    drop_event
        Returns whether the next event is dropped, which leaves a gap in the sequence numbers.
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
        """Sequence number of the latest event."""
        return self._seq

    @property
    def block_hashes(self) -> list[str]:
        """Hashes of the cached blocks in hexadecimal, least recently used first."""
        return [f"{block_hash:016x}" for block_hash in self._last_used]

    def match_prefix(self, block_hashes: Iterable[int], now: float) -> int:
        """Return the number of leading cached blocks of a prompt, and mark them as used."""
        count = 0
        for block_hash in block_hashes:
            if block_hash not in self._last_used:
                break
            self._last_used[block_hash] = now
            self._last_used.move_to_end(block_hash)
            count += 1
        return count

    def store(self, block_hashes: Iterable[int], now: float) -> None:
        """Cache the blocks, and evict the least recently used ones beyond the capacity."""
        added = [block_hash for block_hash in block_hashes if block_hash not in self._last_used]
        for block_hash in reversed(added):
            self._last_used[block_hash] = now
        self._publish("stored", added, now)
        excess = max(0, len(self._last_used) - self._capacity)
        self._publish(
            "removed", [self._last_used.popitem(last=False)[0] for _ in range(excess)], now
        )

    def evict_idle(self, now: float) -> None:
        """Evict the blocks that have been unused for more than `idle_seconds`."""
        removed = []
        while self._last_used and next(iter(self._last_used.values())) < now - self._idle_seconds:
            removed.append(self._last_used.popitem(last=False)[0])
        self._publish("removed", removed, now)

    def clear(self, now: float) -> None:
        """Remove all blocks, as is required after a change of weights."""
        self._last_used.clear()
        self._publish("cleared", [], now)

    def contains(self, block_hash: int) -> bool:
        """Return whether a block is cached."""
        return block_hash in self._last_used

    def events(self, after: int, until: float) -> list[CacheEvent]:
        """Return the retained events with a number above `after` and a time of at most `until`."""
        return [event for event in self._events if event.seq > after and event.at <= until]

    def first_seq(self) -> int:
        """Return the sequence number of the oldest retained event."""
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
    """Return the number of tokens in `blocks` cached blocks."""
    return blocks * prompt_blocks.BLOCK_TOKENS
