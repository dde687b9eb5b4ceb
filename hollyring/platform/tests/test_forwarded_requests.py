"""Tests of the promises that hold for a request whose attempts another VM makes."""

import contextlib
import dataclasses
import itertools
import socket

import anyio
import pytest

from hollyring.core import identities, request_types
from hollyring.delivery import forwarded, retry, stream_origins
from hollyring.limits import byte_budget, retry_budget
from hollyring.membership import heartbeat
from hollyring.node import (
    clock,
    connection_pool,
    forward_client,
    forward_links,
    forward_server,
    forwarded_messages,
    heartbeat_messages,
    metrics,
    peer_link,
    peers,
    relay,
    wire,
)
from hollyring.platform import upstreams
from hollyring.platform.tests import (
    conftest,
    test_relay,
    test_silent_servers,
    test_unreachable_upstreams,
)
from hollyring.routing import reachability

AT_MOST_ONCE = request_types.RetrySafety.AT_MOST_ONCE
IDEMPOTENT = request_types.RetrySafety.IDEMPOTENT
RESUMABLE = request_types.RetrySafety.RESUMABLE
TIMEOUT_SECONDS = 5.0
HELD_BYTES = 20_000_000
"""Bytes that a VM may hold."""


class ScriptedReachability(reachability.Reachability):
    """Reachability of which a test says whether the VM is cut off."""

    def __init__(self, upstreams):
        super().__init__(upstreams, "vm")
        self.cut = False
        self.suspected = False

    def is_cut_off(self, service):
        return self.cut

    def takes_connections(self, service):
        return not self.cut

    def open_may_hang(self, service):
        return self.cut or self.suspected


class NeverFresh:
    """Replacement of `freshness.Freshness` of a VM whose copies are old."""

    def may_use(self, now):
        return False

    def age(self, now):
        return 9.0

    def others_age(self, now):
        return 1.0


class ScriptedTargets:
    """Replacement of `forwarding_targets.ForwardingTargets`: VMs in the order of choice."""

    def __init__(self):
        self.vms = []
        self.once = ""  # name of a VM that is chosen once only
        self.in_progress = []

    def choose(self, service, excluded, now):
        suitable = [vm for vm in self.vms if vm.name not in excluded]
        chosen = next(iter(suitable), None)
        if chosen is not None and chosen.name == self.once:
            self.vms.remove(chosen)
        return chosen

    def record_begin(self, vm):
        self.in_progress.append(vm)

    def record_end(self, vm):
        self.in_progress.remove(vm)


class ForwardingVm(test_relay.RelayVm):
    """A VM that forwards requests and executes those of others."""

    def __init__(self, name, servers, checker=None, **route):
        super().__init__(servers, checker, **route)
        self.state.reachability = ScriptedReachability(self.state.registry)
        self.state.forwarding = ScriptedTargets()
        self.codec = wire.Codec(heartbeat_messages.MESSAGES | forwarded_messages.MESSAGES)
        self.peers = peers.PeerConnections(
            identities.Incarnation(name, 1),
            "",
            ["a-peer-key-of-sixteen-bytes"],
            self.codec,
            self.receive,
            {}.get,
            forwarded.ForwardedRequest,
        )
        self.links = forward_links.ForwardLinks(self.peers, self.codec)
        self.metrics = metrics.Metrics()
        self.budget = byte_budget.ByteBudget(HELD_BYTES)
        self.pool = connection_pool.ConnectionPool(self.budget)
        upstream_codec = upstreams.HttpUpstreamCodec()
        self.relay = relay.Relay(
            self.state,
            upstream_codec,
            self.pool,
            self.metrics,
            checker or test_relay.AlwaysCurrent(self.state),
            self.permits,
            forward_client.ForwardClient(
                self.state, upstream_codec, self.links, self.metrics, self.budget
            ),
        )
        self.server = forward_server.ForwardServer(
            self.relay, self.codec, self.metrics, 1.0, self.budget
        )
        self.peers.set_link_handler(self.serve_link)
        self.messages = []
        self.info = heartbeat.VmInfo(name, 1, "c", "", "dar-a", "dar")
        self.scope = anyio.CancelScope()

    async def receive(self, sender, message):
        return None

    async def serve_link(self, session, message):
        self.messages.append(message)
        await self.server.serve(session, message)

    async def run(self, *, task_status):
        """Accept connections until `kill`."""
        with self.scope:
            async with anyio.create_task_group() as group:
                port = await group.start(self.peers.run, "127.0.0.1", 0)
                self.info = heartbeat.VmInfo(
                    self.info.name, 1, "c", f"127.0.0.1:{port}", "dar-a", "dar"
                )
                task_status.started()

    def kill(self):
        self.scope.cancel()


class ScriptedVm(ForwardingVm):
    """A VM that answers each forwarded request by a script, and closes the link then."""

    def __init__(self, name, script):
        super().__init__(name, [])
        self.script = script

    async def serve_link(self, session, message):
        self.messages.append(message)
        link = peer_link.Link(session, self.codec)
        with contextlib.suppress(peer_link.LinkLostError):
            for step in self.script:
                if isinstance(step, float):
                    await anyio.sleep(step)
                else:
                    await link.send(step)
        await link.close()


