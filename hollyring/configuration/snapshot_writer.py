"""Storing a snapshot after a change, so that starting VMs need not read every delta."""

from __future__ import annotations

import typing

import msgspec

from hollyring.configuration import snapshots, state, store


class SnapshotWriter:
    """Stores a snapshot, moves the pointer to it and deletes the snapshot before the last.

    It may stop at any step: the pointer moves only once all segments are stored, and the next
    submitter finds a snapshot due again.

    Parameters
    ----------
    configuration, revision_value
        What to store, and its revision's stored value.
    pointer
        The pointer as it was read, None if it was absent.
    """

    __slots__ = ("_snapshot", "_revision", "_stored_pointer", "_done", "_steps", "_call")

    def __init__(
        self, configuration: state.Configuration, revision_value: bytes, pointer: store.Found | None
    ) -> None:
        self._snapshot = snapshots.create(configuration, revision_value)
        self._revision = configuration.revision
        self._stored_pointer = pointer
        self._done = False
        self._steps = self._run()
        self._call: store.Call | None = next(self._steps)

    @property
    def call(self) -> store.Call | None:
        """The call to make next, None at the end."""
        return self._call

    @property
    def done(self) -> bool:
        """Whether the pointer was moved."""
        return self._done

    def on_answer(self, answer: store.Answer) -> None:
        """Take the answer to `call`; after `Failed` the rest is left to a later submitter."""
        try:
            self._call = self._steps.send(answer)
        except StopIteration:
            self._call = None

    def _run(self) -> typing.Generator[store.Call, store.Answer, None]:
        previous = (
            snapshots.decode_pointer(self._stored_pointer.value) if self._stored_pointer else None
        )
        for index, body in enumerate(self._snapshot.segments):
            # A conflict means that another submitter stored the same segment.
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
