"""Asks the store for changes when this VM cannot show otherwise that its copies are recent."""

from __future__ import annotations

import random

import anyio

from hollyring.configuration import store_revision
from hollyring.node import clock, interfaces, logs, state, store_watcher

TIMEOUT_SECONDS = 1.2
WATCHER_TIMEOUT_SECONDS = 0.6
"""Time for an answer; the shorter one at a VM on which others rely, which another one replaces."""

RETRY_SECONDS = 0.3
"""Mean time after a question without an answer until the next one."""

UNLISTED_RETRY_SECONDS = 0.05
"""Time between two checks whether the first lists of a starting VM have arrived."""

WAIT_SECONDS = 0.4
"""Time for which a request waits for the answer of a store that may be away."""

LATE_TIMER_SECONDS = 0.05
"""Delay of a timer from which the event loop was late and may not have read the answer yet."""

ALL_PREFIXES = ""


class StoreChecker:
    """Keeps `State.freshness` within its bound, whatever the other VMs send.

    Parameters
    ----------
    store
        Store to ask.
    vm_state
        State whose mirrors are updated.
    watcher
        Lists prefixes whose changes the store no longer names.
    """

    def __init__(
        self,
        store: interfaces.Store,
        vm_state: state.State,
        watcher: store_watcher.StoreWatcher,
    ) -> None:
        self._store = store
        self._state = vm_state
        self._watcher = watcher
        self._checked = anyio.Event()
        self._wanted = anyio.Event()
        self._lock = anyio.Lock()
        self._rng = random.Random(str(vm_state.vm_info.life))
        self._log = logs.Logger("store")
        watcher.set_store_check(self.check_now)

    async def check_now(self) -> None:
        """Ask the store for all changes since the copies were complete."""
        async with self._lock:
            await self._check()

    async def run(self) -> None:
        """Ask the store whenever that is due, until cancelled."""
        while True:
            if not self._is_listed:
                await anyio.sleep(UNLISTED_RETRY_SECONDS)
                continue
            seconds = self._seconds_until_due()
            if seconds > 0:
                with anyio.move_on_after(seconds):
                    await self._wanted.wait()
                if not self._wanted.is_set():
                    continue
            self._wanted = anyio.Event()
            await self.check_now()
            if self._state.freshness.store_unanswered:
                await anyio.sleep(RETRY_SECONDS * (0.5 + self._rng.random()))

    async def wait_current(self, until: float) -> bool:
        """Wait until requests may be decided by what this VM knows.

        Returns
        -------
        bool
            False if they may not, after the store did not answer or at time `until`.
        """
        freshness = self._state.freshness
        while not freshness.may_use(clock.now()):
            now = clock.now()
            if now >= until or freshness.is_store_away(now):
                return False
            due = min(until, now + WAIT_SECONDS)
            with anyio.move_on_after(due - now) as timer:
                await self._checked.wait()
            if timer.cancelled_caught and clock.now() < due + LATE_TIMER_SECONDS:
                return freshness.may_use_without_store(clock.now())
        return True

    async def wait_versions(self, until: float, taken_up_at: float) -> None:
        """Ask the store unless what is known of software versions is recent enough.

        It is not awaited for longer than `WAIT_SECONDS`, nor while it is known not to answer.

        Parameters
        ----------
        until
            Time until which to wait at most.
        taken_up_at
            Time at which the stream was taken up that is to be decided about.
        """
        versions, freshness = self._state.stream_versions, self._state.freshness
        with anyio.move_on_after(min(WAIT_SECONDS, until - clock.now())):
            while not versions.is_recent(clock.now(), taken_up_at):
                if freshness.store_unanswered and freshness.is_store_away(clock.now()):
                    return
                self._wanted.set()
                await self._checked.wait()

    def _seconds_until_due(self) -> float:
        now = clock.now()
        watches = self._state.peers.should_check_store(now)
        due_at = self._state.freshness.check_due_at(watches)
        if watches or due_at <= now:
            return due_at - now
        # This VM may be asked to watch before that.
        return min(due_at - now, self._state.freshness.rules.bound_seconds / 4)

    @property
    def _is_listed(self) -> bool:
        return all(self._mirror_revision(prefix).number for prefix in self._prefixes)

    @property
    def _prefixes(self) -> list[str]:
        return self._state.freshness.prefixes

    def _mirror_revision(self, prefix: str) -> store_revision.Revision:
        return self._state.mirrors[prefix].revision

    async def _check(self) -> None:
        freshness = self._state.freshness
        asked_at = clock.now()
        age = freshness.age(asked_at)
        watches = self._state.peers.should_check_store(asked_at)
        seconds = WATCHER_TIMEOUT_SECONDS if watches else TIMEOUT_SECONDS
        try:
            with anyio.fail_after(seconds):
                complete = await self._fetch()
        except (interfaces.StoreError, TimeoutError) as error:
            self._watcher.record_failure(str(error) or "no answer in time")
            if clock.now() < asked_at + seconds + LATE_TIMER_SECONDS:
                freshness.record_unanswered(clock.now())
        else:
            self._watcher.record_success()
            freshness.record_answered()
            for prefix in complete:
                freshness.record(prefix, asked_at)
        if age > freshness.rules.bound_seconds:
            self._log.info(
                "asked the store as copies were old",
                age=round(age, 3),
                seconds=round(clock.now() - asked_at, 3),
                answered=not freshness.store_unanswered,
            )
        self._checked.set()
        self._checked = anyio.Event()

    async def _fetch(self) -> list[str]:
        """Fetch the changes since the copies were complete.

        Returns
        -------
        list[str]
            Prefixes of which the store named all changes; others may have been listed, at their own
            times.
        """
        after = min(self._mirror_revision(prefix) for prefix in self._prefixes)
        if after.era < self._state.store_era.current:
            await self._list(self._prefixes, after)
            return []
        after = min([after, *map(self._mirror_revision, self._others_listed(after.era))])
        try:
            update = await self._store.watch(ALL_PREFIXES, after, 0.0)
        except interfaces.HistoryCompactedError:
            await self._list([*self._prefixes, *self._others_listed(after.era)], after)
            return []
        complete = []
        for prefix, local_mirror in self._state.mirrors.items():
            if local_mirror.revision < after:
                continue
            changes = [change for change in update.changes if change.key.startswith(prefix)]
            changed = local_mirror.apply_changes(changes, update.revision)
            self._watcher.report_changes(prefix, changed)
            if local_mirror.era == update.revision.era:
                complete.append(prefix)
        return complete

    def _others_listed(self, era: int) -> list[str]:
        """Return the prefixes that bound nothing and have been listed in an era of the store."""
        return [
            prefix
            for prefix, held in self._state.mirrors.items()
            if prefix not in self._prefixes and held.revision.number and held.revision.era >= era
        ]

    async def _list(self, prefixes: list[str], after: store_revision.Revision) -> None:
        for prefix in prefixes:
            if self._mirror_revision(prefix) <= after:
                await self._watcher.list_again(prefix)
