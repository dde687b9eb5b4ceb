"""Tests of requests whose server falls silent for a while and goes on."""

import asyncio
import contextlib

import anyio
import pytest

from hollyring.core import request_types
from hollyring.delivery import forwarded
from hollyring.limits import service_retry_budgets
from hollyring.node import clock, connection_pool
from hollyring.platform.tests import conftest, test_forwarded_requests, test_relay

EVENTS = 5
OVERLAP_SECONDS = 0.4
"""Time for which a server may work on a request that goes on at another one."""

CLOSE_SECONDS = 0.2
"""Time within which a server that another has replaced sees its connection closed."""


class PausingServer(conftest.ServerStandIn):
    """Server that is silent for `pause_seconds` after event `pause_after` of its streams.

    Calls are answered after `pause_seconds`. `events_at` and `closed_at` are the times at which it
    sent events and at which its connection was closed during a request.
    """

    def __init__(self, name, pause_seconds=0.0, pause_after=2, behaviour="complete"):
        super().__init__(name, behaviour, EVENTS)
        self.pause_seconds = pause_seconds
        self.pause_after = pause_after
        self.events_at = []
        self.closed_at = []

    async def handle(self, request, writer):
        if self.behaviour != "complete":
            await super().handle(request, writer)
            return
        work = asyncio.ensure_future(self.work(request, writer))
        closed = asyncio.ensure_future(self.readers[writer].read(1))
        await asyncio.wait([work, closed], return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            self.closed_at.append(clock.now())
            work.cancel()
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        self.readers[writer]._waiter = None

    async def work(self, request, writer):
        if "x-model" not in request.headers:
            await asyncio.sleep(self.pause_seconds)
            body = b"done by " + self.name.encode()
            writer.write(self.encode_sealed_response(request, 200, body))
            return
        first = int(request.headers.get("last-event-id", 0)) + 1
        head = ["HTTP/1.1 200 OK", "content-type: text/event-stream", "transfer-encoding: chunked"]
        head += [f"x-request-id: {request.headers['x-request-id']}"]
        head += [f"x-response-seal: {conftest.SEAL}", "", ""]
        if self.pause_after == 0:
            await asyncio.sleep(self.pause_seconds)
        writer.write("\r\n".join(head).encode())
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            self.events_at.append(clock.now())
            await asyncio.sleep(self.pause_seconds if number == self.pause_after else 0.01)
        writer.write(b"0\r\n\r\n")


class SlottedServer(PausingServer):
    """Server that works on a few calls at a time."""

    def __init__(self, name, pause_seconds, slots):
        super().__init__(name, pause_seconds)
        self.slots = asyncio.Semaphore(slots)

    async def work(self, request, writer):
        async with self.slots:
            await super().work(request, writer)


@pytest.fixture
async def start_vm():
    """Yield a function that starts a VM with the given servers, of which it prefers the first."""
    async with contextlib.AsyncExitStack() as stack:

        async def start(*servers, **route):
            for server in servers:
                await stack.enter_async_context(server.running())
            vm = test_relay.RelayVm(servers, **route)
            for number, server in enumerate(servers):
                for _ in range(2 * number):
                    vm.state.registry.get(server.name).record_failure(clock.now())
            return vm

        yield start


WHOLE = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
RESUMABLE = {"streaming": True, "retry_safety": request_types.RetrySafety.RESUMABLE}
IDEMPOTENT = {"retry_safety": request_types.RetrySafety.IDEMPOTENT}
AT_MOST_ONCE = {"retry_safety": request_types.RetrySafety.AT_MOST_ONCE}
OVERLOAD_REQUESTS = 80
OVERLOADED_SLOTS = 5
NO_RETRIES = service_retry_budgets.RetryRules(0.0, 0.0, 10.0)


def make_servers(first, hindrance):
    """Return the servers of a VM at which nothing can take over from `first`."""
    if hindrance == "no other server":
        return [first]
    other = PausingServer("i-1")
    if hindrance == "other software":
        other.software = "v2"
    if hindrance == "other refuses":
        other.behaviour = "refuse"
    if hindrance == "other resets":
        other.behaviour = "reset"
    if hindrance == "other fails":
        other.behaviour = "error"
    if hindrance == "other is silent":
        other.behaviour = "silent"
    return [first, other]


def hinder(vm, hindrance):
    if hindrance == "no retries left":
        vm.state._retries = service_retry_budgets.ServiceRetryBudgets(NO_RETRIES)


HINDRANCES = [
    "no other server",
    "no retries left",
    "other refuses",
    "other resets",
    "other fails",
    "other is silent",
]


REPLACED_IN_TIME = "other is silent"
"""What leaves a silent stream open for 0.4 s only, as the other server then is to go on with it."""

LASTING = [hindrance for hindrance in HINDRANCES if hindrance != REPLACED_IN_TIME]


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("pause_seconds", "hindrance"),
    [
        *((1.2, hindrance) for hindrance in [*HINDRANCES, "other software"]),
        *((2.4, hindrance) for hindrance in [*LASTING, "other software"]),
    ],
)
async def test_stream_goes_on_after_a_silence_in_which_nothing_took_over(
    start_vm, hindrance, pause_seconds
):
    servers = make_servers(PausingServer("i-0", pause_seconds), hindrance)
    vm = await start_vm(*servers, timeout=6.0, **RESUMABLE)
    hinder(vm, hindrance)
    caller = await vm.send_request(deadline_seconds=6.0)
    assert (caller.status, caller.body, caller.ended) == (200, WHOLE, True)
    assert len(servers[0].requests) == 1


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("pause_seconds", "hindrance"),
    [(1.4, REPLACED_IN_TIME), *((1.9, hindrance) for hindrance in LASTING)],
)
async def test_stream_begins_after_a_silence_in_which_nothing_took_over(
    start_vm, pause_seconds, hindrance
):
    servers = make_servers(PausingServer("i-0", pause_seconds, pause_after=0), hindrance)
    vm = await start_vm(*servers, timeout=6.0, **RESUMABLE)
    hinder(vm, hindrance)
    caller = await vm.send_request(deadline_seconds=6.0)
    assert (caller.status, caller.body, caller.ended) == (200, WHOLE, True)
    assert len(servers[0].requests) == 1