class SilentVm(ForwardingVm):
    """A VM that never answers, and keeps the link of the request open."""

    def __init__(self, name):
        super().__init__(name, [])
        self.link = None

    async def serve_link(self, session, message):
        self.link = peer_link.Link(session, self.codec)
        await anyio.sleep_forever()

    @property
    def given_up(self):
        """Whether the other VM has closed the link, by now."""
        return self.link.is_stale


class ReplacingVm(ForwardingVm):
    """A VM that records whether the request was given up at a silent VM when it got it."""

    def __init__(self, name, servers, silent, **route):
        super().__init__(name, servers, **route)
        self.silent = silent
        self.was_given_up = None

    async def serve_link(self, session, message):
        self.was_given_up = self.silent.given_up
        await super().serve_link(session, message)


class Fleet:
    """A VM that is cut off from all servers, and the VMs that execute its requests."""

    def __init__(self, group, servers, route):
        self.servers = servers
        self.route = route
        self.executing = []
        self.cut = ForwardingVm("vm-cut", servers, **route)
        self.cut.state.reachability.cut = True
        self._group = group

    async def add(self, vm=None, servers=None):
        """Add a VM that executes requests."""
        name = f"vm-{len(self.executing)}"
        vm = vm or ForwardingVm(name, servers or self.servers, **self.route)
        await self._group.start(vm.run)
        self.executing.append(vm)
        self.cut.state.forwarding.vms.append(vm.info)
        return vm

    async def add_scripted(self, *script):
        return await self.add(ScriptedVm(f"vm-{len(self.executing)}", script))

    @property
    def requests(self):
        """Requests that arrived at the servers."""
        return [request for server in self.servers for request in server.requests]


@pytest.fixture
async def start_fleet():
    """Yield a function that starts servers, a VM that is cut off and `count` others."""
    async with contextlib.AsyncExitStack() as stack, anyio.create_task_group() as group:

        async def start(*behaviours, count=1, software=(), **route):
            servers = [
                conftest.ServerStandIn(f"i-{n}", behaviour)
                for n, behaviour in enumerate(behaviours)
            ]
            for server, version in zip(servers, software, strict=False):
                server.software = version
            for server in servers:
                await stack.enter_async_context(server.running())
            fleet = Fleet(group, servers, route)
            await group.start(fleet.cut.run)
            for _ in range(count):
                await fleet.add()
            return fleet

        yield start
        group.cancel_scope.cancel()


def stream_body(first, last):
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(first, last + 1))


def head(status=200, streaming=False, software="v1"):
    return forwarded.ForwardedHead(status, [], streaming, "i-0", software, 1, states_end=True)


@pytest.mark.anyio
async def test_answer_comes_through_another_vm_unchanged_and_without_the_key(start_fleet):
    fleet = await start_fleet("complete")
    headers = [(b"authorization", b"Bearer key"), (b"x-other", b"kept")]
    caller = await fleet.cut.send_request(headers=headers)
    assert (caller.status, caller.body, caller.ended) == (200, b"done by i-0", True)
    assert caller.headers[b"x-response-seal"] == conftest.SEAL.encode()
    received = fleet.requests[0]
    assert (received.path, received.query, received.body) == ("/x", {"y": "%20"}, b"body")
    assert (received.headers["x-tenant"], received.headers["x-other"]) == ("org", "kept")
    assert 1000 < int(received.headers["x-deadline-ms"]) < 1970
    message = fleet.executing[0].messages[0]
    assert b"Bearer key" not in fleet.cut.codec.encode(message)
    assert fleet.cut.state.forwarding.in_progress == []


@pytest.mark.anyio
async def test_large_bodies_are_forwarded_whole(start_fleet):
    fleet = await start_fleet("complete")
    body = bytes(range(256)) * 4000
    fleet.servers[0].name = "x" * 700_000
    caller = await send(fleet.cut, body)
    assert fleet.requests[0].body == body
    assert caller.body == b"done by " + b"x" * 700_000


@pytest.mark.anyio
@pytest.mark.parametrize("executing_bytes", [HELD_BYTES, 4 * HELD_BYTES])
async def test_forwarded_answer_that_no_vm_can_hold_ends_with_a_failure(
    start_fleet, executing_bytes
):
    """It was held up to 32 MiB by either VM, whatever else they held."""
    fleet = await start_fleet("complete", count=0)
    executing = ForwardingVm("vm-0", fleet.servers)
    executing.budget._limit = executing_bytes
    await fleet.add(executing)
    fleet.servers[0].name = "x" * 10_000_000
    caller = await send(fleet.cut, b"body")
    assert caller.status == 502
    for vm in (fleet.cut, executing):
        assert vm.budget.peak <= vm.budget.limit
        await wait_given_back(vm.budget)


@pytest.mark.anyio
async def test_forwarded_request_whose_body_finds_no_room_is_refused_and_not_run(start_fleet):
    fleet = await start_fleet("complete")
    executing = fleet.executing[0]
    other = executing.budget.open(byte_budget.Kind.FORWARDED_REQUEST)
    assert other.try_reserve(8_000_000)
    caller = await send(fleet.cut, bytes(3_000_000))
    assert (caller.status, fleet.requests) == (503, [])
    other.close()
    assert (await send(fleet.cut, bytes(3_000_000))).status == 200
    await wait_given_back(executing.budget)


