"""Sliding window over what the whole fleet admitted for one organisation.

An organisation may use rate x window + burst within any window. Each VM counts its own admissions
immediately and those of the other VMs when their totals are received. The load that this answers:
prompts of very different lengths, so that a few long ones may together exceed the burst although
the organisation stays far below its rate; and an organisation that sends many times its rate
through all VMs at once.

A VM that receives totals from only a fraction of the fleet admits that fraction of the limit, so
that the two sides of a partitioned fleet together stay within it. A restarted VM does not know what
the fleet admitted before. Until another VM tells it, it assumes that the organisation used its full
rate, which leaves the burst and what the rate adds from then on.

A request that was admitted and certainly never runs is given back, on all VMs: else an organisation
whose requests are refused for want of room would lose its rate to them. Totals of what was admitted
and of what was given back both only grow, so that a message that is read late gives nothing back
twice.
"""

from __future__ import annotations

import dataclasses
import math

SLOTS = 32
"""Parts of the window that expire separately."""

MIN_WAIT_SECONDS = 0.05
"""Shortest retry delay of a refused request."""

REPORT_DELAY_SECONDS = 0.3
"""Age of the newest admissions of other VMs that may be unknown here."""

RESUME_DELAY_SECONDS = 0.1
"""Mean age of the newest admissions of other VMs that are unknown here."""

RATE_SLOTS = 4
"""Newest slots whose highest rate is taken as the other VMs' current rate of admissions."""

ADOPTION_SECONDS = 1.0
"""Time after the adoption of another VM's view in which first reports are taken as part of it."""

UNKNOWN = -1.0
"""Fleet usage reported by a VM that does not know it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Rate per second and burst of an organisation, in tokens or requests.

    An organisation with a rate of 0 is not limited.
    """

    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """Report of one VM on its own admissions and those of the fleet for an organisation.

    Parameters
    ----------
    total
        Cost that the VM admitted since its start.
    recent
        Cost that the VM admitted within the window.
    fleet_usage
        Cost that, as far as the VM knows, the fleet admitted within the window, or `UNKNOWN`.
    returned
        Cost that the VM gave back since its start.
    """

    total: float
    recent: float
    fleet_usage: float
    returned: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RateExceeded:
    """Refusal of a request, with what decided it.

    Parameters
    ----------
    retry_after
        Seconds after which to retry.
    cost
        Cost of the request.
    used
        Cost that, as far as is known, the fleet admitted within the window.
    unreported
        Cost that other VMs are expected to have admitted since their last reports.
    allowed
        Cost that may be admitted within the window.
    known
        Whether `used` is known; otherwise it includes an assumed full use before this VM's start.
    """

    retry_after: float
    cost: float
    used: float
    unreported: float
    allowed: float
    known: bool