@pytest.mark.anyio
@pytest.mark.parametrize("hindrance", HINDRANCES)
async def test_late_answer_of_a_call_is_delivered_if_nothing_took_over(start_vm, hindrance):
    servers = make_servers(PausingServer("i-0", 0.7), hindrance)
    vm = await start_vm(*servers, **IDEMPOTENT)
    hinder(vm, hindrance)
    caller = await vm.send_request()
    assert (caller.status, caller.body) == (200, b"done by i-0")
    assert len(servers[0].requests) == 1


@pytest.mark.anyio
@pytest.mark.parametrize("streaming", [False, True])
async def test_at_most_once_request_is_sent_once_to_a_silent_server_and_answered(
    start_vm, streaming
):
    servers = [PausingServer("i-0", 2.3), PausingServer("i-1")]
    vm = await start_vm(*servers, timeout=6.0, streaming=streaming, **AT_MOST_ONCE)
    caller = await vm.send_request(deadline_seconds=6.0)
    assert (caller.status, caller.body) == (200, WHOLE if streaming else b"done by i-0")
    assert [len(server.requests) for server in servers] == [1, 0]


@pytest.mark.anyio
async def test_silent_stream_is_closed_only_when_another_server_has_taken_over(start_vm):
    silent, other = PausingServer("i-0", 5.0), PausingServer("i-1")
    vm = await start_vm(silent, other, timeout=6.0, **RESUMABLE)
    caller = await vm.send_request(deadline_seconds=6.0)
    assert (caller.status, caller.body, caller.ended) == (200, WHOLE, True)
    await anyio.sleep(CLOSE_SECONDS)
    assert other.requests[0].headers["last-event-id"] == "2"
    assert 0.0 <= silent.closed_at[0] - other.events_at[0] < CLOSE_SECONDS
    assert vm.state.registry.get("i-0").open_requests == 0


@pytest.mark.anyio
async def test_silent_server_works_no_longer_than_400_ms_beside_one_that_reads_its_prompt(start_vm):
    silent, other = PausingServer("i-0", 5.0), PausingServer("i-1", 1.2, pause_after=0)
    vm = await start_vm(silent, other, timeout=6.0, **RESUMABLE)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(vm.send_request)
        with anyio.fail_after(3.0):
            while not other.requests:
                await anyio.sleep(0.01)
        await anyio.sleep(OVERLAP_SECONDS)
        assert len(silent.closed_at) == 1
        task_group.cancel_scope.cancel()


