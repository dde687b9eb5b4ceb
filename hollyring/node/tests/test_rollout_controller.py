"""Only the holder of the order lease sends orders, also when the holder fails or stops."""

import anyio
import pytest

from hollyring.node import clock, rollout_controller
from hollyring.node.tests import order_steps, simulated_fleet


def fencing_numbers(fleet):
    return [order.fencing for order in fleet.orders()]


def max_orders_within(orders, seconds):
    return max(sum(0 <= o.at - first.at < seconds for o in orders) for first in orders)


def test_rollout_reaches_all_upstreams_within_the_concurrency_limit(simulate):
    async def scenario(fleet):
        await order_steps.start_all(fleet)
        holder = fleet.order_lease_holder()
        fleet.set_wanted_version(2)
        elapsed = await fleet.wait_until(lambda: fleet.all_serve(2), 8.0)
        orders = fleet.orders()
        assert len(orders) == len(fleet.upstreams)
        assert {order.holder for order in orders} == {holder}
        max_concurrency = int(rollout_controller.MAX_LOADING_SHARE * len(fleet.upstreams))
        assert max_orders_within(orders, 1.4) <= max_concurrency
        assert elapsed < 7.0

    simulate(scenario)


def test_other_vms_receive_weight_versions_and_loads(simulate):
    async def scenario(fleet):
        await order_steps.start_all(fleet)
        fleet.set_wanted_version(2)
        await fleet.wait_until(lambda: any(u.busy for u in fleet.upstreams.values()), 2.0)
        loading = [u.entry.name for u in fleet.upstreams.values() if u.busy]
        for vm in fleet.vms.values():
            recorded = [n for n, u in vm.state.registry.upstreams.items() if u.is_loading(now())]
            assert set(loading) <= set(recorded)
        await fleet.wait_until(lambda: fleet.all_serve(2), 8.0)
        await anyio.sleep(0.6)
        for vm in fleet.vms.values():
            upstreams = vm.state.registry.upstreams.values()
            assert {upstream.version("m") for upstream in upstreams} == {2}

    def now():
        return anyio.current_time()

    simulate(scenario)


@pytest.mark.parametrize(("first_event_after", "min_wait"), [(0.4, 0.4), (9.0, 0.6)])
def test_order_waits_a_limited_time_for_queued_requests(simulate, first_event_after, min_wait):
    """An upstream that accepts an order refuses its queued requests."""

    async def scenario(fleet):
        await order_steps.start_all(fleet)
        other = next(vm for vm in fleet.vms.values() if vm.name != fleet.order_lease_holder())
        busy = other.state.registry.get("u-1")
        busy.record_sent("r-1", 9000, 0.1, anyio.current_time())
        await anyio.sleep(0.3)
        fleet.set_wanted_version(2)
        fleet.group.start_soon(finish_prefill, busy, first_event_after)
        set_at = anyio.current_time()
        await fleet.wait_until(lambda: len(fleet.upstreams["u-1"].orders) > 0, 8.0)
        waited = fleet.upstreams["u-1"].orders[0].at - set_at
        others = [o.at - set_at for u in fleet.upstreams.values() for o in u.orders]
        announce_delay = rollout_controller.ANNOUNCE_DELAY_SECONDS
        assert min(others) < announce_delay + 0.3
        assert min_wait <= waited < min_wait + announce_delay + 0.5

    async def finish_prefill(upstream, seconds):
        await anyio.sleep(seconds)
        upstream.record_first_event("r-1", anyio.current_time())

    simulate(scenario)


def test_superseded_version_is_not_loaded(simulate):
    async def scenario(fleet):
        await order_steps.start_all(fleet)
        fleet.set_wanted_version(2)
        await anyio.sleep(1.0)
        fleet.set_wanted_version(3)
        await fleet.wait_until(lambda: fleet.all_serve(3), 9.0)
        later = [u for u in fleet.upstreams.values() if len(u.orders) == 1]
        assert len(later) >= 3

    simulate(scenario)


