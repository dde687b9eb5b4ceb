"""Follows what holders of prompts take up and drop, one VM for each holder, and tells the others.

Every VM reads a holder's recent events once, so that a VM that started knows at once where prompts
are; after that only the VM that ranks first for the holder follows it.
"""

from __future__ import annotations

import collections

import anyio
import anyio.abc

from hollyring.core import rendezvous
from hollyring.membership import heartbeat
from hollyring.node import clock, connection_pool, http_connection, interfaces, logs, state

WAIT_SECONDS = 1.0
GATHER_SECONDS = 0.1
"""Pause after events, so that several come in one answer."""

CALL_SECONDS = 2.0
RETRY_SECONDS = 0.5
TICK_SECONDS = 0.25
MAX_CHANGES = 400
"""Most changes told to the other VMs at once; older ones of a long list are left out."""

HTTP_OK = 200


class CacheWatcher:
    """Follows holders.

    Parameters
    ----------
    beliefs
        Whose holdings are corrected.
    codec
        Encodes questions and decodes events.
    connections
        Connections to holders.
    """

    def __init__(
        self,
        beliefs: state.State,
        codec: interfaces.UpstreamCodec,
        connections: connection_pool.ConnectionPool,
    ) -> None:
        self._state = beliefs
        self._codec = codec
        self._links = connections
        self._epochs: dict[str, int] = {}
        self._after: dict[str, int] = {}
        self._followed: dict[str, anyio.CancelScope] = {}
        self._log = logs.Logger("caches")

    async def run(self) -> None:
        """Follow this VM's holders until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._tick(group)
                await anyio.sleep(TICK_SECONDS)

    def _tick(self, group: anyio.abc.TaskGroup) -> None:
        holders = self._state.cache_holders()
        for holder in [holder for holder in self._followed if holder not in holders]:
            self._followed.pop(holder).cancel()
            self._epochs.pop(holder, None)
            self._after.pop(holder, None)
        for holder, address in holders.items():
            if holder in self._followed:
                continue
            if holder in self._epochs and not self._is_mine(holder):
                continue
            scope = self._followed[holder] = anyio.CancelScope()
            group.start_soon(self._follow, holder, address, scope)

    def _is_mine(self, holder: str) -> bool:
        beliefs = self._state
        if not beliefs.ready:
            return False
        names = [beliefs.vm_info.name]
        names += [p.vm.name for p in beliefs.peers.alive(clock.now()) if p.ready]
        return rendezvous.rank(holder.encode(), names)[0] == beliefs.vm_info.name

    async def _follow(self, holder: str, address: str, scope: anyio.CancelScope) -> None:
        """Read a holder's events for as long as that is this VM's work."""
        with scope:
            while True:
                first = holder not in self._epochs
                try:
                    await self._read(holder, address, first)
                except http_connection.HttpConnectionError as error:
                    self._log.info("no events", holder=holder, why=str(error))
                    self._tell(heartbeat.CacheReport(holder, False, False, []))
                    await anyio.sleep(RETRY_SECONDS)
                    if not self._is_mine(holder):
                        self._epochs.setdefault(holder, 0)
                        break
                    continue
                if not self._is_mine(holder):
                    break
                await anyio.sleep(GATHER_SECONDS)
        self._followed.pop(holder, None)

    async def _read(self, holder: str, address: str, first: bool) -> None:
        after = self._after.get(holder, 0)
        request = self._codec.encode_events_request(address, after, WAIT_SECONDS)
        found = await self._ask(address, request)
        reset = not first and found.epoch != self._epochs[holder]
        if reset:
            self._log.info("holder started again", holder=holder, epoch=found.epoch)
        self._epochs[holder] = found.epoch
        self._after[holder] = found.resume_after
        changes = _latest(found.changes)
        if first:
            self._state.apply_cache_report(
                heartbeat.CacheReport(holder, True, reset, changes), clock.now()
            )
        elif changes or reset:
            self._tell(heartbeat.CacheReport(holder, True, reset, changes[-MAX_CHANGES:]))

    def _tell(self, news: heartbeat.CacheReport) -> None:
        """Take news in here, and have the other VMs told."""
        self._state.apply_cache_report(news, clock.now())
        self._state.cache_reports.append(news)

    async def _ask(self, address: str, request: bytes) -> interfaces.CacheEvents:
        answer = await self._links.call(address, request, CALL_SECONDS)
        found = self._codec.decode_events(answer.body) if answer.status == HTTP_OK else None
        if found is None:
            raise http_connection.HttpConnectionError(f"status {answer.status}, unreadable events")
        return found


def _latest(changes: list[heartbeat.CachedPart]) -> list[heartbeat.CachedPart]:
    """Return the last change of each part, in the order of these."""
    latest: collections.OrderedDict[tuple[str, str], heartbeat.CachedPart] = (
        collections.OrderedDict()
    )
    for change in changes:
        key = (change.salt, change.part)
        latest.pop(key, None)
        latest[key] = change
    return list(latest.values())
