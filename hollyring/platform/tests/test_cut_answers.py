"""Tests of answers that are cut at any byte, or whose framing contradicts itself."""

import pytest

from hollyring.node import (
    clock,
    connection_pool,
    errors,
    http_request,
    interfaces,
    platform_client,
)
from hollyring.platform import store, upstreams
from hollyring.platform.tests import (
    conftest,
    test_forwarded_requests,
    test_relay,
    test_repeated_answers,
)

EVENTS = test_repeated_answers.EVENTS
FIRST_EVENTS = test_repeated_answers.FIRST_EVENTS
RESUMABLE = test_repeated_answers.RESUMABLE
SEAL_HEADER = test_repeated_answers.SEAL_HEADER
encode = test_repeated_answers.encode
start_fleet = test_forwarded_requests.start_fleet
TYPE_HEADER = b"content-type: " + test_repeated_answers.STREAM_TYPE.encode()
CHUNKED = b"transfer-encoding: chunked"


def chunks(*parts):
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


class CuttingServer(conftest.ServerStandIn):
    """Server that writes the first `size` bytes of its answer to a request and closes."""

    def __init__(self, answer, name="i-0"):
        super().__init__(name)
        self.answer = answer
        self.size = len(answer)

    async def handle(self, request, writer):
        if "x-request-id" not in request.headers:
            # Other processes on this host may call a port that was theirs before.
            writer.close()
            return
        name = request.headers["x-request-id"].encode()
        writer.write(self.answer.replace(b"NAME", name)[: self.size])
        await writer.drain()
        writer.close()


NAME = b"r-0"
WHOLE = {
    "length": encode(200, SEAL_HEADER, b"content-length: 4", body=b"done"),
    "chunks": encode(200, SEAL_HEADER, CHUNKED, body=chunks(b"do", b"ne")),
    "chunks and trailers": encode(
        200, SEAL_HEADER, CHUNKED, body=chunks(b"done")[:-2] + b"x-a: b\r\n\r\n"
    ),
    "interim": b"HTTP/1.1 103 X\r\nlink: x\r\n\r\n"
    + encode(200, SEAL_HEADER, b"content-length: 4", body=b"done"),
    "old version": encode(200, SEAL_HEADER, b"content-length: 4", body=b"done").replace(
        b"HTTP/1.1", b"HTTP/1.0"
    ),
}
WHOLE = {name: answer.replace(b"NAME", NAME) for name, answer in WHOLE.items()}


@pytest.mark.anyio
@pytest.mark.parametrize("form", WHOLE)
async def test_answer_that_is_cut_at_any_byte_is_no_answer(form):
    server = CuttingServer(WHOLE[form])
    async with server.running():
        vm = test_relay.RelayVm([server], attempts=1)
        for size in range(len(server.answer)):
            server.size = size
            caller = await vm.send_request("r-0")
            assert (caller.status, caller.ended) == (502, True), server.answer[:size]
            assert b"x-response-seal" not in caller.headers
        server.size = len(server.answer)
        caller = await vm.send_request("r-0")
        assert (caller.status, caller.body, caller.ended) == (200, b"done", True)


@pytest.mark.anyio
async def test_forwarded_answer_that_is_cut_at_any_byte_is_no_answer(start_fleet):
    server = CuttingServer(WHOLE["chunks"])
    async with server.running():
        fleet = await start_fleet(count=0, attempts=1)
        await fleet.add(servers=[server])
        for size in range(0, len(server.answer), 3):
            server.size = size
            caller = await fleet.cut.send_request("r-0")
            assert (caller.status, caller.ended) == (502, True), server.answer[:size]


@pytest.mark.anyio
@pytest.mark.parametrize("rest", [b"", EVENTS[len(FIRST_EVENTS) :]], ids=["empty", "events"])
async def test_continuation_that_is_cut_at_any_byte_does_not_end_its_stream(rest):
    parts = [rest] if rest else []
    answer = encode(200, SEAL_HEADER, TYPE_HEADER, CHUNKED, body=chunks(*parts))
    answer = answer.replace(b"NAME", NAME)
    first, second = conftest.ServerStandIn("i-0", "interrupt"), CuttingServer(answer, "i-1")
    async with first.running(), second.running():
        for size in [*range(0, len(answer), 3), len(answer) - 1]:
            second.size = size
            second.requests.clear()
            vm = test_relay.RelayVm([first, second], **RESUMABLE)
            vm.state.registry.get("i-1").record_failure(clock.now())
            caller = await vm.send_request("r-0", deadline_seconds=1.0)
            assert len(second.requests) > 0
            assert (caller.status, caller.ended) == (200, False), answer[:size]
            assert (FIRST_EVENTS + rest).startswith(caller.body)
            assert caller.body.endswith(b"\n\n")


CONTRADICTIONS = {
    "two lengths": (b"content-length: 4", b"content-length: 2"),
    "the same length twice": (b"content-length: 4", b"content-length: 4"),
    "a list of lengths": (b"content-length: 4, 4",),
    "a negative length": (b"content-length: -4",),
    "a signed length": (b"content-length: +4",),
    "a length with junk": (b"content-length: 4x",),
    "an empty length": (b"content-length:",),
    "a hexadecimal length": (b"content-length: 0x4",),
    "a long length": (b"content-length: " + b"9" * 40,),
    "length and chunks": (b"content-length: 4", b"transfer-encoding: chunked"),
    "chunks and length": (b"transfer-encoding: chunked", b"content-length: 4"),
    "an unknown coding": (b"transfer-encoding: x",),
    "chunks that are not last": (b"transfer-encoding: chunked, x",),
    "a coding that only resembles chunks": (b"transfer-encoding: xchunked",),
    "a space before the colon": (b"content-length : 4",),
    "a line without a colon": (b"content-length 4",),
    "a status line": (b"HTTP/1.1 200 OK", b"content-length: 4"),
    "an upgrade": (b"connection: upgrade", b"upgrade: x", b"transfer-encoding: x"),
}


