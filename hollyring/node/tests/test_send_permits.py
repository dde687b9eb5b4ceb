"""All VMs together keep to the request limit that an upstream names, and use it."""

import random

import anyio
import pytest

from hollyring.membership import peer_table
from hollyring.node import clock
from hollyring.node.tests import simulated_fleet

LIMIT = 2.4
WINDOW_SECONDS = 4.0
TOLD_SECONDS = 0.5
"""Time after its first answer with the limit from which a VM is bound by it."""

CONTACT_SECONDS = 3.0
ISSUER_CHANGE_SECONDS = 0.5
"""Time for the VMs to ask the next issuer, once the last one counts as gone."""

UPSTREAM = "u-1"


class LimitedUpstream:
    """Upstream that names a limit, with callers at all VMs that would send it far more."""

    def __init__(self, fleet, requests_per_second):
        self.fleet = fleet
        self.requests_per_second = requests_per_second
        self.limit = LIMIT
        self.first_named_at = None
        self.sent = []
        self.told_at = {}

    async def run(self, seconds, seed):
        """Let requests arrive at random VMs for some seconds."""
        rng = random.Random(seed)
        end = clock.now() + seconds
        while clock.now() < end:
            await anyio.sleep(rng.expovariate(self.requests_per_second))
            vm = self.fleet.vms[rng.choice(sorted(self.fleet.vms.keys() - self.fleet.standing))]
            self.fleet.group.start_soon(self.send, vm)

    async def send(self, vm):
        """Send a request to the upstream if the VM may, as `AttemptRunner` does."""
        registry = vm.state.registry
        upstream = registry.get(UPSTREAM)
        if upstream is None or registry.opens_at(upstream.incarnation) > clock.now():
            return
        permit = await vm.permits.acquire(upstream)
        await self.fleet.until_it_runs(vm.name)
        if permit is None or not vm.permits.may_send(upstream, permit):
            return
        sent_at = clock.now()
        self.sent.append((sent_at, vm.started_at, vm.name))
        await anyio.sleep(0.05)
        if self.limit is not None:
            self.first_named_at = self.first_named_at or clock.now()
            self.told_at.setdefault((vm.name, vm.started_at), clock.now())
        head = simulated_fleet.answer_with_limit(self.limit)
        vm.state.request_limits.record(upstream, head, sent_at, clock.now())

    def most_in_window(self):
        """Return the most requests in a window, of VMs that had been told, as the users count."""
        counted = sorted(
            at
            for at, started_at, name in self.sent
            if at >= self.told_at.get((name, started_at), at + 1.0) + TOLD_SECONDS
        )
        ends = [at for at in counted if at >= self.first_named_at + CONTACT_SECONDS]
        return max(sum(end - WINDOW_SECONDS < at <= end for at in counted) for end in ends)

    def sent_per_second(self, since, until):
        return sum(since <= at < until for at, _, _ in self.sent) / (until - since)


def allowed(limit):
    return 1.5 * limit * WINDOW_SECONDS + 5


async def start_fleet(fleet):
    await fleet.start_for_the_first_time(fleet.names, 3, 4.0)


def names(count):
    return [f"vm-{number:03}" for number in range(count)]


@pytest.mark.parametrize("vms", [9, 60])
def test_all_vms_together_send_what_an_upstream_takes(simulate, vms):
    async def scenario(fleet):
        await start_fleet(fleet)
        limited = LimitedUpstream(fleet, 55.0)
        await limited.run(20.0, seed=vms)
        assert limited.most_in_window() <= LIMIT * WINDOW_SECONDS + 5
        now = clock.now()
        assert 0.8 * LIMIT <= limited.sent_per_second(now - 12.0, now) <= 1.05 * LIMIT + 0.1

    simulate(scenario, vms=names(vms))


