"""Answers without end or without a length, from a server that sends raw bytes."""

import asyncio
import socket
import struct
import time

import pytest

from hollyring.configuration import store_revision
from hollyring.core import request_types
from hollyring.limits import byte_budget
from hollyring.node import connection_pool, exchanges, http_request, interfaces
from hollyring.platform import store
from hollyring.platform.tests import conftest, test_relay

MAX_TAKEN_BYTES = 48_000_000
"""Most bytes of one answer that a VM takes, kernel buffers included."""

CHUNK = 65_536
DEADLINE_SECONDS = 2.0
STREAM = {"streaming": True, "retry_safety": request_types.RetrySafety.RESUMABLE, "attempts": 1}

HEAD = b"HTTP/1.1 200 OK\r\n"
STREAM_HEAD = HEAD + b"content-type: text/event-stream\r\n"


class RawServer(conftest.HttpStandIn):
    """Sends `prefix`, with the identity of the request, and then `endless` until it is closed."""

    def __init__(self, prefix, endless=b"", pause=0.0, close=False):
        super().__init__()
        self.name = "i-0"
        self.version = 1
        self.software = "v1"
        self.prefix = prefix
        self.endless = endless
        self.pause = pause
        self.closes = close
        self.sent = 0

    async def handle(self, request, writer):
        name = request.headers["x-request-id"].encode()
        seal = f"x-response-seal: {conftest.SEAL}\r\n".encode()
        writer.write(self.prefix.replace(b"IDENTITY", b"x-request-id: " + name + b"\r\n" + seal))
        while self.endless:
            writer.write(self.endless)
            await writer.drain()
            self.sent += len(self.endless)
            await asyncio.sleep(self.pause)
        if self.closes:
            await writer.drain()
            writer.close()


async def ask(server, **route):
    """Return what the caller got from a VM with one server, and the seconds that it took."""
    async with server.running():
        vm = test_relay.RelayVm([server], **route)
        began = time.monotonic()
        caller = await vm.send_request(deadline_seconds=DEADLINE_SECONDS)
        return caller, time.monotonic() - began


WITHOUT_END = {
    "head": (HEAD, b"x-filler: " + b"x" * 1000 + b"\r\n"),
    "one header": (HEAD + b"x-filler: ", b"x" * CHUNK),
    "status line": (b"HTTP/1.1 200 ", b"O" * CHUNK),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
    "body": (HEAD + b"IDENTITY\r\n", b"x" * CHUNK),
    "chunked body": (
        HEAD + b"IDENTITYtransfer-encoding: chunked\r\n\r\n",
        b"%x\r\n%b\r\n" % (CHUNK, b"x" * CHUNK),
    ),
    "trailers": (
        HEAD + b"IDENTITYtransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        b"x-filler: " + b"x" * 1000 + b"\r\n",
    ),
    "no protocol": (b"", b"\x00" * CHUNK),
}


@pytest.mark.anyio
@pytest.mark.parametrize("what", WITHOUT_END)
async def test_answer_without_end_takes_bounded_memory_and_ends_with_a_failure(what):
    server = RawServer(*WITHOUT_END[what])
    caller, seconds = await ask(server)
    assert caller.status in (502, 504)
    assert seconds < DEADLINE_SECONDS + 0.5
    assert server.sent < MAX_TAKEN_BYTES


@pytest.mark.anyio
async def test_event_without_end_takes_bounded_memory_and_ends_the_stream():
    prefix = STREAM_HEAD + b"IDENTITY\r\nid: 1\ndata: 1\n\nid: 2\ndata: "
    server = RawServer(prefix, b"x" * CHUNK)
    caller, seconds = await ask(server, **STREAM)
    assert (caller.status, caller.ended) == (200, False)
    assert seconds < DEADLINE_SECONDS + 0.5
    assert server.sent < MAX_TAKEN_BYTES


@pytest.mark.anyio
async def test_one_byte_a_second_does_not_outlast_the_deadline():
    caller, seconds = await ask(RawServer(HEAD + b"x-filler: ", b"x", pause=1.0))
    assert caller.status in (502, 504)
    assert seconds < DEADLINE_SECONDS + 0.5


