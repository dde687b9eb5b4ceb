"""Keeps this VM's mirrors, its local copies of the store's keys, up to date.

Some serving VMs watch the store, see `peer_table.PeerTable.should_watch_store`. The others learn of
newer revisions from their heartbeats and statuses and fetch the changes from them. A watching VM
does the same while the store does not answer it or answers slowly.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable

import anyio

from hollyring.configuration import mirror, store_revision
from hollyring.membership import heartbeat, peer_table
from hollyring.node import clock, interfaces, logs, peers, state

WATCH_WAIT_SECONDS = 25.0
BATCH_DELAY_SECONDS = 0.1
"""Delay after a change, so that changes made together are fetched by one call."""

VM_BATCH_DELAY_SECONDS = 0.3
"""The same for the list of VMs, which many VMs change at once when they start."""

FIRST_WATCH_DELAY_SECONDS = 0.5
"""Time after the first list in which a VM learns whether it has to watch."""

ROLE_CHECK_SECONDS = 0.25
FOLLOWING_ROLE_CHECK_SECONDS = 0.5
"""Time between two checks of a VM that does not watch whether it has to.

The second applies to VMs that do not serve.
"""

MIN_RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 1.0
PEER_COPY_DELAY_SECONDS = 0.15
"""Time after a watch's delay for which another VM must have newer changes than this one."""

COPY_TIMEOUT_SECONDS = 0.5
PATIENT_COPY_TIMEOUT_SECONDS = 1.2
"""Time for a copy; the longer one while the copies of this VM are old."""

