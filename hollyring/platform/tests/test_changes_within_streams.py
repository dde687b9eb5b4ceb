"""Tests that a stream that breaks off after a change goes on at another upstream."""

import anyio
import pytest

from hollyring.configuration import deployment
from hollyring.core import request_types
from hollyring.node import clock
from hollyring.platform.tests import test_relay

EVENT_SECONDS = 0.1
CHANGE_SECONDS = 0.15
"""Time after which the change comes: the first upstream breaks off at its third event."""

BUSY_SECONDS = 0.1
"""Time for which the second upstream has no room, so that the first one gets the stream."""

start_vm = test_relay.start_vm


def deploy(vm, services=(), organisations=()):
    """Put a configuration without routes in force."""
    limits = deployment.RequestLimits()
    changed = deployment.Deployment(9, [], list(services), list(organisations), limits, True)
    vm.state.deployment = changed
    vm.state.selector.configure(changed)


def remove_route(vm, server):
    current = vm.state.deployment
    deploy(vm, current.services.values(), current.organisations.values())


def remove_key(vm, server):
    deploy(vm, vm.state.deployment.services.values())


def remove_service(vm, server):
    deploy(vm)


def remove_upstream(vm, server):
    vm.state.remove_upstream(server.name)


def drain_upstream(vm, server):
    vm.register(server, leaving=True)


def start_upstream_again(vm, server):
    vm.register(server, life=2)


CHANGES = (
    remove_route,
    remove_key,
    remove_service,
    remove_upstream,
    drain_upstream,
    start_upstream_again,
)


@pytest.mark.anyio
@pytest.mark.parametrize("change", CHANGES)
async def test_stream_that_breaks_off_after_a_change_goes_on(start_vm, change):
    route = {"retry_safety": request_types.RetrySafety.RESUMABLE, "streaming": True}
    vm, servers = await start_vm("interrupt", "complete", **route)
    for server in servers:
        server.event_seconds = EVENT_SECONDS
    second = vm.state.registry.get(servers[1].name).incarnation
    vm.state.registry.backoffs.extend(second, BUSY_SECONDS, clock.now())
    callers = []

    async def call():
        callers.append(await vm.send_request(deadline_seconds=3.0))

    async with anyio.create_task_group() as group:
        group.start_soon(call)
        await anyio.sleep(CHANGE_SECONDS)
        change(vm, servers[0])
    (caller,) = callers
    whole = b"".join(b"id: %d\ndata: %d\n\n" % (number, number) for number in range(1, 6))
    assert (caller.body, caller.ended) == (whole, True)
    assert [len(server.requests) for server in servers] == [1, 1]
