"""Tests of completions over real sockets, with scripted upstreams, limits and routing."""

import contextlib
import json
import socket
import types

import anyio
import pytest

from hollyring.node import settings
from hollyring.node.tests import scripted_vm

TIMEOUT_SECONDS = 5.0
SETTLE_SECONDS = 0.2
"""Time within which a VM has sent on what it sends on."""

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def start_vm(anyio_backend):
    """Return a function that starts upstreams with scripts, and a VM that uses them in order."""
    async with contextlib.AsyncExitStack() as stack:

        async def start(*scripts):
            upstreams = [
                await stack.enter_async_context(scripted_vm.Upstream(script).running())
                for script in scripts
            ]
            vm = scripted_vm.ScriptedVm(upstreams)
            return await stack.enter_async_context(vm.running()), upstreams

        yield start


def chunk(text, finish_reason=None):
    event = {"choices": [{"index": 0, "text": text, "finish_reason": finish_reason}]}
    data = b"data: " + json.dumps(event).encode() + b"\n\n"
    return b"%x\r\n%b\r\n" % (len(data), data)


def generate(*chunks, done=True, names=True):
    """Return a script that sends chunks, then the end of the stream or a broken connection.

    `names` selects whether the answer names its request.
    """

    async def script(writer, request_id=b""):
        naming = b"x-request-id: %b\r\n" % request_id if names else b""
        writer.write(HEAD[:-2] + naming + b"\r\n" + b"".join(chunks))
        if done:
            writer.write(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
        await writer.drain()
        return done

    return script


async def exchange(vm, request):
    """Send a request and return all of the response, up to the end of its last chunk or body."""
    async with await anyio.connect_tcp("127.0.0.1", vm.port) as stream:
        await stream.send(request)
        received = b""
        with anyio.fail_after(TIMEOUT_SECONDS), contextlib.suppress(anyio.EndOfStream):
            while not is_whole(received):
                received += await stream.receive()
    return received


def is_whole(received):
    head, separator, body = received.partition(b"\r\n\r\n")
    length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
    return bool(separator) and (
        len(body) == int(length) if length else received.endswith(b"0\r\n\r\n")
    )


@pytest.mark.anyio
@pytest.mark.parametrize("names", [True, False])
async def test_completion_is_not_sent_on_if_its_caller_left_after_its_admission(start_vm, names):
    vm, (upstream,) = await start_vm(generate(chunk("a", "stop"), names=names))
    assert b"[DONE]" in await exchange(vm, scripted_vm.completion())
    upstream.requests.clear()
    caller = socket.create_connection(("127.0.0.1", vm.port))
    vm.limits.on_admit = caller.close
    caller.sendall(scripted_vm.completion())
    await anyio.sleep(SETTLE_SECONDS)
    assert upstream.requests == []
    assert list(vm.limits.settled.values())[1:] == [0]
    assert vm.application.open_requests == 0


@contextlib.asynccontextmanager
async def connecting_vm(**bounds):
    """Yield a VM whose only upstream neither accepts nor refuses connections."""
    async with contextlib.AsyncExitStack() as stack:
        listener, *fillers = [stack.enter_context(socket.socket()) for _ in range(3)]
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        upstream = types.SimpleNamespace(address=f"http://127.0.0.1:{listener.getsockname()[1]}")
        vm = scripted_vm.ScriptedVm([upstream], settings.Limits(**bounds))
        yield await stack.enter_async_context(vm.running())


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("deadline_seconds", "status"), [(5.0, b"503"), (0.2, b"504")], ids=["ended", "deadline"]
)
async def test_completion_given_up_while_its_connection_is_opened_counts_as_not_run(
    deadline_seconds, status
):
    async with connecting_vm(deadline_seconds=deadline_seconds) as vm:
        async with await anyio.connect_tcp("127.0.0.1", vm.port) as stream:
            await stream.send(scripted_vm.completion())
            await anyio.sleep(SETTLE_SECONDS / 2)
            if deadline_seconds > 1.0:
                await stream.send_eof()
            with anyio.fail_after(TIMEOUT_SECONDS):
                received = await stream.receive()
        assert received.startswith(b"HTTP/1.1 %b " % status)
        assert b'"execution":"not_run"' in received
        assert list(vm.limits.settled.values()) == [0]


@pytest.mark.anyio
async def test_first_token_of_an_attempt_is_recorded_if_an_earlier_attempt_had_one(start_vm):
    vm, _ = await start_vm(
        generate(chunk("a"), done=False), generate(chunk("b"), chunk("c", "stop"))
    )
    assert b"[DONE]" in await exchange(vm, scripted_vm.completion())
    assert (vm.routing.failed, vm.routing.finished) == ([1], [2])
    assert vm.routing.first_tokens == [1, 2]


@pytest.mark.anyio
@pytest.mark.parametrize("stream", [True, False])
async def test_answer_is_complete_if_its_upstream_breaks_after_the_finish(start_vm, stream):
    whole = generate(chunk("a", "stop"))
    vm, upstreams = await start_vm(generate(chunk("a", "stop"), done=False), whole)
    received = await exchange(vm, scripted_vm.completion(stream=stream))
    assert received.startswith(b"HTTP/1.1 200 ")
    assert is_whole(received)
    assert [len(upstream.requests) for upstream in upstreams] == [1, 0]


