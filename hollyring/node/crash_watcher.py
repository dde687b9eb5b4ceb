"""Finds out whether a server that broke off requests has crashed."""

from __future__ import annotations

import anyio

from hollyring.node import connection_pool, crash_reports, state

COLLECT_SECONDS = 0.02
"""Time for the event loop to see all requests that a crash broke off."""


class CrashWatcher:
    """Connects to servers that broke off requests; one that crashed accepts no connection.

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
            accepts = await self._pool.can_connect(broken.address)
        finally:
            self._in_progress.discard(broken.address)
        self._state.crashes.resolve(broken, crashed=not accepts)
