"""Tests that an unexpected error of a background task ends no request of a caller."""

import signal

import anyio
import pytest

from hollyring.node import metrics, supervision
from hollyring.platform.tests import (
    failing_vm,
    test_end_of_grace_period,
    test_process,
    test_state,
)
from hollyring.routing import registry

pytestmark = pytest.mark.xdist_group("platform-processes")

SERVER_SECONDS = 2.0
"""Time after which the server answers; the background task fails before."""

FAILING_VM = "hollyring.platform.tests.failing_vm"

cluster = test_process.cluster


async def name_version(store, version):
    await store.put("op/version/m", {"model": "m", "version": version})


@pytest.mark.anyio
async def test_request_is_answered_after_a_background_task_of_its_vm_failed(cluster):
    store, server, start = cluster
    routes = [test_process.CONFIG["routes"][0] | {"timeout_ms": 9000}]
    await store.put("op/config", test_process.CONFIG | {"version": 4, "routes": routes})
    server.delay_seconds = SERVER_SECONDS
    vms = [start(name, module=FAILING_VM) for name in ("vm-1", "vm-2")]
    for vm in vms:
        await vm.wait_ready()
        await vm.wait_listed(len(vms))
    connections = [test_end_of_grace_period.send(vm, f"r-{vm.log_path.stem}") for vm in vms]
    await anyio.sleep(SERVER_SECONDS / 4)
    await name_version(store, failing_vm.FAILING_VERSION)
    statuses = [
        await anyio.to_thread.run_sync(test_process.read_status, connection)
        for connection in connections
    ]
    assert statuses == [200, 200]
    for vm in vms:
        await vm.wait_logged("vm: background task failed")
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


def fail(*_args, **_kwargs):
    raise ValueError


@pytest.fixture
def vm():
    started = test_state.StateVm()
    started.apply_change(test_state.STORE_KEYS.operator, "op/config", test_state.CONFIG, now=1.0)
    for name in ("i-1", "i-2"):
        key = test_state.STORE_KEYS.upstreams + name
        started.apply_change(test_state.STORE_KEYS.upstreams, key, test_state.ENTRY, now=1.0)
    return started


def test_nothing_is_decided_by_a_configuration_whose_successor_was_not_applied(vm, monkeypatch):
    changed = test_state.CONFIG | {"version": 4}
    with monkeypatch.context() as patch:
        patch.setattr(vm.state, "configure", fail)
        vm.apply_change(test_state.STORE_KEYS.operator, "op/config", changed, now=2.0)
    assert not vm.state.ready
    assert vm.state.deployment is None
    vm.apply_change(test_state.STORE_KEYS.operator, "op/config", changed | {"version": 5}, now=3.0)
    assert vm.state.configuration_version == 5


def test_weights_that_were_not_applied_leave_the_configuration_in_force(vm, monkeypatch):
    with monkeypatch.context() as patch:
        patch.setattr(type(vm.state.wanted_versions), "record", fail)
        wanted = {"model": "m", "version": 2}
        vm.apply_change(test_state.STORE_KEYS.operator, "op/version/m", wanted, now=2.0)
    assert vm.state.deployment is not None


def test_upstream_whose_changed_entry_was_not_applied_gets_no_requests(vm, monkeypatch):
    key = test_state.STORE_KEYS.upstreams + "i-1"
    with monkeypatch.context() as patch:
        patch.setattr(registry.Registry, "put", fail)
        vm.apply_change(
            test_state.STORE_KEYS.upstreams, key, test_state.ENTRY | {"state": "draining"}, now=2.0
        )
    assert list(vm.state.registry.upstreams) == ["i-2"]
