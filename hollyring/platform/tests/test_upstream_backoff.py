"""Tests that an upstream that refuses with ``retry-after`` gets nothing until that time ends."""

import anyio
import pytest

from hollyring.core import request_types
from hollyring.fleet import messages as fleet
from hollyring.limits import retry_budget
from hollyring.membership import leases
from hollyring.node import clock, connection_pool, rollout_controller
from hollyring.platform import upstreams
from hollyring.platform.tests import test_relay
from hollyring.routing import backoffs

BACKOFF_SECONDS = 3.0
GRACE_SECONDS = 0.5
"""Time after the refusal within which requests under way may still arrive."""

start_vm = test_relay.start_vm


@pytest.fixture
def logged(log_messages):
    """Return a function that returns the texts logged so far."""
    return lambda: [message.get("text") for message in log_messages]


def arrivals(server, since, until):
    return sum(since <= request.arrived_at < until for request in server.requests)


def arrivals_by_half_second(server, since, seconds):
    halves = (since + half / 2 for half in range(int(2 * seconds)))
    return [arrivals(server, start, start + 0.5) for start in halves]


async def send_steadily(vm, seconds, interval=0.01):
    """Send a request per interval and return their callers."""
    callers = []

    async def send(number):
        callers.append(await vm.send_request(f"r-{number}"))

    async with anyio.create_task_group() as group:
        for number in range(int(seconds / interval)):
            group.start_soon(send, number)
            await anyio.sleep(interval)
    return callers


async def refuse_once(vm, server, seconds=BACKOFF_SECONDS, retry_after=None):
    """Let an upstream, the only one, refuse one request with ``retry-after``."""
    server.back_off(seconds, retry_after)
    return await vm.send_request("r-refused")


@pytest.mark.anyio
@pytest.mark.parametrize("states_not_run", [True, False])
async def test_steady_requests_do_not_reach_an_upstream_in_backoff(start_vm, states_not_run):
    vm, servers = await start_vm(
        "complete", "complete", retry_safety=request_types.RetrySafety.IDEMPOTENT
    )
    servers[0].states_not_run = states_not_run
    servers[1].delay_seconds = 0.05
    began_at = clock.now()
    async with anyio.create_task_group() as group:
        group.start_soon(send_steadily, vm, 0.5)
        await anyio.sleep(0.5)
        servers[0].back_off(BACKOFF_SECONDS)
        callers = await send_steadily(vm, BACKOFF_SECONDS + 1.0)
    counts = arrivals_by_half_second(servers[0], began_at, BACKOFF_SECONDS + 1.5)
    print("requests by half second:", counts)
    end = servers[0].backoff_until
    refused_at = end - BACKOFF_SECONDS
    assert {caller.status for caller in callers} == {200}
    assert arrivals(servers[0], refused_at + GRACE_SECONDS, end) == 0
    assert counts[0] > 0
    assert arrivals(servers[0], end, end + 0.5) > 0


@pytest.mark.anyio
async def test_callers_are_refused_until_the_only_upstream_ends_its_backoff(start_vm):
    vm, servers = await start_vm("complete")
    first = await refuse_once(vm, servers[0])
    with anyio.fail_after(0.5):
        callers = [first, *[await vm.send_request(f"r-{number}") for number in range(20)]]
    seconds_left = servers[0].backoff_until - clock.now()
    delays = [float(caller.headers[b"retry-after"]) for caller in callers]
    assert {caller.status for caller in callers} == {503}
    assert seconds_left <= min(delays) and max(delays) <= BACKOFF_SECONDS + 0.6
    assert max(delays) - min(delays) > 0.2
    assert len(servers[0].requests) == 1
    await anyio.sleep(servers[0].backoff_until + 0.1 - clock.now())
    assert (await vm.send_request("r-later")).status == 200


@pytest.mark.anyio
async def test_caller_gets_a_fitting_time_if_no_retry_is_allowed(start_vm, monkeypatch):
    vm, servers = await start_vm("complete")
    monkeypatch.setattr(retry_budget.RetryBudget, "try_retry", lambda *_: False)
    caller = await refuse_once(vm, servers[0])
    assert caller.status == 503
    assert 2.9 <= float(caller.headers[b"retry-after"]) <= BACKOFF_SECONDS + 0.6


