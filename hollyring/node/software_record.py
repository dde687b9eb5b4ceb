"""Keeps the record of the upstreams' software versions in the store, where it outlives the VMs.

It lies among the records of the VMs, so that each VM reads it with them when it starts. One VM
writes it, when the versions have changed; at once where one is missing, as no stream that may be
continued begins at that one before.
"""

from __future__ import annotations

import math

import anyio

from hollyring.configuration import mirror, store_revision
from hollyring.node import clock, interfaces, logs, state
from hollyring.routing import software_versions

CHECK_SECONDS = 0.5
"""Time between two checks whether the record is out of date, unless a version appears."""

ADD_SECONDS = 0.25
"""Shortest time between two writes by one VM that add versions."""

REWRITE_SECONDS = 2.0
"""Shortest time between two writes by one VM of which the second only removes versions."""

RETRY_SECONDS = 1.0
"""Time after a write that failed until the next one by the same VM."""

SUBSTITUTE_SECONDS = 1.0
"""Time for which a version is not in the record until the next VM writes it in the first's place.

The store may refuse the writes of one VM and take those of others.
"""

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
        codec: interfaces.StoreCodec,
        vm_list_delay: float = 0.0,
    ) -> None:
        self._state = vm_state
        self._store = store
        self._codec = codec
        self._write_at = -math.inf
        self._remove_at = -math.inf
        self._written: mirror.Item | None = None
        self._version_appeared = anyio.Event()
        self._log = logs.Logger("software")
        vm_state.software_versions.await_record()
        vm_state.set_software_listener(self._notice_version)
        if not vm_list_delay:
            vm_state.software_due_at = clock.now() + FIRST_READ_SECONDS

    async def run(self) -> None:
        """Write the record whenever it is out of date and this VM has to, until cancelled."""
        while True:
            with anyio.move_on_after(CHECK_SECONDS):
                await self._version_appeared.wait()
            self._version_appeared = anyio.Event()
            await anyio.sleep(max(0.0, self._write_at - clock.now()))
            try:
                await self._update(clock.now())
            except interfaces.StoreError as error:
                # Whether the store answers is found out by others, which ask it all the time.
                self._write_at = clock.now() + RETRY_SECONDS
                self._log.info("software versions not written", why=str(error))

    def _notice_version(self) -> None:
        """Check the record soon, as it lacks a version."""
        self._version_appeared.set()

    async def _update(self, now: float) -> None:
        versions = self._state.software_versions
        if not self._is_writer(now):
            return
        is_missing = not math.isinf(versions.unrecorded_since)
        if not is_missing and now < self._remove_at:
            return
        record = versions.record(self._state.store_era.current)
        item = self._newest_item()
        if item is not None and self._codec.decode_software(item) == record:
            return
        self._write_at, self._remove_at = now + ADD_SECONDS, now + REWRITE_SECONDS
        key, value = self._state.store_keys.software, self._codec.encode_software(record)
        expected = item.revision if item is not None else store_revision.NONE
        outcome = await self._store.commit({key: expected}, [interfaces.Put(key, value)])
        if isinstance(outcome, interfaces.Committed):
            self._written = mirror.Item(key, value, outcome.revision)
            versions.restore(record, complete=True, now=clock.now())
        self._log.info(
            "software versions written",
            versions=software_versions.listed(record),
            era=record.era,
            committed=isinstance(outcome, interfaces.Committed),
        )

    def _newest_item(self) -> mirror.Item | None:
        """Return the record in the store as far as this VM knows, which may have written it."""
        store_keys = self._state.store_keys
        item = self._state.mirrors[store_keys.vms].items.get(store_keys.software)
        if self._written is None or (item is not None and item.revision > self._written.revision):
            return item
        if self._written.revision.era < self._state.store_era.current:
            return item
        return self._written

    def _is_writer(self, now: float) -> bool:
        """Return whether this VM has to write the record.

        It is the first that reaches the store, or the next one if that has not written in time.
        """
        versions = self._state.software_versions
        reaches_store = self._state.store_reached_at > self._state.store_failed_at
        if not self._state.ready or not reaches_store or not versions.is_complete(now):
            return False
        names = [vm.name for vm in self._state.peers.store_checkers(now)]
        name = self._state.vm_info.name
        if name not in names:
            return False
        if name == names[0]:
            return True
        return now - versions.unrecorded_since >= names.index(name) * SUBSTITUTE_SECONDS
