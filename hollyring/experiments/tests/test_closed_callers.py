"""Requests whose callers have left, sent to a VM process over real sockets."""

import signal
import socket

import anyio
import httpcore
import msgspec
import pytest

from hollyring.experiments import launcher, load_generator, small_deployment
from hollyring.node import settings

pytestmark = pytest.mark.xdist_group("experiments-processes")

ADMISSION_TIMEOUT_SECONDS = 20.0
SETTLE_SECONDS = 1.0
"""Time within which a VM that goes on has sent on what it sends on."""

LEAVING_CALLERS = 5


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def fleet(tmp_path, anyio_backend):
    base = launcher.free_base_port()
    started = launcher.Fleet(
        small_deployment.document(base, vms=1, engines=1),
        tmp_path,
        base + launcher.PLATFORM_PORT_OFFSET,
        launcher.EngineOptions(speed=20.0),
    )
    try:
        await started.start_all()
        yield started
    finally:
        started.stop()


@pytest.fixture
async def caller(fleet):
    """Yield a caller that completes a request, once a request was admitted."""
    entries = [vm.caller_address for vm in fleet.vms]
    key = small_deployment.KEY
    client = load_generator.Client()
    caller = load_generator.Caller(small_deployment.ORGANISATION, key, entries)

    async def complete():
        return (
            await client.complete(caller, small_deployment.MODEL, "?", 1, stream=False)
        ).complete

    with anyio.fail_after(ADMISSION_TIMEOUT_SECONDS):
        while not await complete():
            await anyio.sleep(0.1)
    yield complete
    await client.close()


def connect(fleet):
    return socket.create_connection(settings.split_address(fleet.vms[0].caller_address))


def send_and_leave(connection, path, body, *headers):
    """Send a whole request and close the connection without waiting for the response."""
    lines = [f"POST {path} HTTP/1.1", "host: h", f"authorization: Bearer {small_deployment.KEY}"]
    lines += [*headers, f"content-length: {len(body)}", "", ""]
    connection.sendall("\r\n".join(lines).encode() + body)
    connection.close()


async def get(url):
    async with httpcore.AsyncConnectionPool() as pool:
        return msgspec.json.decode((await pool.request("GET", url)).content)


async def vm_state(fleet):
    return await get(f"http://{fleet.vms[0].admin_address}/state")


async def completions_at_engine(fleet):
    """Return the number of completion requests that arrived at the inference server."""
    counters = await get(fleet.control_url("engine-0") + "/counters")
    return counters.get("completions", 0)


async def leave_unread(fleet, path, body, headers):
    """Let callers send requests and leave while the VM stands still, then let it go on.

    `headers` returns the headers of the request with a number.
    """
    kept = [connect(fleet) for _ in range(LEAVING_CALLERS)]
    await anyio.sleep(0.1)
    fleet.signal("vm-0", signal.SIGSTOP)
    for number in range(LEAVING_CALLERS):
        send_and_leave(connect(fleet), path, body, *headers(number))
        send_and_leave(kept[number], path, body, *headers(number + LEAVING_CALLERS))
    fleet.signal("vm-0", signal.SIGCONT)
    await anyio.sleep(SETTLE_SECONDS)


@pytest.mark.anyio
@pytest.mark.parametrize("streamed", [True, False])
async def test_completion_that_lay_unread_until_its_caller_left_is_not_sent_on(
    fleet, caller, streamed
):
    body = {"model": small_deployment.MODEL, "prompt": "?", "max_tokens": 5, "stream": streamed}
    async with anyio.create_task_group() as group:
        for _ in range(2 * LEAVING_CALLERS):
            group.start_soon(caller)
    before, arrived = await vm_state(fleet), await completions_at_engine(fleet)
    await leave_unread(fleet, "/v1/completions", msgspec.json.encode(body), lambda _: ())
    after = await vm_state(fleet)
    assert await completions_at_engine(fleet) == arrived
    assert after["limits"]["admitted"] == before["limits"]["admitted"]
    assert after["open_requests"] == 0
    assert await caller()


@pytest.mark.anyio
@pytest.mark.parametrize("keyed", [True, False])
async def test_order_that_lay_unread_until_its_caller_left_is_not_claimed_or_sent_on(
    fleet, caller, keyed
):
    before = await vm_state(fleet)
    await leave_unread(
        fleet,
        "/orders",
        b'{"order": "left"}',
        lambda number: (f"idempotency-key: left-{number}",) if keyed else (),
    )
    after = await vm_state(fleet)
    assert await get(fleet.control_url("orders-0") + "/executions") == {}
    assert after["limits"]["admitted"] == before["limits"]["admitted"]
    assert after["claims"] == before["claims"]
    assert after["open_requests"] == 0
