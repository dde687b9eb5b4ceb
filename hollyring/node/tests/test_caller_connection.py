"""Tests over real sockets; the protocol of the connection reads nothing unless a test says so."""

import asyncio
import socket
import struct

import anyio
import pytest

from hollyring.node import caller_connection

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which a close resets the connection."""

TIMEOUT_SECONDS = 5.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def connected(anyio_backend):
    """Yield a caller's socket, and the transport at the other end, which does not read."""
    caller, accepted = connect()
    loop = asyncio.get_running_loop()
    transport, _ = await loop.connect_accepted_socket(asyncio.Protocol, accepted)
    transport.pause_reading()
    yield caller, transport
    caller.close()
    transport.abort()


def connect():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        return caller, listener.accept()[0]


async def wait_closed(connection):
    with anyio.fail_after(TIMEOUT_SECONDS):
        while not connection.closed:
            await anyio.sleep(0.005)


async def wait_received(transport, count):
    with anyio.fail_after(TIMEOUT_SECONDS):
        while unread_bytes(transport) < count:
            await anyio.sleep(0.005)


def unread_bytes(transport):
    duplicate = socket.socket(fileno=transport.get_extra_info("socket").fileno())
    try:
        return len(duplicate.recv(1_000, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except BlockingIOError:
        return 0
    finally:
        duplicate.detach()


@pytest.mark.anyio
async def test_open_connection_is_not_closed(connected):
    _, transport = connected
    connection = caller_connection.CallerConnection(transport)
    assert not connection.closed
    assert not connection.closed


@pytest.mark.anyio
async def test_unread_pipelined_requests_do_not_count_as_a_close(connected):
    caller, transport = connected
    connection = caller_connection.CallerConnection(transport)
    request = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"
    caller.sendall(2 * request)
    await wait_received(transport, 2 * len(request))
    assert not connection.closed


@pytest.mark.anyio
@pytest.mark.parametrize("unread", [b"", b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"])
async def test_close_is_seen_before_the_bytes_ahead_of_it_are_read(connected, unread):
    caller, transport = connected
    connection = caller_connection.CallerConnection(transport)
    caller.sendall(unread)
    assert not connection.closed
    caller.close()
    await wait_closed(connection)
    assert unread_bytes(transport) == len(unread)
    assert not transport.is_closing()


@pytest.mark.anyio
@pytest.mark.parametrize("unread", [b"", b"unread"])
async def test_reset_is_seen(connected, unread):
    caller, transport = connected
    connection = caller_connection.CallerConnection(transport)
    caller.sendall(unread)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    caller.close()
    await wait_closed(connection)
    assert not transport.is_closing()


@pytest.mark.anyio
async def test_half_closed_connection_counts_as_closed(connected):
    """The server, too, closes a connection at the end of what its caller sends."""
    caller, transport = connected
    connection = caller_connection.CallerConnection(transport)
    caller.shutdown(socket.SHUT_WR)
    await wait_closed(connection)


@pytest.mark.anyio
@pytest.mark.parametrize("end", ["close", "abort"])
async def test_connection_that_this_vm_closes_counts_as_closed(connected, end):
    _, transport = connected
    connection = caller_connection.CallerConnection(transport)
    getattr(transport, end)()
    assert connection.closed
    await anyio.sleep(0.01)
    assert connection.closed


@pytest.mark.anyio
async def test_connection_that_this_vm_closes_after_a_check_counts_as_closed(connected):
    _, transport = connected
    connection = caller_connection.CallerConnection(transport)
    assert not connection.closed
    transport.abort()
    await anyio.sleep(0.01)
    assert connection.closed


@pytest.mark.anyio
async def test_scope_of_an_unknown_server_counts_as_open(connected):
    caller, transport = connected
    key = caller_connection.SCOPE_EXTENSION
    known = {"extensions": {key: caller_connection.CallerConnection(transport)}}
    caller.close()
    await wait_closed(known["extensions"][key])
    assert caller_connection.is_closed(known)
    assert not caller_connection.is_closed({})
    assert not caller_connection.is_closed({"extensions": {}})