def test_another_vm_takes_over_after_the_lease_holder_is_killed(simulate):
    async def scenario(fleet):
        await order_steps.start_all(fleet)
        fleet.set_wanted_version(2)
        await fleet.wait_until(lambda: len(fleet.orders()) > 0, 2.0)
        killed = fleet.order_lease_holder()
        fleet.kill(killed)
        await fleet.wait_until(
            lambda: fleet.order_lease_holder() != "", order_steps.TAKEOVER_SECONDS
        )
        await fleet.wait_until(lambda: fleet.all_serve(2), order_steps.TAKEOVER_SECONDS + 7.0)
        numbers = fencing_numbers(fleet)
        assert numbers == sorted(numbers)
        first_orders = [order for order in fleet.orders() if order.holder == killed]
        later_orders = [order for order in fleet.orders() if order.holder != killed]
        assert later_orders[0].at - first_orders[-1].at >= rollout_controller.LEASE_SECONDS

    simulate(scenario)


@pytest.mark.parametrize("after_renewal", [0.0, 0.5, 0.9])
def test_rollout_resumes_promptly_after_the_lease_holder_is_killed(simulate, after_renewal):
    """The next holder waits until the lease expires and the last order is a lease duration old."""

    async def scenario(fleet):
        await order_steps.start_all(fleet)
        await anyio.sleep(after_renewal)
        fleet.set_wanted_version(2)
        await fleet.wait_until(lambda: len(fleet.orders()) > 0, 2.0)
        before = len(fleet.orders())
        fleet.kill(fleet.order_lease_holder())
        lease_seconds = rollout_controller.LEASE_SECONDS
        wait = (
            lease_seconds
            - rollout_controller.MIN_LEASE_REMAINING_SECONDS
            + rollout_controller.CALL_TIMEOUT_SECONDS
        )
        await fleet.wait_until(lambda: len(fleet.orders()) > before, lease_seconds + wait + 0.5)

    simulate(scenario)


def test_stopping_lease_holder_releases_the_lease(simulate):
    async def scenario(fleet):
        await order_steps.start_all(fleet)
        await fleet.stop(fleet.order_lease_holder())
        assert "vm/.orders" not in fleet.store.items
        elapsed = await fleet.wait_until(lambda: fleet.order_lease_holder() != "", 1.5)
        assert elapsed < rollout_controller.LEASE_SECONDS
        fleet.set_wanted_version(2)
        await fleet.wait_until(lambda: fleet.all_serve(2), 12.0)

    simulate(scenario)


@pytest.mark.parametrize("after_renewal", [0.0, 0.3, 0.6, 0.9])
@pytest.mark.parametrize("ending", ["killed", "stopped"])
def test_orders_of_successive_holders_are_a_lease_duration_apart(simulate, ending, after_renewal):
    """The last order may be sent long after the last renewal, and so shortly before the expiry."""

    async def scenario(fleet):
        await order_steps.start_all(fleet)
        await anyio.sleep(after_renewal)
        fleet.set_wanted_version(2)
        await fleet.wait_until(lambda: len(fleet.orders()) > 0, 2.0)
        holder = fleet.order_lease_holder()
        if ending == "killed":
            fleet.kill(holder)
        else:
            await fleet.stop(holder)
        await fleet.wait_until(lambda: fleet.all_serve(2), order_steps.TAKEOVER_SECONDS + 9.0)
        first_orders = [order for order in fleet.orders() if order.holder == holder]
        later_orders = [order for order in fleet.orders() if order.holder != holder]
        assert later_orders[0].at - first_orders[-1].at >= rollout_controller.LEASE_SECONDS

    simulate(scenario)


@pytest.mark.parametrize("after_renewal", [0.0, 0.3, 0.6, 0.9, 1.0, 1.05])
@pytest.mark.parametrize("restart_seconds", [0.1, 0.5, 2.0])
def test_restart_of_a_killed_holder_does_not_bring_the_next_holders_order_forward(
    simulate, restart_seconds, after_renewal
):
    async def scenario(fleet):
        holder = fleet.names[-1]
        fleet.start(holder)
        await fleet.wait_until(lambda: fleet.order_lease_holder() == holder, 3.0)
        await order_steps.start_all(fleet, fleet.names[:-1])
        await anyio.sleep(after_renewal)
        fleet.set_wanted_version(2)
        await fleet.wait_until(lambda: len(fleet.orders()) > 0, 2.0)
        fleet.kill(holder)
        await anyio.sleep(restart_seconds)
        fleet.start(holder)
        await fleet.wait_until(lambda: fleet.all_serve(2), order_steps.TAKEOVER_SECONDS + 9.0)
        order_steps.assert_successive_holders_are_a_lease_duration_apart(fleet)

    simulate(scenario)


