"""Selection of an upstream for a completion among candidates, according to a policy.

`hollyring.routing.router` uses this module. The requests that `hollyring.node.relay` handles use
`hollyring.routing.selection` instead.
"""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Mapping, Sequence

import xxhash

from hollyring.core import prompt_blocks, rendezvous
from hollyring.routing import health, load, policies, prefix, requests, upstreams

WARM_UP_SECONDS = 10.0
"""Time over which a new or returning upstream gradually takes over its share of the prefixes."""

MAX_CACHED_ORDERS = 1024
"""Maximum number of cached affinity orders."""

_FRACTION_BITS = 20


T = typing.TypeVar("T")


class RandomSource(typing.Protocol):
    """The part of ``random.Random`` that placement uses."""

    def choice(self, seq: Sequence[T]) -> T:
        """Return a random element of `seq`."""


@dataclasses.dataclass(slots=True)
class State:
    """An upstream with its current load, health and incarnation."""

    upstream: upstreams.Upstream
    load: load.Load
    health: health.Health
    incarnation: int
    joined_at: float = float("-inf")

    @property
    def name(self) -> str:
        """Name of the upstream."""
        return self.upstream.name


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEstimate:
    """Estimated number of leading blocks that an upstream has cached."""

    blocks: int
    confidence: float
    source: requests.Source


