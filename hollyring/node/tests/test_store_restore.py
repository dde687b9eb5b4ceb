"""The store comes back from an older copy: revisions and leases are lost and given out again."""

import anyio

from hollyring.node import clock
from hollyring.node.tests import simulated_fleet

VMS = [f"vm-{n}" for n in range(1, 10)]
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
