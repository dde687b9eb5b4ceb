"""Tests of VM processes and upstreams that say in their answers that they leave."""

import contextlib

import anyio
import httpcore
import pytest

from hollyring.platform.tests import conftest, test_process

pytestmark = pytest.mark.xdist_group("platform-fleets")

VMS_MEET_SECONDS = 1.0
"""Time in which VMs that are ready exchange their first heartbeats."""

HEARTBEAT_SECONDS = 0.6
"""Time within which a VM has a heartbeat that another VM sends after an event."""

WATCH_SECONDS = 1.0
"""Time within which a VM has a change of the store."""


@pytest.fixture
async def fleet(tmp_path):
    """Yield a store, two upstreams and two ready VMs that have met."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(conftest.StoreStandIn().running())
        await store.put("op/config", test_process.CONFIG)
        servers = []
        for name in ("i-0", "i-1"):
            server = await stack.enter_async_context(conftest.ServerStandIn(name).running())
            servers.append(server)
            await store.put(f"servers/{name}", entry(server))
        vms = [test_process.VmProcess(tmp_path, store.address, f"vm-{n}") for n in (1, 2)]
        for vm in vms:
            stack.enter_context(vm.running())
        for vm in vms:
            await vm.wait_ready()
        await anyio.sleep(VMS_MEET_SECONDS)
        yield store, servers, vms


def entry(server, born=1):
    return conftest.make_entry(server.address, born=born)


async def post_until_reached(vm, server):
    """Send requests until one reaches an upstream."""
    for number in range(60):
        assert (await test_process.post(vm, f"until-{number}")).status == 200
        if server.requests:
            return
    raise AssertionError("no request reached the upstream")


async def post_many(vm, count=20):
    for number in range(count):
        assert (await test_process.post(vm, f"many-{number}")).status == 200


def departures_logged(vm):
    return [
        (line["upstream"], line["source"])
        for line in vm.log_lines()
        if line.get("text") == "state: upstream announced that it leaves"
    ]


@pytest.mark.anyio
async def test_upstream_that_leaves_gets_nothing_from_any_vm_while_the_store_refuses_all_calls(
    fleet,
):
    store, (leaving, staying), vms = fleet
    store.failure_status = 503
    leaving.leaves = True
    await post_until_reached(vms[0], leaving)
    reached = len(leaving.requests)
    await post_many(vms[0])
    await anyio.sleep(HEARTBEAT_SECONDS)
    await post_many(vms[1])
    assert len(leaving.requests) == reached
    assert [departures_logged(vm) for vm in vms] == [[("i-0", "answer")], [("i-0", "vm-1")]]
    async with httpcore.AsyncConnectionPool() as pool:
        pages = [(await pool.request("GET", vm.metrics_url)).content.decode() for vm in vms]
    assert "hollyring_departures_answered_total 1\n" in pages[0]
    assert "hollyring_departures_reported_total 1\n" in pages[1]


@pytest.mark.anyio
async def test_upstream_that_leaves_stays_out_of_use_until_its_next_incarnation(fleet):
    store, (leaving, staying), vms = fleet
    leaving.leaves = True
    await post_until_reached(vms[0], leaving)
    leaving.leaves = False
    reached = len(leaving.requests)
    await store.put("servers/i-0", entry(leaving))
    await anyio.sleep(WATCH_SECONDS)
    for vm in vms:
        await post_many(vm)
    assert len(leaving.requests) == reached
    await store.put("servers/i-1", entry(staying) | {"state": "draining"})
    await anyio.sleep(WATCH_SECONDS)
    assert [(await test_process.post(vm, "none-left")).status for vm in vms] == [503, 503]
    await store.put("servers/i-0", entry(leaving, born=2))
    await anyio.sleep(WATCH_SECONDS)
    for vm in vms:
        assert (await test_process.post(vm, "next-incarnation")).content == b"done by i-0"