NOT_CACHED = CacheEstimate(0, 0.0, requests.Source.NOTHING)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream with the estimates for one request.

    Parameters
    ----------
    state, estimate
        The upstream and its cached part of the prompt.
    cached_tokens
        Expected number of cached prompt tokens.
    prefill_seconds
        Time to compute or import the remaining prompt tokens.
    expected_seconds
        Expected time to first token.
    cost
        Value that is minimised: `expected_seconds` plus the weighted recomputation time.
    import_blocks
        Number of leading blocks to import from the cache store.
    """

    state: State
    estimate: CacheEstimate
    cached_tokens: int
    prefill_seconds: float
    expected_seconds: float
    cost: float
    import_blocks: int


class Affinity:
    """Orders of upstreams by rendezvous hashing of a prefix.

    All VMs with the same upstreams compute the same order without communication. It equals that of
    `hollyring.core.rendezvous.rank`, but the names of the upstreams are encoded only once.
    """

    __slots__ = ("_orders", "_members")

    def __init__(self) -> None:
        self._orders: dict[tuple[int, str, str], list[State]] = {}
        self._members: dict[tuple[str, str], tuple[list[State], list[bytes]]] = {}

    def clear(self) -> None:
        """Drop all cached orders after a change of the upstreams."""
        self._orders.clear()
        self._members.clear()

    def order(
        self, request: requests.RouteRequest, serving: Mapping[str, State], depth: int
    ) -> list[State]:
        """Return all `serving` upstreams in order for the prefix of `depth` blocks, best first."""
        prefix_hash = request.chain.hash_at(depth)
        key = (prefix_hash, request.model, request.version)
        order = self._orders.get(key)
        if order is None:
            order = self._rank(prefix_hash, request, serving)
            if len(self._orders) >= MAX_CACHED_ORDERS:
                self._orders.clear()
            self._orders[key] = order
        return order

    def _rank(
        self, prefix_hash: int, request: requests.RouteRequest, serving: Mapping[str, State]
    ) -> list[State]:
        members = self._members.get((request.model, request.version))
        if members is None:
            states = [serving[member] for member in sorted(serving)]
            members = (states, [state.name.encode() for state in states])
            self._members[request.model, request.version] = members
        states, encoded = members
        digest = xxhash.xxh3_64_intdigest
        seed = digest(prefix.pack([prefix_hash]))
        weights = [digest(member, seed=seed) for member in encoded]
        ranked = sorted(range(len(states)), key=weights.__getitem__, reverse=True)
        return [states[position] for position in ranked]


def is_warm(state: State, prefix_hash: int, now: float) -> bool:
    """Return whether `state` has warmed up, or has already taken over the prefix `prefix_hash`."""
    age = now - state.joined_at
    if age >= WARM_UP_SECONDS:
        return True
    fraction = rendezvous.weight(prefix.pack([prefix_hash]), state.name) & (
        (1 << _FRACTION_BITS) - 1
    )
    return fraction < age / WARM_UP_SECONDS * (1 << _FRACTION_BITS)


def evaluate(
    policy: policies.Prefix,
    request: requests.RouteRequest,
    state: State,
    estimate: CacheEstimate,
    position: int,
    reuse: float,
    now: float,
) -> Candidate:
    """Return the estimates for sending `request` to one upstream.

    Parameters
    ----------
    policy
        Weights of the cost.
    request
        The request.
    state, estimate
        The upstream and the estimate of what it has cached of the request's chain.
    position
        Position of the upstream in the affinity order. `candidates` passes 0 for an upstream that
        is estimated to have part of the prompt cached, `Prefix.fanout` for one from the order at
        another depth than the main one, and 0 or 1 if the prompt has no whole block.
    reuse
        Expected number of requests that will soon share a new copy of the prefix.
    now
        Current time in seconds.
    """
    speed = state.load.prefill_speed(now)
    cached = min(
        request.prompt_tokens,
        int(estimate.confidence * estimate.blocks * prompt_blocks.BLOCK_TOKENS),
    )
    uncached = request.prompt_tokens - cached
    prefill = uncached / speed
    import_blocks = _importable(request, state, cached)
    if import_blocks:
        tokens = import_blocks * prompt_blocks.BLOCK_TOKENS - cached
        prefill -= tokens / speed - tokens / state.upstream.import_tokens_per_second
    queue_seconds = state.load.queue_seconds(now)
    expected_seconds = state.upstream.round_trip_seconds + queue_seconds + prefill
    cached_share = policy.first_choice_cached_share if position == 0 else 0.0
    recompute_seconds = prefill * (1.0 - cached_share + policy.position_weight * position)
    weight = policy.recompute_weight / reuse + queue_seconds / policy.queue_scale_seconds
    cost = expected_seconds + recompute_seconds * weight
    return Candidate(state, estimate, cached, prefill, expected_seconds, cost, import_blocks)


def _importable(request: requests.RouteRequest, state: State, cached: int) -> int:
    import_speed = state.upstream.import_tokens_per_second
    if import_speed <= state.load.prefill_tokens_per_second:
        return 0
    return (
        request.stored_blocks if request.stored_blocks * prompt_blocks.BLOCK_TOKENS > cached else 0
    )


def candidates(
    policy: policies.Prefix,
    request: requests.RouteRequest,
    serving: Mapping[str, State],
    pool: Mapping[str, State],
    estimates: Mapping[str, CacheEstimate],
    affinity: Affinity,
    reuse: float,
    now: float,
) -> list[Candidate]:
    """Return the upstreams of `pool` among which one is chosen for `request`.

    These are the upstreams that have a prefix cached and the first few in the affinity order. While
    all of them have long queues, the number taken from that order is doubled, so that a hot prefix
    spreads as its load grows. `reuse` is the expected number of requests that will share a new copy
    of the prefix.
    """
    found: dict[str, Candidate] = {}

    def consider(state: State, position: int) -> None:
        if state.name not in found:
            estimate = estimates.get(state.name, NOT_CACHED)
            found[state.name] = evaluate(policy, request, state, estimate, position, reuse, now)

    for name in estimates:
        if name in pool and pool[name].health.usable(now):
            consider(pool[name], 0)
    if not request.chain.hashes:
        for position, state in enumerate(usable(pool, now).values()):
            consider(state, position and 1)
        return list(found.values())
    orders = [affinity.order(request, serving, depth) for depth in policy.affinity_blocks]
    prefix_hashes = [request.chain.hash_at(depth) for depth in policy.affinity_blocks]
    for order, prefix_hash in zip(orders[1:], prefix_hashes[1:], strict=True):
        for state in _first(order, pool, prefix_hash, 1, now):
            consider(state, policy.fanout)
    width = policy.fanout
    while True:
        for position, state in enumerate(_first(orders[0], pool, prefix_hashes[0], width, now)):
            consider(state, position)
        if width >= len(orders[0]) or not _all_queued(policy, found.values(), now):
            return list(found.values())
        width *= 2


def usable(pool: Mapping[str, State], now: float) -> Mapping[str, State]:
    """Return the upstreams of `pool` that may receive a request now, or all of them if none may."""
    usable_pool = {name: state for name, state in pool.items() if state.health.usable(now)}
    return usable_pool or pool


def _first(
    order: Sequence[State], pool: Mapping[str, State], prefix_hash: int, count: int, now: float
) -> list[State]:
    """Return the first `count` warm upstreams of `order` that are usable.

    If there are none, return the first cold ones, or else the first that are not usable.
    """
    first: list[State] = []
    cold: list[State] = []
    suspended: list[State] = []
    for state in order:
        if state.name not in pool:
            continue
        if not state.health.usable(now):
            suspended.append(state)
            continue
        (first if is_warm(state, prefix_hash, now) else cold).append(state)
        if len(first) == count:
            return first
    return first or cold[:count] or suspended[:count]


def _all_queued(policy: policies.Prefix, found: typing.Iterable[Candidate], now: float) -> bool:
    waits = (candidate.expected_seconds - candidate.prefill_seconds for candidate in found)
    return min(waits, default=float("inf")) > policy.widen_after_seconds


def choose(policy: policies.Prefix, found: Sequence[Candidate], rng: RandomSource) -> Candidate:
    """Return the candidate of least cost, or a random one of those within the policy's slack."""
    best = min(candidate.cost for candidate in found)
    limit = best + policy.slack_seconds + policy.slack_ratio * best
    close = [candidate for candidate in found if candidate.cost <= limit]
    return close[0] if len(close) == 1 else rng.choice(close)


def least_loaded(pool: Mapping[str, State], now: float, rng: RandomSource) -> State:
    """Return the upstream with the least queued work.

    Among equals, the one with the fewest outstanding requests is preferred; ties are broken at
    random.
    """
    loads = {
        name: (round(state.load.queue_seconds(now), 3), state.load.outstanding(now))
        for name, state in pool.items()
    }
    least = min(loads.values())
    return pool[rng.choice([name for name, value in loads.items() if value == least])]
