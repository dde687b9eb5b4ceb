import contextlib
import socket
import time

import anyio
import pytest
import uvicorn

from hollyring.node import asgi, bounded_protocol, lingering_transport, settings

LIMITS = settings.Limits(header_bytes=2_000, header_seconds=0.2, connections=3)
TIMEOUT_SECONDS = 5.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def application(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"fine"})


@contextlib.asynccontextmanager
async def started(served_application, limits=LIMITS):
    """Serve an application on a port of its own, and yield the server and the port."""
    config = uvicorn.Config(
        served_application,
        "127.0.0.1",
        0,
        http=bounded_protocol.protocol_class(limits),
        lifespan="off",
        log_level="error",
    )
    server = uvicorn.Server(config)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not server.started:
                await anyio.sleep(0.01)
        yield server, server.servers[0].sockets[0].getsockname()[1]
        server.should_exit = True


@contextlib.asynccontextmanager
async def serving(served_application):
    """Serve an application on a port of its own."""
    async with started(served_application) as (_, served_port):
        yield served_port


@pytest.fixture
async def port(anyio_backend):
    async with serving(application) as served_port:
        yield served_port


async def read_response(stream):
    response = b""
    with anyio.fail_after(TIMEOUT_SECONDS):
        while True:
            try:
                response += await stream.receive()
            except anyio.EndOfStream:
                return response


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n", b"fine"),
        (b"GET / HTTP/1.1\r\nx: " + b"y" * 3_000, b"headers_too_large"),
        (b"GET / HTTP/1.1\r\nhost: x\r\n", b"header_timeout"),
    ],
    ids=["whole", "large", "slow"],
)
async def test_request_head_is_limited_in_size_and_time(port, sent, expected):
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(sent)
        assert expected in await read_response(stream)


FIRST = b"GET /first HTTP/1.1\r\nhost: x\r\n\r\n"
SECOND = b"GET /second HTTP/1.1\r\nhost: x\r\n\r\n"
SLOW_SECONDS = 0.5

BEHIND = {
    "no request": b"what\r\n\r\n" + SECOND,
    "bad body": b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nwhat\r\n" + SECOND,
    "large head": b"GET / HTTP/1.1\r\nx: " + b"y" * 1_000,
    "slow head": b"GET / HTTP/1.1\r\n",
}


class SlowApplication:
    """Responds in two parts, the second when released; records its requests and disconnects."""

    def __init__(self):
        self.released = anyio.Event()
        self.paths = []
        self.disconnected = []

    async def __call__(self, scope, receive, send):
        self.paths.append(scope["path"])
        async with anyio.create_task_group() as group:
            group.start_soon(self.watch, scope["path"], receive, group.cancel_scope)
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": b"begun ", "more_body": True})
            await self.released.wait()
            await send({"type": "http.response.body", "body": scope["path"].encode()})
            group.cancel_scope.cancel()

    async def watch(self, path, receive, scope):
        while (await receive())["type"] != "http.disconnect":
            pass
        self.disconnected.append(path)
        scope.cancel()


@pytest.fixture
async def slow(anyio_backend):
    slow_application = SlowApplication()
    async with serving(slow_application) as served_port:
        yield slow_application, served_port


@pytest.mark.anyio
async def test_connection_above_the_limit_is_refused_if_each_of_the_others_carries_a_request(slow):
    slow_application, served_port = slow
    streams = []
    for count in range(1, LIMITS.connections + 1):
        streams.append(await anyio.connect_tcp("127.0.0.1", served_port))
        await streams[-1].send(FIRST)
        with anyio.fail_after(TIMEOUT_SECONDS):
            while len(slow_application.paths) < count:
                await anyio.sleep(0.01)
    streams.append(await anyio.connect_tcp("127.0.0.1", served_port))
    response = await read_response(streams[-1])
    assert b" 429 " in response
    assert b"too_many_connections" in response
    assert b'"execution":"not_run"' in response
    slow_application.released.set()
    for stream in streams[:-1]:
        with anyio.fail_after(TIMEOUT_SECONDS):
            response = b""
            while not response.endswith(b"/first\r\n0\r\n\r\n"):
                response += await stream.receive()
    for stream in streams:
        await stream.aclose()


@pytest.mark.anyio
async def test_connection_above_the_limit_is_served_in_place_of_the_oldest_that_sent_nothing(port):
    streams = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(LIMITS.connections)]
    streams.append(await anyio.connect_tcp("127.0.0.1", port))
    assert await read_response(streams[0]) == b""
    for stream in streams[1:]:
        await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        assert b"fine" in await read_response(stream)
    for stream in streams:
        await stream.aclose()


