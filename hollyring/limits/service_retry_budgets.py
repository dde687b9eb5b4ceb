"""The retry budgets of all services as one VM applies them."""

from __future__ import annotations

import dataclasses

from hollyring.limits import retry_budget

SAFETY_FACTOR = 0.75
"""Part of the allowed retries that is used, so that windows that slide stay below the bound."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRules:
    """What the upstreams' operators allow to be sent again.

    Parameters
    ----------
    ratio
        Sends beyond the first, as a share of the requests.
    slack
        Sends beyond the first in a window that are allowed besides.
    window_seconds
        Seconds.
    """

    ratio: float
    slack: float
    window_seconds: float


class ServiceRetryBudgets:
    """One `retry_budget.RetryBudget` for each service.

    Parameters
    ----------
    rules
        What is allowed of the whole fleet.
    """

    __slots__ = ("_rules", "_budgets")

    def __init__(self, rules: RetryRules) -> None:
        self._rules = rules
        self._budgets: dict[str, retry_budget.RetryBudget] = {}

    def get(self, service: str, vms: int) -> retry_budget.RetryBudget:
        """Return the budget of a service in a fleet of `vms`."""
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = self._make(vms)
        return found

    def resize(self, vms: int) -> None:
        """Take in the size of the fleet."""
        for found in self._budgets.values():
            found.resize(vms)

    def _make(self, vms: int) -> retry_budget.RetryBudget:
        rules = self._rules
        saved = rules.slack / 2 / vms
        return retry_budget.RetryBudget(
            vms,
            ratio=rules.ratio * SAFETY_FACTOR,
            min_rate=rules.slack / rules.window_seconds / 4,
            initial_balance=saved,
            max_balance=saved,
        )
