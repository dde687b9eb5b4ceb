"""The limited prefix cache of the language server stand-in and the events it publishes."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Iterable

from hollyring.core import prompt_blocks

KEPT_EVENTS = 20_000


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
        self, capacity: int, idle_seconds: float, lost: Callable[[], bool] = lambda: False
    ) -> None:
        self._capacity = capacity
        self._idle_seconds = idle_seconds
        self._used: collections.OrderedDict[int, float] = collections.OrderedDict()
        self._events: collections.deque[CacheEvent] = collections.deque(maxlen=KEPT_EVENTS)
        self._seq = 0
        self._lost = lost

    @property
    def seq(self) -> int:
        """Number of the latest event."""
        return self._seq

    @property
    def names(self) -> list[str]:
        """Names of the cached blocks, least recently used first."""
        return [f"{name:016x}" for name in self._used]

    def match(self, names: Iterable[int], now: float) -> int:
        """Return how many leading blocks of `names` are cached, and mark them used."""
        count = 0
        for name in names:
            if name not in self._used:
                break
            self._used[name] = now
            self._used.move_to_end(name)
            count += 1
        return count

    def store(self, names: Iterable[int], now: float) -> None:
        """Cache the blocks `names`, evicting the least recently used beyond the capacity."""
        added = [name for name in names if name not in self._used]
        for name in reversed(added):
            self._used[name] = now
        self._publish("stored", added, now)
        over = max(0, len(self._used) - self._capacity)
        self._publish("removed", [self._used.popitem(last=False)[0] for _ in range(over)], now)

    def evict_idle(self, now: float) -> None:
        """Evict the blocks that were not used for long."""
        removed = []
        while self._used and next(iter(self._used.values())) < now - self._idle_seconds:
            removed.append(self._used.popitem(last=False)[0])
        self._publish("removed", removed, now)

    def clear(self, now: float) -> None:
        """Drop every block, as new weights do."""
        self._used.clear()
        self._publish("cleared", [], now)

    def has(self, name: int) -> bool:
        """Tell whether block `name` is cached."""
        return name in self._used

    def events(self, after: int, until: float) -> list[CacheEvent]:
        """Return the events numbered above `after` that happened by `until`."""
        return [event for event in self._events if event.seq > after and event.at <= until]

    def first(self) -> int:
        """Return the number of the oldest event kept."""
        return self._events[0].seq if self._events else self._seq + 1

    def _publish(self, kind: str, names: list[int], now: float) -> None:
        if not names and kind != "cleared":
            return
        self._seq += 1
        if self._lost():
            return
        self._events.append(CacheEvent(self._seq, kind, [f"{n:016x}" for n in names], now))


def cached_tokens(blocks: int) -> int:
    """Return the tokens that `blocks` cached blocks hold."""
    return blocks * prompt_blocks.BLOCK_TOKENS
