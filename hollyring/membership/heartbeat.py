"""All-to-all heartbeats between VMs, and the peer table that is derived from them.

A VM counts as alive while its heartbeats arrive. The store's list of VMs only provides the
addresses that heartbeats are sent to and keeps silent VMs in the table, so that VMs still detect
each other's failures while the store is unreachable or has lost their records. ``WIRE_NAME`` and
``wire_name`` give names on the wire that differ from the Python names; see
`hollyring.node.thrift_names`.
"""

from __future__ import annotations

import dataclasses
from typing import ClassVar

from hollyring.core import request_types

ALIVE_TIMEOUT_SECONDS = 1.2
"""A VM whose last heartbeat is older does not count as alive, and callers are not sent to it."""

REMOVE_AFTER_SECONDS = 60.0
"""Silence after which a VM that is not on the store's list is removed from the peer table.

A removed VM is sent no more heartbeats.
"""

ADDRESS_LIST_TTL_SECONDS = 2.0
"""Time for which a caller may cache a list of addresses."""


@dataclasses.dataclass(frozen=True, slots=True)
class VmInfo:
    """Name, incarnation, addresses and location of a VM.

    The JSON form of these fields is the VM's record in the store.

    Parameters
    ----------
    name
        Name of the VM.
    life
        Incarnation number, which identifies one start of the VM.
    caller_address, peer_address
        Addresses that callers and other VMs connect to.
    failure_domain, region
        Location of the VM.
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
    """Revision of the latest change that a VM has received under a key prefix of the store."""

    WIRE_NAME: ClassVar[str] = "Mark"

    prefix: str
    revision: int = dataclasses.field(metadata={"wire_name": "latest"})


@dataclasses.dataclass(frozen=True, slots=True)
class WantedVersionAge:
    """A wanted version of a model's weights, and the seconds since a VM first received it."""

    WIRE_NAME: ClassVar[str] = "Named"

    model: str
    version: int
    age_seconds: float = dataclasses.field(metadata={"wire_name": "seconds"})


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load that one VM puts on an upstream.

    Parameters
    ----------
    upstream
        Name of the upstream.
    requests
        Requests in progress.
    long_answers
        Requests in progress whose answers are long.
    unread_tokens
        Prompt tokens of all requests in progress that the upstream has not yet processed.
    prompt_tokens_per_second
        Recent rate at which prompt tokens were sent to the upstream.
    """

    WIRE_NAME: ClassVar[str] = "Load"

    upstream: str
    requests: int
    long_answers: int
    unread_tokens: int
    prompt_tokens_per_second: int = dataclasses.field(metadata={"wire_name": "reading"})


@dataclasses.dataclass(frozen=True, slots=True)
class OrganisationUsage:
    """Total cost of the requests that a VM has admitted for an organisation since its start."""

    WIRE_NAME: ClassVar[str] = "Spent"

    organisation: str
    total: float


@dataclasses.dataclass(frozen=True, slots=True)
class CachedPrompt:
    """A prompt that an upstream has processed and whose parts it now caches.

    Parameters
    ----------
    upstream
        Name of the upstream.
    salt
        Salt of the cache keys.
    parts
        Parts of the prompt, in order.
    store
        Address of the cache store that the parts were saved to, or empty.
    """

    WIRE_NAME: ClassVar[str] = "Reading"

    upstream: str
    salt: str
    parts: list[request_types.Part]
    store: str


@dataclasses.dataclass(frozen=True, slots=True)
class CachedPart:
    """Number of tokens of a prompt part that a cache holds; 0 if the part was evicted."""

    WIRE_NAME: ClassVar[str] = "Held"

    salt: str
    part: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheReport:
    """Changes to the content of one prompt cache.

    Parameters
    ----------
    holder
        Name of an upstream, or address of a cache store.
    reachable
        Whether the holder answered.
    reset
        Whether the holder restarted and lost all earlier content.
    changes
        Parts that were added or evicted, in order.
    """

    WIRE_NAME: ClassVar[str] = "CacheNews"

    holder: str
    reachable: bool
    reset: bool
    changes: list[CachedPart]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamWeights:
    """State of an upstream's model weights, as sent by the holder of the order lease."""

    WIRE_NAME: ClassVar[str] = "Weights"

    upstream: str
    model: str
    version: int
    loading: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OrderLeaseStatus:
    """State of a VM with regard to the order lease.

    Only the VM that holds this lease sends orders to upstreams, e.g. to load other weights.

    Parameters
    ----------
    held
        Whether the VM holds the lease and may send orders.
    last_order_age
        Seconds since the VM sent its last order; negative if it has sent none.
    reserved
        Upstreams that are to load new weights next and should get no long streams.
    """

    WIRE_NAME: ClassVar[str] = "Giver"

    held: bool = dataclasses.field(metadata={"wire_name": "holds"})
    last_order_age: float = dataclasses.field(metadata={"wire_name": "ordered_ago"})
    reserved: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Status of a VM, sent to every other VM several times a second.

    Parameters
    ----------
    vm
        Sender of the heartbeat.
    ready
        Whether the sender accepts new callers.
    store_reached
        Whether the store answered the sender's last call.
    revisions, wanted_versions, loads, usage
        Current state, sent in full each time.
    cached_prompts, cache_reports, weights, unresponsive_upstreams
        Events since the previous heartbeat; `unresponsive_upstreams` are names of upstreams that
        did not answer.
    order_lease
        State of the sender with regard to the order lease.
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
    """Request for another VM's copy of the keys under a store prefix."""

    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class CopyItem:
    """Key, value and revision of one item of a `Copy`."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """A VM's copy of the keys under a store prefix, whose newest change is `revision`."""

    prefix: str
    revision: int = dataclasses.field(metadata={"wire_name": "latest"})
    items: list[CopyItem]


