"""Choosing among upstreams by a policy."""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Mapping, Sequence

import xxhash

from hollyring.core import pieces, rendezvous
from hollyring.routing import health, load, policies, prefix, requests, upstreams

WARM_UP_SECONDS = 10.0
"""A new or returning upstream takes its share of the prefixes step by step over this time."""

MAX_CACHED_ORDERS = 1024
"""Affinity orders kept."""

_FRACTION_BITS = 20


T = typing.TypeVar("T")


class RandomSource(typing.Protocol):
    """What placement needs of ``random.Random``."""

    def choice(self, seq: Sequence[T]) -> T:
        """Return one of `seq`."""


@dataclasses.dataclass(slots=True)
class State:
    """An upstream and what is known of it now."""

    upstream: upstreams.Upstream
    load: load.Load
    health: health.Health
    incarnation: int
    joined_at: float = float("-inf")

    @property
    def name(self) -> str:
        """The upstream's name."""
        return self.upstream.name


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEstimate:
    """Leading pieces that an upstream is thought to hold."""

    blocks: int
    confidence: float
    source: requests.Source


NOT_CACHED = CacheEstimate(0, 0.0, requests.Source.NOTHING)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream with its expectations for one request.

    Parameters
    ----------
    state, held
        The upstream and what it holds of the prompt.
    cached_tokens
        Expected cached prompt tokens.
    prefill_seconds
        Time to compute or import the rest.
    seconds
        Expected time to first token.
    cost
        What is minimised: `seconds` and the policy's weights.
    import_pieces
        Pieces to import from the cache store.
    """

    state: State
    estimate: CacheEstimate
    cached_tokens: int
    prefill_seconds: float
    expected_seconds: float
    cost: float
    import_blocks: int


class Affinity:
    """Orders of upstreams by rendezvous on a prefix.

    Every VM with the same upstreams computes the same order without talking; it equals that of
    `hollyring.core.rendezvous.rank`, with the members' bytes prepared once.
    """

    __slots__ = ("_orders", "_members")

    def __init__(self) -> None:
        self._orders: dict[tuple[int, str, str], list[State]] = {}
        self._members: dict[tuple[str, str], tuple[list[State], list[bytes]]] = {}

    def clear(self) -> None:
        """Forget all orders, since the upstreams changed."""
        self._orders.clear()
        self._members.clear()

    def order(
        self, request: requests.RouteRequest, serving: Mapping[str, State], depth: int
    ) -> list[State]:
        """Return all `serving` upstreams for the prefix of `depth` pieces, best first."""
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
    """Tell whether `state` may be the first choice for the prefix `name` by now."""
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
    """Return the expectations for sending `request` to one upstream.

    Parameters
    ----------
    policy
        Weights of the cost.
    request
        The request.
    state, held
        The upstream, and what it is thought to hold of the request's chain.
    position
        Its place in the affinity order.
    reuse
        Requests among which a new copy of the prefix will soon be shared.
    now
        Present time.
    """
    speed = state.load.prefill_speed(now)
    cached = min(
        request.prompt_tokens, int(estimate.confidence * estimate.blocks * pieces.PIECE_TOKENS)
    )
    uncached = request.prompt_tokens - cached
    prefill = uncached / speed
    import_blocks = _importable(request, state, cached)
    if import_blocks:
        tokens = import_blocks * pieces.PIECE_TOKENS - cached
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
    return request.stored_blocks if request.stored_blocks * pieces.PIECE_TOKENS > cached else 0


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
    """Return the upstreams of `pool` worth considering for `request`.

    `reuse` is the number of requests among which a new copy of the prefix is shared. Considered
    are the holders of a prefix and the first few by rendezvous; while all of these queue for long,
    twice as many by rendezvous, so that a hot prefix spreads as its load grows.
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
    """Return the upstreams of `pool` that may get a request now, or all if there are none."""
    usable_pool = {name: state for name, state in pool.items() if state.health.usable(now)}
    return usable_pool or pool


def _first(
    order: Sequence[State], pool: Mapping[str, State], prefix_hash: int, count: int, now: float
) -> list[State]:
    """Return the first usable and warm upstreams of `order`, else cold, else unusable ones."""
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
    """Return the candidate of least cost, drawing among those within the policy's slack."""
    best = min(candidate.cost for candidate in found)
    limit = best + policy.slack_seconds + policy.slack_ratio * best
    close = [candidate for candidate in found if candidate.cost <= limit]
    return close[0] if len(close) == 1 else rng.choice(close)


def least_loaded(pool: Mapping[str, State], now: float, rng: RandomSource) -> State:
    """Return the upstream with the least waiting work, ties drawn at random."""
    loads = {
        name: (round(state.load.queue_seconds(now), 3), state.load.outstanding(now))
        for name, state in pool.items()
    }
    least = min(loads.values())
    return pool[rng.choice([name for name, value in loads.items() if value == least])]
