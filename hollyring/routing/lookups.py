"""Lookups: queries to the VMs that watch a few candidates, and the answers to them."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Mapping, Sequence

from hollyring.routing import index, messages, placement, policies, prefix, requests

LOOKUP_BYTES_PER_SECOND = 1_500.0
"""Mean rate of this VM's lookups and answers; beyond it, requests are routed without lookups."""

LOOKUP_BURST_BYTES = 15_000.0
LOOKUP_BYTES = 80
"""Size of the framing of one lookup and its answer."""

UPSTREAM_BYTES = 70
"""Size of one upstream's name in a lookup plus its state in the answer."""

MAX_REPORT_AGE_SECONDS = 600.0
"""Age from which a load report is marked as absent in an answer."""

DEPTH_RATIO = 4
"""Ratio between successive depths at which a lookup contains a hash of the chain."""

SUFFICIENT_CONFIDENCE = 0.5
"""Confidence from which a cached prefix needs no lookup, and from which an answer is recorded."""


@dataclasses.dataclass(slots=True)
class Counters:
    """Lookups to send, and requests routed without lookups because of the byte rate."""

    lookups: int = 0
    lookups_unaffordable: int = 0


class LookupPlanner:
    """Selects the watchers to query, within a byte rate.

    Parameters
    ----------
    vm
        Name of this VM; upstreams that it watches itself need no lookup.
    """

    __slots__ = ("_vm", "_lookup_ids", "_available_bytes", "_refilled_at", "counters")

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._lookup_ids = itertools.count(1)
        self._available_bytes = LOOKUP_BURST_BYTES
        self._refilled_at = 0.0
        self.counters = Counters()

    def plan(
        self,
        policy: policies.Prefix,
        request: requests.RouteRequest,
        candidates: Sequence[placement.Candidate],
        watchers: Mapping[str, str],
        now: float,
    ) -> tuple[requests.AddressedLookup, ...]:
        """Return the lookups to send before choosing among `candidates`.

        The cheapest candidates are looked up, except those that this VM watches and those whose
        estimates have sufficient confidence. Lookups beyond the byte rate are not sent.
        """
        by_vm: dict[str, list[str]] = {}
        cheapest = sorted(candidates, key=lambda candidate: candidate.cost)
        for candidate in cheapest[: policy.lookup_candidates]:
            name = candidate.state.name
            watcher = watchers[name]
            if watcher == self._vm or candidate.estimate.confidence >= SUFFICIENT_CONFIDENCE:
                continue
            by_vm.setdefault(watcher, []).append(name)
        if not by_vm:
            return ()
        depths = sparse_depths(len(request.chain))
        packed = prefix.pack([request.chain.hashes[depth - 1] for depth in depths])
        count = sum(len(upstream_names) for upstream_names in by_vm.values())
        if not self._spend(len(by_vm) * (LOOKUP_BYTES + len(packed)) + count * UPSTREAM_BYTES, now):
            return ()
        self.counters.lookups += len(by_vm)
        return tuple(
            requests.AddressedLookup(
                vm, messages.Lookup(next(self._lookup_ids), upstream_names, depths, packed)
            )
            for vm, upstream_names in by_vm.items()
        )

    def _spend(self, cost: int, now: float) -> bool:
        elapsed = max(0.0, now - self._refilled_at)
        available = self._available_bytes + elapsed * LOOKUP_BYTES_PER_SECOND
        self._available_bytes = min(LOOKUP_BURST_BYTES, available)
        self._refilled_at = now
        if cost > self._available_bytes:
            self.counters.lookups_unaffordable += 1
            return False
        self._available_bytes -= cost
        return True


def answer(
    lookup: messages.Lookup,
    states: Mapping[str, placement.State],
    cache_index: index.CacheIndex,
    now: float,
) -> messages.LookupAnswer:
    """Return the answer to a lookup from another VM.

    The answer leaves out unknown upstreams; to a malformed lookup, it is empty.
    """
    hashes = prefix.unpack(lookup.names)
    if len(hashes) != len(lookup.depths):
        return messages.LookupAnswer(lookup.lookup_id, [])
    watched = [states[name] for name in lookup.upstreams if name in states]
    upstream_states = [
        _upstream_state(state, lookup.depths, hashes, cache_index, now) for state in watched
    ]
    return messages.LookupAnswer(lookup.lookup_id, upstream_states)


def load_report(state: messages.UpstreamState) -> messages.LoadReport:
    """Return the load report contained in an answer."""
    return messages.LoadReport(
        state.incarnation,
        state.running,
        state.waiting,
        state.queued_tokens,
        state.prefill_tokens_per_second,
        state.age_seconds,
    )


def sparse_depths(block_count: int) -> list[int]:
    """Return the depths at which a lookup contains a hash of a chain.

    Examples
    --------
    >>> sparse_depths(30)
    [1, 4, 16, 30]
    """
    depths = []
    depth = 1
    while depth < block_count:
        depths.append(depth)
        depth *= DEPTH_RATIO
    return [*depths, block_count]


def _upstream_state(
    state: placement.State,
    depths: Sequence[int],
    hashes: Sequence[int],
    cache_index: index.CacheIndex,
    now: float,
) -> messages.UpstreamState:
    cached = cache_index.cached_prefix(state.name, hashes) or index.CachedPrefix(
        0, 0.0, state.incarnation
    )
    age = state.load.age(now)
    return messages.UpstreamState(
        state.name,
        state.incarnation,
        depths[cached.blocks - 1] if cached.blocks else 0,
        cached.confidence,
        int(state.load.queued_tokens),
        state.load.running,
        state.load.waiting,
        state.load.prefill_tokens_per_second,
        age if age < MAX_REPORT_AGE_SECONDS else -1.0,
    )
