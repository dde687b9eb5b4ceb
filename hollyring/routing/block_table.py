"""A compact set of 64-bit block hashes."""

from __future__ import annotations

import array
from collections.abc import Iterable, Iterator, Sequence

_MIN_SLOTS = 64
_SLOT_BYTES = 8


class BlockTable:
    """A set of block hashes in one open-addressed array of 8-byte slots.

    The low bits of a hash select its slot, without hashing it again. Collisions use linear probing,
    and a removal shifts later hashes back, so that no tombstones accumulate. A slot of 0 is empty;
    the hash 0 is therefore stored as 1.

    Parameters
    ----------
    limit
        Maximum number of hashes. At the limit, a new hash replaces one in a slot near its own.

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
        """Number of hashes dropped to stay within the limit."""
        return self._displaced

    @property
    def size_bytes(self) -> int:
        """Size of the slots in bytes."""
        return len(self._slots) * _SLOT_BYTES

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[int]:
        return (block_hash for block_hash in self._slots if block_hash)

    def __contains__(self, block_hash: int) -> bool:
        slots = self._slots
        mask = self._mask
        block_hash = block_hash or 1
        slot = block_hash & mask
        while held := slots[slot]:
            if held == block_hash:
                return True
            slot = (slot + 1) & mask
        return False

    def set_limit(self, limit: int) -> None:
        """Set the maximum number of hashes, dropping those in excess."""
        self._limit = limit
        while self._count > limit:
            self._displace(self._count)

    def clear(self) -> None:
        """Remove all hashes and release their memory."""
        self._allocate(_MIN_SLOTS)
        self._count = 0

    def add(self, block_hash: int) -> None:
        """Add `block_hash`, displacing another hash if the table is full."""
        block_hash = block_hash or 1
        if block_hash in self:
            return
        if self._count >= self._limit:
            self._displace(block_hash)
        elif 4 * (self._count + 1) > 3 * len(self._slots):
            self._grow()
        self._insert(block_hash)
        self._count += 1

    def update(self, hashes: Iterable[int]) -> None:
        """Add all `hashes`."""
        for block_hash in hashes:
            self.add(block_hash)

    def replace(self, hashes: Sequence[int]) -> None:
        """Replace all hashes by `hashes` in one pass; beyond the limit, keep the last ones."""
        kept = hashes[-self._limit :]
        self._displaced += len(hashes) - len(kept)
        size = _MIN_SLOTS
        while 4 * len(kept) > 3 * size:
            size *= 2
        self._allocate(size)
        slots = self._slots
        mask = self._mask
        count = 0
        for block_hash in kept:
            block_hash = block_hash or 1
            slot = block_hash & mask
            while (held := slots[slot]) and held != block_hash:
                slot = (slot + 1) & mask
            if not held:
                slots[slot] = block_hash
                count += 1
        self._count = count

    def discard(self, block_hash: int) -> None:
        """Remove `block_hash` if present."""
        slots = self._slots
        mask = self._mask
        block_hash = block_hash or 1
        slot = block_hash & mask
        while (held := slots[slot]) != block_hash:
            if not held:
                return
            slot = (slot + 1) & mask
        self._remove_at(slot)

    def _allocate(self, size: int) -> None:
        self._slots = array.array("Q", bytes(size * _SLOT_BYTES))
        self._mask = size - 1

    def _grow(self) -> None:
        hashes = list(self)
        self._allocate(2 * len(self._slots))
        for block_hash in hashes:
            self._insert(block_hash)

    def _insert(self, block_hash: int) -> None:
        slots = self._slots
        mask = self._mask
        slot = block_hash & mask
        while slots[slot]:
            slot = (slot + 1) & mask
        slots[slot] = block_hash

    def _displace(self, block_hash: int) -> None:
        slot = block_hash & self._mask
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