MAX_COPY_BYTES = 16_384
"""Longest copy for a VM that reaches the store, whose link is wider than those of the VMs."""


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
    send_heartbeat
        Sends a heartbeat to the other VMs at once.
    vm_list_delay
        Seconds until the first list of the VMs, which are registering meanwhile.
    """

    def __init__(
        self,
        store: interfaces.Store,
        vm_state: state.State,
        peer_connections: peers.PeerConnections,
        send_heartbeat: Callable[[], None],
        vm_list_delay: float = 0.0,
    ) -> None:
        self._store = store
        self._state = vm_state
        self._peers = peer_connections
        self._send_heartbeat = send_heartbeat
        self._vm_list_delay = vm_list_delay
        self._revisions_noticed = anyio.Event()
        self._reached = False
        self._ask_store: Callable[[], Awaitable[None]] = self._list_all
        self._listing = {prefix: anyio.Lock() for prefix in vm_state.mirrors}
        self._log = logs.Logger("store")
        self._rng = random.Random(str(vm_state.vm_info.life))
        self._watches: set[anyio.CancelScope] = set()
        vm_state.store_era.add_listener(self._end_watches)

    async def run(self) -> None:
        """Watch every prefix and catch up with other VMs until cancelled."""
        async with anyio.create_task_group() as group:
            for prefix in self._state.mirrors:
                group.start_soon(self._watch, prefix)
                group.start_soon(self._catch_up, prefix)

    def set_store_check(self, ask_store: Callable[[], Awaitable[None]]) -> None:
        """Fetch changes from the store by `ask_store` when another VM's copy would be long."""
        self._ask_store = ask_store

    def notice_revisions(self) -> None:
        """Check whether other VMs have newer revisions, after a message that may name them."""
        self._revisions_noticed.set()
        self._revisions_noticed = anyio.Event()

    def copy(self, request: heartbeat.CopyRequest) -> heartbeat.Copy | None:
        """Return the changes of a prefix after a revision for another VM.

        If not all of them are known, the whole copy is returned, or None if this VM has none.
        """
        local_mirror = self._state.mirrors.get(request.prefix)
        if local_mirror is None or not local_mirror.last_change_revision.number:
            return None
        after = store_revision.Revision(request.era, request.after).resolved(local_mirror.era)
        changes = local_mirror.changes_after(after) if after.number else None
        partial = changes is not None
        if changes is None:
            changes = list(local_mirror.items.values())
        if request.store_answers and _size(changes) > MAX_COPY_BYTES:
            latest = local_mirror.last_change_revision
            return heartbeat.Copy(request.prefix, latest.number, [], era=latest.era, deferred=True)
        return heartbeat.Copy(
            request.prefix,
            local_mirror.last_change_revision.number,
            [
                heartbeat.CopyItem(change.key, change.value, change.revision.number)
                for change in changes
                if isinstance(change, mirror.Item)
            ],
            _complete_revision(local_mirror).number,
            [
                heartbeat.CopyRemoval(change.key, change.revision.number)
                for change in changes
                if isinstance(change, mirror.Removal)
            ],
            partial,
            local_mirror.era,
            age_seconds=self._state.age_to_report(request.prefix, clock.now()),
        )

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
                "store unreachable", why=reason, answered_ago=self._state.store_age(clock.now())
            )
            # Other VMs watch the store instead as soon as they know.
            self._send_heartbeat()

    def report_changes(self, prefix: str, changed: set[str]) -> None:
        """Apply keys of a mirror that changed to the state, and tell the other VMs."""
        if not changed:
            return
        self._state.apply_store_changes(prefix, changed, clock.now())
        if prefix != self._state.store_keys.vms:
            self._send_heartbeat()

    async def list_again(self, prefix: str) -> None:
        """List a prefix whose changes the store does not name any more.

        Raises
        ------
        StoreError
            If the store does not answer.
        """
        local_mirror = self._state.mirrors[prefix]
        before = local_mirror.revision
        async with self._listing[prefix]:
            if local_mirror.revision > before:
                return  # listed meanwhile
            changed = await self._list(prefix, local_mirror)
        self.report_changes(prefix, changed)

    async def _list_all(self) -> None:
        for prefix in self._state.mirrors:
            await self._relist(prefix)

    async def _watch(self, prefix: str) -> None:
        local_mirror = self._state.mirrors[prefix]
        batch_delay = self._batch_delay(prefix)
        delay = MIN_RETRY_SECONDS
        is_compacted_again = False
        if prefix == self._state.store_keys.vms:
            await anyio.sleep(self._vm_list_delay)
        while True:
            if local_mirror.revision.number and not self._state.peers.should_watch_store(
                clock.now()
            ):
                exchanging = self._state.peers.is_exchanging
                await anyio.sleep(
                    ROLE_CHECK_SECONDS if exchanging else FOLLOWING_ROLE_CHECK_SECONDS
                )
                continue
            is_first = not local_mirror.revision.number
            try:
                changed = await self._fetch_changes(prefix, local_mirror)
            except interfaces.HistoryCompactedError:
                self._log.info(
                    "watch history compacted, listing again",
                    prefix=prefix,
                    after=local_mirror.revision.number,
                )
                await self._relist(prefix)
                if is_compacted_again:
                    await anyio.sleep(delay * (0.5 + self._rng.random()))
                    delay = min(MAX_RETRY_SECONDS, delay * 2)
                is_compacted_again = True
                continue
            except interfaces.StoreError as error:
                self.record_failure(str(error))
                await anyio.sleep(delay * (0.5 + self._rng.random()))
                delay = min(MAX_RETRY_SECONDS, delay * 2)
                continue
            delay = MIN_RETRY_SECONDS
            is_compacted_again = False
            self.record_success()
            if changed:
                self.report_changes(prefix, changed)
                await anyio.sleep(batch_delay)
            if is_first:
                vm_list_delay = 0.0 if prefix == self._state.store_keys.vms else self._vm_list_delay
                await anyio.sleep(vm_list_delay + FIRST_WATCH_DELAY_SECONDS)

    async def _fetch_changes(self, prefix: str, local_mirror: mirror.Mirror) -> set[str]:
        if not local_mirror.revision.number:
            return await self._list(prefix, local_mirror)
        if local_mirror.revision.era < max(local_mirror.era, self._state.store_era.current):
            return await self._list(prefix, local_mirror)
        with anyio.CancelScope() as scope:
            self._watches.add(scope)
            try:
                update = await self._store.watch(prefix, local_mirror.revision, WATCH_WAIT_SECONDS)
            finally:
                self._watches.discard(scope)
        if scope.cancelled_caught:
            return set()
        return local_mirror.apply_changes(update.changes, update.revision)

    def _end_watches(self) -> None:
        """End the watches, which go on from a revision of an earlier era."""
        for scope in self._watches:
            scope.cancel()

    async def _list(self, prefix: str, local_mirror: mirror.Mirror) -> set[str]:
        asked_at = clock.now()
        listing = await self._store.list(prefix)
        before = local_mirror.revision
        if listing.revision.era < self._state.store_era.current:
            raise interfaces.StoreError(f"{prefix}: list of an earlier era")
        changed = local_mirror.apply_list(listing.items, listing.revision)
        self._state.freshness.record(prefix, asked_at)
        if before.number and listing.revision.era > before.era:
            self._log.info(
                "prefix listed in a new era",
                prefix=prefix,
                era=listing.revision.era,
                before=before.era,
                revision=listing.revision.number,
                revision_before=before.number,
                changed=len(changed),
            )
        return changed

    async def _relist(self, prefix: str) -> None:
        """List a prefix again after the store compacted its history or began a new era."""
        try:
            await self.list_again(prefix)
        except interfaces.StoreError as error:
            self.record_failure(str(error))
            await anyio.sleep(MIN_RETRY_SECONDS * (0.5 + self._rng.random()))
            return
        self.record_success()

    async def _catch_up(self, prefix: str) -> None:
        """Fetch from other VMs the changes that this VM's watch has not delivered."""
        while True:
            await self._revisions_noticed.wait()
            if not self._is_behind(prefix):
                continue
            if self._state.peers.should_watch_store(clock.now()):
                await anyio.sleep(self._batch_delay(prefix) + PEER_COPY_DELAY_SECONDS)
            peer = self._peer_ahead(prefix)
            if peer is not None:
                await self._copy_from(peer.vm, prefix)
            self._is_behind(prefix)

    def _is_behind(self, prefix: str) -> bool:
        """Return, and record, whether another VM has named a change that this one lacks."""
        if self._peer_ahead(prefix) is None:
            self._state.freshness.record_caught_up(prefix)
            return False
        self._state.freshness.record_behind(prefix, clock.now())
        return True

    def _batch_delay(self, prefix: str) -> float:
        is_vm_list = prefix == self._state.store_keys.vms
        return VM_BATCH_DELAY_SECONDS if is_vm_list else BATCH_DELAY_SECONDS

    def _peer_ahead(self, prefix: str) -> peer_table.Peer | None:
        era_start = store_revision.Revision(self._state.store_era.current, 0)
        revision = max(self._state.mirrors[prefix].last_change_revision, era_start)
        return self._state.peers.peer_ahead(prefix, revision, clock.now())

    async def _copy_from(self, vm: heartbeat.VmInfo, prefix: str) -> None:
        """Fetch the changes of a prefix from another VM."""
        local_mirror = self._state.mirrors[prefix]
        after = _complete_revision(local_mirror)
        store_answers = not self._state.freshness.store_unanswered
        request = heartbeat.CopyRequest(prefix, after.number, after.era, store_answers)
        asked_at = clock.now()
        is_patient = self._state.freshness.is_check_due(asked_at)
        seconds = PATIENT_COPY_TIMEOUT_SECONDS if is_patient else COPY_TIMEOUT_SECONDS
        copy = await self._peers.call(vm.peer_address, request, seconds)
        if not isinstance(copy, heartbeat.Copy):
            self._log.info(
                "no copy received",
                prefix=prefix,
                vm=vm.name,
                after=after.number,
                seconds=round(clock.now() - asked_at, 3),
            )
            return
        if copy.deferred:
            await self._ask_store()
            return
        changed = self._apply_copy(local_mirror, copy)
        self._record_freshness(local_mirror, copy, asked_at)
        self._log.info(
            "copied changes from another VM",
            prefix=prefix,
            vm=vm.name,
            latest=copy.revision,
            era=copy.era,
            changed=len(changed),
        )
        if changed:
            self._state.apply_store_changes(prefix, changed, clock.now())

    def _record_freshness(
        self, local_mirror: mirror.Mirror, copy: heartbeat.Copy, asked_at: float
    ) -> None:
        """Record up to when a copy that was applied is complete.

        Where something changes all the time, the other VM's status always names a change that this
        VM lacks, and only the copy shows what it has.
        """
        latest = store_revision.Revision(copy.era, copy.revision).resolved(local_mirror.era)
        if copy.age_seconds >= 0.0 and local_mirror.last_change_revision >= latest:
            self._state.freshness.record(copy.prefix, asked_at - copy.age_seconds)

    def _apply_copy(self, local_mirror: mirror.Mirror, copy: heartbeat.Copy) -> set[str]:
        """Apply another VM's copy, unless it is of an earlier era; return the changed keys."""
        current = self._state.store_era.current
        era = current if copy.era == store_revision.UNKNOWN_ERA else copy.era
        if era < current or not _is_possible(copy, era):
            return set()
        latest = store_revision.Revision(era, copy.revision)
        complete = store_revision.Revision(era, copy.complete_revision)
        items = [
            mirror.Item(item.key, item.value, store_revision.Revision(era, item.revision))
            for item in copy.items
        ]
        if not copy.partial:
            return local_mirror.apply_copy(items, latest, complete)
        removals = [
            mirror.Removal(removed.key, store_revision.Revision(era, removed.revision))
            for removed in copy.removed
        ]
        return local_mirror.apply_changes([*items, *removals], complete, latest)


def _is_possible(copy: heartbeat.Copy, era: int) -> bool:
    """Return whether a store can reach all revisions of a copy."""
    numbers = [copy.revision, copy.complete_revision]
    numbers += [item.revision for item in copy.items]
    numbers += [removed.revision for removed in copy.removed]
    return all(store_revision.Revision(era, number).is_possible for number in numbers)


def _size(changes: Iterable[mirror.Change]) -> int:
    """Return the bytes of the values among some changes."""
    return sum(len(change.value) for change in changes if isinstance(change, mirror.Item))


def _complete_revision(local_mirror: mirror.Mirror) -> store_revision.Revision:
    """Return the revision of the mirror's era up to which it has every change, number 0 if none."""
    return max(local_mirror.revision, store_revision.Revision(local_mirror.era, 0))
