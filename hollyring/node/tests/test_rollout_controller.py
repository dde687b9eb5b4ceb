"""One VM at a time gives upstreams their weights, whatever becomes of the holder."""

import anyio
import pytest

from hollyring.node import rollout_controller

TAKE_OVER_SECONDS = rollout_controller.LEASE_SECONDS * 2 + 2.0
"""The lease of a lost holder lapses, then its last order's time has to pass."""


async def begin(fleet):
    """Start all VMs and wait until one may give orders."""
    for name in fleet.names:
        fleet.start(name)
    await fleet.until(lambda: fleet.giver() != "", 3.0)
    await anyio.sleep(rollout_controller.LEASE_SECONDS + 1.0)


def fencings(fleet):
    return [order.fencing for order in fleet.orders()]


def most_at_once(orders, seconds):
    return max(sum(0 <= o.at - first.at < seconds for o in orders) for first in orders)


def test_all_upstreams_get_the_weights_some_at_a_time(simulate):
    async def play(fleet):
        await begin(fleet)
        giver = fleet.giver()
        fleet.want(2)
        took = await fleet.until(lambda: fleet.all_on(2), 8.0)
        orders = fleet.orders()
        assert len(orders) == len(fleet.upstreams)
        assert {order.holder for order in orders} == {giver}
        most = int(rollout_controller.LOAD_SHARE * len(fleet.upstreams))
        assert most_at_once(orders, 1.4) <= most
        assert took < 7.0

    simulate(play)


def test_other_vms_know_the_weights_and_the_loads(simulate):
    async def play(fleet):
        await begin(fleet)
        fleet.want(2)
        await fleet.until(lambda: any(u.busy for u in fleet.upstreams.values()), 2.0)
        loading = [u.entry.name for u in fleet.upstreams.values() if u.busy]
        for vm in fleet.vms.values():
            found = [n for n, u in vm.state.registry.upstreams.items() if u.is_loading(u_now())]
            assert set(loading) <= set(found)
        await fleet.until(lambda: fleet.all_on(2), 8.0)
        await anyio.sleep(0.6)
        for vm in fleet.vms.values():
            known = vm.state.registry.upstreams.values()
            assert {upstream.version("m") for upstream in known} == {2}

    def u_now():
        return anyio.current_time()

    simulate(play)


@pytest.mark.parametrize(("begins_after", "waits"), [(0.4, 0.4), (9.0, 0.6)])
def test_order_waits_a_little_for_what_its_upstream_has_not_begun(simulate, begins_after, waits):
    """A server that takes an order refuses what still waits there."""

    async def play(fleet):
        await begin(fleet)
        other = next(vm for vm in fleet.vms.values() if vm.name != fleet.giver())
        busy = other.state.registry.get("u-1")
        busy.record_sent("r-1", 9000, 0.1, anyio.current_time())
        await anyio.sleep(0.3)
        fleet.want(2)
        fleet.group.start_soon(end, busy, begins_after)
        wanted_at = anyio.current_time()
        await fleet.until(lambda: len(fleet.upstreams["u-1"].orders) > 0, 8.0)
        taken = fleet.upstreams["u-1"].orders[0].at - wanted_at
        others = [o.at - wanted_at for u in fleet.upstreams.values() for o in u.orders]
        announced = rollout_controller.ANNOUNCE_SECONDS
        assert min(others) < announced + 0.3
        assert waits <= taken < waits + announced + 0.5

    async def end(upstream, seconds):
        await anyio.sleep(seconds)
        upstream.record_first_event("r-1", anyio.current_time())

    simulate(play)


def test_version_that_is_overtaken_is_skipped(simulate):
    async def play(fleet):
        await begin(fleet)
        fleet.want(2)
        await anyio.sleep(1.0)
        fleet.want(3)
        await fleet.until(lambda: fleet.all_on(3), 9.0)
        later = [u for u in fleet.upstreams.values() if len(u.orders) == 1]
        assert len(later) >= 3

    simulate(play)


def test_another_vm_takes_over_from_one_that_was_killed(simulate):
    async def play(fleet):
        await begin(fleet)
        fleet.want(2)
        await fleet.until(lambda: len(fleet.orders()) > 0, 2.0)
        lost = fleet.giver()
        fleet.kill(lost)
        await fleet.until(lambda: fleet.giver() != "", TAKE_OVER_SECONDS)
        await fleet.until(lambda: fleet.all_on(2), TAKE_OVER_SECONDS + 7.0)
        found = fencings(fleet)
        assert found == sorted(found)
        first = [order for order in fleet.orders() if order.holder == lost]
        second = [order for order in fleet.orders() if order.holder != lost]
        assert second[0].at - first[-1].at >= rollout_controller.LEASE_SECONDS

    simulate(play)


