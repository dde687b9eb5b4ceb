"""The stand-ins over loopback sockets, as the fleet meets them."""

import socket

import anyio
import httpcore
import pytest

from hollyring.standins import asgi, cache_store, engine, generated_text

pytestmark = pytest.mark.anyio


@pytest.fixture
async def served():
    """Serve stand-ins on free ports; returns the base URL of the main port."""
    stop = anyio.Event()
    async with anyio.create_task_group() as group:

        async def start(standin):
            ports = []
            for _ in range(2):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", 0))
                    ports.append(probe.getsockname()[1])
            group.start_soon(asgi.serve, standin, "127.0.0.1", *ports, stop)
            for port in ports:
                await connected(port)
            return f"http://127.0.0.1:{ports[0]}"

        yield start
        stop.set()


async def connected(port):
    while True:
        try:
            async with await anyio.connect_tcp("127.0.0.1", port):
                return
        except OSError:
            await anyio.sleep(0.01)


async def test_stream_over_a_socket(served, settings):
    url = await served(engine.Engine(settings))
    body = b'{"model": "parish", "prompt": "Kigoma", "max_tokens": 500, "stream": true}'
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request("POST", f"{url}/v1/completions", content=body)
    assert answer.content.count(b'"text"') == 500
    assert generated_text.expected_tokens(b"Kigoma", 500)[-1].encode() in answer.content


async def test_blocks_travel_through_the_cache_store(served, settings):
    store = await served(cache_store.CacheStore())
    giver, taker = [await served(engine.Engine(settings)) for _ in range(2)]
    body = b'{"model": "parish", "prompt": "%s", "cache_salt": "7"}' % (b"c" * 8192)
    async with httpcore.AsyncConnectionPool() as pool:
        await pool.request("POST", f"{giver}/v1/completions", content=body)
        blocks = (await pool.request("GET", f"{giver}/cache")).content
        listed = blocks[blocks.index(b"[") : -1]
        transfer = b'{"store": "%s", "blocks": %s}' % (store.encode(), listed)
        exported = await pool.request("POST", f"{giver}/kv/export", content=transfer)
        imported = await pool.request("POST", f"{taker}/kv/import", content=transfer)
        answer = await pool.request("POST", f"{taker}/v1/completions", content=body)
    assert (exported.content, imported.content) == (b'{"blocks":2}', b'{"blocks":2}')
    assert b'"cached_tokens":2048' in answer.content
