"""In-memory store with revisions, watches, leases, and a history that can be compacted or lost."""

import collections
import dataclasses
import math
import pickle

import anyio

from hollyring.configuration import mirror, store_revision
from hollyring.node import clock, interfaces

CALL_SECONDS = 0.005
SNAPSHOT_SECONDS = 15.0
"""Age of the oldest copy that the store can come back from."""


@dataclasses.dataclass
class Snapshot:
    """Contents of the store after a change."""

    at: float
    revision: int
    items: dict
    leases: dict
    last_lease: int


class Store:
    """Contents of the store, shared by the clients of all VMs.

    Calls of the VMs in `too_busy_for` are refused as too many. `unlisted` holds the prefixes that
    it does not list, each with the VM; the watches of `endless_watches` name more changes than can
    be read.
    """

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.changes = []
        self.compacted_revision = 0
        self.leases = {}
        self.unreachable_from = set()
        self.too_busy_for = set()
        self.silent_to = set()
        self.read_only_to = set()
        self.refused_writes = 0
        self.delays = {}
        self.unlisted = set()
        self.endless_watches = set()
        self.watch_calls = collections.Counter()
        self.list_calls = collections.Counter()
        self.calls = 0
        self.write_times = []
        self.era = 1
        self.restored_at = -math.inf
        self._acknowledged = {}
        self._unleased_by_vms = set()
        self._changed = anyio.Event()
        self._last_lease = 0
        self._snapshots = []
        self._save_snapshot()

    @property
    def current(self):
        return store_revision.Revision(self.era, self.revision)

    def put(self, key, value, lease=0, by_vm=False):
        """Write a key, as the operator, an upstream or a VM does."""
        self.revision += 1
        data = value if isinstance(value, bytes) else pickle.dumps(value)
        self.items[key] = mirror.Item(key, data, self.current, unleased=not lease)
        self.changes.append(self.items[key])
        for _, keys, _ in self.leases.values():
            keys.discard(key)
        if lease:
            self.leases[lease][1].add(key)
        elif by_vm:
            self._unleased_by_vms.add(key)
        else:
            self._acknowledged[key] = data
        self._wake()

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self._acknowledged.pop(key, None)
        self.revision += 1
        self.changes.append(mirror.Removal(key, self.current))
        self._wake()

    def restore(self, seconds):
        """Come back from a copy that is `seconds` old; revisions and leases are given out again."""
        while len(self._snapshots) > 1 and self._snapshots[-1].at > clock.now() - seconds:
            self._snapshots.pop()
        copy = self._snapshots[-1]
        self.era += 1
        self.restored_at = clock.now()
        self.revision = copy.revision
        self.items = {key: self._in_current_era(item) for key, item in copy.items.items()}
        changes = [change for change in self.changes if change.revision.number <= copy.revision]
        self.changes = [self._in_current_era(change) for change in changes]
        self.compacted_revision = min(self.compacted_revision, copy.revision)
        self.leases = {
            lease: [clock.now() + ttl, {key for key in keys if key in self.items}, ttl]
            for lease, (keys, ttl) in copy.leases.items()
        }
        self._last_lease = copy.last_lease
        self._wake()

    def _in_current_era(self, change):
        """Return a change as the store states it now: it has no eras of single changes."""
        revision = store_revision.Revision(self.era, change.revision.number)
        return dataclasses.replace(change, revision=revision)

    def write_again(self):
        """Write again what the operator and the upstreams wrote, which have no leases."""
        by_vms = {key for _, keys, _ in self.leases.values() for key in keys}
        by_vms |= self._unleased_by_vms
        for key in sorted(self.items.keys() - by_vms - self._acknowledged.keys()):
            self.remove(key)
        for key, data in self._acknowledged.items():
            if key not in self.items or self.items[key].value != data:
                self.put(key, data)

    async def cut_watches(self, vms):
        """Cut all watches of some VMs at once; calls are answered again right after."""
        self.unreachable_from |= set(vms)
        self._wake()
        await anyio.sleep(2 * CALL_SECONDS)
        self.unreachable_from -= set(vms)

    def compact(self):
        self.compacted_revision = self.revision
        self._wake()

    def grant(self, seconds):
        self._last_lease += 1
        self.leases[self._last_lease] = [clock.now() + seconds, set(), seconds]
        self._save_snapshot()
        return self._last_lease

    def renew(self, lease):
        if lease not in self.leases:
            return False
        self.leases[lease][0] = clock.now() + self.leases[lease][2]
        return True

    def end(self, lease):
        _, keys, _ = self.leases.pop(lease, (0, set(), 0))
        for key in sorted(keys):
            self.remove(key)

    async def run(self):
        """Expire leases."""
        while True:
            await anyio.sleep(0.05)
            for lease in [n for n, state in self.leases.items() if state[0] < clock.now()]:
                self.end(lease)

    async def changed(self):
        await self._changed.wait()

    def _save_snapshot(self):
        leases = {lease: (set(keys), ttl) for lease, (_, keys, ttl) in self.leases.items()}
        self._snapshots.append(
            Snapshot(clock.now(), self.revision, dict(self.items), leases, self._last_lease)
        )
        while self._snapshots[0].at < clock.now() - SNAPSHOT_SECONDS:
            self._snapshots.pop(0)

    def _wake(self):
        self._save_snapshot()
        self._changed.set()
        self._changed = anyio.Event()


