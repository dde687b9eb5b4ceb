"""Tests that an unexpected error of a background task ends no request of a caller."""

import signal

import anyio
import pytest

from hollyring.node import metrics, supervision
from hollyring.platform.tests import test_end_of_grace_period, test_process

pytestmark = pytest.mark.xdist_group("platform-processes")

SERVER_SECONDS = 2.0
"""Time after which the server answers; the background task fails before."""

UNENCODABLE_VERSION = 10**30
"""Version of weights that does not fit into a heartbeat, which no operator names."""

cluster = test_process.cluster


async def name_version(store, version):
    await store.put("op/version/m", {"model": "m", "version": version})


@pytest.mark.anyio
async def test_request_is_answered_after_a_background_task_of_its_vm_failed(cluster):
    store, server, start = cluster
    routes = [test_process.CONFIG["routes"][0] | {"timeout_ms": 9000}]
    await store.put("op/config", test_process.CONFIG | {"version": 4, "routes": routes})
    server.delay_seconds = SERVER_SECONDS
    vms = [start(), start("vm-2")]
    for vm in vms:
        await vm.wait_ready()
        await vm.wait_listed(len(vms))
    connections = [test_end_of_grace_period.send(vm, f"r-{vm.log_path.stem}") for vm in vms]
    await anyio.sleep(SERVER_SECONDS / 4)
    await name_version(store, UNENCODABLE_VERSION)
    statuses = [
        await anyio.to_thread.run_sync(test_process.read_status, connection)
        for connection in connections
    ]
    assert statuses == [200, 200]
    for vm in vms:
        assert "vm: background task failed" in [line.get("text") for line in vm.log_lines()]
        assert vm.process.poll() is None
        vm.process.send_signal(signal.SIGTERM)
    with anyio.fail_after(8.0):
        while any(vm.process.poll() is None for vm in vms):
            await anyio.sleep(0.05)
    assert [vm.process.returncode for vm in vms] == [0, 0]


@pytest.mark.anyio
async def test_failed_task_runs_again(monkeypatch):
    monkeypatch.setattr(supervision, "RESTART_SECONDS", 0.01)
    counters = metrics.Metrics()
    runs = []

    async def fail_twice():
        runs.append(None)
        if len(runs) < 3:
            raise ValueError

    await supervision.Supervisor(counters).keep_running(fail_twice)
    assert len(runs) == 3
    assert "hollyring_internal_errors_total 2" in counters.render()
