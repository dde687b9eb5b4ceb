"""Tests that an upstream that stands few rejections does not have to reject more."""

import asyncio
import contextlib

import pytest

from hollyring.core import request_types
from hollyring.node import clock
from hollyring.platform.tests import conftest, test_relay, test_upstream_backoff

SLOTS = 8
"""Slots in the entries of `test_relay.RelayVm`."""

STANDS = 3
SECONDS = 4.0
RUN_SECONDS = 0.08
NAMED_SECONDS = 0.4
SHRINK_SECONDS = 2.0


class BrittleServer(conftest.ServerStandIn):
    """Server that runs `SLOTS` requests, lets `queue` wait, and names the rejections it stands."""

    def __init__(self, name):
        super().__init__(name)
        self.queue = 4 * SLOTS
        self.names_limit = True
        self.rejected_at = []
        self.running_requests = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(SLOTS)

    def own_headers(self):
        if not self.names_limit:
            return super().own_headers()
        return super().own_headers() | {"server_brittle": STANDS}

    async def handle(self, request, writer):
        if self.slots.locked() and self.waiting >= self.queue:
            self.rejected_at.append(clock.now())
            name = request.headers["x-request-id"]
            self.answer(writer, self.encode_response(503, b"", x_request_id=name, x_not_run=1))
            return
        self.waiting += 1
        await self.slots.acquire()
        self.waiting -= 1
        try:
            await asyncio.sleep(RUN_SECONDS)
            await super().handle(request, writer)
        finally:
            self.slots.release()

    def most_rejected_in_a_second(self):
        return max(
            (sum(at <= other < at + 1.0 for other in self.rejected_at) for at in self.rejected_at),
            default=0,
        )


@pytest.fixture
async def start_brittle():
    """Yield a function that starts brittle servers and a VM."""
    async with contextlib.AsyncExitStack() as stack:

        async def start(*names, **route):
            stand_ins = [BrittleServer(name) for name in names]
            running = [await stack.enter_async_context(s.running()) for s in stand_ins]
            return test_relay.RelayVm(running, **route), running

        yield start


async def name_and_shrink(servers, queue):
    """Let the servers name what they stand when they are full, and let fewer wait later."""
    for server in servers:
        server.names_limit = False
    await asyncio.sleep(NAMED_SECONDS)
    for server in servers:
        server.names_limit = True
        server.rejected_at.clear()
    await asyncio.sleep(SHRINK_SECONDS - NAMED_SECONDS)
    for server in servers:
        assert server.most_rejected_in_a_second() <= STANDS
        server.queue = queue


@pytest.mark.anyio
@pytest.mark.parametrize("queue", [0, 2])
async def test_upstreams_that_let_fewer_wait_reject_no_more_than_they_stand(start_brittle, queue):
    vm, servers = await start_brittle(
        "i-0", "i-1", retry_safety=request_types.RetrySafety.IDEMPOTENT
    )
    shrinking = asyncio.create_task(name_and_shrink(servers, queue))
    callers = await test_upstream_backoff.send_steadily(vm, SECONDS, interval=0.003)
    await shrinking
    most = [server.most_rejected_in_a_second() for server in servers]
    served = sum(caller.status == 200 for caller in callers)
    print("most rejections in a second:", most, "served:", served, "of", len(callers))
    assert max(most) <= STANDS
    assert {caller.status for caller in callers} <= {200, 503}
    capacity = len(servers) * SLOTS / RUN_SECONDS
    assert served >= 0.7 * min(len(callers), capacity * SECONDS)


@pytest.mark.anyio
async def test_refused_callers_of_a_full_upstream_are_told_when_to_return(start_brittle):
    vm, servers = await start_brittle("i-0", retry_safety=request_types.RetrySafety.IDEMPOTENT)
    await vm.send_request("r-first")
    callers = await test_upstream_backoff.send_steadily(vm, 1.0, interval=0.003)
    refused = [caller for caller in callers if caller.status == 503]
    assert refused
    assert all(0.0 < float(caller.headers[b"retry-after"]) <= 1.0 for caller in refused)