@pytest.mark.parametrize("vms", [9, 60])
@pytest.mark.parametrize(
    "fault", ["herd killed", "restarts", "partition", "late messages", "issuer killed"]
)
def test_faults_of_vms_add_nothing_to_what_an_upstream_gets(simulate, fault, vms):
    async def scenario(fleet):
        await start_fleet(fleet)
        limited = LimitedUpstream(fleet, 55.0)
        async with anyio.create_task_group() as group:
            group.start_soon(limited.run, 24.0, vms)
            await anyio.sleep(6.0)
            await disturb(fleet, fault)
        assert limited.most_in_window() <= allowed(LIMIT)
        now = clock.now()
        assert limited.sent_per_second(now - 6.0, now) >= 0.5 * LIMIT

    simulate(scenario, vms=names(vms))


async def disturb(fleet, fault):
    """Disturb some VMs for at most ten seconds."""
    serving = [vm.name for vm in fleet.vms.values() if vm.state.peers.is_serving]
    match fault:
        case "herd killed":
            for name in fleet.names[::2]:
                fleet.kill(name)
            await anyio.sleep(2.0)
            for name in fleet.names[::2]:
                fleet.start(name)
        case "restarts":
            for name in serving:
                fleet.kill(name)
                await anyio.sleep(0.3)
                fleet.start(name)
                await anyio.sleep(0.3)
        case "partition":
            inside = set(fleet.names[::3])
            outside = set(fleet.names) - inside
            fleet.partitions = {frozenset({a, b}) for a in inside for b in outside}
            await anyio.sleep(8.0)
            fleet.partitions = set()
        case "late messages":
            fleet.delays = dict.fromkeys(serving[::3], 1.0)
            await anyio.sleep(8.0)
            fleet.delays = {}
        case "issuer killed":
            for _ in range(4):
                fleet.kill(issuer(fleet))
                await anyio.sleep(2.0)


def test_limited_upstream_is_used_again_soon_after_its_issuer_was_lost(simulate):
    async def scenario(fleet):
        await start_fleet(fleet)
        limited = LimitedUpstream(fleet, 55.0)
        async with anyio.create_task_group() as group:
            group.start_soon(limited.run, 20.0, 1)
            for _ in range(3):
                await anyio.sleep(4.0)
                fleet.kill(issuer(fleet))
                lost_at = clock.now()
                bound = peer_table.ALIVE_TIMEOUT_SECONDS + 1.0 / LIMIT + ISSUER_CHANGE_SECONDS
                await anyio.sleep(bound)
                assert limited.sent_per_second(lost_at, lost_at + bound) > 0.0
        assert limited.most_in_window() <= allowed(LIMIT)

    simulate(scenario, vms=names(9))


def issuer(fleet):
    """Return the name of the VM that issues the permits, as the VMs that live see it."""
    vm = next(vm for vm in fleet.vms.values() if vm.state.peers.is_serving)
    incarnation = vm.state.registry.get(UPSTREAM).incarnation
    issuing_vm = vm.permits.issuing_vm(incarnation, clock.now())
    return issuing_vm.name if issuing_vm else vm.name


def test_all_vms_use_an_upstream_again_when_it_names_no_limit(simulate):
    async def scenario(fleet):
        await start_fleet(fleet)
        limited = LimitedUpstream(fleet, 55.0)
        await limited.run(8.0, seed=1)
        limited.limit = None
        await limited.run(4.0, seed=2)
        now = clock.now()
        assert limited.sent_per_second(now - 1.0, now) > 40.0

    simulate(scenario, vms=names(9))


def test_limit_in_a_message_that_arrives_late_does_not_outlast_its_end(simulate):
    async def scenario(fleet):
        await start_fleet(fleet)
        limited = LimitedUpstream(fleet, 55.0)
        await limited.run(4.0, seed=1)
        limited.limit = None
        fleet.delays = dict.fromkeys(fleet.names[:3], 0.8)
        await limited.run(8.0, seed=2)
        now = clock.now()
        assert limited.sent_per_second(now - 1.0, now) > 40.0

    simulate(scenario, vms=names(9))
