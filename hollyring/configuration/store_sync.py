"""Synchronisation of a replica with the store: load, watch, verify, restore lost revisions."""

from __future__ import annotations

import dataclasses
import typing

from hollyring.configuration import loader, messages, replica, revisions, seeded_random, store

WATCH_TIMEOUT_SECONDS = 5.0
"""Timeout of one watch.

It is below `replica.SILENCE_TIMEOUT_SECONDS`, so that a store without changes answers
before the VM counts as silent.
"""

VERIFY_INTERVAL_SECONDS = 30.0
"""Interval at which the store is checked to have the current revision."""

MAX_RETRY_DELAY_SECONDS = 1.0
"""Maximum delay after a failed call; the delay is random between half of it and all of it."""

BLOCKED_DELAY_SECONDS = 5.0
"""Delay before the next call when the store's revision is unusable or cannot be restored."""

PEER_WAIT_SECONDS = 1.5
"""Time that a starting VM waits for its peers before it loads from the store."""

MAX_RESTORE_JITTER_SECONDS = 2.0
"""Maximum random delay before restoring lost revisions, so that not all VMs do so at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class _TimedAnswer:
    answer: store.Answer
    now: float


_Steps = typing.Generator[store.Call, _TimedAnswer, None]


class StoreSync:
    """State machine that makes one store call at a time and passes the answers to a `Replica`.

    Parameters
    ----------
    target
        Replica of this VM.
    seed
        Random integer, different on each VM, that spreads the VMs' calls over time.
    now
        Current time in seconds of a monotonic clock.

    Notes
    -----
    If the store was restored from an older state, the revisions it lost are written back
    unchanged under their own keys, and only if the keys are absent. Restoring is thus idempotent,
    and any VM may do it.
    """

    __slots__ = (
        "_replica",
        "_random",
        "_now",
        "_called_at",
        "_verified_at",
        "_sends",
        "_steps",
        "_call",
    )

    def __init__(self, target: replica.Replica, seed: int, now: float) -> None:
        self._replica = target
        self._random = seeded_random.SeededRandom(seed)
        self._now = now
        self._called_at = now
        self._verified_at = now
        self._sends: list[messages.Send] = []
        self._steps = self._run()
        self._call = next(self._steps)

    @property
    def call(self) -> store.Call:
        """Next call to make."""
        return self._call

    def on_answer(self, answer: store.Answer, now: float) -> list[messages.Send]:
        """Process the answer to `call`; return messages to send to peers."""
        self._now = now
        if not isinstance(answer, store.Failed | store.Waited):
            self._replica.on_store_answered(now)
        self._call = self._steps.send(_TimedAnswer(answer, now))
        self._called_at = now
        sends, self._sends = self._sends, []
        return sends

    def _run(self) -> _Steps:
        yield from self._start()
        while True:
            if self._now - self._verified_at >= VERIFY_INTERVAL_SECONDS:
                yield from self._verify()
            yield from self._read_next()

    def _start(self) -> _Steps:
        until = self._now + PEER_WAIT_SECONDS
        while self._replica.revision == 0 and self._now < until:
            yield store.Pause(MAX_RETRY_DELAY_SECONDS / 4)
        loading = loader.Loader()
        while self._replica.revision == 0 and loading.call is not None:
            answered = yield loading.call
            if isinstance(answered.answer, store.Failed):
                yield self._retry_delay()
                continue
            loading.on_answer(answered.answer)
        if loading.result is not None:
            self._replica.on_loaded(loading.result, self._called_at, self._now)

    def _read_next(self) -> _Steps:
        revision = self._replica.revision
        key = revisions.key(revision + 1)
        # While catching up, a read confirms at once that nothing is newer; a watch would wait.
        use_watch = self._replica.caught_up or revision == 0
        answered = yield store.Watch(key, WATCH_TIMEOUT_SECONDS) if use_watch else store.Read(key)
        match answered.answer:
            case store.Found(value):
                self._sends += self._replica.on_value(value, self._now)
                if self._replica.revision <= revision:
                    yield store.Pause(BLOCKED_DELAY_SECONDS)
                    self._verify_next()
            case store.Absent():
                self._replica.on_store_current(revision, self._called_at, self._now)
            case _:
                # The store may have been restored from a backup while it was unreachable.
                self._verify_next()
                yield self._retry_delay()

    def _verify(self) -> _Steps:
        revision, digest = self._replica.revision, self._replica.configuration.digest
        if revision == 0:
            self._verified_at = self._now
            return
        answered = yield store.Read(revisions.key(revision))
        match answered.answer:
            case store.Found(value) if revisions.digest(value) == digest:
                yield from self._verify_predecessor(revision)
            case store.Found():
                self._verified_at = self._now
                self._raise_diverged_alarm(revision)
            case store.Absent():
                yield from self._restore_lost(revision)
            case _:
                yield self._retry_delay()

    def _verify_predecessor(self, revision: int) -> _Steps:
        # The store may have lost the earlier revisions and then accepted a submission in progress.
        if revision > 1:
            answered = yield store.Read(revisions.key(revision - 1))
            if isinstance(answered.answer, store.Absent):
                yield from self._restore_lost(revision - 1)
                return
            if isinstance(answered.answer, store.Failed):
                yield self._retry_delay()
                return
        self._verified_at = self._now
        self._replica.clear_alarm(replica.Alarm.STORE_OLDER)
        self._replica.clear_alarm(replica.Alarm.DIVERGED)

    def _restore_lost(self, newest: int) -> _Steps:
        detail = f"the store lost revision {newest}, which this VM has applied"
        self._replica.raise_alarm(replica.Alarm.STORE_OLDER, detail)
        yield self._restore_jitter()
        present, missing, present_value = 0, newest, b""
        # Revisions are restored oldest first, so a binary search finds the first missing one.
        while missing - present > 1:
            middle = (present + missing) // 2
            answered = yield store.Read(revisions.key(middle))
            match answered.answer:
                case store.Found(value):
                    present, present_value = middle, value
                case store.Absent():
                    missing = middle
                case _:
                    yield self._retry_delay()
        value_to_restore = self._replica.stored_value(missing)
        if value_to_restore is None:
            # Another VM may still have the missing revision in its log.
            yield store.Pause(BLOCKED_DELAY_SECONDS)
            return
        if present_value and revisions.decode(value_to_restore).previous != revisions.digest(
            present_value
        ):
            self._raise_diverged_alarm(present)
            yield store.Pause(BLOCKED_DELAY_SECONDS)
            return
        yield from self._write_back(missing, newest)

    def _write_back(self, first: int, last: int) -> _Steps:
        for revision in range(first, last + 1):
            value = self._replica.stored_value(revision)
            if value is None:
                return
            answered = yield store.Write(revisions.key(revision), value)
            if not isinstance(answered.answer, store.Written | store.Conflict):
                yield self._retry_delay()
                return

    def _raise_diverged_alarm(self, revision: int) -> None:
        detail = f"the store's revision {revision} differs from the one applied"
        self._replica.raise_alarm(replica.Alarm.DIVERGED, detail)

    def _verify_next(self) -> None:
        self._verified_at = self._now - VERIFY_INTERVAL_SECONDS

    def _retry_delay(self) -> store.Pause:
        return store.Pause(MAX_RETRY_DELAY_SECONDS * (0.5 + 0.5 * self._random.uniform()))

    def _restore_jitter(self) -> store.Pause:
        return store.Pause(MAX_RESTORE_JITTER_SECONDS * self._random.uniform())