@dataclasses.dataclass(slots=True)
class Peer:
    """State of another VM, from its heartbeats and the store's list.

    Parameters
    ----------
    vm
        Name, incarnation, addresses and location.
    last_heartbeat_at
        Monotonic seconds at which its last heartbeat arrived. For a listed VM without heartbeats,
        `ALIVE_TIMEOUT_SECONDS` before it was first listed, so that it does not count as alive.
    ready, store_reached, holds_order_lease, revisions
        Copied from its last heartbeat; until the first one, the VM counts as not ready and as
        holding the order lease.
    listed
        Whether the VM is on the store's list.
    last_order_at
        Monotonic seconds at which it sent its last order, or None.
    """

    vm: VmInfo
    last_heartbeat_at: float
    ready: bool = False
    store_reached: bool = True
    listed: bool = False
    holds_order_lease: bool = True
    last_order_at: float | None = None
    revisions: dict[str, int] = dataclasses.field(default_factory=dict)


class Peers:
    """Table of the other VMs.

    Parameters
    ----------
    local
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
        """Update the table from the store's list of VMs."""
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
        """Process a heartbeat; return the sender if it is new, restarted, or was not alive."""
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
        """Remove VMs that are silent and not on the store's list; return their names."""
        silent = [
            name
            for name, peer in self._peers.items()
            if not peer.listed and now - peer.last_heartbeat_at > REMOVE_AFTER_SECONDS
        ]
        for name in silent:
            del self._peers[name]
        return silent

    def alive(self, now: float) -> list[Peer]:
        """Return the VMs whose last heartbeat is recent enough."""
        return [peer for peer in self._peers.values() if self._is_alive(peer, now)]

    def alive_fraction(self, now: float) -> float:
        """Return the fraction of listed or alive VMs that are alive, this one included."""
        expected = [p for p in self._peers.values() if p.listed or self._is_alive(p, now)]
        alive_count = sum(self._is_alive(peer, now) for peer in expected)
        return (alive_count + 1) / (len(expected) + 1)

    def caller_addresses(self, self_ready: bool, now: float, limit: int) -> list[str]:
        """Return at most `limit` addresses of ready VMs, this VM's first if it is ready."""
        addresses = [self._local.caller_address] if self_ready else []
        addresses += [peer.vm.caller_address for peer in self.alive(now) if peer.ready]
        return addresses[:limit]

    def peer_ahead(self, prefix: str, revision: int, now: float) -> Peer | None:
        """Return the alive VM with the highest revision of `prefix` above `revision`, or None."""
        candidates = [peer for peer in self.alive(now) if peer.revisions.get(prefix, 0) > revision]
        return max(candidates, key=lambda peer: peer.revisions[prefix], default=None)

    def lowest_name(self, now: float) -> str:
        """Return the lowest name among this VM and the alive, ready ones."""
        return min([self._local.name, *(p.vm.name for p in self.alive(now) if p.ready)])

    def _is_alive(self, peer: Peer, now: float) -> bool:
        return now - peer.last_heartbeat_at < ALIVE_TIMEOUT_SECONDS
