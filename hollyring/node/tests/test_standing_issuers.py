"""An issuer of permits that stands still adds nothing to what an upstream gets or rejects."""

import anyio
import pytest

from hollyring.node import clock
from hollyring.node.tests import test_places, test_send_permits

SECONDS = [1.3, 2.0, 6.0]


def issuer(fleet, name):
    """Return the VM that issues the permits of an upstream, as most VMs have it."""
    vm = fleet.vms[fleet.names[0]]
    incarnation = vm.state.registry.get(name).incarnation
    issuing = vm.permits.issuing_vm(incarnation, clock.now())
    return vm.name if issuing is None else issuing.name


@pytest.mark.parametrize("seconds", SECONDS)
def test_issuer_that_stood_still_adds_nothing_to_what_an_upstream_gets(simulate, seconds):
    async def scenario(fleet):
        await test_send_permits.start_fleet(fleet)
        limited = test_send_permits.LimitedUpstream(fleet, 55.0)
        async with anyio.create_task_group() as group:
            group.start_soon(limited.run, 24.0, round(10 * seconds))
            await anyio.sleep(6.0)
            for _ in range(2):
                await fleet.stand_still(issuer(fleet, "u-1"), seconds)
                await anyio.sleep(2.0)
        print("most in a window:", limited.most_in_window())
        assert limited.most_in_window() <= test_send_permits.allowed(test_send_permits.LIMIT)

    simulate(scenario, vms=test_send_permits.names(9))


@pytest.mark.parametrize("seconds", SECONDS)
@pytest.mark.parametrize("seed", [1])
def test_issuer_that_stood_still_causes_no_more_rejections_than_upstreams_stand(
    simulate, seed, seconds
):
    async def scenario(fleet):
        await test_send_permits.start_fleet(fleet)
        brittle = test_places.BrittleUpstreams(fleet, 600.0)
        began_at = clock.now()
        async with anyio.create_task_group() as group:
            group.start_soon(brittle.run, 18.0, seed)
            await anyio.sleep(test_places.TOLD_SECONDS)
            brittle.queue = 4
            await anyio.sleep(1.0)
            for name in test_places.UPSTREAMS[:2]:
                await fleet.stand_still(issuer(fleet, name), seconds)
                await anyio.sleep(1.0)
        most = brittle.most_rejected_in_a_second(began_at + test_places.TOLD_SECONDS)
        print("most rejections in a second:", most)
        assert most <= test_places.STANDS

    simulate(scenario, vms=test_send_permits.names(9), upstreams=test_places.UPSTREAMS)