@pytest.mark.anyio
@pytest.mark.parametrize("pause_after", [0, 2])
@pytest.mark.parametrize("later_seconds", [0.6, 1.9])
async def test_stream_goes_on_at_the_second_server_also_if_that_is_silent_for_long(
    start_vm, pause_after, later_seconds
):
    first = PausingServer("i-0", 5.0, pause_after)
    second = PausingServer("i-1", later_seconds, pause_after=0)
    vm = await start_vm(first, second, timeout=6.0, **RESUMABLE)
    caller = await vm.send_request(deadline_seconds=6.0)
    assert (caller.status, caller.body, caller.ended) == (200, WHOLE, True)
    overlap_seconds = first.closed_at[0] - (second.events_at[0] - later_seconds)
    assert 0.0 < overlap_seconds < OVERLAP_SECONDS
    assert [len(first.requests), len(second.requests)] == [1, 1]


@pytest.mark.anyio
@pytest.mark.parametrize("executing_vm", ["runs it", "declines late", "sends it to no server"])
async def test_silent_server_works_no_longer_than_400_ms_beside_one_that_another_vm_uses(
    executing_vm,
):
    silent, other = PausingServer("i-0", 2.2), PausingServer("i-1", 1.2, pause_after=0)
    route = {"timeout": 6.0, **RESUMABLE}
    refusal = forwarded.ForwardedRefusal("overloaded", 1.0, "not_run", 0, [])
    callers = []
    async with silent.running(), other.running(), anyio.create_task_group() as group:
        fleet = test_forwarded_requests.Fleet(group, [silent], route)
        fleet.cut.state.reachability.cut = False
        await group.start(fleet.cut.run)
        match executing_vm:
            case "runs it":
                await fleet.add(servers=[other])
            case "declines late":
                await fleet.add_scripted(0.7, refusal)
            case "sends it to no server":
                waits = [0.4, forwarded.ForwardedWait(0)] * 2
                await fleet.add_scripted(*waits, 0.2, refusal)

        async def call():
            callers.append(await fleet.cut.send_request(deadline_seconds=6.0))

        group.start_soon(call)
        await anyio.sleep(0.5)
        fleet.cut.state.reachability.cut = True
        with anyio.fail_after(3.0):
            while not fleet.executing[0].messages:
                await anyio.sleep(0.01)
        await anyio.sleep(OVERLAP_SECONDS)
        assert len(silent.closed_at) == (executing_vm == "runs it")
        with anyio.fail_after(5.0):
            while not callers:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert (callers[0].status, callers[0].body, callers[0].ended) == (200, WHOLE, True)


@pytest.mark.anyio
async def test_silent_call_is_closed_when_another_server_has_answered(start_vm):
    silent, other = PausingServer("i-0", 1.5), PausingServer("i-1")
    vm = await start_vm(silent, other, **IDEMPOTENT)
    caller = await vm.send_request()
    assert (caller.status, caller.body) == (200, b"done by i-1")
    await anyio.sleep(CLOSE_SECONDS)
    assert len(silent.closed_at) == 1
    assert vm.state.registry.get("i-0").open_requests == 0


@pytest.mark.anyio
async def test_second_server_is_closed_when_the_silent_one_goes_on(start_vm):
    first, second = PausingServer("i-0", 1.15), PausingServer("i-1", 3.0, pause_after=0)
    vm = await start_vm(first, second, timeout=6.0, **RESUMABLE)
    caller = await vm.send_request(deadline_seconds=6.0)
    assert (caller.body, caller.ended) == (WHOLE, True)
    await anyio.sleep(CLOSE_SECONDS)
    assert second.events_at == []
    assert second.closed_at[0] - first.events_at[2] < CLOSE_SECONDS
    assert vm.state.registry.get("i-1").open_requests == 0


@pytest.mark.anyio
@pytest.mark.parametrize("attempts", [1, 2, 3])
@pytest.mark.parametrize("route", [RESUMABLE, IDEMPOTENT])
async def test_silent_servers_count_as_runs_until_the_deadline(start_vm, attempts, route):
    servers = [PausingServer(f"i-{number}", behaviour="silent") for number in range(4)]
    vm = await start_vm(*servers, timeout=4.5, attempts=attempts, **route)
    with anyio.fail_after(4.7):
        caller = await vm.send_request(deadline_seconds=4.5)
    assert caller.status == 504
    assert sum(len(server.requests) for server in servers) == attempts
    await anyio.sleep(CLOSE_SECONDS)
    assert sum(server.closed_connections for server in servers) == attempts


