"""All VMs together cause no more rejections than an upstream stands, and use its room."""

import dataclasses
import random

import anyio
import pytest

from hollyring.node import clock
from hollyring.node.tests import simulated_fleet, test_send_permits

STANDS = 3.0
UPSTREAMS = ["u-1", "u-2", "u-3"]
SLOTS = 8
"""Slots in the entries of `simulated_fleet.Upstream`."""

RUN_SECONDS = 0.06
TOLD_SECONDS = 3.0
"""Time from the first answer that names the limit until fewer may wait."""


class BrittleUpstreams:
    """Upstreams that reject beyond their slots and queue, with callers at all VMs.

    Their rejections count of VMs that run and were told the limit 3 s ago or earlier.
    """

    def __init__(self, fleet, requests_per_second):
        self.fleet = fleet
        self.requests_per_second = requests_per_second
        self.queue = 4 * SLOTS
        self.in_progress = dict.fromkeys(UPSTREAMS, 0)
        self.running = {name: anyio.Semaphore(SLOTS) for name in UPSTREAMS}
        self.rejected = {name: [] for name in UPSTREAMS}
        self.served = []
        self.room = 0
        self._sent = 0

    async def run(self, seconds, seed):
        """Let requests arrive at random VMs for some seconds."""
        rng = random.Random(seed)
        end = clock.now() + seconds
        while clock.now() < end:
            await anyio.sleep(rng.expovariate(self.requests_per_second))
            vm = self.fleet.vms[rng.choice(sorted(self.fleet.vms.keys() - self.fleet.standing))]
            names = rng.sample(UPSTREAMS, len(UPSTREAMS))
            self.fleet.group.start_soon(self.send, vm, names, rng.expovariate(1 / RUN_SECONDS))

    async def send(self, vm, names, run_seconds):
        """Send a request to the first upstream that grants a place, as a relay does."""
        registry = vm.state.registry
        self._sent += 1
        request_id = f"r-{self._sent}"
        for name in names:
            upstream = registry.get(name)
            if upstream is None or registry.opens_at(upstream.incarnation) > clock.now():
                continue
            upstream.record_sent(request_id, 0, 0.1, clock.now())
            try:
                permit = await vm.permits.acquire(upstream, False, request_id, 2.0)
                await self.fleet.until_it_runs(vm.name)
                if not self.is_running(vm):
                    return
                if permit is not None and vm.permits.may_send(upstream, permit):
                    await self.exchange(vm, upstream, request_id, run_seconds)
                    return
            finally:
                if self.is_running(vm):
                    upstream.record_end(request_id)
                    vm.permits.release(request_id)

    def is_running(self, vm):
        """Return whether a VM runs; one that was killed sends nothing more."""
        return self.fleet.vms.get(vm.name) is vm

    async def exchange(self, vm, upstream, request_id, run_seconds):
        sent_at = clock.now()
        await anyio.sleep(0.001)
        is_full = self.in_progress[upstream.name] >= SLOTS + self.queue
        if is_full:
            self.rejected[upstream.name].append(clock.now())
        else:
            await self.execute(upstream.name, run_seconds)
        await self.fleet.until_it_runs(vm.name)
        if not self.is_running(vm):
            return
        head = simulated_fleet.answer_with_limit(None)
        head = dataclasses.replace(
            head, rejection_limit=STANDS, not_run=is_full, authentic=not is_full
        )
        vm.state.observe_head(upstream, head, sent_at)
        vm.permits.record_answer(request_id, head)

    async def execute(self, name, run_seconds):
        self.in_progress[name] += 1
        try:
            async with self.running[name]:
                await anyio.sleep(run_seconds)
            self.served.append(clock.now())
        finally:
            self.in_progress[name] -= 1

    def most_rejected_in_a_second(self, since):
        counts = [
            sum(at <= other < at + 1.0 for other in rejected)
            for rejected in self.rejected.values()
            for at in rejected
            if at >= since
        ]
        return max(counts, default=0)

    def served_share(self, since, until):
        """Return what was served, as a share of what all-knowing placement would serve."""
        slots = len(UPSTREAMS) * SLOTS
        places = slots + len(UPSTREAMS) * self.queue
        busy = busy_slots(self.requests_per_second * RUN_SECONDS, slots, places)
        capacity = busy / RUN_SECONDS * (until - since)
        return sum(since <= at < until for at in self.served) / capacity


def busy_slots(load, slots, places):
    """Return the mean number of busy slots if every request that finds a place is taken.

    Requests arrive at random, `load` of them in the mean time that one runs.
    """
    weights = [1.0]
    for number in range(1, places + 1):
        weights.append(weights[-1] * load / min(number, slots))
    busy = sum(weight * min(number, slots) for number, weight in enumerate(weights))
    return busy / sum(weights)


@pytest.mark.parametrize("queue", [0, 4])
@pytest.mark.parametrize("vms", [9, 60])
def test_room_is_used_with_few_rejections(simulate, vms, queue):
    async def scenario(fleet):
        await test_send_permits.start_fleet(fleet)
        brittle = BrittleUpstreams(fleet, 600.0)
        began_at = clock.now()
        async with anyio.create_task_group() as group:
            group.start_soon(brittle.run, 12.0, vms)
            await anyio.sleep(TOLD_SECONDS)
            brittle.queue = queue
        share = brittle.served_share(began_at + TOLD_SECONDS, clock.now())
        print("share of what can be served:", round(share, 3))
        assert brittle.most_rejected_in_a_second(began_at + TOLD_SECONDS) <= STANDS
        assert share >= 0.8

    simulate(scenario, vms=test_send_permits.names(vms), upstreams=UPSTREAMS)


@pytest.mark.parametrize("vms", [9, 60])
@pytest.mark.parametrize(
    "fault", ["herd killed", "restarts", "partition", "late messages", "issuer killed"]
)
def test_faults_of_vms_cause_no_more_rejections_than_upstreams_stand(simulate, fault, vms):
    async def scenario(fleet):
        await test_send_permits.start_fleet(fleet)
        brittle = BrittleUpstreams(fleet, 600.0)
        began_at = clock.now()
        async with anyio.create_task_group() as group:
            group.start_soon(brittle.run, 18.0, vms)
            await anyio.sleep(TOLD_SECONDS)
            brittle.queue = 4
            await anyio.sleep(1.0)
            await test_send_permits.disturb(fleet, fault)
        most = brittle.most_rejected_in_a_second(began_at + TOLD_SECONDS)
        share = brittle.served_share(began_at + TOLD_SECONDS, clock.now())
        print("most rejections in a second:", most, "share of what can be served:", round(share, 3))
        assert most <= STANDS

    simulate(scenario, vms=test_send_permits.names(vms), upstreams=UPSTREAMS)
