"""Keeps the record of the upstreams' software versions in the store, where it outlives the VMs.

It lies among the records of the VMs, so that each VM reads it with them when it starts. One VM
writes it, when the versions have changed.
"""

from __future__ import annotations

import math

import anyio

from hollyring.configuration import store_revision
from hollyring.node import clock, interfaces, logs, state, store_watcher
from hollyring.routing import software_versions

CHECK_SECONDS = 0.5
"""Time between two checks whether the record is out of date."""

REWRITE_SECONDS = 2.0
"""Shortest time between two writes by one VM; by then its copy of the store shows the first."""

FIRST_READ_SECONDS = 0.5
"""Time for which a starting VM accepts no new callers because it has not read the record yet."""


class SoftwareRecord:
    """Writes the record of the upstreams' software versions.

    Parameters
    ----------
    vm_state
        State whose software versions are incomplete until the record has been read.
    store
        Store that holds the record.
    watcher
        Records whether the store answers.
    codec
        Encodes and decodes the record.
    vm_list_delay
        Seconds until the first list of the VMs; unless it is 0, the whole fleet starts for the
        first time, and no stream has begun that a record could concern.
    """

    def __init__(
        self,
        vm_state: state.State,
        store: interfaces.Store,
        watcher: store_watcher.StoreWatcher,
        codec: interfaces.StoreCodec,
        vm_list_delay: float = 0.0,
    ) -> None:
        self._state = vm_state
        self._store = store
        self._watcher = watcher
        self._codec = codec
        self._write_at = -math.inf
        self._log = logs.Logger("software")
        vm_state.software_versions.await_record()
        if not vm_list_delay:
            vm_state.software_due_at = clock.now() + FIRST_READ_SECONDS

    async def run(self) -> None:
        """Write the record whenever it is out of date and this VM has to, until cancelled."""
        while True:
            await anyio.sleep(CHECK_SECONDS)
            try:
                await self._update(clock.now())
            except interfaces.StoreError as error:
                self._watcher.record_failure(str(error))

    async def _update(self, now: float) -> None:
        if now < self._write_at or not self._is_writer(now):
            return
        record = self._state.software_versions.record(self._state.store_era.current)
        store_keys = self._state.store_keys
        item = self._state.mirrors[store_keys.vms].items.get(store_keys.software)
        if item is not None and self._codec.decode_software(item) == record:
            return
        self._write_at = now + REWRITE_SECONDS
        put = interfaces.Put(store_keys.software, self._codec.encode_software(record))
        expected = item.revision if item is not None else store_revision.NONE
        outcome = await self._store.commit({store_keys.software: expected}, [put])
        self._log.info(
            "software versions written",
            versions=software_versions.listed(record),
            era=record.era,
            committed=isinstance(outcome, interfaces.Committed),
        )

    def _is_writer(self, now: float) -> bool:
        """Return whether this VM, the first that reaches the store, has to write the record."""
        if not self._state.ready or not self._state.software_versions.is_complete(now):
            return False
        first = self._state.peers.store_checkers(now)[:1]
        return [vm.name for vm in first] == [self._state.vm_info.name]
