"""A compact set of 64-bit block names."""

from __future__ import annotations

import array
from collections.abc import Iterable, Iterator, Sequence

_FIRST_SLOTS = 64
_SLOT_BYTES = 8


class BlockTable:
    """A set of block names in one open-addressed array of 8-byte slots.

    Names are hashes already, so their low bits choose the slot; collisions probe the next one, and
    a removal shifts later names back, so that no tombstones gather.

    Parameters
    ----------
    limit
        Most names held. Beyond it a new name displaces an old one from its neighbourhood.

    Examples
    --------
    >>> table = BlockTable(limit=1000)
    >>> table.add(17)
    >>> 17 in table, 18 in table, len(table)
    (True, False, 1)
    >>> table.discard(17)
    >>> 17 in table
    False
    """

    __slots__ = ("_slots", "_mask", "_count", "_limit", "_displaced")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._displaced = 0
        self.clear()

    @property
    def displaced(self) -> int:
        """Names given up because the table was full."""
        return self._displaced

    @property
    def size_bytes(self) -> int:
        """Bytes of the slots."""
        return len(self._slots) * _SLOT_BYTES

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[int]:
        return (name for name in self._slots if name)

    def __contains__(self, name: int) -> bool:
        slots = self._slots
        mask = self._mask
        name = name or 1
        slot = name & mask
        while held := slots[slot]:
            if held == name:
                return True
            slot = (slot + 1) & mask
        return False

    def limit(self, limit: int) -> None:
        """Hold at most `limit` names from now on."""
        self._limit = limit
        while self._count > limit:
            self._displace(self._count)

    def clear(self) -> None:
        """Forget every name and give the memory back."""
        self._allocate(_FIRST_SLOTS)
        self._count = 0

    def add(self, name: int) -> None:
        """Hold `name`."""
        name = name or 1
        if name in self:
            return
        if self._count >= self._limit:
            self._displace(name)
        elif 4 * (self._count + 1) > 3 * len(self._slots):
            self._grow()
        self._insert(name)
        self._count += 1

    def update(self, names: Iterable[int]) -> None:
        """Hold all `names`."""
        for name in names:
            self.add(name)

    def replace(self, names: Sequence[int]) -> None:
        """Hold exactly `names`, the last ones if they are too many, in one fast pass."""
        kept = names[-self._limit :]
        self._displaced += len(names) - len(kept)
        size = _FIRST_SLOTS
        while 4 * len(kept) > 3 * size:
            size *= 2
        self._allocate(size)
        slots = self._slots
        mask = self._mask
        count = 0
        for name in kept:
            name = name or 1
            slot = name & mask
            while (held := slots[slot]) and held != name:
                slot = (slot + 1) & mask
            if not held:
                slots[slot] = name
                count += 1
        self._count = count

    def discard(self, name: int) -> None:
        """Forget `name` if it is held."""
        slots = self._slots
        mask = self._mask
        name = name or 1
        slot = name & mask
        while (held := slots[slot]) != name:
            if not held:
                return
            slot = (slot + 1) & mask
        self._remove_at(slot)

    def _allocate(self, size: int) -> None:
        self._slots = array.array("Q", bytes(size * _SLOT_BYTES))
        self._mask = size - 1

    def _grow(self) -> None:
        names = list(self)
        self._allocate(2 * len(self._slots))
        for name in names:
            self._insert(name)

    def _insert(self, name: int) -> None:
        slots = self._slots
        mask = self._mask
        slot = name & mask
        while slots[slot]:
            slot = (slot + 1) & mask
        slots[slot] = name

    def _displace(self, name: int) -> None:
        slot = name & self._mask
        while not self._slots[slot]:
            slot = (slot + 1) & self._mask
        self._remove_at(slot)
        self._displaced += 1

    def _remove_at(self, hole: int) -> None:
        slots = self._slots
        mask = self._mask
        slot = hole
        while held := slots[slot := (slot + 1) & mask]:
            if (slot - held) & mask >= (slot - hole) & mask:
                slots[hole] = held
                hole = slot
        slots[hole] = 0
        self._count -= 1
