"""The routing state of one VM: what the node feeds and asks."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterable, Mapping, Sequence

from hollyring.core import invariants as core_invariants
from hollyring.core import pieces, rendezvous
from hollyring.routing import (
    events,
    health,
    index,
    load,
    lookups,
    memory,
    messages,
    placement,
    policies,
    popularity,
    prefix,
    requests,
    upstreams,
)

RETRY_AFTER_SECONDS = 1.0
MAX_PENDING_SECONDS = 600.0
MAX_PENDING = 20_000
"""Dispatches followed at once; the oldest is given up beyond it."""


@dataclasses.dataclass(slots=True)
class _Pending:
    upstream: str
    incarnation: int
    chain: prefix.Chain
    expected_pieces: int
    expected_seconds: float
    source: requests.Source
    sighting_age: float
    at: float
    started: bool = False


@dataclasses.dataclass(slots=True)
class Counters:
    """How routing fared."""

    routed: int = 0
    lookup_answers: int = 0
    lookups_answered_for_others: int = 0
    late: int = 0
    failed: int = 0
    expected_pieces: int = 0
    cached_pieces: int = 0


class Router:
    """Decides where requests go, with what this VM holds or can fetch in one round trip.

    Parameters
    ----------
    vm
        This VM's name.
    policy
        How upstreams are chosen.
    invariants
        Counts what must always hold.
    cache_index
        Index of the watched upstreams; by default one of the standard size.

    Examples
    --------
    >>> import random
    >>> router = Router("vm-1", policies.Prefix(), core_invariants.Invariants())
    >>> served = (upstreams.Served("parish", "v1"),)
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
        self._memory = memory.Sightings()
        self._popularity = popularity.Popularity()
        self._states: dict[str, placement.State] = {}
        self._lives: dict[str, int] = {}
        self._watchers: dict[str, str] = {}
        self._pools: dict[tuple[str, str], dict[str, placement.State]] = {}
        self._affinity = placement.Affinity()
        self._pending: dict[int, _Pending] = {}
        self._attempts = itertools.count(1)
        self._asker = lookups.Asker(vm)
        self._turn = itertools.count()
        self.counters = Counters()

    @property
    def policy(self) -> policies.Policy:
        """The placement policy."""
        return self._policy

    @property
    def lookups_sent(self) -> int:
        """Lookups that this VM asked for."""
        return self._asker.counters.lookups

    def configure(
        self, listed: Iterable[upstreams.Upstream], vms: Sequence[str], now: float
    ) -> None:
        """Set the upstreams of this VM's region and the live VMs that watch them.

        Upstreams that appear after the first call are filled step by step.
        """
        first = not self._states
        states = {}
        for upstream in listed:
            states[upstream.name] = self._state(upstream, first, now)
        self._states = states
        self._lives = {name: state.incarnation for name, state in states.items()}
        self._pools.clear()
        self._affinity.clear()
        live = sorted({self._vm, *vms})
        self._watchers = {name: rendezvous.rank(name.encode(), live)[0] for name in states}
        self._index.watch(name for name, vm in self._watchers.items() if vm == self._vm)
        for state in states.values():
            self._learn_incarnation(state.name, state.upstream.incarnation, now)

    def watched(self) -> list[str]:
        """Return the upstreams whose events and load this VM polls."""
        return self._index.watched

    def events_after(self, upstream: str) -> int:
        """Return the sequence number after which the node polls for events."""
        return self._index.applied(upstream)

    def due_resync(self, now: float) -> list[str]:
        """Return the watched upstreams whose snapshot the node should fetch now."""
        return self._index.due_resync(now)

    def observe_events(self, upstream: str, batch: events.EventBatch, now: float) -> None:
        """Take in cache events of a watched upstream."""
        self._learn_incarnation(upstream, batch.incarnation, now)
        self._index.observe_events(upstream, batch, now)

    def observe_snapshot(self, upstream: str, snapshot: events.Snapshot, now: float) -> None:
        """Take in a watched upstream's snapshot."""
        self._learn_incarnation(upstream, snapshot.incarnation, now)
        self._index.observe_snapshot(upstream, snapshot, now)

    def observe_load(self, upstream: str, report: messages.LoadReport, now: float) -> None:
        """Take in an upstream's load report; one of an earlier life is dropped."""
        state = self._states.get(upstream)
        if state is None or not self._learn_incarnation(upstream, report.incarnation, now):
            return
        state.load.observe(report, now)

    def route(
        self,
        request: requests.RouteRequest,
        now: float,
        draw: placement.Draw,
        may_look_up: bool = True,
    ) -> requests.Decision:
        """Choose an upstream, or say which VMs to ask first.

        Parameters
        ----------
        request
            The request.
        now
            Present time.
        draw
            Source of the random tie-break.
        may_look_up
            False once answers have come or the time for them is over: the decision is then made
            with what is held.
        """
        serving = self._pool(request.model, request.version)
        if not serving:
            return requests.NoUpstream(requests.Unroutable.NOT_SERVED, RETRY_AFTER_SECONDS)
        pool = _untried(serving, request, now)
        if not pool:
            return requests.NoUpstream(requests.Unroutable.ALL_TRIED, RETRY_AFTER_SECONDS)
        match self._policy:
            case policies.Prefix() as policy:
                return self._route_by_prefix(policy, request, serving, pool, now, draw, may_look_up)
            case policies.RoundRobin():
                names = sorted(pool)
                return self._plain(request, pool[names[next(self._turn) % len(names)]], now)
            case policies.LeastLoaded():
                return self._plain(request, placement.least_loaded(pool, now, draw), now)
            case policies.HashOnly(affinity_pieces=depth):
                if not request.chain.names:
                    return self._plain(request, pool[draw.choice(sorted(pool))], now)
                order = self._affinity.order(request, serving, depth)
                state = next(state for state in order if state.name in pool)
                return self._plain(request, state, now)

    def answer(self, lookup: messages.Lookup, now: float) -> messages.LookupAnswer:
        """Answer another VM's lookup from this VM's index and loads."""
        self.counters.lookups_answered_for_others += 1
        return lookups.answer(lookup, self._states, self._index, now)

    def observe_answer(
        self, request: requests.RouteRequest, answer: messages.LookupAnswer, now: float
    ) -> None:
        """Take in what a watcher answered about `request`."""
        self.counters.lookup_answers += 1
        for about in answer.states:
            state = self._states.get(about.upstream)
            if state is None or not self._learn_incarnation(about.upstream, about.incarnation, now):
                continue
            if about.age_seconds >= 0:
                state.load.observe(lookups.report(about), now)
            if about.confidence >= lookups.KNOWN_CONFIDENCE:
                names = request.chain.names[: about.depth]
                self._memory.remember(about.upstream, about.incarnation, names, now)

    def dispatched(self, request: requests.RouteRequest, route: requests.Route, now: float) -> int:
        """Note that `request` is being sent along `route`; return the attempt's number."""
        state = self._states.get(route.upstream)
        self.assert_usable(request, route)
        attempt = next(self._attempts)
        names = request.chain.names
        expected = route.expected_cached_tokens
        if len(self._pending) >= MAX_PENDING:
            self._forget(next(iter(self._pending)))
        self._pending[attempt] = _Pending(
            route.upstream,
            route.incarnation,
            request.chain,
            expected // pieces.PIECE_TOKENS,
            route.expected_seconds,
            route.source,
            self._memory.age(route.upstream, names, expected // pieces.PIECE_TOKENS, now),
            now,
        )
        self.counters.expected_pieces += expected // pieces.PIECE_TOKENS
        if state is not None:
            state.load.dispatched(attempt, request.prompt_tokens - expected, now)
            state.health.dispatched(attempt)
            self._memory.remember(route.upstream, route.incarnation, names, now)
        if names and isinstance(self._policy, policies.Prefix):
            self._popularity.add(request.chain.name_at(self._policy.affinity_pieces[0]), now)
        return attempt

    def first_token(self, attempt: int, now: float) -> None:
        """Note the first token of an attempt."""
        pending = self._pending.get(attempt)
        if pending is None or pending.started:
            self.counters.late += pending is None
            return
        pending.started = True
        state = self._states.get(pending.upstream)
        if state is None or state.incarnation != pending.incarnation:
            return
        state.load.first_token(attempt, now)
        state.health.first_token(attempt, now - pending.at, pending.expected_seconds, now)
        self._memory.remember(pending.upstream, pending.incarnation, pending.chain.names, now)

    def finished(self, attempt: int, cached_tokens: int | None, now: float) -> None:
        """Note the end of an attempt and the cached tokens that its answer reported, if any."""
        pending = self._forget(attempt)
        if pending is None:
            self.counters.late += 1
            return
        if cached_tokens is None:
            return
        cached = cached_tokens // pieces.PIECE_TOKENS
        self.counters.cached_pieces += cached
        if pending.source is requests.Source.INDEX:
            self._index.contradict(pending.upstream, pending.expected_pieces, cached)
        if pending.source is requests.Source.MEMORY:
            kept = cached >= pending.expected_pieces
            self._memory.learn(pending.upstream, pending.sighting_age, kept)

    def failed(self, attempt: int, now: float, lost: bool = True) -> None:
        """Note that an attempt failed.

        Parameters
        ----------
        attempt
            Its number.
        now
            Present time.
        lost
            The connection failed or was cut, so that the upstream may have restarted; false for a
            refusal by a living upstream.
        """
        pending = self._forget(attempt, now)
        if pending is None:
            self.counters.late += 1
            return
        self.counters.failed += 1
        if lost:
            self._memory.invalidate(pending.upstream, now)
        else:
            held = pending.chain.names[pending.expected_pieces :]
            self._memory.forget(pending.upstream, held)

    def assert_usable(self, request: requests.RouteRequest, route: requests.Route) -> bool:
        """Check that `route` relies on no dead engine, other organisation or older weights."""
        state = self._states.get(route.upstream)
        chain = request.chain
        whose = (chain.organisation, chain.model, chain.version)
        asked = (request.organisation, request.model, request.version)
        live = state is not None and state.incarnation == route.incarnation
        served = state is not None and state.upstream.serves(request.model, request.version)
        relies = route.expected_cached_tokens > 0
        check = self._invariants.check
        usable = check("routing_own_organisation", whose == asked, f"{whose} for {asked}")
        usable &= check("routing_live_incarnation", live or not relies, f"{route}")
        usable &= check("routing_served_version", served, f"{route} for {asked}")
        return usable

    def dump(self) -> dict[str, object]:
        """Return the state for the VM's state dump."""
        return {
            "policy": type(self._policy).__name__,
            "counters": dataclasses.asdict(self.counters)
            | dataclasses.asdict(self._asker.counters),
            "pending": len(self._pending),
            "index": self._index.dump(),
            "memory": self._memory.dump(),
            "upstreams": {
                name: {
                    "incarnation": state.incarnation,
                    "watcher": self._watchers[name],
                    "on_probation": state.health.on_probation,
                    "queued_tokens": state.load.queued_tokens,
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

    def _learn_incarnation(self, upstream: str, incarnation: int, now: float) -> bool:
        state = self._states.get(upstream)
        if state is None or incarnation < state.incarnation:
            return False
        if incarnation > state.incarnation:
            if state.incarnation:
                state.joined_at = now
                state.load.restart()
                state.health.restart()
            state.incarnation = self._lives[upstream] = incarnation
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

    def _held(self, request: requests.RouteRequest, now: float) -> dict[str, placement.Held]:
        names = request.chain.names
        held = {
            name: placement.Held(about.pieces, about.confidence, requests.Source.MEMORY)
            for name, about in self._memory.recall(names, self._lives, now).items()
        }
        for name in self._index.watched:
            about = self._index.depth(name, names)
            if about is None or not about.pieces or about.incarnation != self._lives.get(name):
                continue
            known = held.get(name, placement.NOTHING_HELD)
            if about.pieces * about.confidence > known.pieces * known.confidence:
                source = requests.Source.INDEX
                held[name] = placement.Held(about.pieces, about.confidence, source)
        return held

    def _route_by_prefix(
        self,
        policy: policies.Prefix,
        request: requests.RouteRequest,
        serving: Mapping[str, placement.State],
        pool: Mapping[str, placement.State],
        now: float,
        draw: placement.Draw,
        may_look_up: bool,
    ) -> requests.Decision:
        held = self._held(request, now)
        reuse = self._reuse(policy, request, now)
        found = placement.candidates(
            policy, request, serving, pool, held, self._affinity, reuse, now
        )
        chosen = placement.choose(policy, found, draw)
        if may_look_up and chosen.prefill_seconds >= policy.lookup_stake_seconds:
            asked = self._asker.ask(policy, request, found, self._watchers, now)
            if asked:
                return requests.NeedLookup(asked)
        self.counters.routed += 1
        return requests.Route(
            chosen.state.name,
            chosen.state.incarnation,
            chosen.cached_tokens,
            chosen.seconds,
            chosen.import_pieces,
            chosen.held.source,
        )

    def _reuse(self, policy: policies.Prefix, request: requests.RouteRequest, now: float) -> float:
        if not request.chain.names:
            return 1.0
        name = request.chain.name_at(policy.affinity_pieces[0])
        return max(1.0, policy.reuse_weight * self._popularity.count(name, now))

    def _plain(
        self, request: requests.RouteRequest, state: placement.State, now: float
    ) -> requests.Route:
        self.counters.routed += 1
        held = self._memory.recall(request.chain.names, self._lives, now).get(state.name)
        cached = held.pieces * pieces.PIECE_TOKENS if held else 0
        source = requests.Source.MEMORY if held else requests.Source.NOTHING
        speed = state.load.prefill_tokens_per_second
        seconds = state.load.queue_seconds(now) + (request.prompt_tokens - cached) / speed
        return requests.Route(state.name, state.incarnation, cached, seconds, 0, source)

    def _forget(self, attempt: int, failed_at: float | None = None) -> _Pending | None:
        pending = self._pending.pop(attempt, None)
        state = self._states.get(pending.upstream) if pending else None
        if state is None:
            return pending
        state.load.forget(attempt)
        if failed_at is not None:
            state.health.failed(attempt, failed_at)
        else:
            state.health.ended(attempt)
        return pending


def _untried(
    serving: dict[str, placement.State], request: requests.RouteRequest, now: float
) -> dict[str, placement.State]:
    pool = serving
    if request.excluded:
        pool = {name: s for name, s in pool.items() if name not in request.excluded}
    if any(state.health.on_probation for state in pool.values()):
        usable = {name: state for name, state in pool.items() if state.health.usable(now)}
        pool = usable or pool
    if not request.avoided_domains:
        return pool
    elsewhere = {
        name: state
        for name, state in pool.items()
        if state.upstream.failure_domain not in request.avoided_domains
    }
    return elsewhere or pool
