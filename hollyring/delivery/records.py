"""Claims on non-idempotent calls and the stored form of a group's claim log."""

from __future__ import annotations

import dataclasses
import hashlib
import uuid

import msgspec

from hollyring.delivery import errors

KEY_DIGEST_BYTES = 16
BODY_DIGEST_BYTES = 8
UUID_TIME_VERSION = 7
UUID_TIME_SHIFT_BITS = 80
MILLISECONDS_PER_SECOND = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One entry of the claim log; the last entry for a key is the valid one.

    Parameters
    ----------
    key
        Digest of organisation, route and idempotency key.
    body_digest
        Digest of the request, which distinguishes different requests under one key.
    owner
        Name of the only VM that may dispatch the call.
    incarnation
        Incarnation number of that VM; a later incarnation may not dispatch the call.
    sequence
        Number of the claim within that incarnation.
    released
        Whether the owner released the claim without having sent a byte.
    claimed_at
        Wall-clock second of the claim, from which its age is computed.
    """

    key: bytes
    body_digest: bytes
    owner: str
    incarnation: int
    sequence: int
    released: bool
    claimed_at: int

    def same_claim(self, other: Record) -> bool:
        """Return whether `other` is about the same claim by the same incarnation of the VM."""
        return (self.sequence, self.incarnation, self.owner, self.key) == (
            other.sequence,
            other.incarnation,
            other.owner,
            other.key,
        )

    def as_released(self) -> Record:
        """Return the record that releases this claim."""
        return dataclasses.replace(self, released=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """Reference to a stored segment, which holds older records of a group.

    Parameters
    ----------
    name
        Version of the head whose records were moved to the segment; it determines the content.
    count
        Number of records in the segment.
    newest
        Wall-clock second of its newest record.
    """

    name: int
    count: int
    newest: int


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Value to which all claims of a group are appended by compare-and-swap."""

    segments: list[Segment]
    records: list[Record]


class _SegmentRow(msgspec.Struct, array_like=True, frozen=True):
    name: int
    count: int
    newest: int


class _OwnerRow(msgspec.Struct, array_like=True, frozen=True):
    name: str
    incarnation: int


class _RecordRow(msgspec.Struct, array_like=True, frozen=True):
    key: bytes
    body: bytes
    owner: int
    sequence: int
    released: bool
    at: int


class _Value(msgspec.Struct, array_like=True, frozen=True):
    segments: list[_SegmentRow]
    owners: list[_OwnerRow]
    records: list[_RecordRow]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Value)


def claim_key(organisation: str, route: str, idempotency_key: str) -> bytes:
    """Return the digest under which a call is claimed.

    Examples
    --------
    >>> claim_key("kigoma", "/orders", "7") == claim_key("mtwara", "/orders", "7")
    False
    """
    return _digest(
        KEY_DIGEST_BYTES, organisation.encode(), route.encode(), idempotency_key.encode()
    )


def body_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the digest that distinguishes different requests under one key."""
    return _digest(BODY_DIGEST_BYTES, method.encode(), path.encode(), body)


def key_time(idempotency_key: str) -> float | None:
    """Return the wall-clock time in a version 7 UUID, in seconds, or None for any other key.

    Examples
    --------
    >>> key_time("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
    1645557742.0
    >>> key_time("order 7") is None
    True
    """
    try:
        parsed = uuid.UUID(idempotency_key)
    except ValueError:
        return None
    if parsed.version != UUID_TIME_VERSION:
        return None
    return (parsed.int >> UUID_TIME_SHIFT_BITS) / MILLISECONDS_PER_SECOND


def group_of(key: bytes, groups: int) -> int:
    """Return the group of a claim key."""
    return int.from_bytes(key[:4], "big") % groups


def encode(head: Head) -> bytes:
    """Return the stored form of a head, or of a segment, which is a head without segments."""
    owners: dict[tuple[str, int], int] = {}
    rows = [
        _RecordRow(
            record.key,
            record.body_digest,
            owners.setdefault((record.owner, record.incarnation), len(owners)),
            record.sequence,
            record.released,
            record.claimed_at,
        )
        for record in head.records
    ]
    segments = [
        _SegmentRow(segment.name, segment.count, segment.newest) for segment in head.segments
    ]
    return _ENCODER.encode(_Value(segments, [_OwnerRow(*owner) for owner in owners], rows))


def decode(value: bytes) -> Head:
    """Decode the output of `encode`; an empty value is an empty head.

    Raises
    ------
    LogFormatError
        If the value cannot be decoded.
    """
    if not value:
        return Head([], [])
    try:
        stored = _DECODER.decode(value)
        owners = [(row.name, row.incarnation) for row in stored.owners]
        rows = [
            Record(row.key, row.body, *owners[row.owner], row.sequence, row.released, row.at)
            for row in stored.records
        ]
    except (msgspec.DecodeError, IndexError) as error:
        raise errors.LogFormatError(str(error)) from error
    return Head([Segment(row.name, row.count, row.newest) for row in stored.segments], rows)


def _digest(size: int, *parts: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=size)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
