"""The claim log of one group: claims added in batches by compare-and-swap.

Any VM may add to any group; compare-and-swap alone keeps it right. Each VM holds the group's
records as of one version of the head, so a batch that takes effect at that version has been
checked against every earlier claim. When all VMs send a group's claims to its usual writer,
batches form and conflicts are rare.
"""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Iterable

from hollyring.core import rendezvous
from hollyring.delivery import errors, records, storage

GROUP_COUNT = 32
"""Groups of the whole fleet; all VMs must agree on it."""

WRITE_INTERVAL_SECONDS = 0.2
"""Least time between two writes of one group by one VM; the first goes at once."""

RETENTION_SECONDS = 24 * 3600.0
"""How long a claim is kept."""

MAX_CLOCK_SKEW_SECONDS = 300.0
"""How far the wall clocks of two VMs may differ."""

MAX_HEAD_RECORDS = 256
"""Records in the head beyond which they move to a segment."""

MAX_SEGMENT_RECORDS = 12_000
"""Most records in one segment; their stored form stays far under the service's 1 MB."""

MAX_PENDING = 2_000
"""Most records that wait for the platform service."""

RETRY_BASE_SECONDS = 0.05
RETRY_MAX_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The record is in the log: its owner, and nobody else, may act on it."""

    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """The key is claimed already, by `by`."""

    record: records.Record
    existing: records.Record


@dataclasses.dataclass(frozen=True, slots=True)
class QueueFull:
    """Too many records wait already; this one was not taken in."""

    record: records.Record


AppendResult = Granted | AlreadyClaimed | QueueFull
Action = storage.Action | AppendResult


@dataclasses.dataclass(slots=True)
class _Pending:
    record: records.Record
    reread: bool
    """Read the head again before a foreign claim is reported."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Reading:
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Sealing:
    key: str
    name: int
    sealed: list[records.Record]


@dataclasses.dataclass(frozen=True, slots=True)
class _Putting:
    key: str
    head: records.Head
    retired: list[int]


@functools.lru_cache(maxsize=4096)
def head_key(group: int) -> str:
    """Return the platform key of a group's head."""
    return f"claims/{group}"


def segment_key(group: int, name: int) -> str:
    """Return the platform key of a group's segment."""
    return f"claims/{group}/{name}"


def preferred_writer(group: int, members: Iterable[str]) -> str:
    """Return the VM that the group's claims are best sent to; right whoever writes them."""
    return rendezvous.rank(head_key(group).encode(), members)[0]


