"""Placement policies, as an operator names them."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Prefix:
    """Send a request where its first token is expected soonest.

    Parameters
    ----------
    affinity_blocks
        Depths, in pieces, of the prefixes by which candidates are hashed, main one first.
    fanout
        Candidates at the main depth while they are not busy.
    widen_after_seconds
        Expected queueing of all candidates beyond which twice as many are considered.
    recompute_weight
        How much a second of recomputation counts beyond its own delay: it delays others too.
    queue_scale_seconds
        Queueing that counts as one more request delayed by a recomputation: the longer the queue,
        the more requests wait behind, and spreading a prefix would waste what they need.
    position_weight
        Part of the uncached prefill by which each later candidate is handicapped, so that all VMs
        fill the same upstream with a cold prefix.
    reuse_weight
        Part of this VM's recent requests under a prefix that will share a new copy of it; the more,
        the less its recomputation weighs, so that hot prefixes spread.
    first_choice_cached_share
        Part of the prompt that the first upstream by rendezvous is presumed to hold or to be about
        to hold, since all VMs send it there first.
    slack_seconds, slack_ratio
        Candidates this close to the best are drawn from at random.
    lookup_threshold_seconds
        Expected recomputation above which the watchers are asked; infinite for never.
    lookup_candidates
        The most upstreams asked about for one request, cheapest first.
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
    """Send a request where the fewest tokens and requests are waiting, whatever is cached."""


@dataclasses.dataclass(frozen=True, slots=True)
class HashOnly:
    """Send a request to the first usable upstream by rendezvous on its prefix.

    Parameters
    ----------
    affinity_blocks
        Depth, in pieces, of the hashed prefix.
    """

    affinity_blocks: int = 4


Policy = Prefix | RoundRobin | LeastLoaded | HashOnly

NAMES: dict[str, Policy] = {
    "prefix": Prefix(),
    "round_robin": RoundRobin(),
    "least_loaded": LeastLoaded(),
    "hash_only": HashOnly(),
}
"""Policies by the name that the command line and the configuration give them."""
