"""A VM follows the store, and other VMs where the store does not serve it."""

import anyio

from hollyring.node import store_watcher
from hollyring.node.tests import simulated_fleet


def start_all(fleet):
    for name in fleet.names:
        fleet.start(name)


def all_ready(fleet):
    return lambda: all(vm.state.ready for vm in fleet.vms.values())


def versions(fleet):
    return {vm.state.configuration_version for vm in fleet.vms.values()}


def test_all_vms_take_a_change_from_the_store(simulate):
    async def play(fleet):
        start_all(fleet)
        await fleet.until(all_ready(fleet), 1.0)
        fleet.store.put("op/config", simulated_fleet.made_deployment(2))
        await anyio.sleep(0.1)
        assert versions(fleet) == {2}
        assert fleet.store.lists["op/"] == len(fleet.names)

    simulate(play)


def test_vm_that_the_store_refuses_takes_a_change_from_another_vm(simulate):
    async def play(fleet):
        start_all(fleet)
        await fleet.until(all_ready(fleet), 1.0)
        await anyio.sleep(0.5)
        fleet.store.away_for = {"vm-2"}
        fleet.store.put("op/config", simulated_fleet.made_deployment(2))
        fleet.store.remove("servers/u-1")
        refused = fleet.vms["vm-2"].state
        await fleet.until(lambda: refused.configuration_version == 2, 0.6)
        assert refused.registry.get("u-1") is None or refused.registry.get("u-1").missing_since
        assert refused.store_failed_at > refused.store_reached_at

    simulate(play)


def test_vm_asks_no_other_while_the_store_serves_it(simulate):
    async def play(fleet):
        start_all(fleet)
        await fleet.until(all_ready(fleet), 1.0)
        fleet.store.delays = {"vm-2": store_watcher.BEHIND_SECONDS * 0.8}
        copies = []
        for vm in fleet.vms.values():
            vm.store_watcher.copy = copies.append
        for version in range(2, 30):
            fleet.store.put("op/config", simulated_fleet.made_deployment(version))
            await anyio.sleep(0.37)
        assert versions(fleet) == {29}
        assert copies == []

    simulate(play)


def test_nobody_takes_a_change_while_the_store_is_away_and_all_do_when_it_is_back(simulate):
    async def play(fleet):
        start_all(fleet)
        await fleet.until(all_ready(fleet), 1.0)
        fleet.store.away_for = set(fleet.names)
        fleet.store.put("op/config", simulated_fleet.made_deployment(2))
        await anyio.sleep(5.0)
        assert versions(fleet) == {1}
        assert all(vm.state.ready for vm in fleet.vms.values())
        fleet.store.away_for = set()
        longest = store_watcher.LONGEST_PAUSE_SECONDS * 1.5
        await fleet.until(lambda: versions(fleet) == {2}, longest + 0.1)

    simulate(play)


def test_dropped_history_is_made_good_by_one_list(simulate):
    """A removal whose record is gone must be noticed all the same."""

    async def play(fleet):
        start_all(fleet)
        await fleet.until(all_ready(fleet), 1.0)
        await anyio.sleep(3.0)
        before = fleet.store.lists["servers/"]
        fleet.store.away_for = set(fleet.names)
        fleet.store.remove("servers/u-1")
        fleet.store.drop_history()
        await anyio.sleep(3.0)
        fleet.store.away_for = set()

        def removed():
            return all(vm.state.registry.get("u-1") is None for vm in fleet.vms.values())

        await fleet.until(removed, 4.0)
        assert fleet.store.lists["servers/"] == before + len(fleet.names)

    simulate(play)


def test_vm_that_starts_while_the_store_refuses_it_is_served_by_the_others(simulate):
    async def play(fleet):
        fleet.start("vm-1")
        fleet.start("vm-2")
        await fleet.until(all_ready(fleet), 1.0)
        fleet.store.away_for = {"vm-3"}
        late = fleet.start("vm-3")
        await fleet.until(lambda: late.state.ready, 1.0)
        assert late.state.configuration_version == 1
        assert len(late.state.registry.upstreams) == len(fleet.upstreams)

    simulate(play)


def test_all_vms_restarted_at_once_are_ready_from_the_store_alone(simulate):
    async def play(fleet):
        start_all(fleet)
        await anyio.sleep(2.0)
        fleet.store.put("op/config", simulated_fleet.made_deployment(7))
        for name in fleet.names:
            fleet.kill(name)
        await anyio.sleep(1.0)
        start_all(fleet)
        await fleet.until(all_ready(fleet), 0.1)
        assert versions(fleet) == {7}

        def all_heard():
            return all(len(vm.state.peers.by_name) == 2 for vm in fleet.vms.values())

        await fleet.until(all_heard, 0.5)

    simulate(play)


def test_unreadable_values_stop_nothing(simulate):
    async def play(fleet):
        fleet.store.put("servers/u-9", b"\xff")
        fleet.store.put("vm/x", b"not a place")
        start_all(fleet)
        await fleet.until(all_ready(fleet), 1.0)
        fleet.store.put("op/config", b"broken")
        await anyio.sleep(0.2)
        assert versions(fleet) == {1}
        assert "u-9" not in fleet.vms["vm-1"].state.registry.upstreams

    simulate(play)
