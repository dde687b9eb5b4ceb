"""TCP connections between VMs: a handshake with mutual authentication, then authenticated frames.

A connection carries messages in one direction, from the VM that opened it to the VM that accepted
it, unless its first message hands it over to `LinkHandler`, which answers on the same connection.
Each outgoing connection is served by one task, which owns the socket and reads a bounded
queue. A message that finds the queue full is dropped; senders have to cope with that anyway, since
the network may lose messages.
"""

from __future__ import annotations

import struct
from collections.abc import Awaitable, Callable, Iterable

import anyio
import anyio.abc
from anyio.streams import memory
from thrift.Thrift import TMessageType

from hollyring.core import identities
from hollyring.limits import connection_slots
from hollyring.node import actor, connection_refusals, errors, handshake, logs, sockets, wire

IO_TIMEOUT_SECONDS = 2.0
"""Timeout of connecting, of the handshake and of sending one frame."""

IDLE_TIMEOUT_SECONDS = 600.0
"""Time without messages after which an outgoing connection is closed."""

ACCEPT_PAUSE_SECONDS = 0.25
"""Time until connections are accepted again after an error, such as a want of descriptors."""

MAX_HANDSHAKES = 256
MAX_QUEUED_MESSAGES = 256
MAX_SEQUENCE = 1 << 31

MessageHandler = Callable[[identities.Incarnation, object], Awaitable[object | None]]
"""Handles a message; its return value is sent as the reply if the sender waits for one."""

LinkHandler = Callable[[handshake.Session, object], Awaitable[None]]
"""Serves a connection that carries frames both ways, given its first message."""


CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
"""Errors of a connection that could not be opened or was lost."""


