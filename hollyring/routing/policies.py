"""Placement policies and their names in the configuration."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Prefix:
    """Send a request where its first token is expected soonest.

    Parameters
    ----------
    affinity_blocks
        Depths, in blocks, of the prefixes hashed to find candidates; the main depth first.
    fanout
        Number of candidates at the main depth while they are not busy.
    widen_after_seconds
        If all candidates are expected to queue for longer, twice as many are considered.
    recompute_weight
        Cost of a second of recomputation besides its own delay, because it delays other requests.
    queue_scale_seconds
        Queueing time that counts as one more request delayed by a recomputation. The longer the
        queue, the more requests wait behind it, and copying a prefix would use the capacity that
        they need.
    position_weight
        Share of the uncached prefill added to the recomputation per position in the affinity order,
        so that all VMs send a cold prefix to the same upstream.
    reuse_weight
        Expected number of requests that share a new copy of a prefix, per recent request of this VM
        under that prefix. The more there are, the less its recomputation costs, so that hot
        prefixes spread.
    first_choice_cached_share
        Share of the prompt assumed to be cached, now or soon, at the first upstream of the affinity
        order, because all VMs send it there first.
    slack_seconds, slack_ratio
        Candidates whose cost is this close to the least one are chosen from at random.
    lookup_threshold_seconds
        Expected recomputation time from which lookups are sent; infinite for never.
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