@pytest.mark.anyio
async def test_stream_without_length_ends_with_its_connection():
    prefix = STREAM_HEAD + b"IDENTITY\r\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
    caller, _ = await ask(RawServer(prefix, close=True), **STREAM)
    assert (caller.status, caller.ended) == (200, True)
    assert caller.body == b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"


@pytest.mark.anyio
async def test_stream_without_length_that_closes_within_an_event_is_broken_off():
    prefix = STREAM_HEAD + b"IDENTITY\r\nid: 1\ndata: 1\n\nid: 2\nda"
    caller, _ = await ask(RawServer(prefix, close=True), **STREAM)
    assert (caller.status, caller.ended) == (200, False)


@pytest.mark.anyio
async def test_stream_without_length_or_events_is_not_whole():
    caller, _ = await ask(RawServer(STREAM_HEAD + b"IDENTITY\r\n", close=True), **STREAM)
    assert caller.status in (502, 504)


@pytest.mark.anyio
async def test_answer_without_length_that_is_reset_is_not_whole():
    server = RawServer(HEAD + b"IDENTITY\r\nhalf", close=False)

    async def reset():
        await asyncio.sleep(0.2)
        transport = next(iter(server.readers)).transport
        linger = struct.pack("ii", 1, 0)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        transport.abort()

    task = asyncio.create_task(reset())
    caller, _ = await ask(server)
    await task
    assert caller.status in (502, 504)


class EndlessCalls(RawServer):
    """Answers calls of VMs without end."""

    def __init__(self):
        super().__init__(HEAD + b"transfer-encoding: chunked\r\n\r\n")
        self.endless = b"%x\r\n%b\r\n" % (CHUNK, b"x" * CHUNK)

    async def handle(self, request, writer):
        request.headers["x-request-id"] = "none"
        await super().handle(request, writer)


MAX_KERNEL_BYTES = 10_000_000
"""Most bytes that the kernel holds of one connection, which a sender counts as sent."""

REVISION = store_revision.Revision(0, 7)
CALLS = {
    "key": (lambda client: client.get("a"), store.MAX_READ_BYTES),
    "list": (lambda client: client.list("a/"), store.MAX_READ_BYTES),
    "watch": (lambda client: client.watch("a/", REVISION, 1.0), store.MAX_WATCH_BYTES),
    "write": (lambda client: client.commit({}, []), store.MAX_READ_BYTES),
    "lease": (lambda client: client.grant(3.0), store.MAX_LEASE_BYTES),
    "renewal": (lambda client: client.renew(interfaces.Lease(0, 1)), store.MAX_LEASE_BYTES),
}


@pytest.mark.anyio
@pytest.mark.parametrize("what", CALLS)
async def test_answer_of_the_store_without_end_is_read_up_to_a_bound_of_its_kind(what):
    """Each was read up to 32 MiB, whatever the longest sound answer is."""
    call, bound = CALLS[what]
    budget = byte_budget.ByteBudget()
    async with EndlessCalls().running() as server:
        with pytest.raises((interfaces.StoreError, interfaces.HistoryCompactedError)):
            await call(store.MetadataStore(server.address, budget))
        assert server.sent < bound + MAX_KERNEL_BYTES
    assert bound - CHUNK <= budget.peak <= bound + CHUNK
    assert budget.held == 0


@pytest.mark.anyio
@pytest.mark.parametrize("alone", [False, True])
async def test_answer_of_an_upstream_to_a_call_without_end_is_read_up_to_a_bound(alone):
    """Answers to orders and reports were read up to 32 MiB each."""
    budget = byte_budget.ByteBudget()
    pool = connection_pool.ConnectionPool(budget)
    async with EndlessCalls().running() as server:
        request = http_request.encode(b"GET", b"/hollyring/report", server.address.encode())
        with pytest.raises(exchanges.BodyTooLongError):
            if alone:
                await pool.call_alone(server.address, request, 1.0, lambda: True)
            else:
                await pool.call(server.address, request, 1.0)
    assert budget.peak <= connection_pool.MAX_CALL_BYTES + CHUNK
    assert budget.held == 0
