"""Tests of the request path with the adapter's codecs, against stand-ins."""

import contextlib
import functools
import json
import math
import socket

import anyio
import pytest

from hollyring.configuration import deployment
from hollyring.core import invariants, request_types
from hollyring.fleet import messages as fleet
from hollyring.fleet import rollout, rollout_limits
from hollyring.limits import service_retry_budgets
from hollyring.membership import heartbeat, leases, peer_table
from hollyring.node import (
    cache_watcher,
    clock,
    connection_pool,
    errors,
    exchanges,
    metrics,
    relay,
    responses,
    rollout_controller,
    send_permits,
    state,
)
from hollyring.platform import documents, ingress, upstreams
from hollyring.platform.tests import conftest
from hollyring.routing import read_speeds, registry, software_versions

RETRY_RULES = service_retry_budgets.RetryRules(0.2, 500.0, 10.0)


class Caller:
    """Records the response that one caller receives."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.ended = False

    async def send(self, message):
        if message["type"] == "http.response.start":
            assert self.status is None
            self.status = message["status"]
            self.headers = dict(message["headers"])
            return
        self.body += message.get("body", b"")
        self.ended = not message.get("more_body", False)


class AlwaysCurrent:
    """Implementation of `recent_copies.CopyChecker` for a VM without a store."""

    def __init__(self, vm_state):
        self._state = vm_state

    async def wait_current(self, until):
        return True

    async def wait_versions(self, until, taken_up_at):
        for prefix in (documents.STORE_KEYS.upstreams, documents.STORE_KEYS.vms):
            self._state.freshness.record(prefix, clock.now())


class NotYetCurrent:
    """Implementation of `recent_copies.CopyChecker` for a VM that waits for its store."""

    async def wait_current(self, until):
        await anyio.sleep_forever()


class NeverCurrent:
    """Implementation of `recent_copies.CopyChecker` for a VM that must not use its old copies."""

    async def wait_current(self, until):
        return False


class Store:
    """Implementation of `recent_copies.CopyChecker` whose answer is a change of an upstream."""

    def __init__(self):
        self.change = None

    async def wait_current(self, until):
        self.change()
        return True


class RelayVm:
    """A VM's state and relay, with `servers` registered."""

    def __init__(self, servers, checker=None, **route):
        self.state = state.State(
            heartbeat.VmInfo("vm-1", 1, "c", "p", "dar-a", "dar"),
            documents.DocumentCodec(),
            documents.STORE_KEYS,
            RETRY_RULES,
        )
        self.configure(**route)
        for server in servers:
            self.register(server)
        self.pool = connection_pool.ConnectionPool()
        self.permits = send_permits.SendPermits(self.state, None)
        self.relay = relay.Relay(
            self.state,
            upstreams.HttpUpstreamCodec(),
            self.pool,
            metrics.Metrics(),
            checker or AlwaysCurrent(self.state),
            self.permits,
        )

    def register(self, server, life=1, leaving=False):
        streaming = self.state.deployment.services["s"].engine is not None
        versions = {"m": server.version} if streaming else {}
        self.state.registry.put(
            registry.Entry(
                server.name,
                "s",
                server.address,
                "dar-a",
                8,
                leaving,
                life,
                versions,
                server.software,
            )
        )

    def configure(
        self,
        retry_safety=request_types.RetrySafety.AT_MOST_ONCE,
        attempts=2,
        timeout=3.0,
        rate=0.0,
        streaming=False,
    ):
        engine = deployment.Engine(8, 100_000, 8, 1e9, ("m",)) if streaming else None
        self.state.deployment = deployment.Deployment(
            1,
            [
                deployment.Route(
                    "r",
                    "h",
                    "/",
                    retry_safety,
                    streaming,
                    timeout,
                    0.2,
                    2,
                    (deployment.Split("s", 1.0),),
                    attempts,
                    False,
                )
            ],
            [deployment.Service("s", 100, engine=engine)],
            [deployment.Organisation("org", ("key",), rate, rate, False, 0, False, None)],
            deployment.RequestLimits(),
            True,
        )
        self.state.selector.configure(self.state.deployment)

    async def send_request(
        self,
        request_id="r-1",
        api_key="key",
        deadline_seconds=2.0,
        path="/x?y=%20",
        headers=(),
        caller_left=False,
        resume_after=None,
        method=b"POST",
    ):
        caller = Caller()
        prompt = None
        current = self.state.deployment
        if current and current.services["s"].engine:
            prompt = request_types.Prompt(
                "m", (request_types.Part("a", 100), request_types.Part("b", 10)), 110, 5
            )
        all_headers = ((b"x-request-id", request_id.encode()), *headers)
        if prompt:
            all_headers += ((b"x-model", b"m"),)
        request = request_types.Request(
            request_id,
            method,
            path.encode(),
            "h",
            path.partition("?")[0],
            all_headers,
            b"body",
            api_key,
            deadline_seconds,
            prompt,
            resume_after,
        )
        response = responses.ResponseWriter(
            caller.send, ingress.encode_refusal, lambda: False, lambda: caller_left
        )
        with contextlib.suppress(responses.IncompleteResponseError):
            await self.relay.serve(request, response)
        return caller