class GroupLog:
    """One group's claim log, as one VM reads and writes it.

    The node carries out each action and hands its outcome to `handle`; at most one read or
    write is under way at a time.

    Parameters
    ----------
    group
        Number of the group.
    retention
        Seconds for which a claim is kept.
    interval
        Least seconds between two writes.
    seal_records, segment_records
        Sizes at which the head is emptied and segments stop being merged.

    Examples
    --------
    >>> log = GroupLog(3)
    >>> claim = records.Record(b"k", b"b", "vm-1", 1, 1, False, 0)
    >>> log.append(claim, now=0.0, wall_time=0.0)
    [ReadValue(key='claims/3')]
    >>> put, = log.handle(storage.Value("claims/3", b"", 0), now=0.0, wall_time=0.0)
    >>> put.version
    0
    >>> log.handle(storage.Written("claims/3", 8), now=0.0, wall_time=0.0) == [Granted(claim)]
    True
    """

    __slots__ = (
        "_group",
        "_retention",
        "_interval",
        "_seal_records",
        "_segment_records",
        "_head",
        "_version",
        "_stale",
        "_doubt",
        "_sealed_at",
        "_segments",
        "_versions",
        "_index",
        "_pending",
        "_flight",
        "_due",
        "_last_put",
        "_failures",
    )

    def __init__(
        self,
        group: int,
        retention: float = RETENTION_SECONDS,
        write_interval: float = WRITE_INTERVAL_SECONDS,
        max_head_records: int = MAX_HEAD_RECORDS,
        max_segment_records: int = MAX_SEGMENT_RECORDS,
    ) -> None:
        self._group = group
        self._retention = retention
        self._interval = write_interval
        self._seal_records = max_head_records
        self._segment_records = max_segment_records
        self._head = records.Head([], [])
        self._version = 0
        self._stale = True
        self._doubt = -1
        self._sealed_at = -1
        self._segments: dict[int, list[records.Record]] = {}
        self._versions: dict[int, int] = {}
        self._index: dict[bytes, records.Record] = {}
        self._pending: list[_Pending] = []
        self._flight: _Reading | _Sealing | _Putting | None = None
        self._due = 0.0
        self._last_put = -write_interval
        self._failures = 0

    @property
    def due(self) -> float | None:
        """When `tick` has work to do, or None."""
        if self._flight is not None or not self._pending:
            return None
        return self._due

    @property
    def key_count(self) -> int:
        """Keys that this VM knows to be claimed or released in the group."""
        return len(self._index)

    @property
    def pending_count(self) -> int:
        """Records that wait to be settled."""
        return len(self._pending)

    def append(
        self, record: records.Record, now: float, wall_time: float, reread: bool = False
    ) -> list[Action]:
        """Add a claim, or the release of one, to the log.

        Parameters
        ----------
        record
            The claim; settled by `Granted` or `Existing`. A release is settled by `Granted` too.
        now, wall_time
            Monotonic and wall-clock seconds.
        fresh
            Report another's claim only after reading the log again.
        """
        if record.released:
            self._withdraw(record)
        if len(self._pending) >= MAX_PENDING:
            return [QueueFull(record)]
        self._pending.append(_Pending(record, reread))
        return self._advance(now, wall_time)

    def tick(self, now: float, wall_time: float) -> list[Action]:
        """Go on with what waited for its time."""
        return self._advance(now, wall_time)

    def handle(self, event: storage.Event, now: float, wall_time: float) -> list[Action]:
        """Take in the outcome of an action; outcomes that nobody waits for are ignored."""
        flight = self._flight
        if flight is None or event.key != flight.key:
            return []
        match event, flight:
            case storage.Value(), _Reading():
                self._loaded(event, now)
            case (storage.ReadFailed(), _Reading()) | (storage.WriteUnconfirmed(), _Sealing()):
                self._failed(now)
            case storage.WriteUnconfirmed(), _Putting():
                self._doubt = self._version
                self._stale = True
                self._failed(now)
            case storage.Conflict(), _Putting():
                self._stale = True
                self._flight = None
            case storage.Written(), _Putting():
                return self._put_done(flight, event.version) + self._advance(now, wall_time)
            case storage.Written(), _Sealing():
                self._seal_done(flight, event.version)
            case storage.Conflict(), _Sealing():
                self._flight = _Reading(flight.key)
                return [storage.ReadValue(flight.key)]
            case _:
                return []
        return self._advance(now, wall_time)

    def _advance(self, now: float, wall_time: float) -> list[Action]:
        if self._flight is not None or not self._pending or now < self._due:
            return []
        if not self._stale:
            missing = self._missing_segment()
            if missing is not None:
                return self._read(segment_key(self._group, missing))
            settled, batch = self._plan()
            if not self._stale:
                return settled + self._write(batch, now, wall_time)
            return settled + self._read(head_key(self._group))
        return self._read(head_key(self._group))

    def _read(self, key: str) -> list[Action]:
        self._flight = _Reading(key)
        return [storage.ReadValue(key)]

    def _missing_segment(self) -> int | None:
        return next(
            (one.name for one in self._head.segments if one.name not in self._segments), None
        )

    def _plan(self) -> tuple[list[Action], list[records.Record]]:
        """Settle what the log answers already; return that, and the records to be added."""
        settled: list[Action] = []
        added: dict[bytes, records.Record] = {}
        batch: list[records.Record] = []
        waiting: list[_Pending] = []
        for pending in self._pending:
            record = pending.record
            if record.key in added and not self._follows(record, added[record.key]):
                waiting.append(pending)
                continue
            present = added.get(record.key) or self._index.get(record.key)
            if self._follows(record, present):
                added[record.key] = record
                batch.append(record)
                waiting.append(pending)
            elif record.released or (present == record):
                settled.append(Granted(record))
            elif not pending.reread:
                assert present is not None
                settled.append(AlreadyClaimed(record, present))
            else:
                self._stale = True
                waiting.append(pending)
        self._pending = waiting
        return settled, batch

    def _follows(self, record: records.Record, present: records.Record | None) -> bool:
        """Tell whether `record` may be written after `present`, the key's last record."""
        if record.released:
            if present is None:
                return self._doubt == self._version
            return record.same_claim(present) and not present.released
        if present is None:
            return True
        return present.released and not record.same_claim(present)

    def _write(self, batch: list[records.Record], now: float, wall_time: float) -> list[Action]:
        if not batch:
            return []
        if now < self._last_put + self._interval:
            self._due = self._last_put + self._interval
            return []
        segments, present = self._head.segments, self._head.records
        if present and len(present) + len(batch) > self._seal_records:
            segments, moved = self._merge()
            if self._sealed_at != self._version:
                return self._seal(moved)
            newest = max(one.claimed_at for one in moved)
            segments = [*segments, records.Segment(self._version, len(moved), newest)]
            present = []
        oldest = wall_time - self._retention - MAX_CLOCK_SKEW_SECONDS
        kept = [one for one in segments if one.newest >= oldest]
        present = [one for one in present if one.claimed_at >= oldest]
        names = {one.name for one in kept}
        retired = [one.name for one in self._head.segments if one.name not in names]
        key = head_key(self._group)
        head = records.Head(kept, present + batch)
        self._flight = _Putting(key, head, retired)
        self._last_put = now
        return [storage.PutValue(key, records.encode(head), self._version)]

    def _merge(self) -> tuple[list[records.Segment], list[records.Record]]:
        """Return the segments that stay, and the records of the next one.

        The last segments are merged in while they are no larger than what follows them, so
        that their number grows with the logarithm of the records. The outcome depends on the
        head alone, never on a clock, so that two VMs that seal one head write the same bytes.
        """
        kept, moved = list(self._head.segments), list(self._head.records)
        while kept and kept[-1].count <= len(moved):
            if kept[-1].count + len(moved) > self._segment_records:
                break
            moved = self._segments[kept.pop().name] + moved
        last = {record.key: record for record in moved}
        return kept, [record for record in moved if last[record.key] is record]

    def _seal(self, moved: list[records.Record]) -> list[Action]:
        key = segment_key(self._group, self._version)
        self._flight = _Sealing(key, self._version, moved)
        return [storage.PutValue(key, records.encode(records.Head([], moved)), 0)]

    def _seal_done(self, flight: _Sealing, version: int) -> None:
        self._segments[flight.name] = flight.sealed
        self._versions[flight.name] = version
        self._sealed_at = flight.name
        self._flight = None
        self._failures = 0

    def _put_done(self, flight: _Putting, version: int) -> list[Action]:
        deletions: list[Action] = [
            storage.DeleteValue(segment_key(self._group, name), self._versions[name])
            for name in flight.retired
            if name in self._versions
        ]
        self._flight = None
        self._take(flight.head, version)
        return deletions

    def _loaded(self, event: storage.Value, now: float) -> None:
        self._flight = None
        try:
            stored = records.decode(event.value)
        except errors.LogFormatError:
            self._failed(now)
            return
        if event.key == head_key(self._group):
            self._stale = False
            for pending in self._pending:
                pending.reread = False
            self._take(stored, event.version)
            return
        if event.version == 0:
            self._stale = True
            self._failed(now)
            return
        self._segment_loaded(int(event.key.rsplit("/", 1)[1]), stored, event.version)

    def _segment_loaded(self, name: int, stored: records.Head, version: int) -> None:
        self._failures = 0
        self._segments[name] = stored.records
        self._versions[name] = version
        if name == self._version:
            self._sealed_at = name
        if self._missing_segment() is None:
            self._rebuild()

    def _take(self, head: records.Head, version: int) -> None:
        """Adopt a head; its records join the index once all its segments are known."""
        if version != self._doubt:
            self._doubt = -1
        same = head.segments == self._head.segments
        self._head = head
        self._version = version
        if same and len(self._index) <= 2 * (self._stored() + self._seal_records):
            self._failures = 0
            self._index.update((record.key, record) for record in head.records)
            return
        names = {one.name for one in head.segments}
        self._segments = {n: kept for n, kept in self._segments.items() if n in names}
        self._versions = {n: kept for n, kept in self._versions.items() if n in names}
        if self._missing_segment() is None:
            self._rebuild()

    def _stored(self) -> int:
        return len(self._head.records) + sum(one.count for one in self._head.segments)

    def _rebuild(self) -> None:
        self._index = {}
        for segment in self._head.segments:
            self._index.update((record.key, record) for record in self._segments[segment.name])
        self._index.update((record.key, record) for record in self._head.records)

    def _failed(self, now: float) -> None:
        self._flight = None
        self._failures += 1
        self._due = now + min(RETRY_MAX_SECONDS, RETRY_BASE_SECONDS * 2 ** min(self._failures, 8))

    def _withdraw(self, release: records.Record) -> None:
        """Drop a claim that is not under way yet, now that its owner gives it up."""
        self._pending = [one for one in self._pending if not one.record.same_claim(release)]
