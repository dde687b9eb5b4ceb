"""Tests of answers that state no end, so that half of one looks like a whole one."""

import asyncio
import contextlib
import socket

import anyio
import pytest

from hollyring.core import request_types
from hollyring.delivery import forwarded
from hollyring.node import clock, sockets
from hollyring.platform.tests import (
    conftest,
    test_forwarded_requests,
    test_process,
    test_relay,
    test_repeated_answers,
)

EVENTS = test_repeated_answers.EVENTS
FIRST_EVENTS = test_repeated_answers.FIRST_EVENTS
RESUMABLE = test_repeated_answers.RESUMABLE
STREAM_TYPE = test_repeated_answers.STREAM_TYPE
OPEN_SECONDS = 20.0
TIMEOUT_SECONDS = 5.0

start_fleet = test_forwarded_requests.start_fleet
cluster = test_process.cluster


class EndlessServer(conftest.ServerStandIn):
    """Server whose answers to requests have no length.

    `end` is how they end: ``close`` or ``reset`` of the connection, or ``open``: not at all.
    """

    def __init__(self, body, end="close", status=200, content_type="text/plain", name="i-0"):
        super().__init__(name)
        self.body = body
        self.end = end
        self.status = status
        self.content_type = content_type

    async def handle(self, request, writer):
        if "x-request-id" not in request.headers:
            await super().handle(request, writer)
            return
        head = [b"HTTP/1.1 %d X" % self.status, test_repeated_answers.SEAL_HEADER]
        head.append(b"x-request-id: " + request.headers["x-request-id"].encode())
        head.append(b"content-type: " + self.content_type.encode())
        writer.write(b"\r\n".join([*head, b"", b""]) + self.body)
        await writer.drain()
        match self.end:
            case "close":
                writer.close()
            case "reset":
                await asyncio.sleep(0.05)
                sockets.set_reset_on_close(writer.get_extra_info("socket"), True)
                writer.close()
            case "open":
                await asyncio.sleep(OPEN_SECONDS)


def states_an_end(caller):
    return b"content-length" in caller.headers or caller.headers.get(b"connection") != b"close"


@pytest.mark.anyio
@pytest.mark.parametrize("status", [200, 404, 500])
@pytest.mark.parametrize("body", [b"hal", b""])
@pytest.mark.parametrize("safety", request_types.RetrySafety)
async def test_answer_without_a_length_reaches_its_caller_without_one(status, body, safety):
    servers = [EndlessServer(body, status=status, name=f"i-{n}") for n in range(2)]
    async with servers[0].running(), servers[1].running():
        vm = test_relay.RelayVm(servers, retry_safety=safety)
        caller = await vm.send_request(deadline_seconds=1.0)
    assert (caller.status, caller.body, caller.ended) == (status, body, True)
    assert not states_an_end(caller)


@pytest.mark.anyio
@pytest.mark.parametrize("status", [200, 404, 500])
@pytest.mark.parametrize("body", [b"hal", b""])
async def test_forwarded_answer_without_a_length_reaches_its_caller_without_one(
    start_fleet, status, body
):
    async with EndlessServer(body, status=status).running() as server:
        fleet = await start_fleet(count=0)
        await fleet.add(servers=[server])
        caller = await fleet.cut.send_request(deadline_seconds=1.0)
    assert (caller.status, caller.body, caller.ended) == (status, body, True)
    assert not states_an_end(caller)


@pytest.mark.anyio
@pytest.mark.parametrize("streaming", [False, True])
async def test_answer_through_an_earlier_build_promises_its_caller_no_end(start_fleet, streaming):
    fleet = await start_fleet(count=0, **(RESUMABLE if streaming else {}))
    head = forwarded.ForwardedHead(200, [], streaming, "i-0", "v1", 1)
    end = forwarded.ForwardedEnd(len(EVENTS))
    await fleet.add_scripted(head, forwarded.ForwardedData(EVENTS), end)
    caller = await fleet.cut.send_request(deadline_seconds=1.0)
    assert (caller.status, caller.body, caller.ended) == (200, EVENTS, True)
    assert not states_an_end(caller)


@pytest.mark.anyio
async def test_answer_with_a_length_keeps_it_and_its_connection(start_fleet):
    fleet = await start_fleet("complete")
    for vm in (fleet.cut, fleet.executing[0]):
        caller = await vm.send_request(f"r-{vm.info.name}")
        assert caller.headers[b"content-length"] == b"11"
        assert b"connection" not in caller.headers


@pytest.mark.anyio
async def test_stream_without_a_stated_end_reaches_its_caller_without_one():
    async with EndlessServer(EVENTS, content_type=STREAM_TYPE).running() as server:
        vm = test_relay.RelayVm([server], **RESUMABLE)
        caller = await vm.send_request(deadline_seconds=1.0)
    assert (caller.status, caller.body, caller.ended) == (200, EVENTS, True)
    assert not states_an_end(caller)


@pytest.mark.anyio
async def test_forwarded_stream_without_a_stated_end_reaches_its_caller_without_one(start_fleet):
    async with EndlessServer(EVENTS, content_type=STREAM_TYPE).running() as server:
        fleet = await start_fleet(count=0, **RESUMABLE)
        await fleet.add(servers=[server])
        caller = await fleet.cut.send_request(deadline_seconds=1.0)
    assert (caller.status, caller.body, caller.ended) == (200, EVENTS, True)
    assert not states_an_end(caller)


