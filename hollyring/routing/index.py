"""Index of the blocks cached by the upstreams that this VM watches.

Every upstream is watched by one of the live VMs, so that the index of the whole fleet is spread
over the VMs. The index may lag, and it may be wrong after lost events. Responses may then be slower
but never incorrect, because the engine matches the prefix of a prompt itself.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Sequence

from hollyring.routing import block_table, events

MAX_BLOCKS = 400_000
"""Maximum number of blocks that one VM indexes, over all its upstreams."""

MAX_PENDING_EVENTS = 256
"""Number of events kept waiting for a missing one, above which the latter counts as lost."""

MAX_PENDING_SECONDS = 1.0
"""Time after which a missing event counts as lost if later ones have arrived."""

SNAPSHOT_BYTES_PER_BLOCK = 19
"""Size of one block in an engine's snapshot."""

RESYNC_BYTES_PER_SECOND = 500.0
"""Mean rate at which one VM fetches snapshots."""

RESYNC_BURST_BYTES = 100_000.0
"""Bytes of snapshots that may be fetched at once: the capacity of the token bucket."""

RESYNC_RETRY_SECONDS = 5.0
"""Time after which a requested snapshot that has not arrived is requested again."""

MAX_CONTRADICTIONS = 3
"""Consecutive responses with fewer cached blocks than indexed after which a snapshot is due."""

MIN_CONFIDENCE = 0.3
"""Lower bound of the confidence, and its value while the number of missing events is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class CachedPrefix:
    """Cached prefix of a hash chain at one upstream.

    Parameters
    ----------
    blocks
        Number of leading blocks that are cached.
    confidence
        Probability that they still are, from 0 to 1.
    incarnation
        Incarnation of the upstream that cached them.
    """

    blocks: int
    confidence: float
    incarnation: int


@dataclasses.dataclass(slots=True)
class _UpstreamIndex:
    table: block_table.BlockTable
    incarnation: int = 0
    last_sequence: int = 0
    synchronised: bool = False
    lost_events: int = 0
    contradictions: int = 0
    requested_at: float = float("-inf")
    pending_since: float = 0.0
    pending: dict[int, events.CacheEvent] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts of index updates.

    `dead_incarnation` counts events and snapshots of earlier incarnations, and of upstreams that
    are not watched.
    """

    applied: int = 0
    duplicates: int = 0
    gaps: int = 0
    dead_incarnation: int = 0
    snapshots: int = 0
    contradictions: int = 0


