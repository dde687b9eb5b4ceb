"""Callers' port of a VM with real sockets, whose limits and routing are scripted."""

import asyncio
import contextlib
import inspect
import json
import socket
import types

import anyio

from hollyring.configuration import objects, state
from hollyring.core import identities, invariants
from hollyring.limits import retry_budget
from hollyring.node import (
    api,
    bounded_protocol,
    claims_actor,
    connection_pool,
    engine_client,
    http_server,
    metrics,
    routing_actor,
    services,
    settings,
    vm,
)

KEY = "scripted-key"
ORGANISATION = "kigoma"
MODEL = "parish"
INITIAL_RETRIES = 5.0
START_TIMEOUT_SECONDS = 5.0
LOST_ERRORS = (ConnectionError, asyncio.IncompleteReadError)


class Upstream:
    """Upstream on a socket, with one script for each request; the last one is repeated.

    A script is called with the writer of the connection, and with the id of the request if it takes
    one, and writes the response; it returns whether the connection stays open.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.address = ""

    @contextlib.asynccontextmanager
    async def running(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with server:
            yield self

    async def _serve(self, reader, writer):
        with contextlib.closing(writer), contextlib.suppress(*LOST_ERRORS):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
                self.requests.append(await reader.readexactly(int(length or 0)))
                script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
                names = head.lower().partition(b"x-request-id: ")[2].partition(b"\r\n")[:1]
                takes_name = "request_id" in inspect.signature(script).parameters
                if not await script(writer, *names[: int(takes_name)]):
                    break


class Limits:
    """Limits that admit every request, after `on_admit` was called."""

    def __init__(self):
        self.on_admit = lambda: None
        self.admitted = []
        self.settled = {}

    async def admit(self, organisation, tokens, request_id):
        self.admitted.append(request_id)
        self.on_admit()

    def settle(self, organisation, request_id, used):
        self.settled[request_id] = used


class Routing:
    """Routing that takes the upstreams in order, and records what it is told of attempts."""

    def __init__(self, upstreams):
        self._upstreams = upstreams
        self.attempts = 0
        self.first_tokens = []
        self.finished = []
        self.failed = []

    async def route(self, request):
        upstream = self._upstreams[self.attempts % len(self._upstreams)]
        self.attempts += 1
        name = f"u-{self.attempts}"
        return routing_actor.RoutedAttempt(name, "a", upstream.address, 0, self.attempts)

    def record_first_token(self, attempt):
        self.first_tokens.append(attempt.number)

    def record_finished(self, attempt, cached_tokens):
        self.finished.append(attempt.number)

    def record_failed(self, attempt, lost):
        self.failed.append(attempt.number)


class ScriptedVm:
    """VM whose route ``/orders`` runs calls at most once, and ``/prices`` repeats them."""

    def __init__(self, upstreams, bounds=None):
        self.limits, self.routing = Limits(), Routing(upstreams)
        self.pool = connection_pool.ConnectionPool()
        self.metrics = metrics.Metrics()
        self.port = 0
        incarnation = identities.Incarnation("vm-1", 1)
        counters = invariants.Invariants()
        self.claims = claims_actor.ClaimsActor(incarnation, counters, None, None)
        names = tuple(f"u-{number}" for number in range(len(upstreams)))
        key = objects.Key("till", objects.key_digest(KEY))
        items = [
            objects.Organisation(ORGANISATION, 1_000.0, 1_000, keys=(key,)),
            objects.Model(MODEL, "1"),
            objects.Route("/orders", names, ("POST",)),
            objects.Route("/prices", names, ("POST",), idempotent=True),
        ]
        for name, upstream in zip(names, upstreams, strict=True):
            items.append(objects.Upstream(name, "service", upstream.address, "r", name))
        configuration = types.SimpleNamespace(
            current=state.Configuration().with_changes(1, "", items, []), refusal=lambda: None
        )
        self.application = api.Application(
            vm.VM(
                incarnation,
                types.SimpleNamespace(limits=bounds or settings.Limits()),
                configuration,
                self.limits,
                self.routing,
                self.claims,
                None,
                engine_client.EngineClient(self.pool),
                services.ServiceClient(self.pool),
                retry_budget.RetryBudget(1, initial_balance=INITIAL_RETRIES),
                self.metrics,
                counters,
            )
        )

    @contextlib.asynccontextmanager
    async def running(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        protocol = bounded_protocol.protocol_class(settings.Limits())
        server = http_server.make_server(
            self.application, protocol, grace_seconds=0.1, idle_seconds=5, date_header=False
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self.claims.run)
            group.start_soon(server.serve, [listener])
            with anyio.fail_after(START_TIMEOUT_SECONDS):
                while not server.started:
                    await anyio.sleep(0.005)
            yield self
            server.should_exit = True
            self.pool.close()
            group.cancel_scope.cancel()


def request(path, body, *headers):
    """Return a whole POST request of a caller."""
    content = json.dumps(body).encode()
    lines = [f"POST {path} HTTP/1.1", "host: h", f"authorization: Bearer {KEY}", *headers]
    return "\r\n".join([*lines, f"content-length: {len(content)}", "", ""]).encode() + content


def completion(max_tokens=3, stream=True):
    """Return a completion request of a caller."""
    body = {"model": MODEL, "prompt": "?", "max_tokens": max_tokens, "stream": stream}
    return request("/v1/completions", body)
