"""Keeps this VM's mirrors, its local copies of the store's keys, up to date.

Changes arrive by watches and, while the store is unreachable or slow, by copies from other VMs.
"""

from __future__ import annotations

import random

import anyio

from hollyring.configuration import mirror
from hollyring.membership import heartbeat
from hollyring.node import clock, interfaces, logs, peers, state

WATCH_WAIT_SECONDS = 25.0
BATCH_DELAY_SECONDS = 0.04
"""Delay after a change, so that changes made together are fetched by one call."""

MIN_RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 1.0
PEER_COPY_DELAY_SECONDS = 0.15
"""Time for which another VM must have newer changes than this one before its copy is fetched."""

TICK_SECONDS = 0.1
COPY_TIMEOUT_SECONDS = 1.0


class StoreWatcher:
    """Watcher of all prefixes of the store.

    Parameters
    ----------
    store
        Store to watch.
    vm_state
        State whose mirrors are updated.
    peer_connections
        Connections to the other VMs.
    """

    def __init__(
        self,
        store: interfaces.Store,
        vm_state: state.State,
        peer_connections: peers.PeerConnections,
    ) -> None:
        self._store = store
        self._state = vm_state
        self._peers = peer_connections
        self._behind_since: dict[str, float] = {}
        self._reached = False
        self._log = logs.Logger("store")
        self._rng = random.Random(str(vm_state.vm_info.life))

    async def run(self) -> None:
        """Watch every prefix and catch up with other VMs until cancelled."""
        async with anyio.create_task_group() as group:
            for prefix in self._state.mirrors:
                group.start_soon(self._watch, prefix)
            group.start_soon(self._catch_up)

    def copy(self, prefix: str) -> heartbeat.Copy | None:
        """Return this VM's copy of a prefix for another VM, or None if it has none."""
        local_mirror = self._state.mirrors.get(prefix)
        if local_mirror is None or not local_mirror.last_change_revision:
            return None
        items = [
            heartbeat.CopyItem(i.key, i.value, i.revision) for i in local_mirror.items.values()
        ]
        return heartbeat.Copy(prefix, local_mirror.last_change_revision, items)

    def record_success(self) -> None:
        """Record that the store answered."""
        self._state.store_reached_at = clock.now()
        if not self._reached:
            self._reached = True
            self._log.info("store reached")

    def record_failure(self, reason: str) -> None:
        """Record that a call to the store failed."""
        self._state.store_failed_at = clock.now()
        if self._reached:
            self._reached = False
            self._log.info(
                "store unreachable", why=reason, heard_ago=self._state.store_age(clock.now())
            )

    async def _watch(self, prefix: str) -> None:
        local_mirror = self._state.mirrors[prefix]
        delay = MIN_RETRY_SECONDS
        while True:
            try:
                changed = await self._fetch_changes(prefix, local_mirror)
            except interfaces.HistoryCompactedError:
                self._log.info(
                    "watch history compacted, listing again",
                    prefix=prefix,
                    after=local_mirror.revision,
                )
                await self._relist(prefix, local_mirror)
                continue
            except interfaces.StoreError as error:
                self.record_failure(str(error))
                await anyio.sleep(delay * (0.5 + self._rng.random()))
                delay = min(MAX_RETRY_SECONDS, delay * 2)
                continue
            delay = MIN_RETRY_SECONDS
            self.record_success()
            if changed:
                self._state.apply_store_changes(prefix, changed, clock.now())
                await anyio.sleep(BATCH_DELAY_SECONDS)

    async def _fetch_changes(self, prefix: str, local_mirror: mirror.Mirror) -> set[str]:
        if not local_mirror.revision:
            listing = await self._store.list(prefix)
            return local_mirror.apply_list(listing.items, listing.revision)
        update = await self._store.watch(prefix, local_mirror.revision, WATCH_WAIT_SECONDS)
        return local_mirror.apply_changes(update.changes, update.revision)

    async def _relist(self, prefix: str, local_mirror: mirror.Mirror) -> None:
        """List a prefix again after the store compacted its history."""
        try:
            listing = await self._store.list(prefix)
        except interfaces.StoreError as error:
            self.record_failure(str(error))
            await anyio.sleep(MIN_RETRY_SECONDS * (0.5 + self._rng.random()))
            return
        self.record_success()
        changed = local_mirror.apply_list(listing.items, listing.revision)
        self._state.apply_store_changes(prefix, changed, clock.now())

    async def _catch_up(self) -> None:
        """Fetch from other VMs the changes that the watches have not delivered."""
        while True:
            await anyio.sleep(TICK_SECONDS)
            for prefix, local_mirror in self._state.mirrors.items():
                await self._catch_up_prefix(prefix, local_mirror)

    async def _catch_up_prefix(self, prefix: str, local_mirror: mirror.Mirror) -> None:
        now = clock.now()
        peer = self._state.peers.peer_ahead(prefix, local_mirror.last_change_revision, now)
        if peer is None:
            self._behind_since.pop(prefix, None)
            return
        if now - self._behind_since.setdefault(prefix, now) < PEER_COPY_DELAY_SECONDS:
            return
        address = peer.vm.peer_address
        copy = await self._peers.call(address, heartbeat.CopyRequest(prefix), COPY_TIMEOUT_SECONDS)
        if not isinstance(copy, heartbeat.Copy):
            return
        items = [mirror.Item(i.key, i.value, i.revision) for i in copy.items]
        changed = local_mirror.apply_copy(items, copy.revision)
        self._log.info(
            "copied prefix from another VM",
            prefix=prefix,
            vm=peer.vm.name,
            latest=copy.revision,
            changed=len(changed),
        )
        if changed:
            self._state.apply_store_changes(prefix, changed, clock.now())