class CacheIndex:
    """Cached blocks of the watched upstreams.

    Memory is bounded by `max_blocks`, which the watched upstreams share evenly. When an upstream's
    share is full, a new hash displaces an arbitrary old one: recent prefixes matter most, and a
    missing one only makes the index underestimate what is cached.

    Parameters
    ----------
    max_blocks
        Maximum number of blocks over all upstreams.
    resync_bytes_per_second
        Mean rate at which snapshots may be fetched.
    """

    __slots__ = (
        "_max_blocks",
        "_upstreams",
        "_bytes_per_second",
        "_available_bytes",
        "_refilled_at",
        "counters",
    )

    def __init__(
        self,
        max_blocks: int = MAX_BLOCKS,
        resync_bytes_per_second: float = RESYNC_BYTES_PER_SECOND,
    ) -> None:
        self._max_blocks = max_blocks
        self._upstreams: dict[str, _UpstreamIndex] = {}
        self._bytes_per_second = resync_bytes_per_second
        self._available_bytes = RESYNC_BURST_BYTES
        self._refilled_at = float("-inf")
        self.counters = Counters()

    @property
    def watched(self) -> list[str]:
        """Names of the upstreams that are indexed."""
        return list(self._upstreams)

    @property
    def size_bytes(self) -> int:
        """Total size of the tables in bytes."""
        return sum(state.table.size_bytes for state in self._upstreams.values())

    def __len__(self) -> int:
        return sum(len(state.table) for state in self._upstreams.values())

    def watch(self, upstreams: Iterable[str]) -> None:
        """Index exactly `upstreams` and drop the index of all others."""
        names = list(upstreams)
        limit = self._max_blocks // max(1, len(names))
        self._upstreams = {
            name: self._upstreams.get(name) or _UpstreamIndex(block_table.BlockTable(limit))
            for name in names
        }
        for state in self._upstreams.values():
            state.table.set_limit(limit)

    def incarnation(self, upstream: str) -> int:
        """Return the latest observed incarnation of `upstream`, or 0."""
        state = self._upstreams.get(upstream)
        return state.incarnation if state else 0

    def last_sequence(self, upstream: str) -> int:
        """Return the sequence number of the last applied event; polls ask for later ones."""
        state = self._upstreams.get(upstream)
        return state.last_sequence if state else 0

    def observe_incarnation(self, upstream: str, incarnation: int) -> bool:
        """Record an incarnation of `upstream`; return whether it is the latest one.

        Return False also if `upstream` is not watched. A later incarnation starts with an empty
        cache.
        """
        state = self._upstreams.get(upstream)
        if state is None or incarnation < state.incarnation:
            return False
        if incarnation > state.incarnation:
            state.table.clear()
            state.pending.clear()
            # An engine that is new to this index may already have published events. The events of a
            # known engine's next incarnation start at 1, so that none are missing.
            state.synchronised = state.incarnation > 0
            state.incarnation = incarnation
            state.last_sequence = state.lost_events = state.contradictions = 0
        return True

    def observe_events(self, upstream: str, batch: events.EventBatch, now: float) -> None:
        """Apply a batch of events from a watched upstream."""
        if not self.observe_incarnation(upstream, batch.incarnation):
            self.counters.dead_incarnation += len(batch.events)
            return
        state = self._upstreams[upstream]
        for event in batch.events:
            if event.sequence <= state.last_sequence or event.sequence in state.pending:
                self.counters.duplicates += 1
                continue
            if not state.pending:
                state.pending_since = now
            state.pending[event.sequence] = event
        self._apply_pending(state, now)

    def observe_snapshot(self, upstream: str, snapshot: events.Snapshot, now: float) -> None:
        """Replace a watched upstream's index, then apply the pending events that came later.

        A snapshot older than the last applied event is ignored.
        """
        if not self.observe_incarnation(upstream, snapshot.incarnation):
            self.counters.dead_incarnation += 1
            return
        state = self._upstreams[upstream]
        if snapshot.sequence < state.last_sequence:
            state.requested_at = float("-inf")
            return
        state.table.replace(snapshot.hashes)
        state.last_sequence = snapshot.sequence
        state.synchronised = True
        state.lost_events = state.contradictions = 0
        state.requested_at = float("-inf")
        for sequence in [number for number in state.pending if number <= snapshot.sequence]:
            del state.pending[sequence]
        self.counters.snapshots += 1
        self._apply_pending(state, now)

    def check_response(self, upstream: str, expected: int, cached: int) -> None:
        """Compare the expected cached blocks with those that the upstream's response reported.

        After `MAX_CONTRADICTIONS` consecutive responses with fewer, a snapshot is due.
        """
        state = self._upstreams.get(upstream)
        if state is None or not expected:
            return
        if cached >= expected:
            state.contradictions = 0
            return
        state.contradictions += 1
        self.counters.contradictions += 1
        if state.contradictions >= MAX_CONTRADICTIONS:
            state.synchronised = False

    def due_snapshots(self, now: float) -> list[str]:
        """Return the upstreams whose snapshots should be fetched now, within the byte rate."""
        self._refill(now)
        due = []
        for name, state in self._upstreams.items():
            if state.synchronised or now - state.requested_at < RESYNC_RETRY_SECONDS:
                continue
            cost = max(1, len(state.table)) * SNAPSHOT_BYTES_PER_BLOCK
            if self._available_bytes < min(cost, RESYNC_BURST_BYTES):
                continue
            self._available_bytes -= cost
            state.requested_at = now
            due.append(name)
        return due

    def cached_prefix(self, upstream: str, hashes: Sequence[int]) -> CachedPrefix | None:
        """Return the cached prefix of `hashes`, or None if the upstream has not been observed."""
        state = self._upstreams.get(upstream)
        if state is None or not state.incarnation:
            return None
        table = state.table
        blocks = 0
        for block_hash in hashes:
            if block_hash not in table:
                break
            blocks += 1
        return CachedPrefix(blocks, self._confidence(state), state.incarnation)

    def dump(self) -> dict[str, object]:
        """Return the counters and the state of each upstream."""
        return {
            "counters": dataclasses.asdict(self.counters),
            "blocks": len(self),
            "bytes": self.size_bytes,
            "upstreams": {
                name: {
                    "incarnation": state.incarnation,
                    "applied": state.last_sequence,
                    "blocks": len(state.table),
                    "displaced": state.table.displaced,
                    "synchronised": state.synchronised,
                    "lost_events": state.lost_events,
                    "held": len(state.pending),
                }
                for name, state in sorted(self._upstreams.items())
            },
        }

    def _confidence(self, state: _UpstreamIndex) -> float:
        if state.synchronised:
            return 1.0
        lost_share = state.lost_events / max(1, len(state.table))
        return max(MIN_CONFIDENCE, 1.0 - lost_share) if state.lost_events else MIN_CONFIDENCE

    def _apply_pending(self, state: _UpstreamIndex, now: float) -> None:
        while state.pending:
            event = state.pending.pop(state.last_sequence + 1, None)
            if event is not None:
                self._apply(state, event)
                state.pending_since = now
                continue
            overdue = now - state.pending_since >= MAX_PENDING_SECONDS
            if not overdue and len(state.pending) <= MAX_PENDING_EVENTS:
                return
            self._skip_gap(state)

    def _skip_gap(self, state: _UpstreamIndex) -> None:
        next_sequence = min(state.pending)
        state.lost_events += next_sequence - state.last_sequence - 1
        state.last_sequence = next_sequence - 1
        state.synchronised = False
        self.counters.gaps += 1

    def _apply(self, state: _UpstreamIndex, event: events.CacheEvent) -> None:
        state.last_sequence = event.sequence
        self.counters.applied += 1
        if event.sequence == 1:
            state.synchronised = True
        match event.kind:
            case events.EventKind.STORED:
                state.table.update(event.hashes)
            case events.EventKind.REMOVED:
                for block_hash in event.hashes:
                    state.table.discard(block_hash)
            case events.EventKind.CLEARED:
                state.table.clear()
                state.synchronised = True
                state.lost_events = 0

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._available_bytes = min(
            RESYNC_BURST_BYTES, self._available_bytes + elapsed * self._bytes_per_second
        )
        self._refilled_at = now
