import anyio
import pytest

from hollyring.standins import platform

pytestmark = pytest.mark.anyio


@pytest.fixture
def call(caller, service_platform):
    return caller(service_platform.handle)


@pytest.fixture
def call_control(caller, service_platform):
    return caller(service_platform.handle_control)


async def test_write_with_stale_version_is_rejected(call):
    absent = await call("GET", "/kv/config/head")
    assert (absent.status, absent.version) == (404, 0)
    first = await call("PUT", "/kv/config/head?version=0", b"one")
    conflicting = await call("PUT", "/kv/config/head?version=0", b"two")
    assert (conflicting.status, conflicting.version) == (409, first.version)
    second = await call("PUT", f"/kv/config/head?version={first.version}", b"three")
    assert second.version > first.version
    assert (await call("GET", "/kv/config/head")).body == b"three"


async def test_versions_do_not_repeat_after_delete(call):
    first = await call("PUT", "/kv/k?version=0", b"one")
    assert (await call("DELETE", "/kv/k?version=999")).status == 409
    assert (await call("DELETE", f"/kv/k?version={first.version}")).status == 200
    again = await call("PUT", "/kv/k?version=0", b"one")
    assert again.version > first.version


async def test_value_over_size_limit_is_rejected(call):
    assert (await call("PUT", "/kv/k?version=0", b"x" * platform.MAX_VALUE_BYTES)).status == 200
    large = b"x" * (platform.MAX_VALUE_BYTES + 1)
    assert (await call("PUT", "/kv/large?version=0", large)).status == 413


async def test_watch_returns_on_change_or_timeout(call):
    first = await call("PUT", "/kv/k?version=0", b"one")
    unchanged = await call("GET", f"/kv/k?watch={first.version}&wait=0.01")
    assert (unchanged.status, unchanged.version) == (304, first.version)
    responses = []

    async def watch():
        responses.append(await call("GET", f"/kv/k?watch={first.version}&wait=60"))

    async with anyio.create_task_group() as group:
        group.start_soon(watch)
        await anyio.wait_all_tasks_blocked()
        assert responses == []
        await call("PUT", f"/kv/k?version={first.version}", b"two")
    assert (responses[0].status, responses[0].body) == (200, b"two")


async def test_revoked_lease_removes_its_keys(call, service_platform):
    lease = (await call("POST", "/leases", {"ttl": 60})).json()["lease"]
    await call("PUT", f"/kv/holder?version=0&lease={lease}", b"vm-1")
    assert (await call("PUT", f"/leases/{lease}")).json() == {"ttl": 60}
    assert (await call("DELETE", f"/leases/{lease}")).status == 200
    assert (await call("GET", "/kv/holder")).status == 404
    assert (await call("PUT", f"/leases/{lease}")).status == 404


async def test_expired_lease_is_rejected(call):
    lease = (await call("POST", "/leases", {"ttl": 0})).json()["lease"]
    assert (await call("PUT", f"/leases/{lease}")).status == 404
    assert (await call("PUT", f"/kv/holder?version=0&lease={lease}", b"vm-1")).status == 404


async def test_write_with_lost_answer_takes_effect(call, service_platform, inject_fault):
    await inject_fault(service_platform, "lost_answer", count=1)
    assert (await call("PUT", "/kv/k?version=0", b"one")).status == 0
    assert (await call("GET", "/kv/k")).body == b"one"
    assert (await call("PUT", "/kv/other?version=0", b"one")).status == 200


async def test_outage_rejects_requests_and_aborts_watches(call, service_platform, inject_fault):
    responses = []

    async def watch():
        responses.append(await call("GET", "/kv/k?watch=0&wait=60"))

    async with anyio.create_task_group() as group:
        group.start_soon(watch)
        await anyio.wait_all_tasks_blocked()
        await inject_fault(service_platform, "outage")
    assert responses[0].status == 0
    assert (await call("PUT", "/kv/k?version=0", b"one")).status == 503
    assert (await call("GET", "/kv/k")).status == 503


async def test_hanging_outage_sends_no_response(call, service_platform, inject_fault):
    await inject_fault(service_platform, "outage", mode="hang")
    response = None
    with anyio.move_on_after(0.01):
        response = await call("GET", "/kv/k")
    assert response is None


async def test_older_state_is_restored_without_version_reuse(
    call, call_control, service_platform, inject_fault
):
    first = await call("PUT", "/kv/k?version=0", b"one")
    await call_control("POST", "/mark")
    second = await call("PUT", f"/kv/k?version={first.version}", b"two")
    await inject_fault(service_platform, "older")
    restored = await call("GET", "/kv/k")
    assert (restored.body, restored.version) == (b"one", first.version)
    third = await call("PUT", f"/kv/k?version={first.version}", b"three")
    assert third.version > second.version


async def test_requests_over_rate_get_429_and_are_counted(caller, call_control):
    limited = platform.Platform(reads_per_second=2.0, writes_per_second=1.0)
    call = caller(limited.handle)
    reads = [(await call("GET", "/kv/k")).status for _ in range(5)]
    assert reads[:2] == [404, 404]
    assert reads[-1] == 429
    assert (await call("PUT", "/kv/k?version=0", b"")).status == 200
    assert limited.counters["reads"] == 5
    assert limited.counters["writes"] == 1


async def test_list_of_vms_is_delayed(caller, call_control, call):
    await call_control("PUT", "/vms/vm-1", {"state": "live"})
    await call_control("PUT", "/vms/vm-2", {"state": "leaving"})
    vms = (await call("GET", "/vms")).json()["vms"]
    assert vms == [{"name": "vm-1", "state": "live"}, {"name": "vm-2", "state": "leaving"}]
    await call_control("DELETE", "/vms/vm-1")
    assert [vm["name"] for vm in (await call("GET", "/vms")).json()["vms"]] == ["vm-2"]
    lagging = platform.Platform(vms_lag_seconds=3600.0)
    await caller(lagging.handle_control)("PUT", "/vms/vm-1", {})
    assert (await caller(lagging.handle)("GET", "/vms")).json() == {"vms": []}


async def test_unknown_fault_is_rejected(call_control):
    response = await call_control("POST", "/faults", {"kind": "meteor"})
    assert (response.status, response.json()["error"]["code"]) == (400, "unknown_fault")
