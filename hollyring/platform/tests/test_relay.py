"""The whole request path against stand-ins, through the adapter's codec."""

import contextlib

import anyio
import pytest

from hollyring.configuration import deployment
from hollyring.core import request_types
from hollyring.limits import service_retry_budgets
from hollyring.membership import heartbeat
from hollyring.node import clock, connection_pool, metrics, relay, responses, state
from hollyring.platform import documents, ingress, upstreams
from hollyring.platform.tests import conftest
from hollyring.routing import registry

SLACK = service_retry_budgets.RetryRules(0.2, 500.0, 10.0)


class Caller:
    """The ASGI channel of one caller."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.ended = False

    async def send(self, message):
        if message["type"] == "http.response.start":
            assert self.status is None
            self.status = message["status"]
            self.headers = dict(message["headers"])
            return
        self.body += message.get("body", b"")
        self.ended = not message.get("more_body", False)


class Vm:
    """A relay with its beliefs, and servers that it knows."""

    def __init__(self, servers, **route):
        self.beliefs = state.State(
            heartbeat.VmInfo("vm-1", 1, "c", "p", "dar-a", "dar"),
            documents.StoredDocuments(),
            documents.PREFIXES,
            SLACK,
        )
        self.configure(**route)
        for server in servers:
            streams = self.beliefs.deployment.services["s"].engine is not None
            versions = {"m": server.version} if streams else {}
            self.beliefs.registry.put(
                registry.Entry(server.name, "s", server.address, "dar-a", 8, False, 1, versions)
            )
        self.links = connection_pool.ConnectionPool()
        self.relay = relay.Relay(
            self.beliefs, upstreams.ServerCodec(), self.links, metrics.Metrics()
        )

    def configure(
        self,
        repeat=request_types.RetrySafety.AT_MOST_ONCE,
        attempts=2,
        timeout=3.0,
        rate=0.0,
        streams=False,
    ):
        engine = deployment.Engine(8, 100_000, 8, 1e9, ("m",)) if streams else None
        self.beliefs.deployment = deployment.Deployment(
            1,
            [
                deployment.Route(
                    "r",
                    "h",
                    "/",
                    repeat,
                    streams,
                    timeout,
                    0.2,
                    2,
                    (deployment.Split("s", 1.0),),
                    attempts,
                    False,
                )
            ],
            [deployment.Service("s", 100, engine=engine)],
            [deployment.Organisation("org", ("key",), rate, rate, False, 0, False, None)],
            deployment.RequestLimits(),
            True,
        )
        self.beliefs.selector.configure(self.beliefs.deployment)

    async def ask(self, name="r-1", key="key", patience=2.0, path="/x?y=%20", headers=()):
        caller = Caller()
        prompt = None
        current = self.beliefs.deployment
        if current and current.services["s"].engine:
            prompt = request_types.Prompt(
                "m", (request_types.Part("a", 100), request_types.Part("b", 10)), 110, 5
            )
        passed = ((b"x-request-id", name.encode()), *headers)
        if prompt:
            passed += ((b"x-model", b"m"),)
        made = request_types.Request(
            name,
            b"POST",
            path.encode(),
            "h",
            path.partition("?")[0],
            passed,
            b"body",
            key,
            patience,
            prompt,
        )
        reply = responses.ResponseWriter(caller.send, ingress.encode_refusal, lambda: False)
        with contextlib.suppress(responses.IncompleteResponseError):
            await self.relay.serve(made, reply)
        return caller


@pytest.fixture
async def fleet():
    """Returns a VM before servers that answer as named."""
    async with contextlib.AsyncExitStack() as stack:

        async def start(*plays, **route):
            made = [conftest.Server(f"i-{n}", play) for n, play in enumerate(plays)]
            running = [await stack.enter_async_context(s.running()) for s in made]
            return Vm(running, **route), running

        yield start


def runs(servers):
    return sum(len(server.requests) for server in servers)


@pytest.mark.anyio
async def test_answer_comes_whole_with_its_signature(fleet):
    vm, servers = await fleet("whole")
    caller = await vm.ask()
    assert (caller.status, caller.body, caller.ended) == (200, b"done by i-0", True)
    assert caller.headers[b"x-response-seal"] == conftest.SEAL.encode()
    got = servers[0].requests[0]
    assert (got.path, got.query, got.body) == ("/x", {"y": "%20"}, b"body")
    assert got.headers["x-tenant"] == "org"
    assert got.headers["x-expect-instance"] == "i-0"
    assert 1500 < int(got.headers["x-deadline-ms"]) <= 2000
    assert "authorization" not in got.headers


@pytest.mark.anyio
async def test_callers_headers_that_are_the_systems_do_not_pass(fleet):
    vm, servers = await fleet("whole")
    spoofed = [b"x-tenant", b"x-hold", b"x-pin-ms", b"x-kv-backup", b"kv-from", b"x-cache-salt"]
    spoofed += [b"x-request-priority", b"x-expect-version", b"authorization", b"connection"]
    await vm.ask(headers=[(name, b"spoofed") for name in spoofed])
    assert "spoofed" not in servers[0].requests[0].headers.values()


@pytest.mark.anyio
@pytest.mark.parametrize("repeat", list(request_types.RetrySafety))
@pytest.mark.parametrize("play", ["refuse", "other"])
async def test_refusal_that_says_not_run_is_followed_by_another_upstream(fleet, repeat, play):
    vm, servers = await fleet(play, "whole", repeat=repeat, attempts=1)
    for number in range(6):
        caller = await vm.ask(f"r-{number}")
        assert caller.status == 200


@pytest.mark.anyio
async def test_service_that_only_refuses_gives_a_true_not_run_at_once(fleet):
    vm, _ = await fleet("refuse", "refuse")
    with anyio.fail_after(1.0):
        caller = await vm.ask()
    assert caller.status == 503
    assert float(caller.headers[b"retry-after"]) > 0


@pytest.mark.anyio
@pytest.mark.parametrize("play", ["reset", "unsealed", "silent"])
async def test_request_that_may_have_run_once_is_neither_repeated_nor_refused(fleet, play):
    vm, servers = await fleet(play, play, attempts=3, timeout=0.6)
    caller = await vm.ask(patience=0.6)
    assert runs(servers) == 1
    assert caller.status in (502, 504)
    assert b"retry-after" not in caller.headers


@pytest.mark.anyio
async def test_no_refusal_says_not_run_after_a_try_that_may_have_run(fleet):
    """An idempotent call is sent, breaks off, and then every upstream refuses."""
    vm, servers = await fleet(
        "reset", "refuse", repeat=request_types.RetrySafety.IDEMPOTENT, attempts=2
    )
    for number in range(10):
        caller = await vm.ask(f"r-{number}")
        sent = any(r.headers["x-request-id"] == f"r-{number}" for r in servers[0].requests)
        assert caller.status == (502 if sent else 503)


@pytest.mark.anyio
@pytest.mark.parametrize("play", ["reset", "unsealed", "silent", "error"])
async def test_idempotent_call_is_run_elsewhere(fleet, play):
    vm, servers = await fleet(play, "whole", repeat=request_types.RetrySafety.IDEMPOTENT)
    for number in range(4):
        caller = await vm.ask(f"r-{number}", patience=2.0)
        assert (caller.status, caller.body) == (200, b"done by i-1")


@pytest.mark.anyio
async def test_upstream_that_answers_with_failures_is_avoided(fleet):
    """Also where each failure could be made good elsewhere: that costs time and retries."""
    vm, servers = await fleet("error", "whole", repeat=request_types.RetrySafety.IDEMPOTENT)
    servers[1].delay = 0.03
    for number in range(10):
        async with anyio.create_task_group() as group:
            for part in "abcd":
                group.start_soon(vm.ask, f"r-{number}-{part}")
    assert runs(servers[:1]) <= 10


@pytest.mark.anyio
async def test_upstreams_own_failure_is_handed_on_after_the_last_try(fleet):
    vm, servers = await fleet("error", "error", repeat=request_types.RetrySafety.IDEMPOTENT)
    caller = await vm.ask()
    assert (caller.status, caller.body) == (500, b"failed")
    assert runs(servers) == 2


@pytest.mark.anyio
async def test_stream_comes_event_by_event(fleet):
    vm, _ = await fleet("whole", streams=True)
    caller = await vm.ask()
    assert caller.body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
    assert caller.ended


@pytest.mark.anyio
async def test_resumable_stream_goes_on_at_another_upstream(fleet):
    vm, servers = await fleet(
        "breaks", "whole", streams=True, repeat=request_types.RetrySafety.RESUMABLE
    )
    for number in range(4):
        vm.beliefs.registry.get("i-1").record_failure(clock.now())
        caller = await vm.ask(f"r-{number}")
        assert caller.body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
        assert caller.ended
    resumed = [r for r in servers[1].requests if "last-event-id" in r.headers]
    assert {r.headers["last-event-id"] for r in resumed} == {"2"}


@pytest.mark.anyio
async def test_stream_that_may_not_be_repeated_breaks_off_without_an_end(fleet):
    vm, servers = await fleet("breaks", "breaks", streams=True)
    caller = await vm.ask()
    assert caller.body == b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
    assert not caller.ended
    assert runs(servers) == 1


@pytest.mark.anyio
async def test_caller_that_leaves_ends_the_upstreams_work(fleet):
    vm, servers = await fleet("silent")
    with anyio.move_on_after(0.2):
        await vm.ask()
    await anyio.sleep(0.2)
    assert servers[0].closed == 1
    assert vm.beliefs.registry.get("i-0").open_requests == 0


@pytest.mark.anyio
async def test_final_answer_comes_at_the_routes_timeout(fleet):
    vm, _ = await fleet("silent", timeout=0.4)
    with anyio.fail_after(0.6):
        caller = await vm.ask(patience=5.0)
    assert caller.status == 504


@pytest.mark.anyio
@pytest.mark.parametrize(("key", "path", "status"), [("no", "/x", 401), ("key", "/x", 200)])
async def test_key_decides(fleet, key, path, status):
    vm, servers = await fleet("whole")
    caller = await vm.ask(key=key, path=path)
    assert caller.status == status
    assert runs(servers) == (status == 200)


@pytest.mark.anyio
async def test_rate_refuses_at_once_with_the_time_to_return(fleet):
    vm, servers = await fleet("whole", rate=1.0)
    assert (await vm.ask("r-1")).status == 200
    caller = await vm.ask("r-2")
    assert caller.status == 429
    assert 0.5 < float(caller.headers[b"retry-after"]) <= 1.0
    assert runs(servers) == 1


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("since", "patience", "status"), [(1.0, 6.0, 200), (3.0, 6.0, 503), (3.0, 3.0, 200)]
)
async def test_leaving_vm_refuses_late_what_it_may_not_finish(fleet, since, patience, status):
    """A stream that a caller sent 3.8 s after SIGTERM was cut at the end of the grace."""
    vm, servers = await fleet("whole", timeout=10.0)
    vm.beliefs.leave(clock.now() - since, 7.4)
    caller = await vm.ask(patience=patience)
    assert caller.status == status
    assert runs(servers) == (status == 200)
    assert (b"retry-after" in caller.headers) is (status == 503)


@pytest.mark.anyio
async def test_vm_without_a_configuration_says_when_to_return(fleet):
    vm, _ = await fleet("whole")
    vm.beliefs.deployment = None
    caller = await vm.ask()
    assert caller.status == 503
    assert b"retry-after" in caller.headers


@pytest.mark.anyio
async def test_service_without_upstreams_refuses_at_once(fleet):
    vm, _ = await fleet()
    assert (await vm.ask()).status == 503


@pytest.mark.anyio
async def test_upstream_is_not_in_doubt_because_this_vm_has_enough_connections(fleet):
    vm, servers = await fleet("silent", timeout=20.0)
    most = vm.beliefs.max_connections(vm.beliefs.deployment.services["s"])
    async with anyio.create_task_group() as group:
        for number in range(most + 5):
            group.start_soon(vm.ask, f"r-{number}", "key", 20.0)
        await anyio.sleep(0.2)
        assert not vm.beliefs.registry.get("i-0").is_suspect(clock.now())
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_budget_bounds_what_is_sent_again(fleet):
    vm, servers = await fleet("reset", "reset", repeat=request_types.RetrySafety.IDEMPOTENT)
    vm.beliefs._retries = service_retry_budgets.ServiceRetryBudgets(
        service_retry_budgets.RetryRules(0.0, 4.0, 10.0)
    )
    for number in range(20):
        await vm.ask(f"r-{number}")
    assert 20 <= runs(servers) <= 24
