"""Promises of a fleet of which every second VM process is of another build; see `builds`."""

import asyncio
import contextlib
import itertools
import random
import signal

import anyio
import pytest

from hollyring.limits import send_permits
from hollyring.node import clock
from hollyring.platform.tests import (
    builds,
    conftest,
    test_process,
    test_resumed_streams,
    test_unreachable_upstreams,
)

pytestmark = pytest.mark.xdist_group("platform-builds")

VMS = 4
LEASE_SECONDS = 3.0
"""Time within which no two VMs may give orders to one server."""

ROLLOUT_SECONDS = 40.0
HANDOVERS = 6
EVENTS_UNTIL_LEFT = 12
"""Events of a stream within which the other VMs are told where it began: 0.6 s of events."""

BEGIN_SECONDS = 6.0
CALLERS = 8
TAKE_UP_ATTEMPTS = 12
SERVER_LIMIT = 20.0
RATE = 20.0
LIMITED_SECONDS = 5.0
QUOTA_SECONDS = 8.0
QUOTA_OVERAGE = 1.1
"""Window of an organisation's requests, and their number for each that its limit names."""

SAVED_SECONDS = send_permits.BURST_SECONDS
UNDER_WAY = 2
"""Requests beyond a limit that may be under way at the ends of the time that is measured."""

MIN_SHARE = 0.6
CRASHES_UNTIL_BLAMED = 6


class MixedFleet:
    """VM processes of two builds and their servers.

    Parameters
    ----------
    stack
        Ends whatever was started.
    roots
        Checkout that each VM runs from.
    """

    def __init__(self, stack, directory, roots=(builds.NEW, builds.OLD)):
        self.store = builds.ExpiringStore()
        self.servers = []
        self.vms = []
        self._stack = stack
        self._directory = directory
        self.roots = roots

    async def start(self, servers, config=test_resumed_streams.CONFIG):
        """Start the servers and the VMs, and wait until these know each other."""
        await self._stack.enter_async_context(self.store.running())
        expiry = asyncio.create_task(self.store.expire())
        self._stack.callback(expiry.cancel)
        self._stack.callback(self._end)
        await self.store.put("op/config", config)
        for server in servers:
            self.servers.append(await self._stack.enter_async_context(server.running()))
            await self.register(server)
        for number in range(VMS):
            vm = self.make_vm(f"vm-{number}", self.roots[number % len(self.roots)])
            vm.start()
            self.vms.append(vm)
        for vm in self.vms:
            await vm.wait_ready()
        for vm in self.vms:
            await vm.wait_listed(VMS)

    async def register(self, server):
        await self.store.put(f"servers/{server.name}", test_resumed_streams.entry(server))

    def make_vm(self, name, root):
        return test_process.VmProcess(
            self._directory, self.store.address, name, contracts=["engine"], root=root
        )

    async def name_version(self, version):
        await self.store.put("op/version/m", {"model": "m", "version": version})

    async def stop(self, vm, number):
        """Send a signal that ends a VM, and wait until it has ended."""
        vm.process.send_signal(number)
        while vm.process.poll() is None:
            await anyio.sleep(0.02)

    def _end(self):
        for vm in self.vms:
            vm.process.kill()
            vm.process.wait()


@pytest.fixture
async def mixed(tmp_path):
    async with contextlib.AsyncExitStack() as stack:
        yield MixedFleet(stack, tmp_path)


def streaming_servers():
    servers = [conftest.ServerStandIn(f"i-{n}", events=EVENTS) for n in range(VMS)]
    for number, server in enumerate(servers):
        server.software = ("v1", "v2")[number % 2]
        server.event_seconds = test_resumed_streams.EVENT_SECONDS
    return servers


EVENTS = test_resumed_streams.EVENTS
NUMBERS = [b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, EVENTS + 1)]


