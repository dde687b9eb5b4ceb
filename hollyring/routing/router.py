"""Router of one VM: routing state, updated from observations and used for decisions."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable, Mapping, Sequence

from hollyring.core import invariants as core_invariants
from hollyring.core import prompt_blocks, rendezvous
from hollyring.routing import (
    attempts,
    events,
    health,
    index,
    load,
    lookups,
    messages,
    placement,
    policies,
    popularity,
    recent_prefixes,
    requests,
    upstreams,
)

RETRY_AFTER_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts of routing decisions and lookups."""

    routed: int = 0
    lookup_answers: int = 0
    lookups_answered_for_others: int = 0


class Router:
    """Chooses an upstream for each request, if necessary after one round of lookups at other VMs.

    Parameters
    ----------
    vm
        Name of this VM.
    policy
        Placement policy.
    invariants
        Checks and counts the invariants of routing.
    cache_index
        Index of the watched upstreams; a new one of default size if omitted.

    Examples
    --------
    >>> import random
    >>> from hollyring.routing import prefix
    >>> router = Router("vm-1", policies.Prefix(), core_invariants.Invariants())
    >>> served = (upstreams.ServedModel("parish", "v1"),)
    >>> router.configure([upstreams.Upstream("ls-1", "a", served)], ["vm-1"], now=0.0)
    >>> chain = prefix.chain("bohari", "parish", "v1", bytes(9000))
    >>> request = requests.RouteRequest("bohari", "parish", "v1", chain, 2250, 100, 30.0)
    >>> router.route(request, 0.0, random.Random(1)).upstream
    'ls-1'
    """

    def __init__(
        self,
        vm: str,
        policy: policies.Policy,
        invariants: core_invariants.Invariants,
        cache_index: index.CacheIndex | None = None,
    ) -> None:
        self._vm = vm
        self._policy = policy
        self._invariants = invariants
        self._index = cache_index or index.CacheIndex()
        self._recent_prefixes = recent_prefixes.RecentPrefixes()
        self._popularity = popularity.Popularity()
        self._states: dict[str, placement.State] = {}
        self._incarnations: dict[str, int] = {}
        self._watchers: dict[str, str] = {}
        self._pools: dict[tuple[str, str], dict[str, placement.State]] = {}
        self._affinity = placement.Affinity()
        self._attempts = attempts.Attempts(self._states, self._recent_prefixes, self._index)
        self._lookup_planner = lookups.LookupPlanner(vm)
        self._round_robin_count = itertools.count()
        self.counters = Counters()

    @property
    def policy(self) -> policies.Policy:
        """The placement policy."""
        return self._policy

    @property
    def lookups_sent(self) -> int:
        """Number of lookups that this VM decided to send."""
        return self._lookup_planner.counters.lookups

    def configure(
        self, listed: Iterable[upstreams.Upstream], vms: Sequence[str], now: float
    ) -> None:
        """Set the upstreams of this VM's region and the live VMs that watch them.

        Upstreams that appear after the first call receive their share of the prefixes gradually.
        """
        first = not self._states
        states = {}
        for upstream in listed:
            states[upstream.name] = self._state(upstream, first, now)
        self._states.clear()
        self._states.update(states)
        self._incarnations = {name: state.incarnation for name, state in states.items()}
        self._pools.clear()
        self._affinity.clear()
        live = sorted({self._vm, *vms})
        self._watchers = {name: rendezvous.rank(name.encode(), live)[0] for name in states}
        self._index.watch(name for name, vm in self._watchers.items() if vm == self._vm)
        for state in states.values():
            self._update_incarnation(state.name, state.upstream.incarnation, now)

    def watched(self) -> list[str]:
        """Return the names of the upstreams whose events and load this VM polls."""
        return self._index.watched

    def events_after(self, upstream: str) -> int:
        """Return the sequence number after which to poll for events."""
        return self._index.last_sequence(upstream)

    def due_snapshots(self, now: float) -> list[str]:
        """Return the watched upstreams whose snapshots should be fetched now."""
        return self._index.due_snapshots(now)

    def observe_events(self, upstream: str, batch: events.EventBatch, now: float) -> None:
        """Apply cache events of a watched upstream."""
        self._update_incarnation(upstream, batch.incarnation, now)
        self._index.observe_events(upstream, batch, now)

    def observe_snapshot(self, upstream: str, snapshot: events.Snapshot, now: float) -> None:
        """Apply a snapshot of a watched upstream."""
        self._update_incarnation(upstream, snapshot.incarnation, now)
        self._index.observe_snapshot(upstream, snapshot, now)

    def observe_load(self, upstream: str, report: messages.LoadReport, now: float) -> None:
        """Apply a load report; one of an earlier incarnation is dropped."""
        state = self._states.get(upstream)
        if state is None or not self._update_incarnation(upstream, report.incarnation, now):
            return
        state.load.observe(report, now)

    def route(
        self,
        request: requests.RouteRequest,
        now: float,
        rng: placement.RandomSource,
        may_look_up: bool = True,
    ) -> requests.Decision:
        """Choose an upstream, or return the lookups to send first or why there is no upstream.

        Parameters
        ----------
        request
            The request.
        now
            Current time in seconds.
        rng
            Random source for the choice among upstreams of equal or similar cost.
        may_look_up
            Whether lookups may be returned. False after the answers arrived or timed out; the
            decision then uses the available state.
        """
        serving = self._pool(request.model, request.version)
        if not serving:
            return requests.NoUpstream(requests.Unroutable.NOT_SERVED, RETRY_AFTER_SECONDS)
        pool = _untried(serving, request)
        if not pool:
            return requests.NoUpstream(requests.Unroutable.ALL_TRIED, RETRY_AFTER_SECONDS)
        match self._policy:
            case policies.Prefix() as policy:
                return self._route_by_prefix(policy, request, serving, pool, now, rng, may_look_up)
            case _:
                usable = placement.usable(pool, now)
                state = self._baseline_upstream(request, serving, usable, now, rng)
                return self._baseline_route(request, state, now)

    def answer(self, lookup: messages.Lookup, now: float) -> messages.LookupAnswer:
        """Answer a lookup of another VM from this VM's index and loads."""
        self.counters.lookups_answered_for_others += 1
        return lookups.answer(lookup, self._states, self._index, now)

    def observe_answer(
        self, request: requests.RouteRequest, answer: messages.LookupAnswer, now: float
    ) -> None:
        """Apply the answer to a lookup for `request`."""
        self.counters.lookup_answers += 1
        for reported in answer.states:
            state = self._states.get(reported.upstream)
            if state is None or not self._update_incarnation(
                reported.upstream, reported.incarnation, now
            ):
                continue
            if reported.age_seconds >= 0:
                state.load.observe(lookups.load_report(reported), now)
            if reported.confidence >= lookups.SUFFICIENT_CONFIDENCE:
                hashes = request.chain.hashes[: reported.depth]
                self._recent_prefixes.record(reported.upstream, reported.incarnation, hashes, now)

    def dispatched(self, request: requests.RouteRequest, route: requests.Route, now: float) -> int:
        """Record that `request` is being sent along `route`; return the ID of the attempt."""
        self.check_route(request, route)
        hashes = request.chain.hashes
        if hashes and isinstance(self._policy, policies.Prefix):
            self._popularity.add(request.chain.hash_at(self._policy.affinity_blocks[0]), now)
        return self._attempts.dispatched(request, route, now)

    def first_token(self, attempt: int, now: float) -> None:
        """Record the first token of an attempt."""
        self._attempts.first_token(attempt, now)

    def finished(self, attempt: int, cached_tokens: int | None, now: float) -> None:
        """Record the end of an attempt and the cached tokens that its response reported, if any."""
        self._attempts.finished(attempt, cached_tokens, now)

    def failed(self, attempt: int, now: float, lost: bool = True) -> None:
        """Record the failure of an attempt; see `hollyring.routing.attempts.Attempts.failed`."""
        self._attempts.failed(attempt, now, lost)

    def check_route(self, request: requests.RouteRequest, route: requests.Route) -> bool:
        """Check organisation, incarnation and weights of `route`; return whether all match."""
        state = self._states.get(route.upstream)
        chain = request.chain
        chain_scope = (chain.organisation, chain.model, chain.version)
        request_scope = (request.organisation, request.model, request.version)
        live = state is not None and state.incarnation == route.incarnation
        served = state is not None and state.upstream.serves(request.model, request.version)
        expects_cache = route.expected_cached_tokens > 0
        check = self._invariants.check
        usable = check(
            "routing_own_organisation",
            chain_scope == request_scope,
            f"{chain_scope} for {request_scope}",
        )
        usable &= check("routing_live_incarnation", live or not expects_cache, f"{route}")
        usable &= check("routing_served_version", served, f"{route} for {request_scope}")
        return usable

    def dump(self) -> dict[str, object]:
        """Return the part of the VM's state dump that describes routing."""
        groups = (self.counters, self._lookup_planner.counters, self._attempts.counters)
        return {
            "policy": type(self._policy).__name__,
            "counters": {
                name: value for group in groups for name, value in dataclasses.asdict(group).items()
            },
            "pending": len(self._attempts),
            "index": self._index.dump(),
            "memory": self._recent_prefixes.dump(),
            "upstreams": {
                name: {
                    "incarnation": state.incarnation,
                    "watcher": self._watchers[name],
                    "on_probation": state.health.on_probation,
                    "queued_tokens": state.load.queued_tokens,
                    "slowdown": round(state.load.slowdown_log, 2),
                }
                for name, state in sorted(self._states.items())
            },
        }

    def _state(self, upstream: upstreams.Upstream, first: bool, now: float) -> placement.State:
        state = self._states.get(upstream.name)
        if state is None:
            joined = float("-inf") if first else now
            estimate = load.Load(upstream.prefill_tokens_per_second)
            return placement.State(
                upstream, estimate, health.Health(), upstream.incarnation, joined
            )
        if state.upstream.leaving and not upstream.leaving:
            state.joined_at = now
        state.upstream = upstream
        return state

    def _update_incarnation(self, upstream: str, incarnation: int, now: float) -> bool:
        state = self._states.get(upstream)
        if state is None or incarnation < state.incarnation:
            return False
        if incarnation > state.incarnation:
            if state.incarnation:
                state.joined_at = now
                state.load.reset()
                state.health.reset()
            state.incarnation = self._incarnations[upstream] = incarnation
            self._index.observe_incarnation(upstream, incarnation)
        return True

    def _pool(self, model: str, version: str) -> dict[str, placement.State]:
        pool = self._pools.get((model, version))
        if pool is None:
            pool = {
                name: state
                for name, state in self._states.items()
                if state.upstream.serves(model, version)
            }
            self._pools[model, version] = pool
        return pool

    def _cache_estimates(
        self, request: requests.RouteRequest, now: float
    ) -> dict[str, placement.CacheEstimate]:
        hashes = request.chain.hashes
        estimates = {
            name: placement.CacheEstimate(cached.blocks, cached.confidence, requests.Source.MEMORY)
            for name, cached in self._recent_prefixes.find(hashes, self._incarnations, now).items()
        }
        for name in self._index.watched:
            cached = self._index.cached_prefix(name, hashes)
            if (
                cached is None
                or not cached.blocks
                or cached.incarnation != self._incarnations.get(name)
            ):
                continue
            best = estimates.get(name, placement.NOT_CACHED)
            if cached.blocks * cached.confidence > best.blocks * best.confidence:
                source = requests.Source.INDEX
                estimates[name] = placement.CacheEstimate(cached.blocks, cached.confidence, source)
        return estimates

    def _baseline_upstream(
        self,
        request: requests.RouteRequest,
        serving: Mapping[str, placement.State],
        pool: Mapping[str, placement.State],
        now: float,
        rng: placement.RandomSource,
    ) -> placement.State:
        names = sorted(pool)
        match self._policy:
            case policies.LeastLoaded():
                return placement.least_loaded(pool, now, rng)
            case policies.HashOnly(affinity_blocks=depth) if request.chain.hashes:
                order = self._affinity.order(request, serving, depth)
                return next(state for state in order if state.name in pool)
            case policies.HashOnly():
                return pool[rng.choice(names)]
            case _:
                return pool[names[next(self._round_robin_count) % len(names)]]

    def _route_by_prefix(
        self,
        policy: policies.Prefix,
        request: requests.RouteRequest,
        serving: Mapping[str, placement.State],
        pool: Mapping[str, placement.State],
        now: float,
        rng: placement.RandomSource,
        may_look_up: bool,
    ) -> requests.Decision:
        estimates = self._cache_estimates(request, now)
        reuse = self._expected_reuse(policy, request, now)
        found = placement.candidates(
            policy, request, serving, pool, estimates, self._affinity, reuse, now
        )
        chosen = placement.choose(policy, found, rng)
        if may_look_up and chosen.prefill_seconds >= policy.lookup_threshold_seconds:
            planned = self._lookup_planner.plan(policy, request, found, self._watchers, now)
            if planned:
                return requests.NeedLookup(planned)
        self.counters.routed += 1
        return requests.Route(
            chosen.state.name,
            chosen.state.incarnation,
            chosen.cached_tokens,
            chosen.expected_seconds,
            chosen.import_blocks,
            chosen.estimate.source,
        )

    def _expected_reuse(
        self, policy: policies.Prefix, request: requests.RouteRequest, now: float
    ) -> float:
        if not request.chain.hashes:
            return 1.0
        prefix_hash = request.chain.hash_at(policy.affinity_blocks[0])
        return max(1.0, policy.reuse_weight * self._popularity.count(prefix_hash, now))

    def _baseline_route(
        self, request: requests.RouteRequest, state: placement.State, now: float
    ) -> requests.Route:
        self.counters.routed += 1
        found = self._recent_prefixes.find(request.chain.hashes, self._incarnations, now).get(
            state.name
        )
        cached = found.blocks * prompt_blocks.BLOCK_TOKENS if found else 0
        source = requests.Source.MEMORY if found else requests.Source.NOTHING
        speed = state.load.prefill_tokens_per_second
        seconds = state.load.queue_seconds(now) + (request.prompt_tokens - cached) / speed
        return requests.Route(state.name, state.incarnation, cached, seconds, 0, source)


def _untried(
    serving: dict[str, placement.State], request: requests.RouteRequest
) -> dict[str, placement.State]:
    pool = serving
    if request.excluded:
        pool = {name: s for name, s in pool.items() if name not in request.excluded}
    if not request.avoided_domains:
        return pool
    elsewhere = {
        name: state
        for name, state in pool.items()
        if state.upstream.failure_domain not in request.avoided_domains
    }
    return elsewhere or pool