async def wait_given_back(budget):
    """Wait until nothing is held any more; the executing VM ends a request after its answer."""
    with anyio.fail_after(1.0):
        while budget.held:
            await anyio.sleep(0.01)


async def send(vm, body):
    caller = test_relay.Caller()
    request = request_types.Request(
        "r-1", b"POST", b"/x", "h", "/x", ((b"x-request-id", b"r-1"),), body, "key", 2.0
    )
    response = test_relay.responses.ResponseWriter(
        caller.send, test_relay.ingress.encode_refusal, lambda: False
    )
    await vm.relay.serve(request, response)
    return caller


@pytest.mark.anyio
async def test_stream_comes_through_another_vm_with_its_origin(start_fleet):
    fleet = await start_fleet("complete", software=("v7",), streaming=True, retry_safety=RESUMABLE)
    caller = await fleet.cut.send_request()
    assert (caller.body, caller.ended) == (stream_body(1, 5), True)
    origins = fleet.cut.state.stream_origins
    expected = stream_origins.OnlySoftware("v7")
    assert origins.continuation("r-1", "s", {"v1", "v7"}, clock.now()) == expected


@pytest.mark.anyio
async def test_stream_of_unknown_origin_is_not_forwarded_by_a_vm_with_old_versions(
    start_fleet, monkeypatch
):
    async def wait_versions(checker, until, taken_up_at):
        await anyio.lowlevel.checkpoint()

    monkeypatch.setattr(test_relay.AlwaysCurrent, "wait_versions", wait_versions)
    fleet = await start_fleet("complete", software=("v7",), streaming=True, retry_safety=RESUMABLE)
    caller = await fleet.cut.send_request(resume_after=2)
    assert (caller.status, fleet.requests, fleet.executing[0].messages) == (503, [], [])
    assert (await fleet.cut.send_request("r-2")).status == 200


@pytest.mark.anyio
async def test_links_are_kept_for_the_next_request(start_fleet):
    fleet = await start_fleet("complete")
    for number in range(5):
        assert (await fleet.cut.send_request(f"r-{number}")).status == 200
    assert len(fleet.executing[0].messages) == 1
    assert len(fleet.requests) == 5


@pytest.mark.anyio
async def test_rate_and_first_attempt_are_recorded_at_the_admitting_vm_only(start_fleet):
    fleet = await start_fleet("complete", rate=1.0)
    await fleet.cut.send_request()
    now = clock.now()
    attempts = [vm.state.retries("s").dump()["attempts"] for vm in (fleet.cut, fleet.executing[0])]
    assert attempts == [1, 0]
    assert sum(item.total for item in fleet.cut.state.organisation_usage(now)) > 0
    assert sum(item.total for item in fleet.executing[0].state.organisation_usage(now)) == 0


@pytest.mark.anyio
@pytest.mark.parametrize("refusing", [1, 3])
async def test_each_send_beyond_the_first_spends_a_retry_at_one_of_the_vms(start_fleet, refusing):
    fleet = await start_fleet(*["refuse"] * refusing, "complete", retry_safety=IDEMPOTENT)
    test_relay.avoid(fleet.executing[0], fleet.servers[-1])
    await fleet.cut.send_request()
    vms = (fleet.cut, *fleet.executing)
    spent = sum(vm.state.retries("s").dump()["retries"] for vm in vms)
    assert spent == len(fleet.requests) - 1 > 0


@pytest.mark.anyio
async def test_request_is_not_forwarded_twice(start_fleet):
    fleet = await start_fleet("complete")
    first = fleet.executing[0]
    first.state.reachability.cut = True
    first.state.forwarding.vms.append(fleet.cut.info)
    caller = await fleet.cut.send_request()
    assert caller.status == 503
    assert fleet.requests == fleet.cut.messages == []


@pytest.mark.anyio
async def test_vms_that_take_each_other_for_reachable_do_not_send_a_request_in_circles(
    start_fleet,
):
    fleet = await start_fleet("complete", count=2)
    vms = [fleet.cut, *fleet.executing]
    for vm in vms:
        vm.state.reachability.cut = True
        vm.state.forwarding.vms = [other.info for other in vms if other is not vm]
    caller = await fleet.cut.send_request()
    assert caller.status == 503
    assert [len(vm.messages) for vm in vms] == [0, 1, 1]


@pytest.mark.anyio
@pytest.mark.parametrize(
    "script", [[], [head()], [head(), forwarded.ForwardedBreak("late")]], ids=len
)
async def test_unsafe_request_whose_answer_is_lost_may_have_run(start_fleet, script):
    fleet = await start_fleet("complete", count=0)
    await fleet.add_scripted(*script)
    await fleet.add()
    caller = await fleet.cut.send_request()
    assert caller.status == 502
    assert fleet.requests == []


@pytest.mark.anyio
async def test_unsafe_request_without_an_answer_ends_at_the_deadline(start_fleet):
    fleet = await start_fleet("silent")
    started_at = clock.now()
    caller = await fleet.cut.send_request(deadline_seconds=0.6)
    assert caller.status == 504
    assert clock.now() - started_at < 0.65
    assert len(fleet.requests) == 1


