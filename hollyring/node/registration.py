"""Registration of this VM in the store, under a lease."""

from __future__ import annotations

import math
import random

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
SPREAD_SECONDS_PER_VM = 0.006
"""Time per VM over which the VMs write their records anew after the store lost them.

Each makes two writes, a lease and the record, so that the store gets some 330 in a second.
"""

MAX_SPREAD_SECONDS = 1.0
"""Longest such time; not all VMs learn at once that the store lost their records."""

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
        self._lease_lost = anyio.Event()
        self._register_at = -math.inf
        self._renewal_due = -math.inf
        self._rng = random.Random(str(vm_state.vm_info.life))
        vm_state.store_era.add_listener(self._on_new_era)

    async def run(self) -> None:
        """Keep this VM registered until cancelled."""
        while True:
            delay = WATCHER_RENEW_SECONDS
            try:
                await self._keep_registered(clock.now())
            except interfaces.StoreError as error:
                self._store_watcher.record_failure(str(error))
                self._renewal_due = clock.now()
                delay = RETRY_DELAY_SECONDS
            await self._pause(delay)

    async def _keep_registered(self, now: float) -> None:
        """Register, renew the lease if that is due, or do nothing."""
        if self._lease is None:
            if now < self._register_at:
                return
            await self._register()
        elif self._watches(now) or now >= self._renewal_due:
            if not await self._renew(self._lease, self._watches(now)):
                self._lease = None
                if clock.now() >= self._register_at:
                    await self._register()
        else:
            return
        self._renewal_due = now + RENEW_SECONDS
        self._store_watcher.record_success()

    async def _pause(self, seconds: float) -> None:
        """Wait, at most until the record has to be written anew."""
        until_registration = self._register_at - clock.now()
        if self._lease is None and until_registration > 0.0:
            seconds = min(seconds, until_registration)
        with anyio.move_on_after(seconds):
            await self._lease_lost.wait()
        self._lease_lost = anyio.Event()

    def _watches(self, now: float) -> bool:
        """Return whether others rely on this VM's watch, which shows nothing of a silent store."""
        peers = self._state.peers
        if not peers.is_serving or peers.should_check_store(now):
            return False
        return peers.should_watch_store(now)

    def _on_new_era(self) -> None:
        """Write the record anew, at a time that differs between VMs."""
        vms = len(self._state.peers.by_name) + 1
        spread = min(MAX_SPREAD_SECONDS, vms * SPREAD_SECONDS_PER_VM)
        self._lease = None
        self._register_at = clock.now() + spread * self._rng.random()
        self._lease_lost.set()

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
        lease = await self._store.grant(LEASE_SECONDS)
        value = self._codec.encode_vm(vm_info)
        put = interfaces.Put(self._state.store_keys.vms + vm_info.name, value, lease)
        outcome = await self._store.commit({}, [put])
        is_current = lease.era >= self._state.store_era.current
        if isinstance(outcome, interfaces.Committed) and is_current:
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
