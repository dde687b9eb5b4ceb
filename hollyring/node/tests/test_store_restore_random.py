"""The store steps back at any moment of a day with changes, cuts, restarts and rollouts.

``RESTORE_SEEDS`` in the environment sets the number of seeds, ``RESTORE_VMS`` that of the VMs.
"""

import math
import os
import random

import anyio
import pytest

from hollyring.node import clock
from hollyring.node.tests import simulated_fleet

SEEDS = int(os.environ.get("RESTORE_SEEDS", "4"))
VMS = [f"vm-{n}" for n in range(1, 1 + int(os.environ.get("RESTORE_VMS", "9")))]
DAY_SECONDS = 30.0
REGISTRATION_SECONDS = 2.0
REWRITE_SECONDS = 1.9
"""Time after the store's return within which the operator and the upstreams write again."""

ROLLOUT_SECONDS = 40.0


class Day:
    """Random faults and changes, and the checks that hold throughout."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.ended = False
        self.configuration = 1
        self.weights = 1
        self.undisturbed_since = {}
        self.returns = 0
        self.checked_returns = 0
        self._seen = {}
        self._isolated = set()
        self._store_away = False
        self._away_since = -math.inf

    async def run(self):
        """Run the day, repair all faults, and wait until everything is up to date."""
        fleet = self.fleet
        for name in VMS:
            self.start(name)
        await anyio.sleep(4.0)
        tasks = [self.check, self.change, self.roll_out, self.restart, self.cut, self.step_back]
        async with anyio.create_task_group() as group:
            for task in tasks:
                group.start_soon(task)
            await anyio.sleep(DAY_SECONDS)
            self.ended = True
        self.write(self.configuration + 1)
        await fleet.wait_until(lambda: set(self.configurations()) == {self.configuration}, 4.0)
        await fleet.wait_until(lambda: fleet.all_serve(self.weights), ROLLOUT_SECONDS)
        fencing_numbers = [order.fencing for order in fleet.orders()]
        assert fencing_numbers and fencing_numbers == sorted(fencing_numbers)
        holders = {}
        for order in fleet.orders():
            assert holders.setdefault(order.fencing, order.holder) == order.holder

    def start(self, name):
        self.fleet.start(name)
        self.undisturbed_since[name] = clock.now()

    def configurations(self):
        return [vm.state.configuration_version for vm in self.fleet.vms.values()]

    def write(self, version):
        self.configuration = version
        self.fleet.store.put("op/config", simulated_fleet.make_deployment(version))

    async def check(self):
        while not self.ended:
            self.fleet.order_lease_holder()
            for vm in self.fleet.vms.values():
                self.check_vm(vm)
            await anyio.sleep(0.02)

    def check_vm(self, vm):
        """Check that nothing in force at one start of a VM steps back."""
        wanted = vm.state.latest_wanted.get(simulated_fleet.MODEL)
        now = (
            vm.state.configuration_version,
            wanted.version if wanted else 0,
            set(vm.state.registry.upstreams),
        )
        before = self._seen.get(vm, (0, 0, set()))
        assert now[0] >= before[0] and now[1] >= before[1] and now[2] >= before[2], vm.name
        self._seen[vm] = now

    async def pause(self, low, high):
        await anyio.sleep(self.rng.uniform(low, high))

    async def change(self):
        while not self.ended:
            self.write(self.configuration + self.rng.randint(1, 3))
            await self.pause(0.1, 3.0)

    async def roll_out(self):
        while not self.ended:
            self.weights += 1
            self.fleet.set_wanted_version(self.weights)
            await self.pause(3.0, 12.0)

    async def restart(self):
        while not self.ended:
            await self.pause(2.0, 9.0)
            all_vms = self.rng.random() < 0.25
            names = VMS if all_vms else self.rng.sample(VMS, self.rng.randint(1, 3))
            for name in names:
                self.fleet.kill(name)
            await self.pause(0.1, 1.5)
            for name in names:
                self.start(name)

    async def cut(self):
        while not self.ended:
            await self.pause(1.0, 6.0)
            await self.isolate(self.rng.choice(VMS), self.rng.uniform(0.3, 4.0))

    async def isolate(self, name, seconds):
        """Cut a VM from the store and all other VMs, as while it is paused."""
        if name in self._isolated:
            return
        self._isolated.add(name)
        self.apply_cuts()
        await anyio.sleep(seconds)
        self._isolated.remove(name)
        self.apply_cuts()
        self.undisturbed_since[name] = clock.now()

    def apply_cuts(self):
        fleet = self.fleet
        fleet.store.unreachable_from = set(VMS if self._store_away else self._isolated)
        fleet.partitions = {
            frozenset({name, other}) for name in self._isolated for other in VMS if other != name
        }

    async def step_back(self):
        """Come back from a copy, often while the holder of the order lease is isolated."""
        fleet = self.fleet
        while not self.ended:
            await self.pause(0.5, 7.0)
            for _ in range(self.rng.choice([1, 1, 2])):
                holder = fleet.order_lease_holder()
                if holder and self.rng.random() < 0.4:
                    fleet.group.start_soon(self.isolate, holder, self.rng.uniform(0.3, 4.0))
                await self.away(self.rng.choice([0.0, 0.0, 0.6, 1.5]))
                fleet.store.restore(self.rng.uniform(0.1, 10.0))
                self.returns += 1
                fleet.group.start_soon(self.check_registrations, fleet.store.era)
                fleet.group.start_soon(self.write_again, self.rng.uniform(0, REWRITE_SECONDS))
                await self.pause(0.05, 0.6)
            await anyio.sleep(REWRITE_SECONDS)

    async def away(self, seconds):
        self._store_away = True
        self._away_since = clock.now()
        self.apply_cuts()
        await anyio.sleep(seconds)
        self._store_away = False
        self.apply_cuts()

    async def write_again(self, delay):
        await anyio.sleep(delay)
        self.fleet.store.write_again()

    async def check_registrations(self, era):
        """Check that the VMs that nothing else disturbs have registered again in time."""
        store = self.fleet.store
        returned_at, returned_to = clock.now(), store.revision
        await anyio.sleep(REGISTRATION_SECONDS)
        went_away_again = self._away_since > returned_at
        if store.era != era or went_away_again or len(self.fleet.vms) < len(VMS):
            return
        self.checked_returns += 1
        written = {c.key for c in store.changes if c.revision.number > returned_to}
        for name, since in self.undisturbed_since.items():
            if since < returned_at - 1.0 and name not in self._isolated:
                assert f"vm/{name}" in written & store.items.keys(), name


@pytest.mark.parametrize("seed", range(SEEDS))
def test_nothing_in_force_steps_back_and_one_vm_gives_orders(simulate, seed):
    async def scenario(fleet):
        day = Day(fleet, seed)
        await day.run()
        assert day.returns and day.checked_returns

    simulate(scenario, vms=VMS)