@pytest.mark.anyio
async def test_unsafe_request_at_a_silent_vm_ends_at_the_deadline(start_fleet):
    fleet = await start_fleet("complete", count=0)
    await fleet.add_scripted(5.0)
    await fleet.add()
    caller = await fleet.cut.send_request(deadline_seconds=0.5)
    assert caller.status == 504
    assert fleet.requests == []


@pytest.mark.anyio
async def test_idempotent_request_at_a_silent_vm_goes_to_another_one(start_fleet):
    fleet = await start_fleet("complete", count=0, retry_safety=IDEMPOTENT, timeout=9.0)
    await fleet.add_scripted(9.0)
    await fleet.add()
    started_at = clock.now()
    caller = await fleet.cut.send_request(deadline_seconds=9.0)
    assert caller.status == 200
    assert clock.now() - started_at < 2 * forward_client.SILENCE_SECONDS


@pytest.mark.anyio
async def test_forward_to_a_silent_vm_that_goes_on_is_answered_if_nothing_can_replace_it(
    start_fleet,
):
    fleet = await start_fleet("refuse", count=0, retry_safety=IDEMPOTENT, timeout=5.0)
    body = forwarded.ForwardedData(b"late")
    await fleet.add_scripted(1.7, head(), body, forwarded.ForwardedEnd(len(body.data)))
    caller = await fleet.cut.send_request(deadline_seconds=4.0)
    assert (caller.status, caller.body) == (200, b"late")


LATE = [head(), forwarded.ForwardedData(b"late"), forwarded.ForwardedEnd(4)]


@pytest.mark.anyio
async def test_forward_to_a_silent_vm_is_not_given_up_without_a_retry_left_in_the_budget(
    start_fleet,
):
    fleet = await start_fleet("complete", count=0, retry_safety=IDEMPOTENT, timeout=5.0)
    fleet.cut.state.retries = lambda service: retry_budget.RetryBudget(1, 0.0, 0.0)
    await fleet.add_scripted(1.7, *LATE)
    await fleet.add()
    caller = await fleet.cut.send_request(deadline_seconds=4.0)
    assert (caller.status, caller.body) == (200, b"late")
    assert fleet.requests == []


@pytest.mark.anyio
async def test_forward_to_a_silent_vm_is_not_given_up_for_a_vm_that_takes_no_link(start_fleet):
    fleet = await start_fleet("complete", count=0, retry_safety=IDEMPOTENT, timeout=5.0)
    await fleet.add_scripted(1.9, *LATE)
    (await fleet.add()).kill()
    await anyio.sleep(0.05)
    caller = await fleet.cut.send_request(deadline_seconds=4.0)
    assert (caller.status, caller.body) == (200, b"late")
    assert fleet.requests == []


@pytest.mark.anyio
async def test_silent_vm_that_goes_on_is_not_granted_a_run_beside_the_vm_that_replaced_it(
    start_fleet,
):
    fleet = await start_fleet("complete", count=0, retry_safety=IDEMPOTENT, timeout=5.0)
    silent = await fleet.add(SilentVm("vm-0"))
    replacing = await fleet.add(ReplacingVm("vm-1", fleet.servers, silent, **fleet.route))
    caller = await fleet.cut.send_request(deadline_seconds=4.0)
    assert caller.status == 200
    assert replacing.was_given_up
    assert len(fleet.requests) == 1


@pytest.mark.anyio
async def test_silent_vm_that_went_on_may_be_asked_again(start_fleet):
    fleet = await start_fleet(
        "complete", count=0, streaming=True, retry_safety=RESUMABLE, timeout=5.0
    )
    broken = [forwarded.ForwardedData(stream_body(1, 2)), forwarded.ForwardedBreak("broken off")]
    await fleet.add_scripted(1.5, head(streaming=True), *broken)
    with anyio.move_on_after(4.0):
        await fleet.cut.send_request(deadline_seconds=4.0)
    assert [message.resume_after for message in fleet.executing[0].messages] == [None, 2]


@pytest.mark.anyio
async def test_vm_that_waits_for_its_upstream_is_not_taken_for_silent(start_fleet):
    fleet = await start_fleet("complete", count=0, retry_safety=IDEMPOTENT, timeout=9.0)
    waiting = [0.8, forwarded.ForwardedWait(1)]
    end = [head(), forwarded.ForwardedData(b"late"), forwarded.ForwardedEnd(4)]
    await fleet.add_scripted(*waiting, *waiting, *end)
    await fleet.add()
    caller = await fleet.cut.send_request(deadline_seconds=9.0)
    assert (caller.status, caller.body) == (200, b"late")
    assert fleet.requests == []


@pytest.mark.anyio
async def test_executing_vm_says_that_it_waits_for_its_upstream(start_fleet):
    fleet = await start_fleet("silent", timeout=9.0)
    with anyio.move_on_after(0.1):
        await fleet.cut.send_request(deadline_seconds=9.0)
    link = await fleet.cut.links.acquire(fleet.executing[0].info.peer_address)
    await link.send(fleet.executing[0].messages[0])
    with anyio.fail_after(forward_client.SILENCE_SECONDS / 2):
        assert await link.receive() == forwarded.ForwardedWait(1)
    await link.close()


