"""A copy of the keys under one prefix of a store, which never goes back.

It is fed by lists and watches of the store and, while the store is out of reach, by other VMs'
copies. Every key keeps the revision that last changed it; news of an earlier one is ignored.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key, its value and the revision that last changed it."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A key that was removed, and the revision that removed it."""

    key: str
    revision: int


Change = Item | Removal


class Mirror:
    """What is current of the keys under one prefix.

    Examples
    --------
    >>> mirror = Mirror()
    >>> mirror.apply_list([Item("a", b"1", 4)], revision=9)
    {'a'}
    >>> mirror.apply_changes([Removal("a", 10)], revision=10)
    {'a'}
    >>> mirror.apply_list([Item("a", b"1", 4)], revision=9), mirror.items
    (set(), {})
    """

    __slots__ = ("_items", "_removed", "_revision", "_last_change_revision")

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._removed: dict[str, int] = {}
        self._revision = 0
        self._last_change_revision = 0

    @property
    def items(self) -> dict[str, Item]:
        """The present items by key."""
        return self._items

    @property
    def revision(self) -> int:
        """The store's revision up to which every change is current; 0 before the first list."""
        return self._revision

    @property
    def last_change_revision(self) -> int:
        """The newest revision that changed a key here; copies that share it are alike."""
        return self._last_change_revision

    def apply_list(self, items: Iterable[Item], revision: int) -> set[str]:
        """Take in the whole content as it was at `revision` or later; return the changed keys."""
        if revision < self._revision:
            return set()
        listed = {item.key: item for item in items}
        removals = [
            Removal(key, revision)
            for key, item in self._items.items()
            if key not in listed and item.revision <= revision
        ]
        changed = self._apply([*listed.values(), *removals])
        self._revision = revision
        return changed

    def apply_changes(self, changes: Iterable[Change], revision: int) -> set[str]:
        """Take in the changes up to `revision`; return the changed keys."""
        changed = self._apply(changes)
        self._revision = max(self._revision, revision)
        return changed

    def apply_copy(self, items: Iterable[Item], last_change_revision: int) -> set[str]:
        """Take in another VM's copy whose newest change was at `last_change_revision`; return changed keys."""
        if last_change_revision <= self._last_change_revision:
            return set()
        listed = {item.key: item for item in items}
        removals = [
            Removal(key, last_change_revision)
            for key, item in self._items.items()
            if key not in listed and item.revision <= last_change_revision
        ]
        changed = self._apply([*listed.values(), *removals])
        self._last_change_revision = max(self._last_change_revision, last_change_revision)
        return changed

    def _apply(self, changes: Iterable[Change]) -> set[str]:
        return {change.key for change in changes if self._apply_change(change)}

    def _apply_change(self, change: Change) -> bool:
        current = self._items.get(change.key)
        last = current.revision if current else self._removed.get(change.key, 0)
        if change.revision <= last:
            return False
        self._last_change_revision = max(self._last_change_revision, change.revision)
        match change:
            case Item():
                self._items[change.key] = change
                self._removed.pop(change.key, None)
            case Removal():
                self._items.pop(change.key, None)
                self._removed[change.key] = change.revision
        return True
