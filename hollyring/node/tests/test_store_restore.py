"""The store comes back from an older copy: revisions and leases are lost and given out again."""

import anyio
import pytest

from hollyring.node import adapter_server, clock, rollout_controller
from hollyring.node.tests import simulated_fleet

VMS = [f"vm-{n}" for n in range(1, 10)]
LARGE_FLEET = [f"vm-{n:03}" for n in range(195)]
WRITES_PER_SECOND = 400
"""Writes that the store accepts from all VMs."""

REGISTRATION_SECONDS = 2.0
"""Time within which all VMs are registered again after the store's return."""

PROPAGATION_SECONDS = 2.0
"""Time within which a change reaches every VM after the store's return."""


async def start_all(fleet):
    for name in fleet.names:
        fleet.start(name)
    await fleet.wait_until(lambda: all(vm.state.ready for vm in fleet.vms.values()), 1.0)
    await anyio.sleep(3.0)


def versions(fleet):
    return {vm.state.configuration_version for vm in fleet.vms.values()}


def put_configuration(fleet, version):
    fleet.store.put("op/config", simulated_fleet.make_deployment(version))


async def change_configuration(fleet, first, last):
    """Write configurations that the store is to lose, so that their revisions are reused."""
    for version in range(first, last + 1):
        put_configuration(fleet, version)
        await anyio.sleep(0.2)


def test_change_with_a_reused_revision_reaches_every_vm(simulate):
    async def scenario(fleet):
        await start_all(fleet)
        await change_configuration(fleet, 2, 9)
        fleet.store.restore(3.0)
        put_configuration(fleet, 10)
        await fleet.wait_until(lambda: versions(fleet) == {10}, PROPAGATION_SECONDS)

    simulate(scenario, vms=VMS)


def test_change_reaches_vms_that_learn_of_the_new_era_from_others_only(simulate):
    async def scenario(fleet):
        await start_all(fleet)
        await change_configuration(fleet, 2, 9)
        fleet.store.unreachable_from = {"vm-2", "vm-5", "vm-9"}
        fleet.store.restore(3.0)
        put_configuration(fleet, 10)
        await fleet.wait_until(lambda: versions(fleet) == {10}, PROPAGATION_SECONDS)

    simulate(scenario, vms=VMS)


def test_changes_reach_every_vm_after_the_store_steps_back_twice_in_a_row(simulate):
    async def scenario(fleet):
        await start_all(fleet)
        await change_configuration(fleet, 2, 9)
        fleet.store.restore(3.0)
        await anyio.sleep(0.3)
        fleet.store.restore(4.0)
        put_configuration(fleet, 10)
        await fleet.wait_until(lambda: versions(fleet) == {10}, PROPAGATION_SECONDS)

    simulate(scenario, vms=VMS)


def test_vm_paused_while_the_store_steps_back_reads_anew(simulate):
    """Its pause is played by a cut from the store and from all other VMs."""

    async def scenario(fleet):
        await start_all(fleet)
        await change_configuration(fleet, 2, 9)
        fleet.store.unreachable_from = {"vm-3"}
        fleet.partitions = {frozenset({"vm-3", name}) for name in VMS if name != "vm-3"}
        fleet.store.restore(3.0)
        put_configuration(fleet, 10)
        await anyio.sleep(3.0)
        fleet.store.unreachable_from = set()
        fleet.partitions = set()
        await fleet.wait_until(lambda: versions(fleet) == {10}, PROPAGATION_SECONDS)

    simulate(scenario, vms=VMS)


def test_configuration_in_force_does_not_step_back_to_the_copy(simulate):
    async def scenario(fleet):
        await start_all(fleet)
        await change_configuration(fleet, 2, 9)
        fleet.restore_store(3.0)
        returned_at = clock.now()
        while clock.now() - returned_at < 3.0:
            assert versions(fleet) == {9}
            await anyio.sleep(0.05)
        put_configuration(fleet, 10)
        await fleet.wait_until(lambda: versions(fleet) == {10}, PROPAGATION_SECONDS)

    simulate(scenario, vms=VMS)


def test_upstreams_missing_from_the_copy_stay_in_use_until_they_write_again(simulate):
    async def scenario(fleet):
        await start_all(fleet)
        fleet.add_upstream(simulated_fleet.Upstream("u-9"))
        await anyio.sleep(1.0)
        fleet.restore_store(2.0, rewrite_delay=2.0)
        returned_at = clock.now()
        while clock.now() - returned_at < 6.0:
            assert all("u-9" in vm.state.registry.upstreams for vm in fleet.vms.values())
            await anyio.sleep(0.05)

    simulate(scenario, vms=VMS)


def test_upstream_that_stays_missing_from_the_copy_is_removed(simulate):
    async def scenario(fleet):
        await start_all(fleet)
        fleet.add_upstream(simulated_fleet.Upstream("u-9"))
        await anyio.sleep(1.0)
        fleet.store.restore(2.0)

        def removed():
            return all("u-9" not in vm.state.registry.upstreams for vm in fleet.vms.values())

        await fleet.wait_until(removed, 4.0)

    simulate(scenario, vms=VMS)


def test_vms_missing_from_the_copy_keep_serving(simulate):
    async def scenario(fleet):
        await start_all(fleet)
        fleet.store.restore(10.0)
        returned_at = clock.now()
        while clock.now() - returned_at < 4.0:
            assert all(len(vm.state.peers.serving) == len(VMS) for vm in fleet.vms.values())
            await anyio.sleep(0.05)

    simulate(scenario, vms=VMS)


