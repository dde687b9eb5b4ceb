"""Steps and checks that tests of orders to simulated upstreams share."""

import itertools

import anyio

from hollyring.node import rollout_controller

TAKEOVER_SECONDS = rollout_controller.LEASE_SECONDS * 2 + 2.0
"""Time until the lease of a failed holder expires and its last order can no longer have effect."""


async def start_all(fleet, names=None):
    """Start all VMs and wait until one holds the order lease and may send orders."""
    for name in names or fleet.names:
        fleet.start(name)
    await fleet.wait_until(lambda: fleet.order_lease_holder() != "", 3.0)
    await anyio.sleep(rollout_controller.LEASE_SECONDS + 1.0)


def gaps_between_holders(fleet):
    """Return the seconds between orders of one holder and the next; refused ones count too."""
    return [
        order.at - before.at
        for before, order in itertools.pairwise(fleet.arrived_orders())
        if before.holder != order.holder
    ]


def assert_successive_holders_are_a_lease_duration_apart(fleet):
    assert min(gaps_between_holders(fleet)) >= rollout_controller.LEASE_SECONDS
