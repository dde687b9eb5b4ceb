"""Polls the upstreams that this VM watches: load reports and cache events."""

from __future__ import annotations

import collections
import dataclasses
import time
from collections.abc import Callable

import anyio
import anyio.abc
import msgspec

from hollyring.node import connection_pool, http_connection, http_request, logs
from hollyring.routing import errors as routing_errors
from hollyring.routing import events
from hollyring.routing import messages as routing_messages

LOAD_SECONDS = 0.5
"""Shortest time between two load reports of one upstream."""

EVENT_SECONDS = 0.1
"""Shortest time between two polls for events of one upstream."""

POLLS_PER_SECOND = 2.0
"""Most polls of each kind that one VM makes, however many upstreams it watches."""

REQUEST_HEAD_BYTES = 60
"""Bytes of a poll besides its path and address."""

STATUS_LINE_BYTES = 17

EVENT_WAIT_SECONDS = 5.0
CALL_SECONDS = 3.0
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
    """An upstream's load report and what it serves."""

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
    """The whole cache of an upstream."""

    upstream: str
    snapshot: events.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class PollFailed:
    """An upstream did not answer a poll."""

    upstream: str


Observation = LoadObserved | EventsObserved | SnapshotObserved | PollFailed


MAX_AGE_SECONDS = 5.0
"""A report that seems older than this tells of clocks that differ, not of its age."""


def _age(at: float) -> float:
    """Return how old a report is that an upstream dated `at`, in seconds since the epoch."""
    age = time.time() - at
    return age if 0.0 <= age <= MAX_AGE_SECONDS else 0.0


class UpstreamWatcher:
    """Watches one upstream for as long as it runs.

    Parameters
    ----------
    name, address
        The upstream.
    tell
        Takes what is observed.
    events_after
        Returns the sequence number after which events are wanted.
    pace
        Returns how many upstreams this VM watches: the more, the slower each is polled, so that a
        VM's cost is bounded.
    counts
        Counts polls and their bytes.
    connections
        Connections to upstreams.
    """

    __slots__ = (
        "_name",
        "_address",
        "_tell",
        "_events_after",
        "_pace",
        "_counts",
        "_links",
        "_log",
    )

    def __init__(
        self,
        name: str,
        address: str,
        tell: Callable[[Observation], None],
        events_after: Callable[[str], int],
        pace: Callable[[], int],
        counts: collections.Counter[str],
        connections: connection_pool.ConnectionPool,
    ) -> None:
        self._name = name
        self._address = http_request.address_of(address)
        self._tell = tell
        self._events_after = events_after
        self._pace = pace
        self._counts = counts
        self._links = connections
        self._log = logs.Logger("watch")

    async def run(self) -> None:
        """Poll until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_load)
            group.start_soon(self._follow_events)

    async def snapshot(self) -> None:
        """Fetch the whole cache once."""
        body = await self._get("/cache", CALL_SECONDS)
        if body is None:
            return
        try:
            found = msgspec.json.decode(body, type=_Snapshot)
            names = tuple(int(block, 16) for block in found.blocks)
        except (msgspec.MsgspecError, ValueError):
            self._log.info("unreadable snapshot", upstream=self._name)
            return
        snapshot = events.Snapshot(found.incarnation, found.seq, names)
        self._tell(SnapshotObserved(self._name, snapshot))

    async def _follow_load(self) -> None:
        while True:
            body = await self._get("/load", CALL_SECONDS)
            observed = PollFailed(self._name) if body is None else self._load(body)
            if observed is not None:
                self._tell(observed)
            await anyio.sleep(max(LOAD_SECONDS, self._pace() / POLLS_PER_SECOND))

    def _load(self, body: bytes) -> Observation | None:
        try:
            found = msgspec.json.decode(body, type=_Load)
        except msgspec.MsgspecError:
            self._log.info("unreadable load report", upstream=self._name)
            return None
        report = routing_messages.LoadReport(
            found.incarnation,
            found.running,
            found.waiting,
            found.queued_tokens,
            found.prefill_tokens_per_second,
            age_seconds=_age(found.at),
        )
        return LoadObserved(self._name, report, found.models, found.leaving)

    async def _follow_events(self) -> None:
        while True:
            after = self._events_after(self._name)
            path = f"/events?after={after}&wait={EVENT_WAIT_SECONDS:g}"
            body = await self._get(path, EVENT_WAIT_SECONDS + CALL_SECONDS)
            if body is not None:
                self._events(body)
            await anyio.sleep(max(EVENT_SECONDS, self._pace() / POLLS_PER_SECOND))

    def _events(self, body: bytes) -> None:
        try:
            found = msgspec.json.decode(body, type=_Events)
            batch = tuple(events.cache_event(e.seq, e.kind, e.blocks) for e in found.events)
        except (msgspec.MsgspecError, routing_errors.RoutingError, ValueError):
            self._log.info("unreadable events", upstream=self._name)
            return
        if batch:
            self._tell(EventsObserved(self._name, events.EventBatch(found.incarnation, batch)))

    async def _get(self, path: str, seconds: float) -> bytes | None:
        request = http_request.encode(b"GET", path.encode(), self._address.encode())
        try:
            response = await self._links.call(self._address, request, seconds)
        except http_connection.HttpConnectionError:
            return None
        self._count(path, response)
        return response.body if response.status == HTTP_OK else None

    def _count(self, path: str, response: http_connection.Response) -> None:
        asked = REQUEST_HEAD_BYTES + len(path) + len(self._address)
        head = sum(len(name) + len(value) + 4 for name, value in response.headers)
        self._counts["polls"] += 1
        self._counts["poll_bytes"] += asked + STATUS_LINE_BYTES + head + len(response.body)
