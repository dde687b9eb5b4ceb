"""Requests of plain services that crash servers, over real connections to stand-ins."""

import anyio
import pytest

from hollyring.core import request_types
from hollyring.node import clock
from hollyring.platform.tests import test_crashing_prompts, test_relay
from hollyring.routing import crashes

start_vm = test_relay.start_vm


@pytest.mark.anyio
async def test_request_that_crashed_three_servers_of_a_plain_service_is_sent_no_more(start_vm):
    vm, servers = await start_vm(
        "crash",
        "crash",
        "crash",
        "crash",
        "crash",
        retry_safety=request_types.RetrySafety.IDEMPOTENT,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(test_crashing_prompts.watch_crashes, vm)
        for number in range(2):
            assert (await vm.send_request(f"r-{number}")).status == 502
        await anyio.sleep(crashes.SETTLE_SECONDS + 0.2)
        reached = test_relay.request_count(servers)
        caller = await vm.send_request("r-3")
        assert (caller.status, b"retry-after" in caller.headers) == (400, False)
        assert test_relay.request_count(servers) == reached == 4
        for server in servers:
            server.behaviour = "complete"
        assert (await vm.send_request("r-4", path="/other")).status == 200
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_request_that_a_server_answered_whole_is_not_blamed_for_its_crashes(start_vm):
    vm, servers = await start_vm(
        *["crash"] * 3, "complete", retry_safety=request_types.RetrySafety.IDEMPOTENT, attempts=4
    )
    async with anyio.create_task_group() as group:
        group.start_soon(test_crashing_prompts.watch_crashes, vm)
        servers[3].delay_seconds = 0.1
        began_at = clock.now()
        while clock.now() - began_at < crashes.SETTLE_SECONDS + 0.4:
            await vm.send_request("r-1")
            await anyio.sleep(0.05)
        assert sum(len(server.requests) > 0 for server in servers) == 4
        assert vm.state.crashes.blamed_parts() == []
        group.cancel_scope.cancel()
