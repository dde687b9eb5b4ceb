import dataclasses
import json
import urllib.parse

import anyio
import pytest

from hollyring.standins import asgi, batching, engine, platform


@dataclasses.dataclass(slots=True)
class Response:
    status: int
    headers: dict
    body: bytes
    complete: bool

    def json(self):
        return json.loads(self.body)

    @property
    def version(self):
        return int(self.headers[b"x-version"])

    @property
    def events(self):
        lines = self.body.decode().split("\n\n")
        return [json.loads(line[6:]) for line in lines if line.startswith("data: {")]

    @property
    def tokens(self):
        choices = [event["choices"][0] for event in self.events if event["choices"]]
        return [choice["delta"]["content"] for choice in choices]


class Caller:
    """Client that calls an ASGI application in process."""

    def __init__(self, handle):
        self._app = asgi.application(handle)

    async def __call__(self, method, target, body=b"", headers=(), disconnect=None):
        """Send a request; the client closes its connection once the event `disconnect` is set."""
        path, _, query = target.partition("?")
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        scope = {
            "type": "http",
            "method": method,
            "path": urllib.parse.unquote(path),
            "query_string": query.encode(),
            "headers": [(k.lower().encode(), v.encode()) for k, v in headers],
        }
        incoming = [{"type": "http.request", "body": content, "more_body": False}]
        sent = []

        async def receive():
            if incoming:
                return incoming.pop()
            await (disconnect or anyio.Event()).wait()
            return {"type": "http.disconnect"}

        async def send(message):
            sent.append(message)

        await self._app(scope, receive, send)
        if not sent:
            return Response(0, {}, b"", False)
        parts = [message["body"] for message in sent[1:]]
        complete = len(sent) > 1 and not sent[-1].get("more_body", False)
        return Response(sent[0]["status"], dict(sent[0]["headers"]), b"".join(parts), complete)


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def inject_fault():
    """Inject a fault through the control application."""

    async def inject(standin, kind, **fields):
        response = await Caller(standin.handle_control)("POST", "/faults", {"kind": kind, **fields})
        assert response.status == 200, response.body

    return inject


@pytest.fixture
def caller():
    return Caller


@pytest.fixture
def service_platform():
    return platform.Platform(vms_lag_seconds=0.0)


@pytest.fixture
def settings():
    batch = batching.BatchSettings(speed=1000.0)
    return engine.Settings(
        batch=batch,
        cache_blocks=4,
        cache_idle_seconds=1e6,
        event_lag_seconds=0.0,
        load_lag_seconds=0.0,
        weights_seconds=0.0,
    )


@pytest.fixture
async def start_background():
    """Run the background tasks of stand-ins for the duration of the test."""
    async with anyio.create_task_group() as group:

        def start(standin):
            group.start_soon(standin.run)
            return standin, Caller(standin.handle)

        yield start
        group.cancel_scope.cancel()
