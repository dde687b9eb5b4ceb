"""Where streams began, as VMs that follow tell it to serving ones and ask them for it.

VMs that exchange heartbeats tell each other in these. One that follows gets none; it tells a
serving VM where streams began at it, which tells the others, and asks one where a stream began that
a caller takes up. It tells nothing as long as one version serves and the store answers.
"""

from __future__ import annotations

import typing
from collections.abc import Iterable, Mapping

from hollyring.delivery import stream_origins
from hollyring.membership import heartbeat

if typing.TYPE_CHECKING:
    from hollyring.node import state

MAX_TOLD = 512
"""Most streams in one message, under 20 KB."""

WANTED_SECONDS = 1.5
"""Time for which a status counts that asks for all origins; longer than until the next one."""


class ToldOrigins:
    """Origins of streams in the statuses of this VM and in its requests for them.

    Parameters
    ----------
    vm_state
        State with the origins and the other VMs.
    """

    __slots__ = ("_state", "_wanted_at")

    def __init__(self, vm_state: state.State) -> None:
        self._state = vm_state
        self._wanted_at = -float("inf")

    def take(self, now: float) -> list[heartbeat.StreamOrigins]:
        """Return the streams to tell a serving VM; they count as told unless put back."""
        if self._state.peers.is_exchanging:
            return []
        services = self._services(now)
        return to_messages(self._state.stream_origins.take_unreported(services, now, MAX_TOLD))

    def may_tell(self, now: float) -> bool:
        """Return whether streams that begin at this VM now are to be told at once."""
        return not self._state.peers.is_exchanging and bool(self._services(now))

    def _services(self, now: float) -> set[str]:
        """Return the services whose streams are told."""
        is_unanswered = self._state.store_failed_at > self._state.store_reached_at
        is_wanted = is_unanswered or now - self._wanted_at < WANTED_SECONDS
        return self._state.stream_versions.services_to_tell(is_wanted, now)

    def put_back(self, untold: list[heartbeat.StreamOrigins]) -> None:
        """Tell streams again with the next request, as the last one was not answered."""
        for origins in untold:
            self._state.stream_origins.put_back(origins.request_ids)

    def receive(self, status: heartbeat.FleetStatus, now: float) -> None:
        """Record what a serving VM says of the streams that it was asked for."""
        if status.wants_origins:
            self._wanted_at = now
        for origins in status.stream_origins:
            origin = stream_origins.Origin(origins.service, origins.software)
            self._state.stream_origins.record_reported(origins.request_ids, origin, now)

    def answer(self, request: heartbeat.StatusRequest, now: float) -> list[heartbeat.StreamOrigins]:
        """Record what a VM that follows tells, as if it began here; return what it asks for."""
        for origins in request.begun:
            origin = stream_origins.Origin(origins.service, origins.software)
            for request_id in origins.request_ids[:MAX_TOLD]:
                self._state.stream_origins.record(request_id, origin, now)
        return to_messages(self._state.stream_origins.known(request.sought[:MAX_TOLD], now))


def to_messages(
    origins: Mapping[stream_origins.Origin, Iterable[str]],
) -> list[heartbeat.StreamOrigins]:
    """Return origins as they are sent to other VMs."""
    return [
        heartbeat.StreamOrigins(origin.service, origin.software, list(request_ids))
        for origin, request_ids in origins.items()
    ]