@pytest.fixture
async def start_vm():
    """Yield a function that starts servers with the given behaviours and a VM."""
    async with contextlib.AsyncExitStack() as stack:

        async def start(*behaviours, software=(), **route):
            stand_ins = [
                conftest.ServerStandIn(f"i-{n}", behaviour)
                for n, behaviour in enumerate(behaviours)
            ]
            for stand_in, version in zip(stand_ins, software, strict=False):
                stand_in.software = version
            running = [await stack.enter_async_context(s.running()) for s in stand_ins]
            return RelayVm(running, **route), running

        yield start


def request_count(servers):
    return sum(len(server.requests) for server in servers)


@pytest.mark.anyio
async def test_response_is_forwarded_unchanged_with_its_signature(start_vm):
    vm, servers = await start_vm("complete")
    caller = await vm.send_request()
    assert (caller.status, caller.body, caller.ended) == (200, b"done by i-0", True)
    assert caller.headers[b"x-response-seal"] == conftest.SEAL.encode()
    received = servers[0].requests[0]
    assert (received.path, received.query, received.body) == ("/x", {"y": "%20"}, b"body")
    assert received.headers["x-tenant"] == "org"
    assert received.headers["x-expect-instance"] == "i-0"
    assert 1500 < int(received.headers["x-deadline-ms"]) <= 2000
    assert "authorization" not in received.headers


@pytest.mark.anyio
async def test_reserved_headers_from_caller_are_not_forwarded(start_vm):
    vm, servers = await start_vm("complete")
    reserved = [b"x-tenant", b"x-hold", b"x-pin-ms", b"x-kv-backup", b"kv-from", b"x-cache-salt"]
    reserved += [b"x-request-priority", b"x-expect-version", b"authorization", b"connection"]
    await vm.send_request(headers=[(name, b"spoofed") for name in reserved])
    assert "spoofed" not in servers[0].requests[0].headers.values()


@pytest.mark.anyio
@pytest.mark.parametrize("retry_safety", list(request_types.RetrySafety))
@pytest.mark.parametrize("behaviour", ["refuse", "misdirect"])
async def test_request_that_was_not_run_is_sent_to_another_upstream(
    start_vm, retry_safety, behaviour
):
    vm, servers = await start_vm(behaviour, "complete", retry_safety=retry_safety, attempts=1)
    for number in range(6):
        caller = await vm.send_request(f"r-{number}")
        assert caller.status == 200


@pytest.mark.anyio
async def test_late_second_refusal_is_not_the_answer_when_the_request_is_sent_again(start_vm):
    vm, servers = await start_vm("refuse-first")
    servers[0].repeats = True
    caller = await vm.send_request()
    assert (caller.status, caller.body) == (200, b"done by i-0")
    assert request_count(servers) == 2


@pytest.mark.anyio
async def test_late_second_answer_to_a_request_is_not_the_answer_to_a_call(start_vm):
    vm, servers = await start_vm("complete")
    servers[0].repeats = True
    await vm.send_request("r-1")
    request = upstreams.HttpUpstreamCodec().encode_report_request(servers[0].address)
    report = await vm.pool.call(servers[0].address, request, 0.5)
    caller = await vm.send_request("r-2")
    assert json.loads(report.body) == servers[0].report()
    assert (caller.status, caller.body) == (200, b"done by i-0")


@pytest.mark.anyio
async def test_late_second_answer_to_a_call_is_not_the_answer_to_a_request(start_vm):
    vm, servers = await start_vm("complete")
    servers[0].repeats = True
    request = upstreams.HttpUpstreamCodec().encode_report_request(servers[0].address)
    await vm.pool.call(servers[0].address, request, 0.5)
    caller = await vm.send_request()
    assert (caller.status, caller.body) == (200, b"done by i-0")


@pytest.mark.anyio
async def test_late_second_report_is_not_the_next_report(start_vm):
    vm, servers = await start_vm("complete")
    servers[0].repeats = True
    request = upstreams.HttpUpstreamCodec().encode_report_request(servers[0].address)
    await vm.pool.call(servers[0].address, request, 0.5)
    servers[0].version = 2
    with pytest.raises(exchanges.HttpConnectionError):
        await vm.pool.call(servers[0].address, request, 0.5)
    report = await vm.pool.call(servers[0].address, request, 0.5)
    assert json.loads(report.body) == servers[0].report()


@pytest.mark.anyio
async def test_second_report_whose_follower_is_late_counts_for_one_call_only(start_vm):
    vm, servers = await start_vm("complete")
    request = upstreams.HttpUpstreamCodec().encode_report_request(servers[0].address)
    first = await vm.pool.call(servers[0].address, request, 0.5)
    (writer,) = servers[0].readers
    servers[0].handle, answer = functools.partial(repeat, first.body), servers[0].handle
    servers[0].version = 2
    assert (await vm.pool.call(servers[0].address, request, 0.5)).body == first.body
    await answer(servers[0].requests[-1], writer)
    servers[0].handle = answer
    await anyio.sleep(0.05)
    report = await vm.pool.call(servers[0].address, request, 0.5)
    assert json.loads(report.body) == servers[0].report()


