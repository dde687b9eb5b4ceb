"""A VM that has just started learns of upstreams' limits before it sends its first request."""

import anyio
import pytest

from hollyring.node import clock, first_limits
from hollyring.node.tests import simulated_fleet, test_send_permits

UPSTREAM = "u-1"
REQUEST_SECONDS = 2.0
LONGEST_WAIT_SECONDS = 0.05


async def start_named_fleet(fleet):
    """Start a fleet and let an upstream name a limit to one of its VMs."""
    await test_send_permits.start_fleet(fleet)
    vm = fleet.vms[fleet.names[-1]]
    upstream = vm.state.registry.get(UPSTREAM)
    head = simulated_fleet.answer_with_limit(2.4)
    vm.state.request_limits.record(upstream, head, clock.now(), clock.now())
    await fleet.wait_until(lambda: all(map(knows_limit, fleet.vms.values())), 3.0)


def knows_limit(vm):
    upstream = vm.state.registry.get(UPSTREAM)
    return vm.state.registry.request_limits.per_second(upstream.incarnation) is not None


async def restart(fleet, names, seconds=1.0):
    """Kill VMs, start them together after some seconds, and wait until they take requests."""
    for name in names:
        fleet.kill(name)
    await anyio.sleep(seconds)
    restarted = [fleet.start(name) for name in names]
    await fleet.wait_until(lambda: all(vm.state.ready for vm in restarted), 1.0)
    return restarted


async def acquire(vm):
    """Ask for a permit of a request; return it and the seconds waited."""
    upstream = vm.state.registry.get(UPSTREAM)
    asked_at = clock.now()
    permit = await vm.permits.acquire(upstream, False, "r-1", REQUEST_SECONDS)
    return permit, clock.now() - asked_at


@pytest.mark.parametrize("vms", [9, 60])
def test_first_request_of_a_restarted_herd_keeps_to_a_limit_named_before(simulate, vms):
    async def scenario(fleet):
        await start_named_fleet(fleet)
        restarted = await restart(fleet, fleet.names[::2])
        async with anyio.create_task_group() as group:
            for vm in restarted:
                group.start_soon(acquire, vm)
        assert all(map(knows_limit, restarted))

    simulate(scenario, vms=test_send_permits.names(vms))


@pytest.mark.parametrize("vms", [9, 60])
def test_restart_of_a_whole_fleet_without_limits_delays_no_request_for_long(simulate, vms):
    async def scenario(fleet):
        await test_send_permits.start_fleet(fleet)
        for vm in await restart(fleet, fleet.names):
            permit, seconds = await acquire(vm)
            assert permit is not None
            assert seconds <= LONGEST_WAIT_SECONDS

    simulate(scenario, vms=test_send_permits.names(vms))


def test_silent_vms_delay_the_first_request_by_their_timeout_at_most(simulate):
    async def scenario(fleet):
        await test_send_permits.start_fleet(fleet)
        for name in fleet.names[::2]:
            fleet.kill(name)
        (vm,) = await restart(fleet, [fleet.names[1]])
        permit, seconds = await acquire(vm)
        assert permit is not None
        assert seconds <= first_limits.ASK_TIMEOUT_SECONDS + LONGEST_WAIT_SECONDS

    simulate(scenario, vms=test_send_permits.names(9))


def test_vm_without_others_sends_its_first_request_at_once(simulate):
    async def scenario(fleet):
        vm = fleet.start("vm-1")
        await fleet.wait_until(lambda: vm.state.ready, 1.0)
        permit, seconds = await acquire(vm)
        assert permit is not None
        assert seconds == 0.0

    simulate(scenario, vms=["vm-1"])


@pytest.mark.parametrize("seconds", [0.3, 1.0, 3.0])
def test_limit_that_only_vms_that_follow_know_holds_when_all_serving_vms_restart(simulate, seconds):
    async def scenario(fleet):
        await start_named_fleet(fleet)
        serving = [name for name, vm in fleet.vms.items() if vm.state.peers.is_serving]
        assert len(serving) < len(fleet.names)
        restarted = await restart(fleet, serving, seconds)
        async with anyio.create_task_group() as group:
            for vm in restarted:
                group.start_soon(acquire, vm)
        assert all(map(knows_limit, restarted))

    simulate(scenario, vms=test_send_permits.names(60))
