"""Tests of the log lines about the end of a request."""

import contextlib

import anyio
import pytest

from hollyring.core import request_types
from hollyring.node import responses
from hollyring.platform import ingress
from hollyring.platform.tests import test_relay, test_silent_servers

start_vm = test_silent_servers.start_vm


@pytest.fixture
def ends(log_messages):
    """Return a function that returns the outcome and status of each logged end of a request."""
    return lambda: [
        (m["outcome"], m["status"]) for m in log_messages if m.get("text") == "request: ended"
    ]


@pytest.mark.anyio
async def test_answered_request_is_not_logged_again_as_left_by_its_caller(start_vm, ends):
    """The caller's connection is watched, and its watch ends the request once it is answered."""
    silent = test_silent_servers.PausingServer("i-0", 5.0)
    vm = await start_vm(
        silent, test_silent_servers.PausingServer("i-1"), **test_silent_servers.IDEMPOTENT
    )
    caller = test_relay.Caller()
    scope = anyio.CancelScope()

    async def send(message):
        await caller.send(message)
        if caller.ended:
            scope.cancel()

    response = responses.ResponseWriter(send, ingress.encode_refusal, lambda: False)
    request = request_types.Request(
        "r-1", b"POST", b"/x", "h", "/x", ((b"x-request-id", b"r-1"),), b"body", "key", 2.0
    )
    with scope, contextlib.suppress(responses.IncompleteResponseError):
        await vm.relay.serve(request, response)
    assert caller.status == 200
    assert ends() == [("answered", 200)]


@pytest.mark.anyio
async def test_logged_end_has_the_status_of_the_refusal(start_vm, ends):
    servers = [
        test_silent_servers.PausingServer(f"i-{number}", behaviour="refuse") for number in range(2)
    ]
    vm = await start_vm(*servers)
    assert (await vm.send_request()).status == 503
    assert [status for _, status in ends()] == [503]
