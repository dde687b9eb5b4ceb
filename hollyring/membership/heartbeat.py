"""What VMs tell each other several times a second, and whom a caller is sent to.

A VM counts as alive while its pulses come. The store's list of VMs only tells where to send
pulses, so that VMs go on knowing each other while the store is away or forgets them.
"""

from __future__ import annotations

import dataclasses
from typing import ClassVar

from hollyring.core import asks

ALIVE_TIMEOUT_SECONDS = 1.2
"""A VM whose last pulse is older is not offered to callers."""

REMOVE_AFTER_SECONDS = 60.0
"""A VM that was silent for so long and is not on the store's list gets no more pulses."""

ADDRESS_LIST_TTL_SECONDS = 2.0
"""How long a caller keeps an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class VmInfo:
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

    WIRE_NAME: ClassVar[str] = "Place"

    name: str
    life: int
    caller_address: str
    peer_address: str
    failure_domain: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixRevision:
    """The newest change that a VM knows under a prefix of the store."""

    WIRE_NAME: ClassVar[str] = "Mark"

    prefix: str
    revision: int = dataclasses.field(metadata={"wire_name": "latest"})


@dataclasses.dataclass(frozen=True, slots=True)
class WantedVersionAge:
    """For how many seconds a VM has known that a version of a model's weights is wanted."""

    WIRE_NAME: ClassVar[str] = "Named"

    model: str
    version: int
    age_seconds: float = dataclasses.field(metadata={"wire_name": "seconds"})


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
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

    WIRE_NAME: ClassVar[str] = "Load"

    upstream: str
    requests: int
    long_answers: int
    unread_tokens: int
    prompt_tokens_per_second: int = dataclasses.field(metadata={"wire_name": "reading"})


@dataclasses.dataclass(frozen=True, slots=True)
class OrganisationUsage:
    """What a VM admitted for an organisation since its start."""

    WIRE_NAME: ClassVar[str] = "Spent"

    organisation: str
    total: float


@dataclasses.dataclass(frozen=True, slots=True)
class CachedPrompt:
    """A prompt whose parts an upstream holds now, and the store that they were saved to."""

    WIRE_NAME: ClassVar[str] = "Reading"

    upstream: str
    salt: str
    parts: list[asks.Part]
    store: str


@dataclasses.dataclass(frozen=True, slots=True)
class CachedPart:
    """How many tokens of a part a holder holds now, 0 for none."""

    WIRE_NAME: ClassVar[str] = "Held"

    salt: str
    part: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheReport:
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

    WIRE_NAME: ClassVar[str] = "CacheNews"

    holder: str
    reachable: bool
    reset: bool
    changes: list[CachedPart]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamWeights:
    """What the VM that gives orders knows of an upstream's weights."""

    WIRE_NAME: ClassVar[str] = "Weights"

    upstream: str
    model: str
    version: int
    loading: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OrderLeaseStatus:
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

    WIRE_NAME: ClassVar[str] = "Giver"

    held: bool = dataclasses.field(metadata={"wire_name": "holds"})
    last_order_age: float = dataclasses.field(metadata={"wire_name": "ordered_ago"})
    reserved: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
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

    WIRE_NAME: ClassVar[str] = "Pulse"

    vm: VmInfo = dataclasses.field(metadata={"wire_name": "place"})
    ready: bool
    store_reached: bool
    revisions: list[PrefixRevision] = dataclasses.field(metadata={"wire_name": "marks"})
    wanted_versions: list[WantedVersionAge] = dataclasses.field(metadata={"wire_name": "named"})
    loads: list[UpstreamLoad]
    usage: list[OrganisationUsage] = dataclasses.field(metadata={"wire_name": "spent"})
    cached_prompts: list[CachedPrompt] = dataclasses.field(metadata={"wire_name": "readings"})
    cache_reports: list[CacheReport] = dataclasses.field(metadata={"wire_name": "caches"})
    weights: list[UpstreamWeights]
    unresponsive_upstreams: list[str] = dataclasses.field(metadata={"wire_name": "doubts"})
    order_lease: OrderLeaseStatus = dataclasses.field(metadata={"wire_name": "orders"})


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
    revision: int = dataclasses.field(metadata={"wire_name": "latest"})
    items: list[CopyItem]