async def repeat(body, request, writer):
    writer.write(conftest.encode_response(200, body))


@pytest.mark.anyio
async def test_late_second_report_is_not_the_answer_to_an_order(start_vm, monkeypatch):
    vm, servers = await start_vm("complete")
    servers[0].repeats = True
    codec = upstreams.HttpUpstreamCodec()
    request = codec.encode_report_request(servers[0].address)
    await vm.pool.call(servers[0].address, request, 0.5)
    monkeypatch.setattr(leases.LeaseClient, "fencing", lambda *_: 41)
    controller = rollout_controller.RolloutController(
        vm.state, None, None, codec, vm.pool, lambda: None, vm.permits
    )
    change = fleet.LoadModel("m", "2")
    superseded = fleet.Order("id", 41, "i-0", change, clock.now() + 1.0, expected=7)
    upstream = vm.state.registry.get("i-0")
    assert await controller._send(upstream, superseded) is fleet.Outcome.CONFLICT


@pytest.mark.anyio
async def test_request_that_no_upstream_ran_is_refused_immediately_with_retry_after(start_vm):
    vm, _ = await start_vm("refuse", "refuse")
    with anyio.fail_after(1.0):
        caller = await vm.send_request()
    assert caller.status == 503
    assert float(caller.headers[b"retry-after"]) > 0


@pytest.mark.anyio
@pytest.mark.parametrize("behaviour", ["reset", "unsealed", "silent"])
async def test_at_most_once_request_that_may_have_run_is_not_retried_or_refused(
    start_vm, behaviour
):
    vm, servers = await start_vm(behaviour, behaviour, attempts=3, timeout=0.6)
    caller = await vm.send_request(deadline_seconds=0.6)
    assert request_count(servers) == 1
    assert caller.status in (502, 504)
    assert b"retry-after" not in caller.headers


@pytest.mark.anyio
async def test_refusal_never_says_not_run_after_an_attempt_that_may_have_run(start_vm):
    """An attempt of an idempotent request fails midway, then every upstream refuses it."""
    vm, servers = await start_vm(
        "reset", "refuse", retry_safety=request_types.RetrySafety.IDEMPOTENT, attempts=2
    )
    for number in range(10):
        caller = await vm.send_request(f"r-{number}")
        sent = any(r.headers["x-request-id"] == f"r-{number}" for r in servers[0].requests)
        assert caller.status == (502 if sent else 503)


@pytest.mark.anyio
@pytest.mark.parametrize("behaviour", ["reset", "unsealed", "silent", "error"])
async def test_idempotent_request_is_retried_at_another_upstream(start_vm, behaviour):
    vm, servers = await start_vm(
        behaviour, "complete", retry_safety=request_types.RetrySafety.IDEMPOTENT
    )
    for number in range(4):
        caller = await vm.send_request(f"r-{number}", deadline_seconds=2.0)
        assert (caller.status, caller.body) == (200, b"done by i-1")


@pytest.mark.anyio
async def test_upstream_that_returns_errors_is_avoided(start_vm):
    """Each failure costs time and a retry even if another upstream serves the request."""
    vm, servers = await start_vm(
        "error", "complete", retry_safety=request_types.RetrySafety.IDEMPOTENT
    )
    servers[1].delay_seconds = 0.03
    for number in range(10):
        async with anyio.create_task_group() as group:
            for part in "abcd":
                group.start_soon(vm.send_request, f"r-{number}-{part}")
    assert request_count(servers[:1]) <= 10


@pytest.mark.anyio
async def test_upstream_error_response_is_forwarded_after_the_last_attempt(start_vm):
    vm, servers = await start_vm(
        "error", "error", retry_safety=request_types.RetrySafety.IDEMPOTENT
    )
    caller = await vm.send_request()
    assert (caller.status, caller.body) == (500, b"failed")
    assert request_count(servers) == 2


@pytest.mark.anyio
async def test_stream_is_forwarded_completely(start_vm):
    vm, _ = await start_vm("complete", streaming=True)
    caller = await vm.send_request()
    assert caller.body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
    assert caller.ended


@pytest.mark.anyio
async def test_resumable_stream_resumes_at_another_upstream(start_vm):
    vm, servers = await start_vm(
        "interrupt", "complete", streaming=True, retry_safety=request_types.RetrySafety.RESUMABLE
    )
    for number in range(4):
        vm.state.registry.get("i-1").record_failure(clock.now())
        caller = await vm.send_request(f"r-{number}")
        assert caller.body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
        assert caller.ended
    resumed = [r for r in servers[1].requests if "last-event-id" in r.headers]
    assert {r.headers["last-event-id"] for r in resumed} == {"2"}