@pytest.mark.anyio
async def test_request_that_waited_for_a_connection_is_not_sent_to_an_upstream_in_backoff(
    start_vm, monkeypatch
):
    vm, servers = await start_vm("complete", "complete")
    for _ in range(3):
        vm.state.registry.get("i-1").record_failure(clock.now())
    servers[0].back_off(BACKOFF_SECONDS)
    acquire = connection_pool.ConnectionPool.acquire
    refused = anyio.Event()

    async def acquire_late(pool, address, limit, keep_alive_seconds, request_id, **options):
        connection = await acquire(pool, address, limit, keep_alive_seconds, request_id, **options)
        if request_id == "r-waiting":
            await refused.wait()
        return connection

    monkeypatch.setattr(connection_pool.ConnectionPool, "acquire", acquire_late)
    callers = []

    async def send_waiting():
        callers.append(await vm.send_request("r-waiting"))

    async with anyio.create_task_group() as group:
        group.start_soon(send_waiting)
        await anyio.sleep(0.05)
        callers.append(await vm.send_request("r-first"))
        refused.set()
    assert [caller.body for caller in callers] == [b"done by i-1"] * 2
    assert [r.headers["x-request-id"] for r in servers[0].requests] == ["r-first"]


@pytest.mark.anyio
@pytest.mark.parametrize("states_not_run", [True, False])
async def test_upstream_in_backoff_does_not_count_as_faulty(start_vm, states_not_run):
    vm, servers = await start_vm("complete")
    servers[0].states_not_run = states_not_run
    await refuse_once(vm, servers[0])
    upstream, now = vm.state.registry.get("i-0"), clock.now()
    assert upstream.failure_score(now) == 0
    assert not upstream.is_suspect(now)
    assert not upstream.is_loading(now)


@pytest.mark.anyio
async def test_interrupted_stream_is_not_resumed_at_an_upstream_in_backoff(start_vm):
    vm, servers = await start_vm(
        "interrupt",
        "complete",
        "complete",
        streaming=True,
        retry_safety=request_types.RetrySafety.RESUMABLE,
    )
    for name, failures in (("i-1", 1), ("i-2", 2)):
        for _ in range(failures):
            vm.state.registry.get(name).record_failure(clock.now())
    servers[1].back_off(BACKOFF_SECONDS)
    for number in range(3):
        caller = await vm.send_request(f"r-{number}")
        assert caller.ended
        await anyio.sleep(0.4)
    assert len(servers[1].requests) == 1


@pytest.mark.anyio
async def test_no_order_is_sent_to_an_upstream_that_refused_one_with_a_retry_time(
    start_vm, monkeypatch
):
    vm, servers = await start_vm("complete")
    monkeypatch.setattr(leases.LeaseClient, "fencing", lambda *_: 41)
    controller = rollout_controller.RolloutController(
        vm.state, None, None, upstreams.HttpUpstreamCodec(), vm.pool, lambda: None, vm.permits
    )
    order = fleet.Order("id", 41, "i-0", fleet.LoadModel("m", "2"), clock.now() + 5.0)
    upstream = vm.state.registry.get("i-0")
    servers[0].back_off(1.0)
    assert await controller._send(upstream, order) is fleet.Outcome.CONFLICT
    assert await controller._send(upstream, order) is fleet.Outcome.NOT_SENT
    assert (await vm.send_request()).status == 503
    assert len(servers[0].requests) == 1
    await anyio.sleep(servers[0].backoff_until + 0.1 - clock.now())
    assert await controller._send(upstream, order) is fleet.Outcome.ACCEPTED


@pytest.mark.anyio
async def test_silent_upstream_in_backoff_is_not_probed(start_vm):
    vm, servers = await start_vm("silent", timeout=1.0)
    async with anyio.create_task_group() as group:
        group.start_soon(vm.send_request, "r-silent")
        await anyio.sleep(0.1)
        await refuse_once(vm, servers[0])
        opened = vm.pool.opened
        await anyio.sleep(0.6)
        assert vm.pool.opened == opened


@pytest.mark.anyio
@pytest.mark.parametrize(
    "retry_after", ["0", "-3", "Wed, 21 Oct 2035 07:28:00 GMT", "soon", "nan", "1e3"]
)
async def test_odd_retry_time_starts_no_backoff_and_is_logged_once(start_vm, logged, retry_after):
    vm, servers = await start_vm("complete")
    for _ in range(2):
        await refuse_once(vm, servers[0], 0.2, retry_after)
    await anyio.sleep(0.25)
    assert (await vm.send_request("r-later")).status == 200
    assert logged().count("backoffs: unusable retry time") == 1


@pytest.mark.anyio
async def test_huge_retry_time_is_bounded_and_logged_once(start_vm, logged):
    vm, servers = await start_vm("complete")
    caller = await refuse_once(vm, servers[0], 0.2, "9" * 400)
    assert caller.status == 503
    limit = backoffs.MAX_BACKOFF_SECONDS
    assert limit - 1.0 < float(caller.headers[b"retry-after"]) < limit + 1.0
    assert logged().count("backoffs: unusable retry time") == 1
