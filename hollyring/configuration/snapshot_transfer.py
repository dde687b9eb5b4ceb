"""Transfer of snapshots between VMs."""

from __future__ import annotations

from hollyring.configuration import messages, snapshots, state

SEND_INTERVAL_SECONDS = 0.25
"""Minimum interval between two snapshots sent to peers."""

CACHE_TTL_SECONDS = 5.0
"""Time for which an encoded snapshot is cached, for peers that start at the same time."""


class SnapshotReceiver:
    """Assembler of received segments.

    A segment of another snapshot or from another sender discards the earlier ones.
    """

    __slots__ = ("_sender", "_revision_value", "_bodies")

    def __init__(self) -> None:
        self._sender = ""
        self._revision_value = b""
        self._bodies: dict[int, bytes] = {}

    def on_segment(self, sender: str, message: messages.Segment) -> snapshots.Snapshot | None:
        """Add a segment; return the snapshot when it is complete, else None."""
        if not 0 <= message.index < message.count:
            return None
        if (sender, message.revision_value) != (self._sender, self._revision_value):
            self._sender, self._revision_value, self._bodies = sender, message.revision_value, {}
        self._bodies[message.index] = message.body
        if len(self._bodies) < message.count:
            return None
        ordered = [body for _, body in sorted(self._bodies.items())]
        self._sender, self._revision_value, self._bodies = "", b"", {}
        return snapshots.Snapshot(message.revision_value, ordered)


class SnapshotSender:
    """Encoder of snapshots for peers, with at most one per `SEND_INTERVAL_SECONDS`."""

    __slots__ = ("_sent_at", "_sent_count", "_cached_segments", "_cached_at")

    def __init__(self) -> None:
        self._sent_at = float("-inf")
        self._sent_count = 0
        self._cached_segments: list[messages.Segment] = []
        self._cached_at = float("-inf")

    @property
    def sent_count(self) -> int:
        """Number of snapshots sent so far."""
        return self._sent_count

    def next_segments(
        self, configuration: state.Configuration, revision_value: bytes, now: float
    ) -> list[messages.Segment]:
        """Return the segments to send; none within `SEND_INTERVAL_SECONDS` of the last snapshot.

        The snapshot may be up to `CACHE_TTL_SECONDS` old; the receiver fetches later revisions as
        deltas.
        """
        if now - self._sent_at < SEND_INTERVAL_SECONDS:
            return []
        self._sent_at = now
        self._sent_count += 1
        if not self._cached_segments:
            snapshot = snapshots.create(configuration, revision_value)
            count = len(snapshot.segments)
            self._cached_at = now
            self._cached_segments = [
                messages.Segment(configuration.revision, revision_value, index, count, body)
                for index, body in enumerate(snapshot.segments)
            ]
        return self._cached_segments

    def evict_expired(self, now: float) -> None:
        """Evict the cached snapshot if it is older than `CACHE_TTL_SECONDS`."""
        if now - self._cached_at >= CACHE_TTL_SECONDS:
            self._cached_segments = []