@pytest.mark.parametrize("after_renewal", [0.0, 0.3, 0.6, 0.9])
def test_order_waits_for_a_holder_of_which_the_next_one_never_learnt(simulate, after_renewal):
    """The next holder saw the lease free and was cut off while another VM held it."""

    async def scenario(fleet):
        first, between, last = fleet.names[-1], *fleet.names[:-1]
        fleet.start(first)
        await fleet.wait_until(lambda: fleet.order_lease_holder() == first, 3.0)
        await order_steps.start_all(fleet, [between, last])
        await fleet.stop(first)
        await fleet.wait_until(lambda: "vm/.orders" not in fleet.store.items, 4.0)
        await anyio.sleep(0.1)
        fleet.store.unreachable_from = {last}
        fleet.partitions = {frozenset({between, last})}
        await fleet.wait_until(lambda: fleet.order_lease_holder() == between, 3.0)
        await anyio.sleep(rollout_controller.LEASE_SECONDS + after_renewal)
        fleet.set_wanted_version(2)
        await fleet.wait_until(lambda: len(fleet.orders()) > 0, 2.0)
        fleet.kill(between)
        await fleet.wait_until(lambda: "vm/.orders" not in fleet.store.items, 4.0)
        fleet.store.unreachable_from = set()
        await fleet.wait_until(lambda: fleet.all_serve(2), order_steps.TAKEOVER_SECONDS + 9.0)
        assert {order.holder for order in fleet.orders()} == {between, last}
        order_steps.assert_successive_holders_are_a_lease_duration_apart(fleet)

    simulate(scenario)


def test_holder_cut_off_from_the_store_sends_no_order_after_its_lease_expires(simulate):
    """Its last order must be too old to have effect when the next holder sends the first one."""

    async def scenario(fleet):
        await order_steps.start_all(fleet)
        cut_off = fleet.order_lease_holder()
        fleet.store.unreachable_from = {cut_off}
        await anyio.sleep(0.5)
        fleet.set_wanted_version(2)
        await fleet.wait_until(
            lambda: fleet.order_lease_holder() not in ("", cut_off), order_steps.TAKEOVER_SECONDS
        )
        await fleet.wait_until(lambda: fleet.all_serve(2), order_steps.TAKEOVER_SECONDS + 7.0)
        numbers = fencing_numbers(fleet)
        assert numbers == sorted(numbers)

    simulate(scenario)


def test_silent_upstream_does_not_block_the_rollout(simulate):
    async def scenario(fleet):
        await order_steps.start_all(fleet)
        fleet.upstreams["u-1"].silent = True
        fleet.set_wanted_version(2)

        def others_done():
            others = [u for u in fleet.upstreams.values() if not u.silent]
            return all(u.version == 2 and not u.busy for u in others)

        await fleet.wait_until(others_done, 9.0)
        fleet.upstreams["u-1"].silent = False
        await fleet.wait_until(lambda: fleet.all_serve(2), 12.0)

    simulate(scenario)


def test_upstream_that_becomes_silent_does_not_use_up_load_concurrency(simulate):
    """After one order to it fails, the concurrency limit counts only the other upstreams."""

    async def scenario(fleet):
        await order_steps.start_all(fleet)
        fleet.set_wanted_version(2)
        await fleet.wait_until(lambda: len(fleet.orders()) > 0, 2.0)
        left = [u for u in fleet.upstreams.values() if not u.orders]
        left[0].silent = True

        def others_done():
            others = [u for u in fleet.upstreams.values() if not u.silent]
            return all(u.version == 2 and not u.busy for u in others)

        await fleet.wait_until(others_done, 7.0)

    simulate(scenario)


