"""Requests that a caller sends one behind another on a connection, over real sockets."""

import contextlib

import anyio
import pytest
import uvicorn

from hollyring.node import asgi, bounded_protocol, settings
from hollyring.node.tests import held_time

anyio_backend = held_time.anyio_backend
LIMITS = settings.Limits()
TIMEOUT_SECONDS = 5.0
REQUEST = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n"


class Application:
    """Application that works on each request until its caller has left."""

    def __init__(self):
        self.begun = 0
        self.left = 0

    async def __call__(self, scope, receive, send):
        self.begun += 1
        await asgi.wait_disconnect(receive)
        self.left += 1


@contextlib.asynccontextmanager
async def running(application):
    """Serve an application, and yield its port."""
    protocol = bounded_protocol.protocol_class(LIMITS)
    config = uvicorn.Config(
        application, "127.0.0.1", 0, http=protocol, lifespan="off", log_level="error"
    )
    server = uvicorn.Server(config)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not server.started:
                await anyio.sleep(0.01)
        yield server.servers[0].sockets[0].getsockname()[1]
        server.force_exit = server.should_exit = True


@pytest.fixture
async def serving(anyio_backend):
    """Yield a running application and its port."""
    application = Application()
    async with running(application) as port:
        yield application, port


async def wait_until(condition, seconds):
    with anyio.move_on_after(seconds):
        while not condition():
            await anyio.sleep(0.01)
    return condition()


@pytest.mark.anyio
@pytest.mark.parametrize("requests", [1, 2, 3])
async def test_close_ends_the_request_that_runs_ahead_of_pipelined_ones(serving, requests):
    application, port = serving
    async with await anyio.connect_tcp("127.0.0.1", port) as caller:
        await caller.send(requests * REQUEST)
        assert await wait_until(lambda: application.begun == 1, TIMEOUT_SECONDS)
    assert await wait_until(lambda: application.left == 1, 0.5)


LARGE_BODY = b"z" * 100_000
LARGE = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY


@pytest.mark.anyio
@pytest.mark.parametrize(
    "behind",
    [2 * REQUEST, 9 * REQUEST, LARGE, 2 * REQUEST + LARGE, LARGE + REQUEST],
    ids=["two", "nine", "large", "two and large", "large and one"],
)
async def test_close_is_seen_whatever_waits_behind_the_request_that_runs(serving, behind):
    application, port = serving
    async with await anyio.connect_tcp("127.0.0.1", port) as caller:
        await caller.send(REQUEST)
        assert await wait_until(lambda: application.begun == 1, TIMEOUT_SECONDS)
        await caller.send(behind)
        await anyio.sleep(0.1)
    assert await wait_until(lambda: application.left == 1, 0.5)
    assert application.begun == 1


class EchoingApplication:
    """Application that answers with the size of a request's body, after a time."""

    async def __call__(self, scope, receive, send):
        body = await asgi.read_body(receive, 1_000_000, TIMEOUT_SECONDS)
        await anyio.sleep(0.6)
        await asgi.respond(send, 200, b"%d;" % len(body), [])


@pytest.mark.anyio
async def test_each_request_that_waits_unread_is_answered_while_its_caller_stays(anyio_backend):
    async with (
        running(EchoingApplication()) as port,
        await anyio.connect_tcp("127.0.0.1", port) as caller,
    ):
        await caller.send(REQUEST + REQUEST + LARGE)
        received = b""
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not received.endswith(b"\r\n\r\n100000;"):
                received += await caller.receive()
    assert received.count(b"HTTP/1.1 200 ") == 3
