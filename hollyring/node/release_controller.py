"""Decides on releases and writes their states, if this VM is the one that does."""

from __future__ import annotations

import anyio

from hollyring.configuration import mirror, store_revision
from hollyring.node import clock, interfaces, logs, metrics, releases, state
from hollyring.releases import messages, release

TICK_SECONDS = 0.2
IDLE_TICK_SECONDS = 1.0
"""Tick while no release is running."""

SUBSTITUTE_SECONDS = 1.0
"""Time for which a change is due until the next VM writes it in the first one's place."""

MAX_TICK_SECONDS = 1.0
"""Pause of this process after which it looks at what it knows anew before it writes."""

RETRY_SECONDS = 0.4
"""Time after a write that failed until the next one by this VM."""


class ReleaseController:
    """Writes the states of releases.

    The store takes a write only if the state that was judged is still the newest one.

    Parameters
    ----------
    vm_state
        State with the releases and what the VMs have counted of them.
    store
        Store that holds the states.
    codec
        Encodes the states.
    counters
        Metrics of this process.
    """

    def __init__(
        self,
        vm_state: state.State,
        store: interfaces.Store,
        codec: interfaces.StoreCodec,
        counters: metrics.Metrics,
    ) -> None:
        self._state = vm_state
        self._store = store
        self._codec = codec
        self._metrics = counters
        self._decisions: dict[str, release.Release] = {}
        self._due_since: dict[str, float] = {}
        self._written: dict[str, mirror.Item] = {}
        self._write_at = 0.0
        self._looked_at = clock.now()
        self._log = logs.Logger("release")

    async def run(self) -> None:
        """Judge the running releases, and write what is decided, until cancelled."""
        while True:
            active = self._state.releases.active
            for one in active:
                await self._judge(one)
            self._looked_at = clock.now()
            is_busy = any(one.is_running for one in active)
            await anyio.sleep(TICK_SECONDS if is_busy else IDLE_TICK_SECONDS)

    async def _judge(self, active: releases.ActiveRelease) -> None:
        now = clock.now()
        rules = self._state.releases.rules
        if rules is None or now < self._write_at:
            return
        order_id = active.order.order_id
        decision = self._decisions.get(order_id)
        if decision is None:
            decision = self._decisions[order_id] = release.Release(active.order, rules)
        following = self._to_restore(active)
        if following is None and active.is_running:
            observed = self._state.releases.observation(active, now)
            following = decision.step(active.state, observed, now)
            if following is None and active.state is None:
                following = decision.first_state(observed)
        if following is None:
            self._due_since.pop(order_id, None)
            return
        due_since = self._due_since.setdefault(order_id, now)
        was_paused = now - self._looked_at > MAX_TICK_SECONDS
        if not was_paused and self._is_writer(due_since, now):
            await self._write(following)

    def _to_restore(self, active: releases.ActiveRelease) -> messages.ReleaseState | None:
        """Return the end of a release that the store has lost, as it came back from a copy."""
        if active.state is None or not active.state.phase.is_final:
            return None
        item = self._newest_item(self._key(active.state))
        stored = self._codec.decode_release(item) if item is not None else None
        if stored is not None and stored.order_id != active.order.order_id:
            stored = None
        is_lost = stored is None or not stored.phase.is_final
        return active.state if is_lost else None

    def _is_writer(self, due_since: float, now: float) -> bool:
        """Return whether this VM writes: the first that reaches the store, or the next in time."""
        reaches_store = self._state.store_reached_at > self._state.store_failed_at
        if not self._state.ready or not reaches_store:
            return False
        names = [vm.name for vm in self._state.peers.store_checkers(now)]
        name = self._state.vm_info.name
        if name not in names:
            return False
        return now - due_since >= names.index(name) * SUBSTITUTE_SECONDS

    async def _write(self, following: messages.ReleaseState) -> None:
        key = self._key(following)
        item = self._newest_item(key)
        expected = item.revision if item is not None else store_revision.NONE
        value = self._codec.encode_release(following)
        status = self._codec.encode_release_status(following)
        try:
            outcome = await self._store.commit(
                {key: expected}, [interfaces.Put(key, value), status]
            )
        except interfaces.StoreError as error:
            self._write_at = clock.now() + RETRY_SECONDS
            self._log.info("release state not written", service=following.service, why=str(error))
            return
        now = clock.now()
        if not isinstance(outcome, interfaces.Committed):
            # Another VM has written; its state arrives with the copy of the store.
            self._write_at = now + RETRY_SECONDS
            return
        self._written[key] = mirror.Item(key, value, outcome.revision)
        self._metrics.increment(f"releases_{following.phase.value}")
        self._state.releases.apply_state(following, now)

    def _key(self, of: messages.ReleaseState) -> str:
        return self._state.store_keys.releases + of.service

    def _newest_item(self, key: str) -> mirror.Item | None:
        """Return the state in the store as far as this VM knows, which may have written it."""
        item = self._state.mirrors[self._state.store_keys.vms].items.get(key)
        written = self._written.get(key)
        if written is None or (item is not None and item.revision > written.revision):
            return item
        return item if written.revision.era < self._state.store_era.current else written