@pytest.mark.anyio
@pytest.mark.parametrize("behind", BEHIND)
@pytest.mark.parametrize("parts", [1, 2])
async def test_request_that_runs_is_answered_whole_whatever_comes_behind_it(slow, behind, parts):
    slow_application, served_port = slow
    async with await anyio.connect_tcp("127.0.0.1", served_port) as stream:
        await stream.send(FIRST + BEHIND[behind] if parts == 1 else FIRST)
        await anyio.sleep(0.1)
        if parts == 2:
            await stream.send(BEHIND[behind])
        for _ in range(2 * (behind == "large head")):
            await anyio.sleep(0.05)
            await stream.send(b"y" * 1_000)
        await anyio.sleep(2 * LIMITS.header_seconds)
        slow_application.released.set()
        response = await read_response(stream)
    assert response.startswith(b"HTTP/1.1 200 ")
    assert response.count(b"HTTP/1.1") == 1
    assert response.endswith(b"6\r\n/first\r\n0\r\n\r\n")
    assert slow_application.paths == ["/first"]


@pytest.mark.anyio
async def test_each_request_read_before_bytes_that_are_none_is_answered(slow):
    slow_application, served_port = slow
    async with await anyio.connect_tcp("127.0.0.1", served_port) as stream:
        await stream.send(FIRST + SECOND + b"what\r\n\r\n" + FIRST)
        await anyio.sleep(SLOW_SECONDS)
        slow_application.released.set()
        response = await read_response(stream)
    assert response.count(b"HTTP/1.1 200 ") == response.count(b"HTTP/1.1") == 2
    assert response.endswith(b"7\r\n/second\r\n0\r\n\r\n")
    assert slow_application.paths == ["/first", "/second"]


async def answer_and_close(scope, receive, send):
    """Answer as a VM that is leaving does."""
    headers = [(b"content-length", b"7"), (b"Connection", b"close")]
    await anyio.sleep(SLOW_SECONDS / 5)
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": scope["path"].encode().ljust(7)})


@pytest.mark.anyio
async def test_requests_read_behind_one_whose_answer_closes_the_connection_are_answered(
    anyio_backend,
):
    async with (
        serving(answer_and_close) as served_port,
        await anyio.connect_tcp("127.0.0.1", served_port) as stream,
    ):
        await stream.send(FIRST + SECOND + FIRST)
        response = await read_response(stream)
    assert response.count(b"HTTP/1.1 200 ") == 3
    assert response.lower().count(b"connection: close") == 1
    assert response.endswith(b"/first ")


@contextlib.asynccontextmanager
async def shutting_down(served_application, sent):
    """Yield a connection that its server shuts down, as when it stops, after some bytes."""
    async with (
        started(served_application, settings.Limits()) as (server, served_port),
        await anyio.connect_tcp("127.0.0.1", served_port) as stream,
    ):
        await stream.send(sent)
        await anyio.sleep(0.1)
        for connection in list(server.server_state.connections):
            connection.shutdown()
        yield stream


class WholeApplication(SlowApplication):
    """Reads a whole request, and responds in one part when released."""

    async def __call__(self, scope, receive, send):
        await asgi.read_body(receive, 1_000_000, TIMEOUT_SECONDS)
        await self.released.wait()
        await asgi.respond(send, 200, scope["path"].encode(), [])


def large(path):
    head = b"POST %s HTTP/1.1\r\nhost: x\r\ncontent-length: 100000\r\n\r\n" % path
    return head + b"y" * 100_000


@pytest.mark.anyio
@pytest.mark.parametrize("second", [SECOND, large(b"/second")], ids=["small", "large"])
@pytest.mark.parametrize("sent_before_bytes", [0, 20, 10_000])
@pytest.mark.parametrize("application_class", [WholeApplication, SlowApplication])
async def test_requests_read_behind_one_that_runs_when_its_server_is_shut_down_are_answered(
    anyio_backend, second, sent_before_bytes, application_class
):
    served_application = application_class()
    before, after = second[:sent_before_bytes], second[sent_before_bytes:]
    async with shutting_down(served_application, FIRST + before) as stream:
        await stream.send(after)
        await anyio.sleep(SLOW_SECONDS)
        served_application.released.set()
        response = await read_response(stream)
    assert response.count(b"HTTP/1.1 200 ") == 2
    assert response.removesuffix(b"\r\n0\r\n\r\n").endswith(b"/second")
    assert response.lower().count(b"connection: close") == 1


@pytest.mark.anyio
@pytest.mark.parametrize("sent", [b"", b"GET / HTT", SECOND])
async def test_connection_on_which_no_request_waits_is_closed_when_its_server_is_shut_down(
    anyio_backend, sent
):
    async with shutting_down(application, sent) as stream:
        with anyio.fail_after(SLOW_SECONDS):
            response = await read_response(stream)
    assert response.count(b"HTTP/1.1 200 ") == (sent == SECOND)