class PeerConnections:
    """Connections of this VM to and from the other VMs.

    Parameters
    ----------
    incarnation
        This VM's incarnation, sent to every peer.
    address
        Address where this VM accepts connections, sent to every peer.
    keys
        Peer keys, newest first.
    codec
        Encodes and decodes messages.
    receive
        Handler, awaited with the sender and the message for each received message.
    known_address
        Returns the peer address of a VM by its name, None for an unknown VM.
    link_opener
        Class of the first message of a connection that carries frames both ways.
    max_handshakes
        Most accepted connections whose handshake has not ended; beyond them the oldest goes.
    """

    __slots__ = (
        "_incarnation",
        "_address",
        "_reported_addresses",
        "_keys",
        "_codec",
        "_receive",
        "_queues",
        "_task_group",
        "_counts",
        "_pending_calls",
        "_last_sequence",
        "_known_address",
        "_failed_addresses",
        "_link_opener",
        "_serve_link",
        "_handshakes",
        "_log",
        "_connection_log",
    )

    def __init__(
        self,
        incarnation: identities.Incarnation,
        address: str,
        keys: list[str],
        codec: wire.Codec,
        receive: MessageHandler,
        known_address: Callable[[str], str | None],
        link_opener: type | None = None,
        max_handshakes: int = MAX_HANDSHAKES,
    ) -> None:
        self._handshakes: connection_slots.ConnectionSlots[anyio.CancelScope] = (
            connection_slots.ConnectionSlots(max_handshakes)
        )
        self._link_opener = link_opener
        self._serve_link: LinkHandler | None = None
        self._known_address = known_address
        self._failed_addresses: set[str] = set()
        self._log = logs.Logger("peers")
        self._connection_log = connection_refusals.ConnectionLog("peers")
        self._incarnation = incarnation
        self._address = address
        self._reported_addresses: dict[str, str] = {}
        self._keys = list(keys)
        self._codec = codec
        self._receive = receive
        self._queues: dict[str, memory.MemoryObjectSendStream[bytes]] = {}
        self._task_group: anyio.abc.TaskGroup | None = None
        self._pending_calls: dict[int, actor.PendingReply[object]] = {}
        self._last_sequence = 0
        self._counts = {"sent": 0, "received": 0, "sent_bytes": 0, "received_bytes": 0}
        self._counts |= {"dropped": 0, "refused": 0}

    @property
    def counts(self) -> dict[str, int]:
        """Messages and bytes sent and received, messages dropped, connections refused."""
        return dict(self._counts)

    def address_of(self, name: str) -> str | None:
        """Return the peer address of a VM.

        An address that `known_address` does not have is the one that the VM sent in an
        authenticated handshake.
        """
        return self._known_address(name) or self._reported_addresses.get(name)

    def set_link_handler(self, handler: LinkHandler) -> None:
        """Serve connections that carry frames both ways."""
        self._serve_link = handler

    def set_keys(self, keys: list[str]) -> None:
        """Use `keys` for new handshakes; open connections stay open."""
        self._keys = list(keys)

    async def run(
        self,
        host: str,
        port: int,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections on `host`:`port` until cancelled; report the port once bound."""
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with listener, anyio.create_task_group() as group:
            self._task_group = group
            task_status.started(listener.extra(anyio.abc.SocketAttribute.local_port))
            for one in listener.listeners:
                group.start_soon(self._accept, one, group)
            await anyio.sleep_forever()

    async def _accept(
        self, listener: anyio.abc.Listener[anyio.abc.SocketStream], group: anyio.abc.TaskGroup
    ) -> None:
        """Accept connections until cancelled; without descriptors, again after a pause."""
        while True:
            try:
                stream = await listener.accept()  # type: ignore[attr-defined]
            except OSError as error:
                self._log.info("no connection of a VM accepted", why=str(error))
                await anyio.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            group.start_soon(self._serve_connection, stream)

    def send(self, address: str, message: object) -> bool:
        """Queue `message` for the peer at `address`; return False if it was dropped."""
        return self._enqueue(address, self._codec.encode(message))

    def broadcast(self, addresses: Iterable[str], message: object) -> None:
        """Queue `message` for several peers, encoding it once."""
        payload = self._codec.encode(message)
        for address in addresses:
            self._enqueue(address, payload)

    async def call(self, address: str, message: object, seconds: float) -> object | None:
        """Send `message` to the peer at `address` and return its reply.

        Returns None if no reply arrives within `seconds` or the message is dropped.
        """
        self._last_sequence = (self._last_sequence + 1) % MAX_SEQUENCE
        sequence = self._last_sequence
        pending: actor.PendingReply[object] = actor.PendingReply()
        self._pending_calls[sequence] = pending
        try:
            if not self._enqueue(address, self._codec.encode(message, sequence, TMessageType.CALL)):
                return None
            with anyio.move_on_after(seconds):
                return await pending.wait()
            return None
        finally:
            self._pending_calls.pop(sequence, None)

    def _enqueue(self, address: str, payload: bytes) -> bool:
        if self._task_group is None:
            return False
        queue = self._queues.get(address)
        if queue is None:
            queue, queue_receiver = anyio.create_memory_object_stream[bytes](MAX_QUEUED_MESSAGES)
            self._queues[address] = queue
            self._task_group.start_soon(self._run_connection, address, queue, queue_receiver)
        try:
            queue.send_nowait(payload)
        except (anyio.WouldBlock, anyio.ClosedResourceError, anyio.BrokenResourceError):
            self._counts["dropped"] += 1
            return False
        return True

    async def _run_connection(
        self,
        address: str,
        queue: memory.MemoryObjectSendStream[bytes],
        queue_receiver: memory.MemoryObjectReceiveStream[bytes],
    ) -> None:
        try:
            await self._send_queued(address, queue_receiver)
        except (*CONNECTION_ERRORS, errors.PeerError, ValueError) as error:
            self._counts["dropped"] += 1
            if address not in self._failed_addresses:
                self._failed_addresses.add(address)
                reason = str(error) or type(error).__name__
                self._log.info("connection to a VM lost", address=address, why=reason)
        except Exception:
            self._log.exception("connection to a VM failed", address=address)
        finally:
            if self._queues.get(address) is queue:
                del self._queues[address]
            queue_receiver.close()

    async def _send_queued(
        self, address: str, queue_receiver: memory.MemoryObjectReceiveStream[bytes]
    ) -> None:
        with anyio.fail_after(IO_TIMEOUT_SECONDS):
            session = await self.open_session(address)
        async with session.stream:
            sockets.enable_keepalive(session.stream.extra(anyio.abc.SocketAttribute.raw_socket))
            self._failed_addresses.discard(address)
            while True:
                with anyio.move_on_after(IDLE_TIMEOUT_SECONDS) as idle:
                    payload = await queue_receiver.receive()
                if idle.cancelled_caught:
                    return
                with anyio.fail_after(IO_TIMEOUT_SECONDS):
                    await session.stream.send(session.outgoing.seal(payload))
                self._counts["sent"] += 1
                self._counts["sent_bytes"] += len(payload) + handshake.HEADER_BYTES

    async def open_session(self, address: str) -> handshake.Session:
        """Connect to the VM at `address` and run the handshake.

        Raises
        ------
        PeerError
            If the VM does not prove that it holds the key; `CONNECTION_ERRORS` if the connection
            cannot be opened.
        """
        host, _, port = address.rpartition(":")
        stream = await anyio.connect_tcp(host, int(port))
        try:
            sockets.enable_probes(stream.extra(anyio.abc.SocketAttribute.raw_socket))
            return await handshake.open_session(
                stream, self._incarnation, self._address, self._keys[0]
            )
        except BaseException:
            await anyio.aclose_forcefully(stream)
            raise

    async def _accept_session(
        self, stream: anyio.abc.SocketStream
    ) -> tuple[handshake.Session, str]:
        """Run the handshake of an accepted connection, unless too many others begin meanwhile.

        Raises
        ------
        PeerError
            If the other end is no VM, or was given up for another connection.
        """
        with anyio.CancelScope() as scope:
            match self._handshakes.open(scope):
                case connection_slots.AdmittedInstead(closed=other):
                    other.cancel()
            try:
                with anyio.fail_after(IO_TIMEOUT_SECONDS):
                    return await handshake.accept_session(stream, self._keys)
            finally:
                self._handshakes.close(scope)
        raise errors.PeerError("too many handshakes at once")

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            try:
                session, address = await self._accept_session(stream)
                self._reported_addresses[session.opener.name] = address
                await self._receive_frames(session)
            except errors.PeerError as error:
                self._counts["refused"] += 1
                self._connection_log.info("connection from a VM refused", why=str(error))
            except CONNECTION_ERRORS:
                return
            except Exception:  # of one message; the process has requests of callers
                self._log.exception("connection from a VM failed")

    async def _receive_frames(self, session: handshake.Session) -> None:
        buffered = session.buffered
        while True:
            header = await buffered.receive_exactly(handshake.HEADER_BYTES)
            (length,) = struct.unpack("!I", header[: handshake.LENGTH_BYTES])
            if length > wire.MAX_MESSAGE_BYTES:
                raise errors.PeerError(f"frame of {length} bytes exceeds the size limit")
            payload = session.incoming.open(
                header[handshake.LENGTH_BYTES :], await buffered.receive_exactly(length)
            )
            message, sequence, message_type = self._codec.decode(payload)
            self._counts["received"] += 1
            self._counts["received_bytes"] += length + handshake.HEADER_BYTES
            if self._serve_link is not None and self._opens_link(message):
                await self._serve_link(session, message)
                return
            await self._dispatch(session.opener, message, sequence, message_type)

    def _opens_link(self, message: object) -> bool:
        return self._link_opener is not None and isinstance(message, self._link_opener)

    async def _dispatch(
        self, sender: identities.Incarnation, message: object, sequence: int, message_type: int
    ) -> None:
        if message_type == TMessageType.REPLY:
            pending = self._pending_calls.get(sequence)
            if pending is not None:
                pending.set(message)
            return
        if message_type == TMessageType.CALL and self._task_group is not None:
            self._task_group.start_soon(self._reply, sender, message, sequence)
            return
        await self._receive(sender, message)

    async def _reply(self, sender: identities.Incarnation, message: object, sequence: int) -> None:
        try:
            reply = await self._receive(sender, message)
            address = self.address_of(sender.name)
            if reply is not None and address is not None:
                self._enqueue(address, self._codec.encode(reply, sequence, TMessageType.REPLY))
        except Exception:
            self._log.exception("no reply to a VM", sender=sender.name)
