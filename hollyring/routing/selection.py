"""Selection of the upstream with the lowest cost for a request.

`hollyring.node.relay` uses this module; completions use `hollyring.routing.router` instead.

The selection is designed for a load in which many requests share long prompts that do not all fit
in the KV cache of one server, a rollout of new weights clears the caches of one server after
another, and at times a quarter of the servers is unavailable. The main term of the cost is
therefore the expected time to first event: the prefill tokens queued at the server, the prefill of
the request itself, and the transfer of KV cache blocks from another server or a cache store. The
prefill of a shared part costs far more than its transfer.

Penalties are added for a server that is suspect, is loading weights or has older weights; it is
selected only if the others are expected to be slower by more than that. A request that cannot be
started before its deadline is rejected at once. An upstream in backoff, or one whose request
limit leaves this VM nothing for now, has no capacity for it; the prompts that it caches may still
be fetched by others.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Mapping

from hollyring.configuration import deployment
from hollyring.core import request_types
from hollyring.routing import (
    cached_prefixes,
    costs,
    prefix_caches,
    registry,
    wanted_versions,
)

MIN_TRANSFER_TOKENS = 128
"""Smallest number of tokens to transfer; fewer are prefilled again."""

TRANSFER_SETUP_SECONDS = 0.01
CROSS_DOMAIN_TRANSFER_FACTOR = 2.0
"""Duration of a transfer between failure domains, relative to one within a domain."""

CROSS_DOMAIN_PENALTY_SECONDS = 0.002
OLD_WEIGHTS_PENALTY_SHARE = 0.4
"""Penalty for weights older than the newest wanted version, as a share of the target latency."""

LATE_PENALTY_SHARE = 1.2
"""Penalty for a response that is certain to be late, as a share of the target latency."""

TRANSFER_PENALTY_SECONDS_PER_TOKEN = 4e-6
"""Penalty per token besides its transfer time, as copies use up the caches of the servers."""

RESERVED_PENALTY_SECONDS = 0.4
"""Penalty for a long response at a server that loads weights next (`Selector.reserve`)."""

FIRST_EVENT_DEADLINE_SHARE = 0.9
"""Share of the remaining time of a request that may pass before its first event."""


@dataclasses.dataclass(frozen=True, slots=True)
class SelectionRequest:
    """Properties of a request that the selection depends on.

    Parameters
    ----------
    request_id
        ID of the request.
    service
        Name of the service that handles it.
    prompt
        Prompt for an inference server, None for any other service.
    cache_group
        Name of the organisations that share cached prompts with the request's; empty for all.
    domain
        Failure domain of this VM.
    remaining_seconds
        Time until the deadline of the request.
    target_seconds
        Target latency of the route.
    max_wait_seconds
        Longest time to wait in an upstream's queue.
    excluded
        Names of the upstreams already tried.
    software
        Software version that the upstream must have, as it began the stream that it is to continue;
        None for any.
    withheld_software
        Software versions that the upstream must not have, as no stream may begin there yet.
    priority
        Priority, 0 first: a server reads its prompt before those of less urgent requests. None for
        one that is read last.
    """

    request_id: str
    service: str
    prompt: request_types.Prompt | None
    cache_group: str
    domain: str
    remaining_seconds: float
    target_seconds: float
    max_wait_seconds: float
    excluded: frozenset[str] = frozenset()
    software: str | None = None
    withheld_software: frozenset[str] = frozenset()
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """Upstream selected for a request, with the expected work and latency.

    Parameters
    ----------
    upstream
        The selected upstream.
    version
        Version of the weights that it must serve, 0 for a service without weights or if the
        upstream lacks the model.
    salt
        Cache salt of the prompt.
    cache_group
        Organisations that share this salt, as requested.
    fetch_from, save_to
        Addresses of the server or cache store to fetch prompt parts from, and of the cache store
        to save them to; empty for none.
    fetched_tokens, prefill_tokens
        Numbers of prompt tokens that the upstream fetches, and that it prefills.
    wait_seconds
        Expected time in the upstream's queue.
    expected_seconds
        Expected time to first event.
    """

    upstream: registry.Upstream
    version: int = 0
    salt: str = ""
    fetch_from: str = ""
    save_to: str = ""
    fetched_tokens: int = 0
    prefill_tokens: int = 0
    wait_seconds: float = 0.0
    expected_seconds: float = 0.0
    cache_group: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class NoUpstream:
    """Rejection of a request that no upstream can serve within its deadline and its longest wait.

    Parameters
    ----------
    retry_after
        Seconds after which the request may be retried.
    busy
        True if upstreams are available but overloaded, False if there are none.
    """

    retry_after: float
    busy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    selection: Selection
    cost: float


NO_UPSTREAM_RETRY_SECONDS = 0.5
"""Retry delay for a service without an available upstream."""


def cache_salt(model: str, version: int, cache_group: str) -> str:
    """Return the salt under which a group of organisations caches prompt parts.

    Examples
    --------
    >>> cache_salt("parish", 3, ""), cache_salt("parish", 3, "kigoma")
    ('parish.3', 'parish.3.kigoma')
    """
    return f"{model}.{version}.{cache_group}" if cache_group else f"{model}.{version}"


class Selector:
    """Selects upstreams for requests.

    Parameters
    ----------
    upstreams
        Registry of all upstreams.
    caches
        Estimated contents of the prefix caches.
    versions
        Wanted versions of the weights.
    """

    __slots__ = (
        "_registry",
        "_caches",
        "_services",
        "_stores",
        "_versions",
        "_reserved",
        "_suspended_until",
        "_may_send",
    )

    def __init__(
        self,
        upstreams: registry.Registry,
        caches: prefix_caches.PrefixCaches,
        versions: wanted_versions.WantedVersions,
    ) -> None:
        self._registry = upstreams
        self._caches = caches
        self._services: Mapping[str, deployment.Service] = {}
        self._stores: list[deployment.CacheStore] = []
        self._versions = versions
        self._reserved: frozenset[str] = frozenset()
        self._suspended_until: dict[str, float] = {}
        self._may_send: Callable[[registry.Upstream], bool] = _always

    def set_reach(self, may_send: Callable[[registry.Upstream], bool]) -> None:
        """Select, if there is one, an upstream for which `may_send` returns true."""
        self._may_send = may_send

    def reserve(self, upstreams: Iterable[str]) -> None:
        """Avoid `upstreams`, the next ones to load weights, for requests with long responses."""
        self._reserved = frozenset(upstreams)

    def suspend_store(self, address: str, until: float) -> None:
        """Exclude a cache store from transfers before `until`."""
        self._suspended_until[address] = until

    def configure(self, current: deployment.Deployment) -> None:
        """Apply a configuration."""
        self._services = current.services
        self._stores = current.cache_stores()

    def select(self, request: SelectionRequest, now: float) -> Selection | NoUpstream:
        """Return the upstream with the lowest cost.

        The request is rejected if there is no upstream, or if the expected wait or time to first
        event at the one with the lowest cost is too long.
        """
        suitable = self._suitable_upstreams(request, now)
        if not suitable:
            return NoUpstream(NO_UPSTREAM_RETRY_SECONDS, busy=False)
        upstreams = self._open_upstreams(suitable, now)
        if not upstreams:
            opens_at = min(self._registry.opens_at(upstream.incarnation) for upstream in suitable)
            return NoUpstream(
                costs.backoff_retry_seconds(request.request_id, opens_at - now), busy=True
            )
        reached = [upstream for upstream in upstreams if self._may_send(upstream)]
        lookups = self._lookups(request, now)
        candidates = [self._candidate(request, u, lookups, now) for u in reached or upstreams]
        best = min(candidates, key=lambda candidate: candidate.cost)
        excess = (
            best.selection.expected_seconds - request.remaining_seconds * FIRST_EVENT_DEADLINE_SHARE
        )
        excess = max(excess, best.selection.wait_seconds - request.max_wait_seconds)
        if excess > 0:
            return NoUpstream(
                costs.retry_after_seconds(request.request_id, excess, request.max_wait_seconds),
                busy=True,
            )
        return best.selection

    def is_served(self, request: SelectionRequest, now: float) -> bool:
        """Return whether there is an upstream that may run the request, whatever its load."""
        return bool(self._suitable_upstreams(request, now))

    def _suitable_upstreams(self, request: SelectionRequest, now: float) -> list[registry.Upstream]:
        """Return the upstreams that may run the request, whatever their load."""
        model = request.prompt.model if request.prompt else ""
        expired = self._expired_versions(request, now)
        return [
            upstream
            for upstream in self._registry.of_service(request.service)
            if not upstream.leaving
            and upstream.name not in request.excluded
            and request.software in (None, upstream.entry.software)
            and upstream.entry.software not in request.withheld_software
            and upstream.version(model) not in expired
        ]

    def _open_upstreams(
        self, upstreams: list[registry.Upstream], now: float
    ) -> list[registry.Upstream]:
        """Return the upstreams that have asked for a pause neither by time nor by rate."""
        has_backoff = self._registry.backoffs.any_active(now)
        if not has_backoff and not self._registry.request_limits.any_closed():
            return upstreams
        return [u for u in upstreams if self._registry.opens_at(u.incarnation) <= now]

    def _expired_versions(self, request: SelectionRequest, now: float) -> frozenset[int]:
        """Return the served versions of the weights that are too old to be used at all."""
        if request.prompt is None:
            return frozenset()
        model = request.prompt.model
        served = [u.version(model) for u in self._registry.of_service(request.service)]

        def share_with(version: int) -> float:
            return sum(has >= version for has in served) / len(served)

        return frozenset(
            version
            for version in set(served)
            if self._versions.is_expired(model, version, now, share_with)
        )

    def _lookups(self, request: SelectionRequest, now: float) -> cached_prefixes.Lookups | None:
        if request.prompt is None:
            return None
        upstreams = self._registry.of_service(request.service)
        stores = self._usable_stores(now)
        return cached_prefixes.Lookups(request.prompt, upstreams, stores, self._caches, now)

    def _candidate(
        self,
        request: SelectionRequest,
        upstream: registry.Upstream,
        lookups: cached_prefixes.Lookups | None,
        now: float,
    ) -> _Candidate:
        service = self._services.get(request.service)
        engine = service.engine if service else None
        load = upstream.total_load(now, request.priority)
        if request.prompt is None or lookups is None or engine is None:
            selection = Selection(
                upstream,
                expected_seconds=costs.call_seconds(upstream, load, now),
                cache_group=request.cache_group,
            )
        else:
            selection = self._engine_selection(
                request, request.prompt, upstream, load, engine, lookups, now
            )
        cost = (
            selection.expected_seconds
            + costs.penalty(upstream, now)
            + costs.tie_break_seconds(request.request_id, request.prompt, upstream.name)
        )
        cost += (
            LATE_PENALTY_SHARE
            * request.target_seconds
            * costs.late_fraction(selection.expected_seconds, request.target_seconds)
        )
        if upstream.entry.domain != request.domain:
            cost += CROSS_DOMAIN_PENALTY_SECONDS
        if request.prompt is not None:
            newest = self._versions.newest(request.prompt.model)
            if newest is not None and selection.version < newest.version:
                cost += OLD_WEIGHTS_PENALTY_SHARE * request.target_seconds
            if not selection.version:
                cost += costs.UNAVAILABLE_MODEL_PENALTY_SECONDS
            cost += selection.fetched_tokens * TRANSFER_PENALTY_SECONDS_PER_TOKEN
            speed = upstream.read_speed.tokens_per_second
            cost += costs.interference_seconds(
                load, speed, selection.prefill_tokens, request.prompt
            )
            if upstream.name in self._reserved and costs.is_long(request.prompt):
                cost += RESERVED_PENALTY_SECONDS
        return _Candidate(selection, cost)

    def _engine_selection(
        self,
        request: SelectionRequest,
        prompt: request_types.Prompt,
        upstream: registry.Upstream,
        load: registry.TotalLoad,
        engine: deployment.Engine,
        lookups: cached_prefixes.Lookups,
        now: float,
    ) -> Selection:
        version = upstream.version(prompt.model)
        salt = cache_salt(prompt.model, version, request.cache_group)
        prefixes = lookups.prefixes(salt)
        own_tokens = prefixes.tokens(upstream)
        source, source_tokens = prefixes.source(upstream)
        fetched_tokens = (
            source_tokens - own_tokens if source_tokens - own_tokens >= MIN_TRANSFER_TOKENS else 0
        )
        prefill_tokens = max(0, prompt.prompt_tokens - own_tokens - fetched_tokens)
        slowdown = upstream.slowdown(now)
        tokens_per_second = upstream.read_speed.tokens_per_second
        wait_seconds = costs.queue_seconds(load, tokens_per_second, slowdown, engine)
        seconds = wait_seconds + registry.MIN_FIRST_EVENT_SECONDS * slowdown
        seconds += prefill_tokens / tokens_per_second * slowdown
        if fetched_tokens:
            same_domain = source.domain == upstream.entry.domain
            factor = 1.0 if same_domain else CROSS_DOMAIN_TRANSFER_FACTOR
            seconds += TRANSFER_SETUP_SECONDS
            seconds += (
                factor * fetched_tokens * engine.kv_bits_per_token / engine.link_bits_per_second
            )
        return Selection(
            upstream,
            version,
            salt,
            source.address if fetched_tokens else "",
            lookups.store_to_save(salt),
            fetched_tokens,
            prefill_tokens,
            wait_seconds,
            seconds,
            request.cache_group,
        )

    def _usable_stores(self, now: float) -> list[deployment.CacheStore]:
        return [s for s in self._stores if self._suspended_until.get(s.address, now) <= now]


def _always(_: registry.Upstream) -> bool:
    return True
