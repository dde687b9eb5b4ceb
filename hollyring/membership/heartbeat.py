"""Messages between the VMs of one fleet: heartbeats, statuses and copies of the store.

VMs that serve callers send each other heartbeats; the other VMs, which follow, ask one of them for
the status of the fleet. `peer_table` says which VMs serve. ``WIRE_NAME`` and ``wire_name`` give
names on the wire that differ from the Python names; see `hollyring.node.thrift_names`. A field with
a default value is absent in messages of earlier builds.
"""

from __future__ import annotations

import dataclasses
from typing import ClassVar

from hollyring.configuration import store_revision
from hollyring.core import request_types


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
    capacity
        Processor capacity in cores.
    settles_versions
        Whether the VM begins streams that may be resumed at a software version only some time after
        it knows that version, unless it is the only one. If it isn't stated, streams may begin at
        once.
    link_bits_per_second
        Bandwidth of the VM's link, 0 if it isn't stated.
    """

    WIRE_NAME: ClassVar[str] = "Place"

    name: str
    life: int
    caller_address: str
    peer_address: str
    failure_domain: str
    region: str
    capacity: float = 1.0
    settles_versions: bool = False
    link_bits_per_second: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixRevision:
    """Revision of the latest change that a VM has received under a key prefix of the store.

    Parameters
    ----------
    age_seconds
        Seconds since which changes may be missing in the sender's copy; negative if not stated.
    """

    WIRE_NAME: ClassVar[str] = "Mark"

    prefix: str
    number: int = dataclasses.field(metadata={"wire_name": "latest"})
    era: int = store_revision.UNKNOWN_ERA
    age_seconds: float = -1.0

    @property
    def revision(self) -> store_revision.Revision:
        """The revision, perhaps of an unknown era."""
        return store_revision.Revision(self.era, self.number)


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
class PriorityLoad:
    """Unread prompt tokens of one VM's requests at an upstream, by priority class, 0 first."""

    upstream: str
    unread_tokens: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class OrganisationUsage:
    """Cost of the requests that were admitted for an organisation.

    Parameters
    ----------
    total
        What the sender admitted since its start.
    recent
        What the sender admitted within the window of the organisation's limit.
    fleet_usage
        What, as far as the sender knows, all VMs admitted within that window; -1 if unknown.
    returned
        What the sender gave back since its start, as it never ran.
    """

    WIRE_NAME: ClassVar[str] = "Spent"

    organisation: str
    total: float
    recent: float = 0.0
    fleet_usage: float = -1.0
    returned: float = 0.0


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
        Seconds since the VM sent its last order; negative if it has sent none. For earlier builds
        only: the statement of one VM doesn't show that no other one held the lease after it.
    reserved
        Upstreams that are to load new weights next and should get no long streams.
    """

    WIRE_NAME: ClassVar[str] = "Giver"

    held: bool = dataclasses.field(metadata={"wire_name": "holds"})
    last_order_age: float = dataclasses.field(metadata={"wire_name": "ordered_ago"})
    reserved: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigins:
    """Streams that began at one software version of a service's upstreams.

    Parameters
    ----------
    service
        Name of the service.
    software
        Software version of the upstreams that sent the first events.
    request_ids
        IDs of the requests that received the first events.
    """

    service: str = dataclasses.field(metadata={"wire_name": "service_name"})
    software: str
    request_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """Announcement of an upstream's incarnation that it leaves."""

    upstream: str
    life: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashedServer:
    """Incarnation of an inference server that crashed.

    Parameters
    ----------
    parts
        Hashes of the prompt parts of the requests that it broke off at the sender.
    """

    upstream: str
    life: int
    parts: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class BlamedParts:
    """Prompt parts of which one crashes inference servers.

    Parameters
    ----------
    parts
        Hashes of the parts; requests that have all of them are refused.
    servers
        Incarnations of the servers that crashed with them.
    witnesses
        Names of the VMs that saw these crashes.
    seconds
        Time for which the sender goes on refusing; negative if it does not say so.
    """

    parts: list[str]
    servers: list[str]
    witnesses: list[str]
    seconds: float = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequestLimit:
    """Limit of requests or of rejections that an incarnation of an upstream named, or its end.

    Parameters
    ----------
    per_second
        Requests per second that the upstream takes from all VMs together, or rejections for want of
        room that it stands; negative if it names no limit any more.
    age_seconds
        Time since the answer that the sender learnt it from.
    """

    upstream: str
    life: int
    per_second: float
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseRoute:
    """Answers of a release's baseline and target on one route, as counted by one VM.

    Parameters
    ----------
    baseline_answers, baseline_failed, baseline_slow
        Answers of the baseline, those that failed, and those that were slow.
    target_answers
        Answers of the target.
    """

    route: str
    baseline_answers: int = 0
    baseline_failed: int = 0
    baseline_slow: int = 0
    target_answers: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseFaults:
    """Bad answers of one of a target's upstreams on one route, as counted by one VM."""

    route: str
    upstream: str
    failed: int = 0
    slow: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseReport:
    """What one VM has counted of a release since its order.

    Parameters
    ----------
    service
        Name of the service.
    order_id
        Which order.
    requests, exposed
        Requests that this VM sent to the service, and those of them sent to the target.
    routes
        Answers by route.
    faults
        Bad answers of the target.
    """

    service: str = dataclasses.field(metadata={"wire_name": "service_name"})
    order_id: str
    requests: int = 0
    exposed: int = 0
    routes: list[ReleaseRoute] = dataclasses.field(default_factory=list)
    faults: list[ReleaseFaults] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Status of a VM, sent to every serving VM several times a second.

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
    leaving
        Whether the sender is shutting down.
    exchanging
        Whether the sender serves callers or still has requests, so that it needs the heartbeats of
        the others.
    requests_per_second
        Recent rate of callers' requests at the sender.
    stream_origins
        Streams that began at the sender since the previous heartbeat, while upstreams of several
        software versions serve.
    departures
        Upstreams that announced that they leave: those that the sender learnt of since the previous
        heartbeat and, at times, all others that it still has.
    crashes
        Servers that crashed as the sender saw it, new ones and, at times, all of the last seconds.
    sound_parts
        Hashes of prompt parts of which an answer ended whole though they were suspected.
    blamed_parts
        Prompt parts that the sender began to refuse and, at times, all that it refuses.
    request_limits
        Limits that upstreams began to name, changed or ended since the previous heartbeat and, at
        times, all that the sender knows.
    unreachable_services
        Services whose upstreams take no new connection of the sender.
    accepts_forwarded
        Whether the sender executes requests that other VMs forward.
    rejection_limits
        The same of the rejections for want of room that upstreams stand.
    answered_requests
        Hashes of requests of which the sender got whole answers some time before servers crashed
        that also had them.
    copies_age_seconds
        Seconds since which changes may be missing in the sender's copies that decide about
        requests; negative if not stated.
    releases
        What the sender has counted of releases since their orders; sums that only grow.
    priority_loads
        Unread tokens of the upstreams in `loads` that have some of less urgent requests; those of
        the others may all be of the most urgent ones.
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
    leaving: bool = False
    exchanging: bool = True
    requests_per_second: float = 0.0
    stream_origins: list[StreamOrigins] = dataclasses.field(default_factory=list)
    departures: list[Departure] = dataclasses.field(default_factory=list)
    crashes: list[CrashedServer] = dataclasses.field(default_factory=list)
    sound_parts: list[str] = dataclasses.field(default_factory=list)
    blamed_parts: list[BlamedParts] = dataclasses.field(default_factory=list)
    request_limits: list[UpstreamRequestLimit] = dataclasses.field(default_factory=list)
    unreachable_services: list[str] = dataclasses.field(default_factory=list)
    accepts_forwarded: bool = False
    rejection_limits: list[UpstreamRequestLimit] = dataclasses.field(default_factory=list)
    answered_requests: list[str] = dataclasses.field(default_factory=list)
    copies_age_seconds: float = -1.0
    releases: list[ReleaseReport] = dataclasses.field(default_factory=list)
    priority_loads: list[PriorityLoad] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """Request for the status of the fleet, of a VM that does not ask the store itself.

    Parameters
    ----------
    begun
        Streams that began at the sender, which follows, since it told a serving VM last, as far as
        the versions that serve may not show where they began.
    sought
        IDs of the requests whose streams callers take up at the sender, which does not know where
        they began.
    """

    sender: str
    begun: list[StreamOrigins] = dataclasses.field(default_factory=list)
    sought: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetStatus:
    """Status of the fleet as a serving VM sees it.

    Parameters
    ----------
    serving
        Whether the sender serves. Otherwise it follows too, and its view must not be used, lest VMs
        that follow confirm each other's outdated views.
    serving_vms
        Number of VMs that are to serve.
    unavailable
        Names of VMs that rank high enough to serve but are silent or leaving.
    revisions, wanted_versions
        As in the sender's heartbeats; the revisions with their ages.
    blamed_parts
        All prompt parts that the sender refuses.
    request_limits
        All request limits of upstreams that the sender knows.
    reaching_vms
        Names of some serving VMs that execute forwarded requests and reach all services.
    rejection_limits
        All limits of rejections that the sender knows.
    stream_origins
        Where the streams that were sought began, as far as the sender knows. Of those left out
        nothing is said.
    wants_origins
        Whether the sender is to be told where all streams begin at a VM that follows, as the store
        does not answer some VM. If it isn't, the receiver decides that by what it knows itself.
    """

    serving: bool
    serving_vms: int
    unavailable: list[str]
    revisions: list[PrefixRevision]
    wanted_versions: list[WantedVersionAge]
    blamed_parts: list[BlamedParts] = dataclasses.field(default_factory=list)
    request_limits: list[UpstreamRequestLimit] = dataclasses.field(default_factory=list)
    reaching_vms: list[str] = dataclasses.field(default_factory=list)
    rejection_limits: list[UpstreamRequestLimit] = dataclasses.field(default_factory=list)
    stream_origins: list[StreamOrigins] = dataclasses.field(default_factory=list)
    wants_origins: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CopyRequest:
    """Request for the changes of the keys under a store prefix after a revision of an era.

    Parameters
    ----------
    store_answers
        Whether the sender reaches the store, so that it can fetch many bytes from there.
    """

    prefix: str
    after: int = 0
    era: int = store_revision.UNKNOWN_ERA
    store_answers: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CopyItem:
    """Key, value and revision of one item of a `Copy`."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class CopyRemoval:
    """A removed key and the revision that removed it."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """A VM's copy of the keys under a store prefix, or of the changes after a revision.

    Parameters
    ----------
    revision
        Revision of the newest change in the sender's copy.
    items
        All items or, in a partial copy, those changed after the requested revision.
    complete_revision
        Revision up to which the sender has every change; 0 if it does not know.
    removed
        Keys removed after the requested revision, of a partial copy.
    partial
        Whether only the changes after the requested revision are included.
    era
        Era of all revisions of the copy.
    deferred
        Whether nothing is included, as it is long and the receiver reaches the store.
    age_seconds
        Seconds since which changes may be missing in the sender's copy; negative if not stated.
    """

    prefix: str
    revision: int = dataclasses.field(metadata={"wire_name": "latest"})
    items: list[CopyItem]
    complete_revision: int = 0
    removed: list[CopyRemoval] = dataclasses.field(default_factory=list)
    partial: bool = False
    era: int = store_revision.UNKNOWN_ERA
    deferred: bool = False
    age_seconds: float = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """Request for a permit to send one request to an upstream that named a limit.

    Parameters
    ----------
    per_second
        The request limit as the sender knows it, for a receiver that does not know it yet.
    urgent
        Whether the permit may be taken in advance.
    limited
        Whether the upstream named a request limit; if not, `per_second` is for earlier builds only.
    rejections_per_second
        Rejections for want of room that the upstream stands, as the sender knows it; negative if
        the request takes no place there.
    place
        Name of the place that the request takes, given by the sender.
    seconds
        Longest time for which it takes the place.
    """

    upstream: str
    life: int
    per_second: float
    urgent: bool = False
    limited: bool = True
    rejections_per_second: float = -1.0
    place: str = ""
    seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReply:
    """Whether a request may be sent; if not, seconds after which to ask again.

    Parameters
    ----------
    doubtful
        Whether the upstream may reject it for want of room, so that its issuer waits for a report.
    """

    granted: bool
    retry_after: float = 0.0
    doubtful: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceReport:
    """What became of a request that took a place at an upstream.

    Parameters
    ----------
    outcome
        Value of `hollyring.limits.upstream_places.Outcome`.
    """

    upstream: str
    life: int
    place: str
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class CacheRequest:
    """Request of a VM that begins to serve, for the contents of some prompt caches."""

    holders: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class CacheContents:
    """Contents of the requested prompt caches that the sender knows, each as one report."""

    reports: list[CacheReport]
