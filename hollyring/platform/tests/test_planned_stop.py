"""Tests of what callers get from a VM between its SIGTERM and its end, by kind of request."""

import asyncio
import contextlib
import dataclasses
import signal

import anyio
import pytest

from hollyring.node import clock
from hollyring.platform.tests import conftest, test_end_of_grace_period, test_process

pytestmark = pytest.mark.xdist_group("platform-processes")

GRACE_SECONDS = 8.0
WORK_SECONDS = 6.5
ROUTE_SECONDS = 10.0
MOMENTS = (0.0, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5)
"""Seconds after the SIGTERM at which requests are sent; the VM takes connections for four."""

REFUSED_SECONDS = 0.4
"""Time within which a request that is not taken is refused."""

EVENTS = 13
KEPT = 100
FIRST_KEPT_SECONDS = 3.9
KEPT_STEP_SECONDS = 0.005
"""Kept connections, and the times at which each sends a request around the close of all of them."""

KINDS = {
    "unsafe": {"kind": "unsafe"},
    "safe": {"kind": "safe"},
    "stream": {"kind": "streaming", "service": "e"},
    "resumable": {"kind": "streaming", "resumable": True, "service": "e"},
}
ONCE = ("unsafe", "stream")
"""Kinds of requests that may run once only."""

MODEL_HEADERS = test_end_of_grace_period.MODEL_HEADERS.decode()


@dataclasses.dataclass(slots=True)
class Call:
    """A request and what its caller got; `status` is 0 without an answer."""

    kind: str
    moment: float
    sent_at: float
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    seconds: float = 0.0

    @property
    def request_id(self):
        return f"{self.kind}-{self.moment}"


def encode(call, deadline_seconds, headers):
    lines = [
        f"POST /{call.kind}/x HTTP/1.1",
        "host: h.example",
        f"x-request-id: {call.request_id}",
        "authorization: Bearer k",
        f"x-deadline-ms: {deadline_seconds * 1000:.0f}",
        "content-length: 4",
    ]
    model_headers = MODEL_HEADERS if call.kind in ("stream", "resumable") else ""
    return ("\r\n".join(lines) + "\r\n" + model_headers + headers + "\r\nbody").encode()


