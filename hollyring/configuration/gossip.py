"""Selection of the peers that a VM exchanges configuration messages with."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from hollyring.configuration import seeded_random

TICK_PEERS = 1
"""Number of peers that are sent a digest at each tick."""

START_PEERS = 5
"""Number of peers that a starting or quiet VM sends digests to at each tick.

A VM is quiet if it has received nothing for `replica.QUIET_AFTER_SECONDS`. A starting VM fetches
from the peer with the highest revision among this many replies.
"""

START_WAIT_SECONDS = 1.0
"""Time that a starting VM waits for replies of `START_PEERS` peers."""

PUSH_PEERS = 2
"""Number of peers that are sent a digest as soon as a new revision is applied."""

PUSH_INTERVAL_SECONDS = 0.25
"""Minimum interval between two pushes of new revisions."""

_MAX_RECENT_SENDERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRevision:
    """A peer and its current revision."""

    peer: str
    revision: int


class Gossip:
    """Random peer selection, and the revisions that peers have reported.

    The number of messages per tick and per new revision does not depend on the fleet size.
    """

    __slots__ = (
        "_started_at",
        "_peers",
        "_random",
        "_recent_senders",
        "_peer_revisions",
        "_pushed_at",
    )

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._peers: Sequence[str] = ()
        self._random = seeded_random.SeededRandom(0)
        self._recent_senders: list[str] = []
        self._peer_revisions: dict[str, int] = {}
        self._pushed_at = float("-inf")

    def update_peers(self, peers: Sequence[str], seed: int) -> None:
        """Set the live peers and a new random seed."""
        self._peers, self._random = peers, seeded_random.SeededRandom(seed)

    def record_sender(self, sender: str) -> None:
        """Record a peer as a recent sender."""
        if sender not in self._recent_senders:
            self._recent_senders = [*self._recent_senders[1 - _MAX_RECENT_SENDERS :], sender]

    def digest_peers(self, starting: bool, quiet: bool) -> list[str]:
        """Return the peers to send a digest to at this tick.

        A quiet VM may be partitioned from most peers, so it selects more peers and includes the
        recent senders.
        """
        chosen = self._random.sample(self._peers, START_PEERS if starting or quiet else TICK_PEERS)
        if not quiet:
            return chosen
        return sorted({*chosen, *self._recent_senders} & set(self._peers))

    def push_peers(self, now: float) -> list[str]:
        """Return the peers to push a new revision to; none too soon after the previous push.

        The minimum interval is `PUSH_INTERVAL_SECONDS`.
        """
        if now - self._pushed_at < PUSH_INTERVAL_SECONDS:
            return []
        self._pushed_at = now
        return self._random.sample(self._peers, PUSH_PEERS)

    def record_revision(self, peer: str, revision: int) -> None:
        """Record the current revision of a peer."""
        self._peer_revisions[peer] = revision

    def discard_revision(self, peer: str) -> None:
        """Discard the recorded revision of a peer that did not answer a fetch."""
        self._peer_revisions.pop(peer, None)

    def best_peer(self, now: float) -> PeerRevision | None:
        """Return a peer with the highest revision, or None if no peer is known to have a revision.

        It also returns None until `START_PEERS` peers, or all if there are fewer, have replied or
        `START_WAIT_SECONDS` have passed.

        A random peer is chosen among equals, so that VMs that start together do not all fetch
        from the same one.
        """
        min_replies = min(START_PEERS, max(1, len(self._peers)))
        if len(self._peer_revisions) < min_replies and now - self._started_at < START_WAIT_SECONDS:
            return None
        highest = max(self._peer_revisions.values(), default=0)
        if highest == 0:
            return None
        candidates = sorted(
            peer for peer, revision in self._peer_revisions.items() if revision == highest
        )
        return PeerRevision(self._random.sample(candidates, 1)[0], highest)
