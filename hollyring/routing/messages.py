"""What VMs ask each other about the upstreams they watch.

A VM that isn't the watcher of an upstream asks the watcher, once and for all its candidates there,
how much of a prompt the upstream holds and how loaded it is.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """Ask a watcher about some of its upstreams.

    Parameters
    ----------
    lookup_id
        The asker's number, returned in the answer.
    upstreams
        Names of upstreams that the receiver watches.
    depths
        Depths in pieces, ascending, at which the chain is given.
    names
        The names at these depths, 8 bytes each (`hollyring.routing.prefix.pack`).
    """

    lookup_id: int
    upstreams: list[str]
    depths: list[int]
    names: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamState:
    """One upstream's cached depth and load, as its watcher knows them.

    Parameters
    ----------
    upstream, incarnation
        Which life of which upstream this is about.
    depth
        Pieces of the asked chain that are cached, to the precision of the asked depths.
    confidence
        From 0 to 1: how far the watcher trusts its index of this upstream.
    queued_tokens, running, waiting, prefill_tokens_per_second
        The last load report.
    age_seconds
        The report's age when the answer was sent; negative if there is no report.
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
    """The watcher's answer to a `Lookup`."""

    lookup_id: int
    states: list[UpstreamState]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream says of its load.

    Parameters
    ----------
    incarnation
        The upstream's life that reported.
    running, waiting
        Requests in the batch and before it.
    queued_tokens
        Uncached prompt tokens still to be prefilled.
    prefill_tokens_per_second
        Its prefill speed.
    age_seconds
        How old the figures were when they were received.
    """

    incarnation: int
    running: int
    waiting: int
    queued_tokens: int
    prefill_tokens_per_second: float
    age_seconds: float = 0.0
