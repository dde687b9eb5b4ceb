"""Decides whether this VM's copies of the store are recent enough to decide about requests."""

from __future__ import annotations

import typing

from hollyring.core import request_types
from hollyring.node import clock, metrics, state


class CopyChecker(typing.Protocol):
    """Shows that this VM's copies of the store are recent enough to decide about requests."""

    async def wait_current(self, until: float) -> bool:
        """Wait for that, at most until time `until`; return whether requests may be decided."""

    async def wait_versions(self, until: float, taken_up_at: float) -> None:
        """Wait until the software versions are known that decide about a stream taken up then.

        Not for long if the store does not answer.
        """


class OriginSource(typing.Protocol):
    """Asks other VMs where streams began."""

    async def find_origin(self, request_id: str, until: float) -> None:
        """Ask where a stream began, if this VM is not told; wait for it until `until` at most."""


class RecentCopies:
    """Copies of the store that are asked for before each decision about a request.

    Parameters
    ----------
    vm_state
        State with the copies and their ages.
    checker
        Asks the store when the copies are too old.
    counters
        Metrics of this process.
    origins
        Asks other VMs where streams began, None if there are none.
    """

    def __init__(
        self,
        vm_state: state.State,
        checker: CopyChecker,
        counters: metrics.Metrics,
        origins: OriginSource | None = None,
    ) -> None:
        self._state = vm_state
        self._checker = checker
        self._origins = origins
        self._metrics = counters

    async def may_decide(self, until: float) -> bool:
        """Return whether this VM may decide requests, once its copies of the store are recent.

        Parameters
        ----------
        until
            Monotonic seconds until which to wait for that.
        """
        if self._state.deployment is None:
            return False
        if not self._state.freshness.may_use(clock.now()):
            self._metrics.increment("waits_for_store")
            if not await self._checker.wait_current(until):
                return False
        self._state.freshness.record_use(clock.now())
        return True

    async def await_versions(
        self, request: request_types.Request, until: float, arrived_at: float
    ) -> None:
        """Wait for what decides at which software version a caller's stream goes on.

        It is decided afterwards whether that has come.
        """
        versions = self._state.stream_versions
        if self._origins is not None and versions.needs_origin(request, clock.now(), arrived_at):
            await self._origins.find_origin(request.resumed_request_id, until)
        if versions.needs_recent(request, clock.now(), arrived_at):
            self._metrics.increment("waits_for_versions")
            await self._checker.wait_versions(until, arrived_at)
