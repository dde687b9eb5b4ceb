"""VMs that are cut off from all upstreams, in fleets of 9, 60 and 195.

``REACH_SEEDS`` in the environment sets the number of seeds of the random plays.
"""

import collections
import os
import random

import anyio
import pytest

from hollyring.core import request_types
from hollyring.node import clock
from hollyring.node.tests import simulated_fleet
from hollyring.routing import crashes, reachability

SEEDS = int(os.environ.get("REACH_SEEDS", "1"))
SERVICE = simulated_fleet.SERVICE
UPSTREAMS = [f"u-{n}" for n in range(24)]
DOMAINS = 3
FORMS = ["hang", "refused", "open"]
SETTLE_SECONDS = 1.0
"""Time after a cut from which callers of cut VMs must be served as well as the others."""

CACHES_KNOWN_SECONDS = 5.0
"""Time after a cut within which every VM knows the contents of all caches."""

BLAME_KNOWN_SECONDS = 2.0
"""Time after three crashes within which the parts of their requests are blamed."""

PROMPT = request_types.Prompt(
    "m", (request_types.Part("bad", 10), request_types.Part("own", 10)), 20, 5
)
PART_HASHES = crashes.part_hashes(PROMPT)

REQUEST_SECONDS = 0.05
REQUESTS_PER_SECOND = 20.0
MARGIN = 0.05
"""Most by which the share of served requests at cut VMs is below that of the others."""


def names(count):
    return [f"vm-{n:03}" for n in range(count)]


class Traffic:
    """Requests of callers at some VMs, which forward them as a relay does.

    `asked` counts the forwarded requests by the VM that executes them; `outcomes` holds for each
    request its time, its VM and whether it was served.
    """

    def __init__(self, fleet, seed, vms):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.vms = vms
        self.outcomes = []
        self.asked = collections.Counter()

    async def run(self):
        while True:
            for name in self.vms:
                vm = self.fleet.vms[name]
                vm.state.requests.begin(clock.now())
                self.fleet.group.start_soon(self._serve, vm)
            await anyio.sleep(1.0 / REQUESTS_PER_SECOND)

    async def _serve(self, vm):
        began = clock.now()
        served = await self._execute(vm, (), may_forward=True)
        vm.state.requests.end()
        self.outcomes.append((began, vm.name, served))

    async def _execute(self, vm, asked, may_forward):
        if not vm.state.reachability.is_cut_off(SERVICE):
            upstreams = vm.state.registry.of_service(SERVICE)
            reached = [u for u in upstreams if vm.state.reachability.may_send(u)]
            upstream = self.rng.choice(reached or upstreams)
            return await vm.connections.use(upstream.entry.address)
        target = vm.state.forwarding.choose(SERVICE, asked, clock.now()) if may_forward else None
        if target is None:
            return False
        self.asked[target.name] += 1
        vm.state.forwarding.record_begin(target.name)
        await anyio.sleep(REQUEST_SECONDS)
        served = await self._execute(self.fleet.vms[target.name], asked, may_forward=False)
        vm.state.forwarding.record_end(target.name)
        return served

    def share(self, vms, since, until):
        """Return the share of the requests at some VMs that was served."""
        served = [ok for at, name, ok in self.outcomes if name in vms and since <= at < until]
        return sum(served) / len(served)


async def start(fleet, seed, count):
    """Start a fleet with requests at its serving VMs; return the requests."""
    await fleet.start_for_the_first_time(names(count), DOMAINS, 4.0)
    serving = [vm.name for vm in fleet.vms.values() if vm.state.peers.is_serving]
    traffic = Traffic(fleet, seed, serving)
    fleet.group.start_soon(traffic.run)
    await anyio.sleep(2.0)
    return traffic


