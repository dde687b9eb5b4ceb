"""Loading the configuration from the store: latest snapshot, then the revisions after it."""

from __future__ import annotations

import dataclasses
import typing

from hollyring.configuration import errors, revision_log, revisions, snapshots, state, store

SNAPSHOT_ATTEMPTS = 3
"""Number of attempts to load a snapshot; after them all revisions are read, from revision 1."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadResult:
    """Result of loading the configuration.

    Parameters
    ----------
    configuration
        Configuration at the latest revision that could be applied.
    log
        Stored values of the revisions that were read.
    pointer
        Stored pointer to the latest snapshot, or None if it is absent.
    error
        Reason why the next stored revision cannot be applied; empty if there is no next one.
    """

    configuration: state.Configuration
    log: revision_log.RevisionLog
    pointer: store.Found | None
    error: str = ""


class Loader(store.CallSequence):
    """State machine that loads the configuration, one store call at a time.

    It reads the pointer, the snapshot's revision, each segment, and each revision after the
    snapshot, with one call each. There are at most `snapshots.INTERVAL_REVISIONS` revisions after
    the snapshot, unless a submitter stopped after its change and before its snapshot. If the
    snapshot is unusable, all revisions are read from the first.
    """

    __slots__ = ("_calls", "_result")

    def __init__(self) -> None:
        self._calls = 0
        self._result: LoadResult | None = None
        super().__init__()

    @property
    def result(self) -> LoadResult | None:
        """Result of loading, or None while calls are left."""
        return self._result if self._call is None else None

    @property
    def answered_count(self) -> int:
        """Number of calls answered so far, not counting `Failed`."""
        return self._calls

    def on_answer(self, answer: store.Answer) -> None:
        """Process the answer to `call`; after `Failed`, `call` stays the same for a retry."""
        if isinstance(answer, store.Failed):
            return
        self._calls += 1
        super().on_answer(answer)

    def _run(self) -> typing.Generator[store.Call, store.Answer, None]:
        self._result = yield from self._load()
        if self._result.error:
            # Load again: the store may have been restored from a backup or replaced meanwhile.
            self._result = yield from self._load()

    def _load(self) -> typing.Generator[store.Call, store.Answer, LoadResult]:
        configuration, log = state.Configuration(), revision_log.RevisionLog()
        pointer: store.Found | None = None
        failure = ""
        # Retry, because a snapshot may be replaced and deleted while it is being read.
        for _ in range(SNAPSHOT_ATTEMPTS):
            answer = yield store.Read(snapshots.POINTER_KEY)
            pointer = answer if isinstance(answer, store.Found) else None
            if pointer is None:
                break
            snapshot = yield from self._read_snapshot(pointer)
            if snapshot is not None:
                configuration, revision_value = snapshot
                log.reset(configuration.revision, revision_value)
                break
        while True:
            answer = yield store.Read(revisions.key(configuration.revision + 1))
            if not isinstance(answer, store.Found):
                break
            try:
                configuration = revisions.apply(configuration, answer.value)
            except errors.ConfigurationError as error:
                failure = str(error)
                break
            log.append(answer.value)
        return LoadResult(configuration, log, pointer, failure)

    def _read_snapshot(
        self, stored_pointer: store.Found
    ) -> typing.Generator[store.Call, store.Answer, tuple[state.Configuration, bytes] | None]:
        pointer = snapshots.decode_pointer(stored_pointer.value)
        if pointer is None:
            return None
        stored_revision = yield store.Read(revisions.key(pointer.revision))
        if not isinstance(stored_revision, store.Found):
            return None
        segments = []
        for index in range(pointer.segments):
            answer = yield store.Read(snapshots.key(pointer.revision, index))
            if not isinstance(answer, store.Found):
                return None
            segments.append(answer.value)
        try:
            snapshot = snapshots.Snapshot(stored_revision.value, segments)
            return snapshots.restore(snapshot), stored_revision.value
        except errors.UnusableRevisionError:
            return None