async def receive_part(vm, request_id, seconds, *headers):
    """Begin or take up a stream at a VM and leave it after some seconds."""
    stream = test_resumed_streams.Stream(request_id)
    with anyio.move_on_after(seconds):
        await stream.receive(vm, *headers)
    return stream


async def receive_events(vm, request_id, number):
    """Begin a stream at a VM and leave it after some events."""
    stream = test_resumed_streams.Stream(request_id)
    async with anyio.create_task_group() as group:
        group.start_soon(stream.receive, vm)
        while stream.last_event < number:
            await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    return stream


def position(first, last_event):
    """Return the headers with which a caller takes up the stream that its first request began."""
    return (b"last-event-id", b"%d" % last_event), (b"resumes", first.encode())


@pytest.mark.anyio
async def test_streams_taken_up_at_the_other_build_go_on_at_their_software_version(mixed):
    await mixed.start(streaming_servers())
    begun = []

    async def begin(vm, other, number):
        stream = await receive_events(vm, f"first-{number}", EVENTS_UNTIL_LEFT)
        begun.append((stream, other))

    with anyio.fail_after(BEGIN_SECONDS):
        async with anyio.create_task_group() as group:
            for number in range(24):
                index = number % VMS
                group.start_soon(begin, mixed.vms[index], mixed.vms[index ^ 1], number)
    went_on = []

    async def take_up(stream, other, number):
        rest = await receive_part(
            other, f"second-{number}", 6.0, *position(stream.request_id, stream.last_event)
        )
        versions = test_resumed_streams.software_of(mixed.servers, stream.request_id)
        assert rest.status in (200, 503)
        if rest.status == 200:
            assert test_resumed_streams.software_of(mixed.servers, rest.request_id) == versions
            assert (rest.whole, rest.last_event) == (True, EVENTS)
            went_on.append(number)

    async with anyio.create_task_group() as group:
        for number, (stream, other) in enumerate(begun):
            group.start_soon(take_up, stream, other, number)
    print("went on:", len(went_on), "of", len(begun))
    assert len(went_on) == len(begun) == 24


class Chain:
    """A stream that its caller leaves and takes up, at other VMs, until it is whole."""

    def __init__(self, name):
        self.name = name
        self.parts = []
        self.attempts = []
        self.body = b""
        self.whole = False

    async def run(self, fleet, rng):
        for attempt in range(TAKE_UP_ATTEMPTS):
            headers = ()
            if self.parts:
                headers = position(self.parts[0].request_id, self.parts[-1].last_event)
            seconds = rng.uniform(0.2, 0.9) if len(self.parts) < 3 else 8.0
            vm = rng.choice(fleet.vms)
            part = await receive_part(vm, f"{self.name}-{attempt}", seconds, *headers)
            self.attempts.append((vm.log_path.stem, part.status, part.last_event))
            if part.status != 200 or not (part.last_event or part.whole):
                await anyio.sleep(0.3)
                continue
            complete, separator, _ = part.body.rpartition(b"\n\n")
            self.body += complete + separator
            self.parts.append(part)
            if part.whole:
                self.whole = True
                return


