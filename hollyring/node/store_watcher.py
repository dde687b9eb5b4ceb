"""Keeps the mirrors of the store fresh: by watches, and by other VMs' copies while it is away."""

from __future__ import annotations

import random

import anyio

from hollyring.configuration import mirror
from hollyring.membership import heartbeat
from hollyring.node import clock, interfaces, logs, peers, state

WATCH_SECONDS = 25.0
GATHER_SECONDS = 0.04
"""Pause after news, so that changes that come together cost one call."""

FIRST_PAUSE_SECONDS = 0.15
LONGEST_PAUSE_SECONDS = 1.0
BEHIND_SECONDS = 0.15
"""Another VM's newer news is fetched from it when the store did not bring it for so long."""

TICK_SECONDS = 0.1
COPY_SECONDS = 1.0


class StoreWatcher:
    """Follows the store.

    Parameters
    ----------
    store
        The store.
    beliefs
        Whose mirrors it feeds.
    links
        Links to the other VMs.
    """

    def __init__(
        self, store: interfaces.Store, beliefs: state.State, links: peers.PeerConnections
    ) -> None:
        self._store = store
        self._state = beliefs
        self._links = links
        self._behind_since: dict[str, float] = {}
        self._reached = False
        self._log = logs.Logger("store")
        self._draw = random.Random(str(beliefs.vm_info.life))

    async def run(self) -> None:
        """Follow every prefix until cancelled."""
        async with anyio.create_task_group() as group:
            for prefix in self._state.mirrors:
                group.start_soon(self._follow, prefix)
            group.start_soon(self._catch_up)

    def copy(self, prefix: str) -> heartbeat.Copy | None:
        """Return this VM's copy of a prefix for another VM."""
        known = self._state.mirrors.get(prefix)
        if known is None or not known.last_change_revision:
            return None
        items = [heartbeat.CopyItem(i.key, i.value, i.revision) for i in known.items.values()]
        return heartbeat.Copy(prefix, known.last_change_revision, items)

    def record_success(self) -> None:
        """Note that the store answered."""
        self._state.store_reached_at = clock.now()
        if not self._reached:
            self._reached = True
            self._log.info("store reached")

    def record_failure(self, why: str) -> None:
        """Note that a call on the store failed."""
        self._state.store_failed_at = clock.now()
        if self._reached:
            self._reached = False
            self._log.info("store lost", why=why, heard_ago=self._state.store_age(clock.now()))

    async def _follow(self, prefix: str) -> None:
        known = self._state.mirrors[prefix]
        pause = FIRST_PAUSE_SECONDS
        while True:
            try:
                changed = await self._news(prefix, known)
            except interfaces.HistoryCompactedError:
                self._log.info("history gone", prefix=prefix, after=known.revision)
                await self._list(prefix, known)
                continue
            except interfaces.StoreError as error:
                self.record_failure(str(error))
                await anyio.sleep(pause * (0.5 + self._draw.random()))
                pause = min(LONGEST_PAUSE_SECONDS, pause * 2)
                continue
            pause = FIRST_PAUSE_SECONDS
            self.record_success()
            if changed:
                self._state.apply_store_changes(prefix, changed, clock.now())
                await anyio.sleep(GATHER_SECONDS)

    async def _news(self, prefix: str, known: mirror.Mirror) -> set[str]:
        if not known.revision:
            listing = await self._store.list(prefix)
            return known.apply_list(listing.items, listing.revision)
        news = await self._store.watch(prefix, known.revision, WATCH_SECONDS)
        return known.apply_changes(news.changes, news.revision)

    async def _list(self, prefix: str, known: mirror.Mirror) -> None:
        """Read a prefix anew after its history was dropped."""
        try:
            listing = await self._store.list(prefix)
        except interfaces.StoreError as error:
            self.record_failure(str(error))
            await anyio.sleep(FIRST_PAUSE_SECONDS * (0.5 + self._draw.random()))
            return
        self.record_success()
        changed = known.apply_list(listing.items, listing.revision)
        self._state.apply_store_changes(prefix, changed, clock.now())

    async def _catch_up(self) -> None:
        """Fetch from other VMs what the store does not bring."""
        while True:
            await anyio.sleep(TICK_SECONDS)
            for prefix, known in self._state.mirrors.items():
                await self._catch_up_with(prefix, known)

    async def _catch_up_with(self, prefix: str, known: mirror.Mirror) -> None:
        now = clock.now()
        ahead = self._state.peers.peer_ahead(prefix, known.last_change_revision, now)
        if ahead is None:
            self._behind_since.pop(prefix, None)
            return
        if now - self._behind_since.setdefault(prefix, now) < BEHIND_SECONDS:
            return
        address = ahead.vm.peer_address
        copy = await self._links.call(address, heartbeat.CopyRequest(prefix), COPY_SECONDS)
        if not isinstance(copy, heartbeat.Copy):
            return
        items = [mirror.Item(i.key, i.value, i.revision) for i in copy.items]
        changed = known.apply_copy(items, copy.revision)
        self._log.info(
            "copied from VM",
            prefix=prefix,
            vm=ahead.vm.name,
            latest=copy.revision,
            changed=len(changed),
        )
        if changed:
            self._state.apply_store_changes(prefix, changed, clock.now())
