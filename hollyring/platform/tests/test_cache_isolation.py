"""Tests of the salts under which upstreams cache prompts, while organisations become isolated."""

import anyio
import pytest

from hollyring.configuration import deployment
from hollyring.node import connection_pool
from hollyring.platform.tests import test_relay

CONNECT_SECONDS = 0.2

start_vm = test_relay.start_vm


def configure(vm, **isolated):
    """Apply a configuration that says of each organisation whether it is isolated."""
    vm.configure(streaming=True)
    vm.state.deployment.organisations = {
        name: deployment.Organisation(name, (name,), 0.0, 0.0, False, 0, is_isolated, None)
        for name, is_isolated in isolated.items()
    }


async def salt_of(vm, servers, organisation):
    """Return the salt of the next request of an organisation, as the upstream receives it."""
    caller = await vm.send_request(f"{organisation}-{len(servers[0].requests)}", organisation)
    assert caller.status == 200
    return servers[0].requests[-1].headers["x-cache-salt"]


@pytest.mark.anyio
async def test_parts_cached_before_an_organisation_was_isolated_are_not_found_by_others(start_vm):
    vm, servers = await start_vm("complete", streaming=True)
    configure(vm, kigoma=False, tabora=False)
    before = await salt_of(vm, servers, "kigoma")
    assert await salt_of(vm, servers, "tabora") == before
    configure(vm, kigoma=True, tabora=False)
    isolated, others = [await salt_of(vm, servers, name) for name in ("kigoma", "tabora")]
    assert len({before, isolated, others}) == 3


@pytest.mark.anyio
async def test_parts_cached_between_two_isolations_are_not_found_by_others(start_vm):
    vm, servers = await start_vm("complete", streaming=True)
    salts = []
    for is_isolated in (True, False, True):
        configure(vm, kigoma=is_isolated, tabora=False)
        salts.append([await salt_of(vm, servers, name) for name in ("kigoma", "tabora")])
    first, released, second = salts
    assert released[0] == released[1]
    assert released[0] not in second
    assert first == second


@pytest.mark.anyio
@pytest.mark.parametrize("organisation", ["kigoma", "tabora"])
async def test_request_admitted_before_an_isolation_is_sent_with_the_salt_in_force(
    start_vm, monkeypatch, organisation
):
    vm, servers = await start_vm("complete", streaming=True)
    configure(vm, kigoma=False, tabora=False)
    connect = vm.pool._connect

    async def connect_slowly(_, *args):
        configure(vm, kigoma=True, tabora=False)
        await anyio.sleep(CONNECT_SECONDS)
        return await connect(*args)

    monkeypatch.setattr(connection_pool.ConnectionPool, "_connect", connect_slowly)
    sent = await salt_of(vm, servers, organisation)
    assert sent == await salt_of(vm, servers, organisation)
