"""What VMs tell each other several times a second, and whom a caller is sent to.

A VM counts as alive while its pulses come. The store's list of VMs only tells where to send
pulses, so that VMs go on knowing each other while the store is away or forgets them.
"""

from __future__ import annotations

import dataclasses

from hollyring.core import request_types

ALIVE_SECONDS = 1.2
"""A VM whose last pulse is older is not offered to callers."""

FORGET_SECONDS = 60.0
"""A VM that was silent for so long and is not on the store's list gets no more pulses."""

KEEP_SECONDS = 2.0
"""How long a caller keeps an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a VM is found.

    Parameters
    ----------
    name
        The VM's name.
    life
        Number that tells this start from others.
    caller_address, peer_address
        Where callers and other VMs connect.
    failure_domain, region
        Where it runs.
    """

    name: str
    life: int
    caller_address: str
    peer_address: str
    failure_domain: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """The newest change that a VM knows under a prefix of the store."""

    prefix: str
    latest: int


@dataclasses.dataclass(frozen=True, slots=True)
class Named:
    """For how many seconds a VM has known that a version of a model's weights is wanted."""

    model: str
    version: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What a VM has at an upstream.

    Parameters
    ----------
    requests
        Requests that are not over.
    long_answers
        Those of them whose answers are long.
    unread_tokens
        Prompt tokens that the upstream has yet to read for them.
    reading
        Prompt tokens a second that it was lately given to read.
    """

    upstream: str
    requests: int
    long_answers: int
    unread_tokens: int
    reading: int


@dataclasses.dataclass(frozen=True, slots=True)
class Spent:
    """What a VM admitted for an organisation since its start."""

    organisation: str
    total: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """A prompt whose parts an upstream holds now, and the store that they were saved to."""

    upstream: str
    salt: str
    parts: list[request_types.Part]
    store: str


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """How many tokens of a part a holder holds now, 0 for none."""

    salt: str
    part: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheNews:
    """What a holder of prompts took up and dropped.

    Parameters
    ----------
    holder
        An upstream's name, or a cache store's address.
    reachable
        Whether it answered.
    reset
        Whether it holds nothing of before, as it started again.
    changes
        The parts that changed, in order.
    """

    holder: str
    reachable: bool
    reset: bool
    changes: list[Held]


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """What the VM that gives orders knows of an upstream's weights."""

    upstream: str
    model: str
    version: int
    loading: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Giver:
    """What a VM says of itself as the giver of orders to upstreams.

    Parameters
    ----------
    holds
        Whether it may give orders.
    ordered_ago
        Seconds since it gave its last order; negative if it gave none.
    reserved
        Upstreams that are next to take new weights: long streams should go elsewhere.
    """

    holds: bool
    ordered_ago: float
    reserved: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Pulse:
    """One VM's news since its last pulse, and its totals.

    Parameters
    ----------
    place
        The sender.
    ready
        Whether callers may be sent to it.
    store_reached
        Whether the store answered its last call.
    marks, named, loads, spent
        Totals.
    readings, caches, weights, doubts
        News; `doubts` names upstreams that did not answer.
    orders
        What the sender says of itself as a giver of orders.
    """

    place: Place
    ready: bool
    store_reached: bool
    marks: list[Mark]
    named: list[Named]
    loads: list[Load]
    spent: list[Spent]
    readings: list[Reading]
    caches: list[CacheNews]
    weights: list[Weights]
    doubts: list[str]
    orders: Giver


@dataclasses.dataclass(frozen=True, slots=True)
class CopyRequest:
    """Asks another VM for its copy of the keys under a prefix."""

    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class CopyItem:
    """A key of a copy."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """A VM's copy of the keys under a prefix, up to the change `latest`."""

    prefix: str
    latest: int
    items: list[CopyItem]


@dataclasses.dataclass(slots=True)
class Peer:
    """Another VM as this one sees it."""

    place: Place
    heard_at: float
    ready: bool = False
    store_reached: bool = True
    listed: bool = False
    holds_orders: bool = True
    ordered_at: float | None = None
    marks: dict[str, int] = dataclasses.field(default_factory=dict)


class Peers:
    """The other VMs.

    Parameters
    ----------
    me
        This VM.
    """

    __slots__ = ("_me", "_peers")

    def __init__(self, me: Place) -> None:
        self._me = me
        self._peers: dict[str, Peer] = {}

    @property
    def known(self) -> dict[str, Peer]:
        """The other VMs by name."""
        return self._peers

    def listed(self, places: list[Place], now: float) -> None:
        """Take in the store's list of VMs."""
        names = {place.name for place in places}
        for place in places:
            if place.name == self._me.name:
                continue
            known = self._peers.get(place.name)
            if known is None:
                known = self._peers[place.name] = Peer(place, heard_at=now - ALIVE_SECONDS)
            elif known.place.life != place.life and now - known.heard_at > ALIVE_SECONDS:
                known.place = place
        for peer in self._peers.values():
            peer.listed = peer.place.name in names

    def hear(self, pulse: Pulse, now: float) -> Peer | None:
        """Take in a pulse; return the peer if it is new or started again."""
        place = pulse.place
        if place.name == self._me.name:
            return None
        known = self._peers.get(place.name)
        news = known is None or known.place.life != place.life or not self._alive(known, now)
        if known is None:
            known = self._peers[place.name] = Peer(place, now)
        known.place = place
        known.heard_at = now
        known.ready = pulse.ready
        known.store_reached = pulse.store_reached
        known.holds_orders = pulse.orders.holds
        ago = pulse.orders.ordered_ago
        known.ordered_at = now - ago if ago >= 0 else None
        known.marks = {mark.prefix: mark.latest for mark in pulse.marks}
        return known if news else None

    def forget_silent(self, now: float) -> list[str]:
        """Drop VMs that are neither heard nor listed; return their names."""
        gone = [
            name
            for name, peer in self._peers.items()
            if not peer.listed and now - peer.heard_at > FORGET_SECONDS
        ]
        for name in gone:
            del self._peers[name]
        return gone

    def alive(self, now: float) -> list[Peer]:
        """Return the VMs whose pulses come."""
        return [peer for peer in self._peers.values() if self._alive(peer, now)]

    def heard_part(self, now: float) -> float:
        """Return which part of the listed or living VMs is heard, this one included."""
        counted = [p for p in self._peers.values() if p.listed or self._alive(p, now)]
        heard = sum(self._alive(peer, now) for peer in counted)
        return (heard + 1) / (len(counted) + 1)

    def caller_addresses(self, self_ready: bool, now: float, most: int) -> list[str]:
        """Return the addresses that a caller should use, this VM's among them."""
        found = [self._me.caller_address] if self_ready else []
        found += [peer.place.caller_address for peer in self.alive(now) if peer.ready]
        return found[:most]

    def ahead(self, prefix: str, latest: int, now: float) -> Peer | None:
        """Return a living VM that knows a newer change under `prefix`."""
        ahead = [peer for peer in self.alive(now) if peer.marks.get(prefix, 0) > latest]
        return max(ahead, key=lambda peer: peer.marks[prefix], default=None)

    def first(self, now: float) -> str:
        """Return the least name among this and the living ready VMs."""
        return min([self._me.name, *(p.place.name for p in self.alive(now) if p.ready)])

    def _alive(self, peer: Peer, now: float) -> bool:
        return now - peer.heard_at < ALIVE_SECONDS
