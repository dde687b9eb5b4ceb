"""Tests that an unexpected error in an attempt does not end its request without an answer."""

import pytest

from hollyring.core import request_types
from hollyring.node import connection_pool
from hollyring.platform import upstreams
from hollyring.platform.tests import conftest, test_silent_servers
from hollyring.routing import selection

IDEMPOTENT = {"retry_safety": request_types.RetrySafety.IDEMPOTENT}
AT_MOST_ONCE = {"retry_safety": request_types.RetrySafety.AT_MOST_ONCE}
RESUMABLE = test_silent_servers.RESUMABLE
start_vm = test_silent_servers.start_vm


class UnexpectedError(Exception):
    """An error that no code expects."""


def fail_to_encode(monkeypatch, name):
    """Make requests to one upstream fail before they are sent."""
    encode = upstreams.HttpUpstreamCodec.encode_request

    def fail(self, request, context):
        if context.upstream == name:
            raise UnexpectedError
        return encode(self, request, context)

    monkeypatch.setattr(upstreams.HttpUpstreamCodec, "encode_request", fail)


def fail_to_decode(monkeypatch):
    """Make the first answer fail after its request was sent."""
    decode = upstreams.HttpUpstreamCodec.decode_head
    failed = []

    def fail(self, head):
        if not failed:
            failed.append(head)
            raise UnexpectedError
        return decode(self, head)

    monkeypatch.setattr(upstreams.HttpUpstreamCodec, "decode_head", fail)


@pytest.mark.anyio
async def test_request_that_may_run_once_goes_elsewhere_after_an_error_before_it_is_sent(
    start_vm, monkeypatch
):
    servers = [test_silent_servers.PausingServer(f"i-{n}") for n in range(2)]
    vm = await start_vm(*servers, **AT_MOST_ONCE)
    fail_to_encode(monkeypatch, "i-0")
    caller = await vm.send_request()
    assert (caller.status, caller.body) == (200, b"done by i-1")


@pytest.mark.anyio
@pytest.mark.parametrize("route, status, runs", [(IDEMPOTENT, 200, 2), (AT_MOST_ONCE, 502, 1)])
async def test_request_is_answered_after_an_error_behind_its_sending(
    start_vm, monkeypatch, route, status, runs
):
    servers = [test_silent_servers.PausingServer(f"i-{n}") for n in range(2)]
    vm = await start_vm(*servers, **route)
    fail_to_decode(monkeypatch)
    caller = await vm.send_request()
    assert (caller.status, caller.ended) == (status, True)
    assert sum(len(server.requests) for server in servers) == runs


@pytest.mark.anyio
async def test_silent_stream_goes_on_after_an_error_of_the_attempt_beside_it(start_vm, monkeypatch):
    first = test_silent_servers.PausingServer("i-0", pause_seconds=1.6)
    vm = await start_vm(first, test_silent_servers.PausingServer("i-1"), **RESUMABLE)
    fail_to_encode(monkeypatch, "i-1")
    caller = await vm.send_request()
    assert (caller.status, caller.body, caller.ended) == (200, test_silent_servers.WHOLE, True)


@pytest.mark.anyio
async def test_request_is_refused_after_an_error_outside_of_its_attempts(start_vm, monkeypatch):
    vm = await start_vm(test_silent_servers.PausingServer("i-0"))

    def fail(*_):
        raise UnexpectedError

    monkeypatch.setattr(selection.Selector, "select", fail)
    caller = await vm.send_request()
    assert (caller.status, caller.ended) == (500, True)
    assert b"internal_error" in caller.body


@pytest.mark.anyio
@pytest.mark.parametrize("route", [AT_MOST_ONCE, IDEMPOTENT, RESUMABLE])
async def test_request_at_a_silent_server_is_answered_after_an_error_of_its_probe(
    start_vm, monkeypatch, route
):
    server = test_silent_servers.PausingServer("i-0", pause_seconds=0.8)
    vm = await start_vm(server, **route)
    probes = []

    async def fail(self, address):
        probes.append(address)
        raise UnexpectedError

    monkeypatch.setattr(connection_pool.ConnectionPool, "can_connect", fail)
    caller = await vm.send_request()
    assert probes
    assert (caller.status, caller.ended) == (200, True)


@pytest.mark.anyio
async def test_broken_stream_goes_on_elsewhere_after_an_error_before_it_is_sent_again(
    start_vm, monkeypatch
):
    broken = conftest.ServerStandIn("i-0", "interrupt")
    others = [test_silent_servers.PausingServer(f"i-{n}") for n in (1, 2)]
    vm = await start_vm(broken, *others, attempts=4, **RESUMABLE)
    fail_to_encode(monkeypatch, "i-1")
    caller = await vm.send_request()
    assert len(broken.requests) == len(others[1].requests) == 1
    assert (caller.body, caller.ended) == (test_silent_servers.WHOLE, True)
