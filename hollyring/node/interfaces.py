"""Interfaces that an adapter implements: the store, and codecs for stored values and upstreams.

The types here do not depend on a platform; an adapter converts them to its calls and formats.
"""

from __future__ import annotations

import dataclasses
import enum
import typing
from collections.abc import Callable, Mapping, Sequence

from hollyring.configuration import deployment, mirror, store_revision
from hollyring.core import request_types
from hollyring.fleet import messages as fleet
from hollyring.membership import heartbeat
from hollyring.node import errors, exchanges
from hollyring.releases import messages as releases
from hollyring.routing import registry, software_versions


class StoreError(errors.VmError):
    """The store gave no valid response; a write may have taken effect or may still do so."""


class StoreRefusedError(StoreError):
    """The store answered that it does not do what it was asked, as after too many calls."""


class StoreNotAskedError(StoreError):
    """The store was not asked, as this VM lacked something of its own for that."""


class HistoryCompactedError(StoreError):
    """The store no longer has the changes after the requested revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All items under a prefix, each as of `revision` or later."""

    items: list[mirror.Item]
    revision: store_revision.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes under a prefix up to and including `revision`."""

    changes: list[mirror.Change]
    revision: store_revision.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease that the store granted in an era; in the next, its number may be given out again."""

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"

    @classmethod
    def parse(cls, text: str) -> Lease:
        """Return the lease that `text`, a string of a lease, identifies."""
        era, _, number = text.partition(".")
        return cls(int(era), int(number))


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A value to write, attached to a lease if there is one."""

    key: str
    value: bytes
    lease: Lease | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The write was committed at `revision`."""

    revision: store_revision.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A key did not have the expected revision; nothing was written."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseExpired:
    """The lease has expired, was revoked or is of an earlier era.

    Nothing was written or, if the store began a new era meanwhile, perhaps under another's lease.
    """


CommitOutcome = Committed | Conflict | LeaseExpired


class Store(typing.Protocol):
    """Key-value store with compare-and-swap, watches and leases.

    Every call raises `StoreError` if it fails.
    """

    def set_era_listener(self, listener: Callable[[int], None]) -> None:
        """Call `listener` with the era of each answer, before the answer is returned."""

    async def get(self, key: str) -> mirror.Item | None:
        """Return the item of a key, or None if the key does not exist."""

    async def list(self, prefix: str) -> Listing:
        """Return the items under a prefix."""

    async def watch(self, prefix: str, after: store_revision.Revision, seconds: float) -> Changes:
        """Return the changes after revision `after`, waiting up to `seconds` for the first.

        Raises
        ------
        HistoryCompactedError
            If the store no longer has them all.
        """

    async def commit(
        self, expected: Mapping[str, store_revision.Revision], puts: Sequence[Put]
    ) -> CommitOutcome:
        """Write `puts` if each key has its expected revision, `NONE` for an absent key."""

    async def grant(self, seconds: float) -> Lease:
        """Grant a lease of `seconds`."""

    async def renew(self, lease: Lease) -> bool:
        """Renew a lease; return False if it has expired or is of an earlier era."""

    async def revoke(self, lease: Lease) -> bool:
        """Revoke a lease, which removes the keys attached to it, unless it is of an earlier era.

        Returns
        -------
        bool
            Whether it had not ended before.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class StoreKeys:
    """Prefixes and keys in the store.

    Parameters
    ----------
    operator
        Prefix of the configuration and the wanted versions of weights.
    upstreams
        Prefix of the records that upstreams register.
    vms
        Prefix of the records that VMs register, attached to leases, and of the two keys below.
    orders_lease
        Key of the lease whose holder sends orders to upstreams.
    software
        Key of the record of the upstreams' software versions, which has no lease.
    releases
        Prefix, below that of the VMs, of the states of releases by service, which have no lease.
    """

    operator: str
    upstreams: str
    vms: str
    orders_lease: str
    software: str
    releases: str


@dataclasses.dataclass(frozen=True, slots=True)
class WantedVersion:
    """Version of a model's weights that the operator wants, and the store revision that sets it."""

    model: str
    version: int
    revision: int