async def read_answer(call, reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower().split("\r\n")
    call.status = int(head[0].split(" ")[1])
    call.headers = dict(line.split(": ", 1) for line in head[1:] if line)
    if "content-length" in call.headers:
        call.body = await reader.readexactly(int(call.headers["content-length"]))
    else:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            call.body += await reader.readexactly(size)
            await reader.readexactly(2)
    call.complete = True


async def send(vm, kind, moment, deadline_seconds=ROUTE_SECONDS, headers="", connection=None):
    """Return what a request got, on a connection of its own or on one that is open already."""
    call = Call(kind, moment, clock.now())
    host, _, port = vm.caller_url.removeprefix("http://").partition(":")
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        reader, writer = connection or await asyncio.open_connection(host, int(port))
        with contextlib.closing(writer):
            writer.write(encode(call, deadline_seconds, headers))
            await read_answer(call, reader)
    call.seconds = clock.now() - call.sent_at
    return call


async def send_at(vm, kind, started_at, moment, deadline_seconds=ROUTE_SECONDS):
    await anyio.sleep(max(0.0, started_at + moment - clock.now()))
    return await send(vm, kind, moment, deadline_seconds)


cluster = test_process.cluster


@pytest.fixture
async def fleet(cluster):
    """Yield two VMs, and the servers of the plain requests and of the streams."""
    store, plain, start = cluster
    async with conftest.ServerStandIn("i-2", events=EVENTS).running() as engine:
        engine_type = test_end_of_grace_period.ENGINE | {"models": [{"name": "m"}]}
        services = [{"name": "s", "max_connections": 100}]
        services += [{"name": "e", "max_connections": 100, "engine": engine_type | {"slots": 64}}]
        base = test_process.CONFIG["routes"][0] | {"timeout_ms": int(ROUTE_SECONDS * 1000)}
        routes = [
            base | {"name": name, "prefix": f"/{name}/"} | fields for name, fields in KINDS.items()
        ]
        changed = {"version": 4, "services": services, "routes": routes}
        await store.put("op/config", test_process.CONFIG | changed)
        models = [{"name": "m", "version": 1}]
        entry = conftest.make_entry(engine.address, models=models, service="e", slots=64)
        await store.put("servers/i-2", entry)
        await store.put("servers/i-1", conftest.make_entry(plain.address, slots=64))
        await store.put("hollyring/vm/.software", {"era": 1, "versions": {"e": ["v1"]}})
        vms = [start(name, grace_seconds=GRACE_SECONDS) for name in ("vm-1", "vm-2")]
        for vm in vms:
            await vm.wait_ready()
        await vms[0].wait_listed(2)
        plain.delay_seconds = WORK_SECONDS
        engine.event_seconds = WORK_SECONDS / EVENTS
        yield vms, plain, engine


async def play(leaving, kinds, deadline_seconds=ROUTE_SECONDS):
    """Send SIGTERM to a VM and return what requests at each moment got."""
    leaving.process.send_signal(signal.SIGTERM)
    started_at = clock.now()
    tasks = [
        asyncio.create_task(send_at(leaving, kind, started_at, moment, deadline_seconds))
        for moment in MOMENTS
        for kind in kinds
    ]
    return await asyncio.gather(*tasks)


def arrived(*servers):
    """Return the IDs of the requests that servers got."""
    requests = [request for server in servers for request in server.requests]
    return {request.headers.get("x-request-id") for request in requests}


@pytest.mark.anyio
async def test_leaving_vm_passes_on_no_request_that_may_run_once_and_outlasts_its_grace_period(
    fleet,
):
    (leaving, staying), plain, engine = fleet
    refused = await play(leaving, ONCE)
    assert [call.status for call in refused] == [503] * len(refused)
    assert arrived(plain, engine).isdisjoint(call.request_id for call in refused)
    for call in refused:
        assert call.seconds < REFUSED_SECONDS
        assert 0.0 < float(call.headers["retry-after"]) <= REFUSED_SECONDS
        assert call.headers["connection"] == "close"
    tasks = [asyncio.create_task(send(staying, call.kind, call.moment)) for call in refused]
    repeated = await asyncio.gather(*tasks)
    assert [(call.status, call.complete) for call in repeated] == [(200, True)] * len(refused)


@pytest.mark.anyio
@pytest.mark.parametrize("all_leave", [False, True], ids=["another stays", "all leave"])
async def test_leaving_vm_serves_what_ends_within_its_grace_period_also_beside_more_signals(
    fleet, all_leave
):
    (leaving, other), plain, engine = fleet
    plain.delay_seconds = WORK_SECONDS / 20
    engine.event_seconds = WORK_SECONDS / 20 / EVENTS

    async def signal_again():
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            await anyio.sleep(0.9)
            leaving.process.send_signal(number)

    if all_leave:
        other.process.send_signal(signal.SIGTERM)
    again = asyncio.create_task(signal_again())
    calls = await play(leaving, KINDS, deadline_seconds=3.5)
    await again
    assert [(call.status, call.complete) for call in calls] == [(200, True)] * len(calls)


@pytest.mark.anyio
async def test_stream_that_outlasts_the_grace_period_goes_on_at_another_vm(fleet):
    (leaving, staying), _, engine = fleet
    leaving.process.send_signal(signal.SIGTERM)
    await anyio.sleep(2.0)
    first = await send(leaving, "resumable", 2.0)
    assert (first.status, first.complete) == (200, False)
    received = first.body.count(b"\n\n")
    headers = f"last-event-id: {received}\r\nresumes: {first.request_id}\r\n"
    rest = await send(staying, "resumable", 7.4, headers=headers)
    assert (rest.status, rest.complete) == (200, True)
    events = [b"id: %d\ndata: %d\n\n" % (number, number) for number in range(1, EVENTS + 1)]
    assert first.body + rest.body == b"".join(events)


@pytest.mark.anyio
async def test_request_on_a_kept_connection_that_is_closed_unanswered_was_not_passed_on(fleet):
    (leaving, _), plain, engine = fleet
    plain.delay_seconds = 0.1
    host, _, port = leaving.caller_url.removeprefix("http://").partition(":")
    connections = [await asyncio.open_connection(host, int(port)) for _ in range(KEPT)]
    leaving.process.send_signal(signal.SIGTERM)
    started_at = clock.now()

    async def send_kept(index):
        moment = FIRST_KEPT_SECONDS + index * KEPT_STEP_SECONDS
        await anyio.sleep(started_at + moment - clock.now())
        return await send(leaving, "unsafe", moment, 2.0, connection=connections[index])

    calls = await asyncio.gather(*(send_kept(index) for index in range(KEPT)))
    unanswered = {call.request_id for call in calls if not call.status}
    assert {call.status for call in calls} == {0, 200}
    assert unanswered.isdisjoint(arrived(plain))


@pytest.mark.anyio
async def test_request_half_read_at_the_sigterm_is_decided_when_it_is_whole(fleet):
    (leaving, _), plain, _ = fleet
    plain.delay_seconds = 0.3
    host, _, port = leaving.caller_url.removeprefix("http://").partition(":")
    calls = [Call("unsafe", moment, clock.now()) for moment in (0.0, 0.5)]
    connections = [await asyncio.open_connection(host, int(port)) for _ in calls]
    requests = [
        encode(call, seconds, "") for call, seconds in zip(calls, (ROUTE_SECONDS, 3.5), strict=True)
    ]
    for (_, writer), request in zip(connections, requests, strict=True):
        writer.write(request[:-2])
    await anyio.sleep(0.2)
    leaving.process.send_signal(signal.SIGTERM)
    await anyio.sleep(0.5)
    for call, (reader, writer), request in zip(calls, connections, requests, strict=True):
        with contextlib.closing(writer):
            writer.write(request[-2:])
            await read_answer(call, reader)
    assert [call.status for call in calls] == [503, 200]
    assert arrived(plain) == {calls[1].request_id}
