"""Retry budget that limits the fleet's retries without communication between VMs.

Each VM may retry a fixed fraction of the requests that it received itself. Summed over all VMs,
this is the same fraction of the fleet's requests, however they are distributed.
"""

from __future__ import annotations

RETRY_RATIO = 0.1
"""Retries allowed per first attempt."""

MIN_RETRIES_PER_SECOND = 5.0
"""Retries per second that the whole fleet may make in addition to the ratio."""

MAX_BALANCE = 20.0
"""Most retries that a VM can accumulate."""


class RetryBudget:
    """Token bucket of retries, credited by first attempts and by time.

    Parameters
    ----------
    vms
        Number of VMs among which `min_rate` is divided.
    ratio
        Retries allowed per first attempt.
    min_rate
        Retries per second that the whole fleet may make in addition to the ratio.
    initial_balance
        Retries that are available at the start.
    max_balance
        Most retries that a VM can accumulate.

    Examples
    --------
    >>> budget = RetryBudget(vms=9, ratio=0.5, min_rate=0.0)
    >>> budget.record_attempt(now=0.0)
    >>> budget.try_retry(now=0.0)
    False
    >>> budget.record_attempt(now=0.0)
    >>> budget.has_retry(now=0.0), budget.try_retry(now=0.0), budget.has_retry(now=0.0)
    (True, True, False)
    """

    __slots__ = (
        "_ratio",
        "_fleet_min_rate",
        "_min_rate",
        "_balance",
        "_max_balance",
        "_updated_at",
        "_attempts",
        "_retries",
        "_denied",
    )

    def __init__(
        self,
        vms: int,
        ratio: float = RETRY_RATIO,
        min_rate: float = MIN_RETRIES_PER_SECOND,
        initial_balance: float = 0.0,
        max_balance: float = MAX_BALANCE,
    ) -> None:
        self._ratio = ratio
        self._fleet_min_rate = min_rate
        self._min_rate = min_rate / max(vms, 1)
        self._balance = initial_balance
        self._max_balance = max_balance
        self._updated_at: float | None = None
        self._attempts = 0
        self._retries = 0
        self._denied = 0

    @property
    def balance(self) -> float:
        """Retries that are available, as of the last call."""
        return self._balance

    def resize(self, vms: int, max_balance: float | None = None) -> None:
        """Set the number of VMs among which `min_rate` is divided, and perhaps another balance."""
        self._min_rate = self._fleet_min_rate / max(vms, 1)
        if max_balance is not None:
            self._max_balance = max_balance
            self._balance = min(self._balance, max_balance)

    def record_attempt(self, now: float) -> None:
        """Record the first attempt of a request."""
        self._attempts += 1
        self._credit(self._ratio, now)

    def try_retry(self, now: float) -> bool:
        """Spend one retry and return whether one was available.

        If none was, the caller of this method fails the request with its last error.
        """
        if not self.has_retry(now):
            self._denied += 1
            return False
        self._balance -= 1.0
        self._retries += 1
        return True

    def give_back(self, retries: int) -> None:
        """Return retries that `try_retry` has spent and that were not used."""
        self._balance = min(self._max_balance, self._balance + retries)
        self._retries -= retries

    def has_retry(self, now: float) -> bool:
        """Return whether `try_retry` would find a retry; none is spent."""
        self._credit(0.0, now)
        return self._balance >= 1.0

    def dump(self) -> dict[str, object]:
        """Return the state for the operators' dump."""
        return {
            "attempts": self._attempts,
            "retries": self._retries,
            "denied": self._denied,
            "saved": round(self._balance, 3),
        }

    def _credit(self, retries: float, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at) if self._updated_at is not None else 0.0
        self._updated_at = now if self._updated_at is None else max(now, self._updated_at)
        self._balance = min(self._max_balance, self._balance + retries + elapsed * self._min_rate)
