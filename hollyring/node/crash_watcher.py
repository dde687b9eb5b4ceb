"""Finds out whether a server that broke off requests has crashed."""

from __future__ import annotations

import anyio

from hollyring.node import connection_pool, crash_reports, state

DOUBT_POLL_SECONDS = 0.1
"""Time between two looks whether this VM reaches other upstreams of a service."""

COLLECT_SECONDS = 0.02
"""Time for the event loop to see all requests that a crash broke off."""


class CrashWatcher:
    """Connects to servers that broke off requests; one that crashed accepts no connection.

    Nor does a sound one if this VM is cut off. So nothing is concluded before another upstream of
    the service has taken a connection; one that this VM then reaches has not crashed.

    Parameters
    ----------
    vm_state
        State with the reports of broken requests.
    pool
        Connections to upstreams.
    """

    def __init__(self, vm_state: state.State, pool: connection_pool.ConnectionPool) -> None:
        self._state = vm_state
        self._pool = pool
        self._in_progress: set[str] = set()

    async def run(self) -> None:
        """Check servers until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                for broken in await self._state.crashes.wait_broken():
                    if broken.address not in self._in_progress:
                        self._in_progress.add(broken.address)
                        group.start_soon(self._check, broken)

    async def _check(self, broken: crash_reports.BrokenServer) -> None:
        await anyio.sleep(COLLECT_SECONDS)
        try:
            accepts = await self._accepts(broken)
        finally:
            self._in_progress.discard(broken.address)
        self._state.crashes.resolve(broken, crashed=not accepts)

    async def _accepts(self, broken: crash_reports.BrokenServer) -> bool:
        """Return whether a server accepts a connection, at a time when others of its service do."""
        if await self._pool.can_connect(broken.address):
            return True
        if not self._may_be_cut_off(broken):
            return False
        while self._may_be_cut_off(broken):
            await anyio.sleep(DOUBT_POLL_SECONDS)
        return await self._pool.can_connect(broken.address)

    def _may_be_cut_off(self, broken: crash_reports.BrokenServer) -> bool:
        upstream = self._state.registry.get(broken.server.name)
        if upstream is None:
            return False
        return self._state.reachability.may_be_cut_off(upstream.entry.service)
