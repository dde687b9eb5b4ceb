import anyio
import pytest
import uvicorn

from hollyring.node import bounded_protocol, settings

LIMITS = settings.Limits(header_bytes=2_000, header_seconds=0.2, connections=3)
TIMEOUT_SECONDS = 5.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def application(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"fine"})


@pytest.fixture
async def port(anyio_backend):
    config = uvicorn.Config(
        application,
        "127.0.0.1",
        0,
        http=bounded_protocol.protocol_class(LIMITS),
        lifespan="off",
        log_level="error",
    )
    server = uvicorn.Server(config)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not server.started:
                await anyio.sleep(0.01)
        yield server.servers[0].sockets[0].getsockname()[1]
        server.should_exit = True


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


@pytest.mark.anyio
async def test_connection_above_the_limit_is_refused(port):
    streams = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(4)]
    response = await read_response(streams[-1])
    assert b" 429 " in response
    assert b"too_many_connections" in response
    assert b'"execution":"not_run"' in response
    for stream in streams:
        await stream.aclose()
