"""Which peers a VM talks to about the configuration."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from hollyring.configuration import seeded_random

TICK_PEERS = 1
"""Peers asked for their revision at each tick."""

START_PEERS = 5
"""Peers whose revisions a starting VM compares, and that a quiet one asks at each tick."""

START_WAIT_SECONDS = 1.0
"""Longest wait of a starting VM for more peers to answer."""

PUSH_PEERS = 2
"""Peers told of a new revision as soon as it is in force."""

PUSH_INTERVAL_SECONDS = 0.25
"""Shortest time between two rounds of telling peers at once."""

_MAX_RECENT_SENDERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRevision:
    """A peer and the revision that it has."""

    peer: str
    revision: int


class Gossip:
    """Draws the peers to talk to and remembers what they offered.

    The messages of a tick and of a new revision are bounded whatever the size of the fleet.
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
        """Take the present peers and new randomness."""
        self._peers, self._random = peers, seeded_random.SeededRandom(seed)

    def record_sender(self, sender: str) -> None:
        """Take that a peer spoke."""
        if sender not in self._recent_senders:
            self._recent_senders = [*self._recent_senders[1 - _MAX_RECENT_SENDERS :], sender]

    def digest_peers(self, starting: bool, quiet: bool) -> list[str]:
        """Return the peers to ask for their revision now.

        A quiet VM may be cut off from most: it asks more, and those it heard last.
        """
        chosen = self._random.sample(self._peers, START_PEERS if starting or quiet else TICK_PEERS)
        if not quiet:
            return chosen
        return sorted({*chosen, *self._recent_senders} & set(self._peers))

    def push_peers(self, now: float) -> list[str]:
        """Return the peers to tell of a new revision, none if some were told just now."""
        if now - self._pushed_at < PUSH_INTERVAL_SECONDS:
            return []
        self._pushed_at = now
        return self._random.sample(self._peers, PUSH_PEERS)

    def record_revision(self, peer: str, revision: int) -> None:
        """Take the revision that a peer has."""
        self._peer_revisions[peer] = revision

    def discard_revision(self, peer: str) -> None:
        """Forget the offer of a peer that did not keep it."""
        self._peer_revisions.pop(peer, None)

    def best_peer(self, now: float) -> PeerRevision | None:
        """Return a highest offer, None while more should be waited for or there is none.

        One of several equal offers is drawn, so that a herd does not ask the same peer.
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
