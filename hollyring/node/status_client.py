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
SPONSORS = 2
"""Serving VMs that are asked by turns."""

MAX_TRIES = 4
"""Most VMs that are asked in one poll."""

FAILURE_BACKOFF_SECONDS = 2.0
"""Time for which a VM that did not answer, or that does not serve, is not asked."""


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
        self._rng = random.Random(str(vm_state.vm_info.life))
        self._log = logs.Logger("status")

    async def run(self) -> None:
        """Ask periodically, until cancelled."""
        while True:
            seconds = SERVING_POLL_SECONDS if self._state.peers.is_serving else POLL_SECONDS
            await anyio.sleep(seconds * (0.75 + 0.5 * self._rng.random()))
            if not self._state.peers.should_check_store(clock.now()):
                await self._poll()

    async def _poll(self) -> None:
        """Ask one of the preferred VMs, and others at once if it has no status."""
        self._turn += 1
        for _ in range(MAX_TRIES):
            sponsors = self._usable_sponsors()
            if not sponsors:
                return
            turn = self._turn % min(SPONSORS, len(sponsors))
            if await self._ask(sponsors[turn]):
                return

    def _usable_sponsors(self) -> list[heartbeat.VmInfo]:
        now = clock.now()
        peers = self._state.peers
        sponsors = peers.store_checkers(now) if peers.is_serving else peers.sponsors(now)
        return [vm for vm in sponsors if self._failed_until.get(vm.name, 0.0) <= now]

    async def _ask(self, sponsor: heartbeat.VmInfo) -> bool:
        """Ask one VM; return whether it sent a status."""
        request = heartbeat.StatusRequest(self._state.vm_info.name)
        asked_at = clock.now()
        reply = await self._peers.call(sponsor.peer_address, request, TIMEOUT_SECONDS)
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
        self._state.receive_status(sponsor.name, reply, asked_at, clock.now())
        self._store_watcher.notice_revisions()
        return True
