"""Tests of requests that a VM took before it left, and of those that it executes for others."""

import anyio
import pytest

from hollyring.core import request_types
from hollyring.node import (
    clock,
    connection_pool,
    delegated_requests,
    forward_client,
    forward_links,
)
from hollyring.platform.tests import test_forwarded_requests, test_relay

AT_MOST_ONCE = request_types.RetrySafety.AT_MOST_ONCE
IDEMPOTENT = request_types.RetrySafety.IDEMPOTENT
start_vm = test_relay.start_vm
start_fleet = test_forwarded_requests.start_fleet


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("retry_safety", "grace_seconds", "status", "sends"),
    [(AT_MOST_ONCE, 1.0, 503, 1), (AT_MOST_ONCE, 3.0, 200, 2), (IDEMPOTENT, 1.0, 200, 2)],
)
async def test_request_that_may_run_once_is_not_sent_again_to_outlast_the_grace_period(
    start_vm, retry_safety, grace_seconds, status, sends
):
    vm, (server,) = await start_vm("refuse-first", retry_safety=retry_safety)
    server.delay_seconds = 0.2
    callers = []

    async def send():
        callers.append(await vm.send_request())

    async with anyio.create_task_group() as group:
        group.start_soon(send)
        await anyio.sleep(0.1)
        vm.state.leave(clock.now(), grace_seconds)
    assert callers[0].status == status
    assert (b"retry-after" in callers[0].headers) is (status == 503)
    assert len(server.requests) == sends


@pytest.mark.anyio
async def test_request_that_may_run_once_is_not_sent_if_its_vm_leaves_while_it_connects(
    start_vm, monkeypatch
):
    vm, servers = await start_vm("complete")
    connect = vm.pool._connect

    async def connect_slowly(address, *args):
        vm.state.leave(clock.now(), 1.0)
        return await connect(address, *args)

    monkeypatch.setattr(
        connection_pool.ConnectionPool, "_connect", lambda _, *a: connect_slowly(*a)
    )
    caller = await vm.send_request()
    assert (caller.status, caller.headers[b"retry-after"]) == (503, b"0.020")
    assert test_relay.request_count(servers) == 0


@pytest.mark.anyio
async def test_leaving_vm_declines_a_request_of_another_that_may_run_once_and_outlast_it(
    start_fleet,
):
    fleet = await start_fleet("complete", count=2)
    fleet.executing[0].state.leave(clock.now(), 1.0)
    caller = await fleet.cut.send_request()
    assert caller.status == 200
    assert [len(vm.messages) for vm in fleet.executing] == [1, 1]


@pytest.mark.anyio
async def test_request_that_may_run_once_is_not_forwarded_to_outlast_the_grace_period(
    start_fleet, monkeypatch
):
    fleet = await start_fleet("complete")
    acquire = forward_links.ForwardLinks.acquire

    async def acquire_slowly(links, address):
        fleet.cut.state.leave(clock.now(), 1.0)
        return await acquire(links, address)

    monkeypatch.setattr(forward_links.ForwardLinks, "acquire", acquire_slowly)
    caller = await fleet.cut.send_request()
    assert (caller.status, caller.headers[b"retry-after"]) == (503, b"0.020")
    assert fleet.executing[0].messages == []


@pytest.mark.anyio
@pytest.mark.parametrize("checker", [None, test_relay.NotYetCurrent()], ids=["sends", "decides"])
async def test_request_that_is_not_sent_until_its_vm_ends_is_told_when_to_ask_another(
    start_vm, monkeypatch, checker
):
    vm, _ = await start_vm("complete", checker=checker)
    if checker is not None:
        vm.state.freshness = test_forwarded_requests.NeverFresh()

    async def never_connect(*_):
        await anyio.sleep_forever()

    monkeypatch.setattr(connection_pool.ConnectionPool, "_connect", never_connect)
    callers = []

    async def send():
        callers.append(await vm.send_request())

    async with anyio.create_task_group() as group:
        group.start_soon(send)
        await anyio.sleep(0.1)
        vm.relay.stop()
    assert (callers[0].status, callers[0].headers[b"retry-after"]) == (503, b"0.020")


@pytest.mark.anyio
async def test_vm_that_has_ended_its_requests_of_others_begins_no_more_until_it_ends(start_fleet):
    fleet = await start_fleet("complete", count=2)
    leaving = fleet.executing[0]
    leaving.state.leave(clock.now(), 7.4)
    await leaving.server.drain(clock.now() + 7.4)
    caller = await fleet.cut.send_request()
    assert caller.status == 200
    assert [len(vm.messages) for vm in fleet.executing] == [1, 1]


@pytest.mark.anyio
async def test_request_that_may_run_once_is_not_forwarded_whole_if_its_vm_leaves_amid_the_body(
    start_fleet, monkeypatch
):
    fleet = await start_fleet("complete")
    send = forward_client._Exchange._send

    async def send_slowly(exchange, message):
        await send(exchange, message)
        fleet.cut.state.leave(clock.now(), 1.0)

    monkeypatch.setattr(forward_client._Exchange, "_send", send_slowly)
    monkeypatch.setattr(delegated_requests, "MAX_PART_BYTES", 2)
    caller = await fleet.cut.send_request()
    assert (caller.status, fleet.requests) == (503, [])