@pytest.mark.anyio
@pytest.mark.parametrize("behind", [SECOND, *BEHIND.values()], ids=["request", *BEHIND])
@pytest.mark.parametrize("wait_seconds", [0.0, 0.1])
async def test_request_that_runs_is_ended_by_its_callers_close_whatever_comes_behind_it(
    slow, behind, wait_seconds
):
    slow_application, served_port = slow
    stream = await anyio.connect_tcp("127.0.0.1", served_port)
    await stream.send(FIRST)
    await anyio.sleep(wait_seconds)
    await stream.send(behind)
    await anyio.sleep(0.1)
    await stream.aclose()
    await anyio.sleep(0.25)
    assert slow_application.disconnected == ["/first"]


LONG_BODY = b"z" * 300_000


async def answer_at_length(scope, receive, send):
    while (await receive()).get("more_body"):
        pass
    await anyio.sleep(SLOW_SECONDS)
    length = (b"content-length", b"%d" % len(LONG_BODY))
    await send({"type": "http.response.start", "status": 200, "headers": [length]})
    await send({"type": "http.response.body", "body": LONG_BODY})


def read_slowly_while_sending(port):
    """Return the bytes of a response read slowly by a caller that sends on behind its request."""
    received = b""
    with contextlib.closing(socket.create_connection(("127.0.0.1", port))) as caller:
        caller.settimeout(TIMEOUT_SECONDS)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 20_000)
        caller.sendall(FIRST + b"what\r\n\r\n")
        time.sleep(2 * SLOW_SECONDS)
        with contextlib.suppress(ConnectionError):
            while data := caller.recv(10_000):
                received += data
                time.sleep(0.002)
                if len(received) < len(LONG_BODY) // 3:
                    caller.sendall(b"y" * 10)
    return received


@pytest.mark.anyio
async def test_long_answer_is_not_cut_by_what_its_caller_goes_on_sending(anyio_backend):
    async with serving(answer_at_length) as served_port:
        received = await anyio.to_thread.run_sync(read_slowly_while_sending, served_port)
    assert received.endswith(LONG_BODY)


@pytest.mark.anyio
@pytest.mark.parametrize("sends_much", [False, True])
async def test_caller_that_sends_on_after_its_answer_is_closed_after_a_bounded_time_and_amount(
    port, sends_much
):
    longest = lingering_transport.LINGER_SECONDS + 0.5
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(b"GET / HTTP/1.1\r\nx: " + b"y" * 3_000)
        await read_response(stream)
        started_at = time.monotonic()
        sent_bytes = 0
        with anyio.fail_after(longest), contextlib.suppress(anyio.BrokenResourceError):
            while True:
                await stream.send(b"y" * (100_000 if sends_much else 10))
                sent_bytes += 100_000 if sends_much else 10
                await anyio.sleep(0.01)
    if sends_much:
        assert time.monotonic() - started_at < lingering_transport.LINGER_SECONDS / 2
        assert sent_bytes > lingering_transport.MAX_DISCARDED_BYTES


@pytest.mark.anyio
async def test_trailers_of_a_request_are_not_among_its_headers(anyio_backend):
    names = []

    async def record_headers(scope, receive, send):
        await asgi.read_body(receive, 1_000, TIMEOUT_SECONDS)
        names.extend(name for name, _ in scope["headers"])
        await asgi.respond(send, 200, b"", [])

    async with (
        serving(record_headers) as served_port,
        await anyio.connect_tcp("127.0.0.1", served_port) as stream,
    ):
        head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n"
        await stream.send(head + b"connection: close\r\n\r\n0\r\nx-model: other\r\n\r\n")
        assert b" 200 " in await read_response(stream)
    assert names == [b"host", b"transfer-encoding", b"connection"]


LATE_BODY = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbo"


@pytest.mark.anyio
async def test_request_that_is_answered_early_may_end_and_be_followed_by_another(port):
    """Behind it a refusal is written again, as no answer has begun."""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(LATE_BODY)
        assert b"fine" in await stream.receive()
        await stream.send(b"dy" + FIRST)
        with anyio.fail_after(TIMEOUT_SECONDS):
            while b"fine" not in await stream.receive():
                pass
        await stream.send(b"what\r\n\r\n")
        assert b" 400 " in await read_response(stream)


@pytest.mark.anyio
async def test_rest_of_a_request_that_is_answered_early_has_a_time(port, monkeypatch):
    monkeypatch.setattr(bounded_protocol, "REST_SECONDS", 0.1)
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(LATE_BODY)
        response = await read_response(stream)
        assert response.count(b"HTTP/1.1") == 1
        assert b"fine" in response