@pytest.mark.anyio
async def test_stream_has_no_bytes_of_an_attempt_that_broke_within_its_first_event(start_vm):
    vm, servers = await start_vm(
        "interrupt", "complete", streaming=True, retry_safety=request_types.RetrySafety.RESUMABLE
    )
    servers[0].interrupted_event = 1
    vm.state.registry.get("i-1").record_failure(clock.now())
    caller = await vm.send_request()
    assert request_count(servers) == 2
    assert caller.body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
    assert caller.ended


@pytest.mark.anyio
async def test_stream_is_whole_after_an_upstream_repeated_an_event(start_vm):
    vm, servers = await start_vm(
        "repeat", "complete", streaming=True, retry_safety=request_types.RetrySafety.RESUMABLE
    )
    vm.state.registry.get("i-1").record_failure(clock.now())
    caller = await vm.send_request()
    assert request_count(servers) == 2
    assert caller.body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
    assert caller.ended


@pytest.mark.anyio
@pytest.mark.parametrize("software", [("v1", "v2", "v1"), ("v1", "v2", "v2")])
async def test_stream_does_not_go_on_at_another_software_version(start_vm, software):
    vm, servers = await start_vm(
        "interrupt",
        "complete",
        "complete",
        software=software,
        streaming=True,
        retry_safety=request_types.RetrySafety.RESUMABLE,
    )
    for server in servers[1:]:
        vm.state.registry.get(server.name).record_failure(clock.now())
    with anyio.fail_after(1.0):
        caller = await vm.send_request()
    whole = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
    assert [len(server.requests) for server in servers] == [1, 0, software.count("v1") - 1]
    assert caller.ended == (software.count("v1") > 1)
    assert caller.body == (whole if caller.ended else b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")


@pytest.mark.anyio
async def test_stream_does_not_go_on_at_an_upstream_that_started_again_with_another_version(
    start_vm,
):
    vm, servers = await start_vm(
        "interrupt",
        "complete",
        software=("v1", "v1"),
        streaming=True,
        retry_safety=request_types.RetrySafety.RESUMABLE,
    )
    vm.state.registry.get("i-1").record_failure(clock.now())
    servers[0].born = 1
    servers[1].software, servers[1].born = "v2", 2
    caller = await vm.send_request()
    assert caller.body == b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
    assert not caller.ended


@pytest.mark.anyio
@pytest.mark.parametrize("software", ["v1", "v2"])
async def test_stream_of_an_upstream_that_started_again_before_its_answer_is_not_passed_on(
    start_vm, software
):
    vm, servers = await start_vm(
        "interrupt",
        "complete",
        software=("v1", "v1"),
        streaming=True,
        retry_safety=request_types.RetrySafety.RESUMABLE,
    )
    vm.state.registry.get("i-1").record_failure(clock.now())
    servers[1].delay_seconds = 0.3

    async def start_again():
        while not servers[1].requests:
            await anyio.sleep(0.01)
        servers[1].software = software
        vm.register(servers[1], life=2)

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(start_again)
        caller = await vm.send_request()
    whole = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
    assert caller.body in (b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", whole)
    assert software == "v1" or caller.body != whole


@pytest.mark.anyio
async def test_request_for_an_upstream_that_is_known_to_have_started_again_is_not_sent(
    start_vm, monkeypatch
):
    vm, servers = await start_vm(
        "interrupt",
        "complete",
        software=("v1", "v1"),
        streaming=True,
        retry_safety=request_types.RetrySafety.RESUMABLE,
    )
    vm.state.registry.get("i-1").record_failure(clock.now())
    connect = vm.pool._connect

    async def connect_after_restart(address, *args):
        if address == servers[1].address and servers[1].software == "v1":
            servers[1].software = "v2"
            vm.register(servers[1], life=2)
        return await connect(address, *args)

    monkeypatch.setattr(
        connection_pool.ConnectionPool, "_connect", lambda _, *a: connect_after_restart(*a)
    )
    caller = await vm.send_request()
    assert servers[1].software == "v2" and not servers[1].requests
    assert caller.body == b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"


@pytest.mark.anyio
@pytest.mark.parametrize("behaviour", ["refuse", "reset"])
async def test_stream_taken_up_does_not_go_on_at_a_version_that_appears_after_its_admission(
    start_vm, behaviour
):
    vm, servers = await start_vm(
        behaviour,
        "complete",
        software=("v1", "v2"),
        streaming=True,
        retry_safety=request_types.RetrySafety.RESUMABLE,
    )
    servers[0].delay_seconds = 0.1
    vm.state.registry.remove(servers[1].name)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(register_later, vm, servers[1], 0.05)
        caller = await vm.send_request(resume_after=2)
    assert servers[1].requests == []
    assert caller.status in (502, 503)


def record_software(vm, *versions):
    """Let the VM know which software versions are in the record."""
    vm.state.observe_software(clock.now())
    record = software_versions.Record(1, {"s": frozenset(versions)})
    vm.state.software_versions.restore(record, True, clock.now())


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("retry_safety", "sent"),
    [
        (request_types.RetrySafety.RESUMABLE, [6, 0]),
        (request_types.RetrySafety.AT_MOST_ONCE, [0, 6]),
    ],
)
async def test_no_resumable_stream_begins_at_a_version_that_is_not_recorded_yet(
    start_vm, retry_safety, sent
):
    vm, servers = await start_vm(
        "complete", "complete", software=("v1", "v2"), streaming=True, retry_safety=retry_safety
    )
    record_software(vm, "v1")
    vm.state.registry.get("i-0").record_failure(clock.now())
    for number in range(6):
        caller = await vm.send_request(f"r-{number}")
        assert caller.status == 200
    assert [len(server.requests) for server in servers] == sent
    record_software(vm, "v1", "v2")
    await anyio.sleep(software_versions.SETTLE_SECONDS)
    await vm.send_request("r-9")
    assert len(servers[1].requests) == sent[1] + 1


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("retry_safety", "status"),
    [(request_types.RetrySafety.RESUMABLE, 503), (request_types.RetrySafety.AT_MOST_ONCE, 200)],
)
async def test_vm_that_is_cut_off_for_long_begins_no_stream_that_another_vm_may_go_on_with(
    start_vm, monkeypatch, retry_safety, status
):
    vm, servers = await start_vm("complete", streaming=True, retry_safety=retry_safety)
    cut_at = clock.now() - software_versions.MAX_BEGIN_AGE_SECONDS - 0.1
    monkeypatch.setattr(peer_table.PeerTable, "reaches_most", lambda *_: False)
    for prefix in (documents.STORE_KEYS.upstreams, documents.STORE_KEYS.vms):
        vm.state.freshness.record(prefix, cut_at)
    caller = await vm.send_request("r-1")
    assert caller.status == status
    assert request_count(servers) == (status == 200)
    for prefix in (documents.STORE_KEYS.upstreams, documents.STORE_KEYS.vms):
        vm.state.freshness.record(prefix, clock.now())
    assert (await vm.send_request("r-2")).status == 200