@pytest.mark.anyio
@pytest.mark.parametrize("retry_safety", list(request_types.RetrySafety))
async def test_request_that_no_byte_was_sent_of_goes_to_another_vm(start_fleet, retry_safety):
    fleet = await start_fleet("complete", count=2, retry_safety=retry_safety)
    fleet.executing[0].kill()
    await anyio.sleep(0.05)
    caller = await fleet.cut.send_request()
    assert caller.status == 200
    assert len(fleet.requests) == 1


@pytest.mark.anyio
async def test_declined_request_goes_to_one_more_vm(start_fleet):
    fleet = await start_fleet("complete", count=2)
    fleet.executing[0].state.leave(clock.now() - 10.0, 0.0)
    caller = await fleet.cut.send_request()
    assert caller.status == 200
    assert len(fleet.executing[0].messages) == 1


@pytest.mark.anyio
async def test_request_that_two_vms_decline_is_refused_with_the_shorter_time(start_fleet):
    fleet = await start_fleet("complete", count=0)
    for seconds in (2.0, 0.7):
        await fleet.add_scripted(
            forwarded.ForwardedRefusal("overloaded", seconds, "not_run", 0, [])
        )
    await fleet.add()
    caller = await fleet.cut.send_request()
    assert (caller.status, float(caller.headers[b"retry-after"])) == (503, 0.7)
    assert fleet.requests == []


@pytest.mark.anyio
async def test_refusal_after_a_possible_run_does_not_say_not_run(start_fleet):
    fleet = await start_fleet("complete", count=0, retry_safety=IDEMPOTENT, attempts=3)
    await fleet.add_scripted()
    for _ in range(2):
        await fleet.add_scripted(forwarded.ForwardedRefusal("overloaded", 1.0, "not_run", 0, []))
    caller = await fleet.cut.send_request()
    assert caller.status == 502


@pytest.mark.anyio
async def test_request_that_another_vm_knows_to_crash_upstreams_is_refused_at_once(start_fleet):
    fleet = await start_fleet("complete", count=0)
    refused = forwarded.ForwardedRefusal("crashing_request", 0.0, "not_run", 0, [])
    await fleet.add_scripted(refused)
    await fleet.add()
    assert (await fleet.cut.send_request()).status == 400
    assert fleet.requests == []


@pytest.mark.anyio
async def test_error_of_an_upstream_is_the_answer_after_other_vms_declined(start_fleet):
    fleet = await start_fleet("complete", count=0, retry_safety=IDEMPOTENT, attempts=3)
    failed = [head(500), forwarded.ForwardedData(b"failed"), forwarded.ForwardedEnd(6)]
    await fleet.add_scripted(*failed)
    refused = forwarded.ForwardedRefusal("overloaded", 1.0, "not_run", 0, [])
    for _ in range(2):
        await fleet.add_scripted(refused)
    fleet.cut.state.forwarding.once = "vm-0"
    caller = await fleet.cut.send_request()
    assert (caller.status, caller.body) == (500, b"failed")


@pytest.mark.anyio
async def test_vm_without_room_declines_at_once_with_the_time_to_return(start_fleet):
    fleet = await start_fleet("complete")
    room = fleet.executing[0].server._room
    taken = list(itertools.takewhile(lambda seconds: seconds is None, iter(room_begin(room), 0)))
    assert taken
    started_at = clock.now()
    caller = await fleet.cut.send_request()
    assert caller.status == 503
    assert float(caller.headers[b"retry-after"]) > 0.0
    assert clock.now() - started_at < 0.2
    assert fleet.requests == []


def room_begin(room):
    return lambda: room.begin(0.0)


@pytest.mark.anyio
@pytest.mark.parametrize("lacking", ["route", "service", "organisation", "configuration", "copies"])
async def test_vm_that_does_not_know_enough_declines(start_fleet, lacking):
    fleet = await start_fleet("complete")
    vm = fleet.executing[0]
    match lacking:
        case "route":
            vm.state.deployment.route_for = lambda host, path: None
        case "service":
            vm.state.deployment.services.clear()
        case "organisation":
            vm.state.deployment.organisations.clear()
        case "configuration":
            vm.state.deployment = None
        case "copies":
            vm.relay._copies._checker = test_relay.NeverCurrent()
            vm.state.freshness = NeverFresh()
    caller = await fleet.cut.send_request()
    assert caller.status == 503
    assert float(caller.headers[b"retry-after"]) > 0.0
    assert fleet.requests == []


@pytest.mark.anyio
async def test_caller_that_leaves_ends_the_request_at_the_upstream(start_fleet):
    fleet = await start_fleet("silent", timeout=9.0)
    with anyio.move_on_after(0.3):
        await fleet.cut.send_request(deadline_seconds=9.0)
    with anyio.fail_after(1.0):
        while not fleet.servers[0].closed_connections:
            await anyio.sleep(0.01)
    await anyio.sleep(0.05)
    assert fleet.executing[0].server.open_requests == 0


