"""Asks serving VMs for the status of the fleet and of the store, unless this VM asks the store."""

from __future__ import annotations

import random

import anyio

from hollyring.membership import heartbeat
from hollyring.node import clock, logs, peers, state, store_watcher

POLL_SECONDS = 0.6
SERVING_POLL_SECONDS = 0.4
"""Mean time between two polls of a VM that follows, and of one that serves."""

TIMEOUT_SECONDS = 0.5
PATIENT_TIMEOUT_SECONDS = 1.2
"""Time for an answer; the longer one while the copies of this VM are old."""

SPONSORS = 2
"""Serving VMs that are asked by turns."""

MAX_TRIES = 4
"""Most VMs that are asked in one poll."""

FAILURE_BACKOFF_SECONDS = 2.0
"""Time for which a VM that did not answer, or that does not serve, is not asked."""

TELL_SECONDS = 0.15
"""Shortest time between two polls, of which the second tells where streams began."""

FIND_SECONDS = 0.3
"""Longest wait of a request for the answer where its stream began."""


class StatusClient:
    """Client of the serving VMs.

    Parameters
    ----------
    vm_state
        State that the answers update.
    peer_connections
        Connections to the other VMs.
    watcher
        Told when an answer may name newer revisions of the store.
    """

    def __init__(
        self,
        vm_state: state.State,
        peer_connections: peers.PeerConnections,
        watcher: store_watcher.StoreWatcher,
    ) -> None:
        self._state = vm_state
        self._peers = peer_connections
        self._store_watcher = watcher
        self._failed_until: dict[str, float] = {}
        self._turn = 0
        self._untold: list[heartbeat.StreamOrigins] = []
        self._sought: dict[str, None] = {}
        self._lock = anyio.Lock()
        self._rng = random.Random(str(vm_state.vm_info.life))
        self._log = logs.Logger("status")

    async def run(self) -> None:
        """Ask periodically, until cancelled."""
        while True:
            await self._wait_due()
            if self._needs_status(clock.now()):
                async with self._lock:
                    await self._poll()

    async def find_origin(self, request_id: str, until: float) -> None:
        """Ask serving VMs where a stream began, unless they tell this VM anyway.

        Requests that wait for it at the same time share a question.
        """
        if self._state.peers.is_exchanging:
            return
        self._sought[request_id] = None
        try:
            with anyio.move_on_after(min(FIND_SECONDS, until - clock.now())):
                async with self._lock:
                    if request_id in self._sought:
                        await self._find()
        finally:
            self._sought.pop(request_id, None)

    def _needs_status(self, now: float) -> bool:
        """Return whether others may know more of the store, though it answers none of them now."""
        if not self._state.peers.should_check_store(now):
            return True
        is_turned_away = self._state.store_failed_at > self._state.store_reached_at
        return is_turned_away or self._state.freshness.is_behind_others(now)

    async def _wait_due(self) -> None:
        """Wait until the next poll is due, at once if there are streams to tell of."""
        seconds = SERVING_POLL_SECONDS if self._state.peers.is_serving else POLL_SECONDS
        due_at = clock.now() + seconds * (0.75 + 0.5 * self._rng.random())
        while (seconds_left := due_at - clock.now()) > 0:
            may_tell = self._state.told_origins.may_tell(clock.now())
            await anyio.sleep(min(TELL_SECONDS, seconds_left) if may_tell else seconds_left)
            self._take_untold()
            if self._untold:
                return

    def _take_untold(self) -> None:
        """Take the streams to tell of; those that were not told go into heartbeats, if any."""
        told_origins = self._state.told_origins
        if self._untold and self._state.peers.is_exchanging:
            told_origins.put_back(self._untold)
            self._untold = []
        if not self._untold:
            self._untold = told_origins.take(clock.now())

    async def _poll(self) -> None:
        """Ask one of the preferred VMs, and others at once if it has no status."""
        self._turn += 1
        is_patient = self._state.freshness.is_check_due(clock.now())
        for _ in range(1 if is_patient else MAX_TRIES):
            sponsors = self._usable_sponsors()
            if not sponsors:
                return
            turn = self._turn % min(SPONSORS, len(sponsors))
            if await self._ask(sponsors[turn]):
                return

    async def _find(self) -> None:
        """Ask the VMs first whose copies of the store are the most recent ones."""
        checkers = self._state.peers.store_checkers(clock.now())
        for _ in range(MAX_TRIES):
            sponsors = self._usable(checkers) or self._usable_sponsors()
            if not sponsors or await self._ask(sponsors[0]):
                return

    def _usable_sponsors(self) -> list[heartbeat.VmInfo]:
        now = clock.now()
        peers = self._state.peers
        if not peers.is_serving:
            return self._usable(peers.sponsors(now))
        if self._state.freshness.is_behind_others(now):
            recent = peers.with_recent_copies(now)
            return self._usable(recent) or recent
        checkers = peers.store_checkers(now)
        return self._usable([vm for vm in checkers if vm.name != peers.local.name])

    def _usable(self, vms: list[heartbeat.VmInfo]) -> list[heartbeat.VmInfo]:
        now = clock.now()
        return [vm for vm in vms if self._failed_until.get(vm.name, 0.0) <= now]

    async def _ask(self, sponsor: heartbeat.VmInfo) -> bool:
        """Ask one VM; return whether it sent a status."""
        sought, untold = list(self._sought), self._untold
        request = heartbeat.StatusRequest(self._state.vm_info.name, untold, sought)
        asked_at = clock.now()
        is_patient = self._state.freshness.is_check_due(asked_at)
        seconds = PATIENT_TIMEOUT_SECONDS if is_patient else TIMEOUT_SECONDS
        reply = await self._peers.call(sponsor.peer_address, request, seconds)
        if not isinstance(reply, heartbeat.FleetStatus) or not reply.serving:
            self._failed_until[sponsor.name] = clock.now() + FAILURE_BACKOFF_SECONDS
            self._log.info(
                "no status received",
                vm=sponsor.name,
                answered=reply is not None,
                seconds=round(clock.now() - asked_at, 3),
            )
            return False
        self._failed_until.pop(sponsor.name, None)
        if self._untold is untold:
            self._untold = []
        for request_id in sought:
            self._sought.pop(request_id, None)
        self._state.receive_status(sponsor.name, reply, asked_at, clock.now())
        self._store_watcher.notice_revisions()
        return True