def registered(fleet):
    """Return the VMs with a record under a lease that has not ended."""
    leased = {key for _, keys, _ in fleet.store.leases.values() for key in keys}
    return {key.removeprefix("vm/") for key in leased if key in fleet.store.items}


def max_writes_in_a_second(times):
    return max((sum(0 <= at - first < 1.0 for at in times) for first in times), default=0)


@pytest.mark.parametrize("away", [0.0, 1.3])
def test_all_vms_of_a_large_fleet_are_registered_again_in_time(simulate, away):
    async def scenario(fleet):
        fleet.domains = {name: f"dar-{n % 5}" for n, name in enumerate(LARGE_FLEET)}
        fleet.first_start_delay = adapter_server.FIRST_START_DELAY_SECONDS
        for name in LARGE_FLEET:
            fleet.start(name)
        await anyio.sleep(8.0)
        fleet.store.unreachable_from = set(LARGE_FLEET) if away else set()
        await anyio.sleep(away)
        fleet.store.unreachable_from = set()
        fleet.restore_store(9.5, rewrite_delay=0.0)
        fleet.store.write_times.clear()
        assert not registered(fleet)
        await fleet.wait_until(lambda: registered(fleet) >= set(LARGE_FLEET), REGISTRATION_SECONDS)
        await anyio.sleep(1.0)
        assert max_writes_in_a_second(fleet.store.write_times) < WRITES_PER_SECOND

    simulate(scenario, vms=LARGE_FLEET)


def test_vms_whose_lease_numbers_are_given_out_again_register_anew(simulate):
    async def scenario(fleet):
        await start_all(fleet)
        fleet.store.restore(10.0)
        other = fleet.store.grant(60.0)
        await fleet.wait_until(lambda: registered(fleet) >= set(VMS), REGISTRATION_SECONDS)
        await anyio.sleep(20.0)
        assert registered(fleet) >= set(VMS)
        assert not fleet.store.leases[other][1]

    simulate(scenario, vms=VMS)


async def hold_order_lease(fleet):
    await start_all(fleet)
    await fleet.wait_until(lambda: fleet.order_lease_holder() != "", 3.0)
    await anyio.sleep(rollout_controller.LEASE_SECONDS)


def assert_fencing_rises(fleet):
    orders = fleet.orders()
    assert [order.fencing for order in orders] == sorted(order.fencing for order in orders)
    holders = {}
    for order in orders:
        assert holders.setdefault(order.fencing, order.holder) == order.holder


@pytest.mark.parametrize("age", [0.5, 3.0, 10.0])
def test_rollout_goes_on_under_a_higher_fencing_number(simulate, age):
    async def scenario(fleet):
        await hold_order_lease(fleet)
        await change_configuration(fleet, 2, 9)
        fleet.set_wanted_version(2)
        await fleet.wait_until(lambda: len(fleet.orders()) > 0, 3.0)
        before = max(order.fencing for order in fleet.orders())
        fleet.restore_store(age)
        count = len(fleet.orders())
        while not fleet.all_serve(2):
            fleet.order_lease_holder()
            await anyio.sleep(0.05)
            assert clock.now() - fleet.store.restored_at < 16.0
        assert_fencing_rises(fleet)
        assert count < len(fleet.upstreams)
        assert all(order.fencing > before for order in fleet.orders()[count:])
        assert len(fleet.orders()) == len(fleet.upstreams)

    simulate(scenario, vms=VMS)


@pytest.mark.parametrize("age", [0.5, 10.0])
def test_holder_that_does_not_learn_of_the_new_era_is_the_only_one_until_its_lease_ends(
    simulate, age
):
    async def scenario(fleet):
        await hold_order_lease(fleet)
        cut_off = fleet.order_lease_holder()
        fleet.store.unreachable_from = {cut_off}
        fleet.partitions = {frozenset({cut_off, name}) for name in VMS if name != cut_off}
        fleet.restore_store(age)
        fleet.set_wanted_version(2)
        while not fleet.all_serve(2):
            fleet.order_lease_holder()
            await anyio.sleep(0.02)
            assert clock.now() - fleet.store.restored_at < 25.0
        assert_fencing_rises(fleet)

    simulate(scenario, vms=VMS)


def test_vm_that_starts_after_the_return_does_not_take_the_order_lease_of_another(simulate):
    async def scenario(fleet):
        await hold_order_lease(fleet)
        cut_off = fleet.order_lease_holder()
        fleet.store.unreachable_from = {cut_off}
        fleet.partitions = {frozenset({cut_off, name}) for name in VMS if name != cut_off}
        for name in VMS:
            if name != cut_off:
                fleet.kill(name)
        fleet.store.restore(10.0)
        fleet.store.write_again()
        for name in VMS:
            if name != cut_off:
                fleet.start(name)
        until = clock.now() + 5.0
        while clock.now() < until:
            fleet.order_lease_holder()
            await anyio.sleep(0.02)
        await fleet.wait_until(lambda: fleet.order_lease_holder() not in ("", cut_off), 6.0)

    simulate(scenario, vms=VMS)


def test_holder_takes_the_lease_of_the_new_era_soon(simulate):
    async def scenario(fleet):
        await hold_order_lease(fleet)
        holder = fleet.order_lease_holder()
        fleet.restore_store(10.0)
        await anyio.sleep(0.3)
        await fleet.wait_until(lambda: fleet.order_lease_holder() == holder, REGISTRATION_SECONDS)

    simulate(scenario, vms=VMS)
