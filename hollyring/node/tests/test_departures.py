"""Every VM learns from heartbeats which upstreams announced that they leave."""

import anyio

UPSTREAM = "u-1"


async def start_all(fleet):
    for name in fleet.names:
        fleet.start(name)
    await anyio.sleep(1.5)


def announce(fleet, vm):
    """Let an upstream announce in an answer to a VM that it leaves."""
    registered = fleet.vms[vm].state
    registered.record_answered_departure(registered.registry.get(UPSTREAM))


def leaves(fleet, *vms):
    return all(fleet.vms[vm].state.registry.get(UPSTREAM).leaving for vm in vms)


def test_departure_reaches_the_other_vms_at_once(simulate):
    async def scenario(fleet):
        await start_all(fleet)
        announce(fleet, fleet.names[0])
        await fleet.wait_until(lambda: leaves(fleet, *fleet.names), 0.3)

    simulate(scenario)


def test_departure_reaches_a_vm_that_missed_the_first_heartbeats_with_it(simulate):
    async def scenario(fleet):
        await start_all(fleet)
        first, second = fleet.names[:2]
        fleet.partitions |= {frozenset({name, second}) for name in fleet.names if name != second}
        announce(fleet, first)
        await anyio.sleep(0.9)
        assert not leaves(fleet, second)
        fleet.partitions.clear()
        await fleet.wait_until(lambda: leaves(fleet, *fleet.names), 1.5)

    simulate(scenario)


def test_departure_reaches_a_restarted_vm_although_the_vm_that_learnt_it_is_gone(simulate):
    async def scenario(fleet):
        await start_all(fleet)
        first, second = fleet.names[:2]
        announce(fleet, first)
        fleet.kill(second)
        await anyio.sleep(0.5)
        fleet.kill(first)
        fleet.start(second)
        await anyio.sleep(3.0)
        assert leaves(fleet, second)

    simulate(scenario)
