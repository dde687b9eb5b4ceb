"""Configuration of a deployment as one immutable value: routes, services, organisations."""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import json
from collections.abc import Iterable

from hollyring.core import rendezvous, request_types

HASH_RANGE = 1 << 64

CACHE_GROUP_BYTES = 8
"""Length of the digest that names the organisations that are not isolated."""


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """Weight of a service in the traffic split of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Handling of the requests with one host and path prefix.

    Parameters
    ----------
    retry_safety
        Whether a request may be executed more than once.
    streaming
        Whether answers are event streams.
    timeout
        Deadline of a request, in seconds after its arrival.
    target_latency
        Latency that answers should have, in seconds.
    priority
        Priority of the requests; 0 is the highest.
    splits
        Services and their weights.
    max_runs
        Maximum number of upstreams that may run one request.
    open_to_all
        Whether requests without a key are allowed.
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

    def service_for(self, request_id: str) -> str:
        """Return the service for a request, by a weighted hash of its ID.

        It is empty if the route has no splits.

        Examples
        --------
        >>> route = Route("r", "h", "/", request_types.RetrySafety.AT_MOST_ONCE, False, 1.0, 0.1, 0,
        ...               (Split("a", 9.0), Split("b", 0.0)), 1, False)
        >>> route.service_for("17")
        'a'
        """
        total = sum(split.weight for split in self.splits)
        point = rendezvous.weight(request_id.encode(), self.name) / HASH_RANGE * total
        for split in self.splits:
            point -= split.weight
            if point < 0:
                return split.service
        return self.splits[-1].service if self.splits else ""


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Properties that all inference servers of a service share.

    Parameters
    ----------
    slots
        Number of requests that one inference server runs concurrently.
    cache_tokens
        Capacity of one inference server's KV cache, in tokens of prompts and answers.
    kv_bits_per_token
        Size of the KV cache of one token, in bits.
    link_bits_per_second
        Bandwidth of an inference server's network link.
    models
        Names of the models that the service serves.
    """

    slots: int
    cache_tokens: int
    kv_bits_per_token: int
    link_bits_per_second: float
    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CacheStore:
    """KV cache store that is separate from the inference servers.

    Parameters
    ----------
    address
        ``"IP:PORT"``.
    failure_domain
        Failure domain of the store.
    cache_tokens
        Capacity, in tokens.
    link_bits_per_second
        Bandwidth of its network link.
    """

    address: str
    failure_domain: str
    cache_tokens: int
    link_bits_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Set of interchangeable upstreams."""

    name: str
    max_connections: int
    engine: Engine | None = None
    cache_store: CacheStore | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Organisation that requests are accounted to.

    Parameters
    ----------
    keys
        API keys of its callers.
    rate, burst
        Rate limit per second, and its burst size; a rate of 0 means no limit.
    counts_tokens
        Whether `rate` and `burst` are in tokens; otherwise in requests.
    plain_tokens
        Cost in tokens of a request without a prompt.
    isolated
        Whether its cache entries are not shared with other organisations.
    priority
        Priority of its requests instead of their route's, or None.
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
        """Return the cost of a request, in the unit of `rate`."""
        if not self.counts_tokens:
            return 1.0
        if prompt is None:
            return float(self.plain_tokens)
        return float(prompt.prompt_tokens + prompt.output_tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Size limits of callers' requests in bytes, and timeouts of their connections in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Deployment:
    """One version of a deployment's configuration.

    Parameters
    ----------
    version
        Version number, which increases with each change.
    requires_keys
        Whether requests to routes that are not open to all need a key.
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
                shortest = self._target_latencies.get(split.service, route.target_latency)
                self._target_latencies[split.service] = min(shortest, route.target_latency)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path` that ends with a slash, or None."""
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
        """Return the shortest target latency of the routes to a service, in seconds.

        It is `default` if no route leads to the service.
        """
        return self._target_latencies.get(service, default)

    @functools.cached_property
    def _organisations_by_key(self) -> dict[str, Organisation]:
        return {key: item for item in self.organisations.values() for key in item.keys}

    def organisation_for_key(self, key: str) -> Organisation | None:
        """Return the organisation that has this key, or None."""
        return self._organisations_by_key.get(key)

    def cache_group(self, organisation: Organisation | None) -> str:
        """Return the name of the group that shares cached prompts with an organisation.

        An isolated organisation is a group of its own, of its name; all other requests form one.
        That one is named after the isolated organisations, so that nothing cached by an
        organisation before it was isolated, or while it was not, is found by others while it is.

        Parameters
        ----------
        organisation
            Organisation of a request, perhaps as of an earlier configuration; None for none.
        """
        if organisation is not None:
            organisation = self.organisations.get(organisation.name, organisation)
            if organisation.isolated:
                return organisation.name
        return self._shared_cache_group

    @functools.cached_property
    def _shared_cache_group(self) -> str:
        """Empty without isolated organisations, else a digest of their names."""
        isolated = sorted(item.name for item in self.organisations.values() if item.isolated)
        if not isolated:
            return ""
        names = json.dumps(isolated).encode()
        return "+" + hashlib.blake2b(names, digest_size=CACHE_GROUP_BYTES).hexdigest()

    def cache_stores(self) -> list[CacheStore]:
        """Return the KV cache stores of all services."""
        found = [service.cache_store for service in self.services.values()]
        return [store for store in found if store is not None]