class StoreCodec(typing.Protocol):
    """Decodes and encodes stored values; a value that cannot be decoded gives None."""

    def decode_deployment(self, item: mirror.Item) -> deployment.Deployment | None:
        """Return the configuration in `item`, None if it is not one."""

    def decode_wanted_version(self, item: mirror.Item) -> WantedVersion | None:
        """Return the wanted version in `item`, None if it is not one."""

    def decode_release_order(self, item: mirror.Item) -> releases.ReleaseOrder | None:
        """Return the order of a release in `item`, None if it is not one."""

    def decode_upstream(self, item: mirror.Item) -> registry.Entry | None:
        """Return the record that an upstream has registered."""

    def decode_vm(self, item: mirror.Item) -> heartbeat.VmInfo | None:
        """Return the record that a VM has registered."""

    def encode_vm(self, vm_info: heartbeat.VmInfo) -> bytes:
        """Return the record to register for a VM."""

    def decode_software(self, item: mirror.Item) -> software_versions.Record | None:
        """Return the record of the upstreams' software versions."""

    def encode_software(self, record: software_versions.Record) -> bytes:
        """Return the stored form of a record of software versions."""

    def decode_release(self, item: mirror.Item) -> releases.ReleaseState | None:
        """Return the state of a release."""

    def encode_release(self, release: releases.ReleaseState) -> bytes:
        """Return the stored form of the state of a release."""

    def encode_release_status(self, release: releases.ReleaseState) -> Put:
        """Return what the operator reads about a release."""


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingContext:
    """Data added to a request that is forwarded to an upstream.

    Parameters
    ----------
    upstream
        Instance id of the only upstream that may run the request.
    address
        ``"IP:PORT"`` of the upstream.
    remaining_seconds
        Time until the deadline.
    organisation
        Name of the organisation, empty for a route that is open to all.
    priority
        Priority; 0 is the highest.
    version
        Version of the weights that must run it; 0 for any.
    cache_salt
        Cache salt of the prompt; empty for a request without a prompt.
    fetch_from, save_to
        Addresses of the upstream or cache store to fetch prompt parts from, and of the cache store
        to save them to; empty for none.
    resume_after
        Number of the last event that the caller has received, or None.
    """

    upstream: str
    address: str
    remaining_seconds: float
    organisation: str
    priority: int
    version: int = 0
    cache_salt: str = ""
    fetch_from: str = ""
    save_to: str = ""
    resume_after: int | None = None


class RetryAfterAnomaly(enum.StrEnum):
    """Why a time that a refusal asks the VM to wait is not used as it stands."""

    NOT_POSITIVE = "zero or negative"
    DATE = "a date"
    MALFORMED = "not a number"
    TOO_LONG = "longer than the limit"


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Decoded status and headers of an upstream's response.

    Parameters
    ----------
    headers
        Headers to forward to the caller.
    authentic
        Whether the response carries the upstream's signature.
    not_run
        Whether the upstream states that it did not run the request.
    misdirected
        Whether the request reached another upstream or other weights than intended.
    upstream
        Instance id of the upstream that responded, empty if not stated.
    version
        Version of its weights, 0 if not stated.
    retry_after_seconds
        Time for which the upstream, which refused the request, wants nothing more from this VM; 0
        if it does not say so.
    retry_after_anomaly
        Why a time that the response states is not in `retry_after_seconds`, None if it is.
    leaving
        Whether the upstream that responded announces that it leaves.
    request_limit
        Requests per second that the upstream takes from all VMs together, None if it names none.
    rejection_limit
        Rejections for want of room per second, of all VMs together, beyond which the upstream
        fails; None if it names none.
    has_events
        Whether the content type is that of a stream of events.
    """

    status: int
    headers: list[request_types.Header]
    authentic: bool
    not_run: bool
    misdirected: bool
    upstream: str
    version: int
    retry_after_seconds: float = 0.0
    retry_after_anomaly: RetryAfterAnomaly | None = None
    leaving: bool = False
    request_limit: float | None = None
    rejection_limit: float | None = None
    has_events: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """Changes of a prefix cache after an event.

    Parameters
    ----------
    epoch
        Number that differs after each restart of the cache's process, which empties the cache.
    resume_after
        Event number to request the next events after.
    gap
        Whether events between the requested number and `changes` were lost.
    changes
        Current state of each cached part that changed.
    """

    epoch: int
    resume_after: int
    gap: bool
    changes: list[heartbeat.CachedPart]


class UpstreamCodec(typing.Protocol):
    """Encodes the HTTP requests to upstreams and decodes their responses."""

    def encode_request(self, request: request_types.Request, context: ForwardingContext) -> bytes:
        """Return the HTTP request that forwards `request`."""

    def upstream_headers(
        self, headers: Sequence[request_types.Header]
    ) -> list[request_types.Header]:
        """Return those of a caller's headers that upstreams and other VMs may get."""

    def naming_reader(self, request_id: str) -> exchanges.NamingReader:
        """Return a function that tells whether headers name the request `request_id`."""

    def decode_head(self, head: exchanges.ResponseHead) -> ResponseHead:
        """Decode the head of a response."""

    def encode_report_request(self, address: str) -> bytes:
        """Return the HTTP request for an upstream's report of what it serves."""

    def decode_report(
        self, upstream: str, incarnation: int, body: bytes, received_at: float
    ) -> fleet.UpstreamState | None:
        """Decode an upstream's report; return None if that fails."""

    def encode_order(self, address: str, order: fleet.Order, holder: str) -> bytes:
        """Return the HTTP request that sends `order`, issued by VM `holder`."""

    def decode_order_outcome(self, status: int) -> fleet.Outcome:
        """Return the outcome of an order from the status of the response."""

    def encode_events_request(self, address: str, after: int, seconds: float) -> bytes:
        """Return the HTTP request, a long poll, for the cache events after number `after`."""

    def decode_events(self, body: bytes) -> CacheEvents | None:
        """Decode cache events; return None if that fails."""
