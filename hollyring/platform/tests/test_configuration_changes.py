"""Tests that no change in the store ends a request that a VM has begun to read."""

import contextlib
import http.client
import socket

import anyio
import pytest

from hollyring.platform.tests import conftest, test_process

pytestmark = pytest.mark.xdist_group("platform-processes")

SERVER_SECONDS = 1.2
"""Time after which the server answers; the change is in force long before."""

ROUTE = test_process.CONFIG["routes"][0] | {"timeout_ms": 20_000}
"""Route on which a request ends by a change, if at all, as its time is far longer than the test."""

CONFIG = test_process.CONFIG | {
    "routes": [ROUTE],
    "limits": {
        "max_header_bytes": 10_000,
        "max_body_bytes": 10_000,
        "header_timeout_ms": 5_000,
        "idle_timeout_ms": 5_000,
    },
}
LIMITS = CONFIG["limits"]


def with_limits(**limits):
    return CONFIG | {"version": 9, "limits": LIMITS | limits}


def with_route(**fields):
    return CONFIG | {"version": 9, "routes": [ROUTE | fields]}


CHANGES = {
    "shorter idle time": with_limits(idle_timeout_ms=100),
    "shorter header time": with_limits(header_timeout_ms=100),
    "shorter timeout of the route": with_route(timeout_ms=100),
    "fewer attempts": with_route(max_attempts=1),
    "route to another service": with_route(service="other")
    | {"services": [{"name": "s", "max_connections": 100}, {"name": "other"}]},
    "route removed": CONFIG | {"version": 9, "routes": []},
    "service removed": CONFIG | {"version": 9, "routes": [], "services": []},
    "key removed": CONFIG | {"version": 9, "tenants": [{"name": "t", "api_keys": ["x"]}]},
    "fewer connections": CONFIG | {"version": 9, "services": [{"name": "s", "max_connections": 1}]},
}
ENTRIES = {
    "server drains": lambda entry: entry | {"state": "draining"},
    "server removed": lambda entry: None,
    "another server at its address": lambda entry: entry | {"service": "other"},
    "server born again": lambda entry: entry | {"born": 2},
}


@contextlib.contextmanager
def connected(vm):
    host, _, port = vm.caller_url.removeprefix("http://").partition(":")
    with contextlib.closing(socket.create_connection((host, int(port)), timeout=5.0)) as connection:
        yield connection


def read_status(connection):
    """Return the status of the next response, and read all of it."""
    response = http.client.HTTPResponse(connection)
    response.begin()
    response.read()
    return response.status


async def receive_status(connection):
    return await anyio.to_thread.run_sync(read_status, connection)


@pytest.fixture
async def cluster(tmp_path):
    """Yield a running VM, its store, its slow server and that server's entry."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(conftest.StoreStandIn().running())
        server = await stack.enter_async_context(conftest.ServerStandIn().running())
        server.delay_seconds = SERVER_SECONDS
        await store.put("op/config", CONFIG)
        entry = conftest.make_entry(server.address, born=1)
        await store.put("servers/i-1", entry)
        vm = test_process.VmProcess(tmp_path, store.address)
        stack.enter_context(vm.running())
        await vm.wait_ready()
        yield vm, store, server, entry


async def apply(store, entry, change):
    if change in CHANGES:
        await store.put("op/config", CHANGES[change])
        return
    changed = ENTRIES[change](entry)
    if changed is None:
        await store.remove("servers/i-1")
    else:
        await store.put("servers/i-1", changed)


@pytest.mark.anyio
@pytest.mark.parametrize("change", [*CHANGES, *ENTRIES])
async def test_request_that_runs_while_the_store_changes_is_answered(cluster, change):
    vm, store, server, entry = cluster
    with connected(vm) as connection:
        connection.sendall(test_process.encode_request("r-1"))
        await anyio.sleep(0.3)
        assert len(server.requests) == 1
        await apply(store, entry, change)
        assert await receive_status(connection) == 200


@pytest.mark.anyio
@pytest.mark.parametrize("change", list(CHANGES))
async def test_request_half_read_while_the_configuration_changes_is_answered(cluster, change):
    vm, store, server, entry = cluster
    server.delay_seconds = 0.0
    request = test_process.encode_request("r-1")
    statuses = {"route removed": 404, "service removed": 404, "key removed": 401}
    statuses |= {"route to another service": 503}
    with connected(vm) as kept, connected(vm) as in_head, connected(vm) as in_body:
        kept.sendall(test_process.encode_request("r-0"))
        assert await receive_status(kept) == 200
        in_head.sendall(request[:20])
        in_body.sendall(request[:-2])
        await anyio.sleep(0.2)
        await apply(store, entry, change)
        await anyio.sleep(0.8)
        in_head.sendall(request[20:])
        in_body.sendall(request[-2:])
        kept.sendall(request)
        received = [await receive_status(each) for each in (kept, in_head, in_body)]
    assert received == [statuses.get(change, 200)] * 3
