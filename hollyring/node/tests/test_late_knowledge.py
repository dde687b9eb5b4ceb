"""VMs learn of a configuration in time also while they or the others are slow, or half are gone."""

import random

import anyio
import anyio.lowlevel
import pytest

from hollyring.membership import peer_table
from hollyring.node import clock, metrics, recent_copies, status_client
from hollyring.node.tests import simulated_fleet

VMS = [f"vm-{n:02}" for n in range(74)]
CONFIGURATION_SECONDS = 3.0
"""Time within which a configuration is in force everywhere, on a fleet of this size."""

LONG_BYTES = 100_000


async def start_fleet(fleet, names=VMS):
    await fleet.start_for_the_first_time(names, 3, CONFIGURATION_SECONDS)


async def wait_for_version(fleet, version):
    fleet.store.put("op/config", simulated_fleet.make_deployment(version))
    vms = list(fleet.vms.values())

    def in_force():
        return all(vm.state.configuration_version == version for vm in vms)

    await fleet.wait_until(in_force, CONFIGURATION_SECONDS)


@pytest.mark.parametrize("seed", range(6))
def test_configuration_reaches_vms_whose_messages_wait_longer_than_a_reply_may_take(simulate, seed):
    async def scenario(fleet):
        await start_fleet(fleet)
        rng = random.Random(seed)
        fleet.delays = {name: rng.uniform(0.5, 0.8) for name in VMS}
        fleet.store.delays = {name: rng.uniform(0.1, 0.3) for name in VMS}
        await anyio.sleep(3.0)
        await wait_for_version(fleet, 2)

    simulate(scenario, vms=VMS)


def test_long_configuration_is_fetched_from_the_store_rather_than_over_the_links_of_vms(simulate):
    async def scenario(fleet):
        await start_fleet(fleet)
        before = fleet.copied_bytes
        fleet.store.put("op/blob", b"x" * LONG_BYTES)
        await wait_for_version(fleet, 2)
        assert fleet.copied_bytes - before < LONG_BYTES

    simulate(scenario, vms=VMS)


@pytest.mark.parametrize("seed", range(6))
def test_configuration_reaches_vms_that_follow_when_half_of_the_vms_are_killed(simulate, seed):
    async def scenario(fleet):
        await start_fleet(fleet)
        rng = random.Random(seed)
        fleet.store.put("op/config", simulated_fleet.make_deployment(2))
        changed_at = clock.now()
        await anyio.sleep(rng.uniform(0.0, 0.4))
        for name in rng.sample(VMS, len(VMS) // 2):
            fleet.kill(name)
        survivors = list(fleet.vms.values())
        seconds_left = changed_at + CONFIGURATION_SECONDS - clock.now()
        await fleet.wait_until(
            lambda: all(vm.state.configuration_version == 2 for vm in survivors), seconds_left
        )

    simulate(scenario, vms=VMS)


def test_vm_that_hears_of_a_change_but_gets_it_from_nobody_decides_nothing(simulate):
    async def scenario(fleet):
        await start_fleet(fleet, VMS[:9])
        vm = fleet.vms["vm-08"]
        fleet.store.unreachable_from = {"vm-08"}
        fleet.delays = {"vm-08": status_client.PATIENT_TIMEOUT_SECONDS + 0.1}
        await anyio.sleep(CONFIGURATION_SECONDS)
        fleet.store.put("op/config", simulated_fleet.make_deployment(2))
        await anyio.sleep(CONFIGURATION_SECONDS)
        assert vm.state.configuration_version == 1
        assert not await vm.store_checker.wait_current(clock.now() + 1.0)
        fleet.delays = {}
        await fleet.wait_until(lambda: vm.state.configuration_version == 2, 1.5)
        await fleet.wait_until(lambda: vm.state.freshness.may_use(clock.now()), 1.0)
        assert await vm.store_checker.wait_current(clock.now())

    simulate(scenario, vms=VMS[:9])


def test_question_without_an_answer_long_ago_does_not_excuse_old_copies_after_a_late_event_loop(
    simulate,
):
    async def scenario(fleet):
        await start_fleet(fleet, VMS[:9])
        vm = fleet.vms["vm-08"]
        fleet.store.unreachable_from = {"vm-08"}
        fleet.delays = {"vm-08": 0.6}
        await anyio.sleep(CONFIGURATION_SECONDS)
        fleet.delays = {}
        await anyio.sleep(CONFIGURATION_SECONDS)
        fleet.store.unreachable_from = set()
        await anyio.sleep(2 * CONFIGURATION_SECONDS)
        assert vm.state.freshness.age(clock.now()) < CONFIGURATION_SECONDS / 2
        fleet.store.put("op/config", simulated_fleet.make_deployment(2))
        anyio.lowlevel.current_token().native_token.pass_unused(CONFIGURATION_SECONDS)
        copies = recent_copies.RecentCopies(vm.state, vm.store_checker, metrics.Metrics())
        assert await copies.may_decide(clock.now() + 1.0)
        assert vm.state.configuration_version == 2

    simulate(scenario, vms=VMS[:9])


def test_vms_list_each_other_also_right_after_their_event_loops_were_late(simulate):
    def listed(fleet):
        tables = [vm.state.peers for vm in fleet.vms.values()]
        return {len(table.caller_addresses(True, clock.now(), 64)) for table in tables}

    async def scenario(fleet):
        await start_fleet(fleet, VMS[:9])
        anyio.lowlevel.current_token().native_token.pass_unused(2.0)
        for _ in range(100):
            assert listed(fleet) == {9}
            await anyio.sleep(0.01)
        fleet.kill("vm-08")
        await anyio.sleep(peer_table.ALIVE_TIMEOUT_SECONDS + 0.5)
        assert listed(fleet) == {8}

    simulate(scenario, vms=VMS[:9])
