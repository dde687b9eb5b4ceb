"""Counters and latency histograms of one VM, in the text form that scrapers read."""

from __future__ import annotations

import collections

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)
MICROSECONDS = 1_000_000


class Metrics:
    """What a VM counts and times.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count("requests")
    >>> metrics.time("first_token", 0.25)
    >>> "hollyring_requests_total 1" in metrics.page()
    True
    """

    __slots__ = ("_counters", "_histograms")

    def __init__(self) -> None:
        self._counters: collections.Counter[str] = collections.Counter()
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, by: int = 1) -> None:
        """Add `by` to counter `name`."""
        self._counters[name] += by

    def time(self, name: str, seconds: float) -> None:
        """Record a duration in histogram `name`."""
        recorder = self._histograms.get(name)
        if recorder is None:
            recorder = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[name] = recorder
        recorder.record_value(max(LOWEST_US, min(HIGHEST_US, int(seconds * MICROSECONDS))))

    def quantiles(self, name: str) -> dict[str, float]:
        """Return seconds by quantile of histogram `name`, empty if nothing was recorded."""
        recorder = self._histograms.get(name)
        if recorder is None:
            return {}
        return {
            f"p{quantile:g}": recorder.get_value_at_percentile(quantile) / MICROSECONDS
            for quantile in QUANTILES
        }

    def page(self) -> str:
        """Return all counters and quantiles, one per line."""
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
