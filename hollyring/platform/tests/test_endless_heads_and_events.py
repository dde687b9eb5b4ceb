"""Memory of a VM whose servers begin answers that have no end, in any stage of an answer."""

import asyncio

import pytest

from hollyring.platform.tests import conftest, crowds, test_held_bytes

pytestmark = pytest.mark.xdist_group("platform-processes")

CALLERS = 80
FAULTY_SERVERS = 4
SLOTS = 100
HEAD_BYTES = 119_000
"""Bytes of a head that arrive at once; a server that goes on faster is closed soon."""

EVENT_BYTES = 960_000
PAUSE_SECONDS = 0.05

HEAD = "HTTP/1.1 200 X\r\nx-request-id: {}\r\nx-response-seal: " + conftest.SEAL + "\r\n"
EVENTS = HEAD + "content-type: text/event-stream\r\n"
CHUNKED = "transfer-encoding: chunked\r\n\r\n"
SHORT_LINE = "ab:cd\r\n"
FIRST_EVENT = "10\r\nid: 1\ndata: one\n\n\r\n"

ENDLESS = {
    "a head of short lines": (HEAD + SHORT_LINE * (HEAD_BYTES // 7), SHORT_LINE),
    "a head line": (HEAD + "x-long: " + "x" * HEAD_BYTES, "x"),
    "a reason": ("HTTP/1.1 200 " + "x" * HEAD_BYTES, "x"),
    "heads of interim answers": (
        ("HTTP/1.1 100 X\r\n" + SHORT_LINE * 500 + "\r\n") * 30,
        SHORT_LINE,
    ),
    "an event": (EVENTS + "connection: close\r\n\r\nid: 1\ndata: " + "x" * EVENT_BYTES, "x"),
    "an event in chunks": (
        EVENTS + CHUNKED + f"{EVENT_BYTES:x}\r\nid: 1\ndata: " + "x" * (EVENT_BYTES - 12) + "\r\n",
        "1\r\nx\r\n",
    ),
    "a chunk line": (EVENTS + CHUNKED + FIRST_EVENT + "1;" + "x" * HEAD_BYTES, "x"),
    "trailers": (EVENTS + CHUNKED + FIRST_EVENT + "0\r\n" + SHORT_LINE * 17_000, SHORT_LINE),
    "a trailer line": (EVENTS + CHUNKED + FIRST_EVENT + "0\r\nx: " + "x" * HEAD_BYTES, "x"),
}
"""What a server sends at once, and what it sends then again and again, until it is closed."""


class EndlessServer(conftest.ServerStandIn):
    """Begins answers that have no end."""

    def __init__(self, name, what):
        super().__init__(name)
        self.begin, self.part = ENDLESS[what]
        self.begun = 0

    async def handle(self, request, writer):
        if "x-request-id" not in request.headers:
            await super().handle(request, writer)
            return
        self.begun += 1
        writer.write(self.begin.replace("{}", request.headers["x-request-id"]).encode())
        while True:
            await writer.drain()
            await asyncio.sleep(PAUSE_SECONDS)
            writer.write(self.part.encode())


@pytest.mark.anyio
@pytest.mark.parametrize("kind", ["streaming", "safe"])
@pytest.mark.parametrize("what", ENDLESS)
async def test_answers_without_end_in_any_stage_do_not_end_the_vm(tmp_path, what, kind):
    servers = [EndlessServer(f"i-{n}", what) for n in range(FAULTY_SERVERS)]
    sound = conftest.ServerStandIn("i-9")
    serving = test_held_bytes.serving(
        tmp_path, [*servers, sound], crowds.test_crowds.MEMORY_MB, slots=SLOTS
    )
    async with serving as (vm,), crowds.within_memory(vm):
        path = test_held_bytes.SHARES[kind] + "x"
        await test_held_bytes.call_at_once(vm, path, CALLERS)
        crowds.assert_within_memory(vm)
        assert await crowds.is_answered_in_time(vm)
        crowds.assert_within_memory(vm)
        assert sum(server.begun for server in servers) > FAULTY_SERVERS