def choose_cut(fleet, traffic, extent):
    """Return the VMs to cut off: one, a third, or a failure domain."""
    match extent:
        case "one":
            return [traffic.rng.choice(traffic.vms)]
        case "third":
            return traffic.rng.sample(traffic.vms, len(traffic.vms) // 3)
        case _:
            return [name for name in traffic.vms if fleet.domains[name] == "dar-0"]


def probes(fleet, vms):
    return sum(len(fleet.vms[name].connections.connects) for name in vms)


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("extent", ["one", "third", "domain"])
@pytest.mark.parametrize("count", [9, 60])
def test_callers_of_cut_vms_are_served_like_the_others(simulate, count, extent, form, seed):
    async def scenario(fleet):
        traffic = await start(fleet, seed, count)
        cut = choose_cut(fleet, traffic, extent)
        others = set(traffic.vms) - set(cut)
        since = clock.now()
        fleet.cut_off(cut, form)
        await anyio.sleep(SETTLE_SECONDS)
        traffic.asked.clear()
        await anyio.sleep(5.0)
        healed_at = clock.now()
        asked = traffic.asked.copy()
        for name in cut:
            assert not fleet.vms[name].state.reachability.takes_connections(SERVICE)
        fleet.heal(cut)
        await anyio.sleep(0.5)
        for name in cut:
            assert fleet.vms[name].state.reachability.takes_connections(SERVICE)
        share = traffic.share(set(cut), since + SETTLE_SECONDS, healed_at)
        assert share >= traffic.share(others, since + SETTLE_SECONDS, healed_at) - MARGIN
        if form != "open":
            assert set(asked) <= others
            assert max(asked.values()) <= 2.0 * asked.total() / len(others)
        assert fleet.false_crashes() == {}

    simulate(scenario, vms=names(count), upstreams=UPSTREAMS)


@pytest.mark.parametrize("form", ["hang", "refused"])
def test_cut_vms_of_a_large_fleet_forward_to_serving_ones(simulate, form):
    """One of them follows: it gets callers with an old address and hears no heartbeats."""

    async def scenario(fleet):
        traffic = await start(fleet, 1, 195)
        follower = next(n for n in fleet.vms if not fleet.vms[n].state.peers.is_serving)
        cut = [*choose_cut(fleet, traffic, "domain"), follower]
        fleet.cut_off(cut, form)
        since = clock.now()
        traffic.vms = [*traffic.vms, follower]
        await anyio.sleep(SETTLE_SECONDS)
        traffic.asked.clear()
        await anyio.sleep(3.0)
        share = traffic.share(set(cut), since + SETTLE_SECONDS, clock.now())
        others = set(traffic.vms) - set(cut)
        assert share >= traffic.share(others, since + SETTLE_SECONDS, clock.now()) - MARGIN
        assert traffic.share({follower}, since + SETTLE_SECONDS, clock.now()) >= 1.0 - MARGIN
        serving = {vm.name for vm in fleet.vms.values() if vm.state.peers.is_serving}
        assert set(traffic.asked) <= serving - set(cut)

    simulate(scenario, vms=names(195), upstreams=UPSTREAMS)


@pytest.mark.parametrize("form", ["hang", "refused"])
def test_nothing_is_forwarded_while_all_vms_are_cut_off(simulate, form):
    async def scenario(fleet):
        traffic = await start(fleet, 1, 9)
        fleet.cut_off(traffic.vms, form)
        await anyio.sleep(2.0)
        traffic.asked.clear()
        since = clock.now()
        await anyio.sleep(2.0)
        assert traffic.asked == {}
        fleet.heal(traffic.vms)
        await anyio.sleep(0.5)
        healed_at = clock.now()
        await anyio.sleep(1.0)
        assert traffic.share(set(traffic.vms), healed_at, clock.now()) == 1.0
        assert traffic.share(set(traffic.vms), since, healed_at - 0.5) == 0.0

    simulate(scenario, vms=names(9), upstreams=UPSTREAMS)


@pytest.mark.parametrize("period", [0.2, 0.7, 1.5])
def test_flapping_cut_of_many_vms_causes_no_storm_of_connections(simulate, period):
    async def scenario(fleet):
        traffic = await start(fleet, 1, 60)
        cut = choose_cut(fleet, traffic, "domain")
        before = probes(fleet, cut)
        seconds = 6.0
        for _ in range(int(seconds / period / 2)):
            fleet.cut_off(cut, "hang")
            await anyio.sleep(period)
            fleet.heal(cut)
            await anyio.sleep(period)
        opened = probes(fleet, cut) - before
        most = reachability.PROBE_BURST + seconds * reachability.PROBES_PER_SECOND
        # Beside the probes of the cut, each silent request probes its own upstream.
        assert opened <= len(cut) * (most + seconds * REQUESTS_PER_SECOND)
        await anyio.sleep(2.0)
        healed_at = clock.now()
        await anyio.sleep(1.0)
        assert traffic.share(set(cut), healed_at, clock.now()) == 1.0

    simulate(scenario, vms=names(60), upstreams=UPSTREAMS)


def test_rolling_restart_of_the_upstreams_is_no_cut(simulate):
    async def scenario(fleet):
        traffic = await start(fleet, 1, 9)
        for upstream in fleet.upstreams.values():
            upstream.crashed = True
            for vm in fleet.vms.values():
                vm.connections.open.discard(upstream.entry.address)
            await anyio.sleep(0.5)
            upstream.crashed = False
            for vm in fleet.vms.values():
                assert vm.state.reachability.takes_connections(SERVICE)
        assert traffic.asked == {}

    simulate(scenario, vms=names(9), upstreams=UPSTREAMS)


@pytest.mark.parametrize("form", FORMS)
def test_cut_vm_reports_no_sound_server_as_crashed_and_no_suspicion(simulate, form):
    async def scenario(fleet):
        traffic = await start(fleet, 1, 9)
        cut = fleet.vms[traffic.vms[0]]
        other = fleet.vms[traffic.vms[1]]
        fleet.cut_off([cut.name], form)
        for upstream in cut.state.registry.upstreams.values():
            cut.state.crashes.record_broken(upstream, ["part"], 0)
            await cut.connections.can_connect(upstream.entry.address)
            cut.state.mark_unresponsive(upstream, "no connection")
            await anyio.sleep(0.05)
            suspects = [u for u in other.state.registry.upstreams.values() if u.suspect_count]
            assert suspects == []
        fleet.heal([cut.name])
        await anyio.sleep(2.0)
        assert fleet.false_crashes() == {}
        assert cut.state.crashes.pending() == []

    simulate(scenario, vms=names(9), upstreams=UPSTREAMS)


def test_server_that_crashed_is_still_reported_at_once(simulate):
    async def scenario(fleet):
        traffic = await start(fleet, 1, 9)
        vm = fleet.vms[traffic.vms[0]]
        for number in (0, 1, 2):
            upstream = vm.state.registry.get(f"u-{number}")
            fleet.upstreams[upstream.name].crashed = True
            vm.state.crashes.record_broken(upstream, ["part"], 0)
            await anyio.sleep(0.2)
        await anyio.sleep(0.6)
        assert vm.state.crashes.counts["server_crashes_total"] == 3

    simulate(scenario, vms=names(9), upstreams=UPSTREAMS)


@pytest.mark.parametrize("form", FORMS)
def test_callers_of_a_cut_domain_are_served_while_a_server_crashes_and_a_vm_and_servers_change(
    simulate, form
):
    async def scenario(fleet):
        traffic = await start(fleet, 1, 9)
        cut = choose_cut(fleet, traffic, "domain")
        others = set(traffic.vms) - set(cut)
        fleet.cut_off(cut, form)
        await anyio.sleep(SETTLE_SECONDS)
        began = clock.now()
        fleet.upstreams["u-0"].crashed = True
        await anyio.sleep(1.0)
        fleet.add_upstream(simulated_fleet.Upstream("u-new"))
        fleet.store.remove("servers/u-1")
        await anyio.sleep(1.0)
        fleet.store.put("op/config", simulated_fleet.make_deployment(2))
        await anyio.sleep(1.0)
        restarted = sorted(others)[0]
        fleet.kill(restarted)
        fleet.start(restarted)
        await fleet.wait_until(lambda: fleet.vms[restarted].state.ready, 1.0)
        await anyio.sleep(2.0)
        until = clock.now()
        await anyio.sleep(1.0)
        shares = [traffic.share(vms, began, until) for vms in (set(cut), others - {restarted})]
        print("served at the cut VMs and the others:", shares)
        assert shares[0] >= shares[1] - MARGIN
        assert {vm.state.configuration_version for vm in fleet.vms.values()} == {2}

    simulate(scenario, vms=names(9), upstreams=UPSTREAMS)


async def crash_three_servers(fleet, vm):
    """Let three servers crash with requests of one VM that have a part in common."""
    for number in range(3):
        upstream = vm.state.registry.get(f"u-{number}")
        fleet.upstreams[upstream.name].crashed = True
        vm.state.requests.begin(clock.now())
        vm.state.crashes.record_broken(upstream, PART_HASHES, 0)
        await anyio.sleep(0.2)
        vm.state.requests.end()
    await anyio.sleep(BLAME_KNOWN_SECONDS)


def test_part_that_crashed_servers_at_a_vm_that_follows_is_blamed_there(simulate):
    async def scenario(fleet):
        await fleet.start_for_the_first_time(names(60), DOMAINS, 4.0)
        follower = next(vm for vm in fleet.vms.values() if not vm.state.peers.is_serving)
        await crash_three_servers(fleet, follower)
        assert follower.state.crashes.blame_of(PART_HASHES) is not None

    simulate(scenario, vms=names(60), upstreams=UPSTREAMS)


def test_serving_vms_learn_of_a_part_that_crashed_servers_at_a_vm_that_follows(simulate):
    async def scenario(fleet):
        await fleet.start_for_the_first_time(names(60), DOMAINS, 4.0)
        follower = next(vm for vm in fleet.vms.values() if not vm.state.peers.is_serving)
        await crash_three_servers(fleet, follower)
        for vm in fleet.vms.values():
            if vm.state.peers.is_serving:
                assert vm.state.crashes.blame_of(PART_HASHES) is not None

    simulate(scenario, vms=names(60), upstreams=UPSTREAMS)


@pytest.mark.parametrize("form", ["hang", "refused"])
def test_cache_that_a_cut_vm_polls_is_known_again_after_the_cut(simulate, form):
    async def scenario(fleet):
        traffic = await start(fleet, 1, 9)
        cut = choose_cut(fleet, traffic, "third")
        fleet.cut_off(cut, form)
        await anyio.sleep(4.0)
        for upstream in fleet.upstreams.values():
            upstream.set_cached("m.1", "part-x", 100)
        await anyio.sleep(2.0)
        fleet.heal(cut)
        await anyio.sleep(CACHES_KNOWN_SECONDS)
        for vm in fleet.vms.values():
            caches = vm.state.prefix_caches
            parts = [request_types.Part("part-x", 100)]
            known = [caches.cached_tokens(name, "m.1", parts) for name in fleet.upstreams]
            assert known == [100] * len(fleet.upstreams)

    simulate(scenario, vms=names(9), upstreams=UPSTREAMS)


@pytest.mark.parametrize("form", ["hang", "refused"])
def test_cut_vms_make_no_other_vm_avoid_the_caches_that_they_poll(simulate, form):
    async def scenario(fleet):
        traffic = await start(fleet, 1, 9)
        cut = choose_cut(fleet, traffic, "third")
        fleet.cut_off(cut, form)
        await anyio.sleep(4.0)
        for name in set(traffic.vms) - set(cut):
            suspended = fleet.vms[name].state.selector._suspended_until.values()
            assert all(until <= clock.now() for until in suspended)

    simulate(scenario, vms=names(9), upstreams=UPSTREAMS)


def test_suspicions_of_a_vm_that_is_cut_off_are_ignored(simulate):
    async def scenario(fleet):
        await start(fleet, 1, 9)
        sender, receiver = (fleet.vms[name] for name in names(2))
        message = sender.heartbeats._heartbeat(clock.now())
        message.unresponsive_upstreams.append("u-1")
        message.unreachable_services.append(SERVICE)
        receiver.state.registry.get("u-1").last_activity_at = 0.0
        receiver.state.receive(message, clock.now())
        assert not receiver.state.registry.get("u-1").is_suspect(clock.now())
        message.unreachable_services.clear()
        receiver.state.receive(message, clock.now())
        assert receiver.state.registry.get("u-1").is_suspect(clock.now())

    simulate(scenario, vms=names(9), upstreams=UPSTREAMS)


@pytest.mark.parametrize("form", ["hang", "refused"])
def test_order_lease_leaves_a_vm_that_is_cut_off_from_the_servers(simulate, form):
    async def scenario(fleet):
        await start(fleet, 1, 9)
        await fleet.wait_until(lambda: fleet.order_lease_holder() != "", 5.0)
        holder = fleet.order_lease_holder()
        fleet.set_wanted_version(2)
        await fleet.wait_until(lambda: len(fleet.orders()) > 0, 5.0)
        fleet.cut_off([holder], form)
        await fleet.wait_until(lambda: fleet.order_lease_holder() not in ("", holder), 8.0)
        await fleet.wait_until(lambda: fleet.all_serve(2), 30.0)
        orders = fleet.orders()
        fencing = [order.fencing for order in orders]
        assert fencing == sorted(fencing)
        first = next(order for order in orders if order.holder != holder)
        last = max(order.at for order in orders if order.holder == holder)
        assert first.at - last >= 1.5

    simulate(scenario, vms=names(9), upstreams=[f"u-{n}" for n in range(5)])


def test_order_lease_stays_where_it_is_while_all_vms_are_cut_off(simulate):
    async def scenario(fleet):
        await start(fleet, 1, 9)
        await fleet.wait_until(lambda: fleet.order_lease_holder() != "", 5.0)
        holder = fleet.order_lease_holder()
        fleet.cut_off(list(fleet.vms), "refused")
        for _ in range(50):
            await anyio.sleep(0.1)
            assert fleet.order_lease_holder() in (holder, "")
        fleet.heal(list(fleet.vms))
        await anyio.sleep(6.0)
        assert fleet.order_lease_holder() != ""

    simulate(scenario, vms=names(9), upstreams=UPSTREAMS)
