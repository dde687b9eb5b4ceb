"""Tests of streams that callers continue at another VM process, against stand-ins on loopback."""

import contextlib

import anyio
import httpcore
import pytest

from hollyring.platform import documents
from hollyring.platform.tests import conftest, test_process
from hollyring.routing import software_versions

pytestmark = pytest.mark.xdist_group("platform-fleets")

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
async def store():
    """Yield a running store with a configuration."""
    async with conftest.StoreStandIn().running() as running:
        await running.put("op/config", CONFIG)
        yield running


@pytest.fixture
async def start_fleet(tmp_path, store):
    """Yield a function that starts upstreams of the given software versions, and two VMs.

    The VMs are those of a fleet that has run before, with these versions.
    """
    async with contextlib.AsyncExitStack() as stack:
        vms = [
            test_process.VmProcess(tmp_path, store.address, name, contracts=["engine"])
            for name in ("vm-1", "vm-2")
        ]

        async def start(*versions):
            record = software_versions.Record(1, {"s": frozenset(versions)})
            record = documents.DocumentCodec().encode_software(record)
            await store.put(documents.STORE_KEYS.software, record)
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
    models = [{"name": "m", "version": 1}]
    return conftest.make_entry(server.address, version=server.software, born=1, models=models)


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


async def restart_all(vms, while_down):
    """Kill all VMs, await `while_down`, and start them again."""
    for vm in vms:
        vm.process.kill()
        vm.process.wait()
    await while_down()
    for vm in vms:
        vm.start()
    for vm in vms:
        await vm.wait_ready()


async def resume(vm, stream, number):
    """Continue a stream at a VM after the last event that its caller has received."""
    resumed = Stream(f"resumed-{number}")
    names = (b"last-event-id", b"%d" % stream.last_event), (b"resumes", stream.request_id.encode())
    await resumed.receive(vm, *names)
    return resumed


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


@pytest.mark.anyio
async def test_stream_is_not_joined_with_the_version_that_replaced_its_own_while_no_vm_ran(
    start_fleet, store
):
    servers, vms = await start_fleet("v1", "v1")
    streams = await begin_streams(vms[0], 6)
    assert all(0 < stream.last_event < EVENTS for stream in streams)
    newer = conftest.ServerStandIn("i-new", events=EVENTS)
    newer.software = "v2"

    async def replace():
        for server in servers:
            await store.remove(f"servers/{server.name}")
        await store.put("servers/i-new", entry(newer))

    async with newer.running():
        await restart_all(vms, replace)
        resumed = [await resume(vms[n % 2], stream, n) for n, stream in enumerate(streams)]
        new = Stream("new")
        await new.receive(vms[0])
    assert [stream.status for stream in resumed] == [503] * len(streams)
    assert {request.headers.get("x-request-id") for request in newer.requests} <= {"new", None}
    assert (new.status, new.whole) == (200, True)


@pytest.mark.anyio
async def test_all_streams_go_on_after_all_vms_restarted_where_one_version_serves(
    start_fleet,
):
    servers, vms = await start_fleet("v1", "v1")
    streams = await begin_streams(vms[0], 6)
    await restart_all(vms, anyio.lowlevel.checkpoint)
    resumed = [await resume(vms[n % 2], stream, n) for n, stream in enumerate(streams)]
    assert [(stream.status, stream.whole) for stream in resumed] == [(200, True)] * len(streams)
    assert {stream.last_event for stream in resumed} == {EVENTS}
