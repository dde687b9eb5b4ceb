"""Tests that each way in which a request can end is logged once and answered or closed."""

import contextlib
import socket

import anyio
import pytest

from hollyring.platform.tests import conftest, test_process

pytestmark = pytest.mark.xdist_group("platform-processes")

HEAD = b"POST /a/b HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k\r\n"
ID = b"x-request-id: r-1\r\n"
LENGTH = b"content-length: 4\r\n\r\n"
WHOLE = HEAD + ID + LENGTH + b"body"
CONFIG = test_process.CONFIG | {"limits": {"max_body_bytes": 1000}}

NOT_READ = "vm: request not read"
REFUSED = "request: refused"
ENDED = "request: ended"

ENDS = {
    "answered": (WHOLE, "complete", 200, (ENDED, "answered")),
    "error of the upstream": (WHOLE, "error", 500, (ENDED, "answered")),
    "not run by any upstream": (WHOLE, "refuse", 503, (ENDED, "no_upstream")),
    "broken off by the upstream": (WHOLE, "reset", 502, (ENDED, "upstream_failed")),
    "silent till the deadline": (
        WHOLE.replace(ID, ID + b"x-deadline-ms: 300\r\n"),
        "silent",
        504,
        (ENDED, "deadline_exceeded"),
    ),
    "unknown key": (WHOLE.replace(b"Bearer k", b"Bearer x"), "complete", 401, (REFUSED, None)),
    "unknown route": (WHOLE.replace(b"/a/b", b"/c/b"), "complete", 404, (REFUSED, None)),
    "no id": (HEAD + LENGTH + b"body", "complete", 400, (NOT_READ, None)),
    "body too large": (
        HEAD + ID + b"content-length: 2000\r\n\r\n" + b"x" * 2000,
        "complete",
        413,
        (NOT_READ, None),
    ),
    "not HTTP": (b"what\r\n\r\n", "complete", 400, ("connection: refused", None)),
    "left within its body": (
        HEAD + ID + LENGTH + b"bo",
        "complete",
        None,
        ("vm: caller left", None),
    ),
    "left while it runs": (WHOLE, "silent", None, (ENDED, "caller left")),
}


def exchange(vm, sent, leaves):
    """Send bytes and return the response's status, or None after leaving without one."""
    host, _, port = vm.caller_url.removeprefix("http://").partition(":")
    with contextlib.closing(socket.create_connection((host, int(port)), timeout=5.0)) as connection:
        connection.sendall(sent)
        if leaves:
            connection.settimeout(0.3)
            with contextlib.suppress(TimeoutError):
                connection.recv(1)
            return None
        return int(connection.recv(65_536).split(b" ")[1])


@pytest.fixture
async def vm(tmp_path):
    """Yield a running VM, its store and its upstream."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(conftest.StoreStandIn().running())
        server = await stack.enter_async_context(conftest.ServerStandIn().running())
        await store.put("op/config", CONFIG)
        await store.put("servers/i-1", conftest.make_entry(server.address))
        process = test_process.VmProcess(tmp_path, store.address)
        stack.enter_context(process.running())
        await process.wait_ready()
        yield process, server


@pytest.mark.anyio
async def test_each_end_of_a_request_is_logged_once_and_answered_or_left_by_its_caller(vm):
    process, server = vm
    seen = {}
    for name, (sent, behaviour, status, _) in ENDS.items():
        server.behaviour = behaviour
        before = len(process.log_lines())
        received = await anyio.to_thread.run_sync(exchange, process, sent, status is None)
        await wait_end_logged(process, before)
        await anyio.sleep(0.3)  # time for a second line
        lines = [line for line in process.log_lines()[before:] if is_end(line)]
        ends = [(line["text"], line.get("outcome")) for line in lines]
        seen[name] = (received, ends)
    expected = {name: (status, [end]) for name, (_, _, status, end) in ENDS.items()}
    assert {name: (s, [shorten(e) for e in ends]) for name, (s, ends) in seen.items()} == expected


async def wait_end_logged(process, before):
    """Wait until a line behind the first `before` ones states the end of a request."""
    with anyio.move_on_after(test_process.LOG_SECONDS):
        while not any(is_end(line) for line in process.log_lines()[before:]):
            await anyio.sleep(0.01)


def is_end(line):
    return line.get("text", "").startswith(
        (ENDED, REFUSED, NOT_READ, "connection: refused", "vm: caller left", "vm: request failed")
    )


def shorten(end):
    text, outcome = end
    return ("vm: caller left" if text.startswith("vm: caller left") else text, outcome)
