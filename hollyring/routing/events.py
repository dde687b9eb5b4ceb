"""Cache events and snapshots of an engine, as the cache index receives them."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable

from hollyring.routing import prefix


class EventKind(enum.StrEnum):
    """Kind of a cache event; the values are those of the engines' event API."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of an engine's cache, with its sequence number."""

    sequence: int
    kind: EventKind
    hashes: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EventBatch:
    """Events of one incarnation of an engine, as returned by one poll.

    Parameters
    ----------
    incarnation
        Incarnation of the engine that published them.
    events
        In any order; some may be missing or duplicated.
    """

    incarnation: int
    events: tuple[CacheEvent, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Hashes of all blocks that an engine had cached after the event `sequence`."""

    incarnation: int
    sequence: int
    hashes: tuple[int, ...]


def cache_event(sequence: int, kind: str, blocks: Iterable[str]) -> CacheEvent:
    """Return a cache event from the fields of an engine's event API.

    Raises
    ------
    BlockHashError
        If a block hash is not 16 hexadecimal digits.
    ValueError
        If `kind` is not a value of `EventKind`.

    Examples
    --------
    >>> cache_event(3, "stored", ["00000000000000ff"]).hashes
    (255,)
    """
    return CacheEvent(sequence, EventKind(kind), tuple(map(prefix.parse_block_hash, blocks)))
