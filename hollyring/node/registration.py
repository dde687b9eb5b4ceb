"""Registration of this VM in the store, under a lease."""

from __future__ import annotations

import anyio

from hollyring.node import clock, interfaces, state, store_watcher

LEASE_SECONDS = 15.0
"""Lifetime of the record of a VM that was lost; heartbeats detect its loss much earlier."""

RENEW_SECONDS = 5.0
WATCHER_RENEW_SECONDS = 0.5
"""Time between two renewals of a VM that watches the store.

A watch shows nothing while the store is silent to one VM, and other VMs rely on those that watch.
"""

CALL_TIMEOUT_SECONDS = 1.5
WATCHER_CALL_TIMEOUT_SECONDS = 0.6
"""Timeout of a renewal by a VM that watches, after which it reports that the store is silent."""

RETRY_DELAY_SECONDS = 0.5
RELEASE_TIMEOUT_SECONDS = 0.5


class Registration:
    """Keeps this VM's record in the store.

    Parameters
    ----------
    vm_state
        State with the record of this VM.
    store
        Store in which the VM is registered.
    watcher
        Records whether the store answers.
    codec
        Encodes the record.
    """

    def __init__(
        self,
        vm_state: state.State,
        store: interfaces.Store,
        watcher: store_watcher.StoreWatcher,
        codec: interfaces.StoreCodec,
    ) -> None:
        self._state = vm_state
        self._store = store
        self._store_watcher = watcher
        self._codec = codec
        self._lease: interfaces.Lease | None = None

    async def run(self) -> None:
        """Keep this VM registered until cancelled."""
        renewal_due = clock.now()
        while True:
            now = clock.now()
            peers = self._state.peers
            watches = peers.is_serving and peers.should_watch_store(now)
            if not watches and now < renewal_due:
                await anyio.sleep(WATCHER_RENEW_SECONDS)
                continue
            renewal_due = now + RENEW_SECONDS
            try:
                if self._lease is None or not await self._renew(self._lease, watches):
                    await self._register()
            except interfaces.StoreError as error:
                self._store_watcher.record_failure(str(error))
                renewal_due = now
                await anyio.sleep(RETRY_DELAY_SECONDS)
                continue
            self._store_watcher.record_success()
            await anyio.sleep(WATCHER_RENEW_SECONDS)

    async def release(self) -> None:
        """Remove the record of this VM, which is about to exit."""
        lease, self._lease = self._lease, None
        if lease is None:
            return
        with anyio.move_on_after(RELEASE_TIMEOUT_SECONDS):
            try:
                await self._store.revoke(lease)
            except interfaces.StoreError as error:
                self._store_watcher.record_failure(str(error))

    async def _register(self) -> None:
        vm_info = self._state.vm_info
        self._lease = None
        lease = await self._store.grant(LEASE_SECONDS)
        value = self._codec.encode_vm(vm_info)
        put = interfaces.Put(self._state.store_keys.vms + vm_info.name, value, lease)
        outcome = await self._store.commit({}, [put])
        if isinstance(outcome, interfaces.Committed):
            self._lease = lease

    async def _renew(self, lease: interfaces.Lease, watches: bool) -> bool:
        """Renew the lease; return False if it has expired.

        Raises
        ------
        StoreError
            If the store did not answer in time.
        """
        seconds = WATCHER_CALL_TIMEOUT_SECONDS if watches else CALL_TIMEOUT_SECONDS
        with anyio.move_on_after(seconds):
            return await self._store.renew(lease)
        raise interfaces.StoreError("renewal: no answer in time")
