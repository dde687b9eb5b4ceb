"""What changes in the store mean for a VM's beliefs."""

from __future__ import annotations

import math
import typing

from hollyring.configuration import deployment, mirror
from hollyring.node import interfaces, logs

if typing.TYPE_CHECKING:
    from hollyring.node import state

TROUBLE_SECONDS = 4.0
"""The store counts as in trouble for so long after a call that failed."""


class StoreChanges:
    """Takes changes in.

    Parameters
    ----------
    beliefs
        What they change.
    documents
        Decodes what lies in the store.
    version_seconds
        Time after which older weights than those wanted are not used any more.
    """

    def __init__(
        self, beliefs: state.State, documents: interfaces.StoreCodec, version_seconds: float
    ) -> None:
        self._state = beliefs
        self._documents = documents
        self._version_seconds = version_seconds
        self._started_late = True
        self._log = logs.Logger("belief")

    def apply(self, prefix: str, changed: set[str], now: float) -> None:
        """Take in the keys that changed under a prefix."""
        prefixes = self._state.prefixes
        items = self._state.mirrors[prefix].items
        if prefix == prefixes.operator:
            for key in changed & items.keys():
                self._operator_changed(items[key], now)
            self._started_late = False
        elif prefix == prefixes.upstreams:
            for key in changed:
                self._upstream_changed(key, items.get(key), now)
        elif prefix == prefixes.vms:
            places = [self._documents.decode_vm(item) for item in items.values()]
            self._state.peers.update_listed([place for place in places if place is not None], now)

    def _operator_changed(self, item: mirror.Item, now: float) -> None:
        wanted = self._documents.decode_wanted_version(item)
        if wanted is not None:
            self._name_version(wanted, now)
            return
        read = self._documents.decode_deployment(item)
        if read is None:
            self._log.info("unreadable configuration", key=item.key, revision=item.revision)
            return
        self._configure(read, item.revision, now)

    def _configure(self, read: deployment.Deployment, revision: int, now: float) -> None:
        if read.version < self._state.configuration_version:
            return
        self._state.configure(read, now)
        self._log.info(
            "configuration in force",
            version=read.version,
            revision=revision,
            store_age=self._state.store_age(now),
        )

    def _name_version(self, wanted: interfaces.WantedVersion, now: float) -> None:
        known = self._state.latest_wanted.get(wanted.model)
        if known is not None and known.version >= wanted.version:
            return
        self._state.latest_wanted[wanted.model] = wanted
        # A VM that starts does not know since when the version that it finds is wanted.
        guessed = known is None and self._started_late
        unknown = self._version_seconds / 2 if guessed else 0.0
        self._state.wanted_versions.record(wanted.model, wanted.version, now - unknown, guessed)
        self._log.info("weights wanted", model=wanted.model, version=wanted.version)

    def _upstream_changed(self, key: str, item: mirror.Item | None, now: float) -> None:
        name = key.removeprefix(self._state.prefixes.upstreams)
        if item is None:
            self._upstream_removed(name, now)
            return
        entry = self._documents.decode_upstream(item)
        if entry is None:
            self._log.info("unreadable upstream", key=key, revision=item.revision)
            return
        known = self._state.registry.get(name)
        before = dict(known.versions) if known else {}
        left = known is None or known.entry.leaving != entry.leaving
        if self._state.registry.put(entry) is not None:
            self._state.prefix_caches.remove_holder(name)
        elif known is not None and known.versions != before:
            self._state.prefix_caches.remove_holder(name)
            known.loading_until = -math.inf
        if left:
            self._log.info(
                "upstream",
                upstream=name,
                service=entry.service,
                leaving=entry.leaving,
                revision=item.revision,
            )

    def _upstream_removed(self, name: str, now: float) -> None:
        known = self._state.registry.get(name)
        if known is None:
            return
        trouble = now - self._state.store_failed_at < TROUBLE_SECONDS
        trouble = trouble or any(not p.store_reached for p in self._state.peers.alive(now))
        if trouble and not known.entry.leaving:
            known.missing_since = now
            return
        self._log.info("upstream gone", upstream=name, why="entry removed")
        self._state.remove_upstream(name)