@pytest.mark.anyio
async def test_no_request_is_forwarded_for_a_caller_that_left(start_fleet):
    fleet = await start_fleet("complete")
    with pytest.raises(test_relay.errors.CallerLeftError):
        await fleet.cut.send_request(caller_left=True)
    await anyio.sleep(0.05)
    assert fleet.requests == []


@pytest.mark.anyio
async def test_request_that_lay_unread_until_it_was_given_up_is_not_sent_on(start_fleet):
    fleet = await start_fleet("complete")
    await fleet.cut.send_request("r-0")
    vm = fleet.executing[0]
    links = [await fleet.cut.links.acquire(vm.info.peer_address) for _ in range(5)]
    for link in links:
        await link.send(vm.messages[0])
        await link.close()
    await anyio.sleep(0.2)
    assert len(fleet.requests) == 1
    assert vm.server.open_requests == 0


@pytest.mark.anyio
async def test_stream_goes_on_at_another_vm_after_the_executing_one_is_killed(start_fleet):
    fleet = await start_fleet("complete", count=2, streaming=True, retry_safety=RESUMABLE)
    fleet.servers[0].events, fleet.servers[0].event_seconds = 40, 0.02
    async with anyio.create_task_group() as group:
        callers = []

        async def call():
            callers.append(await fleet.cut.send_request(deadline_seconds=3.0))

        group.start_soon(call)
        await anyio.sleep(0.3)
        fleet.executing[0].kill()
    assert (callers[0].body, callers[0].ended) == (stream_body(1, 40), True)
    second = fleet.executing[1].messages[0]
    assert second.resume_after > 0
    assert (second.software, second.runs_left) == ("v1", 1)


@pytest.mark.anyio
async def test_stream_goes_on_at_this_vm_once_it_reaches_the_upstreams(start_fleet):
    fleet = await start_fleet("complete", streaming=True, retry_safety=RESUMABLE)
    fleet.servers[0].events, fleet.servers[0].event_seconds = 40, 0.02
    async with anyio.create_task_group() as group:
        callers = []

        async def call():
            callers.append(await fleet.cut.send_request(deadline_seconds=3.0))

        group.start_soon(call)
        await anyio.sleep(0.3)
        fleet.cut.state.reachability.cut = False
        fleet.executing[0].kill()
    assert (callers[0].body, callers[0].ended) == (stream_body(1, 40), True)


@pytest.mark.anyio
async def test_forwarded_stream_does_not_go_on_at_another_software_version(start_fleet):
    fleet = await start_fleet(
        "interrupt", "complete", software=("v1", "v2"), streaming=True, retry_safety=RESUMABLE
    )
    test_relay.avoid(fleet.executing[0], fleet.servers[1])
    caller = await fleet.cut.send_request()
    assert caller.body == stream_body(1, 2)
    assert not caller.ended


@pytest.mark.anyio
async def test_events_of_another_software_version_are_not_passed_on(start_fleet):
    fleet = await start_fleet("complete", count=0, streaming=True, retry_safety=RESUMABLE)
    begun = forwarded.ForwardedData(stream_body(1, 2))
    await fleet.add_scripted(head(streaming=True), begun)
    rest = forwarded.ForwardedData(stream_body(3, 5))
    await fleet.add_scripted(head(streaming=True, software="v2"), rest)
    caller = await fleet.cut.send_request()
    assert (caller.body, caller.ended) == (stream_body(1, 2), False)


@pytest.mark.anyio
@pytest.mark.parametrize("streaming", [False, True])
@pytest.mark.parametrize("attempts", [1, 2, 3])
async def test_upstreams_run_a_forwarded_request_no_more_often_than_allowed(
    start_fleet, attempts, streaming
):
    safety = RESUMABLE if streaming else IDEMPOTENT
    fleet = await start_fleet(
        *["interrupt" if streaming else "reset"] * 5,
        count=3,
        attempts=attempts,
        streaming=streaming,
        retry_safety=safety,
    )
    await fleet.cut.send_request()
    assert len(fleet.requests) == attempts


@pytest.mark.anyio
async def test_sends_are_bounded_over_all_vms(start_fleet):
    fleet = await start_fleet(*["refuse"] * 8, count=3, retry_safety=IDEMPOTENT)
    caller = await fleet.cut.send_request()
    assert caller.status == 503
    assert 1 < len(fleet.requests) <= retry.MAX_SENDS


@pytest.mark.anyio
async def test_refusal_after_the_last_send_states_the_executing_vms_time_to_return(start_fleet):
    fleet = await start_fleet("complete", count=0)
    sends = retry.MAX_SENDS
    refused = forwarded.ForwardedRefusal("overloaded", 0.4, "not_run", sends, ["i-0"])
    await fleet.add_scripted(refused)
    await fleet.add()
    caller = await fleet.cut.send_request()
    assert (caller.status, float(caller.headers[b"retry-after"])) == (503, 0.4)
    assert fleet.requests == []


@contextlib.contextmanager
def unreachable_servers(fleet):
    """Yield servers with the fleet's names at addresses that take no connection.

    Their ports are bound, so that no other process can listen there meanwhile.
    """
    unreachable = [conftest.ServerStandIn(server.name) for server in fleet.servers]
    with contextlib.ExitStack() as held:
        for server in unreachable:
            port = held.enter_context(socket.socket())
            port.bind(("127.0.0.1", 0))
            server.address = f"127.0.0.1:{port.getsockname()[1]}"
        yield unreachable


