"""Tests over a VM process with callers that close their sending side after a whole request."""

import contextlib
import signal
import socket

import anyio
import pytest

from hollyring.platform.tests import test_end_of_grace_period, test_process

GONE_SECONDS = 0.5
"""Time within which the work for a caller that has left is stopped."""

NOT_RUN_STATUS = 503
cluster = test_process.cluster


def connect(vm):
    host, _, port = vm.caller_url.removeprefix("http://").partition(":")
    return socket.create_connection((host, int(port)), timeout=3.0)


def send_half_closed(connection, request_id):
    connection.sendall(test_process.encode_request(request_id))
    connection.shutdown(socket.SHUT_WR)


def read_all(connection):
    """Return what arrives until the connection is closed; a reset ends it, too."""
    received = b""
    with contextlib.closing(connection), contextlib.suppress(ConnectionResetError):
        while data := connection.recv(65_536):
            received += data
    return received


def status_of(received):
    return int(received.split(b" ")[1]) if received else None


async def read_status(connection):
    return status_of(await anyio.to_thread.run_sync(read_all, connection))


@pytest.mark.anyio
async def test_half_closed_caller_gets_an_answer_while_an_upstream_works(cluster):
    _, server, start = cluster
    server.behaviour = "silent"
    vm = start()
    await vm.wait_ready()
    connection = connect(vm)
    connection.sendall(test_process.encode_request("r-1"))
    with anyio.fail_after(2.0):
        while not server.requests:
            await anyio.sleep(0.01)
    connection.shutdown(socket.SHUT_WR)
    with anyio.fail_after(GONE_SECONDS):
        status = await read_status(connection)
        while not server.closed_connections:
            await anyio.sleep(0.01)
    assert status == 502
    (ended,) = await vm.wait_logged("request: ended")
    assert (ended["outcome"], ended["status"]) == ("caller left", 502)


@pytest.mark.anyio
async def test_stream_that_has_begun_is_broken_off_by_a_half_close(cluster):
    store, server, start = cluster
    await test_end_of_grace_period.configure_streams(store, server)
    server.events, server.event_seconds = 1_000, 0.05
    vm = start()
    await vm.wait_ready()
    connection = test_end_of_grace_period.send(vm, "r-1", test_end_of_grace_period.MODEL_HEADERS)
    await anyio.sleep(0.3)
    connection.shutdown(socket.SHUT_WR)
    with anyio.fail_after(GONE_SECONDS):
        received = await anyio.to_thread.run_sync(read_all, connection)
    assert received.startswith(b"HTTP/1.1 200")
    assert not received.endswith(b"0\r\n\r\n")
    assert test_end_of_grace_period.end_of(vm, "r-1") == ("caller left", 200)


@pytest.mark.anyio
async def test_half_closed_caller_whose_request_lay_unread_is_told_that_it_did_not_run(cluster):
    _, server, start = cluster
    vm = start()
    await vm.wait_ready()
    connection = connect(vm)
    await anyio.sleep(0.1)
    vm.process.send_signal(signal.SIGSTOP)
    send_half_closed(connection, "r-1")
    vm.process.send_signal(signal.SIGCONT)
    assert await read_status(connection) == NOT_RUN_STATUS
    assert server.requests == []


@pytest.mark.anyio
async def test_each_half_closed_caller_is_answered_and_promised_nothing_false(cluster):
    _, server, start = cluster
    vm = start()
    await vm.wait_ready()
    statuses = {}
    for number in range(60):
        connection = connect(vm)
        connection.sendall(test_process.encode_request(f"r-{number}"))
        await anyio.sleep(number * 0.0001)
        connection.shutdown(socket.SHUT_WR)
        statuses[f"r-{number}"] = await read_status(connection)
    sent = {request.headers["x-request-id"] for request in server.requests}
    assert None not in statuses.values()
    assert not {name for name in sent if statuses[name] == NOT_RUN_STATUS}


@pytest.mark.anyio
async def test_each_request_that_waits_when_its_caller_half_closes_is_answered(cluster):
    _, server, start = cluster
    server.behaviour = "silent"
    vm = start()
    await vm.wait_ready()
    connection = connect(vm)
    connection.sendall(test_process.encode_request("r-1"))
    with anyio.fail_after(2.0):
        while not server.requests:
            await anyio.sleep(0.01)
    send_half_closed(connection, "r-2")
    received = await anyio.to_thread.run_sync(read_all, connection)
    statuses = [part.split(b" ")[0] for part in received.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"502", b"503"]
    assert len(server.requests) == 1


@pytest.mark.anyio
async def test_close_is_seen_while_two_later_requests_wait_behind_the_one_that_runs(cluster):
    _, server, start = cluster
    server.behaviour = "silent"
    vm = start()
    await vm.wait_ready()
    connection = connect(vm)
    connection.sendall(test_process.encode_request("r-1"))
    with anyio.fail_after(2.0):
        while not server.requests:
            await anyio.sleep(0.01)
    connection.sendall(test_process.encode_request("r-2") + test_process.encode_request("r-3"))
    await anyio.sleep(0.2)
    connection.close()
    with anyio.fail_after(GONE_SECONDS):
        while not server.closed_connections:
            await anyio.sleep(0.01)
