"""Messages between VMs about the upstreams that they watch.

A VM that does not watch an upstream sends the watching VM one lookup for all candidates there. The
answer contains how much of the prompt each upstream has cached and its load.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """Query to the VM that watches some upstreams.

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
    """Cached depth and load of one upstream, according to the VM that watches it.

    Parameters
    ----------
    upstream, incarnation
        Name of the upstream and its incarnation that the other fields describe.
    depth
        Number of leading blocks of the chain that are cached, rounded down to one of the depths.
    confidence
        Confidence in the watching VM's index of this upstream, from 0 to 1.
    queued_tokens, running, waiting, prefill_tokens_per_second
        The last load report.
    age_seconds
        Age of the report when the answer was sent; negative if there is no report.
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