@pytest.mark.anyio
@pytest.mark.parametrize("case", CONTRADICTIONS)
@pytest.mark.parametrize("body", [b"done", chunks(b"done"), b""], ids=["plain", "chunks", "none"])
async def test_answer_whose_framing_is_doubtful_is_no_answer(case, body):
    server = CuttingServer(encode(200, SEAL_HEADER, *CONTRADICTIONS[case], body=body))
    async with server.running():
        vm = test_relay.RelayVm([server], attempts=1)
        caller = await vm.send_request("r-0", deadline_seconds=0.5)
    assert caller.status in (502, 504)
    assert b"x-response-seal" not in caller.headers


BROKEN_CHUNKS = {
    "no size": b"\r\ndone\r\n0\r\n\r\n",
    "a negative size": b"-4\r\ndone\r\n0\r\n\r\n",
    "a prefixed size": b"0x4\r\ndone\r\n0\r\n\r\n",
    "a small size": b"3\r\ndone\r\n0\r\n\r\n",
    "a large size": b"6\r\ndone\r\n0\r\n\r\n",
    "a size of many digits": b"f" * 20 + b"\r\ndone\r\n0\r\n\r\n",
    "line feeds only": b"4\ndone\n0\n\n",
    "another answer": b"4\r\ndone\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    "a trailer without a colon": b"4\r\ndone\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n",
}


@pytest.mark.anyio
@pytest.mark.parametrize("case", BROKEN_CHUNKS)
async def test_answer_whose_chunks_are_broken_is_no_answer(case):
    server = CuttingServer(encode(200, SEAL_HEADER, CHUNKED, body=BROKEN_CHUNKS[case]))
    async with server.running():
        vm = test_relay.RelayVm([server], attempts=1)
        caller = await vm.send_request("r-0", deadline_seconds=0.5)
    assert caller.status in (502, 504)
    assert b"x-response-seal" not in caller.headers


@pytest.mark.anyio
@pytest.mark.parametrize("end", [b"", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\n\r\n"])
@pytest.mark.parametrize("status", [100, 102, 103, 101, 199])
async def test_interim_answer_is_no_answer(status, end):
    server = CuttingServer(encode(status, SEAL_HEADER, b"content-length: 0") + end)
    async with server.running():
        vm = test_relay.RelayVm([server], attempts=1)
        caller = await vm.send_request("r-0", deadline_seconds=0.5)
    assert caller.status == 502
    assert b"x-response-seal" not in caller.headers


@pytest.mark.anyio
@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize("framing", [b"content-length: 4", CHUNKED, b"x: y"])
async def test_bytes_behind_an_answer_without_a_body_belong_to_no_request(status, framing):
    body = chunks(b"done") if framing is CHUNKED else b"done"
    server = CuttingServer(encode(status, SEAL_HEADER, framing, body=body))
    async with server.running():
        vm = test_relay.RelayVm([server], attempts=1)
        for number in range(2):
            caller = await vm.send_request(f"r-{number}", deadline_seconds=0.5)
            assert (caller.status, caller.body, caller.ended) == (status, b"", True)


class CuttingCallServer(conftest.HttpStandIn):
    """Server that writes the first `size` bytes of a body without a length and closes."""

    def __init__(self, body):
        super().__init__()
        self.body = body
        self.size = len(body)

    async def handle(self, request, writer):
        head = b"HTTP/1.1 200 OK\r\nx-version: 7\r\n\r\n"
        writer.write(head + self.body[: self.size])
        await writer.drain()
        writer.close()


def decode_report(body):
    return upstreams.HttpUpstreamCodec().decode_report("i-1", 1, body, 0.0)


def decode_events(body):
    return upstreams.HttpUpstreamCodec().decode_events(body)


CALLS = {
    "report": (
        decode_report,
        b'{"stage":"both","models":[{"name":"m","version":2}],"busy":false,"sequence":12}',
    ),
    "events": (
        decode_events,
        b'{"boot_epoch":7,"next":120,"lost":false,"events":[[119,"+","s","p",800,"m"]]}',
    ),
}


@pytest.mark.anyio
@pytest.mark.parametrize("call", CALLS)
async def test_answer_to_a_call_that_is_cut_without_a_length_is_unreadable(call):
    decode, body = CALLS[call]
    server = CuttingCallServer(body)
    async with server.running():
        pool = connection_pool.ConnectionPool()
        for size in range(len(body) + 1):
            server.size = size
            request = http_request.encode(b"GET", b"/x", server.address.encode())
            response = await pool.call(server.address, request, 1.0)
            assert (decode(response.body) is not None) == (size == len(body)), response.body


@pytest.mark.anyio
async def test_answer_of_the_store_that_is_cut_without_a_length_is_unreadable():
    server = CuttingCallServer(
        b'{"key":"k","value":"aGFs","revision":12,"created_rev":3,"lease":0}'
    )
    async with server.running():
        client = store.MetadataStore(server.address)
        assert (await client.get("k")).value == b"hal"
        for size in range(len(server.body)):
            server.size = size
            with pytest.raises(interfaces.StoreError):
                await client.get("k")


@pytest.mark.anyio
async def test_value_of_the_platforms_service_without_a_stated_end_is_no_value():
    server = CuttingCallServer(b"half of a value")
    async with server.running():
        client = platform_client.PlatformClient(f"http://{server.address}")
        with pytest.raises(errors.PlatformError):
            await client.get("k")
        await client.close()
