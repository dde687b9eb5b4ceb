"""Cache events of an engine, as the adapter hands them to the index."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable

from hollyring.routing import prefix


class EventKind(enum.StrEnum):
    """What an engine's cache event says; the values are the engines' own words."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One numbered change of an engine's cache."""

    sequence: int
    kind: EventKind
    hashes: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EventBatch:
    """Events of one life of an engine, as one poll brought them.

    Parameters
    ----------
    incarnation
        The engine's life that published them.
    events
        In any order, possibly with gaps, possibly seen before.
    """

    incarnation: int
    events: tuple[CacheEvent, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All of an engine's cached blocks after the event numbered `sequence`."""

    incarnation: int
    sequence: int
    hashes: tuple[int, ...]


def cache_event(sequence: int, kind: str, blocks: Iterable[str]) -> CacheEvent:
    """Return the event that an engine writes with hexadecimal block names.

    Raises
    ------
    BlockHashError
        If a block isn't named by 16 hexadecimal digits.
    ValueError
        If `kind` is none of the engines' words.

    Examples
    --------
    >>> cache_event(3, "stored", ["00000000000000ff"]).hashes
    (255,)
    """
    return CacheEvent(sequence, EventKind(kind), tuple(map(prefix.parse_block_hash, blocks)))
