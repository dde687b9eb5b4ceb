"""Claim log of one group of keys, appended to in batches by compare-and-swap.

Claim keys are divided into groups by hash. A group's log is stored as a head, to which records are
appended, and segments of older records. Any VM may append to any group: compare-and-swap alone
keeps the log consistent. Each VM caches the group's records as of one version of the head, so a
batch that takes effect at that version has been checked against every earlier claim. When all VMs
send a group's claims to its preferred writer, batches form and conflicts are rare.
"""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Iterable

from hollyring.core import rendezvous
from hollyring.delivery import errors, records, storage

GROUP_COUNT = 32
"""Number of groups of claim keys; all VMs must use the same value."""

WRITE_INTERVAL_SECONDS = 0.2
"""Minimum time between two writes of one group by one VM; the first one is immediate."""

RETENTION_SECONDS = 24 * 3600.0
"""How long a claim is kept."""

MAX_CLOCK_SKEW_SECONDS = 300.0
"""Largest tolerated difference between the wall clocks of two VMs."""

MAX_HEAD_RECORDS = 256
"""Number of records in the head above which they are moved to a segment."""

MAX_SEGMENT_RECORDS = 12_000
"""Maximum number of records in a segment; its encoded size is far below the store's 1 MB limit."""

MAX_PENDING = 2_000
"""Maximum number of records that wait for the key-value store."""

RETRY_BASE_SECONDS = 0.05
RETRY_MAX_SECONDS = 2.0
"""The delay before a retry doubles with each consecutive failure, up to this limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The record is in the log, or it is a release that needs no write.

    Only the owner of a claim may act on it.
    """

    record: records.Record


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """The key is already claimed, by the record `existing`."""

    record: records.Record
    existing: records.Record


@dataclasses.dataclass(frozen=True, slots=True)
class QueueFull:
    """Too many records are pending; this one was rejected."""

    record: records.Record


AppendResult = Granted | AlreadyClaimed | QueueFull
Action = storage.Action | AppendResult


@dataclasses.dataclass(slots=True)
class _Pending:
    record: records.Record
    reread: bool
    """Read the head again before reporting another VM's claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Read:
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class _SegmentWrite:
    key: str
    name: int
    segment_records: list[records.Record]


@dataclasses.dataclass(frozen=True, slots=True)
class _HeadWrite:
    key: str
    head: records.Head
    dropped: list[int]


@functools.lru_cache(maxsize=4096)
def head_key(group: int) -> str:
    """Return the key of a group's head in the key-value store."""
    return f"claims/{group}"


def segment_key(group: int, name: int) -> str:
    """Return the key of a group's segment in the key-value store."""
    return f"claims/{group}/{name}"


def preferred_writer(group: int, members: Iterable[str]) -> str:
    """Return the VM that a group's claims should be sent to.

    Writes by any other VM are correct too, but conflict more often.
    """
    return rendezvous.rank(head_key(group).encode(), members)[0]


