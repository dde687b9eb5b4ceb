"""Tests of service calls over real sockets, with scripted upstreams and limits."""

import asyncio
import contextlib
import socket

import anyio
import pytest

from hollyring.node.tests import scripted_vm

SETTLE_SECONDS = 0.2
"""Time within which a VM has sent on what it sends on."""

REPLY_SECONDS = 2.0
"""Time within which a call that no upstream can run gets its answer."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def start_vm(anyio_backend):
    """Return a function that starts upstreams with scripts, and a VM that uses them."""
    async with contextlib.AsyncExitStack() as stack:

        async def start(*scripts):
            upstreams = [
                await stack.enter_async_context(scripted_vm.Upstream(script).running())
                for script in scripts
            ]
            vm = scripted_vm.ScriptedVm(upstreams)
            return await stack.enter_async_context(vm.running()), upstreams

        yield start


async def answer(writer):
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone")
    await writer.drain()
    return True


def request_counts(upstreams):
    return [len(upstream.requests) for upstream in upstreams]


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/orders", "/prices"])
async def test_call_is_not_sent_on_if_its_caller_left_after_its_admission(start_vm, path):
    vm, upstreams = await start_vm(answer)
    caller = socket.create_connection(("127.0.0.1", vm.port))
    vm.limits.on_admit = caller.close
    caller.sendall(scripted_vm.request(path, {}))
    await anyio.sleep(SETTLE_SECONDS)
    assert request_counts(upstreams) == [0]
    assert list(vm.limits.settled.values()) == [0]
    assert vm.application.open_requests == 0


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/orders", "/prices"])
async def test_call_is_not_sent_on_if_its_caller_left_while_connecting(start_vm, monkeypatch, path):
    vm, upstreams = await start_vm(answer)
    caller = socket.create_connection(("127.0.0.1", vm.port))
    connect = vm.pool.connect

    async def connect_and_leave(*_):
        connection = await connect(upstreams[0].address.removeprefix("http://"))
        caller.close()
        return connection

    monkeypatch.setattr(type(vm.pool), "connect", connect_and_leave)
    monkeypatch.setattr(type(vm.pool), "acquire", connect_and_leave)
    caller.sendall(scripted_vm.request(path, {}))
    await anyio.sleep(SETTLE_SECONDS)
    assert request_counts(upstreams) == [0]
    assert vm.application.open_requests == 0


@pytest.mark.anyio
async def test_call_is_not_sent_again_after_its_caller_left(start_vm):
    caller = None

    async def break_after_the_caller_left(writer):
        caller.close()
        return False

    vm, upstreams = await start_vm(break_after_the_caller_left, break_after_the_caller_left)
    caller = socket.create_connection(("127.0.0.1", vm.port))
    caller.sendall(scripted_vm.request("/prices", {}))
    await anyio.sleep(SETTLE_SECONDS)
    assert sum(request_counts(upstreams)) == 1
    assert vm.application.open_requests == 0


@pytest.mark.anyio
async def test_call_ends_at_once_if_its_connection_closes_before_it_is_sent(start_vm, monkeypatch):
    """The service accepts and closes within the step of the check whether the call may be sent."""
    vm, upstreams = await start_vm(answer)
    connect = vm.pool.connect

    async def connect_and_close(address):
        connection = await connect(address)
        asyncio.get_running_loop().call_soon(connection.abort)
        return connection

    monkeypatch.setattr(type(vm.pool), "connect", lambda _, address: connect_and_close(address))
    async with await anyio.connect_tcp("127.0.0.1", vm.port) as caller:
        await caller.send(scripted_vm.request("/orders", {}))
        with anyio.fail_after(REPLY_SECONDS):
            received = await caller.receive()
    assert received.startswith(b"HTTP/1.1 409 ")
    assert b'"code":"outcome_unknown","execution":"unknown"' in received
    assert request_counts(upstreams) == [0]


class RepeatingService:
    """Service that sends each answer once more, ahead of the next one on its connection.

    `names` selects whether its answers name their request.
    """

    def __init__(self, names):
        self.names = names
        self.count = 0
        self.earlier = {}

    async def __call__(self, writer, request_id=b""):
        self.count += 1
        naming = b"x-request-id: %b\r\n" % request_id if self.names else b""
        body = b"answer %d" % self.count
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n%b\r\n" % (len(body), naming)
        writer.write(self.earlier.get(writer, b"") + head + body)
        self.earlier[writer] = head + body
        await writer.drain()
        return True


@pytest.mark.anyio
@pytest.mark.parametrize("names", [False, True])
@pytest.mark.parametrize("path", ["/orders", "/prices"])
async def test_second_answer_to_a_call_is_not_the_answer_to_the_next_call(start_vm, path, names):
    vm, upstreams = await start_vm(RepeatingService(names))
    for number in range(1, 5):
        async with await anyio.connect_tcp("127.0.0.1", vm.port) as stream:
            await stream.send(scripted_vm.request(path, {}))
            with anyio.fail_after(REPLY_SECONDS):
                assert (await stream.receive()).endswith(b"answer %d" % number)
    assert request_counts(upstreams) == [4]


async def answer_without_a_length(writer):
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nhal")
    await writer.drain()
    return False


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/orders", "/prices"])
async def test_answer_of_a_service_without_a_length_reaches_its_caller_without_one(start_vm, path):
    vm, _ = await start_vm(answer_without_a_length)
    async with await anyio.connect_tcp("127.0.0.1", vm.port) as stream:
        await stream.send(scripted_vm.request(path, {}))
        with anyio.fail_after(REPLY_SECONDS):
            received = await stream.receive()
    assert received.endswith(b"\r\n\r\nhal")
    assert b"content-length" not in received


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/orders", "/prices"])
async def test_call_whose_caller_closes_its_sending_side_while_it_runs_is_answered(start_vm, path):
    async def answer_late(writer):
        await anyio.sleep(SETTLE_SECONDS)
        return await answer(writer)

    vm, (upstream,) = await start_vm(answer_late)
    async with await anyio.connect_tcp("127.0.0.1", vm.port) as stream:
        await stream.send(scripted_vm.request(path, {}))
        received = b""
        with anyio.fail_after(REPLY_SECONDS), contextlib.suppress(anyio.EndOfStream):
            while not upstream.requests:
                await anyio.sleep(0.01)
            await stream.send_eof()
            while True:
                received += await stream.receive()
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.endswith(b"done")


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/orders", "/prices"])
@pytest.mark.parametrize("status", [408, 421, 429, 503])
async def test_status_of_a_plain_service_reaches_its_caller_as_it_is(start_vm, status, path):
    async def answer_with_status(writer):
        writer.write(b"HTTP/1.1 %d X\r\ncontent-length: 4\r\n\r\nbusy" % status)
        return True

    vm, upstreams = await start_vm(answer_with_status)
    async with await anyio.connect_tcp("127.0.0.1", vm.port) as stream:
        await stream.send(scripted_vm.request(path, {}))
        with anyio.fail_after(REPLY_SECONDS):
            received = await stream.receive()
    assert received.startswith(b"HTTP/1.1 %d " % status)
    assert received.endswith(b"busy")
    assert request_counts(upstreams) == [1]


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/orders", "/prices"])
@pytest.mark.parametrize("name", [b"content-encoding", b"transfer-encoding"])
async def test_encoded_answer_does_not_reach_a_caller_without_its_encoding(start_vm, name, path):
    async def answer_encoded(writer):
        framing = b"transfer-encoding: chunked\r\n" if name.startswith(b"content") else b""
        head = b"HTTP/1.1 200 OK\r\n%b%b: gzip, chunked\r\n\r\n" % (framing, name)
        writer.write(head + b"4\r\ndone\r\n0\r\n\r\n")
        await writer.drain()
        return True

    vm, _ = await start_vm(answer_encoded)
    async with await anyio.connect_tcp("127.0.0.1", vm.port) as stream:
        await stream.send(scripted_vm.request(path, {}))
        with anyio.fail_after(REPLY_SECONDS):
            received = await stream.receive()
    assert not received.startswith(b"HTTP/1.1 2")
    assert b"done" not in received