class StoreClient:
    """Implementation of `interfaces.Store` for one VM."""

    def __init__(self, store, vm):
        self._store = store
        self._vm = vm
        self._era = 0
        self._observe = None

    def set_era_listener(self, listener):
        self._observe = listener

    async def get(self, key):
        await self._check_reachable()
        return self._store.items.get(key)

    async def list(self, prefix):
        await self._check_reachable()
        if (self._vm, prefix) in self._store.unlisted:
            raise interfaces.StoreError("no list")
        self._store.list_calls[prefix] += 1
        items = [item for key, item in self._store.items.items() if key.startswith(prefix)]
        return interfaces.Listing(items, self._store.current)

    async def watch(self, prefix, after, seconds):
        await self._check_reachable()
        era = self._store.era
        if prefix in self._store.endless_watches:
            await anyio.sleep(CALL_SECONDS)
            self._store.watch_calls[prefix] += 1
            raise interfaces.HistoryCompactedError(f"{prefix}: too many changes")
        with anyio.move_on_after(seconds):
            while True:
                if self._store.era != era:
                    raise interfaces.StoreError("cut")
                if not self._store.compacted_revision <= after.number <= self._store.revision:
                    raise interfaces.HistoryCompactedError(prefix)
                changes = [c for c in self._store.changes if c.revision.number > after.number]
                changes = [c for c in changes if c.key.startswith(prefix)]
                if changes and after.era != era:
                    raise interfaces.HistoryCompactedError(prefix)
                if changes:
                    return interfaces.Changes(changes, self._store.current)
                await self._store.changed()
                await self._check_reachable(is_new_call=False)
        if after.era != era:
            raise interfaces.HistoryCompactedError(prefix)
        return interfaces.Changes([], self._store.current)

    async def commit(self, expected, puts):
        await self._check_reachable()
        if self._vm in self._store.read_only_to:
            self._store.refused_writes += 1
            raise interfaces.StoreError("no writes")
        self._store.write_times.append(clock.now())
        for key, revision in expected.items():
            item = self._store.items.get(key)
            if (item.revision.number if item else 0) != revision.number:
                return interfaces.Conflict()
        if any(put.lease and put.lease.number not in self._store.leases for put in puts):
            return interfaces.LeaseExpired()
        for put in puts:
            lease = put.lease.number if put.lease else 0
            self._store.put(put.key, put.value, lease, by_vm=True)
        if any(put.lease and put.lease.era != self._store.era for put in puts):
            return interfaces.LeaseExpired()
        return interfaces.Committed(self._store.current)

    async def grant(self, seconds):
        await self._check_reachable()
        self._store.write_times.append(clock.now())
        return interfaces.Lease(self._store.era, self._store.grant(seconds))

    async def renew(self, lease):
        await self._check_reachable()
        return self._store.renew(lease.number) and lease.era == self._store.era

    async def revoke(self, lease):
        await self._check_reachable()
        if lease.era != self._era:
            return False
        had_not_ended = lease.number in self._store.leases
        self._store.end(lease.number)
        return had_not_ended

    async def _check_reachable(self, is_new_call=True):
        self._store.calls += is_new_call
        await anyio.sleep(CALL_SECONDS + self._store.delays.get(self._vm, 0.0))
        while self._vm in self._store.silent_to:
            await anyio.sleep(CALL_SECONDS)
        if self._vm in self._store.unreachable_from:
            raise interfaces.StoreError("refused")
        if self._vm in self._store.too_busy_for:
            raise interfaces.StoreRefusedError("too many calls")
        self._era = max(self._era, self._store.era)
        self._observe(self._store.era)
