"""A retry budget that holds for the whole fleet without a word between VMs.

Each VM may retry a fixed part of the requests that it took itself. The parts of all VMs add up
to the same part of the fleet's requests, whichever VMs they came through.
"""

from __future__ import annotations

RETRY_PART = 0.1
"""Retries allowed for each first attempt."""

FLOOR_PER_SECOND = 5.0
"""Retries a second that the fleet may make however few requests it takes."""

MAX_SAVED = 20.0
"""Most retries that a VM can save up."""


class RetryBudget:
    """Counts first attempts and spends a part of them on retries.

    Parameters
    ----------
    vms
        Number of VMs, each of which has its part of `floor`.
    part
        Retries allowed for each first attempt.
    floor
        Retries a second of the whole fleet that need no first attempts.
    saved
        Retries that may be made at once at the start.
    most_saved
        Most retries that a VM can save up.

    Examples
    --------
    >>> budget = RetryBudget(vms=9, part=0.5, floor=0.0)
    >>> budget.attempt(now=0.0)
    >>> budget.retry(now=0.0)
    False
    >>> budget.attempt(now=0.0)
    >>> budget.retry(now=0.0), budget.retry(now=0.0)
    (True, False)
    """

    __slots__ = (
        "_part",
        "_fleet_floor",
        "_floor",
        "_saved",
        "_most_saved",
        "_at",
        "_attempts",
        "_retries",
        "_denied",
    )

    def __init__(
        self,
        vms: int,
        part: float = RETRY_PART,
        floor: float = FLOOR_PER_SECOND,
        saved: float = 0.0,
        most_saved: float = MAX_SAVED,
    ) -> None:
        self._part = part
        self._fleet_floor = floor
        self._floor = floor / max(vms, 1)
        self._saved = saved
        self._most_saved = most_saved
        self._at: float | None = None
        self._attempts = 0
        self._retries = 0
        self._denied = 0

    def resize(self, vms: int) -> None:
        """Take in the number of VMs, by which this VM's part of the floor changes."""
        self._floor = self._fleet_floor / max(vms, 1)

    def attempt(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._attempts += 1
        self._add(self._part, now)

    def retry(self, now: float) -> bool:
        """Spend one retry if there is one; else the request fails with its last error."""
        self._add(0.0, now)
        if self._saved < 1.0:
            self._denied += 1
            return False
        self._saved -= 1.0
        self._retries += 1
        return True

    def dump(self) -> dict[str, object]:
        """Return the state for the operators' dump."""
        return {
            "attempts": self._attempts,
            "retries": self._retries,
            "denied": self._denied,
            "saved": round(self._saved, 3),
        }

    def _add(self, retries: float, now: float) -> None:
        elapsed = max(0.0, now - self._at) if self._at is not None else 0.0
        self._at = now if self._at is None else max(now, self._at)
        self._saved = min(self._most_saved, self._saved + retries + elapsed * self._floor)
