"""Random bytes of clients and upstreams, cut anywhere: nothing is kept beyond its bounds.

The bytes are made of pieces of messages, so that every stage is met, also without an end.
"""

import asyncio
import socket

import hypothesis
import pytest
import uvicorn
from hypothesis import strategies

from hollyring.limits import byte_budget, connection_slots, head_budget, read_pace
from hollyring.node import asgi, bounded_protocol, client_connections, http_connection, settings

LIMITS = settings.Limits(header_bytes=16_384)
HEADS_LIMIT = 30_000
PORT = 1
CONNECTIONS = 4

REQUEST_PIECES = {
    "get": b"GET / HTTP/1.1\r\n",
    "post": b"POST /a HTTP/1.1\r\nhost: x\r\n",
    "long target": b"GET /" + b"x" * 5_000,
}
PIECES = {
    "line": b"ab:cd\r\n",
    "lines": b"ab:cd\r\n" * 300,
    "long line": b"x-long: " + b"x" * 9_000,
    "length": b"content-length: 4\r\n",
    "long length": b"content-length: 70000\r\n",
    "chunked": b"transfer-encoding: chunked\r\n",
    "close": b"connection: close\r\n",
    "expect": b"expect: 100-continue\r\n",
    "upgrade": b"upgrade: x\r\nconnection: upgrade\r\n",
    "end": b"\r\n",
    "blank lines": b"\r\n" * 3_000,
    "body": b"body",
    "chunk": b"1\r\nx\r\n",
    "chunks": b"1\r\nx\r\n" * 500,
    "long chunk line": b"1;x=" + b"x" * 6_000,
    "last chunk": b"0\r\n",
    "long chunk size": b"0" * 6_000,
    "no HTTP": b"\x16\x03\x01",
    "long text": b"x" * 20_000,
}
ANSWER_PIECES = {
    "ok": b"HTTP/1.1 200 OK\r\n",
    "interim": b"HTTP/1.1 100 Continue\r\n",
    "long reason": b"HTTP/1.1 200 " + b"x" * 5_000,
}
REQUEST_PIECES |= PIECES
ANSWER_PIECES |= PIECES


PARTS = strategies.sampled_from([100, 1_000, 65_536])
"""Most bytes that arrive at once."""


class Transport(asyncio.Transport):
    """Transport of one connection whose peer's bytes come from the test."""

    def __init__(self, connection):
        super().__init__()
        self.connection = connection
        self.protocol = None
        self.max_size = 262_144
        self.closed = False
        self.reads = True
        self.silent_bytes = 0

    def get_extra_info(self, name, default=None):
        values = {"sockname": ("127.0.0.1", PORT), "peername": ("127.0.0.1", 2)}
        return self.connection if name == "socket" else values.get(name, default)

    def write(self, data):
        assert data

    def write_eof(self):
        pass

    def close(self):
        if not self.closed:
            self.closed = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    abort = close

    def is_closing(self):
        return self.closed

    def is_reading(self):
        return self.reads

    def pause_reading(self):
        self.reads = False

    def resume_reading(self):
        self.reads = True

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass


async def application(scope, receive, send):
    try:
        await asgi.read_body(receive, 1_000_000, 1.0)
    except asgi.DisconnectedError:
        return
    await asgi.respond(send, 200, b"fine", [])


def assert_kept_within(limit, transports):
    """Check what parsers keep without a word, beyond what each connection may have, as a sum."""
    kept = [one.silent_bytes - head_budget.ORDINARY_BYTES for one in transports if not one.closed]
    kept = [size for size in kept if size > 0]
    assert len(kept) < 2 or head_budget.COPIES * sum(kept) <= limit


def keeps_nothing(protocol):
    """Return whether a connection reads no messages any more, after an error or a refusal."""
    return getattr(protocol, "_ignores_input", False) or getattr(protocol, "_unusable", False)


async def feed(protocol, transport, data, parts, check):
    """Pass bytes on as the event loop does: as long as it reads, and no more than it may."""
    while data and not transport.closed:
        if not transport.reads:
            await asyncio.sleep(0)
            if not transport.reads:
                return
        size = min(transport.max_size, parts)
        part, data = data[:size], data[size:]
        protocol.data_received(part)
        is_kept = not (protocol._intake.events or keeps_nothing(protocol))
        transport.silent_bytes = transport.silent_bytes + len(part) if is_kept else 0
        check()
        await asyncio.sleep(0)


def messages(pieces):
    """Return lists of messages, each a list of the names of its pieces."""
    message = strategies.lists(strategies.sampled_from(sorted(pieces)), max_size=12)
    return strategies.lists(message, min_size=1, max_size=CONNECTIONS)


