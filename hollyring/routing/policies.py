"""Placement policies and their names in the configuration."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Prefix:
    """Send a request to the upstream with the lowest cost.

    The cost is the expected time to first token plus the weighted time of recomputing the uncached
    part of the prompt; see `hollyring.routing.placement.evaluate`.

    Parameters
    ----------
    affinity_blocks
        Depths, in blocks, of the prefixes whose hashes determine candidates. The first one, the
        main depth, gives `fanout` candidates, each other one gives one.
    fanout
        Number of candidates at the main depth while their queues are short.
    widen_after_seconds
        The number of candidates is doubled while all are expected to queue for longer than this.
    recompute_weight
        Weight of the recomputation time in the cost. It stands for the delay of other requests; the
        delay of the request itself is in its time to first token.
    queue_scale_seconds
        Queueing time that raises the weight of the recomputation time by 1. The longer the queue,
        the more requests wait behind it, and copying a prefix would use the capacity that they
        need.
    position_weight
        Share of the prefill time added to the recomputation time for each position of the upstream
        in the affinity order, so that all VMs send a cold prefix to the same upstream.
    reuse_weight
        Ratio of the requests that are expected to share a new copy of a prefix to the recent
        requests of this VM with that prefix. `recompute_weight` is divided by the expected number
        of requests, so that hot prefixes spread.
    first_choice_cached_share
        Share of the prefill time that does not count as recomputation at the first upstream of the
        affinity order, because all VMs send the prefix there first, so that it is cached anyway. It
        also applies to each upstream that is estimated to have part of the prompt cached.
    slack_seconds, slack_ratio
        One of the candidates whose cost exceeds the lowest by at most `slack_seconds` plus
        `slack_ratio` times the lowest is chosen at random.
    lookup_threshold_seconds
        Lookups are sent if the prefill time of the chosen candidate is at least this; infinite for
        never.
    lookup_candidates
        Maximum number of upstreams looked up for one request, cheapest first.
    """

    affinity_blocks: tuple[int, ...] = (4, 16)
    fanout: int = 2
    widen_after_seconds: float = 0.25
    recompute_weight: float = 8.0
    queue_scale_seconds: float = 0.1
    reuse_weight: float = 2.0
    first_choice_cached_share: float = 1.0
    position_weight: float = 0.1
    slack_seconds: float = 0.005
    slack_ratio: float = 0.02
    lookup_threshold_seconds: float = 0.5
    lookup_candidates: int = 3


@dataclasses.dataclass(frozen=True, slots=True)
class RoundRobin:
    """Send requests to the upstreams in turn."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeastLoaded:
    """Send a request to the upstream with the least queued work, whatever it has cached."""


@dataclasses.dataclass(frozen=True, slots=True)
class HashOnly:
    """Send a request to the first usable upstream by rendezvous hashing of its prefix.

    Parameters
    ----------
    affinity_blocks
        Depth, in blocks, of the hashed prefix.
    """

    affinity_blocks: int = 4


Policy = Prefix | RoundRobin | LeastLoaded | HashOnly

BY_NAME: dict[str, Policy] = {
    "prefix": Prefix(),
    "round_robin": RoundRobin(),
    "least_loaded": LeastLoaded(),
    "hash_only": HashOnly(),
}
"""Policies by their names on the command line and in the configuration."""