@pytest.mark.anyio
async def test_stream_with_a_stated_end_is_not_ended_by_a_continuation_without_one():
    rest = EVENTS[len(FIRST_EVENTS) :]
    server = test_repeated_answers.OddContinuation(rest, "connection")
    caller = await test_repeated_answers.resume_at(server)
    assert (caller.status, caller.body, caller.ended) == (200, EVENTS, False)


@pytest.mark.anyio
async def test_stream_with_a_stated_end_goes_on_after_a_continuation_without_one():
    rest = EVENTS[len(FIRST_EVENTS) : EVENTS.index(b"id: 5")]
    first = conftest.ServerStandIn("i-0", "interrupt")
    second = test_repeated_answers.OddContinuation(rest, "connection")
    third = conftest.ServerStandIn("i-2")
    async with contextlib.AsyncExitStack() as stack:
        servers = [await stack.enter_async_context(s.running()) for s in (first, second, third)]
        vm = test_relay.RelayVm(servers, attempts=3, **RESUMABLE)
        vm.state.registry.get("i-1").record_failure(clock.now())
        for _ in range(5):
            vm.state.registry.get("i-2").record_failure(clock.now())
        caller = await vm.send_request()
    assert (caller.status, caller.body, caller.ended) == (200, EVENTS, True)


async def put_stream_service(store, server):
    """Let the service of a cluster be that of a model, and its route one of streams."""
    engine = {"slots": 8, "kv_capacity": 9000, "kv_token_bytes": 8, "link_mbps": 10.0}
    services = [{"name": "s", "engine": engine | {"models": [{"name": "m"}]}}]
    routes = [test_process.CONFIG["routes"][0] | {"kind": "streaming"}]
    changed = {"version": 4, "services": services, "routes": routes}
    await store.put("op/config", test_process.CONFIG | changed)
    await put_server(store, server, models=[{"name": "m", "version": 1}])


async def put_server(store, server, **fields):
    await store.put("servers/i-1", conftest.make_entry(server.address, **fields))


def encode_stream_request(request_id):
    lines = ["POST /a/b HTTP/1.1", "host: h.example", f"x-request-id: {request_id}"]
    lines += ["authorization: Bearer k", "x-model: m", "x-token-counts: 10,5"]
    lines += ["x-prompt-prefix: a:6,b:4", "content-length: 1", "", "x"]
    return "\r\n".join(lines).encode()


@contextlib.asynccontextmanager
async def connected(vm):
    host, _, port = vm.caller_url.removeprefix("http://").partition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        yield stream


async def receive_until(stream, end):
    received = b""
    with anyio.fail_after(TIMEOUT_SECONDS):
        while not received.endswith(end):
            received += await stream.receive()
    return received


async def receive_all(stream):
    """Return what arrives until the connection is closed; raises if it is reset."""
    received = b""
    with anyio.fail_after(TIMEOUT_SECONDS), contextlib.suppress(anyio.EndOfStream):
        while True:
            received += await stream.receive()
    return received


@pytest.mark.anyio
@pytest.mark.parametrize("body", [b"hal", b"", b"x" * 5_000_000], ids=len)
async def test_process_ends_an_answer_without_a_length_with_the_callers_connection(cluster, body):
    store, _, start = cluster
    async with EndlessServer(body, name="i-1").running() as server:
        await put_server(store, server)
        vm = start()
        await vm.wait_ready()
        async with connected(vm) as stream:
            await stream.send(test_process.encode_request("r-1"))
            head, _, received = (await receive_all(stream)).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ")
    assert b"\r\nconnection: close" in head.lower()
    assert b"content-length" not in head.lower()
    assert b"transfer-encoding" not in head.lower()
    assert received == body


@pytest.mark.anyio
async def test_process_ends_a_stream_without_a_stated_end_with_the_callers_connection(cluster):
    store, _, start = cluster
    async with EndlessServer(EVENTS, content_type=STREAM_TYPE, name="i-1").running() as server:
        await put_stream_service(store, server)
        vm = start()
        await vm.wait_ready()
        async with connected(vm) as stream:
            await stream.send(encode_stream_request("r-1"))
            head, _, received = (await receive_all(stream)).partition(b"\r\n\r\n")
    assert b"\r\nconnection: close" in head.lower()
    assert b"transfer-encoding" not in head.lower()
    assert received == EVENTS


@pytest.mark.anyio
@pytest.mark.parametrize("cause", ["the upstream resets", "the process is killed"])
async def test_stream_without_a_stated_end_that_breaks_off_is_reset_and_not_closed(cluster, cause):
    store, _, start = cluster
    end = "reset" if cause == "the upstream resets" else "open"
    async with EndlessServer(
        FIRST_EVENTS, end, content_type=STREAM_TYPE, name="i-1"
    ).running() as s:
        await put_stream_service(store, s)
        vm = start()
        await vm.wait_ready()
        async with connected(vm) as stream:
            await stream.send(encode_stream_request("r-1"))
            await receive_until(stream, FIRST_EVENTS)
            if end == "open":
                vm.process.kill()
            with pytest.raises(anyio.BrokenResourceError):
                await receive_all(stream)


@pytest.mark.anyio
async def test_whole_answer_without_a_length_that_is_not_read_is_reset_with_the_process(cluster):
    store, _, start = cluster
    async with EndlessServer(b"x" * 20_000_000, name="i-1").running() as server:
        await put_server(store, server)
        vm = start()
        await vm.wait_ready()
        host, _, port = vm.caller_url.removeprefix("http://").partition(":")
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(test_process.encode_request("r-1"))
            await anyio.sleep(1.0)
            vm.process.kill()
            vm.process.wait()
            with pytest.raises(ConnectionResetError):
                while caller.recv(65_536):
                    pass
