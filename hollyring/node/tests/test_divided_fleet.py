"""Tests of what VMs that do not reach each other may use together of what upstreams allow."""

import itertools

import anyio
import pytest

from hollyring.node import registration
from hollyring.node.tests import order_steps, simulated_fleet

VMS = tuple(f"vm-{n}" for n in range(1, 7))
SERVICES = ("used before the division", "used first during it")
RULES = simulated_fleet.RETRIES


def divide(fleet, parts):
    """Let only VMs of the same part reach each other."""
    fleet.partitions = {
        frozenset(pair)
        for one, other in itertools.combinations(parts, 2)
        for pair in itertools.product(one, other)
    }


async def use_retries(fleet, service, seconds):
    """Use every retry that the VMs have within a time; return how many there were."""
    until = anyio.current_time() + seconds
    used = 0
    while anyio.current_time() < until:
        for vm in fleet.vms.values():
            while vm.state.retries(service).try_retry(anyio.current_time()):
                used += 1
        await anyio.sleep(0.1)
    return used


@pytest.mark.parametrize("service", SERVICES)
@pytest.mark.parametrize("parts", [[VMS], [VMS[:3], VMS[3:]], [[name] for name in VMS]])
def test_vms_that_do_not_reach_each_other_stay_within_the_retry_budget_together(
    simulate, parts, service
):
    async def scenario(fleet):
        await order_steps.start_all(fleet)
        for vm in fleet.vms.values():
            vm.state.retries(SERVICES[0])
        divide(fleet, parts)
        await anyio.sleep(2.0)
        used = await use_retries(fleet, service, RULES.window_seconds)
        assert RULES.slack / 2 <= used <= RULES.slack

    simulate(scenario, vms=VMS)


def test_survivors_use_the_whole_retry_budget_once_the_others_are_known_to_be_gone(simulate):
    async def scenario(fleet):
        await order_steps.start_all(fleet)
        for name in VMS[2:]:
            fleet.kill(name)
        await anyio.sleep(registration.LEASE_SECONDS + 2.0)
        assert [vm.state.retry_sharing_vms for vm in fleet.vms.values()] == [2, 2]

    simulate(scenario, vms=VMS)
