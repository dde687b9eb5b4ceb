"""Tests of retries that were paid for and of which nothing was sent."""

import contextlib
import socket

import pytest

from hollyring.limits import service_retry_budgets
from hollyring.node import clock
from hollyring.platform.tests import test_silent_servers

DEADLINE_SECONDS = 5.0
RESUMABLE = test_silent_servers.RESUMABLE
IDEMPOTENT = test_silent_servers.IDEMPOTENT
WHOLE = test_silent_servers.WHOLE
start_vm = test_silent_servers.start_vm


def leave_one_retry(vm):
    """Leave one retry in the budget of a VM, which gets no other."""
    rules = service_retry_budgets.RetryRules(0.0, 0.0, 10.0)
    vm.state._retries = service_retry_budgets.ServiceRetryBudgets(rules)
    budget = vm.state.retries("s")
    budget._max_balance = budget._balance = 1.0
    return budget


def move(vm, server, address):
    """Let a server take no connections, at an address of its own."""
    server.address = address
    vm.register(server, life=2)
    vm.state.registry.get(server.name).record_failure(clock.now())


@pytest.fixture
def refusing_address():
    """Return an address that takes no connection, and that no other process can have."""
    with contextlib.ExitStack() as held:
        port = held.enter_context(socket.socket())
        port.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{port.getsockname()[1]}"


async def start(start_vm, refusing_address, route, pause_seconds):
    """Start a VM with a server that falls silent, one that takes no connection, and a third."""
    servers = [test_silent_servers.PausingServer("i-0", pause_seconds)]
    servers += [test_silent_servers.PausingServer(f"i-{number}") for number in (1, 2)]
    vm = await start_vm(*servers, timeout=DEADLINE_SECONDS, attempts=3, **route)
    move(vm, servers[1], refusing_address)
    return vm, servers


@pytest.mark.anyio
@pytest.mark.parametrize("route", [RESUMABLE, IDEMPOTENT], ids=["stream", "call"])
async def test_last_retry_is_not_lost_on_an_upstream_that_takes_no_connection(
    start_vm, refusing_address, route
):
    vm, servers = await start(start_vm, refusing_address, route, 10.0)
    budget = leave_one_retry(vm)
    caller = await vm.send_request(deadline_seconds=DEADLINE_SECONDS)
    assert caller.status == 200
    assert caller.body == (WHOLE if route is RESUMABLE else b"done by i-2")
    assert [len(server.requests) for server in servers] == [1, 0, 1]
    assert not budget.has_retry(clock.now())


@pytest.mark.anyio
async def test_retry_that_was_not_sent_is_there_for_the_next_request(start_vm, refusing_address):
    vm, servers = await start(start_vm, refusing_address, RESUMABLE, 1.4)
    vm.state.remove_upstream("i-2")
    budget = leave_one_retry(vm)
    caller = await vm.send_request(deadline_seconds=DEADLINE_SECONDS)
    assert (caller.status, caller.body, caller.ended) == (200, WHOLE, True)
    assert [len(server.requests) for server in servers] == [1, 0, 0]
    assert budget.has_retry(clock.now())
