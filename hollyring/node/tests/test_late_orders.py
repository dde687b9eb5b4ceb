"""No order is written under a lease that ended or was given up since the order was due."""

import anyio
import pytest

from hollyring.node import connection_pool, rollout_controller
from hollyring.node.tests import order_steps


async def wait_until_an_order_waits_for_its_connection(fleet):
    """Set a version, and wait until the holder has decided to send the first order."""
    fleet.set_wanted_version(2)
    holder = fleet.vms[fleet.order_lease_holder()]
    await fleet.wait_until(
        lambda: any(u.is_loading(anyio.current_time()) for u in known(holder)), 2
    )
    await anyio.sleep(rollout_controller.ANNOUNCE_DELAY_SECONDS + 0.05)
    assert not fleet.orders()


def known(vm):
    return vm.state.registry.upstreams.values()


@pytest.mark.parametrize("seconds", [3.0, 3.5, 4.0, 4.5, 5.0, 5.5, 6.5])
def test_holder_that_stood_still_before_it_wrote_an_order_does_not_write_it_later(
    simulate, seconds
):
    async def scenario(fleet):
        await order_steps.start_all(fleet)
        late = fleet.order_lease_holder()
        fleet.connect_seconds = {late: seconds}
        await wait_until_an_order_waits_for_its_connection(fleet)
        fleet.store.unreachable_from = {late}
        await anyio.sleep(seconds)
        fleet.store.unreachable_from = set()
        fleet.connect_seconds = {}
        await fleet.wait_until(lambda: fleet.all_serve(2), order_steps.TAKEOVER_SECONDS + 9.0)
        gaps = order_steps.gaps_between_holders(fleet)
        assert all(gap >= rollout_controller.LEASE_SECONDS for gap in gaps)

    simulate(scenario)


@pytest.mark.parametrize("tries", [0.5, 0.9, 1.5, 1.9])
def test_order_that_waits_for_its_connection_is_not_written_after_its_lease_was_released(
    simulate, tries
):
    """The next holder counts on a last order that is a certain time old when the lease ends."""

    async def scenario(fleet):
        await order_steps.start_all(fleet)
        stopped = fleet.order_lease_holder()
        fleet.connect_seconds = {stopped: tries * connection_pool.CONNECT_TIMEOUT_SECONDS}
        await wait_until_an_order_waits_for_its_connection(fleet)
        await fleet.stop(stopped)
        await fleet.wait_until(lambda: fleet.all_serve(2), order_steps.TAKEOVER_SECONDS + 9.0)
        gaps = order_steps.gaps_between_holders(fleet)
        assert all(gap >= rollout_controller.LEASE_SECONDS for gap in gaps)

    simulate(scenario)
