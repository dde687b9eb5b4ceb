import anyio
import pytest

from hollyring.core import identities
from hollyring.limits import messages
from hollyring.node import catalogue, errors, peers, wire

KEY = "a-peer-key-of-sixteen-bytes"
OTHER_KEY = "another-key-of-sixteen-bytes"
MESSAGE = messages.Ask("kigoma", 1, 2, 30_000)
PATIENCE_SECONDS = 5.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


class End:
    """One VM's end: collects what arrives and answers every question with a `Settled`."""

    def __init__(self, name, keys, addresses):
        self.got = []
        self.arrived = anyio.Event()
        me = identities.Incarnation(name, 1)
        codec = wire.Codec(catalogue.MESSAGES)
        self.peers = peers.PeerConnections(me, "", keys, codec, self.receive, addresses.get)

    async def receive(self, sender, message):
        self.got.append((sender.name, message))
        self.arrived.set()
        return messages.Settled(7)


async def serve(group, end):
    port = await group.start(end.peers.run, "127.0.0.1", 0)
    return f"127.0.0.1:{port}"


@pytest.mark.anyio
async def test_message_and_reply_pass_between_holders_of_a_key():
    addresses = {}
    async with anyio.create_task_group() as group:
        one, two = End("vm-1", [KEY], addresses), End("vm-2", [OTHER_KEY, KEY], addresses)
        addresses |= {"vm-1": await serve(group, one), "vm-2": await serve(group, two)}
        assert one.peers.send(addresses["vm-2"], MESSAGE)
        with anyio.fail_after(PATIENCE_SECONDS):
            await two.arrived.wait()
        assert two.got == [("vm-1", MESSAGE)]
        one.peers.set_keys([OTHER_KEY, KEY])
        two.peers.set_keys([OTHER_KEY])
        reply = await two.peers.call(addresses["vm-1"], MESSAGE, PATIENCE_SECONDS)
        assert reply == messages.Settled(7)
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_sender_without_the_key_is_not_heard():
    addresses = {}
    async with anyio.create_task_group() as group:
        one, two = End("vm-1", [OTHER_KEY], addresses), End("vm-2", [KEY], addresses)
        addresses |= {"vm-1": await serve(group, one), "vm-2": await serve(group, two)}
        one.peers.send(addresses["vm-2"], MESSAGE)
        with anyio.fail_after(PATIENCE_SECONDS):
            while not two.peers.counts["refused"]:
                await anyio.sleep(0.01)
        assert two.got == []
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_bytes_of_a_caller_at_the_peer_port_do_nothing():
    addresses = {}
    async with anyio.create_task_group() as group:
        end = End("vm-1", [KEY], addresses)
        address = await serve(group, end)
        host, _, port = address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n" + b"x" * 500)
            with anyio.fail_after(PATIENCE_SECONDS):
                while not end.peers.counts["refused"]:
                    await anyio.sleep(0.01)
        assert end.got == []
        group.cancel_scope.cancel()


def test_frame_out_of_order_or_changed_is_refused():
    sealed = [peers.FrameAuthenticator(b"k" * 32) for _ in range(2)]
    first, second = sealed[0].seal(b"one"), sealed[0].seal(b"two")
    with pytest.raises(errors.PeerError):
        sealed[1].open(second[4:12], b"two")
    receiver = peers.FrameAuthenticator(b"k" * 32)
    assert receiver.open(first[4:12], b"one") == b"one"
    with pytest.raises(errors.PeerError):
        receiver.open(second[4:12], b"twp")