@pytest.mark.parametrize("after_renewal", [0.0, 0.5, 0.9])
def test_rollout_goes_on_soon_after_its_holder_was_lost(simulate, after_renewal):
    """The lease lapses, and the last order that it allowed becomes as old as a lease lasts."""

    async def play(fleet):
        await begin(fleet)
        await anyio.sleep(after_renewal)
        fleet.want(2)
        await fleet.until(lambda: len(fleet.orders()) > 0, 2.0)
        before = len(fleet.orders())
        fleet.kill(fleet.giver())
        lapse = rollout_controller.LEASE_SECONDS
        wait = lapse - rollout_controller.LEFT_SECONDS + rollout_controller.CALL_SECONDS
        await fleet.until(lambda: len(fleet.orders()) > before, lapse + wait + 0.5)

    simulate(play)


def test_holder_that_stops_gives_the_lease_back(simulate):
    async def play(fleet):
        await begin(fleet)
        await fleet.stop(fleet.giver())
        assert "vm/.orders" not in fleet.store.items
        took = await fleet.until(lambda: fleet.giver() != "", 1.5)
        assert took < rollout_controller.LEASE_SECONDS
        fleet.want(2)
        await fleet.until(lambda: fleet.all_on(2), 12.0)

    simulate(play)


@pytest.mark.parametrize("after_renewal", [0.0, 0.3, 0.6, 0.9])
@pytest.mark.parametrize("how", ["killed", "stopped"])
def test_holders_do_not_take_turns_within_the_lease(simulate, how, after_renewal):
    """The last order may have been given long after the last renewal."""

    async def play(fleet):
        await begin(fleet)
        await anyio.sleep(after_renewal)
        fleet.want(2)
        await fleet.until(lambda: len(fleet.orders()) > 0, 2.0)
        giver = fleet.giver()
        if how == "killed":
            fleet.kill(giver)
        else:
            await fleet.stop(giver)
        await fleet.until(lambda: fleet.all_on(2), TAKE_OVER_SECONDS + 9.0)
        first = [order for order in fleet.orders() if order.holder == giver]
        second = [order for order in fleet.orders() if order.holder != giver]
        assert second[0].at - first[-1].at >= rollout_controller.LEASE_SECONDS

    simulate(play)


def test_no_order_after_the_lease_could_not_be_renewed(simulate):
    """The holder is cut off from the store; its last order must be old when another begins."""

    async def play(fleet):
        await begin(fleet)
        refused = fleet.giver()
        fleet.store.away_for = {refused}
        await anyio.sleep(0.5)
        fleet.want(2)
        await fleet.until(lambda: fleet.giver() not in ("", refused), TAKE_OVER_SECONDS)
        await fleet.until(lambda: fleet.all_on(2), TAKE_OVER_SECONDS + 7.0)
        found = fencings(fleet)
        assert found == sorted(found)

    simulate(play)


def test_silent_upstream_does_not_hold_up_the_others(simulate):
    async def play(fleet):
        await begin(fleet)
        fleet.upstreams["u-1"].silent = True
        fleet.want(2)

        def others_done():
            others = [u for u in fleet.upstreams.values() if not u.silent]
            return all(u.version == 2 and not u.busy for u in others)

        await fleet.until(others_done, 9.0)
        fleet.upstreams["u-1"].silent = False
        await fleet.until(lambda: fleet.all_on(2), 12.0)

    simulate(play)


def test_upstream_that_falls_silent_takes_no_place_among_the_loads(simulate):
    """One order goes to it in vain; after that the others are loaded as if it were not there."""

    async def play(fleet):
        await begin(fleet)
        fleet.want(2)
        await fleet.until(lambda: len(fleet.orders()) > 0, 2.0)
        left = [u for u in fleet.upstreams.values() if not u.orders]
        left[0].silent = True

        def others_done():
            others = [u for u in fleet.upstreams.values() if not u.silent]
            return all(u.version == 2 and not u.busy for u in others)

        await fleet.until(others_done, 7.0)

    simulate(play)


def test_upstream_that_took_an_unknown_order_is_given_the_next_with_its_new_number(simulate):
    async def play(fleet):
        await begin(fleet)
        fleet.upstreams["u-1"].accepted = 4
        fleet.want(2)
        await fleet.until(lambda: fleet.all_on(2), 9.0)
        assert fleet.upstreams["u-1"].accepted == 5

    simulate(play)


def test_all_vms_restarted_in_the_middle_of_a_rollout_finish_it(simulate):
    async def play(fleet):
        await begin(fleet)
        fleet.want(2)
        await fleet.until(lambda: len(fleet.orders()) > 0, 2.0)
        for name in fleet.names:
            fleet.kill(name)
        await anyio.sleep(1.0)
        for name in fleet.names:
            fleet.start(name)
        await fleet.until(lambda: fleet.all_on(2), TAKE_OVER_SECONDS + 9.0)
        found = fencings(fleet)
        assert found == sorted(found)
        assert len(found) == len(fleet.upstreams)

    simulate(play)


def test_vms_cut_off_from_each_other_have_one_giver_of_orders(simulate):
    async def play(fleet):
        await begin(fleet)
        giver = fleet.giver()
        fleet.cuts = {frozenset({giver, name}) for name in fleet.names if name != giver}
        fleet.want(2)
        for _ in range(60):
            await anyio.sleep(0.1)
            fleet.giver()
        assert fleet.all_on(2)
        assert {order.holder for order in fleet.orders()} == {giver}

    simulate(play)