def encode(pieces, names):
    return b"".join(pieces[name] for name in names)


async def play_requests(contents, parts):
    heads = head_budget.HeadBudget(HEADS_LIMIT)
    slots = connection_slots.ConnectionSlots(CONNECTIONS - 1)
    shared = client_connections.Shared(heads, {PORT: slots})
    config = uvicorn.Config(application, lifespan="off", log_level="critical")
    config.load()
    state = uvicorn.server.ServerState()
    connections = []

    def check():
        longest = max((protocol._holding.bytes for protocol, _ in connections), default=0)
        assert heads.held <= max(HEADS_LIMIT, longest + read_pace.LONGEST_BYTES)
        assert len(slots) <= CONNECTIONS - 1
        assert_kept_within(HEADS_LIMIT, [transport for _, transport in connections])

    sockets = []
    for _ in contents:
        ours, theirs = socket.socketpair()
        sockets += [ours, theirs]
        transport = Transport(ours)
        class_ = bounded_protocol.protocol_class(LIMITS, lambda: 4_096, shared)
        transport.protocol = class_(config, state, {})
        transport.protocol.connection_made(transport)
        connections.append((transport.protocol, transport))
    feeds = [
        feed(protocol, transport, encode(REQUEST_PIECES, names), parts, check)
        for (protocol, transport), names in zip(connections, contents, strict=True)
    ]
    await asyncio.gather(*feeds)
    for _, transport in connections:
        transport.close()
    for _ in range(5):
        await asyncio.sleep(0)
    for one in sockets:
        one.close()
    assert heads.held == 0
    assert len(slots) == 0


@hypothesis.settings(max_examples=150)
@hypothesis.given(messages(REQUEST_PIECES), PARTS)
def test_bytes_of_clients_are_kept_within_bounds_and_all_given_back(contents, parts):
    asyncio.run(play_requests(contents, parts))


async def play_answers(contents, parts):
    heads = head_budget.HeadBudget(HEADS_LIMIT)
    budget = byte_budget.ByteBudget(byte_budget.MIN_LIMIT_BYTES)
    connections, sockets, exchanges = [], [], []
    for _ in contents:
        ours, theirs = socket.socketpair()
        sockets += [ours, theirs]
        transport = Transport(ours)
        transport.protocol = http_connection.HttpConnection(lambda lost: None, budget, heads)
        transport.protocol._transport = transport
        exchanges.append(transport.protocol.send(b"GET / HTTP/1.1\r\n\r\n", _names_this))
        connections.append(transport)

    def check():
        longest = max(transport.protocol._holding.bytes for transport in connections)
        assert heads.held <= max(HEADS_LIMIT, longest + read_pace.LONGEST_BYTES)
        assert budget.held <= budget.limit
        assert_kept_within(HEADS_LIMIT, connections)

    feeds = [
        feed(transport.protocol, transport, encode(ANSWER_PIECES, names), parts, check)
        for transport, names in zip(connections, contents, strict=True)
    ]
    await asyncio.gather(*feeds)
    for exchange, transport in zip(exchanges, connections, strict=True):
        exchange.close()
        transport.close()
    await asyncio.sleep(0)
    for one in sockets:
        one.close()
    assert heads.held == 0
    assert budget.held == 0


def _names_this(_):
    return http_connection.answers.Naming.THIS


@pytest.fixture(autouse=True)
def no_socket_options(monkeypatch):
    """Set no option of TCP, which the sockets of these tests do not have."""
    for name in ("enable_slow_keepalive", "set_user_timeout", "set_keepalive"):
        monkeypatch.setattr(http_connection.sockets, name, lambda *arguments: None)


@hypothesis.settings(
    max_examples=150, suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
@hypothesis.given(messages(ANSWER_PIECES), PARTS)
def test_bytes_of_upstreams_are_kept_within_bounds_and_all_given_back(contents, parts):
    asyncio.run(play_answers(contents, parts))


ENDLESS = [
    ["long line"],
    ["chunked", "end", "long chunk line"],
    ["chunked", "end", "long chunk size"],
    ["chunked", "end", "last chunk", "long line"],
]


@pytest.mark.parametrize("names", ENDLESS)
def test_line_without_end_of_several_peers_is_kept_within_one_sum(names):
    asyncio.run(play_requests([["post", *names]] * CONNECTIONS, parts=1_000))
    asyncio.run(play_answers([["ok", *names]] * CONNECTIONS, parts=1_000))
