"""One organisation's rate and burst over all VMs, each of which hears what the others admit.

Every VM keeps a bucket for the whole fleet: it fills at the organisation's rate, and what any VM
admits is taken from it, own requests at once and other VMs' when their totals are heard. A VM that
does not hear some of the others fills its bucket by the part of the fleet that it does hear, so
that two halves of a cut fleet together fill at the rate.

The excess over rate and burst is at most what is admitted between two pulses of the other VMs.
"""

from __future__ import annotations

import dataclasses

MIN_WAIT_SECONDS = 0.05
"""Shortest time that a refused caller is told to wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """What an organisation may use a second, and at once."""

    rate: float
    burst: float


class ReplicatedBucket:
    """One organisation's bucket at one VM.

    Parameters
    ----------
    limit
        Rate and burst.
    part
        Part of the burst that a VM may count on at its start, before it hears others.
    now
        Present time in seconds.

    Examples
    --------
    >>> bucket = ReplicatedBucket(Limit(rate=10.0, burst=20.0), part=1.0, now=0.0)
    >>> bucket.admit(15.0, now=0.0), bucket.admitted_total
    (0.0, 15.0)
    >>> bucket.admit(15.0, now=0.0)
    1.0
    >>> bucket.record_peer_total("vm-2#1", 4.0, now=0.0)
    >>> round(bucket.admit(15.0, now=0.0), 3)
    1.4
    """

    __slots__ = (
        "_limit",
        "_level",
        "_updated_at",
        "_admitted_total",
        "_peer_totals",
        "_reachable_fraction",
    )

    def __init__(self, limit: Limit, part: float, now: float) -> None:
        self._limit = limit
        self._level = limit.burst * part
        self._updated_at = now
        self._admitted_total = 0.0
        self._reachable_fraction = 1.0
        self._peer_totals: dict[str, float] = {}

    @property
    def admitted_total(self) -> float:
        """What this VM admitted since its start."""
        return self._admitted_total

    def set_limit(self, limit: Limit, now: float) -> None:
        """Apply a new limit; a smaller burst binds at once."""
        if limit == self._limit:
            return
        self._fill(now)
        self._limit = limit
        self._level = min(self._level, limit.burst)

    def set_reachable_fraction(self, part: float, now: float) -> None:
        """Take in which part of the fleet is heard, this VM included."""
        self._fill(now)
        self._reachable_fraction = min(1.0, max(0.0, part))

    def record_peer_total(self, vm: str, total: float, now: float) -> None:
        """Take in what the life `vm` of another VM admitted since its start."""
        self._fill(now)
        news = total - self._peer_totals.get(vm, 0.0)
        if news <= 0:
            return
        self._peer_totals[vm] = total
        self._level = max(self._level - news, -self._limit.burst)

    def add_peer(self, vm: str, total: float) -> None:
        """Take in a VM whose total up to now is already reflected by the level."""
        self._peer_totals.setdefault(vm, total)

    def admit(self, cost: float, now: float) -> float:
        """Admit a request, or return the seconds after which one like it could be."""
        self._fill(now)
        if self._limit.rate <= 0 or self._level >= min(cost, self._limit.burst):
            self._level -= cost
            self._admitted_total += cost
            return 0.0
        missing = min(cost, self._limit.burst) - self._level
        return max(MIN_WAIT_SECONDS, missing / self._limit.rate)

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        gained = self._limit.rate * self._reachable_fraction * elapsed
        self._level = min(self._limit.burst, self._level + gained)
