"""Tests of the stand-ins over loopback sockets, which is how a fleet uses them."""

import socket

import anyio
import httpcore
import pytest

from hollyring.standins import asgi, cache_store, engine, generated_text

pytestmark = pytest.mark.anyio


@pytest.fixture
async def serve_standin():
    """Return a function that serves a stand-in on free ports and returns its main base URL."""
    stop = anyio.Event()
    async with anyio.create_task_group() as group:

        async def start(standin):
            listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
            port = listeners[0].getsockname()[1]
            group.start_soon(asgi.serve, standin, *listeners, stop)
            return f"http://127.0.0.1:{port}"

        yield start
        stop.set()


async def test_stream_over_a_socket(serve_standin, settings):
    url = await serve_standin(engine.Engine(settings))
    body = b'{"model": "parish", "prompt": "Kigoma", "max_tokens": 500, "stream": true}'
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("POST", f"{url}/v1/completions", content=body)
    assert response.content.count(b'"text"') == 500
    assert generated_text.expected_tokens(b"Kigoma", 500)[-1].encode() in response.content


async def test_blocks_are_transferred_through_cache_store(serve_standin, settings):
    store = await serve_standin(cache_store.CacheStore())
    exporter, importer = [await serve_standin(engine.Engine(settings)) for _ in range(2)]
    body = b'{"model": "parish", "prompt": "%s", "cache_salt": "7"}' % (b"c" * 8192)
    async with httpcore.AsyncConnectionPool() as pool:
        await pool.request("POST", f"{exporter}/v1/completions", content=body)
        blocks = (await pool.request("GET", f"{exporter}/cache")).content
        listed = blocks[blocks.index(b"[") : -1]
        transfer = b'{"store": "%s", "blocks": %s}' % (store.encode(), listed)
        exported = await pool.request("POST", f"{exporter}/kv/export", content=transfer)
        imported = await pool.request("POST", f"{importer}/kv/import", content=transfer)
        response = await pool.request("POST", f"{importer}/v1/completions", content=body)
    assert (exported.content, imported.content) == (b'{"blocks":2}', b'{"blocks":2}')
    assert b'"cached_tokens":2048' in response.content
