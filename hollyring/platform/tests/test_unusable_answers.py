"""Tests that a caller gets an answer, whatever cannot be passed on to it."""

import contextlib
import http.client
import socket

import anyio
import pytest

from hollyring.platform.tests import conftest, test_process

pytestmark = pytest.mark.xdist_group("platform-processes")


class RawServer(conftest.ServerStandIn):
    """A server that answers with given bytes, which name the request."""

    status = "200"

    async def handle(self, request, writer):
        head = [f"HTTP/1.1 {self.status} X", f"x-request-id: {request.headers['x-request-id']}"]
        head += [f"x-response-seal: {conftest.SEAL}", "content-length: 2"]
        writer.write("\r\n".join([*head, "", "ok"]).encode())


@pytest.fixture
async def vm_and_server(tmp_path):
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(conftest.StoreStandIn().running())
        server = await stack.enter_async_context(RawServer().running())
        await store.put("op/config", test_process.CONFIG)
        entry = {"service": "s", "address": server.address, "zone": "dar-a", "slots": 8}
        await store.put("servers/i-1", entry | {"state": "ready", "version": "v1"})
        vm = test_process.VmProcess(tmp_path, store.address)
        stack.enter_context(vm.running())
        await vm.wait_ready()
        yield vm, server


def exchange(vm, request_id):
    """Return the status of the answer; fails if the connection is closed without one."""
    host, _, port = vm.caller_url.removeprefix("http://").partition(":")
    with contextlib.closing(socket.create_connection((host, int(port)), timeout=5.0)) as caller:
        caller.sendall(test_process.encode_request(request_id))
        response = http.client.HTTPResponse(caller)
        response.begin()
        response.read()
        return response.status


@pytest.mark.anyio
@pytest.mark.parametrize("status", ["000", "099", "600", "700", "999"])
async def test_request_is_answered_whose_upstream_answers_with_a_status_that_http_does_not_have(
    vm_and_server, status
):
    vm, server = vm_and_server
    server.status = status
    with anyio.fail_after(1.5):
        assert await anyio.to_thread.run_sync(exchange, vm, "r-1") == 502
    ended = await vm.wait_logged("request: ended")
    assert [line["outcome"] for line in ended] == ["upstream_failed"]