@pytest.mark.anyio
@pytest.mark.parametrize("recorded_after", [0.3, math.inf])
async def test_stream_waits_for_the_record_of_the_only_version_and_not_for_long(
    start_vm, recorded_after
):
    vm, servers = await start_vm(
        "complete",
        software=("v2",),
        streaming=True,
        retry_safety=request_types.RetrySafety.RESUMABLE,
    )
    record_software(vm, "v1")
    started_at = clock.now()
    async with anyio.create_task_group() as task_group:
        if recorded_after < math.inf:
            task_group.start_soon(record_later, vm, recorded_after)
        caller = await vm.send_request()
    assert caller.ended and caller.status == 200 and len(servers[0].requests) == 1
    waited = software_versions.MAX_UNRECORDED_SECONDS
    if recorded_after < math.inf:
        waited = recorded_after + software_versions.SETTLE_SECONDS
    assert waited <= clock.now() - started_at < waited + 0.5


async def record_later(vm, seconds):
    await anyio.sleep(seconds)
    record_software(vm, "v1", "v2")


async def register_later(vm, server, seconds):
    await anyio.sleep(seconds)
    vm.register(server)


@pytest.mark.anyio
@pytest.mark.parametrize("behaviour", ["error", "not-found"])
async def test_started_stream_goes_on_after_an_upstream_that_answers_its_resumption_with_an_error(
    start_vm, behaviour
):
    vm, servers = await start_vm(
        "interrupt",
        behaviour,
        "complete",
        streaming=True,
        retry_safety=request_types.RetrySafety.RESUMABLE,
        attempts=3,
    )
    vm.state.registry.get("i-1").record_failure(clock.now())
    for _ in range(2):
        vm.state.registry.get("i-2").record_failure(clock.now())
    caller = await vm.send_request()
    assert [len(server.requests) for server in servers] == [1, 1, 1]
    assert caller.body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
    assert caller.ended


@pytest.mark.anyio
@pytest.mark.parametrize("behaviour", ["error", "not-found"])
async def test_started_stream_is_not_ended_after_its_last_upstream_answers_with_an_error(
    start_vm, behaviour
):
    vm, servers = await start_vm(
        "interrupt", behaviour, streaming=True, retry_safety=request_types.RetrySafety.RESUMABLE
    )
    vm.state.registry.get("i-1").record_failure(clock.now())
    caller = await vm.send_request()
    assert request_count(servers) == 2
    assert (caller.status, caller.body) == (200, b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
    assert not caller.ended


@pytest.mark.anyio
async def test_resumed_stream_waits_where_a_new_one_is_refused(start_vm):
    vm, _ = await start_vm(
        "complete", streaming=True, retry_safety=request_types.RetrySafety.RESUMABLE
    )
    queued = int(0.5 * read_speeds.INITIAL_TOKENS_PER_SECOND)
    load = registry.PeerLoad(8, 0, queued, 0.0, clock.now())
    vm.state.registry.get("i-0").peers["vm-2"] = load
    assert (await vm.send_request("r-1")).status == 503
    resumed = await vm.send_request("r-2", resume_after=2)
    assert resumed.body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(3, 6))


