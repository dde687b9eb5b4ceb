"""Application of changes of the upstreams' entries in the store to the registry of a VM."""

from __future__ import annotations

import dataclasses
import math
import typing
from collections.abc import Mapping

from hollyring.configuration import mirror
from hollyring.node import interfaces, logs
from hollyring.routing import registry

if typing.TYPE_CHECKING:
    from hollyring.node import state

RETURNED_ENTRY_HOLD_SECONDS = 3.0
"""Time for which a removed upstream that an older copy of the store lists again gets no requests.

Its entry expires meanwhile unless the upstream is alive.
"""

REMOVED_TTL_SECONDS = 60.0
"""Time for which a removed upstream is remembered, longer than the age of the store's copies."""


@dataclasses.dataclass(frozen=True, slots=True)
class _RemovedUpstream:
    life: int
    removed_at: float


class UpstreamChanges:
    """Applies changes of the upstreams' entries to the registry of a VM.

    The first entries of a new era come from an older copy of the store. They undo neither that an
    upstream leaves nor its latest start nor, for a while, its removal.

    Parameters
    ----------
    vm_state
        State whose registry is updated.
    codec
        Decodes the entries.
    """

    def __init__(self, vm_state: state.State, codec: interfaces.StoreCodec) -> None:
        self._state = vm_state
        self._codec = codec
        self._removed: dict[str, _RemovedUpstream] = {}
        self._held_until: dict[str, float] = {}
        self._log = logs.Logger("state")

    def apply(
        self, changed: set[str], items: Mapping[str, mirror.Item], from_copy: bool, now: float
    ) -> None:
        """Apply the keys that changed.

        Parameters
        ----------
        items
            All entries by key.
        from_copy
            Whether these are the first entries of a new era.
        """
        for key in changed:
            try:
                self._apply_key(key, items.get(key), from_copy, now)
            except Exception:  # the upstream may leave or be another one
                self._log.exception("upstream entry not applied", key=key)
                self._state.remove_upstream(self._name(key))

    def _apply_key(self, key: str, item: mirror.Item | None, from_copy: bool, now: float) -> None:
        if item is None:
            self._apply_removal(self._name(key), from_copy, now)
        else:
            self._apply_item(item, from_copy, now)

    def tick(self, items: Mapping[str, mirror.Item], now: float) -> None:
        """Use the returned upstreams whose hold has ended and that are still listed."""
        for name in [name for name, until in self._held_until.items() if now >= until]:
            del self._held_until[name]
            item = items.get(self._state.store_keys.upstreams + name)
            if item is not None:
                self._apply_item(item, False, now)

    def _name(self, key: str) -> str:
        return key.removeprefix(self._state.store_keys.upstreams)

    def _apply_item(self, item: mirror.Item, from_copy: bool, now: float) -> None:
        entry = self._codec.decode_upstream(item)
        if entry is None:
            self._log.info("unreadable upstream", key=item.key, revision=item.revision.number)
            self._apply_removal(self._name(item.key), from_copy, now)
            return
        name = self._name(item.key)
        upstream = self._state.registry.get(name)
        if from_copy:
            entry = self._keep_what_is_known(entry, upstream, now)
        else:
            self._held_until.pop(name, None)
        before = dict(upstream.versions) if upstream else {}
        leaving_changed = upstream is None or upstream.entry.leaving != entry.leaving
        if self._state.registry.put(entry) is not None:
            self._state.prefix_caches.remove_holder(name)
        elif upstream is not None and upstream.versions != before:
            self._state.prefix_caches.remove_holder(name)
            upstream.loading_until = -math.inf
        if leaving_changed:
            self._log.info(
                "upstream entry changed",
                upstream=name,
                service=entry.service,
                leaving=entry.leaving,
                revision=item.revision.number,
                era=item.revision.era,
            )

    def _keep_what_is_known(
        self, entry: registry.Entry, upstream: registry.Upstream | None, now: float
    ) -> registry.Entry:
        """Return the entry to use instead of one from an older copy of the store."""
        removed = self._removed.get(entry.name)
        returned = upstream is None and removed is not None and entry.life <= removed.life
        if returned or entry.name in self._held_until:
            self._held_until[entry.name] = now + RETURNED_ENTRY_HOLD_SECONDS
            return dataclasses.replace(entry, leaving=True)
        if upstream is None or entry.life > upstream.entry.life:
            return entry
        if entry.life < upstream.entry.life:
            return upstream.entry
        return dataclasses.replace(entry, leaving=entry.leaving or upstream.entry.leaving)

    def _apply_removal(self, name: str, from_copy: bool, now: float) -> None:
        upstream = self._state.registry.get(name)
        if upstream is None:
            return
        in_doubt = from_copy or self._state.entries_may_have_expired(now)
        if in_doubt and not upstream.leaving:
            upstream.missing_since = now
            return
        self._held_until.pop(name, None)
        self._remember_removal(upstream, now)
        self._log.info("upstream removed", upstream=name, why="entry removed")
        self._state.remove_upstream(name)

    def _remember_removal(self, upstream: registry.Upstream, now: float) -> None:
        self._removed = {
            name: removed
            for name, removed in self._removed.items()
            if now - removed.removed_at < REMOVED_TTL_SECONDS
        }
        self._removed[upstream.name] = _RemovedUpstream(upstream.entry.life, now)
