"""Draining of leaving upstreams: no new work, and what they have is finished."""

from __future__ import annotations

import dataclasses

from hollyring.core import invariants


@dataclasses.dataclass(slots=True)
class _Upstream:
    incarnation: int
    at: float = 0.0
    leaving: bool = False
    unfinished: int = 0
    dispatched_at: float = float("-inf")
    reported_at: float = float("-inf")


class Drain:
    """Knows which upstreams are leaving and whether they have finished their work.

    Parameters
    ----------
    invariant_counter
        Counts ``no_work_for_leaving_upstream``.
    report_lag_seconds
        A load report is at most so old when it is received.
    """

    def __init__(
        self, invariant_counter: invariants.Invariants, report_lag_seconds: float = 2.0
    ) -> None:
        self._invariants = invariant_counter
        self._report_lag_seconds = report_lag_seconds
        self._upstreams: dict[str, _Upstream] = {}

    def observe(
        self, upstream: str, incarnation: int, at: float, leaving: bool, unfinished: int, now: float
    ) -> None:
        """Take in a load report; an older one than the last is ignored.

        Parameters
        ----------
        upstream, incarnation, at
            Who reports, in which life, at which time of its own clock.
        leaving
            Whether it says that it is about to go.
        unfinished
            Requests running and waiting there.
        """
        known = self._upstreams.get(upstream)
        if known is not None and (incarnation, at) < (known.incarnation, known.at):
            return
        if known is None or incarnation != known.incarnation:
            known = self._upstreams[upstream] = _Upstream(incarnation)
        known.at = at
        known.leaving = leaving
        known.unfinished = unfinished
        known.reported_at = now

    def accepts(self, upstream: str) -> bool:
        """Tell whether `upstream` may be given new work."""
        known = self._upstreams.get(upstream)
        return known is None or not known.leaving

    def dispatched(self, upstream: str, now: float) -> None:
        """Note that a request was sent to `upstream`."""
        self._invariants.check("no_work_for_leaving_upstream", self.accepts(upstream), upstream)
        if known := self._upstreams.get(upstream):
            known.dispatched_at = now

    def drained(self, upstream: str) -> bool:
        """Tell whether a leaving `upstream` has finished everything sent to it from here.

        A report counts only if it was taken after the last dispatch.
        """
        known = self._upstreams.get(upstream)
        if known is None or not known.leaving or known.unfinished:
            return False
        return known.reported_at - self._report_lag_seconds >= known.dispatched_at

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream that is gone."""
        self._upstreams.pop(upstream, None)

    def dump(self) -> dict[str, dict[str, object]]:
        """Return the leaving upstreams for the state dump."""
        return {
            name: {"unfinished": known.unfinished, "drained": self.drained(name)}
            for name, known in sorted(self._upstreams.items())
            if known.leaving
        }
