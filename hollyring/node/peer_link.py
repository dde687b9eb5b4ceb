"""Connection between two VMs that carries frames both ways; closing it ends what it carries."""

from __future__ import annotations

import select
import struct

import anyio
import anyio.abc

from hollyring.node import errors, handshake, peers, sockets, wire

CLOSE_EVENTS = select.POLLIN | select.POLLRDHUP


class LinkLostError(errors.VmError):
    """The connection broke, or the other VM closed it or sent invalid data."""


class Link:
    """Sends and receives messages on the connection of a session.

    Parameters
    ----------
    session
        Connection after its handshake.
    codec
        Encodes and decodes messages.
    """

    __slots__ = (
        "_session",
        "_codec",
        "_buffer",
        "_lock",
        "_poll",
        "sent_bytes",
        "received_bytes",
    )

    def __init__(self, session: handshake.Session, codec: wire.Codec) -> None:
        self._session = session
        self._codec = codec
        self._buffer = bytearray(session.buffered.buffer)
        self._lock = anyio.Lock()
        self._poll = select.poll()
        raw_socket = session.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        self._poll.register(raw_socket, CLOSE_EVENTS)
        sockets.enable_probes(raw_socket)
        self.sent_bytes = 0
        self.received_bytes = 0

    @property
    def peer(self) -> str:
        """Name of the VM that opened the connection."""
        return self._session.opener.name

    @property
    def is_sending(self) -> bool:
        """Whether a message waits for room in the other VM's window."""
        return self._lock.locked()

    @property
    def is_stale(self) -> bool:
        """Whether a link that expects nothing was closed or has data, at a system call's cost."""
        return bool(self._buffer) or bool(self._poll.poll(0))

    async def send(self, *messages: object) -> None:
        """Send messages; a cancelled call leaves the link unusable.

        Raises
        ------
        LinkLostError
            If the connection is lost; some of the bytes may have arrived.
        """
        async with self._lock:
            payloads = [self._codec.encode(message) for message in messages]
            data = b"".join(self._session.outgoing.seal(payload) for payload in payloads)
            try:
                await self._session.stream.send(data)
            except peers.CONNECTION_ERRORS as error:
                raise LinkLostError(f"link lost: {type(error).__name__}") from error
            self.sent_bytes += len(data)

    async def receive(self) -> object:
        """Return the next message; a cancelled call loses nothing.

        Raises
        ------
        LinkLostError
            If the connection is lost or a frame is invalid.
        """
        while (payload := self._next_payload()) is None:
            await self.wait_data()
        try:
            message, _, _ = self._codec.decode(payload)
        except errors.PeerError as error:
            raise LinkLostError(str(error)) from error
        return message

    async def wait_data(self) -> None:
        """Wait until more bytes have arrived.

        Raises
        ------
        LinkLostError
            If the connection is lost.
        """
        try:
            data = await self._session.stream.receive()
        except peers.CONNECTION_ERRORS as error:
            raise LinkLostError(f"link lost: {type(error).__name__}") from error
        self._buffer += data
        self.received_bytes += len(data)

    async def close(self) -> None:
        """Close the connection."""
        await anyio.aclose_forcefully(self._session.stream)

    def _next_payload(self) -> bytes | None:
        """Return the payload of the next frame, None if it is not whole."""
        if len(self._buffer) < handshake.HEADER_BYTES:
            return None
        (length,) = struct.unpack_from("!I", self._buffer)
        if length > wire.MAX_MESSAGE_BYTES:
            raise LinkLostError(f"frame of {length} bytes exceeds the size limit")
        end = handshake.HEADER_BYTES + length
        if len(self._buffer) < end:
            return None
        tag = bytes(self._buffer[handshake.LENGTH_BYTES : handshake.HEADER_BYTES])
        payload = bytes(self._buffer[handshake.HEADER_BYTES : end])
        del self._buffer[:end]
        try:
            return self._session.incoming.open(tag, payload)
        except errors.PeerError as error:
            raise LinkLostError(str(error)) from error