@pytest.mark.anyio
@pytest.mark.parametrize("direction", builds.DIRECTIONS)
async def test_no_stream_is_joined_of_two_versions_while_all_vms_are_replaced(tmp_path, direction):
    before, after = builds.DIRECTIONS[direction]
    chains = []
    rng = random.Random(1)
    async with contextlib.AsyncExitStack() as stack:
        fleet = MixedFleet(stack, tmp_path, roots=(before,))
        await fleet.start(streaming_servers())
        replaced = anyio.Event()

        async def call(caller):
            for number in itertools.count():
                if replaced.is_set():
                    return
                chains.append(Chain(f"{caller}-{number}"))
                await chains[-1].run(fleet, rng)

        async with anyio.create_task_group() as group:
            for caller in range(CALLERS):
                group.start_soon(call, caller)
            for index in range(VMS):
                await anyio.sleep(1.0)
                vm = fleet.vms[index]
                await fleet.stop(vm, (signal.SIGTERM, signal.SIGKILL)[index == 2])
                if index % 2:
                    vm = fleet.vms[index] = fleet.make_vm(vm.log_path.stem, after)
                vm.root = after
                vm.start()
                await vm.wait_ready()
            await anyio.sleep(1.0)
            replaced.set()
    joined = [
        (chain.name, versions)
        for chain in chains
        if len(versions := versions_of(fleet.servers, chain)) > 1
    ]
    taken_up = sum(max(0, len(chain.parts) - 1) for chain in chains)
    refused = sum(status == 503 for chain in chains for _, status, _ in chain.attempts)
    whole = sum(chain.whole for chain in chains)
    print(f"streams {len(chains)}, whole {whole}, taken up {taken_up}, refused {refused}")
    print("not whole:", [(c.name, c.attempts) for c in chains if not c.whole])
    assert joined == []
    assert [c.name for c in chains if c.body != b"".join(NUMBERS[: c.body.count(b"id:")])] == []
    assert taken_up > VMS * CALLERS


def versions_of(servers, chain):
    return {
        version
        for part in chain.parts
        for version in test_resumed_streams.software_of(servers, part.request_id)
    }


class OrderedServer(conftest.ServerStandIn):
    """A server that records when it got an order, its holder and its fencing token."""

    def __init__(self, name):
        super().__init__(name)
        self.given = []

    def order(self, body):
        holder = body["holder"].partition("#")[0]
        self.given.append((clock.now(), holder, body["fencing_token"]))
        return super().order(body)


async def wait_holder(servers, previous=""):
    """Wait until another VM than `previous` gives the newest order, and return its name."""
    with anyio.fail_after(ROLLOUT_SECONDS):
        while True:
            given = [order for server in servers for order in server.given]
            if given and max(given)[1] != previous:
                return max(given)[1]
            await anyio.sleep(0.01)


@pytest.mark.anyio
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL], ids=["stopped", "killed"])
async def test_no_two_vms_order_within_a_lease_as_it_passes_between_builds(mixed, number):
    await mixed.start([OrderedServer(f"i-{n}") for n in range(VMS)])
    versions = itertools.count(2)
    await mixed.name_version(next(versions))
    holders = [await wait_holder(mixed.servers)]
    for _ in range(HANDOVERS):
        stopped = next(vm for vm in mixed.vms if vm.log_path.stem == holders[-1])
        await mixed.stop(stopped, number)
        await mixed.name_version(next(versions))
        holders.append(await wait_holder(mixed.servers, holders[-1]))
        stopped.start()
        await stopped.wait_ready()
    # Orders of all servers: two that one server gets of two VMs have such a pair between them.
    given = sorted(order for server in mixed.servers for order in server.given)
    gaps = []
    for (at, one, fence), (next_at, other, next_fence) in itertools.pairwise(given):
        assert next_fence >= fence
        if one != other:
            assert next_fence > fence
            gaps.append(round(next_at - at, 2))
    print("holders:", holders, "shortest gaps:", sorted(gaps)[:4])
    assert len({int(name[-1]) % len(mixed.roots) for name in holders}) == len(mixed.roots)
    assert len(gaps) >= HANDOVERS and min(gaps) >= LEASE_SECONDS


async def send_steadily(vms, name, per_second, seconds):
    """Send requests to the VMs in turn at a steady rate; return statuses and times."""
    outcomes = []

    async def send(vm, number):
        at = clock.now()
        response = await test_process.post(vm, f"{name}-{number}")
        outcomes.append((at, response.status))

    async with anyio.create_task_group() as group:
        for number in range(int(per_second * seconds)):
            group.start_soon(send, vms[number % len(vms)], number)
            await anyio.sleep(1.0 / per_second)
    return outcomes


