"""What lies in the platform's store, decoded into the project's own types."""

from __future__ import annotations

from typing import Any

import msgspec

from hollyring.configuration import deployment, mirror
from hollyring.core import request_types
from hollyring.membership import heartbeat
from hollyring.node import interfaces
from hollyring.routing import registry

CONFIGURATION_KEY = "op/config"
VERSION_PREFIX = "op/version/"
PREFIXES = interfaces.StoreKeys(
    operator="op/",
    upstreams="servers/",
    vms="hollyring/vm/",
    orders_lease="hollyring/vm/.orders",
)
MILLISECONDS = 1000.0
MEGABIT = 1_000_000.0
BITS_PER_BYTE = 8
STATES = ("ready", "draining")


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
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
    kv_capacity: int
    kv_token_bytes: float
    link_mbps: float
    models: list[_Model] = []


class _Service(msgspec.Struct, frozen=True):
    name: str
    max_connections: int = 100
    engine: _Engine | None = None
    kv_store_addr: str = ""
    zone: str = ""
    kv_capacity: int = 0
    link_mbps: float = 10_000.0


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct, frozen=True):
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


class _Wanted(msgspec.Struct, frozen=True):
    model: str
    version: int


class _Served(msgspec.Struct, frozen=True):
    name: str
    version: int


class _Server(msgspec.Struct, frozen=True):
    """An upstream's entry. `version` is that of its software, `sequence` counts its heartbeats."""

    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    models: list[_Served] = []
    born: int = 0


class _Vm(msgspec.Struct, frozen=True):
    name: str
    life: int
    caller_address: str
    peer_address: str
    failure_domain: str
    region: str


class StoredDocuments:
    """Implements `hollyring.node.interfaces.StoreCodec`."""

    def decode_deployment(self, item: mirror.Item) -> deployment.Deployment | None:
        """Return the configuration in `item`, None if it holds something else."""
        if item.key != CONFIGURATION_KEY:
            return None
        found = _read(item, _Config)
        if found is None:
            return None
        limits = found.limits
        return deployment.Deployment(
            found.version,
            [_route(route) for route in found.routes],
            [_service(service) for service in found.services],
            [_organisation(tenant) for tenant in found.tenants or []],
            deployment.RequestLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_ms / MILLISECONDS,
                limits.idle_timeout_ms / MILLISECONDS,
            ),
            requires_keys=found.tenants is not None,
        )

    def decode_wanted_version(self, item: mirror.Item) -> interfaces.WantedVersion | None:
        """Return the wanted version in `item`, None if it holds something else."""
        if not item.key.startswith(VERSION_PREFIX):
            return None
        found = _read(item, _Wanted)
        return (
            interfaces.WantedVersion(found.model, found.version, item.revision) if found else None
        )

    def decode_upstream(self, item: mirror.Item) -> registry.Entry | None:
        """Return what an upstream says of itself."""
        found = _read(item, _Server)
        if found is None or found.state not in STATES:
            return None
        if not _is_address(found.address) or not found.service:
            return None
        return registry.Entry(
            name=item.key.removeprefix(PREFIXES.upstreams),
            service=found.service,
            address=found.address,
            domain=found.zone,
            slots=found.slots,
            leaving=found.state == "draining",
            life=found.born,
            versions={served.name: served.version for served in found.models},
        )

    def decode_vm(self, item: mirror.Item) -> heartbeat.VmInfo | None:
        """Return a VM's place."""
        found = _read(item, _Vm)
        return heartbeat.VmInfo(**msgspec.structs.asdict(found)) if found else None

    def encode_vm(self, vm_info: heartbeat.VmInfo) -> bytes:
        """Return the value that stands for a VM's place."""
        return msgspec.json.encode(vm_info)


def _read(item: mirror.Item, type_: type[Any]) -> Any:
    try:
        return msgspec.json.decode(item.value, type=type_)
    except msgspec.MsgspecError:
        return None


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit()


def _route(route: _Route) -> deployment.Route:
    splits = [deployment.Split(split.service, split.weight) for split in route.traffic_split]
    if not splits and route.service:
        splits = [deployment.Split(route.service, 1.0)]
    streaming = route.kind == "streaming"
    repeat = request_types.RetrySafety.AT_MOST_ONCE
    if route.kind == "safe":
        repeat = request_types.RetrySafety.IDEMPOTENT
    elif streaming and route.resumable:
        repeat = request_types.RetrySafety.RESUMABLE
    return deployment.Route(
        route.name,
        route.host.lower(),
        route.prefix,
        repeat,
        streaming,
        route.timeout_ms / MILLISECONDS,
        route.target_latency_ms / MILLISECONDS,
        route.priority,
        tuple(splits),
        max(1, route.max_attempts),
        route.public,
    )


def _service(service: _Service) -> deployment.Service:
    engine = service.engine
    return deployment.Service(
        service.name,
        service.max_connections,
        (
            deployment.Engine(
                engine.slots,
                engine.kv_capacity,
                int(engine.kv_token_bytes * BITS_PER_BYTE),
                engine.link_mbps * MEGABIT,
                tuple(model.name for model in engine.models),
            )
            if engine
            else None
        ),
        (
            deployment.CacheStore(
                service.kv_store_addr,
                service.zone,
                service.kv_capacity,
                service.link_mbps * MEGABIT,
            )
            if service.kv_store_addr
            else None
        ),
    )


def _organisation(tenant: _Tenant) -> deployment.Organisation:
    return deployment.Organisation(
        tenant.name,
        tuple(tenant.api_keys),
        tenant.rate_per_s,
        tenant.burst,
        tenant.unit == "tokens",
        tenant.plain_tokens,
        tenant.isolated,
        tenant.priority,
    )
