"""Codec of the documents in the platform's store.

The structs mirror the stored documents: their fields are the platform's names. `DocumentCodec`
converts them to the project's types.
"""

from __future__ import annotations

import dataclasses
from typing import Any

import msgspec

from hollyring.configuration import deployment, deployment_checks, mirror
from hollyring.core import request_types
from hollyring.membership import heartbeat
from hollyring.node import interfaces
from hollyring.platform import decoding
from hollyring.releases import messages
from hollyring.routing import registry, software_versions

MAX_ENTRY_BYTES = 65_536
"""Longest entry of an upstream or VM that is kept; most take some hundred bytes."""

CONFIGURATION_KEY = "op/config"
VERSION_PREFIX = "op/version/"
RELEASE_PREFIX = "op/rollout/"
RELEASE_STATUS_PREFIX = "status/rollout/"
STORE_KEYS = interfaces.StoreKeys(
    operator="op/",
    upstreams="servers/",
    vms="hollyring/vm/",
    orders_lease="hollyring/vm/.orders",
    software="hollyring/vm/.software",
    releases="hollyring/vm/.release/",
)
MS_PER_SECOND = 1000.0
BITS_PER_MEGABIT = 1_000_000.0
BITS_PER_BYTE = 8
UPSTREAM_STATES = ("ready", "draining")
MAX_QUANTITY = 1e15
"""Largest rate, weight, bandwidth or time that is reckoned with, so that no sum is infinite."""


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    """A route. `kind` is ``"safe"`` (idempotent), ``"streaming"`` or ``"unsafe"``."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 5
    service: str = ""
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Model(msgspec.Struct, frozen=True):
    name: str


class _Engine(msgspec.Struct, frozen=True):
    slots: int
    kv_capacity: int  # tokens
    kv_token_bytes: float
    link_mbps: float  # megabits per second
    models: list[_Model] = []


class _Service(msgspec.Struct, frozen=True):
    name: str
    max_connections: int = 100
    engine: _Engine | None = None
    kv_store_addr: str = ""
    zone: str = ""  # failure domain of the cache store
    kv_capacity: int = 0  # tokens that the cache store holds
    link_mbps: float = 10_000.0  # megabits per second, of the cache store


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct, frozen=True):
    """An organisation. `rate_per_s` and `burst` count requests, or tokens if `unit` says so."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = "requests"
    plain_tokens: int = 0
    isolated: bool = False
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Config(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


class _WantedVersion(msgspec.Struct, frozen=True):
    model: decoding.Name
    version: decoding.WholeNumber


class _Rollout(msgspec.Struct, frozen=True):
    service: decoding.Name
    target: decoding.Name  # software version
    duration_s: float


class _ReleaseStatus(msgspec.Struct, frozen=True):
    state: str
    target: str


class _ServedModel(msgspec.Struct, frozen=True):
    name: decoding.Name
    version: decoding.WholeNumber


class _Server(msgspec.Struct, frozen=True):
    """An upstream's entry. Not decoded: `sequence`, the number of its heartbeats."""

    service: decoding.Name
    address: str
    zone: decoding.Name  # failure domain
    state: str
    version: decoding.Name  # version of its software, unlike those in `models`
    slots: decoding.WholeNumber
    models: list[_ServedModel] = []
    born: decoding.WholeNumber = 0  # incarnation number
    cold_left_ms: float = 0.0


class _Vm(msgspec.Struct, frozen=True):
    name: decoding.Name
    life: decoding.WholeNumber  # incarnation number
    caller_address: str
    peer_address: str
    failure_domain: decoding.Name
    region: decoding.Name
    capacity: float = 1.0  # cores
    settles_versions: bool = False  # earlier builds state nothing
    link_bits_per_second: float = 0.0


class _Software(msgspec.Struct, frozen=True):
    """Record of the upstreams' software versions by service."""

    era: decoding.WholeNumber
    versions: dict[decoding.Name, list[decoding.Name]]


class _Release(msgspec.Struct, frozen=True):
    """State of a release."""

    order_id: str
    service: decoding.Name
    target: decoding.Name
    phase: messages.Phase
    share: float = 0.0
    baseline: list[str] = []
    elapsed_seconds: float = 0.0
    requests: decoding.WholeNumber = 0
    exposed: decoding.WholeNumber = 0
    why: str = ""
    rejected: list[str] = []


class DocumentCodec:
    """Codec of the stored documents; implements `hollyring.node.interfaces.StoreCodec`.

    Documents that cannot be decoded give None.
    """

    def decode_deployment(self, item: mirror.Item) -> deployment.Deployment | None:
        """Return the configuration in `item`, or None if it is another document."""
        if item.key != CONFIGURATION_KEY:
            return None
        config = _decode(item, _Config)
        if config is None:
            return None
        entries = _convert_entries(config)
        return deployment.Deployment(
            config.version,
            entries.routes,
            entries.services,
            entries.organisations,
            entries.limits,
            entries.requires_keys,
        )

    def decode_entries(self, value: bytes) -> deployment_checks.Entries:
        """Return the entries of a configuration as they are written.

        Raises
        ------
        decoding.UnreadableError
            If `value` is no configuration; the message says where.
        """
        return _convert_entries(decoding.decode(value, _Config))

    def decode_wanted_version(self, item: mirror.Item) -> interfaces.WantedVersion | None:
        """Return the wanted version in `item`, or None if it is another document."""
        if not item.key.startswith(VERSION_PREFIX):
            return None
        wanted = _decode(item, _WantedVersion)
        return (
            interfaces.WantedVersion(wanted.model, wanted.version, item.revision.ordinal)
            if wanted
            else None
        )

    def decode_release_order(self, item: mirror.Item) -> messages.ReleaseOrder | None:
        """Return the order of a release in `item`, or None if it is another document."""
        if not item.key.startswith(RELEASE_PREFIX):
            return None
        rollout = _decode(item, _Rollout)
        if rollout is None:
            return None
        # The revision's number alone: the same document has it in each era of the store.
        order_id = f"{item.revision.number}.{rollout.target}"
        seconds = max(0.0, _quantity(rollout.duration_s))
        return messages.ReleaseOrder(order_id, rollout.service, rollout.target, seconds)

    def decode_upstream(self, item: mirror.Item) -> registry.Entry | None:
        """Return the entry of an upstream, or None if it is invalid."""
        server = _decode(item, _Server)
        if server is None or server.state not in UPSTREAM_STATES:
            return None
        name = item.key.removeprefix(STORE_KEYS.upstreams)
        if not decoding.is_address(server.address) or not server.service:
            return None
        if not decoding.is_name(name):
            return None
        return registry.Entry(
            name=name,
            service=server.service,
            address=server.address,
            domain=server.zone,
            slots=server.slots,
            leaving=server.state == "draining",
            life=server.born,
            versions={served.name: served.version for served in server.models},
            software=server.version,
            cold_seconds=max(0.0, _quantity(server.cold_left_ms)) / MS_PER_SECOND,
        )

    def decode_vm(self, item: mirror.Item) -> heartbeat.VmInfo | None:
        """Return the record of a VM, or None if it is invalid."""
        record = _decode(item, _Vm)
        if record is None or item.key != STORE_KEYS.vms + record.name:
            return None
        if not decoding.is_address(record.caller_address):
            return None
        if not decoding.is_address(record.peer_address):
            return None
        return heartbeat.VmInfo(**msgspec.structs.asdict(record))

    def encode_vm(self, vm_info: heartbeat.VmInfo) -> bytes:
        """Return the stored form of the record of a VM."""
        stored = dataclasses.asdict(vm_info)
        if not vm_info.settles_versions:
            del stored["settles_versions"]  # not stated
        if not vm_info.link_bits_per_second:
            del stored["link_bits_per_second"]  # not stated
        return msgspec.json.encode(stored)

    def decode_software(self, item: mirror.Item) -> software_versions.Record | None:
        """Return the record of the upstreams' software versions, or None if it is invalid."""
        stored = _decode(item, _Software)
        if stored is None:
            return None
        versions = {service: frozenset(names) for service, names in stored.versions.items()}
        return software_versions.Record(stored.era, versions)

    def encode_software(self, record: software_versions.Record) -> bytes:
        """Return the stored form of a record of software versions."""
        return msgspec.json.encode(_Software(record.era, software_versions.listed(record)))

    def decode_release(self, item: mirror.Item) -> messages.ReleaseState | None:
        """Return the state of a release, or None if it is invalid."""
        stored = _decode(item, _Release)
        if stored is None or item.key != STORE_KEYS.releases + stored.service:
            return None
        fields = msgspec.structs.asdict(stored)
        fields |= {"baseline": tuple(stored.baseline), "rejected": tuple(stored.rejected)}
        return messages.ReleaseState(**fields)

    def encode_release(self, release: messages.ReleaseState) -> bytes:
        """Return the stored form of the state of a release."""
        return msgspec.json.encode(release)

    def encode_release_status(self, release: messages.ReleaseState) -> interfaces.Put:
        """Return what the operator reads about a release."""
        state = release.phase.value if release.phase.is_final else "running"
        status = _ReleaseStatus(state, release.target)
        return interfaces.Put(RELEASE_STATUS_PREFIX + release.service, msgspec.json.encode(status))


def kept_value(key: str, value: bytes) -> bytes:
    """Return the value to keep of a key, empty for an entry that is too long to be used.

    Hundreds of long ones would fill the memory of a VM and take its event loop seconds to read.
    """
    is_entry = key.startswith((STORE_KEYS.upstreams, STORE_KEYS.vms)) and key != STORE_KEYS.software
    return b"" if is_entry and len(value) > MAX_ENTRY_BYTES else value


def _decode(item: mirror.Item, type_: type[Any]) -> Any:
    try:
        return decoding.decode(kept_value(item.key, item.value), type_)
    except decoding.UnreadableError:
        return None


def _count(number: float) -> int:
    """Return a whole number of the configuration, or the largest one that messages carry."""
    limit = decoding.MAX_WHOLE_NUMBER
    return int(number) if -limit < number < limit else limit if number > 0 else -limit


def _quantity(number: float) -> float:
    """Return a number of the configuration, or the largest one that is reckoned with."""
    return max(-MAX_QUANTITY, min(number, MAX_QUANTITY))


def _convert_entries(config: _Config) -> deployment_checks.Entries:
    limits = config.limits
    return deployment_checks.Entries(
        [_convert_route(route) for route in config.routes],
        [_convert_service(service) for service in config.services],
        [_convert_organisation(tenant) for tenant in config.tenants or []],
        deployment.RequestLimits(
            _count(limits.max_header_bytes),
            _count(limits.max_body_bytes),
            _quantity(limits.header_timeout_ms) / MS_PER_SECOND,
            _quantity(limits.idle_timeout_ms) / MS_PER_SECOND,
        ),
        requires_keys=config.tenants is not None,
    )


def _convert_route(route: _Route) -> deployment.Route:
    splits = [
        deployment.Split(split.service, _quantity(split.weight)) for split in route.traffic_split
    ]
    if not splits and route.service:
        splits = [deployment.Split(route.service, 1.0)]
    streaming = route.kind == "streaming"
    retry_safety = request_types.RetrySafety.AT_MOST_ONCE
    if route.kind == "safe":
        retry_safety = request_types.RetrySafety.IDEMPOTENT
    elif streaming and route.resumable:
        retry_safety = request_types.RetrySafety.RESUMABLE
    return deployment.Route(
        route.name,
        route.host.lower(),
        route.prefix,
        retry_safety,
        streaming,
        _quantity(route.timeout_ms) / MS_PER_SECOND,
        _quantity(route.target_latency_ms) / MS_PER_SECOND,
        _count(route.priority),
        tuple(splits),
        max(1, _count(route.max_attempts)),
        route.public,
    )


def _convert_service(service: _Service) -> deployment.Service:
    engine = service.engine
    return deployment.Service(
        service.name,
        _count(service.max_connections),
        (
            deployment.Engine(
                _count(engine.slots),
                _count(engine.kv_capacity),
                _count(engine.kv_token_bytes * BITS_PER_BYTE),
                _quantity(engine.link_mbps * BITS_PER_MEGABIT),
                tuple(model.name for model in engine.models),
            )
            if engine
            else None
        ),
        (
            deployment.CacheStore(
                service.kv_store_addr,
                service.zone,
                _count(service.kv_capacity),
                _quantity(service.link_mbps * BITS_PER_MEGABIT),
            )
            if service.kv_store_addr
            else None
        ),
    )


def _convert_organisation(tenant: _Tenant) -> deployment.Organisation:
    return deployment.Organisation(
        tenant.name,
        tuple(tenant.api_keys),
        _quantity(tenant.rate_per_s),
        _quantity(tenant.burst),
        tenant.unit == "tokens",
        _count(tenant.plain_tokens),
        tenant.isolated,
        None if tenant.priority is None else _count(tenant.priority),
    )
