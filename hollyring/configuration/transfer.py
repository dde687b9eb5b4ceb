"""Snapshots on their way between VMs."""

from __future__ import annotations

from hollyring.configuration import messages, snapshots, state

GAP_SECONDS = 1.0
"""Shortest time between two snapshots sent to peers, as each costs processor time."""


class Incoming:
    """Puts the segments of one snapshot together; another snapshot's segment starts anew."""

    __slots__ = ("_peer", "_head", "_bodies")

    def __init__(self) -> None:
        self._peer = ""
        self._head = b""
        self._bodies: dict[int, bytes] = {}

    def on_segment(self, sender: str, message: messages.Segment) -> snapshots.Snapshot | None:
        """Take a segment and return the snapshot once it is whole."""
        if not 0 <= message.index < message.count:
            return None
        if (sender, message.head) != (self._peer, self._head):
            self._peer, self._head, self._bodies = sender, message.head, {}
        self._bodies[message.index] = message.body
        if len(self._bodies) < message.count:
            return None
        ordered = [body for _, body in sorted(self._bodies.items())]
        self._peer, self._head, self._bodies = "", b"", {}
        return snapshots.Snapshot(message.head, ordered)


class Outgoing:
    """Sends snapshots to peers, at most one each `GAP_SECONDS`."""

    __slots__ = ("_sent_at", "_sent")

    def __init__(self) -> None:
        self._sent_at = float("-inf")
        self._sent = 0

    @property
    def sent(self) -> int:
        """Snapshots sent so far."""
        return self._sent

    def send(
        self, configuration: state.Configuration, head: bytes, now: float
    ) -> list[messages.Segment]:
        """Return the segments to send, none if the last snapshot was too short a time ago."""
        if now - self._sent_at < GAP_SECONDS:
            return []
        self._sent_at = now
        self._sent += 1
        snapshot = snapshots.take(configuration, head)
        count = len(snapshot.segments)
        return [
            messages.Segment(configuration.revision, head, index, count, body)
            for index, body in enumerate(snapshot.segments)
        ]
