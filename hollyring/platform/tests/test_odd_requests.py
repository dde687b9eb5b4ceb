"""Tests that odd headers of callers get an answer that refuses them, or change nothing."""

import contextlib
import socket

import anyio
import pytest

from hollyring.platform import ingress
from hollyring.platform.tests import test_process

pytestmark = pytest.mark.xdist_group("platform-processes")

DIGITS = "9" * 5000
NUMBERS = ["", "-1", "-0.0", "0", "1.5", "nan", "inf", "-inf", "1e400", "1e308", DIGITS]
NUMBERS += ["9" * 30, "\u00b2", "\xff", "\0", "0x10", "1_0", ".", "[" * 5000, "1,1", "a" * 5000]
HEADERS = [
    "x-deadline-ms",
    "x-token-counts",
    "x-prompt-prefix",
    "last-event-id",
    "x-length-hint",
    "resumes",
    "authorization",
    "content-type",
    "cookie",
    "x-model",
]
PARTS = [f"a:{DIGITS}", ",".join(f"p{n}:{2**53}" for n in range(500)), "%ff%00:1", ":1", "::", ",,"]
REFUSALS = {400, 401, 404, 408, 413, 421, 429, 431, 503, 504}
cluster = test_process.cluster


def scope(*headers):
    named = [(b"host", b"h.example"), (b"x-request-id", b"r-1"), (b"x-model", b"m")]
    sent = [(name.encode(), value.encode("latin-1")) for name, value in headers]
    given = {name for name, _ in sent}
    defaults = [header for header in named if header[0] not in given]
    return {
        "type": "http",
        "method": "POST",
        "path": "/a/b",
        "raw_path": b"/a/b",
        "query_string": b"",
        "headers": sent + defaults,
    }


@pytest.mark.parametrize("name", [*HEADERS, "host", "x-request-id"])
def test_odd_header_is_decoded_or_refused(name):
    for value in [*NUMBERS, *PARTS]:
        with contextlib.suppress(ingress.RequestError):
            request = ingress.decode_request(
                scope((name, value), *[("x-token-counts", "10,10")] * (name != "x-token-counts")),
                b"",
            )
            assert request.deadline_seconds >= 0.0
            assert request.resume_after is None or 0 <= request.resume_after <= ingress.MAX_NUMBER


def exchange(vm, head, body=b"", seconds=5.0):
    """Send the bytes of a request; return the status of its answer, 0 if there is none."""
    host, _, port = vm.caller_url.removeprefix("http://").partition(":")
    with socket.create_connection((host, int(port)), timeout=seconds) as connection:
        received = b""
        with contextlib.suppress(ConnectionError, TimeoutError):
            connection.sendall(head + body)
        with contextlib.suppress(ConnectionError, TimeoutError):
            while b"\r\n" not in received and (data := connection.recv(65_536)):
                received += data
    return int(received.split(b" ")[1]) if received.startswith(b"HTTP/1.1 ") else 0


def request_head(number, *lines, body_bytes=4):
    head = ["POST /a/b HTTP/1.1", "host: h.example", f"x-request-id: r-{number}"]
    head += ["authorization: Bearer k"]
    head += [] if body_bytes is None else [f"content-length: {body_bytes}"]
    return "\r\n".join([*head, *lines, "", ""]).encode("latin-1")


@pytest.mark.anyio
async def test_odd_headers_of_callers_end_in_an_answer_and_not_in_an_error(cluster):
    store, server, start = cluster
    vm = start()
    await vm.wait_ready()
    statuses = {}
    number = 0
    for name in HEADERS[:6]:
        for value in [*NUMBERS, *PARTS]:
            number += 1
            lines = [f"{name}: {value}", "x-model: m"]
            lines += ["x-token-counts: 10,10"] * (name != "x-token-counts")
            head = request_head(number, *lines)
            status = await anyio.to_thread.run_sync(exchange, vm, head, b"body")
            statuses[name, value[:20]] = status
    odd = {key: status for key, status in statuses.items() if status not in REFUSALS | {200}}
    assert odd == {}
    assert 200 in statuses.values()
    assert vm.process.poll() is None
    assert not [line for line in vm.log_lines() if "trace" in line]


@pytest.mark.anyio
@pytest.mark.parametrize(
    "lines, status",
    [
        ([f"a{n}: b" for n in range(5000)], 431),
        ([f"a{n}: b" for n in range(200)], 200),
        (["a: " + "x" * 20_000], 431),
    ],
    ids=["5000 lines", "200 lines", "long line"],
)
async def test_heads_beyond_the_limit_are_refused(cluster, lines, status):
    store, server, start = cluster
    vm = start()
    await vm.wait_ready()
    head = request_head(1, *lines)
    assert await anyio.to_thread.run_sync(exchange, vm, head, b"body") == status


@pytest.mark.anyio
@pytest.mark.parametrize(
    "body_bytes",
    [10 * 10**9, 2**63, 10**30, "9" * 5000],
    ids=["10 GB", "2^63", "10^30", "5000 digits"],
)
@pytest.mark.parametrize("sent", [0, 100_000], ids=["head only", "some body"])
async def test_claimed_body_beyond_the_limit_is_refused_with_an_answer(cluster, body_bytes, sent):
    store, server, start = cluster
    vm = start()
    await vm.wait_ready()
    head = request_head(1, body_bytes=body_bytes)
    status = await anyio.to_thread.run_sync(exchange, vm, head, b"x" * sent)
    assert status in ({413} if body_bytes == 10 * 10**9 else {400, 413})
    assert (await test_process.post(vm, "r-2")).status == 200