@pytest.mark.anyio
@pytest.mark.parametrize("retry_safety", list(request_types.RetrySafety))
async def test_upstreams_that_a_vm_cannot_connect_to_are_tried_through_another_vm(
    start_fleet, retry_safety
):
    fleet = await start_fleet("complete", "complete", count=0, retry_safety=retry_safety)
    with unreachable_servers(fleet) as unreachable:
        await fleet.add(servers=unreachable)
        await fleet.add()
        caller = await fleet.cut.send_request()
    assert caller.status == 200
    assert [len(vm.messages) for vm in fleet.executing] == [1, 1]


@pytest.mark.anyio
async def test_vm_that_finds_itself_cut_off_soon_returns_what_it_has_taken(start_fleet):
    fleet = await start_fleet(*["complete"] * 3, count=0, timeout=5.0)
    hanging = [conftest.ServerStandIn(server.name) for server in fleet.servers]
    async with contextlib.AsyncExitStack() as stack:
        for server in hanging:
            proxy = test_unreachable_upstreams.UpstreamProxy("")
            await stack.enter_async_context(proxy.running())
            await proxy.cut(test_unreachable_upstreams.Cut.HANGING)
            server.address = proxy.address
        vm = await fleet.add(servers=hanging)
        await fleet.add()
        started_at = clock.now()
        async with anyio.create_task_group() as group:
            group.start_soon(find_cut_off, vm, 0.2)
            caller = await fleet.cut.send_request(deadline_seconds=4.0)
    assert caller.status == 200
    assert clock.now() - started_at < 2 * connection_pool.CONNECT_TIMEOUT_SECONDS


async def find_cut_off(vm, seconds, suspected_seconds=0.0):
    await anyio.sleep(seconds)
    vm.state.reachability.suspected = True
    await anyio.sleep(suspected_seconds)
    vm.state.reachability.cut = True


@pytest.mark.anyio
async def test_suspected_vm_uses_up_no_run_on_a_second_connection_that_hangs(start_fleet):
    route = {"streaming": True, "retry_safety": RESUMABLE, "timeout": 5.0, "attempts": 2}
    fleet = await start_fleet("complete", "complete", count=1, **route)
    silent = [conftest.ServerStandIn(server.name, "silent") for server in fleet.servers]
    async with contextlib.AsyncExitStack() as stack:
        for server in silent:
            await stack.enter_async_context(server.running())
            fleet.cut.register(server, life=2)
            connection = await fleet.cut.pool.acquire(server.address, 9, 0.0, "")
            fleet.cut.pool.release(server.address, connection)
            server.server.close()
        fleet.cut.state.reachability.cut = False
        async with anyio.create_task_group() as group:
            group.start_soon(find_cut_off, fleet.cut, 0.1, 1.5)
            caller = await fleet.cut.send_request(deadline_seconds=4.0)
    assert sum(len(server.requests) for server in silent) == 1
    assert caller.ended and len(fleet.requests) == 1


@pytest.mark.anyio
async def test_upstream_that_failed_is_not_tried_again_through_another_vm(start_fleet):
    fleet = await start_fleet("reset", "complete", count=2, retry_safety=IDEMPOTENT)
    test_relay.avoid(fleet.executing[0], fleet.servers[1])
    caller = await fleet.cut.send_request()
    assert (caller.status, caller.body) == (200, b"done by i-1")
    assert [len(server.requests) for server in fleet.servers] == [1, 1]


@pytest.mark.anyio
async def test_error_of_the_last_upstream_is_forwarded(start_fleet):
    fleet = await start_fleet("error", attempts=1, retry_safety=IDEMPOTENT)
    caller = await fleet.cut.send_request()
    assert (caller.status, caller.body) == (500, b"failed")


@pytest.mark.anyio
async def test_repeated_event_of_another_vm_is_not_passed_on(start_fleet):
    fleet = await start_fleet("complete", count=0, streaming=True, retry_safety=RESUMABLE)
    await fleet.add_scripted(
        head(streaming=True), forwarded.ForwardedData(stream_body(1, 2) + stream_body(2, 5))
    )
    await fleet.add()
    caller = await fleet.cut.send_request()
    assert (caller.body, caller.ended) == (stream_body(1, 5), True)


@pytest.mark.anyio
async def test_slow_caller_holds_up_the_upstream_and_receives_everything(start_fleet):
    fleet = await start_fleet("complete", streaming=True, retry_safety=RESUMABLE, timeout=9.0)
    fleet.servers[0].events, fleet.servers[0].event_seconds = 300, 0.0
    caller = test_relay.Caller()
    record = caller.send

    async def send_slowly(message):
        await anyio.sleep(0.005)
        await record(message)

    caller.send = send_slowly
    request = request_types.Request(
        "r-1",
        b"POST",
        b"/x",
        "h",
        "/x",
        ((b"x-request-id", b"r-1"), (b"x-model", b"m")),
        b"",
        "key",
        9.0,
        request_types.Prompt("m", (request_types.Part("b", 10),), 10, 5),
    )
    response = test_relay.responses.ResponseWriter(
        caller.send, test_relay.ingress.encode_refusal, lambda: False
    )
    await fleet.cut.relay.serve(request, response)
    assert (caller.body, caller.ended) == (stream_body(1, 300), True)


