"""Tests that a VM process answers what is open when its grace period ends."""

import contextlib
import functools
import signal
import socket

import anyio
import pytest

from hollyring.platform.tests import conftest, process_times, test_process

GRACE_SECONDS = 5.0
LONG_ROUTE = test_process.CONFIG["routes"][0] | {"timeout_ms": 20_000}
ENGINE = {"slots": 8, "kv_capacity": 9000, "kv_token_bytes": 8, "link_mbps": 10.0}
MODEL_HEADERS = b"x-model: m\r\nx-token-counts: 10,5\r\nx-prompt-prefix: a:6,b:4\r\n"
cluster = test_process.cluster


def send(vm, request_id, headers=b""):
    host, _, port = vm.caller_url.removeprefix("http://").partition(":")
    connection = socket.create_connection((host, int(port)), timeout=10.0)
    request = test_process.encode_request(request_id)
    request = request.replace(b"x-request-id", b"x-deadline-ms: 20000\r\nx-request-id")
    connection.sendall(request.replace(b"content-length", headers + b"content-length"))
    return connection


def read_all(connection):
    received = b""
    with contextlib.closing(connection):
        while data := connection.recv(65_536):
            received += data
    return received


async def stop(vm):
    """Send SIGTERM; the process has to end in its grace period, but for waits for a processor."""
    end = functools.partial(process_times.seconds_to_end, vm.process, signal.SIGTERM)
    with anyio.fail_after(3 * GRACE_SECONDS):
        seconds = await anyio.to_thread.run_sync(end, abandon_on_cancel=True)
    assert seconds <= GRACE_SECONDS, vm.log_lines()


async def stop_and_read(vm, connections):
    """Send SIGTERM and return what arrives on each connection until it is closed."""
    received = [b""] * len(connections)

    async def read(index):
        received[index] = await anyio.to_thread.run_sync(read_all, connections[index])

    async with anyio.create_task_group() as task_group:
        for index in range(len(connections)):
            task_group.start_soon(read, index)
        await stop(vm)
    return received


async def configure_streams(store, server):
    """Make the route one of streams, and its server one with a model."""
    services = [{"name": "s", "engine": ENGINE | {"models": [{"name": "m"}]}}]
    routes = [LONG_ROUTE | {"kind": "streaming"}]
    changed = {"version": 4, "services": services, "routes": routes}
    await store.put("op/config", test_process.CONFIG | changed)
    models = [{"name": "m", "version": 1}]
    await store.put("servers/i-1", conftest.make_entry(server.address, models=models))


async def never_end(lease):
    await anyio.sleep_forever()


def end_of(vm, request_id):
    (ended,) = [
        line
        for line in vm.log_lines()
        if line.get("text") == "request: ended" and line["request"] == request_id
    ]
    return ended["outcome"], ended["status"]


@pytest.mark.anyio
async def test_requests_open_at_the_end_of_the_grace_period_are_answered(cluster):
    store, server, start = cluster
    await store.put("op/config", test_process.CONFIG | {"version": 4, "routes": [LONG_ROUTE]})
    server.behaviour = "silent"
    vm = start(grace_seconds=GRACE_SECONDS)
    await vm.wait_ready()
    connections = [send(vm, f"r-{number}") for number in range(5)]
    with anyio.fail_after(2.0):
        while len(server.requests) < len(connections):
            await anyio.sleep(0.01)
    received = await stop_and_read(vm, connections)
    assert [response.split(b" ")[1:2] for response in received] == [[b"502"]] * 5
    assert {end_of(vm, f"r-{number}") for number in range(5)} == {("grace period over", 502)}


@pytest.mark.anyio
async def test_stream_open_at_the_end_of_the_grace_period_is_logged_as_broken_off_by_it(cluster):
    store, server, start = cluster
    await configure_streams(store, server)
    server.events, server.event_seconds = 1_000, 0.1
    vm = start(grace_seconds=GRACE_SECONDS)
    await vm.wait_ready()
    connection = send(vm, "r-1", MODEL_HEADERS)
    await anyio.sleep(0.5)
    (received,) = await stop_and_read(vm, [connection])
    assert received.startswith(b"HTTP/1.1 200")
    assert not received.endswith(b"0\r\n\r\n")
    assert end_of(vm, "r-1") == ("grace period over", 200)


@pytest.mark.anyio
async def test_process_ends_in_its_grace_period_beside_a_silent_store_and_a_caller_that_stays(
    cluster,
):
    """The store does not answer that the record is removed; a caller closes nothing."""
    store, server, start = cluster
    await store.put("op/config", test_process.CONFIG | {"version": 4, "routes": [LONG_ROUTE]})
    server.behaviour = "silent"
    store.end = never_end
    vm = start(grace_seconds=GRACE_SECONDS)
    await vm.wait_ready()
    connection = send(vm, "r-1")
    connection.sendall(b"no request\r\n\r\n")
    with anyio.fail_after(2.0):
        while not server.requests:
            await anyio.sleep(0.01)
    await stop(vm)
    assert (await anyio.to_thread.run_sync(read_all, connection)).startswith(b"HTTP/1.1 502")