class GroupLog:
    """Claim log of one group, as read and written by one VM.

    The I/O layer carries out each returned action and passes its outcome to `handle`; at most one
    read or write is in flight at a time.

    Parameters
    ----------
    group
        Number of the group.
    retention
        Seconds for which a claim is kept.
    write_interval
        Minimum seconds between two writes.
    max_head_records, max_segment_records
        Number of records above which those in the head are moved to a segment, and above which
        segments are not merged.

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
        "_write_interval",
        "_max_head_records",
        "_max_segment_records",
        "_head",
        "_version",
        "_stale",
        "_unconfirmed_version",
        "_stored_segment_name",
        "_segments",
        "_segment_versions",
        "_index",
        "_pending",
        "_in_flight",
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
        self._write_interval = write_interval
        self._max_head_records = max_head_records
        self._max_segment_records = max_segment_records
        self._head = records.Head([], [])
        self._version = 0
        self._stale = True
        self._unconfirmed_version = -1
        self._stored_segment_name = -1
        self._segments: dict[int, list[records.Record]] = {}
        self._segment_versions: dict[int, int] = {}
        self._index: dict[bytes, records.Record] = {}
        self._pending: list[_Pending] = []
        self._in_flight: _Read | _SegmentWrite | _HeadWrite | None = None
        self._due = 0.0
        self._last_put = -write_interval
        self._failures = 0

    @property
    def due(self) -> float | None:
        """Monotonic second at which `tick` has work to do, or None."""
        if self._in_flight is not None or not self._pending:
            return None
        return self._due

    @property
    def key_count(self) -> int:
        """Number of keys in this VM's index of the group, claimed or released."""
        return len(self._index)

    @property
    def pending_count(self) -> int:
        """Number of records whose append is not complete."""
        return len(self._pending)

    def append(
        self, record: records.Record, now: float, wall_time: float, reread: bool = False
    ) -> list[Action]:
        """Append a claim, or the release of one, to the log.

        Parameters
        ----------
        record
            The claim, which results in `Granted` or `AlreadyClaimed`, or its release, which results
            in `Granted`. Either results in `QueueFull` if too many records are pending.
        now, wall_time
            Monotonic and wall-clock seconds.
        reread
            Report another VM's claim only after reading the log again.
        """
        if record.released:
            self._drop_pending(record)
        if len(self._pending) >= MAX_PENDING:
            return [QueueFull(record)]
        self._pending.append(_Pending(record, reread))
        return self._advance(now, wall_time)

    def tick(self, now: float, wall_time: float) -> list[Action]:
        """Continue work that waited for the write interval or for a retry."""
        return self._advance(now, wall_time)

    def handle(self, event: storage.Event, now: float, wall_time: float) -> list[Action]:
        """Handle the outcome of an action; outcomes of no action in flight are ignored."""
        in_flight = self._in_flight
        if in_flight is None or event.key != in_flight.key:
            return []
        match event, in_flight:
            case storage.Value(), _Read():
                self._value_read(event, now)
            case (storage.ReadFailed(), _Read()) | (storage.WriteUnconfirmed(), _SegmentWrite()):
                self._schedule_retry(now)
            case storage.WriteUnconfirmed(), _HeadWrite():
                self._unconfirmed_version = self._version
                self._stale = True
                self._schedule_retry(now)
            case storage.Conflict(), _HeadWrite():
                self._stale = True
                self._in_flight = None
            case storage.Written(), _HeadWrite():
                return self._head_written(in_flight, event.version) + self._advance(now, wall_time)
            case storage.Written(), _SegmentWrite():
                self._segment_written(in_flight, event.version)
            case storage.Conflict(), _SegmentWrite():
                self._in_flight = _Read(in_flight.key)
                return [storage.ReadValue(in_flight.key)]
            case _:
                return []
        return self._advance(now, wall_time)

    def _advance(self, now: float, wall_time: float) -> list[Action]:
        if self._in_flight is not None or not self._pending or now < self._due:
            return []
        if not self._stale:
            missing = self._missing_segment()
            if missing is not None:
                return self._read(segment_key(self._group, missing))
            results, batch = self._plan_batch()
            if not self._stale:
                return results + self._write_head(batch, now, wall_time)
            return results + self._read(head_key(self._group))
        return self._read(head_key(self._group))

    def _read(self, key: str) -> list[Action]:
        self._in_flight = _Read(key)
        return [storage.ReadValue(key)]

    def _missing_segment(self) -> int | None:
        return next(
            (segment.name for segment in self._head.segments if segment.name not in self._segments),
            None,
        )

    def _plan_batch(self) -> tuple[list[Action], list[records.Record]]:
        """Return results for the records that need no write, and the records to write."""
        results: list[Action] = []
        added: dict[bytes, records.Record] = {}
        batch: list[records.Record] = []
        remaining: list[_Pending] = []
        for pending in self._pending:
            record = pending.record
            if record.key in added and not self._may_follow(record, added[record.key]):
                remaining.append(pending)
                continue
            current = added.get(record.key) or self._index.get(record.key)
            if self._may_follow(record, current):
                added[record.key] = record
                batch.append(record)
                remaining.append(pending)
            elif record.released or (current == record):
                results.append(Granted(record))
            elif not pending.reread:
                assert current is not None
                results.append(AlreadyClaimed(record, current))
            else:
                self._stale = True
                remaining.append(pending)
        self._pending = remaining
        return results, batch

    def _may_follow(self, record: records.Record, current: records.Record | None) -> bool:
        """Return whether `record` may be written after `current`, the key's last record.

        The release of a claim that is not in the log is written only while an unconfirmed write of
        the claim may still take effect: the release changes the head's version, so that write then
        fails.
        """
        if record.released:
            if current is None:
                return self._unconfirmed_version == self._version
            return record.same_claim(current) and not current.released
        if current is None:
            return True
        return current.released and not record.same_claim(current)

    def _write_head(
        self, batch: list[records.Record], now: float, wall_time: float
    ) -> list[Action]:
        if not batch:
            return []
        if now < self._last_put + self._write_interval:
            self._due = self._last_put + self._write_interval
            return []
        segments, head_records = self._head.segments, self._head.records
        if head_records and len(head_records) + len(batch) > self._max_head_records:
            segments, segment_records = self._merge_segments()
            if self._stored_segment_name != self._version:
                return self._write_segment(segment_records)
            newest = max(record.claimed_at for record in segment_records)
            segments = [*segments, records.Segment(self._version, len(segment_records), newest)]
            head_records = []
        oldest = wall_time - self._retention - MAX_CLOCK_SKEW_SECONDS
        kept = [segment for segment in segments if segment.newest >= oldest]
        head_records = [record for record in head_records if record.claimed_at >= oldest]
        kept_names = {segment.name for segment in kept}
        dropped = [
            segment.name for segment in self._head.segments if segment.name not in kept_names
        ]
        key = head_key(self._group)
        head = records.Head(kept, head_records + batch)
        self._in_flight = _HeadWrite(key, head, dropped)
        self._last_put = now
        return [storage.PutValue(key, records.encode(head), self._version)]

    def _merge_segments(self) -> tuple[list[records.Segment], list[records.Record]]:
        """Return the segments to keep, and the records of the next segment.

        The last segments are merged in while they are no larger than the records that follow them,
        so the number of segments grows with the logarithm of the number of records. The result
        depends on the head alone, never on a clock, so two VMs that move the records of the same
        head to a segment write the same bytes.
        """
        kept, segment_records = list(self._head.segments), list(self._head.records)
        while kept and kept[-1].count <= len(segment_records):
            if kept[-1].count + len(segment_records) > self._max_segment_records:
                break
            segment_records = self._segments[kept.pop().name] + segment_records
        last = {record.key: record for record in segment_records}
        return kept, [record for record in segment_records if last[record.key] is record]

    def _write_segment(self, segment_records: list[records.Record]) -> list[Action]:
        key = segment_key(self._group, self._version)
        self._in_flight = _SegmentWrite(key, self._version, segment_records)
        return [storage.PutValue(key, records.encode(records.Head([], segment_records)), 0)]

    def _segment_written(self, in_flight: _SegmentWrite, version: int) -> None:
        self._segments[in_flight.name] = in_flight.segment_records
        self._segment_versions[in_flight.name] = version
        self._stored_segment_name = in_flight.name
        self._in_flight = None
        self._failures = 0

    def _head_written(self, in_flight: _HeadWrite, version: int) -> list[Action]:
        deletions: list[Action] = [
            storage.DeleteValue(segment_key(self._group, name), self._segment_versions[name])
            for name in in_flight.dropped
            if name in self._segment_versions
        ]
        self._in_flight = None
        self._adopt_head(in_flight.head, version)
        return deletions

    def _value_read(self, event: storage.Value, now: float) -> None:
        self._in_flight = None
        try:
            stored = records.decode(event.value)
        except errors.LogFormatError:
            self._schedule_retry(now)
            return
        if event.key == head_key(self._group):
            self._stale = False
            for pending in self._pending:
                pending.reread = False
            self._adopt_head(stored, event.version)
            return
        if event.version == 0:
            self._stale = True
            self._schedule_retry(now)
            return
        self._segment_read(int(event.key.rsplit("/", 1)[1]), stored, event.version)

    def _segment_read(self, name: int, stored: records.Head, version: int) -> None:
        self._failures = 0
        self._segments[name] = stored.records
        self._segment_versions[name] = version
        if name == self._version:
            self._stored_segment_name = name
        if self._missing_segment() is None:
            self._rebuild_index()

    def _adopt_head(self, head: records.Head, version: int) -> None:
        """Replace the head; its records are indexed once all its segments have been read."""
        if version != self._unconfirmed_version:
            self._unconfirmed_version = -1
        same_segments = head.segments == self._head.segments
        self._head = head
        self._version = version
        if same_segments and len(self._index) <= 2 * (
            self._stored_count() + self._max_head_records
        ):
            self._failures = 0
            self._index.update((record.key, record) for record in head.records)
            return
        names = {segment.name for segment in head.segments}
        self._segments = {name: kept for name, kept in self._segments.items() if name in names}
        self._segment_versions = {
            name: kept for name, kept in self._segment_versions.items() if name in names
        }
        if self._missing_segment() is None:
            self._rebuild_index()

    def _stored_count(self) -> int:
        return len(self._head.records) + sum(segment.count for segment in self._head.segments)

    def _rebuild_index(self) -> None:
        self._index = {}
        for segment in self._head.segments:
            self._index.update((record.key, record) for record in self._segments[segment.name])
        self._index.update((record.key, record) for record in self._head.records)

    def _schedule_retry(self, now: float) -> None:
        self._in_flight = None
        self._failures += 1
        self._due = now + min(RETRY_MAX_SECONDS, RETRY_BASE_SECONDS * 2 ** min(self._failures, 8))

    def _drop_pending(self, release: records.Record) -> None:
        """Drop the pending claim that its owner releases."""
        self._pending = [
            pending for pending in self._pending if not pending.record.same_claim(release)
        ]
