"""Tests of streams that fell silent and were then refused by the server that was to go on."""

import asyncio
import itertools

import pytest

from hollyring.node import clock
from hollyring.platform.tests import test_silent_servers

RESUMABLE = test_silent_servers.RESUMABLE
WHOLE = test_silent_servers.WHOLE
DEADLINE_SECONDS = 7.0
REFUSAL_DELAY_SECONDS = 0.5
"""Time after which a server refuses; longer than two servers may work on one stream."""

start_vm = test_silent_servers.start_vm


class BusyServer(test_silent_servers.PausingServer):
    """Server that refuses the requests that arrive within `busy_seconds` of its first one."""

    def __init__(self, name, busy_seconds):
        super().__init__(name)
        self.busy_seconds = busy_seconds

    async def work(self, request, writer):
        if clock.now() < self.requests[0].arrived_at + self.busy_seconds:
            await asyncio.sleep(REFUSAL_DELAY_SECONDS if len(self.requests) == 1 else 0.0)
            name = request.headers["x-request-id"]
            writer.write(self.encode_response(503, b"", x_request_id=name, x_not_run=1))
            return
        await super().work(request, writer)


@pytest.mark.anyio
@pytest.mark.parametrize("busy_seconds", [0.6, 1.6])
async def test_silent_stream_that_was_refused_elsewhere_goes_on_where_it_did_not_run(
    start_vm, busy_seconds
):
    silent = test_silent_servers.PausingServer("i-0", 10.0)
    busy = BusyServer("i-1", busy_seconds)
    vm = await start_vm(silent, busy, timeout=DEADLINE_SECONDS, **RESUMABLE)
    caller = await vm.send_request(deadline_seconds=DEADLINE_SECONDS)
    assert (caller.status, caller.body, caller.ended) == (200, WHOLE, True)
    assert len(silent.requests) == 1
    assert len(silent.closed_at) == 1
    assert 2 <= len(busy.requests) <= 4


@pytest.mark.anyio
async def test_silent_stream_that_was_refused_where_the_server_leaves_goes_on_where_it_began(
    start_vm,
):
    silent = test_silent_servers.PausingServer("i-0", 10.0)
    leaving = BusyServer("i-1", 10.0)
    leaving.leaves = True
    vm = await start_vm(silent, leaving, timeout=DEADLINE_SECONDS, **RESUMABLE)
    caller = await vm.send_request(deadline_seconds=DEADLINE_SECONDS)
    assert (caller.status, caller.body, caller.ended) == (200, WHOLE, True)
    assert [request.headers.get("last-event-id") for request in silent.requests] == [None, "2"]
    assert len(leaving.requests) == 1


@pytest.mark.anyio
async def test_refused_stream_ends_at_its_deadline_if_the_server_refuses_it_on_and_on(start_vm):
    silent = test_silent_servers.PausingServer("i-0", 10.0)
    busy = BusyServer("i-1", 60.0)
    vm = await start_vm(silent, busy, timeout=4.0, **RESUMABLE)
    began_at = clock.now()
    caller = await vm.send_request(deadline_seconds=4.0)
    assert not caller.ended
    assert clock.now() - began_at < 4.1
    assert 2 <= len(busy.requests) <= 4
    gaps = [b.arrived_at - a.arrived_at for a, b in itertools.pairwise(busy.requests)]
    assert min(gaps) >= 0.25


class CrashingServer(test_silent_servers.PausingServer):
    """Server that falls silent, goes on, and crashes `crash_seconds` later within its stream."""

    def __init__(self, name, pause_seconds, crash_seconds):
        super().__init__(name, pause_seconds)
        self.crash_seconds = crash_seconds
        self.crash_after = self.pause_after + 1

    async def work(self, request, writer):
        work = asyncio.ensure_future(super().work(request, writer))
        while len(self.events_at) < self.crash_after:
            await asyncio.sleep(0.001)
        work.cancel()
        await asyncio.sleep(self.crash_seconds)
        writer.transport.abort()


@pytest.mark.anyio
async def test_stream_goes_back_to_the_second_server_when_the_first_went_on_and_then_crashed(
    start_vm,
):
    first = CrashingServer("i-0", 1.15, 0.1)
    second = test_silent_servers.PausingServer("i-1", 0.6, pause_after=0)
    third = test_silent_servers.PausingServer("i-2")
    vm = await start_vm(first, second, third, timeout=DEADLINE_SECONDS, **RESUMABLE)
    caller = await vm.send_request(deadline_seconds=DEADLINE_SECONDS)
    assert (caller.status, caller.body, caller.ended) == (200, WHOLE, True)
    assert [request.headers.get("last-event-id") for request in second.requests] == ["2", "3"]
    assert third.requests == []


class ReturningServer(test_silent_servers.PausingServer):
    """Server that refuses each request for `busy_seconds` after the first that goes back to it."""

    def __init__(self, name, pause_seconds, busy_seconds):
        super().__init__(name, pause_seconds, pause_after=0)
        self.busy_seconds = busy_seconds

    async def work(self, request, writer):
        returns = self.requests[1:]
        if returns and clock.now() < returns[0].arrived_at + self.busy_seconds:
            name = request.headers["x-request-id"]
            writer.write(self.encode_response(503, b"", x_request_id=name, x_not_run=1))
            return
        await super().work(request, writer)


@pytest.mark.anyio
@pytest.mark.parametrize("busy_seconds", [0.2, 0.8])
async def test_stream_that_went_back_and_was_refused_there_waits_before_it_is_sent_again(
    start_vm, busy_seconds
):
    first = CrashingServer("i-0", 1.15, 0.1)
    second = ReturningServer("i-1", 0.6, busy_seconds)
    vm = await start_vm(first, second, timeout=DEADLINE_SECONDS, **RESUMABLE)
    caller = await vm.send_request(deadline_seconds=DEADLINE_SECONDS)
    times = [request.arrived_at for request in second.requests[1:]]
    assert (caller.status, caller.body, caller.ended) == (200, WHOLE, True), (caller.body, times)
    assert all(b - a >= 0.25 for a, b in itertools.pairwise(times)), times
