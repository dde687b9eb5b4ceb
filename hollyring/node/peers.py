"""Links between VMs: mutual proof of identity, then authenticated frames over TCP.

A link carries messages one way, from the VM that opened it to the VM that accepted it. Each link
is one task that owns its socket and takes messages from a bounded queue; a message that finds the
queue full is dropped, as the network may drop it.

A frame is a length of four bytes, a keyed digest of `TAG_BYTES` over the frame's number and its
payload, and the payload. The session key comes from both ends' nonces and a peer key, so that
somebody without a peer key can neither open a link nor put a frame into one.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
import struct
from collections.abc import Awaitable, Callable, Iterable

import anyio
import anyio.abc
import anyio.streams.buffered
from anyio.streams import memory
from thrift.Thrift import TMessageType

from hollyring.core import identities
from hollyring.node import actor, errors, sockets, wire

NONCE_BYTES = 16
TAG_BYTES = 8
PROOF_BYTES = 32
HANDSHAKE_SECONDS = 2.0
IDLE_SECONDS = 600.0
"""A link without messages is closed after this time."""

QUEUE_MESSAGES = 256
MAX_NAME_BYTES = 256
MAX_SEQUENCE = 1 << 31

MessageHandler = Callable[[identities.Incarnation, object], Awaitable[object | None]]
"""Takes a message; what it returns goes back to a sender that waits for a reply."""


class FrameAuthenticator:
    """Numbered, authenticated frames in one direction of one link."""

    __slots__ = ("_key", "_number")

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._number = 0

    def tag(self, payload: bytes) -> bytes:
        """Return the digest of the next frame and count the frame."""
        prefix = struct.pack("!Q", self._number)
        self._number += 1
        return hashlib.blake2b(prefix + payload, key=self._key, digest_size=TAG_BYTES).digest()

    def seal(self, payload: bytes) -> bytes:
        """Return the frame of `payload`."""
        return struct.pack("!I", len(payload)) + self.tag(payload) + payload

    def open(self, tag: bytes, payload: bytes) -> bytes:
        """Return `payload` if `tag` is the next frame's.

        Raises
        ------
        PeerError
            If it is not.
        """
        if not hmac.compare_digest(tag, self.tag(payload)):
            raise errors.PeerError("frame with a wrong digest")
        return payload


def _proof(key: str, label: bytes, *parts: bytes) -> bytes:
    digest = hmac.new(key.encode(), label, hashlib.sha256)
    for field in parts:
        digest.update(struct.pack("!I", len(field)) + field)
    return digest.digest()


def _hello(me: identities.Incarnation, address: str) -> bytes:
    name, place = me.name.encode(), address.encode()
    return struct.pack("!HHQ", len(name), len(place), me.number) + name + place


async def _receive_hello(
    stream: anyio.streams.buffered.BufferedByteReceiveStream,
) -> tuple[identities.Incarnation, str]:
    """Return who calls and where that VM accepts links."""
    length, place, number = struct.unpack("!HHQ", await stream.receive_exactly(12))
    if not 0 < length <= MAX_NAME_BYTES or place > MAX_NAME_BYTES:
        raise errors.PeerError("name too long")
    try:
        name = (await stream.receive_exactly(length)).decode()
        address = (await stream.receive_exactly(place)).decode() if place else ""
    except UnicodeDecodeError as error:
        raise errors.PeerError("name is not text") from error
    return identities.Incarnation(name, number), address


_LINK_FAILURES = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class PeerConnections:
    """This VM's links to the other VMs.

    Parameters
    ----------
    me
        This VM's incarnation, told to every peer.
    address
        Where this VM accepts links, told to every peer.
    keys
        Peer keys, newest first.
    codec
        Turns messages into bytes and back.
    receive
        Awaited with sender and message for every message that arrives.
    address_of
        Returns the peer address of a VM by name, None for one that is not on the roster.
    """

    __slots__ = (
        "_me",
        "_address",
        "_heard_from",
        "_keys",
        "_codec",
        "_receive",
        "_links",
        "_group",
        "_counts",
        "_waiting",
        "_asked",
        "_address_of",
    )

    def __init__(
        self,
        me: identities.Incarnation,
        address: str,
        keys: list[str],
        codec: wire.Codec,
        receive: MessageHandler,
        address_of: Callable[[str], str | None],
    ) -> None:
        self._address_of = address_of
        self._me = me
        self._address = address
        self._heard_from: dict[str, str] = {}
        self._keys = list(keys)
        self._codec = codec
        self._receive = receive
        self._links: dict[str, memory.MemoryObjectSendStream[bytes]] = {}
        self._group: anyio.abc.TaskGroup | None = None
        self._waiting: dict[int, actor.PendingReply[object]] = {}
        self._asked = 0
        self._counts = {"sent": 0, "received": 0, "sent_bytes": 0, "received_bytes": 0}
        self._counts |= {"dropped": 0, "refused": 0}

    @property
    def counts(self) -> dict[str, int]:
        """Messages and bytes sent, received, dropped; handshakes refused."""
        return dict(self._counts)

    def address_of(self, name: str) -> str | None:
        """Return where a VM accepts links, as known or as it said itself with proof."""
        return self._address_of(name) or self._heard_from.get(name)

    def set_keys(self, keys: list[str]) -> None:
        """Use `keys` from now on; open links stay."""
        self._keys = list(keys)

    async def run(
        self,
        host: str,
        port: int,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept links on `host`:`port` and serve until cancelled; tell the port once bound."""
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with listener, anyio.create_task_group() as group:
            self._group = group
            task_status.started(listener.extra(anyio.abc.SocketAttribute.local_port))
            await listener.serve(self._accept, group)

    def send(self, address: str, message: object) -> bool:
        """Queue `message` for the peer at `address`; False if it had to be dropped."""
        return self._queue(address, self._codec.encode(message))

    def broadcast(self, addresses: Iterable[str], message: object) -> None:
        """Queue `message` for several peers; it is encoded once."""
        payload = self._codec.encode(message)
        for address in addresses:
            self._queue(address, payload)

    async def call(self, address: str, message: object, seconds: float) -> object | None:
        """Return the reply of the peer at `address`, or None if none came within `seconds`."""
        self._asked = (self._asked + 1) % MAX_SEQUENCE
        sequence = self._asked
        ticket: actor.PendingReply[object] = actor.PendingReply()
        self._waiting[sequence] = ticket
        try:
            if not self._queue(address, self._codec.encode(message, sequence, TMessageType.CALL)):
                return None
            with anyio.move_on_after(seconds):
                return await ticket.wait()
            return None
        finally:
            self._waiting.pop(sequence, None)

    def _queue(self, address: str, payload: bytes) -> bool:
        if self._group is None:
            return False
        link = self._links.get(address)
        if link is None:
            link, receiver = anyio.create_memory_object_stream[bytes](QUEUE_MESSAGES)
            self._links[address] = link
            self._group.start_soon(self._run_link, address, link, receiver)
        try:
            link.send_nowait(payload)
        except (anyio.WouldBlock, anyio.ClosedResourceError, anyio.BrokenResourceError):
            self._counts["dropped"] += 1
            return False
        return True

    async def _run_link(
        self,
        address: str,
        link: memory.MemoryObjectSendStream[bytes],
        queue: memory.MemoryObjectReceiveStream[bytes],
    ) -> None:
        try:
            await self._carry(address, queue)
        except (*_LINK_FAILURES, errors.PeerError):
            self._counts["dropped"] += 1
        finally:
            if self._links.get(address) is link:
                del self._links[address]
            queue.close()

    async def _carry(self, address: str, queue: memory.MemoryObjectReceiveStream[bytes]) -> None:
        host, _, port = address.rpartition(":")
        with anyio.fail_after(HANDSHAKE_SECONDS):
            stream = await anyio.connect_tcp(host, int(port))
        sockets.enable_keepalive(stream.extra(anyio.abc.SocketAttribute.raw_socket))
        async with stream:
            with anyio.fail_after(HANDSHAKE_SECONDS):
                frames = await self._open(stream)
            while True:
                with anyio.move_on_after(IDLE_SECONDS) as idle:
                    payload = await queue.receive()
                if idle.cancelled_caught:
                    return
                with anyio.fail_after(HANDSHAKE_SECONDS):
                    await stream.send(frames.seal(payload))
                self._counts["sent"] += 1
                self._counts["sent_bytes"] += len(payload) + TAG_BYTES + 4

    async def _open(self, stream: anyio.abc.ByteStream) -> FrameAuthenticator:
        """Prove who we are and have the acceptor prove that it holds the same key."""
        buffered = anyio.streams.buffered.BufferedByteReceiveStream(stream)
        theirs = await buffered.receive_exactly(NONCE_BYTES)
        mine = secrets.token_bytes(NONCE_BYTES)
        hello = _hello(self._me, self._address)
        key = self._keys[0]
        await stream.send(hello + mine + _proof(key, b"open", theirs, mine, hello))
        answer = await buffered.receive_exactly(PROOF_BYTES)
        if not hmac.compare_digest(answer, _proof(key, b"accept", theirs, mine, hello)):
            raise errors.PeerError("the peer did not prove who it is")
        return FrameAuthenticator(_proof(key, b"session", theirs, mine, hello))

    async def _accept(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            try:
                with anyio.fail_after(HANDSHAKE_SECONDS):
                    sender, frames, buffered = await self._admit(stream)
                await self._receive_frames(sender, frames, buffered)
            except errors.PeerError:
                self._counts["refused"] += 1
            except _LINK_FAILURES:
                return

    async def _admit(
        self, stream: anyio.abc.SocketStream
    ) -> tuple[
        identities.Incarnation, FrameAuthenticator, anyio.streams.buffered.BufferedByteReceiveStream
    ]:
        buffered = anyio.streams.buffered.BufferedByteReceiveStream(stream)
        mine = secrets.token_bytes(NONCE_BYTES)
        await stream.send(mine)
        sender, address = await _receive_hello(buffered)
        theirs = await buffered.receive_exactly(NONCE_BYTES)
        proof = await buffered.receive_exactly(PROOF_BYTES)
        hello = _hello(sender, address)
        for key in self._keys:
            if hmac.compare_digest(proof, _proof(key, b"open", mine, theirs, hello)):
                await stream.send(_proof(key, b"accept", mine, theirs, hello))
                self._heard_from[sender.name] = address
                return (
                    sender,
                    FrameAuthenticator(_proof(key, b"session", mine, theirs, hello)),
                    buffered,
                )
        raise errors.PeerError("a caller without a peer key")

    async def _receive_frames(
        self,
        sender: identities.Incarnation,
        frames: FrameAuthenticator,
        buffered: anyio.streams.buffered.BufferedByteReceiveStream,
    ) -> None:
        while True:
            head = await buffered.receive_exactly(4 + TAG_BYTES)
            (length,) = struct.unpack("!I", head[:4])
            if length > wire.MAX_MESSAGE_BYTES:
                raise errors.PeerError(f"frame of {length} bytes")
            payload = frames.open(head[4:], await buffered.receive_exactly(length))
            message, sequence, kind = self._codec.decode(payload)
            self._counts["received"] += 1
            self._counts["received_bytes"] += length + TAG_BYTES + 4
            await self._take(sender, message, sequence, kind)

    async def _take(
        self, sender: identities.Incarnation, message: object, sequence: int, kind: int
    ) -> None:
        if kind == TMessageType.REPLY:
            ticket = self._waiting.get(sequence)
            if ticket is not None:
                ticket.set(message)
            return
        if kind == TMessageType.CALL and self._group is not None:
            self._group.start_soon(self._reply, sender, message, sequence)
            return
        await self._receive(sender, message)

    async def _reply(self, sender: identities.Incarnation, message: object, sequence: int) -> None:
        reply = await self._receive(sender, message)
        address = self.address_of(sender.name)
        if reply is not None and address is not None:
            self._queue(address, self._codec.encode(reply, sequence, TMessageType.REPLY))