async def play_overload(start_vm, rules):
    """Send more calls than silent servers have slots for; return the sends and the statuses."""
    servers = [SlottedServer(f"i-{n}", 1.2, OVERLOADED_SLOTS) for n in range(4)]
    vm = await start_vm(*servers, timeout=4.0, attempts=3, **IDEMPOTENT)
    vm.state._retries = service_retry_budgets.ServiceRetryBudgets(rules)
    statuses = []

    async def send(number):
        caller = await vm.send_request(f"r-{number}", deadline_seconds=4.0)
        statuses.append(caller.status)

    async with anyio.create_task_group() as group:
        for number in range(OVERLOAD_REQUESTS):
            group.start_soon(send, number)
            await anyio.sleep(0.02)
    return sum(len(server.requests) for server in servers), statuses


@pytest.mark.anyio
async def test_attempts_beside_silent_ones_cost_no_more_answers_than_the_retry_budget_allows(
    start_vm,
):
    rules = service_retry_budgets.RetryRules(0.2, 10.0, 10.0)
    sent_alone, alone = await play_overload(start_vm, NO_RETRIES)
    sent, beside = await play_overload(start_vm, rules)
    assert sent_alone <= OVERLOAD_REQUESTS < sent
    assert sent <= OVERLOAD_REQUESTS * (1.0 + rules.ratio) + rules.slack
    assert alone.count(200) - beside.count(200) <= sent - OVERLOAD_REQUESTS


@pytest.mark.anyio
async def test_caller_that_leaves_closes_every_server_of_its_request(start_vm):
    servers = [PausingServer(f"i-{number}", behaviour="silent") for number in range(2)]
    vm = await start_vm(*servers, **IDEMPOTENT)
    with anyio.move_on_after(1.0):
        await vm.send_request()
    await anyio.sleep(CLOSE_SECONDS)
    assert [server.closed_connections for server in servers] == [1, 1]
    assert {upstream.open_requests for upstream in vm.state.registry.upstreams.values()} == {0}


@pytest.mark.anyio
async def test_no_request_is_sent_on_idle_connections_to_a_server_that_takes_no_connection(
    start_vm, monkeypatch
):
    server = PausingServer("i-0", 0.1)
    vm = await start_vm(server, **AT_MOST_ONCE)
    async with anyio.create_task_group() as group:
        for number in range(5):
            group.start_soon(vm.send_request, f"r-{number}")
    assert vm.pool.open_connections(server.address) == 5

    async def refuse(*_):
        return False

    monkeypatch.setattr(connection_pool.ConnectionPool, "can_connect", refuse)
    server.pause_seconds = 1.0
    async with anyio.create_task_group() as group:
        group.start_soon(vm.send_request, "r-5")
        await anyio.sleep(0.6)
        assert vm.pool.open_connections(server.address) == 1


@pytest.mark.anyio
async def test_probe_that_fails_after_the_server_went_on_replaces_it_by_no_other(
    start_vm, monkeypatch
):
    first, second = PausingServer("i-0", 0.5), PausingServer("i-1")
    vm = await start_vm(first, second, **RESUMABLE)

    async def connect_late(pool, address):
        while len(first.events_at) < first.pause_after + 2:
            await anyio.sleep(0.001)
        return False

    monkeypatch.setattr(connection_pool.ConnectionPool, "can_connect", connect_late)
    caller = await vm.send_request()
    assert (caller.status, caller.body) == (200, WHOLE)
    assert not vm.state.registry.get("i-0").is_suspect(clock.now())
    assert vm.state.unresponsive_upstreams == []
    assert second.requests == []


@pytest.mark.anyio
async def test_servers_failure_is_the_answer_also_if_another_attempt_breaks_off_later(start_vm):
    first = PausingServer("i-0", 0.6, behaviour="silent")
    second = PausingServer("i-1", behaviour="error")
    vm = await start_vm(first, second, **IDEMPOTENT)

    async def break_off():
        await anyio.sleep(0.8)
        first.crash()

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(break_off)
        caller = await vm.send_request()
    assert (caller.status, caller.body) == (500, b"failed")
