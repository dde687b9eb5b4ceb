"""Asks the store for changes when this VM cannot show otherwise that its copies are recent."""

from __future__ import annotations

import math
import random

import anyio

from hollyring.configuration import freshness, store_revision
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

RECHECK_SECONDS = 0.05
"""Time after which a waiting request looks whether another VM has brought the copies up to date."""

MIN_PENDING_SECONDS = 0.2
"""Time without an answer from which a pending question is a sign that the store is away."""

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
        self._store_back = anyio.Event()
        self._lock = anyio.Lock()
        self._asked_at = math.inf
        self._last_asked_at = -math.inf
        self._answered = True
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
            if not self._answered:
                with anyio.move_on_after(RETRY_SECONDS * (0.5 + self._rng.random())):
                    await self._store_back.wait()

    async def wait_current(self, until: float) -> bool:
        """Wait until requests may be decided by what this VM knows.

        Returns
        -------
        bool
            False if they may not, after the store did not answer or at time `until`.
        """
        copies = self._state.freshness
        due = min(until, clock.now() + WAIT_SECONDS)
        while not copies.may_use(now := clock.now()):
            if self._last_asked_at < copies.others_current_since:
                self._store_back.set()
            if now >= until or copies.stays_behind(now, WAIT_SECONDS):
                return False
            if now >= due:
                return self._is_unanswered(now) and copies.may_use_without_store(now)
            look_at = min(due, now + RECHECK_SECONDS)
            with anyio.move_on_after(look_at - now):
                await self._checked.wait()
            if clock.now() > look_at + LATE_TIMER_SECONDS:
                # What lies unread may be the answer.
                due = min(until, clock.now() + WAIT_SECONDS)
        return True

    def _is_unanswered(self, now: float) -> bool:
        """Return whether the store was asked and has not answered."""
        is_pending = now - self._asked_at >= MIN_PENDING_SECONDS
        return is_pending or self._state.freshness.is_store_silent(now)

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
        versions, copies = self._state.stream_versions, self._state.freshness
        with anyio.move_on_after(min(WAIT_SECONDS, until - clock.now())):
            while not versions.is_recent(clock.now(), taken_up_at):
                if copies.is_store_silent(clock.now()):
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
        copies = self._state.freshness
        asked_at = clock.now()
        age, others_age = copies.age(asked_at), copies.others_age(asked_at)
        self._asked_at = self._last_asked_at = asked_at
        self._store_back = anyio.Event()
        self._answered = await self._ask(asked_at)
        self._asked_at = math.inf
        if age > copies.rules.bound_seconds:
            self._log.info(
                "asked the store as copies were old",
                age=freshness.stated(age),
                others_age=freshness.stated(others_age),
                seconds=round(clock.now() - asked_at, 3),
                answered=self._answered,
            )
        self._checked.set()
        self._checked = anyio.Event()

    async def _ask(self, asked_at: float) -> bool:
        """Ask the store for changes; return whether it named them."""
        copies = self._state.freshness
        watches = self._state.peers.should_check_store(asked_at)
        seconds = WATCHER_TIMEOUT_SECONDS if watches else TIMEOUT_SECONDS
        try:
            with anyio.fail_after(seconds):
                complete = await self._fetch()
        except interfaces.StoreNotAskedError as error:
            self._watcher.record_failure(str(error))
            return False
        except interfaces.StoreRefusedError as error:
            self._watcher.record_failure(str(error))
            copies.record_answered()
            return False
        except (interfaces.StoreError, TimeoutError) as error:
            self._watcher.record_failure(str(error) or "no answer in time")
            if clock.now() < asked_at + seconds + LATE_TIMER_SECONDS:
                copies.record_unanswered(clock.now())
            return False
        self._watcher.record_success()
        copies.record_answered()
        for prefix in complete:
            copies.record(prefix, asked_at)
        return True

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
