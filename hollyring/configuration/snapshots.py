"""Segmented snapshots of the configuration, and the pointer to the latest one.

A starting VM loads a snapshot instead of all revisions before it, and verifies it against the
stored value of its revision. The pointer may lag behind the latest revision; the revisions after
the snapshot are then loaded one by one.
"""

from __future__ import annotations

import dataclasses

import msgspec

from hollyring.configuration import errors, objects, revisions, state

INTERVAL_REVISIONS = 16
"""A snapshot is due when the latest one is this many revisions old."""

SEGMENT_BYTES = 500_000
"""Size beyond which a further object starts a new segment."""

POINTER_KEY = "config/pointer"


class Pointer(msgspec.Struct, frozen=True):
    """Pointer to the latest snapshot, and to the previous one, which the next writer deletes."""

    revision: int
    segments: int
    older_revision: int = 0
    older_segments: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Serialized configuration.

    Parameters
    ----------
    revision_value
        Stored value of the snapshot's revision, which contains the content hash.
    segments
        JSON arrays of objects.
    """

    revision_value: bytes
    segments: list[bytes]


def key(revision: int, segment: int) -> str:
    """Return the store key of a segment.

    Examples
    --------
    >>> key(64, 0)
    'config/snapshot/64/0'
    """
    return f"config/snapshot/{revision}/{segment}"


def create(configuration: state.Configuration, revision_value: bytes) -> Snapshot:
    """Return a snapshot of `configuration`; `revision_value` is its revision's stored value."""
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
    """Return the configuration that a snapshot contains.

    Raises
    ------
    UnusableRevisionError
        If the snapshot cannot be decoded or its content differs from its revision's.
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
            f"snapshot {revision.revision}: content hash differs from the one in its revision"
        )
    return dataclasses.replace(configuration, roster=revision.roster)


def decode_pointer(value: bytes) -> Pointer | None:
    """Return the pointer in a stored value, or None if it cannot be decoded."""
    try:
        return msgspec.json.decode(value, type=Pointer)
    except msgspec.DecodeError:
        return None


def is_due(revision: int, pointer: Pointer | None) -> bool:
    """Return whether a snapshot is due at `revision`.

    Examples
    --------
    >>> is_due(INTERVAL_REVISIONS - 1, None), is_due(INTERVAL_REVISIONS, None)
    (False, True)
    """
    return revision - (pointer.revision if pointer else 0) >= INTERVAL_REVISIONS