@dataclasses.dataclass(slots=True)
class Peer:
    """Another VM as this one sees it."""

    vm: VmInfo
    last_heartbeat_at: float
    ready: bool = False
    store_reached: bool = True
    listed: bool = False
    holds_order_lease: bool = True
    last_order_at: float | None = None
    revisions: dict[str, int] = dataclasses.field(default_factory=dict)


class Peers:
    """The other VMs.

    Parameters
    ----------
    me
        This VM.
    """

    __slots__ = ("_local", "_peers")

    def __init__(self, local: VmInfo) -> None:
        self._local = local
        self._peers: dict[str, Peer] = {}

    @property
    def by_name(self) -> dict[str, Peer]:
        """The other VMs by name."""
        return self._peers

    def update_listed(self, vms: list[VmInfo], now: float) -> None:
        """Take in the store's list of VMs."""
        names = {vm.name for vm in vms}
        for vm in vms:
            if vm.name == self._local.name:
                continue
            known = self._peers.get(vm.name)
            if known is None:
                known = self._peers[vm.name] = Peer(
                    vm, last_heartbeat_at=now - ALIVE_TIMEOUT_SECONDS
                )
            elif known.vm.life != vm.life and now - known.last_heartbeat_at > ALIVE_TIMEOUT_SECONDS:
                known.vm = vm
        for peer in self._peers.values():
            peer.listed = peer.vm.name in names

    def receive(self, heartbeat: Heartbeat, now: float) -> Peer | None:
        """Take in a pulse; return the peer if it is new or started again."""
        vm = heartbeat.vm
        if vm.name == self._local.name:
            return None
        peer = self._peers.get(vm.name)
        is_new = peer is None or peer.vm.life != vm.life or not self._is_alive(peer, now)
        if peer is None:
            peer = self._peers[vm.name] = Peer(vm, now)
        peer.vm = vm
        peer.last_heartbeat_at = now
        peer.ready = heartbeat.ready
        peer.store_reached = heartbeat.store_reached
        peer.holds_order_lease = heartbeat.order_lease.held
        age = heartbeat.order_lease.last_order_age
        peer.last_order_at = now - age if age >= 0 else None
        peer.revisions = {item.prefix: item.revision for item in heartbeat.revisions}
        return peer if is_new else None

    def remove_silent(self, now: float) -> list[str]:
        """Drop VMs that are neither heard nor listed; return their names."""
        silent = [
            name
            for name, peer in self._peers.items()
            if not peer.listed and now - peer.last_heartbeat_at > REMOVE_AFTER_SECONDS
        ]
        for name in silent:
            del self._peers[name]
        return silent

    def alive(self, now: float) -> list[Peer]:
        """Return the VMs whose pulses come."""
        return [peer for peer in self._peers.values() if self._is_alive(peer, now)]

    def alive_fraction(self, now: float) -> float:
        """Return which part of the listed or living VMs is heard, this one included."""
        expected = [p for p in self._peers.values() if p.listed or self._is_alive(p, now)]
        alive_count = sum(self._is_alive(peer, now) for peer in expected)
        return (alive_count + 1) / (len(expected) + 1)

    def caller_addresses(self, self_ready: bool, now: float, limit: int) -> list[str]:
        """Return the addresses that a caller should use, this VM's among them."""
        addresses = [self._local.caller_address] if self_ready else []
        addresses += [peer.vm.caller_address for peer in self.alive(now) if peer.ready]
        return addresses[:limit]

    def peer_ahead(self, prefix: str, revision: int, now: float) -> Peer | None:
        """Return a living VM that knows a newer change under `prefix`."""
        candidates = [peer for peer in self.alive(now) if peer.revisions.get(prefix, 0) > revision]
        return max(candidates, key=lambda peer: peer.revisions[prefix], default=None)

    def lowest_name(self, now: float) -> str:
        """Return the least name among this and the living ready VMs."""
        return min([self._local.name, *(p.vm.name for p in self.alive(now) if p.ready)])

    def _is_alive(self, peer: Peer, now: float) -> bool:
        return now - peer.last_heartbeat_at < ALIVE_TIMEOUT_SECONDS
