"""Following the platform's service from a VM: start, watch, verify, give back what it lost."""

from __future__ import annotations

import dataclasses
import typing

from hollyring.configuration import loader, messages, replica, revisions, seeded_random, store

WATCH_TIMEOUT_SECONDS = 5.0
"""Longest wait of one watch; under `in_force.SILENCE_SECONDS`, so that the store is heard."""

VERIFY_INTERVAL_SECONDS = 30.0
"""Period at which the store is asked for the revision in force."""

MAX_RETRY_DELAY_SECONDS = 1.0
"""Longest pause after a failed call; the pause is drawn between half of it and the whole."""

BLOCKED_DELAY_SECONDS = 5.0
"""Pause while the store holds a revision that can't be put in force."""

PEER_WAIT_SECONDS = 1.5
"""A starting VM leaves this long to its peers present_value it reads the whole from the store."""

MAX_RESTORE_JITTER_SECONDS = 2.0
"""Over this long the VMs spread their attempts to give lost revisions back to the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class _TimedAnswer:
    answer: store.Answer
    now: float


_Steps = typing.Generator[store.Call, _TimedAnswer, None]


class StoreSync:
    """Asks for one call on the store at a time and feeds the answers to `InForce`.

    Parameters
    ----------
    target
        What is in force on this VM.
    seed
        Random integer, another one on each VM, that spreads the VMs' calls over time.
    now
        Present time.

    Notes
    -----
    Revisions of a store that comes back older than it was are written back under their own keys,
    verbatim and only if absent, so that any VM may do it and the first one settles it.
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
        """The call to make next."""
        return self._call

    def on_answer(self, answer: store.Answer, now: float) -> list[messages.Send]:
        """Take the answer to `call` and return what to tell peers."""
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
        # A watch would wait where a plain read answers at once that nothing is newer.
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
                # What the store has may have changed while it was away.
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
                self._raise_diverged(revision)
            case store.Absent():
                yield from self._restore_lost(revision)
            case _:
                yield self._retry_delay()

    def _verify_predecessor(self, revision: int) -> _Steps:
        # A submission under way may have gone to a store that lost the revisions present_value it.
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
        detail = f"the store has no revision {newest}, which is in force"
        self._replica.raise_alarm(replica.Alarm.STORE_OLDER, detail)
        yield self._restore_jitter()
        present, missing, present_value = 0, newest, b""
        # What is given back grows from the oldest, so that a search finds where to go on.
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
            # Another VM may hold what is missing.
            yield store.Pause(BLOCKED_DELAY_SECONDS)
            return
        if present_value and revisions.decode(value_to_restore).previous != revisions.digest(
            present_value
        ):
            self._raise_diverged(present)
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

    def _raise_diverged(self, revision: int) -> None:
        detail = f"the store has another revision {revision} than the one in force"
        self._replica.raise_alarm(replica.Alarm.DIVERGED, detail)

    def _verify_next(self) -> None:
        self._verified_at = self._now - VERIFY_INTERVAL_SECONDS

    def _retry_delay(self) -> store.Pause:
        return store.Pause(MAX_RETRY_DELAY_SECONDS * (0.5 + 0.5 * self._random.uniform()))

    def _restore_jitter(self) -> store.Pause:
        return store.Pause(MAX_RESTORE_JITTER_SECONDS * self._random.uniform())
