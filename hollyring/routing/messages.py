"""Messages between VMs about the cached prefixes and the load of upstreams.

Each upstream is watched by one VM, which polls its cache events and its load. Another VM that needs
this state sends the watcher one lookup for all of its upstreams that are candidates for a request.
The answer contains how much of the prompt each upstream has cached and its load.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """Query for the cached depth of a hash chain and the load at some upstreams.

    Parameters
    ----------
    lookup_id
        Number chosen by the sender, returned in the answer.
    upstreams
        Names of upstreams that the receiver watches.
    depths
        Depths in blocks, ascending, at which hashes of the chain are given.
    names
        The block hashes at these depths, 8 bytes each (`hollyring.routing.prefix.pack`).
    """

    lookup_id: int
    upstreams: list[str]
    depths: list[int]
    names: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamState:
    """Cached depth and load of one upstream, according to its watcher.

    Parameters
    ----------
    upstream, incarnation
        Name of the upstream, and the incarnation to which the other fields apply.
    depth
        Number of leading blocks of the chain that are cached, rounded down to one of the depths.
    confidence
        Confidence in the watcher's index of this upstream, from 0 to 1.
    queued_tokens, running, waiting, prefill_tokens_per_second
        Values of the last load report.
    age_seconds
        Age of the report when the answer was sent; negative if there is no report or it is too old
        to be used.
    """

    upstream: str
    incarnation: int
    depth: int
    confidence: float
    queued_tokens: int
    running: int
    waiting: int
    prefill_tokens_per_second: float
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Answer to a `Lookup`."""

    lookup_id: int
    states: list[UpstreamState]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load report of an upstream.

    Parameters
    ----------
    incarnation
        Incarnation of the upstream that sent the report.
    running, waiting
        Numbers of requests in the running batch and waiting for it.
    queued_tokens
        Uncached prompt tokens that are still to be prefilled.
    prefill_tokens_per_second
        Prefill speed.
    age_seconds
        Age of the report when it was received.
    """

    incarnation: int
    running: int
    waiting: int
    queued_tokens: int
    prefill_tokens_per_second: float
    age_seconds: float = 0.0
