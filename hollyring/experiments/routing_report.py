"""Summary statistics of a routing comparison."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Sequence


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of one policy's run on one workload.

    Parameters
    ----------
    prompt_tokens, cached_tokens
        Prompt tokens of the answered requests, and those of them that were cached.
    wasted_tokens
        Prompt tokens that were recomputed although the reference cache, or in a simulation any
        upstream, had them cached.
    reference_tokens
        Prompt tokens that a cache of unlimited size would have had.
    wrong
        Number of complete answers with wrong content.
    refused, failed
        Number of requests that ended with an error code or a connection error, and of other
        requests that were not completed.
    lookups, control_bytes
        Number of lookups between VMs, and their bytes.
    events, snapshot_blocks
        Number of cache events, and of blocks in snapshots of caches.
    first_token_seconds
        Times to first token by organisation, in seconds.
    """

    prompt_tokens: int = 0
    cached_tokens: int = 0
    wasted_tokens: int = 0
    reference_tokens: int = 0
    wrong: int = 0
    refused: int = 0
    failed: int = 0
    lookups: int = 0
    control_bytes: int = 0
    events: int = 0
    snapshot_blocks: int = 0
    first_token_seconds: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )

    def add(self, organisation: str, seconds: float, prompt: int, cached: int, wasted: int) -> None:
        """Record an answered request with its time to first token and its numbers of tokens."""
        self.first_token_seconds[organisation].append(seconds)
        self.prompt_tokens += prompt
        self.cached_tokens += cached
        self.wasted_tokens += wasted

    def summary(self) -> Summary:
        """Return the summary statistics."""
        all_seconds = sorted(
            seconds for each in self.first_token_seconds.values() for seconds in each
        )
        worst = max(
            (
                (quantile(sorted(each), 0.95), name)
                for name, each in self.first_token_seconds.items()
            ),
            default=(0.0, ""),
        )
        return Summary(
            requests=len(all_seconds),
            wrong=self.wrong,
            reference_hit_rate=round(self.reference_tokens / max(1, self.prompt_tokens), 4),
            hit_rate=round(self.cached_tokens / max(1, self.prompt_tokens), 4),
            p50=round(quantile(all_seconds, 0.5), 4),
            p95=round(quantile(all_seconds, 0.95), 4),
            p99=round(quantile(all_seconds, 0.99), 4),
            wasted_tokens=self.wasted_tokens,
            worst_organisation=worst[1],
            worst_p95=round(worst[0], 4),
            refused=self.refused,
            failed=self.failed,
            lookups=self.lookups,
            control_bytes=self.control_bytes,
            events=self.events,
            snapshot_blocks=self.snapshot_blocks,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Summary statistics; see `Tally` for the counts.

    Parameters
    ----------
    requests
        Number of answered requests.
    reference_hit_rate, hit_rate
        Cache hit rate per prompt token of a cache of unlimited size, and the measured one.
    p50, p95, p99
        Percentiles of the time to first token in seconds.
    worst_organisation, worst_p95
        Organisation with the highest 95th percentile of the time to first token, and its value.
    violations
        Number of invariant violations.
    """

    requests: int
    wrong: int
    reference_hit_rate: float
    hit_rate: float
    p50: float
    p95: float
    p99: float
    wasted_tokens: int
    worst_organisation: str
    worst_p95: float
    refused: int
    failed: int
    lookups: int
    control_bytes: int
    events: int
    snapshot_blocks: int
    violations: int = 0


def quantile(ordered: Sequence[float], fraction: float) -> float:
    """Return the nearest-rank quantile of a sorted sequence, or 0 if it is empty.

    Examples
    --------
    >>> quantile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    """
    if not ordered:
        return 0.0
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]
