"""Tests that entries of upstreams that name no usable address end neither requests nor the VM."""

import contextlib

import anyio
import pytest

from hollyring.platform.tests import test_process

pytestmark = pytest.mark.xdist_group("platform-fleets")

ADDRESSES = [
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "127.0.0.1:\u00b2",
    "\0:80",
    "a..b:80",
    "x" * 300 + ":80",
]
MODELS = [{"name": "m", "version": 1, "adapters": []}]
ENGINE = {"slots": 8, "kv_capacity": 9000, "kv_token_bytes": 8, "link_mbps": 10.0}
SERVICES = [{"name": "s"}, {"name": "e", "engine": ENGINE | {"models": [{"name": "m"}]}}]
cluster = test_process.cluster


@pytest.mark.anyio
@pytest.mark.parametrize("service", ["s", "e"])
@pytest.mark.parametrize("address", ADDRESSES)
async def test_requests_are_answered_beside_an_entry_without_a_usable_address(
    cluster, address, service
):
    store, server, start = cluster
    await store.put("op/config", test_process.CONFIG | {"version": 4, "services": SERVICES})
    vm = start()
    await vm.wait_ready()
    server.delay_seconds = 1.0
    statuses = []

    async def call(number):
        statuses.append((await test_process.post(vm, f"r-{number}")).status)

    with contextlib.suppress(ExceptionGroup):
        async with anyio.create_task_group() as callers:
            callers.start_soon(call, 0)
            await anyio.sleep(0.3)
            entry = {"service": service, "address": address, "zone": "dar-a", "slots": 8}
            entry |= {"state": "ready", "version": "v1", "models": MODELS}
            await store.put("servers/i-2", entry)
            await store.put("op/version/m", {"model": "m", "version": 2})
            await anyio.sleep(0.7)
            for number in range(1, 6):
                callers.start_soon(call, number)
    assert statuses == [200] * 6
    assert vm.process.poll() is None
