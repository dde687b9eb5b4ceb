"""Requests with a prompt part that crashes servers, over real connections to stand-ins."""

import anyio
import pytest

from hollyring.core import request_types
from hollyring.node import clock, crash_watcher
from hollyring.platform.tests import test_relay
from hollyring.routing import crashes

start_vm = test_relay.start_vm

STREAM = {"streaming": True, "retry_safety": request_types.RetrySafety.RESUMABLE}


async def watch_crashes(vm):
    """Run a VM's check of broken servers and its periodic decision, until cancelled."""
    async with anyio.create_task_group() as group:
        group.start_soon(crash_watcher.CrashWatcher(vm.state, vm.pool).run)
        while True:
            vm.state.crashes.tick(clock.now())
            await anyio.sleep(0.05)


@pytest.mark.anyio
async def test_request_with_a_part_that_crashed_servers_is_refused_and_reaches_no_other(start_vm):
    vm, servers = await start_vm("crash", "crash", "crash", "crash", "crash", **STREAM)
    async with anyio.create_task_group() as group:
        group.start_soon(watch_crashes, vm)
        for number in range(2):
            caller = await vm.send_request(f"r-{number}")
            assert caller.status == 502
        await anyio.sleep(crashes.SETTLE_SECONDS + 0.2)
        reached = test_relay.request_count(servers)
        caller = await vm.send_request("r-3")
        assert (caller.status, b"retry-after" in caller.headers) == (400, False)
        assert test_relay.request_count(servers) == reached == 4
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_servers_that_reset_requests_but_accept_connections_have_not_crashed(start_vm):
    vm, _ = await start_vm("reset", "reset", "reset", "reset", **STREAM)
    async with anyio.create_task_group() as group:
        group.start_soon(watch_crashes, vm)
        for number in range(2):
            await vm.send_request(f"r-{number}")
        await anyio.sleep(crashes.SETTLE_SECONDS + 0.2)
        assert vm.state.crashes.blamed_parts() == []
        assert (await vm.send_request("r-3")).status != 400
        group.cancel_scope.cancel()