def test_order_states_the_accepted_count_that_the_upstream_reports(simulate):
    async def scenario(fleet):
        await order_steps.start_all(fleet)
        fleet.upstreams["u-1"].accepted = 4
        fleet.set_wanted_version(2)
        await fleet.wait_until(lambda: fleet.all_serve(2), 9.0)
        assert fleet.upstreams["u-1"].accepted == 5

    simulate(scenario)


def test_rollout_finishes_after_all_vms_restart(simulate):
    async def scenario(fleet):
        await order_steps.start_all(fleet)
        fleet.set_wanted_version(2)
        await fleet.wait_until(lambda: len(fleet.orders()) > 0, 2.0)
        for name in fleet.names:
            fleet.kill(name)
        await anyio.sleep(1.0)
        for name in fleet.names:
            fleet.start(name)
        await fleet.wait_until(lambda: fleet.all_serve(2), order_steps.TAKEOVER_SECONDS + 9.0)
        numbers = fencing_numbers(fleet)
        assert numbers == sorted(numbers)
        assert len(numbers) == len(fleet.upstreams)

    simulate(scenario)


def test_partitioned_vms_have_one_order_lease_holder(simulate):
    async def scenario(fleet):
        await order_steps.start_all(fleet)
        holder = fleet.order_lease_holder()
        fleet.partitions = {frozenset({holder, name}) for name in fleet.names if name != holder}
        fleet.set_wanted_version(2)
        for _ in range(60):
            await anyio.sleep(0.1)
            fleet.order_lease_holder()
        assert fleet.all_serve(2)
        assert {order.holder for order in fleet.orders()} == {holder}

    simulate(scenario)


def test_upstreams_with_the_oldest_weights_come_first(simulate):
    """Those left behind by a superseded version reach the deadline of that version first."""

    async def scenario(fleet):
        await order_steps.start_all(fleet)
        fleet.set_wanted_version(2)
        await fleet.wait_until(lambda: len(fleet.orders()) >= 2, 4.0)
        behind = {name for name, u in fleet.upstreams.items() if u.version == 1}
        ahead = set(fleet.upstreams) - behind
        fleet.set_wanted_version(3)
        await fleet.wait_until(lambda: fleet.all_serve(3), 12.0)
        first = {name: min(o.at for o in fleet.upstreams[name].orders) for name in behind}
        again = {name: max(o.at for o in fleet.upstreams[name].orders) for name in ahead}
        assert max(first.values()) <= min(again.values()) + 0.1

    simulate(scenario)


def test_crash_with_an_order_in_progress_does_not_hold_up_the_others(simulate):
    async def scenario(fleet):
        await order_steps.start_all(fleet)
        fleet.set_wanted_version(2)
        await fleet.wait_until(lambda: any(u.busy for u in fleet.upstreams.values()), 4.0)
        crashed = next(u for u in fleet.upstreams.values() if u.busy)
        crashed.silent = True
        started_at = clock.now()
        others = [u for u in fleet.upstreams.values() if u is not crashed]
        await fleet.wait_until(lambda: all(u.version == 2 for u in others), 8.0)
        # Two rounds of loads, each with its announcement.
        round_seconds = simulated_fleet.WEIGHTS_LOAD_SECONDS + 0.15
        assert clock.now() - started_at < 2 * round_seconds

    simulate(scenario)


def test_upstream_in_backoff_gets_no_reports_or_orders(simulate):
    async def scenario(fleet):
        await order_steps.start_all(fleet)
        upstream = fleet.upstreams["u-1"]
        upstream.backoff_until = anyio.current_time() + 6.0
        fleet.set_wanted_version(2)
        others = [u for u in fleet.upstreams.values() if u is not upstream]
        await fleet.wait_until(lambda: all(u.version == 2 for u in others), 8.0)
        await anyio.sleep(max(0.0, upstream.backoff_until - anyio.current_time()))
        refused_at = min(at for at, _ in upstream.calls if at >= upstream.backoff_until - 6.0)
        for name in fleet.names:
            # A poll of the cache and a report may be refused, each before the other's refusal.
            assert upstream.calls_by(name, refused_at, upstream.backoff_until) <= 2
        assert upstream.orders == []
        await fleet.wait_until(lambda: fleet.all_serve(2), 5.0)

    simulate(scenario)
