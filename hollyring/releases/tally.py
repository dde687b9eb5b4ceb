"""Sums of what the VMs have counted of a release."""

from __future__ import annotations

import collections

from hollyring.membership import heartbeat
from hollyring.releases import evidence


class Tally:
    """Newest report of each VM's incarnation on one order; sums only grow.

    Examples
    --------
    >>> tally = Tally()
    >>> tally.record("vm-1#4", heartbeat.ReleaseReport("chat", "7", requests=30, exposed=2))
    >>> tally.record("vm-2#9", heartbeat.ReleaseReport("chat", "7", requests=12, exposed=1))
    >>> tally.requests, tally.exposed
    (42, 3)
    """

    __slots__ = ("_reports",)

    def __init__(self) -> None:
        self._reports: dict[str, heartbeat.ReleaseReport] = {}

    @property
    def requests(self) -> int:
        """Requests of the service since the order."""
        return sum(report.requests for report in self._reports.values())

    @property
    def exposed(self) -> int:
        """Requests that were sent to the target."""
        return sum(report.exposed for report in self._reports.values())

    def record(self, incarnation: str, report: heartbeat.ReleaseReport) -> None:
        """Record what a VM has counted, unless it had counted more before."""
        known = self._reports.get(incarnation)
        if known is None or report.requests >= known.requests:
            self._reports[incarnation] = report

    def totals(self) -> evidence.Totals:
        """Return the answers that all VMs have counted."""
        baseline: dict[str, evidence.BaselineAnswers] = {}
        target: collections.Counter[str] = collections.Counter()
        bad: collections.Counter[tuple[str, str, evidence.Kind]] = collections.Counter()
        for report in self._reports.values():
            for route in report.routes:
                counted = evidence.BaselineAnswers(
                    route.baseline_answers, route.baseline_failed, route.baseline_slow
                )
                known = baseline.get(route.route, evidence.BaselineAnswers())
                baseline[route.route] = known + counted
                target[route.route] += route.target_answers
            for faults in report.faults:
                bad[faults.route, faults.upstream, evidence.Kind.FAILED] += faults.failed
                bad[faults.route, faults.upstream, evidence.Kind.SLOW] += faults.slow
        return evidence.Totals(baseline, target, bad)
