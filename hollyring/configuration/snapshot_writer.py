"""Writing snapshots to the store, so that starting VMs need not read every revision."""

from __future__ import annotations

import typing

import msgspec

from hollyring.configuration import snapshots, state, store


class SnapshotWriter(store.CallSequence):
    """State machine that writes a snapshot, updates the pointer, and deletes an old snapshot.

    The new snapshot and the previous one are kept; the one before these is deleted. The writer may
    stop after any step: the pointer is updated only after all segments are stored, and until then
    the next submitter finds that a snapshot is due. It stops after `Failed`; a later submitter
    retries.

    Parameters
    ----------
    configuration, revision_value
        Configuration to store, and the stored value of its revision.
    pointer
        Pointer as last read from the store, or None if it was absent.
    """

    __slots__ = ("_snapshot", "_revision", "_stored_pointer", "_done")

    def __init__(
        self, configuration: state.Configuration, revision_value: bytes, pointer: store.Found | None
    ) -> None:
        self._snapshot = snapshots.create(configuration, revision_value)
        self._revision = configuration.revision
        self._stored_pointer = pointer
        self._done = False
        super().__init__()

    @property
    def done(self) -> bool:
        """Whether the pointer was updated."""
        return self._done

    def _run(self) -> typing.Generator[store.Call, store.Answer, None]:
        previous = (
            snapshots.decode_pointer(self._stored_pointer.value) if self._stored_pointer else None
        )
        for index, body in enumerate(self._snapshot.segments):
            # On a conflict, another submitter has stored the same segment.
            answer = yield store.Write(snapshots.key(self._revision, index), body)
            if not isinstance(answer, store.Written | store.Conflict):
                return
        pointer = snapshots.Pointer(
            self._revision,
            len(self._snapshot.segments),
            previous.revision if previous else 0,
            previous.segments if previous else 0,
        )
        version = self._stored_pointer.version if self._stored_pointer else 0
        value = msgspec.json.encode(pointer)
        answer = yield store.Write(snapshots.POINTER_KEY, value, version)
        if not isinstance(answer, store.Written):
            return
        self._done = True
        if previous is not None:
            for index in range(previous.older_segments):
                yield store.Delete(snapshots.key(previous.older_revision, index))
