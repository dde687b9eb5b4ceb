"""A VM that was out of step while the store returned from an older copy, over simulated VMs."""

import random

import anyio
import pytest

from hollyring.node import clock
from hollyring.node.tests import test_stale_versions as stale

VMS = stale.VMS


@pytest.mark.parametrize("seed", range(4))
def test_vm_cut_while_a_version_joined_and_the_store_returned_from_before_takes_up_no_stream(
    simulate, seed
):
    joined = []
    refused = []

    async def scenario(fleet):
        rng = random.Random(seed)
        await stale.start_all(fleet)
        stale.cut(fleet, "vm-5", "both")
        await anyio.sleep(2.0)
        left_at = clock.now()
        await anyio.sleep(0.2)
        stale.add_upstream(fleet, "u-1", "v1")
        await anyio.sleep(2.0)
        request_id = next(
            f"r-{n}" for n in range(50) if stale.begin_stream(fleet.vms["vm-1"], f"r-{n}", rng) == "v1"
        )
        await anyio.sleep(0.4)
        fleet.restore_store(clock.now() - left_at)
        assert "servers/u-1" not in fleet.store.items
        stale.heal(fleet)
        healed_at = clock.now()
        while clock.now() < healed_at + 1.5:
            found = await stale.take_up(fleet.vms["vm-5"], request_id)
            if not stale.refuses(found) and found.software != "v1":
                joined.append(round(clock.now() - healed_at, 3))
            elif stale.refuses(found):
                refused.append(round(clock.now() - healed_at, 3))
            await anyio.sleep(0.01)

    simulate(scenario, vms=VMS, upstreams=())
    assert not joined, (joined[0], joined[-1], refused[:1], refused[-1:], len(joined))
