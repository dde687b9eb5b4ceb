"""Tests of VMs that have not reached each other for a while."""

import anyio
import pytest

from hollyring.node import clock


def all_connected(fleet):
    return all(
        {peer.vm.name for peer in fleet.vms[name].state.peers.alive(clock.now())}
        == set(fleet.names) - {name}
        for name in fleet.names
    )


@pytest.mark.parametrize("cut_seconds", [0.9, 2.0, 10.0])
def test_vms_exchange_heartbeats_again_after_a_partition(simulate, cut_seconds):
    async def scenario(fleet):
        for name in fleet.names:
            fleet.start(name)
        await anyio.sleep(1.5)
        assert all_connected(fleet)
        cut_off = fleet.names[1]
        fleet.partitions |= {frozenset({name, cut_off}) for name in fleet.names if name != cut_off}
        await anyio.sleep(cut_seconds)
        fleet.partitions.clear()
        await fleet.wait_until(lambda: all_connected(fleet), 2.5)

    simulate(scenario)
