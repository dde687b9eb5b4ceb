"""Tests over VM processes that odd answers of one server disturb neither VMs nor other servers."""

import anyio
import pytest

from hollyring.platform.tests import (
    conftest,
    odd_values,
    test_odd_entries_of_vms,
    test_odd_upstream_answers,
    test_process,
)

pytestmark = pytest.mark.xdist_group("platform-fleets")

ENGINE = {"slots": 8, "kv_capacity": 9000, "kv_token_bytes": 8, "link_mbps": 10.0}
SERVICES = [{"name": "s", "engine": ENGINE | {"models": [{"name": "m"}]}}]
CONFIG = test_odd_entries_of_vms.CONFIG | {"services": SERVICES}
MODELS = [{"name": "m", "version": 1, "adapters": []}]
REPORT = test_odd_upstream_answers.REPORT
EVENTS = test_odd_upstream_answers.EVENTS
VALUES = odd_values.VALUES
ORDER_SECONDS = 8.0
cluster = test_process.cluster

ANSWERS = {
    "deep": (
        odd_values.put(REPORT, ("unknown",), VALUES["deep lists"]),
        odd_values.put(EVENTS, ("unknown",), VALUES["deep lists"]),
    ),
    "huge numbers": (
        odd_values.put(REPORT, ("models", 0, "version"), VALUES["10^30"]),
        odd_values.put(EVENTS, ("events", 0, 4), VALUES["10^30"]),
    ),
    "no JSON": (VALUES["no UTF-8"], VALUES["no UTF-8"]),
    "empty": (b"", b""),
}
HEADERS = {
    "server_limit": "9" * 5000,
    "server_brittle": "9" * 5000,
    "keep_alive": "timeout=" + "9" * 5000,
    "x_weight_versions": "9" * 5000,
}


class OddServer(conftest.ServerStandIn):
    """Server with odd answers to the calls of VMs, and sound ones to requests."""

    def __init__(self, name, report, events, headers=()):
        super().__init__(name)
        self.odd = {"/hollyring/report": report, "/hollyring/kv-events": events}
        self.headers = dict(headers)

    def own_headers(self):
        return self.headers

    async def handle(self, request, writer):
        if request.path not in self.odd:
            await super().handle(request, writer)
            return
        await anyio.sleep(0.05)
        writer.write(self.encode_response(200, self.odd[request.path]))


@pytest.mark.anyio
@pytest.mark.parametrize("headers", [{}, HEADERS], ids=["", "odd headers"])
@pytest.mark.parametrize("name", ANSWERS)
async def test_sound_servers_get_orders_and_requests_beside_one_with_odd_answers(
    cluster, name, headers
):
    store, server, start = cluster
    await store.put("op/config", CONFIG)
    await store.put("servers/i-1", conftest.make_entry(server.address, models=MODELS))
    odd = OddServer("i-2", *ANSWERS[name], headers)
    async with odd.running():
        await store.put("servers/i-2", conftest.make_entry(odd.address, models=MODELS))
        vms = [start(), start("vm-2")]
        for vm in vms:
            await vm.wait_ready()
            await vm.wait_listed(2)
        await store.put("op/version/m", {"model": "m", "version": 2})
        with anyio.fail_after(ORDER_SECONDS):
            while not server.orders:
                await anyio.sleep(0.05)
        await anyio.sleep(1.0)
        async with conftest.ServerStandIn("i-3").running() as joined:
            await store.put("servers/i-3", conftest.make_entry(joined.address))
            statuses = await test_odd_entries_of_vms.wait_served_by(vms, joined)
        for vm in vms:
            await vm.wait_listed(2)
    assert set(statuses) == {200}
    for vm in vms:
        assert vm.process.poll() is None
        assert not [line for line in vm.log_lines() if "trace" in line]
