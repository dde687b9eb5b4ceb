"""Requests that may run only once, while open connections to upstreams may lead nowhere."""

import pytest

from hollyring.core import request_types
from hollyring.node import clock
from hollyring.platform.tests import test_relay

start_vm = test_relay.start_vm


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("retry_safety", "connections"),
    [(request_types.RetrySafety.AT_MOST_ONCE, 2), (request_types.RetrySafety.IDEMPOTENT, 1)],
)
async def test_unsafe_request_to_a_suspected_service_is_not_written_to_an_idle_connection(
    start_vm, retry_safety, connections
):
    vm, _ = await start_vm("complete", retry_safety=retry_safety)
    assert (await vm.send_request("r-1")).status == 200
    vm.state.reachability.record_failed(vm.state.registry.get("i-0"), clock.now())
    assert (await vm.send_request("r-2")).status == 200
    assert vm.pool.opened == connections


@pytest.mark.anyio
async def test_unsafe_request_uses_an_idle_connection_while_all_is_well(start_vm):
    vm, _ = await start_vm("complete")
    assert (await vm.send_request("r-1")).status == 200
    assert (await vm.send_request("r-2")).status == 200
    assert vm.pool.opened == 1
