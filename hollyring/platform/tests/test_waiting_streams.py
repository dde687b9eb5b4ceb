"""Tests of streams that broke off while the other upstreams had no room to continue them."""

import anyio
import pytest

from hollyring.core import request_types
from hollyring.node import clock
from hollyring.platform.tests import test_relay
from hollyring.routing import software_versions

BUSY_SECONDS = 0.6
"""Time for which no upstream has room; a stream that was broken off has some seconds left."""

RESUMABLE = request_types.RetrySafety.RESUMABLE
start_vm = test_relay.start_vm


def whole_stream(events=5):
    return b"".join(b"id: %d\ndata: %d\n\n" % (number, number) for number in range(1, events + 1))


def fill(vm, server, seconds):
    """Leave no room at a server, which says so, for some seconds."""
    upstream = vm.state.registry.get(server.name)
    vm.state.registry.backoffs.extend(upstream.incarnation, seconds, clock.now())


@pytest.mark.anyio
async def test_broken_stream_waits_for_an_upstream_that_has_room_later(start_vm):
    vm, servers = await start_vm("interrupt", "complete", retry_safety=RESUMABLE, streaming=True)
    fill(vm, servers[1], BUSY_SECONDS)
    caller = await vm.send_request(deadline_seconds=3.0)
    assert (caller.body, caller.ended) == (whole_stream(), True)
    assert [len(server.requests) for server in servers] == [1, 1]


@pytest.mark.anyio
async def test_broken_stream_ends_at_its_deadline_if_no_upstream_gets_room(start_vm):
    vm, servers = await start_vm("interrupt", "complete", retry_safety=RESUMABLE, streaming=True)
    fill(vm, servers[1], 5.0)
    started_at = clock.now()
    caller = await vm.send_request(deadline_seconds=1.0)
    assert not caller.ended
    assert 0.9 <= clock.now() - started_at < 1.1


@pytest.mark.anyio
async def test_broken_stream_does_not_wait_when_its_attempts_are_used_up(start_vm):
    route = {"retry_safety": RESUMABLE, "streaming": True, "attempts": 1}
    vm, servers = await start_vm("interrupt", "complete", **route)
    fill(vm, servers[1], BUSY_SECONDS)
    with anyio.fail_after(0.3):
        caller = await vm.send_request(deadline_seconds=3.0)
    assert not caller.ended


@pytest.mark.anyio
async def test_broken_stream_does_not_wait_for_a_spent_retry_budget(start_vm):
    vm, servers = await start_vm("interrupt", "complete", retry_safety=RESUMABLE, streaming=True)
    budget = vm.state.retries("s")
    while budget.try_retry(clock.now()):
        pass
    fill(vm, servers[1], 0.1)
    with anyio.fail_after(0.3):
        caller = await vm.send_request(deadline_seconds=3.0)
    assert not caller.ended
    assert [len(server.requests) for server in servers] == [1, 0]


@pytest.mark.anyio
async def test_request_that_has_not_begun_is_refused_at_once_if_no_upstream_has_room(start_vm):
    vm, servers = await start_vm("reset", "complete", retry_safety=RESUMABLE, streaming=True)
    fill(vm, servers[1], BUSY_SECONDS)
    with anyio.fail_after(0.3):
        caller = await vm.send_request(deadline_seconds=3.0)
    assert caller.status == 502


class OldWhileBroken:
    """Implementation of `recent_copies.CopyChecker`: old copies for some seconds from a request."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.server = None

    async def wait_current(self, until):
        requests = self.server.requests
        return not requests or clock.now() >= requests[0].arrived_at + self.seconds


@pytest.mark.anyio
async def test_broken_stream_waits_for_recent_copies_of_the_store(start_vm):
    checker = OldWhileBroken(BUSY_SECONDS)
    route = {"retry_safety": RESUMABLE, "streaming": True}
    vm, servers = await start_vm("interrupt", "complete", checker=checker, **route)
    checker.server = next(server for server in servers if server.behaviour == "interrupt")
    caller = await vm.send_request(deadline_seconds=3.0)
    assert (caller.body, caller.ended) == (whole_stream(), True)
    assert [len(server.requests) for server in servers] == [1, 1]


@pytest.mark.anyio
async def test_request_that_has_not_begun_is_refused_at_once_by_a_vm_with_old_copies(start_vm):
    checker = OldWhileBroken(BUSY_SECONDS)
    route = {"retry_safety": RESUMABLE, "streaming": True}
    vm, servers = await start_vm("reset", "complete", checker=checker, **route)
    checker.server = servers[0]
    with anyio.fail_after(0.3):
        caller = await vm.send_request(deadline_seconds=3.0)
    assert caller.status == 502


@pytest.mark.anyio
async def test_all_streams_of_a_crashed_server_go_on_and_new_ones_begin_beside_two_versions(
    start_vm,
):
    route = {"retry_safety": RESUMABLE, "streaming": True}
    vm, servers = await start_vm(*["complete"] * 4, software=("v1", "v1", "v2", "v2"), **route)
    for server in servers:
        server.events, server.event_seconds = 30, 0.03
    callers = []
    vm.state.observe_software(clock.now())
    await anyio.sleep(software_versions.SETTLE_SECONDS)

    async def send(number):
        callers.append(await vm.send_request(f"r-{number}", deadline_seconds=4.0))

    async with anyio.create_task_group() as group:
        for number in range(24):
            group.start_soon(send, number)
        await anyio.sleep(0.4)
        crashed = max(servers, key=lambda server: len(server.requests))
        (twin,) = [s for s in servers if s.software == crashed.software and s is not crashed]
        began = [request.headers["x-request-id"] for request in crashed.requests]
        crashed.crash()
        for number in range(24, 40):
            group.start_soon(send, number)
            await anyio.sleep(0.05)
    assert len(began) >= 3
    assert [caller.status for caller in callers] == [200] * 40
    assert {(caller.body, caller.ended) for caller in callers} == {(whole_stream(30), True)}
    went_on = [request for request in twin.requests if "last-event-id" in request.headers]
    assert sorted(request.headers["x-request-id"] for request in went_on) == sorted(began)