@pytest.mark.anyio
@pytest.mark.parametrize("stream", [True, False])
async def test_answer_is_complete_if_its_upstream_breaks_after_the_last_token(start_vm, stream):
    text = [chunk(letter) for letter in "abc"]
    vm, upstreams = await start_vm(
        generate(*text, done=False), generate(*text, chunk("", "length"))
    )
    received = await exchange(vm, scripted_vm.completion(max_tokens=3, stream=stream))
    assert received.startswith(b"HTTP/1.1 200 ")
    assert b'"length"' in received
    assert [len(upstream.requests) for upstream in upstreams] == [1, 0]


class RepeatingServer:
    """Inference server that sends each answer once more, ahead of the next one on its connection.

    `names` selects whether its answers name their request.
    """

    def __init__(self, names):
        self.names = names
        self.count = 0
        self.earlier = {}

    async def __call__(self, writer, request_id=b""):
        self.count += 1
        naming = b"x-request-id: %b\r\n" % request_id if self.names else b""
        head = HEAD[:-2] + naming + b"\r\n"
        end = b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
        answer = head + chunk(f"answer {self.count}", "stop") + end
        writer.write(self.earlier.get(writer, b"") + answer)
        self.earlier[writer] = answer
        await writer.drain()
        return True


@pytest.mark.anyio
@pytest.mark.parametrize("names", [False, True])
async def test_second_answer_to_a_completion_is_not_the_answer_to_the_next(start_vm, names):
    vm, upstreams = await start_vm(RepeatingServer(names))
    for number in range(1, 5):
        received = await exchange(vm, scripted_vm.completion())
        assert f"answer {number}".encode() in received
        assert received.count(b"answer") == 1
    assert len(upstreams[0].requests) == 4


@pytest.mark.anyio
@pytest.mark.parametrize("end", [b"", b"data: {}\n\n"])
async def test_stream_without_a_length_and_without_its_last_event_is_not_complete(start_vm, end):
    async def script(writer):
        event = b'data: {"choices": [{"index": 0, "text": "a"}]}\n\n'
        writer.write(HEAD.replace(b"transfer-encoding: chunked\r\n", b"") + event + end)
        await writer.drain()
        return False

    vm, _ = await start_vm(script)
    received = await exchange(vm, scripted_vm.completion(max_tokens=50))
    assert b"event: error" in received
    assert b"[DONE]" not in received


async def half_close(vm, upstream, request, begun=b""):
    """Close a caller's sending side after an upstream got its request; return the response."""
    async with await anyio.connect_tcp("127.0.0.1", vm.port) as stream:
        await stream.send(request)
        received = b""
        with anyio.fail_after(TIMEOUT_SECONDS), contextlib.suppress(anyio.EndOfStream):
            while not upstream.requests:
                await anyio.sleep(0.01)
            while begun not in received:
                received += await stream.receive()
            await stream.send_eof()
            while True:
                received += await stream.receive()
    return received


def go_silent(*chunks):
    """Return a script that sends chunks if there are any, and then nothing more."""

    async def script(writer, request_id):
        if chunks:
            naming = b"x-request-id: %b\r\n\r\n" % request_id
            writer.write(HEAD[:-2] + naming + b"".join(chunks))
        await anyio.sleep(TIMEOUT_SECONDS)

    return script


@pytest.mark.anyio
@pytest.mark.parametrize("stream", [True, False])
async def test_caller_that_only_closes_its_sending_side_is_refused_in_the_usual_format(
    start_vm, stream
):
    vm, (upstream,) = await start_vm(go_silent())
    received = await half_close(vm, upstream, scripted_vm.completion(stream=stream))
    assert received.startswith(b"HTTP/1.1 502 ")
    assert b'"execution":"unknown"' in received
    assert b"HTTP/1.1" not in received[1:]
    assert vm.routing.finished == [1]
    assert vm.application.open_requests == 0


@pytest.mark.anyio
async def test_stream_whose_caller_closes_its_sending_side_ends_with_an_error_event(start_vm):
    vm, (upstream,) = await start_vm(go_silent(chunk("a")))
    received = await half_close(vm, upstream, scripted_vm.completion(), b'"a"')
    assert received.startswith(b"HTTP/1.1 200 ")
    assert b"event: error" in received
    assert received.endswith(b"0\r\n\r\n")
    assert b"[DONE]" not in received


@pytest.mark.anyio
async def test_caller_that_leaves_ends_its_completion_without_an_internal_error(start_vm):
    vm, (upstream,) = await start_vm(go_silent())
    async with await anyio.connect_tcp("127.0.0.1", vm.port) as stream:
        await stream.send(scripted_vm.completion())
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not upstream.requests:
                await anyio.sleep(0.01)
    with anyio.fail_after(0.5):
        while vm.application.open_requests:
            await anyio.sleep(0.01)
    assert "internal_errors" not in vm.metrics.render()