def plain_config(**tenant):
    route = test_process.CONFIG["routes"][0] | {"kind": "safe", "max_attempts": 2}
    tenants = [{"name": "t", "api_keys": ["k"]} | tenant]
    return test_process.CONFIG | {"routes": [route], "tenants": tenants}


@pytest.mark.anyio
async def test_both_builds_together_send_no_more_than_the_limit_that_a_server_names(mixed):
    servers = [conftest.ServerStandIn(f"i-{n}") for n in range(3)]
    for server in servers:
        server.request_limit = SERVER_LIMIT
    await mixed.start(servers, plain_config())
    await send_steadily(mixed.vms, "first", 10, 1.0)
    await anyio.sleep(1.0)
    for server in servers:
        server.requests.clear()
    outcomes = await send_steadily(mixed.vms, "limited", 120, LIMITED_SECONDS)
    named = [[r for r in server.requests if "x-request-id" in r.headers] for server in servers]
    counts = [len(requests) for requests in named]
    limit = SERVER_LIMIT * max(r[-1].arrived_at - r[0].arrived_at for r in named)
    print("at each server:", counts, "limit:", round(limit))
    assert {status for _, status in outcomes} <= {200, 503}
    assert max(counts) <= limit + SERVER_LIMIT * SAVED_SECONDS + UNDER_WAY
    assert min(counts) >= limit * MIN_SHARE


@pytest.mark.anyio
@pytest.mark.parametrize("idle_seconds", [0.0, 4.0] if builds.OLD == builds.NEW else [0.0])
async def test_both_builds_together_admit_no_more_than_an_organisations_rate(mixed, idle_seconds):
    servers = [conftest.ServerStandIn(f"i-{n}") for n in range(3)]
    await mixed.start(servers, plain_config(rate_per_s=RATE, burst=RATE))
    await anyio.sleep(idle_seconds)
    outcomes = await send_steadily(mixed.vms, "charged", 60, 1.5 * QUOTA_SECONDS)
    arrivals = [r.arrived_at for s in servers for r in s.requests if "x-request-id" in r.headers]
    most = max(sum(at <= other < at + QUOTA_SECONDS for other in arrivals) for at in arrivals)
    allowed = RATE * QUOTA_SECONDS + RATE
    print("most in a window:", most, "allowed:", round(allowed))
    assert {status for _, status in outcomes} <= {200, 429}
    assert allowed * MIN_SHARE <= most <= allowed * QUOTA_OVERAGE


class FragileServer(conftest.ServerStandIn):
    """A server that crashes when a prompt part named ``bad`` arrives."""

    def __init__(self, name):
        super().__init__(name)
        self.crashed = False

    async def handle(self, request, writer):
        if "bad" in request.headers.get("x-prompt-prefix", ""):
            self.crashed = True
            self.crash()
            return
        await super().handle(request, writer)


@pytest.mark.anyio
async def test_part_that_crashes_servers_is_blamed_by_both_builds(mixed):
    servers = [FragileServer(f"i-{n}") for n in range(12)]
    await mixed.start(servers, test_unreachable_upstreams.make_config(3))
    bad = (b"x-prompt-prefix", b"bad:10")
    for number in range(CRASHES_UNTIL_BLAMED):
        await receive_bad(mixed.vms[number % VMS], f"bad-{number}", bad)
        await anyio.sleep(1.0)
    crashed = sum(server.crashed for server in servers)
    statuses = [(await receive_bad(vm, f"late-{n}", bad)) for n, vm in enumerate(mixed.vms)]
    sound = [await receive_part(vm, f"sound-{n}", 4.0) for n, vm in enumerate(mixed.vms)]
    print("crashed:", crashed, "then refused with:", statuses)
    assert statuses == [400] * VMS
    assert sum(server.crashed for server in servers) == crashed
    assert [stream.whole for stream in sound] == [True] * VMS


async def receive_bad(vm, request_id, header):
    stream = test_resumed_streams.Stream(request_id)
    await stream.receive(vm, header)
    return stream.status
