"""Software versions at which recent streams began, so that they are continued at the same one.

What two software versions of an upstream generate does not fit together. A caller whose stream
broke off may continue it at another VM, so the VMs tell each other where streams began. They do so
only while a service has upstreams of several versions; what began before is told when a second one
appears.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Collection, Iterable

ORIGIN_TTL_SECONDS = 30.0
"""Time for which the origin of a stream is kept; longer than callers wait for an answer."""

MAX_ORIGINS = 50_000
"""Most origins kept by one VM, under 20 MB; the oldest are dropped first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where a stream began.

    Parameters
    ----------
    service
        Name of the service.
    software
        Software version of the upstream that sent the first event.
    """

    service: str
    software: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnySoftware:
    """The stream may be continued at any upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class OnlySoftware:
    """The stream may be continued only at upstreams of one software version."""

    software: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotResumable:
    """No upstream is known to fit the stream."""

    reason: str


Continuation = AnySoftware | OnlySoftware | NotResumable


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    origin: Origin
    recorded_at: float


class StreamOrigins:
    """Origins of recent streams by the ID of the request that received the first event.

    Examples
    --------
    >>> origins = StreamOrigins()
    >>> origins.record("r-1", Origin("chat", "v1"), now=0.0)
    >>> origins.take_unreported({"chat"}, now=1.0)
    {Origin(service='chat', software='v1'): ['r-1']}
    >>> origins.continuation("r-1", "chat", {"v1", "v2"}, now=1.0)
    OnlySoftware(software='v1')
    >>> origins.continuation("r-1", "chat", {"v1", "v2"}, now=40.0)
    NotResumable(reason='unknown origin')
    >>> origins.continuation("r-1", "chat", {"v2"}, now=40.0)
    OnlySoftware(software='v2')
    """

    __slots__ = ("_records", "_own", "_unreported")

    def __init__(self) -> None:
        self._records: collections.OrderedDict[str, _Record] = collections.OrderedDict()
        self._own: collections.OrderedDict[str, _Record] = collections.OrderedDict()
        self._unreported: collections.OrderedDict[str, _Record] = collections.OrderedDict()

    def record(self, request_id: str, origin: Origin, now: float) -> None:
        """Record a stream that began at this VM, to be reported to the others."""
        record = _Record(origin, now)
        for records in (self._records, self._own, self._unreported):
            _append(records, request_id, record)

    def record_reported(self, request_ids: Iterable[str], origin: Origin, now: float) -> None:
        """Record streams that began at another VM."""
        record = _Record(origin, now)
        for request_id in request_ids:
            _append(self._records, request_id, record)

    def continuation(
        self, request_id: str, service: str, recent_software: Collection[str] | None, now: float
    ) -> Continuation:
        """Return where a stream may be continued.

        Parameters
        ----------
        request_id
            ID of the request that received the first event; empty if unknown.
        service
            Service that the stream is to be continued at.
        recent_software
            Software versions that upstreams of the service have had within `ORIGIN_TTL_SECONDS`,
            None if there may have been others than those known. If there was none, one may have
            come since, and another one may follow before an upstream is selected.
        now
            Monotonic seconds.
        """
        record = self._records.get(request_id)
        if record is not None and now - record.recorded_at <= ORIGIN_TTL_SECONDS:
            if record.origin.service != service:
                return NotResumable("began at another service")
            return OnlySoftware(record.origin.software)
        if recent_software is None:
            return NotResumable("unknown origin, earlier software versions not known yet")
        if len(recent_software) > 1:
            return NotResumable("unknown origin")
        if not recent_software:
            return NotResumable("unknown origin, no upstream known")
        (software,) = recent_software
        return OnlySoftware(software)

    def knows(self, request_id: str, now: float) -> bool:
        """Return whether it is known where a stream began."""
        record = self._records.get(request_id)
        return record is not None and now - record.recorded_at <= ORIGIN_TTL_SECONDS

    def known(self, request_ids: Iterable[str], now: float) -> dict[Origin, list[str]]:
        """Return where streams began, of those of which it is known."""
        found: dict[Origin, list[str]] = {}
        for request_id in request_ids:
            if self.knows(request_id, now):
                found.setdefault(self._records[request_id].origin, []).append(request_id)
        return found

    def report_again(self) -> None:
        """Report all streams that began at this VM once more, as another VM has started."""
        self._unreported = self._own.copy()

    def put_back(self, request_ids: Iterable[str]) -> None:
        """Count streams that were taken to be reported as unreported, as that has failed."""
        for request_id in request_ids:
            record = self._own.get(request_id)
            if record is not None:
                _append(self._unreported, request_id, record)

    def take_unreported(
        self, services: Collection[str], now: float, limit: int = MAX_ORIGINS
    ) -> dict[Origin, list[str]]:
        """Return the unreported streams of `services`, which count as reported from now on.

        Parameters
        ----------
        limit
            Most streams to return, the oldest first.
        """
        for records in (self._records, self._own, self._unreported):
            _remove_expired(records, now)
        taken: dict[Origin, list[str]] = {}
        if not services:
            return taken
        due = (
            (request_id, record)
            for request_id, record in list(self._unreported.items())
            if record.origin.service in services
        )
        for request_id, record in itertools.islice(due, limit):
            taken.setdefault(record.origin, []).append(request_id)
            del self._unreported[request_id]
        return taken


def _append(records: collections.OrderedDict[str, _Record], key: str, record: _Record) -> None:
    records.pop(key, None)
    records[key] = record
    if len(records) > MAX_ORIGINS:
        records.popitem(last=False)


def _remove_expired(records: collections.OrderedDict[str, _Record], now: float) -> None:
    while records:
        oldest = next(iter(records.values()))
        if now - oldest.recorded_at <= ORIGIN_TTL_SECONDS:
            return
        records.popitem(last=False)
