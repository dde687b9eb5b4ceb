"""Background tasks of a VM process: an error that one of them does not expect ends neither the
process, and with it the requests of its callers, nor the task for good.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from hollyring.node import logs, metrics

RESTART_SECONDS = 1.0
"""Time after an unexpected error until the task runs again."""


class Supervisor:
    """Runs background tasks.

    Parameters
    ----------
    counters
        Metrics of this process, in which unexpected errors are counted.
    """

    __slots__ = ("_metrics", "_log")

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self._log = logs.Logger("vm")

    async def keep_running(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task until it returns, and again after an unexpected error."""
        while not await self.run_once(task):
            await anyio.sleep(RESTART_SECONDS)

    async def run_once(self, task: Callable[[], Awaitable[None]]) -> bool:
        """Run a task and return whether it ended without an unexpected error."""
        try:
            await task()
        except Exception:
            self._metrics.increment("internal_errors")
            self._log.exception("background task failed", task=task.__qualname__)
            return False
        return True
