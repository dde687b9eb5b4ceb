"""A whole configuration as one immutable value: routes, services, organisations."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Iterable

from hollyring.core import rendezvous, request_types

HASH_RANGE = 1 << 64


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """One service's part of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How the requests under one host and path prefix are handled.

    Parameters
    ----------
    repeat
        How often a request may be run.
    streaming
        Whether answers are event streams.
    timeout, target
        Seconds after which a caller gets a final answer, and within which one is prompt.
    rank
        Urgency; 0 comes first.
    splits
        Services and their parts of the requests.
    max_runs
        Most upstreams that may run one attempt.
    open_to_all
        Whether no key is needed.
    """

    name: str
    host: str
    prefix: str
    retry_safety: request_types.RetrySafety
    streaming: bool
    timeout: float
    target_latency: float
    priority: int
    splits: tuple[Split, ...]
    max_runs: int
    open_to_all: bool

    def service_for(self, request: str) -> str:
        """Return the service that takes the request of this name.

        Examples
        --------
        >>> route = Route("r", "h", "/", request_types.RetrySafety.AT_MOST_ONCE, False, 1.0, 0.1, 0,
        ...               (Split("a", 9.0), Split("b", 0.0)), 1, False)
        >>> route.service_for("17")
        'a'
        """
        total = sum(split.weight for split in self.splits)
        point = rendezvous.weight(request.encode(), self.name) / HASH_RANGE * total
        for split in self.splits:
            point -= split.weight
            if point < 0:
                return split.service
        return self.splits[-1].service if self.splits else ""


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """What the language servers of a service have in common.

    Parameters
    ----------
    slots
        Requests that one server runs at once.
    cache_tokens
        Tokens of prompts and answers that one server's memory holds.
    kv_bits_per_token
        Size of one token's KV cache.
    link_bits_per_second
        Bits a second that a server's link carries.
    models
        Models that the service serves.
    """

    slots: int
    cache_tokens: int
    kv_bits_per_token: int
    link_bits_per_second: float
    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CacheStore:
    """A store of KV cache beside the language servers.

    Parameters
    ----------
    address
        ``"IP:PORT"``.
    domain
        Its failure domain.
    cache_tokens
        Tokens that it holds.
    link_bits_per_second
        Bits a second that its link carries.
    """

    address: str
    failure_domain: str
    cache_tokens: int
    link_bits_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of like upstreams."""

    name: str
    max_connections: int
    engine: Engine | None = None
    cache_store: CacheStore | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Who pays for requests.

    Parameters
    ----------
    keys
        The keys that stand for it.
    rate, burst
        What it may use a second, and at once; a rate of 0 sets no bound.
    counts_tokens
        Whether `rate` and `burst` count tokens; else requests.
    plain_tokens
        Tokens that a request without a prompt counts for.
    isolated
        Whether it shares no cache with others.
    rank
        Urgency of its requests in place of their route's, or None.
    """

    name: str
    keys: tuple[str, ...]
    rate: float
    burst: float
    counts_tokens: bool
    plain_tokens: int
    isolated: bool
    priority: int | None

    def cost(self, prompt: request_types.Prompt | None) -> float:
        """Return what a request counts for against the rate."""
        if not self.counts_tokens:
            return 1.0
        if prompt is None:
            return float(self.plain_tokens)
        return float(prompt.prompt_tokens + prompt.output_tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """What callers may send, and how long they may take or stay idle, in seconds and bytes."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Deployment:
    """One version of the configuration.

    Parameters
    ----------
    version
        Grows with each change.
    requires_keys
        Whether routes that are not open to all need a key.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        organisations: Iterable[Organisation],
        limits: RequestLimits,
        requires_keys: bool,
    ) -> None:
        self.version = version
        self.limits = limits
        self.requires_keys = requires_keys
        self.services = {service.name: service for service in services}
        self.organisations = {item.name: item for item in organisations}
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        self._target_latencies: dict[str, float] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = route
            for split in route.splits:
                known = self._target_latencies.get(split.service, route.target_latency)
                self._target_latencies[split.service] = min(known, route.target_latency)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins `path`."""
        prefixes = self._routes_by_host.get(host)
        if not prefixes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def shortest_target_latency(self, service: str, default: float) -> float:
        """Return the shortest target of the routes to a service, in seconds."""
        return self._target_latencies.get(service, default)

    @functools.cached_property
    def _organisations_by_key(self) -> dict[str, Organisation]:
        return {key: item for item in self.organisations.values() for key in item.keys}

    def organisation_for_key(self, key: str) -> Organisation | None:
        """Return the organisation that a key stands for."""
        return self._organisations_by_key.get(key)

    def cache_stores(self) -> list[CacheStore]:
        """Return the stores of KV cache."""
        found = [service.cache_store for service in self.services.values()]
        return [store for store in found if store is not None]
