"""What changes in the store mean for a VM's beliefs."""

from __future__ import annotations

import math
import typing

from hollyring.configuration import deployment, mirror
from hollyring.node import interfaces, logs

if typing.TYPE_CHECKING:
    from hollyring.node import state

STORE_FAILURE_WINDOW_SECONDS = 4.0
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
        self,
        vm_state: state.State,
        codec: interfaces.StoreCodec,
        max_version_age_seconds: float,
    ) -> None:
        self._state = vm_state
        self._codec = codec
        self._max_version_age_seconds = max_version_age_seconds
        self._initial_load = True
        self._log = logs.Logger("belief")

    def apply(self, prefix: str, changed: set[str], now: float) -> None:
        """Take in the keys that changed under a prefix."""
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

    def _apply_operator_item(self, item: mirror.Item, now: float) -> None:
        wanted = self._codec.decode_wanted_version(item)
        if wanted is not None:
            self._apply_wanted_version(wanted, now)
            return
        current = self._codec.decode_deployment(item)
        if current is None:
            self._log.info("unreadable configuration", key=item.key, revision=item.revision)
            return
        self._apply_deployment(current, item.revision, now)

    def _apply_deployment(self, current: deployment.Deployment, revision: int, now: float) -> None:
        if current.version < self._state.configuration_version:
            return
        self._state.configure(current, now)
        self._log.info(
            "configuration in force",
            version=current.version,
            revision=revision,
            store_age=self._state.store_age(now),
        )

    def _apply_wanted_version(self, wanted: interfaces.WantedVersion, now: float) -> None:
        known = self._state.latest_wanted.get(wanted.model)
        if known is not None and known.version >= wanted.version:
            return
        self._state.latest_wanted[wanted.model] = wanted
        # A VM that starts does not know since when the version that it finds is wanted.
        estimated = known is None and self._initial_load
        assumed_age = self._max_version_age_seconds / 2 if estimated else 0.0
        self._state.wanted_versions.record(
            wanted.model, wanted.version, now - assumed_age, estimated
        )
        self._log.info("weights wanted", model=wanted.model, version=wanted.version)

    def _apply_upstream(self, key: str, item: mirror.Item | None, now: float) -> None:
        name = key.removeprefix(self._state.store_keys.upstreams)
        if item is None:
            self._upstream_deleted(name, now)
            return
        entry = self._codec.decode_upstream(item)
        if entry is None:
            self._log.info("unreadable upstream", key=key, revision=item.revision)
            return
        known = self._state.registry.get(name)
        before = dict(known.versions) if known else {}
        leaving_changed = known is None or known.entry.leaving != entry.leaving
        if self._state.registry.put(entry) is not None:
            self._state.prefix_caches.remove_holder(name)
        elif known is not None and known.versions != before:
            self._state.prefix_caches.remove_holder(name)
            known.loading_until = -math.inf
        if leaving_changed:
            self._log.info(
                "upstream",
                upstream=name,
                service=entry.service,
                leaving=entry.leaving,
                revision=item.revision,
            )

    def _upstream_deleted(self, name: str, now: float) -> None:
        known = self._state.registry.get(name)
        if known is None:
            return
        store_failing = now - self._state.store_failed_at < STORE_FAILURE_WINDOW_SECONDS
        store_failing = store_failing or any(
            not p.store_reached for p in self._state.peers.alive(now)
        )
        if store_failing and not known.entry.leaving:
            known.missing_since = now
            return
        self._log.info("upstream gone", upstream=name, why="entry removed")
        self._state.remove_upstream(name)
