"""Polling of load reports and cache events of the upstreams that this VM watches."""

from __future__ import annotations

import collections
import dataclasses
import time
from collections.abc import Callable

import anyio
import anyio.abc
import msgspec

from hollyring.node import connection_pool, exchanges, http_request, logs
from hollyring.routing import errors as routing_errors
from hollyring.routing import events
from hollyring.routing import messages as routing_messages

LOAD_POLL_SECONDS = 0.5
"""Shortest time between two polls for the load of one upstream."""

EVENT_POLL_SECONDS = 0.1
"""Shortest time between two polls for events of one upstream."""

MAX_POLLS_PER_SECOND = 2.0
"""Most polls per second of each kind by one VM, for any number of watched upstreams."""

REQUEST_HEAD_BYTES = 60
"""Assumed size of a poll request without its path and address, for the poll counts."""

STATUS_LINE_BYTES = 17

EVENT_WAIT_SECONDS = 5.0
CALL_TIMEOUT_SECONDS = 3.0
HTTP_OK = 200


class _Load(msgspec.Struct, frozen=True):
    incarnation: int
    models: dict[str, str] = {}
    running: int = 0
    waiting: int = 0
    queued_tokens: int = 0
    prefill_tokens_per_second: float = 0.0
    leaving: bool = False
    at: float = 0.0


class _Event(msgspec.Struct, frozen=True):
    seq: int
    kind: str
    blocks: list[str] = []


class _Events(msgspec.Struct, frozen=True):
    incarnation: int
    events: list[_Event]


class _Snapshot(msgspec.Struct, frozen=True):
    incarnation: int
    seq: int
    blocks: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadObserved:
    """Load report of an upstream, with the models that it serves."""

    upstream: str
    report: routing_messages.LoadReport
    models: dict[str, str]
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EventsObserved:
    """Cache events of an upstream."""

    upstream: str
    batch: events.EventBatch


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotObserved:
    """Snapshot of the whole cache of an upstream."""

    upstream: str
    snapshot: events.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class PollFailed:
    """Poll for the load of an upstream that gave no response, or one with an error status."""

    upstream: str


Observation = LoadObserved | EventsObserved | SnapshotObserved | PollFailed


MAX_REPORT_AGE_SECONDS = 5.0
"""Largest credible age of a report; a larger one results from clocks that differ."""


def _report_age(at: float) -> float:
    """Return the age in seconds of a report, or 0 if the age is not credible.

    Parameters
    ----------
    at
        Time of the report in Unix seconds, by the clock of the upstream.
    """
    age = time.time() - at
    return age if 0.0 <= age <= MAX_REPORT_AGE_SECONDS else 0.0


class UpstreamWatcher:
    """Poller of the load reports and cache events of one upstream.

    Parameters
    ----------
    name, address
        Name and address of the upstream.
    observe
        Called with each observation.
    events_after
        Returns the sequence number after which events are needed.
    watched_count
        Returns the number of upstreams that this VM watches. The more there are, the less often
        each is polled, so that the cost for the VM is bounded.
    counts
        Counter of polls and their bytes.
    connections
        Connection pool for the upstreams.
    """

    __slots__ = (
        "_name",
        "_address",
        "_observe",
        "_events_after",
        "_watched_count",
        "_counts",
        "_connections",
        "_log",
    )

    def __init__(
        self,
        name: str,
        address: str,
        observe: Callable[[Observation], None],
        events_after: Callable[[str], int],
        watched_count: Callable[[], int],
        counts: collections.Counter[str],
        connections: connection_pool.ConnectionPool,
    ) -> None:
        self._name = name
        self._address = http_request.address_of(address)
        self._observe = observe
        self._events_after = events_after
        self._watched_count = watched_count
        self._counts = counts
        self._connections = connections
        self._log = logs.Logger("watch")

    async def run(self) -> None:
        """Poll until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._poll_load)
            group.start_soon(self._poll_events)

    async def snapshot(self) -> None:
        """Fetch a snapshot of the whole cache."""
        body = await self._get("/cache", CALL_TIMEOUT_SECONDS)
        if body is None:
            return
        try:
            decoded = msgspec.json.decode(body, type=_Snapshot)
            names = tuple(int(block, 16) for block in decoded.blocks)
        except (msgspec.MsgspecError, ValueError):
            self._log.info("unreadable snapshot", upstream=self._name)
            return
        snapshot = events.Snapshot(decoded.incarnation, decoded.seq, names)
        self._observe(SnapshotObserved(self._name, snapshot))

    async def _poll_load(self) -> None:
        while True:
            body = await self._get("/load", CALL_TIMEOUT_SECONDS)
            observed = PollFailed(self._name) if body is None else self._decode_load(body)
            if observed is not None:
                self._observe(observed)
            await anyio.sleep(max(LOAD_POLL_SECONDS, self._watched_count() / MAX_POLLS_PER_SECOND))

    def _decode_load(self, body: bytes) -> Observation | None:
        try:
            decoded = msgspec.json.decode(body, type=_Load)
        except msgspec.MsgspecError:
            self._log.info("unreadable load report", upstream=self._name)
            return None
        report = routing_messages.LoadReport(
            decoded.incarnation,
            decoded.running,
            decoded.waiting,
            decoded.queued_tokens,
            decoded.prefill_tokens_per_second,
            age_seconds=_report_age(decoded.at),
        )
        return LoadObserved(self._name, report, decoded.models, decoded.leaving)

    async def _poll_events(self) -> None:
        while True:
            after = self._events_after(self._name)
            path = f"/events?after={after}&wait={EVENT_WAIT_SECONDS:g}"
            body = await self._get(path, EVENT_WAIT_SECONDS + CALL_TIMEOUT_SECONDS)
            if body is not None:
                self._handle_events(body)
            await anyio.sleep(max(EVENT_POLL_SECONDS, self._watched_count() / MAX_POLLS_PER_SECOND))

    def _handle_events(self, body: bytes) -> None:
        try:
            decoded = msgspec.json.decode(body, type=_Events)
            batch = tuple(events.cache_event(e.seq, e.kind, e.blocks) for e in decoded.events)
        except (msgspec.MsgspecError, routing_errors.RoutingError, ValueError):
            self._log.info("unreadable events", upstream=self._name)
            return
        if batch:
            self._observe(EventsObserved(self._name, events.EventBatch(decoded.incarnation, batch)))

    async def _get(self, path: str, seconds: float) -> bytes | None:
        request = http_request.encode(b"GET", path.encode(), self._address.encode())
        try:
            response = await self._connections.call(self._address, request, seconds)
        except exchanges.HttpConnectionError:
            return None
        self._count_poll(path, response)
        return response.body if response.status == HTTP_OK else None

    def _count_poll(self, path: str, response: exchanges.Response) -> None:
        request_bytes = REQUEST_HEAD_BYTES + len(path) + len(self._address)
        header_bytes = sum(len(name) + len(value) + 4 for name, value in response.headers)
        self._counts["polls"] += 1
        self._counts["poll_bytes"] += (
            request_bytes + STATUS_LINE_BYTES + header_bytes + len(response.body)
        )
