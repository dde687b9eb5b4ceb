import asyncio
import errno

import anyio
import pytest

from hollyring.core import identities
from hollyring.limits import messages
from hollyring.node import catalogue, errors, handshake, peers, wire

KEY = "a-peer-key-of-sixteen-bytes"
OTHER_KEY = "another-key-of-sixteen-bytes"
MESSAGE = messages.Ask("kigoma", 1, 2, 30_000)
TIMEOUT_SECONDS = 5.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Peer:
    """A VM that records received messages and replies to every call with `Settled`."""

    def __init__(self, name, keys, addresses, max_handshakes=peers.MAX_HANDSHAKES):
        self.received = []
        self.message_received = anyio.Event()
        me = identities.Incarnation(name, 1)
        codec = wire.Codec(catalogue.MESSAGES)
        self.peers = peers.PeerConnections(
            me, "", keys, codec, self.receive, addresses.get, max_handshakes=max_handshakes
        )

    async def receive(self, sender, message):
        self.received.append((sender.name, message))
        self.message_received.set()
        return messages.Settled(7)


async def serve(group, peer):
    port = await group.start(peer.peers.run, "127.0.0.1", 0)
    return f"127.0.0.1:{port}"


@pytest.mark.anyio
async def test_peers_with_a_common_key_exchange_message_and_reply():
    addresses = {}
    async with anyio.create_task_group() as group:
        first, second = Peer("vm-1", [KEY], addresses), Peer("vm-2", [OTHER_KEY, KEY], addresses)
        addresses |= {"vm-1": await serve(group, first), "vm-2": await serve(group, second)}
        assert first.peers.send(addresses["vm-2"], MESSAGE)
        with anyio.fail_after(TIMEOUT_SECONDS):
            await second.message_received.wait()
        assert second.received == [("vm-1", MESSAGE)]
        first.peers.set_keys([OTHER_KEY, KEY])
        second.peers.set_keys([OTHER_KEY])
        reply = await second.peers.call(addresses["vm-1"], MESSAGE, TIMEOUT_SECONDS)
        assert reply == messages.Settled(7)
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_message_of_peer_without_the_key_is_not_received():
    addresses = {}
    async with anyio.create_task_group() as group:
        first, second = Peer("vm-1", [OTHER_KEY], addresses), Peer("vm-2", [KEY], addresses)
        addresses |= {"vm-1": await serve(group, first), "vm-2": await serve(group, second)}
        first.peers.send(addresses["vm-2"], MESSAGE)
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not second.peers.counts["refused"]:
                await anyio.sleep(0.01)
        assert second.received == []
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_http_request_on_the_peer_port_is_refused():
    addresses = {}
    async with anyio.create_task_group() as group:
        peer = Peer("vm-1", [KEY], addresses)
        address = await serve(group, peer)
        host, _, port = address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n" + b"x" * 500)
            with anyio.fail_after(TIMEOUT_SECONDS):
                while not peer.peers.counts["refused"]:
                    await anyio.sleep(0.01)
        assert peer.received == []
        group.cancel_scope.cancel()


def test_reordered_or_modified_frame_is_rejected():
    senders = [handshake.FrameAuthenticator(b"k" * 32) for _ in range(2)]
    first, second = senders[0].seal(b"one"), senders[0].seal(b"two")
    with pytest.raises(errors.PeerError):
        senders[1].open(second[4:12], b"two")
    receiver = handshake.FrameAuthenticator(b"k" * 32)
    assert receiver.open(first[4:12], b"one") == b"one"
    with pytest.raises(errors.PeerError):
        receiver.open(second[4:12], b"twp")


@pytest.mark.anyio
async def test_accept_without_descriptors_pauses_the_listener_and_ends_nothing(monkeypatch):
    """An error of accept ended the listener, and the process with it."""
    monkeypatch.setattr(peers, "ACCEPT_PAUSE_SECONDS", 0.01)
    addresses = {}
    loop = asyncio.get_running_loop()
    accept, failures = loop.sock_accept, iter([errno.EMFILE, errno.ENFILE, errno.ECONNABORTED])

    async def sock_accept(listener):
        number = next(failures, None)
        if number is not None:
            raise OSError(number, "no descriptor")
        return await accept(listener)

    monkeypatch.setattr(loop, "sock_accept", sock_accept)
    async with anyio.create_task_group() as group:
        first, second = Peer("vm-1", [KEY], addresses), Peer("vm-2", [KEY], addresses)
        addresses |= {"vm-1": await serve(group, first), "vm-2": await serve(group, second)}
        assert first.peers.send(addresses["vm-2"], MESSAGE)
        with anyio.fail_after(TIMEOUT_SECONDS):
            await second.message_received.wait()
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_peer_is_accepted_beside_connections_that_never_end_their_handshake():
    addresses = {}
    async with anyio.create_task_group() as group:
        first, second = Peer("vm-1", [KEY], addresses), Peer("vm-2", [KEY], addresses, 4)
        addresses |= {"vm-1": await serve(group, first), "vm-2": await serve(group, second)}
        host, _, port = addresses["vm-2"].partition(":")
        held = [await anyio.connect_tcp(host, int(port)) for _ in range(12)]
        assert first.peers.send(addresses["vm-2"], MESSAGE)
        with anyio.fail_after(TIMEOUT_SECONDS):
            await second.message_received.wait()
            while second.peers.counts["refused"] < 12 - 4:
                await anyio.sleep(0.01)
        for stream in held:
            await stream.aclose()
        group.cancel_scope.cancel()