@pytest.mark.anyio
async def test_interrupted_at_most_once_stream_is_not_ended_or_retried(start_vm):
    vm, servers = await start_vm("interrupt", "interrupt", streaming=True)
    caller = await vm.send_request()
    assert caller.body == b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
    assert not caller.ended
    assert request_count(servers) == 1


@pytest.mark.anyio
async def test_caller_disconnect_closes_the_upstream_connection(start_vm):
    vm, servers = await start_vm("silent")
    with anyio.move_on_after(0.2):
        await vm.send_request()
    await anyio.sleep(0.2)
    assert servers[0].closed_connections == 1
    assert vm.state.registry.get("i-0").open_requests == 0


@contextlib.contextmanager
def unreachable_address():
    """Yield an address on which connections are neither accepted nor refused."""
    with socket.socket() as listener, socket.socket() as first, socket.socket() as second:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        for waiting in (first, second):
            waiting.setblocking(False)
            waiting.connect_ex(address)
        yield f"127.0.0.1:{address[1]}"


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("reachable", "code"), [(True, b"upstream_failed"), (False, b"leaving")], ids=["sent", "unsent"]
)
async def test_request_open_when_the_process_ends_is_refused_as_run_only_if_it_was_sent(
    start_vm, reachable, code
):
    vm, servers = await start_vm("silent")
    callers = []

    async def send():
        callers.append(await vm.send_request())

    with unreachable_address() as address, anyio.fail_after(1.0):
        if not reachable:
            servers[0].address = address
            vm.register(servers[0], life=2)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(send)
            await anyio.sleep(0.1)
            vm.relay.stop()
    assert (callers[0].ended, callers[0].status) == (True, 502 if reachable else 503)
    assert callers[0].body == b'{"error":"%s"}' % code
    assert request_count(servers) == int(reachable)


@pytest.mark.anyio
async def test_request_that_waits_for_the_store_is_refused_when_the_process_ends(start_vm):
    vm, servers = await start_vm("complete", checker=NotYetCurrent())
    callers = []

    async def send():
        callers.append(await vm.send_request())

    with anyio.fail_after(1.0):
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(send)
            await anyio.sleep(0.1)
            vm.relay.stop()
    assert callers[0].status == 503
    assert request_count(servers) == 0


@pytest.mark.anyio
async def test_no_attempt_is_made_for_a_caller_that_left_and_its_connection_is_kept(start_vm):
    vm, servers = await start_vm("complete")
    await vm.send_request("r-1")
    opened = vm.pool.opened
    with pytest.raises(errors.CallerLeftError):
        await vm.send_request("r-2", caller_left=True)
    await vm.send_request("r-3")
    assert [r.headers["x-request-id"] for r in servers[0].requests] == ["r-1", "r-3"]
    assert vm.pool.opened == opened


@pytest.mark.anyio
async def test_final_response_is_sent_at_the_route_timeout(start_vm):
    vm, _ = await start_vm("silent", timeout=0.4)
    with anyio.fail_after(0.6):
        caller = await vm.send_request(deadline_seconds=5.0)
    assert caller.status == 504


@pytest.mark.anyio
@pytest.mark.parametrize(("key", "path", "status"), [("no", "/x", 401), ("key", "/x", 200)])
async def test_only_valid_api_key_is_accepted(start_vm, key, path, status):
    vm, servers = await start_vm("complete")
    caller = await vm.send_request(api_key=key, path=path)
    assert caller.status == status
    assert request_count(servers) == (status == 200)


@pytest.mark.anyio
async def test_request_over_the_rate_is_refused_immediately_with_retry_after(start_vm):
    vm, servers = await start_vm("complete", rate=1.0)
    # A rate of 1 and a burst of 1 allow nine requests within the window of eight seconds.
    for number in range(9):
        assert (await vm.send_request(f"r-{number}")).status == 200
    caller = await vm.send_request("r-9")
    assert caller.status == 429
    assert 7.0 < float(caller.headers[b"retry-after"]) <= 8.25
    assert request_count(servers) == 9


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("since", "deadline_seconds", "status"), [(1.0, 6.0, 200), (3.0, 6.0, 503), (3.0, 3.0, 200)]
)
async def test_leaving_vm_refuses_requests_that_it_may_not_finish(
    start_vm, since, deadline_seconds, status
):
    """A stream started 3.8 s after SIGTERM was cut off at the end of the grace period."""
    vm, servers = await start_vm("complete", timeout=10.0)
    vm.state.leave(clock.now() - since, 7.4)
    caller = await vm.send_request(deadline_seconds=deadline_seconds)
    assert caller.status == status
    assert request_count(servers) == (status == 200)
    assert (b"retry-after" in caller.headers) is (status == 503)


@pytest.mark.anyio
async def test_vm_without_a_configuration_refuses_with_retry_after(start_vm):
    vm, _ = await start_vm("complete")
    vm.state.deployment = None
    caller = await vm.send_request()
    assert caller.status == 503
    assert b"retry-after" in caller.headers


