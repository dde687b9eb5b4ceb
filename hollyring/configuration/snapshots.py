"""Snapshots of a whole configuration, in segments, and the pointer to the latest one.

A snapshot saves a starting VM the deltas before it. The pointer is a hint: it may lag, and what it
points to is checked against the revision's own stored value.
"""

from __future__ import annotations

import dataclasses

import msgspec

from hollyring.configuration import errors, objects, revisions, state

INTERVAL_REVISIONS = 16
"""A snapshot is due once the latest is this many revisions old."""

SEGMENT_BYTES = 500_000
"""Size at which a segment is closed."""

POINTER_KEY = "config/pointer"


class Pointer(msgspec.Struct, frozen=True):
    """The latest snapshot, and the one before it, which is deleted at the next."""

    revision: int
    segments: int
    older_revision: int = 0
    older_segments: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A whole configuration in transfer.

    Parameters
    ----------
    revision_value
        Stored value of the snapshot's revision; it states the content.
    segments
        JSON lists of objects.
    """

    revision_value: bytes
    segments: list[bytes]


def key(revision: int, segment: int) -> str:
    """Return the key of a segment.

    Examples
    --------
    >>> key(64, 0)
    'config/snapshot/64/0'
    """
    return f"config/snapshot/{revision}/{segment}"


def create(configuration: state.Configuration, revision_value: bytes) -> Snapshot:
    """Return the snapshot of `configuration`, whose revision's stored value is `revision_value`."""
    segments: list[bytes] = []
    parts: list[bytes] = []
    size = 0
    for item in configuration.items():
        part = objects.encode(item)
        if parts and size + len(part) > SEGMENT_BYTES:
            segments.append(b"[" + b",".join(parts) + b"]")
            parts, size = [], 0
        parts.append(part)
        size += len(part) + 1
    segments.append(b"[" + b",".join(parts) + b"]")
    return Snapshot(revision_value, segments)


def restore(snapshot: Snapshot) -> state.Configuration:
    """Return the configuration of a snapshot.

    Raises
    ------
    UnusableRevisionError
        If it can't be decoded or is not what its revision states.
    """
    revision = revisions.decode(snapshot.revision_value)
    items: list[objects.Object] = []
    try:
        for segment in snapshot.segments:
            items += msgspec.json.decode(segment, type=list[objects.Object])
    except msgspec.DecodeError as error:
        raise errors.UnusableRevisionError(f"snapshot {revision.revision}: {error}") from error
    digest = revisions.digest(snapshot.revision_value)
    configuration = state.Configuration().with_changes(revision.revision, digest, items, [])
    if f"{configuration.content:064x}" != revision.content:
        raise errors.UnusableRevisionError(
            f"snapshot {revision.revision} does not give the content its revision states"
        )
    return dataclasses.replace(configuration, roster=revision.roster)


def decode_pointer(value: bytes) -> Pointer | None:
    """Return the pointer in a stored value, None if it is not one."""
    try:
        return msgspec.json.decode(value, type=Pointer)
    except msgspec.DecodeError:
        return None


def is_due(revision: int, pointer: Pointer | None) -> bool:
    """Tell whether a snapshot is due at `revision`.

    Examples
    --------
    >>> is_due(INTERVAL_REVISIONS - 1, None), is_due(INTERVAL_REVISIONS, None)
    (False, True)
    """
    return revision - (pointer.revision if pointer else 0) >= INTERVAL_REVISIONS
