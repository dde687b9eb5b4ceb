"""Counters and latency histograms of one VM, rendered as text for scrapers."""

from __future__ import annotations

import collections

from hdrh import histogram

MIN_DURATION_US = 1
MAX_DURATION_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)
MICROSECONDS = 1_000_000


class Metrics:
    """Counters and duration histograms of a VM.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.increment("requests")
    >>> metrics.observe("first_token", 0.25)
    >>> "hollyring_requests_total 1" in metrics.render()
    True
    """

    __slots__ = ("_counters", "_histograms")

    def __init__(self) -> None:
        self._counters: collections.Counter[str] = collections.Counter()
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def increment(self, name: str, amount: int = 1) -> None:
        """Add `amount` to counter `name`."""
        self._counters[name] += amount

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in histogram `name`."""
        recorded = self._histograms.get(name)
        if recorded is None:
            recorded = histogram.HdrHistogram(MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS)
            self._histograms[name] = recorded
        recorded.record_value(
            max(MIN_DURATION_US, min(MAX_DURATION_US, int(seconds * MICROSECONDS)))
        )

    def quantiles(self, name: str) -> dict[str, float]:
        """Return the quantiles of histogram `name` in seconds, empty if it has no durations."""
        recorded = self._histograms.get(name)
        if recorded is None:
            return {}
        return {
            f"p{quantile:g}": recorded.get_value_at_percentile(quantile) / MICROSECONDS
            for quantile in QUANTILES
        }

    def render(self) -> str:
        """Return all counters and quantiles as text, one per line."""
        lines = [
            f"hollyring_{name}_total {value}" for name, value in sorted(self._counters.items())
        ]
        for name in sorted(self._histograms):
            for quantile, seconds in self.quantiles(name).items():
                label = f'{{quantile="{quantile}"}}'
                lines.append(f"hollyring_{name}_seconds{label} {seconds:.6f}")
        return "\n".join(lines) + "\n"

    def dump(self) -> dict[str, object]:
        """Return counters and quantiles for the state dump."""
        timed = {name: self.quantiles(name) for name in sorted(self._histograms)}
        return {"counters": dict(sorted(self._counters.items())), "seconds": timed}
