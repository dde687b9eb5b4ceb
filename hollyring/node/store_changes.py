"""Application of changes in the store to the state of a VM.

The versions that the operator's documents state themselves decide which of two is newer, not the
store's revisions: after the store has returned from an older copy, its latest revision is that of
the copy until the operator has written again, whereas the operator never lowers a version. A
configuration states its keys, limits and routes in full, so that they follow from its version.
"""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Iterable

from hollyring.configuration import deployment, mirror, store_revision
from hollyring.membership import heartbeat
from hollyring.node import interfaces, logs, store_era, upstream_changes
from hollyring.routing import software_versions

if typing.TYPE_CHECKING:
    from hollyring.node import state


@dataclasses.dataclass(frozen=True, slots=True)
class _DecodedVm:
    """Item of a VM's record, and what it says; None if it can't be read."""

    item: mirror.Item
    vm: heartbeat.VmInfo | None


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
        self._eras: dict[str, int] = {}
        self._decoded_vms: dict[str, _DecodedVm] = {}
        self._upstream_changes = upstream_changes.UpstreamChanges(vm_state, codec)
        self._log = logs.Logger("state")

    def apply(self, prefix: str, changed: set[str], now: float) -> None:
        """Apply the keys that changed under a prefix; removed operator keys have no effect."""
        store_keys = self._state.store_keys
        items = self._state.mirrors[prefix].items
        era = self._state.mirrors[prefix].era
        from_copy = era > self._eras.get(prefix, era)
        self._eras[prefix] = era
        if prefix == store_keys.operator:
            for key in changed & items.keys():
                self._apply_operator_item(items[key], now)
            self._initial_load = False
        elif prefix == store_keys.upstreams:
            self._upstream_changes.apply(changed, items, from_copy, now)
            self._state.releases.observe_upstreams(now)
            self._state.observe_software(now)
        elif prefix == store_keys.vms:
            self._apply_vms(changed, items.values(), now)
            self._apply_releases(changed, now)
            if store_keys.software in changed or self._state.software_versions.awaits_record:
                self._apply_software(items.get(store_keys.software), era, now)

    def tick(self, now: float) -> None:
        """Apply what was held back and is due."""
        items = self._state.mirrors[self._state.store_keys.upstreams].items
        self._upstream_changes.tick(items, now)

    def _apply_vms(self, changed: set[str], items: Iterable[mirror.Item], now: float) -> None:
        """Apply the list of the VMs; what is no record of a VM lists none."""
        store_keys = self._state.store_keys
        others = (store_keys.orders_lease, store_keys.software)
        decoded: dict[str, _DecodedVm] = {}
        for item in items:
            if item.key in others or item.key.startswith(store_keys.releases):
                continue
            before = self._decoded_vms.get(item.key)
            if before is not None and before.item is item:
                vm = before.vm
            else:
                vm = self._codec.decode_vm(item)
            decoded[item.key] = _DecodedVm(item, vm)
            if vm is None and item.key in changed:
                self._log.info("unreadable VM", key=item.key, revision=item.revision.number)
        self._decoded_vms = decoded
        listed = [record.vm for record in decoded.values() if record.vm is not None]
        self._state.peers.update_listed(listed, now)
        self._state.update_peers(now)

    def _apply_releases(self, keys: Iterable[str], now: float) -> None:
        """Apply the states of releases, among what changed below the VMs' prefix."""
        store_keys = self._state.store_keys
        items = self._state.mirrors[store_keys.vms].items
        for key in keys:
            item = items.get(key) if key.startswith(store_keys.releases) else None
            release = self._codec.decode_release(item) if item is not None else None
            if release is not None:
                self._state.releases.apply_state(release, now)

    def _apply_software(self, item: mirror.Item | None, era: int, now: float) -> None:
        """Apply the record of software versions, `item`, or its absence in an era of the store.

        A record of an earlier era may lack some that were written before the store returned from
        its copy. That there is none shows only at the first start of the whole fleet that no stream
        has begun; else all VMs may have been lost before they wrote it.
        """
        record = self._codec.decode_software(item) if item is not None else None
        if record is not None:
            complete = record.era >= era
        else:
            is_first = self._state.first_start and era <= store_era.FIRST_ERA
            complete = item is None and is_first
        self._state.software_versions.restore(record, complete, now)
        self._log.info(
            "software versions read",
            versions=software_versions.listed(record) if record is not None else {},
            complete=self._state.software_versions.is_complete(now),
        )

    def _apply_operator_item(self, item: mirror.Item, now: float) -> None:
        """Apply a document; after an unexpected error, an older configuration decides nothing."""
        wanted = None
        try:
            order = self._codec.decode_release_order(item)
            if order is not None:
                self._state.releases.apply_order(order, now)
                self._apply_releases([self._state.store_keys.releases + order.service], now)
                return
            wanted = self._codec.decode_wanted_version(item)
            if wanted is not None:
                self._apply_wanted_version(wanted, now)
            else:
                self._apply_configuration(item, now)
        except Exception:
            self._log.exception("document not applied", key=item.key)
            if wanted is None:
                self._state.deployment = None

    def _apply_configuration(self, item: mirror.Item, now: float) -> None:
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
