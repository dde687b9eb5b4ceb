"""Application of changes in the store to the state of a VM."""

from __future__ import annotations

import math
import typing

from hollyring.configuration import deployment, mirror, store_revision
from hollyring.node import interfaces, logs

if typing.TYPE_CHECKING:
    from hollyring.node import state

STORE_FAILURE_WINDOW_SECONDS = 4.0
"""Time after a failed call during which the store counts as failing."""


class StoreChanges:
    """Applies changes in the store to the state of a VM.

    Parameters
    ----------
    vm_state
        State to update.
    codec
        Decodes the values in the store.
    max_version_age_seconds
        Time for which older weights are still used after a version becomes wanted.
    """

    def __init__(
        self,
        vm_state: state.State,
        codec: interfaces.StoreCodec,
        max_version_age_seconds: float,
    ) -> None:
        self._state = vm_state
        self._codec = codec
        self._max_version_age_seconds = max_version_age_seconds
        self._initial_load = True
        self._log = logs.Logger("state")

    def apply(self, prefix: str, changed: set[str], now: float) -> None:
        """Apply the keys that changed under a prefix; removed operator keys have no effect."""
        store_keys = self._state.store_keys
        items = self._state.mirrors[prefix].items
        if prefix == store_keys.operator:
            for key in changed & items.keys():
                self._apply_operator_item(items[key], now)
            self._initial_load = False
        elif prefix == store_keys.upstreams:
            for key in changed:
                self._apply_upstream(key, items.get(key), now)
        elif prefix == store_keys.vms:
            vms = [self._codec.decode_vm(item) for item in items.values()]
            self._state.peers.update_listed([vm for vm in vms if vm is not None], now)
            self._state.update_peers(now)

    def _apply_operator_item(self, item: mirror.Item, now: float) -> None:
        wanted = self._codec.decode_wanted_version(item)
        if wanted is not None:
            self._apply_wanted_version(wanted, now)
            return
        current = self._codec.decode_deployment(item)
        if current is None:
            self._log.info("unreadable configuration", key=item.key, revision=item.revision.number)
            return
        self._apply_deployment(current, item.revision, now)

    def _apply_deployment(
        self, current: deployment.Deployment, revision: store_revision.Revision, now: float
    ) -> None:
        if current.version < self._state.configuration_version:
            return
        self._state.configure(current, now)
        self._log.info(
            "configuration in force",
            version=current.version,
            revision=revision.number,
            era=revision.era,
            store_age=self._state.store_age(now),
        )

    def _apply_wanted_version(self, wanted: interfaces.WantedVersion, now: float) -> None:
        latest = self._state.latest_wanted.get(wanted.model)
        if latest is not None and latest.version >= wanted.version:
            return
        self._state.latest_wanted[wanted.model] = wanted
        # At its start, a VM cannot tell since when the version in the store is wanted, and assumes
        # half of the maximum age.
        estimated = latest is None and self._initial_load
        assumed_age = self._max_version_age_seconds / 2 if estimated else 0.0
        self._state.wanted_versions.record(
            wanted.model, wanted.version, now - assumed_age, estimated
        )
        self._log.info("new wanted version of weights", model=wanted.model, version=wanted.version)

    def _apply_upstream(self, key: str, item: mirror.Item | None, now: float) -> None:
        name = key.removeprefix(self._state.store_keys.upstreams)
        if item is None:
            self._upstream_deleted(name, now)
            return
        entry = self._codec.decode_upstream(item)
        if entry is None:
            self._log.info("unreadable upstream", key=key, revision=item.revision.number)
            return
        upstream = self._state.registry.get(name)
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
            )

    def _upstream_deleted(self, name: str, now: float) -> None:
        upstream = self._state.registry.get(name)
        if upstream is None:
            return
        store_failing = now - self._state.store_failed_at < STORE_FAILURE_WINDOW_SECONDS
        store_failing = store_failing or any(
            not p.store_reached for p in self._state.peers.alive(now)
        )
        if store_failing and not upstream.entry.leaving:
            upstream.missing_since = now
            return
        self._log.info("upstream removed", upstream=name, why="entry removed")
        self._state.remove_upstream(name)