@pytest.mark.anyio
async def test_service_without_upstreams_refuses_immediately(start_vm):
    vm, _ = await start_vm()
    assert (await vm.send_request()).status == 503


@pytest.mark.anyio
async def test_upstream_is_not_suspect_when_this_vm_reaches_its_connection_limit(start_vm):
    vm, servers = await start_vm("silent", timeout=20.0)
    max_connections = vm.state.max_connections(vm.state.deployment.services["s"])
    async with anyio.create_task_group() as group:
        for number in range(max_connections + 5):
            group.start_soon(vm.send_request, f"r-{number}", "key", 20.0)
        await anyio.sleep(0.2)
        assert not vm.state.registry.get("i-0").is_suspect(clock.now())
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_retry_budget_limits_retries(start_vm):
    vm, servers = await start_vm(
        "reset", "reset", retry_safety=request_types.RetrySafety.IDEMPOTENT
    )
    vm.state._retries = service_retry_budgets.ServiceRetryBudgets(
        service_retry_budgets.RetryRules(0.0, 4.0, 10.0)
    )
    for number in range(20):
        await vm.send_request(f"r-{number}")
    assert 20 <= request_count(servers) <= 24


@pytest.mark.anyio
async def test_attempt_without_a_connection_spends_no_retry(start_vm):
    vm, servers = await start_vm("complete", "complete")
    vm.state._retries = service_retry_budgets.ServiceRetryBudgets(
        service_retry_budgets.RetryRules(0.0, 0.0, 10.0)
    )
    servers[0].crash()
    callers = [await vm.send_request(f"r-{number}") for number in range(10)]
    assert [caller.status for caller in callers] == [200] * 10
    assert len(servers[1].requests) == 10


def avoid(vm, *servers):
    """Let the VM prefer the other upstreams."""
    for server in servers:
        vm.state.registry.get(server.name).record_failure(clock.now())


@pytest.mark.anyio
@pytest.mark.parametrize("behaviour", ["complete", "refuse", "error", "not-found", "unsealed"])
async def test_upstream_that_leaves_gets_no_request_after_its_answer(start_vm, behaviour):
    vm, servers = await start_vm(behaviour, "complete")
    servers[0].leaves = True
    avoid(vm, servers[1])
    await vm.send_request("r-0")
    assert request_count(servers[:1]) == 1
    vm.state.registry.get("i-0").loading_until = -math.inf
    for number in range(1, 9):
        assert (await vm.send_request(f"r-{number}")).body == b"done by i-1"
    assert request_count(servers[:1]) == 1


@pytest.mark.anyio
async def test_upstream_that_leaves_gets_no_request_once_a_stream_has_begun_there(start_vm):
    vm, servers = await start_vm("complete", "complete", streaming=True)
    servers[0].leaves = True
    servers[0].event_seconds = 0.1
    avoid(vm, servers[1])
    async with anyio.create_task_group() as group:
        group.start_soon(vm.send_request, "r-0")
        await anyio.sleep(0.1)
        for number in range(1, 5):
            assert (await vm.send_request(f"r-{number}")).ended
    assert [len(server.requests) for server in servers] == [1, 4]


@pytest.mark.anyio
async def test_stream_is_not_resumed_at_an_upstream_that_leaves(start_vm):
    vm, servers = await start_vm(
        "interrupt",
        "complete",
        "complete",
        streaming=True,
        retry_safety=request_types.RetrySafety.RESUMABLE,
    )
    servers[1].leaves = True
    avoid(vm, servers[0], servers[2], servers[2])
    await vm.send_request("r-0")
    for _ in range(3):
        avoid(vm, servers[2])
    caller = await vm.send_request("r-1")
    assert [len(server.requests) for server in servers] == [1, 1, 1]
    assert "last-event-id" in servers[2].requests[0].headers
    assert caller.ended


@pytest.mark.anyio
@pytest.mark.parametrize("event", ["answer", "entry", "removal"])
async def test_request_that_waits_for_a_connection_is_not_sent_to_an_upstream_that_leaves(
    start_vm, monkeypatch, event
):
    """Twenty requests are placed elsewhere without a retry, of which the budget allows none."""
    vm, servers = await start_vm("complete", "complete")
    avoid(vm, servers[1])
    connect = vm.pool._connect

    async def connect_slowly(address, *args):
        if address == servers[0].address:
            await anyio.sleep(0.2)
        return await connect(address, *args)

    monkeypatch.setattr(
        connection_pool.ConnectionPool, "_connect", lambda _, *a: connect_slowly(*a)
    )
    vm.state._retries = service_retry_budgets.ServiceRetryBudgets(
        service_retry_budgets.RetryRules(0.0, 0.0, 10.0)
    )
    async with anyio.create_task_group() as group:
        callers = []

        async def send(request_id):
            callers.append(await vm.send_request(request_id))

        for number in range(20):
            group.start_soon(send, f"r-{number}")
        await anyio.sleep(0.1)
        match event:
            case "answer":
                vm.state.record_answered_departure(vm.state.registry.get("i-0"))
            case "entry":
                vm.register(servers[0], leaving=True)
            case "removal":
                vm.state.remove_upstream("i-0")
    assert [len(server.requests) for server in servers] == [0, 20]
    assert {caller.status for caller in callers} == {200}


