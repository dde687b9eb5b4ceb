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
    """One entry of the claim log; the last one for a key counts.

    Parameters
    ----------
    key
        Digest of organisation, route and idempotency key.
    body
        Digest of the request, to tell two requests under one key apart.
    owner
        Name of the VM that alone may dispatch the call.
    incarnation
        Number of that VM's life; a later life may not dispatch it.
    sequence
        Number of the claim within that life.
    released
        Whether the owner gave the claim up without having sent a byte.
    at
        Wall-clock second of the claim, from which its age is counted.
    """

    key: bytes
    body_digest: bytes
    owner: str
    incarnation: int
    sequence: int
    released: bool
    claimed_at: int

    def same_claim(self, other: Record) -> bool:
        """Tell whether `other` speaks of the same claim by the same life of the same VM."""
        return (self.sequence, self.incarnation, self.owner, self.key) == (
            other.sequence,
            other.incarnation,
            other.owner,
            other.key,
        )

    def as_released(self) -> Record:
        """Return the record that gives this claim up."""
        return dataclasses.replace(self, released=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """Where older records of a group are kept.

    Parameters
    ----------
    name
        Version of the head whose records were moved out; its content is fixed by that.
    count
        Records in it.
    newest
        Wall-clock second of its newest record.
    """

    name: int
    count: int
    newest: int


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The value that every claim of a group is added to by compare-and-swap."""

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
    """Return the digest that tells requests under one key apart."""
    return _digest(BODY_DIGEST_BYTES, method.encode(), path.encode(), body)


def key_time(idempotency_key: str) -> float | None:
    """Return the wall-clock second that a key bears, when it is a UUID of version 7.

    Examples
    --------
    >>> key_time("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
    1645557742.0
    >>> key_time("order 7") is None
    True
    """
    try:
        identity = uuid.UUID(idempotency_key)
    except ValueError:
        return None
    if identity.version != UUID_TIME_VERSION:
        return None
    return (identity.int >> UUID_TIME_SHIFT_BITS) / MILLISECONDS_PER_SECOND


def group_of(key: bytes, groups: int) -> int:
    """Return the group that a claim key belongs to."""
    return int.from_bytes(key[:4], "big") % groups


def encode(head: Head) -> bytes:
    """Return the stored form of a head, or of a segment, which lists no segments."""
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
    segments = [_SegmentRow(one.name, one.count, one.newest) for one in head.segments]
    return _ENCODER.encode(_Value(segments, [_OwnerRow(*owner) for owner in owners], rows))


def decode(value: bytes) -> Head:
    """Return what `encode` stored; an empty value is an empty head.

    Raises
    ------
    LogFormatError
        If the value can't be read.
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
