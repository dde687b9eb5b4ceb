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


@pytest.mark.parametrize("begun_at", ["serving", "following"])
@pytest.mark.parametrize("taken_up_at", ["serving", "following"])
def test_store_outage_of_a_large_fleet_refuses_no_stream_of_the_only_version(
    simulate, begun_at, taken_up_at
):
    """As the test of five VMs, which all serve; here most follow and get no heartbeats."""
    names = [f"vm-{n:02}" for n in range(60)]
    refused = []

    async def scenario(fleet):
        stale.add_upstream(fleet, "u-0", "v0")
        await fleet.start_for_the_first_time(names, 3, 4.0)
        vms = {
            kind: [vm for vm in fleet.vms.values() if vm.state.peers.is_serving is serves]
            for kind, serves in (("serving", True), ("following", False))
        }
        rng = random.Random(0)
        began_at = clock.now()
        fleet.store.unreachable_from.update(names)
        while clock.now() - began_at < 10.0:
            first, second = rng.choice(vms[begun_at]), rng.choice(vms[taken_up_at])
            request_id = f"r-{clock.now()}"
            assert stale.begin_stream(first, request_id, rng) == "v0"
            await anyio.sleep(0.6)
            if stale.refuses(await stale.take_up(second, request_id)):
                refused.append(round(clock.now() - began_at, 1))

    simulate(scenario, vms=names, upstreams=())
    assert not refused or max(refused) < 2.0, (len(refused), refused)
