"""Handshake of two VMs that hold the same peer key, and authentication of the frames after it.

A frame consists of the payload's length (4 bytes), an authentication tag (`TAG_BYTES`) and the
payload. The tag is a digest of the frame's number and payload, keyed with the session key. That key
is derived from both ends' nonces and a peer key, so that nobody without a peer key can open a
connection or insert a frame.
"""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
import secrets
import struct

import anyio
import anyio.abc
import anyio.streams.buffered

from hollyring.core import identities
from hollyring.node import errors

LENGTH_BYTES = 4
TAG_BYTES = 8
HEADER_BYTES = LENGTH_BYTES + TAG_BYTES
"""Length of what precedes the payload of a frame."""

NONCE_BYTES = 16
PROOF_BYTES = 32
MAX_HELLO_FIELD_BYTES = 256


class FrameAuthenticator:
    """Seals or verifies the numbered frames of one connection.

    Parameters
    ----------
    key
        Session key of the connection.
    """

    __slots__ = ("_key", "_number")

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._number = 0

    def next_tag(self, payload: bytes) -> bytes:
        """Return the authentication tag of the next frame and increment the frame number."""
        prefix = struct.pack("!Q", self._number)
        self._number += 1
        return hashlib.blake2b(prefix + payload, key=self._key, digest_size=TAG_BYTES).digest()

    def seal(self, payload: bytes) -> bytes:
        """Return the frame that carries `payload`."""
        return struct.pack("!I", len(payload)) + self.next_tag(payload) + payload

    def open(self, tag: bytes, payload: bytes) -> bytes:
        """Return `payload` if `tag` is the authentication tag of the next frame with it.

        Raises
        ------
        PeerError
            If the tag does not match.
        """
        if not hmac.compare_digest(tag, self.next_tag(payload)):
            raise errors.PeerError("authentication tag of a frame does not match")
        return payload


@dataclasses.dataclass(slots=True)
class Session:
    """Connection after its handshake.

    Parameters
    ----------
    opener
        VM that opened the connection.
    stream, buffered
        The connection, and its bytes that were received with the handshake or follow.
    outgoing, incoming
        Authenticators of the frames that this VM sends and receives.
    """

    opener: identities.Incarnation
    stream: anyio.abc.SocketStream
    buffered: anyio.streams.buffered.BufferedByteReceiveStream
    outgoing: FrameAuthenticator
    incoming: FrameAuthenticator


async def open_session(
    stream: anyio.abc.SocketStream, incarnation: identities.Incarnation, address: str, key: str
) -> Session:
    """Run the handshake on a connection that this VM opened.

    Parameters
    ----------
    incarnation, address
        This VM, and the address where it accepts connections.
    key
        Peer key that the accepting VM has to prove that it holds, too.

    Raises
    ------
    PeerError
        If it does not.
    """
    buffered = anyio.streams.buffered.BufferedByteReceiveStream(stream)
    peer_nonce = await buffered.receive_exactly(NONCE_BYTES)
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    hello = _encode_hello(incarnation, address)
    fields = peer_nonce, own_nonce, hello
    await stream.send(hello + own_nonce + _handshake_mac(key, b"open", *fields))
    proof = await buffered.receive_exactly(PROOF_BYTES)
    if not hmac.compare_digest(proof, _handshake_mac(key, b"accept", *fields)):
        raise errors.PeerError("accepting peer failed mutual authentication")
    return Session(
        incarnation,
        stream,
        buffered,
        FrameAuthenticator(_handshake_mac(key, b"session", *fields)),
        FrameAuthenticator(_handshake_mac(key, b"answers", *fields)),
    )


async def accept_session(stream: anyio.abc.SocketStream, keys: list[str]) -> tuple[Session, str]:
    """Run the handshake on a connection that another VM opened.

    Parameters
    ----------
    keys
        Peer keys of which that VM has to hold one.

    Returns
    -------
    tuple[Session, str]
        The session, and the address where that VM accepts connections.

    Raises
    ------
    PeerError
        If that VM holds none of the keys.
    """
    buffered = anyio.streams.buffered.BufferedByteReceiveStream(stream)
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    await stream.send(own_nonce)
    opener, address = await _receive_hello(buffered)
    peer_nonce = await buffered.receive_exactly(NONCE_BYTES)
    proof = await buffered.receive_exactly(PROOF_BYTES)
    fields = own_nonce, peer_nonce, _encode_hello(opener, address)
    for key in keys:
        if not hmac.compare_digest(proof, _handshake_mac(key, b"open", *fields)):
            continue
        await stream.send(_handshake_mac(key, b"accept", *fields))
        session = Session(
            opener,
            stream,
            buffered,
            FrameAuthenticator(_handshake_mac(key, b"answers", *fields)),
            FrameAuthenticator(_handshake_mac(key, b"session", *fields)),
        )
        return session, address
    raise errors.PeerError("connecting peer has none of the peer keys")


def _handshake_mac(key: str, label: bytes, *fields: bytes) -> bytes:
    digest = hmac.new(key.encode(), label, hashlib.sha256)
    for field in fields:
        digest.update(struct.pack("!I", len(field)) + field)
    return digest.digest()


def _encode_hello(incarnation: identities.Incarnation, address: str) -> bytes:
    encoded_name, encoded_address = incarnation.name.encode(), address.encode()
    return (
        struct.pack("!HHQ", len(encoded_name), len(encoded_address), incarnation.number)
        + encoded_name
        + encoded_address
    )


async def _receive_hello(
    stream: anyio.streams.buffered.BufferedByteReceiveStream,
) -> tuple[identities.Incarnation, str]:
    """Return the incarnation of the connecting VM and the address where it accepts connections."""
    name_length, address_length, number = struct.unpack("!HHQ", await stream.receive_exactly(12))
    if not 0 < name_length <= MAX_HELLO_FIELD_BYTES or address_length > MAX_HELLO_FIELD_BYTES:
        raise errors.PeerError("peer name is empty, or the name or address is too long")
    try:
        name = (await stream.receive_exactly(name_length)).decode()
        address = (await stream.receive_exactly(address_length)).decode() if address_length else ""
    except UnicodeDecodeError as error:
        raise errors.PeerError("peer name or address is not valid UTF-8") from error
    return identities.Incarnation(name, number), address