@pytest.mark.anyio
async def test_request_is_refused_at_once_when_all_upstreams_leave(start_vm):
    vm, servers = await start_vm(
        "error", "error", retry_safety=request_types.RetrySafety.IDEMPOTENT
    )
    for server in servers:
        server.leaves = True
    await vm.send_request("r-0")
    with anyio.fail_after(0.2):
        caller = await vm.send_request("r-1")
    assert caller.status == 503
    assert float(caller.headers[b"retry-after"]) > 0
    assert request_count(servers) == 2


@pytest.mark.anyio
async def test_answer_of_another_instance_that_leaves_does_not_mark_the_one_that_was_meant(
    start_vm,
):
    vm, servers = await start_vm("misdirect", "complete")
    servers[0].leaves = True
    avoid(vm, servers[1])
    await vm.send_request("r-0")
    vm.register(servers[0])
    assert not vm.state.registry.get("i-0").leaving


@pytest.mark.anyio
@pytest.mark.parametrize("call", ["report", "order", "cache events"])
async def test_upstream_that_says_to_a_call_that_it_leaves_gets_no_request(
    start_vm, monkeypatch, call
):
    vm, servers = await start_vm("complete", "complete")
    servers[0].leaves = True
    avoid(vm, servers[1])
    upstream = vm.state.registry.get("i-0")
    codec = upstreams.HttpUpstreamCodec()
    monkeypatch.setattr(leases.LeaseClient, "fencing", lambda *_: 41)
    controller = rollout_controller.RolloutController(
        vm.state, None, None, codec, vm.pool, lambda: None, vm.permits
    )
    match call:
        case "report":
            limits = rollout_limits.with_concurrency(rollout_controller.ROLLOUT_LIMITS, 1)
            await controller._fetch_report(
                rollout.Rollout(limits, invariants.Invariants()), upstream
            )
        case "order":
            change = fleet.LoadModel("m", "2")
            order = fleet.Order("id", 41, "i-0", change, clock.now() + 1.0, expected=0)
            await controller._send(upstream, order)
        case "cache events":
            watcher = cache_watcher.CacheWatcher(vm.state, codec, vm.pool, None, vm.permits)
            await watcher._poll_first("i-0", upstream.entry.address)
    for number in range(4):
        assert (await vm.send_request(f"r-{number}")).body == b"done by i-1"
    assert upstream.leaving


@pytest.mark.anyio
async def test_request_is_refused_at_once_while_old_copies_must_not_be_used(start_vm):
    vm, servers = await start_vm("complete", checker=NeverCurrent())
    caller = await vm.send_request()
    assert caller.status == 503
    assert float(caller.headers[b"retry-after"]) > 0.0
    assert request_count(servers) == 0


@pytest.mark.anyio
async def test_request_is_not_sent_by_copies_that_grew_too_old_while_its_connection_was_opened(
    start_vm, monkeypatch
):
    store = Store()
    vm, servers = await start_vm("complete", "complete", checker=store)
    avoid(vm, servers[1])
    connect = vm.pool._connect
    store.change = lambda: vm.register(servers[0], leaving=True)
    bound = vm.state.freshness.rules.bound_seconds
    for prefix in vm.state.freshness.prefixes:
        vm.state.freshness.record(prefix, clock.now() - 0.75 * bound)

    async def connect_slowly(address, *args):
        await anyio.sleep(0.25 * bound)
        return await connect(address, *args)

    monkeypatch.setattr(
        connection_pool.ConnectionPool, "_connect", lambda _, *a: connect_slowly(*a)
    )
    caller = await vm.send_request()
    assert [len(server.requests) for server in servers] == [0, 1]
    assert caller.status == 200


@pytest.mark.anyio
async def test_request_after_the_end_of_the_grace_period_is_refused_at_once(start_vm):
    vm, servers = await start_vm("complete")
    vm.relay.stop()
    caller = await vm.send_request()
    assert caller.status == 503
    assert request_count(servers) == 0


@pytest.mark.anyio
async def test_stream_of_an_upstream_whose_entry_was_away_for_a_while_is_passed_on(start_vm):
    vm, (server,) = await start_vm(
        "complete",
        software=("v1",),
        streaming=True,
        retry_safety=request_types.RetrySafety.RESUMABLE,
    )
    server.delay_seconds = 0.3

    async def lose_entry():
        while not server.requests:
            await anyio.sleep(0.01)
        vm.state.remove_upstream(server.name)
        vm.register(server)

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(lose_entry)
        caller = await vm.send_request()
    whole = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
    assert (caller.status, caller.body, caller.ended) == (200, whole, True)
    assert len(server.requests) == 1
