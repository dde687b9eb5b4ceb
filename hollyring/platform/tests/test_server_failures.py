"""A server's own failure is the answer where nothing better follows it, against stand-ins."""

import contextlib

import pytest

from hollyring.core import request_types
from hollyring.platform.tests import conftest, test_relay


@pytest.fixture
async def start_vm():
    """Yield a function that starts servers with the given behaviours and a VM."""
    async with contextlib.AsyncExitStack() as stack:

        async def start(*behaviours, **route):
            servers = [
                await stack.enter_async_context(conftest.ServerStandIn(f"i-{n}", how).running())
                for n, how in enumerate(behaviours)
            ]
            return test_relay.RelayVm(servers, **route), servers

        yield start


@pytest.mark.anyio
@pytest.mark.parametrize("others", [(), ("refuse",), ("refuse", "refuse")])
async def test_servers_failure_is_the_answer_where_no_other_upstream_takes_the_request(
    start_vm, others
):
    vm, servers = await start_vm(
        "error", *others, retry_safety=request_types.RetrySafety.IDEMPOTENT, attempts=3
    )
    test_relay.avoid(vm, *servers[1:])
    caller = await vm.send_request()
    assert len(servers[0].requests) >= 1
    assert (caller.status, caller.body) == (500, b"failed")


@pytest.mark.anyio
async def test_servers_failure_is_the_answer_where_the_other_upstream_is_gone_by_then(start_vm):
    vm, servers = await start_vm(
        "error", "complete", retry_safety=request_types.RetrySafety.IDEMPOTENT, attempts=3
    )
    test_relay.avoid(vm, servers[1])
    servers[1].crash()
    caller = await vm.send_request()
    assert (caller.status, caller.body) == (500, b"failed")
