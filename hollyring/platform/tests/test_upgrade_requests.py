"""Tests over a VM process with requests that ask for another protocol, which a VM ignores."""

import anyio
import pytest

from hollyring.platform.tests import test_half_closed_callers, test_process

pytestmark = pytest.mark.xdist_group("platform-processes")

cluster = test_process.cluster
UPGRADE = b"connection: upgrade\r\nupgrade: h2c\r\n"
HEAD = b"POST /a/b HTTP/1.1\r\nhost: h.example\r\nx-request-id: r-1\r\nauthorization: Bearer k\r\n"


@pytest.mark.anyio
@pytest.mark.parametrize("pause_seconds", [0.0, 0.2])
@pytest.mark.parametrize("framing", ["length", "chunks"])
async def test_body_of_a_request_for_another_protocol_is_not_run_as_a_request(
    cluster, pause_seconds, framing
):
    _, server, start = cluster
    vm = start()
    await vm.wait_ready()
    inner = test_process.encode_request("r-inside")
    framed = b"content-length: %d\r\n\r\n" % len(inner)
    if framing == "chunks":
        framed = b"transfer-encoding: chunked\r\n\r\n"
        inner = b"%x\r\n%b\r\n0\r\n\r\n" % (len(inner), inner)
    connection = test_half_closed_callers.connect(vm)
    connection.sendall(HEAD + UPGRADE + framed)
    await anyio.sleep(pause_seconds)
    connection.sendall(inner)
    received = await anyio.to_thread.run_sync(test_half_closed_callers.read_all, connection)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert received.count(b"HTTP/1.1 ") == 1
    assert server.requests == []


@pytest.mark.anyio
async def test_request_without_a_body_that_asks_for_another_protocol_is_answered(cluster):
    _, server, start = cluster
    vm = start()
    await vm.wait_ready()
    connection = test_half_closed_callers.connect(vm)
    connection.sendall(HEAD.replace(b"POST", b"GET") + UPGRADE + b"\r\n")
    received = await anyio.to_thread.run_sync(test_half_closed_callers.read_all, connection)
    assert received.startswith(b"HTTP/1.1 200 ")
    assert [request.headers["x-request-id"] for request in server.requests] == ["r-1"]
