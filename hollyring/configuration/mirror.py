"""Local copy of the keys under a store prefix, whose keys never return to an earlier revision.

The copy is updated from lists and watches of the store and, while the store is unreachable, from
the copies of other VMs. Each key records the revision that last changed it; changes of earlier
revisions are ignored. When the store begins a new era, only a complete list or copy of that era can
replace the items, as the changes between the two are unknown.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from hollyring.configuration import store_revision


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key with its value and the revision that last changed it.

    Parameters
    ----------
    unleased
        Whether the store states that no lease removes the key; items of other VMs do not tell.
    """

    key: str
    value: bytes
    revision: store_revision.Revision
    unleased: bool = dataclasses.field(default=False, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A removed key and the revision that removed it."""

    key: str
    revision: store_revision.Revision


Change = Item | Removal


class Mirror:
    """Local copy of the keys under one prefix.

    Examples
    --------
    >>> at = [store_revision.Revision(1, number) for number in range(11)]
    >>> mirror = Mirror()
    >>> mirror.apply_list([Item("a", b"1", at[4])], revision=at[9])
    {'a'}
    >>> mirror.apply_changes([Removal("a", at[10])], revision=at[10])
    {'a'}
    >>> mirror.apply_list([Item("a", b"1", at[4])], revision=at[9]), mirror.items
    (set(), {})
    """

    __slots__ = (
        "_items",
        "_removed",
        "_revision",
        "_last_change_revision",
        "_removals_known_after",
    )

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._removed: dict[str, store_revision.Revision] = {}
        self._revision = store_revision.NONE
        self._last_change_revision = store_revision.NONE
        self._removals_known_after: store_revision.Revision | None = None

    @property
    def items(self) -> dict[str, Item]:
        """Current items by key."""
        return self._items

    @property
    def era(self) -> int:
        """Era of the store from which the items come."""
        return self._last_change_revision.era

    @property
    def revision(self) -> store_revision.Revision:
        """Store revision up to which every change has been applied; `NONE` before the first list.

        It is of an earlier era than `era` while only a copy of the new era has been applied.
        """
        return self._revision

    @property
    def last_change_revision(self) -> store_revision.Revision:
        """Revision of the latest change of any key; mirrors with the same one are equal."""
        return self._last_change_revision

    def apply_list(self, items: Iterable[Item], revision: store_revision.Revision) -> set[str]:
        """Apply a complete list that was read at `revision` or later; return the changed keys.

        A list of an earlier revision than `Mirror.revision` is ignored.
        """
        if revision < self._revision or revision.era < self.era:
            return set()
        self._begin_era(revision.era)
        listed = {item.key: item for item in items}
        removals = [
            Removal(key, revision)
            for key, item in self._items.items()
            if key not in listed and item.revision <= revision
        ]
        changed = self._apply([*listed.values(), *removals])
        self._revision = revision
        if self._removals_known_after is None:
            self._removals_known_after = revision
        return changed

    def apply_changes(
        self,
        changes: Iterable[Change],
        revision: store_revision.Revision,
        last_change_revision: store_revision.Revision = store_revision.NONE,
    ) -> set[str]:
        """Apply the changes up to `revision`; return the changed keys.

        Changes of another era are ignored.

        Parameters
        ----------
        last_change_revision
            Revision of the latest change in another VM's copy, from which the changes come.
        """
        if revision.era != self.era:
            return set()
        changed = self._apply(changes)
        self._revision = max(self._revision, revision)
        self._last_change_revision = max(self._last_change_revision, last_change_revision)
        return changed

    def apply_copy(
        self,
        items: Iterable[Item],
        last_change_revision: store_revision.Revision,
        complete_revision: store_revision.Revision = store_revision.NONE,
    ) -> set[str]:
        """Apply another VM's copy if its newest change is later; return the changed keys.

        Parameters
        ----------
        complete_revision
            Revision up to which the copy has every change.
        """
        if last_change_revision <= self._last_change_revision:
            return set()
        self._begin_era(last_change_revision.era)
        listed = {item.key: item for item in items}
        removals = [
            Removal(key, last_change_revision)
            for key, item in self._items.items()
            if key not in listed and item.revision <= last_change_revision
        ]
        changed = self._apply([*listed.values(), *removals])
        self._last_change_revision = max(self._last_change_revision, last_change_revision)
        self._revision = max(self._revision, complete_revision)
        if self._removals_known_after is None:
            self._removals_known_after = last_change_revision
        return changed

    def changes_after(self, revision: store_revision.Revision) -> list[Change] | None:
        """Return the changes after `revision`, or None if not all removals since are known."""
        if self._removals_known_after is None or revision < self._removals_known_after:
            return None
        changes: list[Change] = [i for i in self._items.values() if i.revision > revision]
        changes += [
            Removal(key, removed_at)
            for key, removed_at in self._removed.items()
            if removed_at > revision
        ]
        return changes

    def _begin_era(self, era: int) -> None:
        """Prepare for a complete list or copy, which may be of a later era than the items."""
        if era <= self.era:
            return
        self._last_change_revision = store_revision.Revision(era, 0)
        self._removed.clear()
        self._removals_known_after = None

    def _apply(self, changes: Iterable[Change]) -> set[str]:
        return {change.key for change in changes if self._apply_change(change)}

    def _apply_change(self, change: Change) -> bool:
        current = self._items.get(change.key)
        last = current.revision if current else self._removed.get(change.key, store_revision.NONE)
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
