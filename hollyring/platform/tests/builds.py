"""VM processes of two builds side by side, replaced one after the other.

`OLD_BUILD` names the checkout of the other build. Without it, both are this checkout.
"""

import asyncio
import math
import os
import pathlib
import signal

from hollyring.node import clock
from hollyring.platform.tests import conftest, soak, test_process

NEW = test_process.ROOT
OLD = pathlib.Path(os.environ.get("OLD_BUILD", NEW)).resolve()
DIRECTIONS = {"upgrade": (OLD, NEW)} | ({"rollback": (NEW, OLD)} if OLD != NEW else {})
"""Checkouts that run before and after."""

KILL_SHARE = 0.25
"""Share of the VMs that are killed rather than stopped."""

PAUSE_SECONDS = 1.5
"""Time between the return of a VM and the stop of the next one."""

LEASE_LOOK_SECONDS = 0.05


class ExpiringStore(conftest.StoreStandIn):
    """A store whose leases expire, and which never uses a number for two of them."""

    def __init__(self):
        super().__init__()
        self.expires_at = {}
        self.ttls = {}

    async def _respond(self, name, query, body):
        verb, _, lease = name.partition("/")
        if verb == "kv-lease":
            lease = len(self.ttls) + 1
            self.ttls[lease] = body["ttl_ms"] / 1000
            self.expires_at[lease] = clock.now() + self.ttls[lease]
            self.leases.add(lease)
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if verb == "kv-keep" and int(lease) in self.leases:
            self.expires_at[int(lease)] = clock.now() + self.ttls[int(lease)]
        return await super()._respond(name, query, body)

    async def expire(self):
        """End leases when their time is over, until cancelled."""
        while True:
            await asyncio.sleep(LEASE_LOOK_SECONDS)
            for lease in [one for one in self.leases if clock.now() > self.expires_at[one]]:
                await self.end(lease)


class RollingSoak(soak.Soak):
    """A soak that ends when each VM was replaced by one of the second build, one after the other.

    Every second one goes on at its addresses, the others at new ones. Some are killed, the rest get
    SIGTERM. Callers keep their connections until these are closed.

    Parameters
    ----------
    before, after
        Checkouts that run before and after.
    """

    def __init__(self, directory, seed, before, after, **size):
        super().__init__(directory, seed, math.inf, **size)
        self._before = before
        self._after = after
        self._store = None

    def _make_vm(self, store, name):
        self._store = store
        vm = super()._make_vm(store, name)
        vm.root = self._before
        return vm

    async def _signal_vms(self):
        for index in range(len(self.vms)):
            await asyncio.sleep(PAUSE_SECONDS)
            await self._replace(index)
        await asyncio.sleep(PAUSE_SECONDS)
        self._ends_at = clock.now()

    async def _replace(self, index):
        vm = self.vms[index]
        is_killed = self.random.random() < KILL_SHARE
        self._send(vm, signal.SIGKILL if is_killed else signal.SIGTERM)
        while vm.process.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(soak.RESTART_SECONDS)
        if index % 2:
            vm = self.vms[index] = self._make_vm(self._store, vm.log_path.stem)
        vm.root = self._after
        vm.start()
        await soak._wait_ready(vm)