class FleetWindow:
    """One VM's view of the fleet's admissions for an organisation.

    Parameters
    ----------
    limit
        Rate and burst.
    window_seconds
        Length of the window.
    now
        Current time in seconds.
    unknown_until
        Time until which admissions before this VM's start may still be within the window; -inf if
        there were none.

    Examples
    --------
    >>> window = FleetWindow(Limit(rate=10.0, burst=20.0), 8.0)
    >>> window.admit(90.0, now=0.0), window.report(now=0.0).total
    (None, 90.0)
    >>> window.record_peer("vm-2#1", PeerReport(10.0, 10.0, UNKNOWN), now=1.5)
    >>> window.admit(10.0, now=2.0).retry_after
    6.25
    >>> window.admit(10.0, now=9.0)
    """

    __slots__ = (
        "_limit",
        "_window_seconds",
        "_slot_seconds",
        "_own",
        "_others",
        "_undated",
        "_admitted_total",
        "_returned_total",
        "_peer_totals",
        "_peer_returned",
        "_reachable_fraction",
        "_known_from",
        "_adopted_at",
    )

    def __init__(
        self, limit: Limit, window_seconds: float, unknown_until: float = -math.inf
    ) -> None:
        self._limit = limit
        self._window_seconds = window_seconds
        self._slot_seconds = window_seconds / SLOTS
        self._own: dict[int, float] = {}
        self._others: dict[int, float] = {}
        self._undated: dict[int, float] = {}
        self._admitted_total = 0.0
        self._returned_total = 0.0
        self._peer_totals: dict[str, float] = {}
        self._peer_returned: dict[str, float] = {}
        self._reachable_fraction = 1.0
        self._adopted_at = -math.inf
        self._known_from = unknown_until
        self._assume_full_rate()

    def report(self, now: float) -> PeerReport:
        """Return the report to send to the other VMs."""
        own = self._sum(self._own, now)
        known = now >= self._known_from
        usage = self._used(now) if known else UNKNOWN
        return PeerReport(self._admitted_total, own, usage, self._returned_total)

    def set_limit(self, limit: Limit, now: float) -> None:
        """Set a new limit.

        Under a lower limit, what was admitted before counts at most as the new rate, so that the
        organisation is not refused everything until it has left the window.
        """
        if limit == self._limit:
            return
        self._limit = limit
        if now < self._known_from:
            self._assume_full_rate()
        used = self._used(now)
        counted = limit.rate * self._window_seconds
        if used > counted:
            for slots in (self._own, self._others, self._undated):
                for slot in slots:
                    slots[slot] *= counted / used

    def set_reachable_fraction(self, fraction: float) -> None:
        """Set the fraction of the fleet whose totals are received, including this VM."""
        self._reachable_fraction = min(1.0, max(0.0, fraction))

    def forget_others(self, unknown_until: float) -> None:
        """Forget what other VMs admitted, as after a restart, because their reports stopped."""
        self._peer_totals.clear()
        self._peer_returned.clear()
        self._others.clear()
        self._known_from = unknown_until
        self._assume_full_rate()

    def clear_others(self) -> None:
        """Leave out what other VMs admitted, because this VM may use only a share of its own."""
        self._peer_totals.clear()
        self._peer_returned.clear()
        self._others.clear()
        self._undated.clear()
        self._known_from = self._adopted_at = -math.inf

    def record_peer(self, peer: str, report: PeerReport, now: float) -> None:
        """Record what incarnation `peer` of another VM reports."""
        known_total = self._peer_totals.get(peer)
        self._peer_totals[peer] = max(report.total, known_total or 0.0)
        known_returned = self._peer_returned.get(peer, 0.0)
        self._peer_returned[peer] = max(report.returned, known_returned)
        if known_total is not None:
            self._count(report.total - known_total, now)
            self._uncount(report.returned - known_returned, now)
        if report.fleet_usage != UNKNOWN and self._is_adoptable(report.fleet_usage, now):
            self._adopt(report.fleet_usage, now)
        elif known_total is None and now > self._adopted_at + ADOPTION_SECONDS:
            self._spread(report.recent, self._others, now)

    def _is_adoptable(self, fleet_usage: float, now: float) -> bool:
        """Return whether to adopt another VM's view: the first, or soon after it a higher one.

        The first may be of a VM that did not receive the others' reports for a while.
        """
        if now < self._known_from:
            return True
        if now > self._adopted_at + ADOPTION_SECONDS:
            return False
        return fleet_usage > self._used(now)

    def _adopt(self, fleet_usage: float, now: float) -> None:
        """Replace the assumed usage by another VM's `fleet_usage`, which covers all other VMs.

        What was counted when it was reported stays as it is, as its times are known.
        """
        if now < self._known_from:
            self._known_from = self._adopted_at = now
        self._undated.clear()
        self._spread(fleet_usage - self._used(now), self._undated, now)

    def _spread(self, cost: float, slots: dict[int, float], now: float) -> None:
        """Count a cost that was admitted at unknown times within the window."""
        newest = self._slot(now)
        for age in range(SLOTS):
            slot = newest - age
            slots[slot] = slots.get(slot, 0.0) + max(0.0, cost) / SLOTS

    def _count(self, cost: float, now: float) -> None:
        if cost > 0.0:
            slot = self._slot(now)
            self._others[slot] = self._others.get(slot, 0.0) + cost

    def give_back(self, cost: float, admitted_at: float, now: float) -> None:
        """Give the cost of a request back that was admitted at `admitted_at` and never runs."""
        self._sum(self._own, now)
        slot = self._slot(admitted_at)
        counted = self._own.get(slot, 0.0)
        if counted <= 0.0:
            return  # It has left the window, or a lower limit has cut it.
        returned = min(cost, counted)
        self._own[slot] = counted - returned
        self._returned_total += returned

    def _uncount(self, cost: float, now: float) -> None:
        """Take back what another VM gave back, from what others are known to have admitted.

        What leaves the window first is taken from, so that the sum is never too low later.
        """
        self._sum(self._others, now)
        for slot in sorted(self._others):
            if cost <= 0.0:
                return
            taken = min(cost, self._others[slot])
            self._others[slot] -= taken
            cost -= taken

    def admit(self, cost: float, now: float) -> RateExceeded | None:
        """Admit a request and return None, or return why it is refused.

        A cost above the whole limit is admitted if nothing was admitted within the window.
        """
        if self._limit.rate > 0:
            exceeded = self._exceeded(cost, now)
            if exceeded is not None:
                return exceeded
        slot = self._slot(now)
        self._own[slot] = self._own.get(slot, 0.0) + cost
        self._admitted_total += cost
        return None

    def _exceeded(self, cost: float, now: float) -> RateExceeded | None:
        allowed = self._limit.rate * self._window_seconds + self._limit.burst
        allowed *= self._reachable_fraction
        known = now >= self._known_from
        used = self._used(now)
        unreported = self._unreported(now)
        excess = used + unreported + min(cost, allowed) - allowed
        if excess <= 0.0:
            return None
        wait = max(MIN_WAIT_SECONDS, self._seconds_until_freed(excess, now))
        return RateExceeded(wait, cost, used, unreported, allowed, known)

    def _seconds_until_freed(self, cost: float, now: float) -> float:
        """Return the time until admissions of at least `cost` have left the window."""
        freed = 0.0
        for slot in sorted(self._own.keys() | self._others.keys() | self._undated.keys()):
            freed += self._own.get(slot, 0.0) + self._of_others(slot)
            if freed >= cost:
                return (slot + 1) * self._slot_seconds + self._window_seconds - now
        return self._window_seconds

    def _unreported(self, now: float) -> float:
        """Return what the other VMs are expected to have admitted since their last reports.

        They admit at their current rate. After a pause, in which the window was full, they resume
        at the rate from before it, all at the same time.
        """
        slots = self._others.keys() | self._undated.keys()
        if not slots:
            return 0.0
        newest = self._slot(now)
        current = max(self._of_others(newest - age) for age in range(RATE_SLOTS))
        highest = max(map(self._of_others, slots)) if now >= self._known_from else 0.0
        expected = max(current * REPORT_DELAY_SECONDS, highest * RESUME_DELAY_SECONDS)
        return expected / self._slot_seconds

    def _used(self, now: float) -> float:
        """Return the cost that, as far as is known or assumed, the fleet admitted."""
        return sum(self._sum(slots, now) for slots in (self._own, self._others, self._undated))

    def _of_others(self, slot: int) -> float:
        return self._others.get(slot, 0.0) + self._undated.get(slot, 0.0)

    def _sum(self, slots: dict[int, float], now: float) -> float:
        """Return the sum of the slots within the window; drop the others."""
        oldest = math.floor((now - self._window_seconds) / self._slot_seconds)
        for slot in [slot for slot in slots if slot < oldest]:
            del slots[slot]
        return sum(slots.values())

    def _slot(self, now: float) -> int:
        return math.floor(now / self._slot_seconds)

    def _assume_full_rate(self) -> None:
        """Assume that the full rate was used in the part of the window that is not known."""
        self._undated.clear()
        if math.isinf(self._known_from):
            return
        newest = self._slot(self._known_from - self._window_seconds)
        for age in range(SLOTS):
            self._undated[newest - age] = self._limit.rate * self._slot_seconds
