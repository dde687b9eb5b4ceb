"""Others have their turn beside connections whose input costs much time."""

import asyncio
import contextlib

import pytest
import uvicorn

from hollyring.node import asgi, bounded_protocol, input_turns, settings

CROWD = 60
CHUNKS = b"1\r\nx\r\n" * 20_000
START = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
ORDINARY = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"


class Connection:
    def __init__(self):
        self.held = False
        self.releases = 0

    def hold_reading(self):
        self.held = True

    def release_reading(self):
        self.held = False
        self.releases += 1


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.anyio
async def test_one_connection_is_released_in_each_round_of_the_loop_in_order():
    turns = input_turns.InputTurns()
    connections = [Connection() for _ in range(10)]
    for connection in connections:
        turns.wait(connection)
    assert all(connection.held for connection in connections)
    turns.leave(connections[0])
    for count in range(1, 10):
        await asyncio.sleep(0)
        assert [connection.held for connection in connections[1:]].count(False) == count
        assert not connections[count].held
    assert connections[0].held


async def application(scope, receive, send):
    with contextlib.suppress(asgi.DisconnectedError):
        await asgi.read_body(receive, 10_000_000, 60.0)
        await asgi.respond(send, 200, b"fine", [])


@pytest.mark.anyio
async def test_ordinary_request_is_answered_before_a_crowds_chunks_are_worked_off():
    """Each read of the crowd held eleven thousand chunks, and all of them came before it."""
    read = 0

    class Counted(bounded_protocol.protocol_class(settings.Limits())):
        def on_body(self, body):
            nonlocal read
            read += len(body)
            super().on_body(body)

    config = uvicorn.Config(
        application, "127.0.0.1", 0, http=Counted, lifespan="off", log_level="critical"
    )
    server = uvicorn.Server(config)
    serving = asyncio.create_task(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    port = server.servers[0].sockets[0].getsockname()[1]
    writers = []
    for _ in range(CROWD):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(START)
        writers.append(writer)
    await asyncio.sleep(0.1)
    for writer in writers:
        writer.write(CHUNKS)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(ORDINARY)
    assert b"fine" in await asyncio.wait_for(reader.read(), 30.0)
    # All that the crowd has sent is a million chunks; the ordinary request waits for few of them.
    assert read < CROWD * 2_000
    for one in [*writers, writer]:
        one.close()
    server.force_exit = server.should_exit = True
    await serving
