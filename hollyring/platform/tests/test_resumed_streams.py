"""Tests of streams that callers continue at another VM process, against stand-ins on loopback."""

import contextlib

import anyio
import httpcore
import pytest

from hollyring.platform.tests import conftest, test_process

EVENTS = 30
EVENT_SECONDS = 0.05
VMS_MEET_SECONDS = 1.0
"""Time in which VMs that are ready exchange their first heartbeats."""

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": "h.example",
            "prefix": "/a/",
            "kind": "streaming",
            "resumable": True,
            "timeout_ms": 10_000,
            "target_latency_ms": 500,
            "max_attempts": 2,
            "service": "s",
        }
    ],
    "services": [
        {
            "name": "s",
            "max_connections": 100,
            "engine": {
                "slots": 8,
                "kv_capacity": 100_000,
                "kv_token_bytes": 1,
                "link_mbps": 1000,
                "models": [{"name": "m"}],
            },
        }
    ],
    "tenants": [{"name": "t", "api_keys": ["k"]}],
}


class Stream:
    """A streamed response and the part of it that the caller has received."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = 0
        self.body = b""
        self.whole = False

    @property
    def last_event(self):
        complete = self.body.rpartition(b"\n\n")[0]
        return int(complete.rpartition(b"id: ")[2].partition(b"\n")[0]) if complete else 0

    async def receive(self, vm, *headers):
        fixed = [(b"host", b"h.example"), test_process.KEY, (b"x-deadline-ms", b"8000")]
        fixed += [(b"x-request-id", self.request_id.encode()), (b"x-model", b"m")]
        fixed += [(b"x-token-counts", b"10,30"), (b"x-prompt-prefix", b"a:10")]
        async with httpcore.AsyncConnectionPool() as pool:
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                async with pool.stream(
                    "POST", vm.caller_url + "/a/b", headers=[*fixed, *headers]
                ) as response:
                    self.status = response.status
                    async for data in response.aiter_stream():
                        self.body += data
                    self.whole = True


@pytest.fixture
async def start_fleet(tmp_path):
    """Yield a function that starts upstreams of the given software versions, and two VMs."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(conftest.StoreStandIn().running())
        await store.put("op/config", CONFIG)
        vms = [
            test_process.VmProcess(tmp_path, store.address, name, contracts=["engine"])
            for name in ("vm-1", "vm-2")
        ]

        async def start(*versions):
            servers = []
            for number, version in enumerate(versions):
                server = conftest.ServerStandIn(f"i-{number}", events=EVENTS)
                server.software = version
                server.event_seconds = EVENT_SECONDS
                servers.append(await stack.enter_async_context(server.running()))
                await store.put(f"servers/{server.name}", entry(server))
            for vm in vms:
                vm.start()
            for vm in vms:
                await vm.wait_ready()
            await anyio.sleep(VMS_MEET_SECONDS)
            return servers, vms

        yield start
        for vm in vms:
            vm.process.kill()
            vm.process.wait()


def entry(server):
    document = {"service": "s", "address": server.address, "zone": "dar-a", "slots": 8}
    document |= {"state": "ready", "version": server.software, "born": 1}
    return document | {"models": [{"name": "m", "version": 1}]}


def software_of(servers, request_id):
    """Return the software versions of the upstreams that received a request."""
    return [
        server.software
        for server in servers
        for request in server.requests
        if request.headers.get("x-request-id") == request_id
    ]


async def begin_streams(vm, count):
    """Begin streams at a VM, kill it in the middle of them, and return them."""
    streams = [Stream(f"first-{number}") for number in range(count)]
    async with anyio.create_task_group() as task_group:
        for stream in streams:
            task_group.start_soon(stream.receive, vm)
        await anyio.sleep(0.7)
        vm.process.kill()
    return streams


@pytest.mark.anyio
async def test_stream_taken_up_at_another_vm_goes_on_at_its_software_version(
    start_fleet,
):
    servers, vms = await start_fleet("v1", "v1", "v2", "v2")
    streams = await begin_streams(vms[0], 8)
    assert {v for s in streams for v in software_of(servers, s.request_id)} == {"v1", "v2"}
    for stream in streams:
        assert 0 < stream.last_event < EVENTS
        resumed = Stream(stream.request_id.replace("first", "second"))
        await resumed.receive(
            vms[1],
            (b"last-event-id", b"%d" % stream.last_event),
            (b"resumes", stream.request_id.encode()),
        )
        assert (resumed.status, resumed.whole, resumed.last_event) == (200, True, EVENTS)
        assert software_of(servers, resumed.request_id) == software_of(servers, stream.request_id)


@pytest.mark.anyio
async def test_stream_of_unknown_origin_is_refused_while_several_software_versions_serve(
    start_fleet,
):
    servers, vms = await start_fleet("v1", "v2")
    resumed = Stream("second")
    await resumed.receive(vms[1], (b"last-event-id", b"3"), (b"resumes", b"never-heard-of"))
    assert resumed.status == 503
    assert software_of(servers, "second") == []


@pytest.mark.anyio
async def test_stream_of_unknown_origin_goes_on_where_one_software_version_serves(start_fleet):
    servers, vms = await start_fleet("v1", "v1")
    resumed = Stream("second")
    await resumed.receive(vms[1], (b"last-event-id", b"3"), (b"resumes", b"never-heard-of"))
    assert (resumed.status, resumed.whole, resumed.last_event) == (200, True, EVENTS)