@pytest.mark.anyio
async def test_nothing_is_forwarded_while_no_vm_is_known_to_reach_the_service(start_fleet):
    fleet = await start_fleet("complete")
    fleet.cut.state.forwarding.vms.clear()
    assert (await fleet.cut.send_request()).status == 200
    assert fleet.executing[0].messages == []


@pytest.mark.anyio
async def test_internal_error_of_the_executing_vm_ends_one_request_only(start_fleet, monkeypatch):
    fleet = await start_fleet("complete")
    vm = fleet.executing[0]
    with monkeypatch.context() as patched:
        patched.setattr(vm.relay, "serve_delegated", None)
        assert (await fleet.cut.send_request("r-1")).status == 502
    assert (await fleet.cut.send_request("r-2")).status == 200


@pytest.mark.anyio
async def test_both_vms_log_and_count_a_forwarded_request(start_fleet, log_messages):
    fleet = await start_fleet("complete")
    await fleet.cut.send_request("r-77")
    await anyio.sleep(0.05)
    of_request = [line for line in log_messages if line.get("request") == "r-77"]
    assert [line["text"] for line in of_request if "ended" not in line["text"]] == [
        "request: forwarded",
        "request: taken from another VM",
        "request: sent",
    ]
    ends = [line for line in of_request if line["text"] == "request: ended"]
    assert {line.get("through") for line in ends} == {"vm-0", None}
    assert {line.get("admitted_by") for line in ends} == {"vm-cut", None}
    assert "hollyring_forwarded_total 1\n" in fleet.cut.metrics.render()
    assert "hollyring_taken_total 1\n" in fleet.executing[0].metrics.render()
    counters = fleet.cut.metrics.dump()["counters"]
    assert counters["forwarded_bytes"] > 100
    assert "forwarded_bytes_between_failure_domains" not in counters


@pytest.mark.anyio
async def test_bytes_that_leave_the_failure_domain_are_counted(start_fleet):
    fleet = await start_fleet("complete")
    [info] = fleet.cut.state.forwarding.vms
    fleet.cut.state.forwarding.vms = [dataclasses.replace(info, failure_domain="dar-b")]
    await fleet.cut.send_request()
    counters = fleet.cut.metrics.dump()["counters"]
    far_bytes = counters["forwarded_bytes_between_failure_domains"]
    assert far_bytes == counters["forwarded_bytes"] > 100


@pytest.mark.anyio
async def test_bytes_that_a_vm_carried_for_others_are_counted_after_each_request(start_fleet):
    fleet = await start_fleet("complete")
    await fleet.cut.send_request()
    await anyio.sleep(0.05)
    assert fleet.executing[0].metrics.dump()["counters"]["taken_bytes"] > 100


class UnexpectedError(Exception):
    """An error that no code expects."""


def fail_to_forward(monkeypatch, times):
    """Make the first requests to other VMs fail before they are sent."""
    to_wire = forwarded.to_wire
    failed = []

    def fail(headers):
        if len(failed) < times:
            failed.append(headers)
            raise UnexpectedError
        return to_wire(headers)

    monkeypatch.setattr(forwarded, "to_wire", fail)
    return failed


@pytest.mark.anyio
@pytest.mark.parametrize("retry_safety", [AT_MOST_ONCE, IDEMPOTENT])
async def test_request_goes_to_another_vm_after_an_error_before_it_is_forwarded(
    start_fleet, monkeypatch, retry_safety
):
    fleet = await start_fleet("complete", count=2, retry_safety=retry_safety)
    fail_to_forward(monkeypatch, 1)
    caller = await fleet.cut.send_request()
    assert (caller.status, caller.body, caller.ended) == (200, b"done by i-0", True)


@pytest.mark.anyio
async def test_request_is_refused_after_an_error_of_the_answer_through_another_vm(
    start_fleet, monkeypatch
):
    fleet = await start_fleet("complete", retry_safety=AT_MOST_ONCE)
    monkeypatch.setattr(forwarded, "from_wire", None)
    caller = await fleet.cut.send_request()
    assert (caller.status, caller.ended) == (502, True)


@pytest.mark.anyio
async def test_silent_stream_goes_on_after_an_error_of_the_forward_beside_it(
    start_fleet, monkeypatch
):
    fleet = await start_fleet(streaming=True, retry_safety=RESUMABLE)
    failed = fail_to_forward(monkeypatch, 9)
    server = test_silent_servers.PausingServer("i-0", pause_seconds=1.6)
    callers = []
    async with server.running(), anyio.create_task_group() as group:
        fleet.cut.register(server)
        fleet.cut.state.reachability.cut = False

        async def send():
            callers.append(await fleet.cut.send_request(deadline_seconds=5.0))

        group.start_soon(send)
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not server.events_at:
                await anyio.sleep(0.01)
        fleet.cut.state.reachability.cut = True
    assert failed
    assert (callers[0].body, callers[0].ended) == (test_silent_servers.WHOLE, True)
