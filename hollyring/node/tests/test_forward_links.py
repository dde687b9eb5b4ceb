"""Tests of links: connections between VMs that carry one forwarded request at a time."""

import contextlib
import socket
import struct

import anyio
import pytest

from hollyring.core import identities, request_types
from hollyring.delivery import forwarded
from hollyring.membership import heartbeat
from hollyring.node import (
    clock,
    forward_links,
    forwarded_messages,
    handshake,
    heartbeat_messages,
    peer_link,
    peers,
    sockets,
    wire,
)

KEY = "a-peer-key-of-sixteen-bytes"
CODEC = wire.Codec(heartbeat_messages.MESSAGES | forwarded_messages.MESSAGES)
TIMEOUT_SECONDS = 5.0
PROMPT = request_types.Prompt("m", [request_types.Part("a", 6)], 6, 5, 2)
REQUEST = forwarded.ForwardedRequest(
    request_id="r-1",
    resumed_request_id="r-0",
    method=b"POST",
    target=b"/a?b=%20",
    host="h",
    path="/a",
    headers=[forwarded.ForwardedHeader(b"x-a", b"\xff")],
    body=b"\x00body",
    body_bytes=5,
    seconds_left=1.5,
    service="s",
    organisation="o",
    priority=2,
    runs_left=2,
    sends_left=5,
    excluded_upstreams=["i-1"],
    prompt=PROMPT,
    resume_after=0,
    software="",
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Vm:
    """A VM that answers each request on a link with `answer`, and records how links end."""

    def __init__(self, name, codec=CODEC, key=KEY, opener=forwarded.ForwardedRequest):
        self.requests = []
        self.sessions = 0
        self.sent = 0
        self.lost = anyio.Event()
        self.answer = [forwarded.ForwardedData(b"x"), forwarded.ForwardedEnd(1)]
        me = identities.Incarnation(name, 1)
        self.peers = peers.PeerConnections(me, "", [key], codec, self.receive, {}.get, opener)
        self.peers.set_link_handler(self.serve)
        self.links = forward_links.ForwardLinks(self.peers, codec)
        self.address = ""

    async def receive(self, sender, message):
        return None

    async def serve(self, session, message):
        self.sessions += 1
        link = peer_link.Link(session, CODEC)
        try:
            while True:
                self.requests.append((link.peer, message))
                for part in self.answer:
                    await link.send(part)
                    self.sent += 1
                message = await link.receive()
        except peer_link.LinkLostError:
            self.lost.set()
        finally:
            await link.close()


@pytest.fixture
async def vms():
    """Yield a function that starts a VM; the first one started is the one that forwards."""
    async with anyio.create_task_group() as group:

        async def start(name, **options):
            vm = Vm(name, **options)
            vm.address = f"127.0.0.1:{await group.start(vm.peers.run, '127.0.0.1', 0)}"
            return vm

        yield start
        group.cancel_scope.cancel()


async def exchange(link):
    with anyio.fail_after(TIMEOUT_SECONDS):
        await link.send(REQUEST)
        return await link.receive(), await link.receive()


@pytest.mark.anyio
async def test_idle_link_carries_the_next_request(vms):
    first, second = await vms("vm-1"), await vms("vm-2")
    for _ in range(3):
        link = await first.links.acquire(second.address)
        assert await exchange(link) == tuple(second.answer)
        await first.links.release(second.address, link)
    assert second.requests == [("vm-1", REQUEST)] * 3
    assert second.sessions == 1


@pytest.mark.anyio
async def test_two_requests_in_progress_have_a_link_each(vms):
    first, second = await vms("vm-1"), await vms("vm-2")
    links = [await first.links.acquire(second.address) for _ in range(2)]
    for link in links:
        await exchange(link)
    assert second.sessions == 2


@pytest.mark.anyio
async def test_idle_link_that_the_other_vm_closed_is_not_used(vms):
    first, second = await vms("vm-1"), await vms("vm-2")
    link = await first.links.acquire(second.address)
    second.answer.append(forwarded.ForwardedEnd(9))  # bytes that nobody waits for
    await exchange(link)
    await first.links.release(second.address, link)
    await anyio.sleep(0.05)
    assert await first.links.acquire(second.address) is not link


@pytest.mark.anyio
async def test_link_that_was_idle_for_long_is_not_used(vms, monkeypatch):
    first, second = await vms("vm-1"), await vms("vm-2")
    link = await first.links.acquire(second.address)
    await exchange(link)
    await first.links.release(second.address, link)
    later = clock.now() + forward_links.MAX_IDLE_SECONDS + 0.1
    monkeypatch.setattr(clock, "now", lambda: later)
    assert await first.links.acquire(second.address) is not link


@pytest.mark.anyio
async def test_closing_a_link_reaches_the_other_vm(vms):
    first, second = await vms("vm-1"), await vms("vm-2")
    link = await first.links.acquire(second.address)
    await exchange(link)
    await link.close()
    with anyio.fail_after(TIMEOUT_SECONDS):
        await second.lost.wait()


@pytest.mark.anyio
async def test_vm_that_does_not_listen_or_has_another_key_gives_no_link(vms):
    first, second = await vms("vm-1"), await vms("vm-2", key="another-key-of-sixteen-bytes")
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        unused_address = f"127.0.0.1:{unused.getsockname()[1]}"
        for address in (unused_address, second.address, "no address"):
            with pytest.raises(peer_link.LinkLostError):
                await first.links.acquire(address)
    assert second.requests == []


@pytest.mark.anyio
async def test_silent_vm_gives_no_link_within_the_timeout(vms):
    first = await vms("vm-1")
    with socket.create_server(("127.0.0.1", 0)) as silent:
        started_at = clock.now()
        with pytest.raises(peer_link.LinkLostError):
            await first.links.acquire(f"127.0.0.1:{silent.getsockname()[1]}")
    assert clock.now() - started_at < 2 * forward_links.CONNECT_SECONDS


@pytest.mark.anyio
async def test_vm_of_an_earlier_build_closes_a_link_and_keeps_its_other_connections(vms):
    earlier = wire.Codec(heartbeat_messages.MESSAGES)
    first, second = await vms("vm-1"), await vms("vm-2", codec=earlier, opener=None)
    link = await first.links.acquire(second.address)
    with pytest.raises(peer_link.LinkLostError):
        await exchange(link)
    assert second.peers.counts["refused"] == 1
    assert first.peers.send(second.address, heartbeat.StatusRequest("vm-1"))
    with anyio.fail_after(TIMEOUT_SECONDS):
        while not second.peers.counts["received"]:
            await anyio.sleep(0.01)


@pytest.mark.anyio
@pytest.mark.parametrize("damage", ["tag", "length", "replayed"])
async def test_damaged_frame_ends_the_link(vms, damage):
    first, second = await vms("vm-1"), await vms("vm-2")
    session = await first.peers.open_session(second.address)
    frame = session.outgoing.seal(CODEC.encode(REQUEST))
    match damage:
        case "tag":
            frame = frame[:4] + bytes(handshake.TAG_BYTES) + frame[4 + handshake.TAG_BYTES :]
        case "length":
            frame = struct.pack("!I", wire.MAX_MESSAGE_BYTES + 1) + frame[4:]
        case "replayed":
            frame = frame + frame
    await session.stream.send(frame)
    with anyio.fail_after(TIMEOUT_SECONDS), contextlib.suppress(*peers.CONNECTION_ERRORS):
        while await session.stream.receive():
            pass
    assert len(second.requests) == (1 if damage == "replayed" else 0)


@pytest.mark.anyio
async def test_answers_are_sealed_with_a_key_of_their_own(vms):
    first, second = await vms("vm-1"), await vms("vm-2")
    session = await first.peers.open_session(second.address)
    payload = CODEC.encode(REQUEST)
    assert session.outgoing.seal(payload) != session.incoming.seal(payload)


@pytest.mark.anyio
async def test_sender_waits_longer_than_a_user_timeout_while_the_other_vm_does_not_read(vms):
    first, second = await vms("vm-1"), await vms("vm-2")
    second.answer = [forwarded.ForwardedData(bytes(200_000))] * 200
    link = await first.links.acquire(second.address)
    await link.send(REQUEST)
    await anyio.sleep(sockets.USER_TIMEOUT_MS / 1000 + 1.0)
    assert second.sent < 100
    received = 0
    with anyio.fail_after(TIMEOUT_SECONDS):
        for _ in second.answer:
            received += len((await link.receive()).data)
    assert received == 200 * 200_000
