"""Retry budgets of all services at one VM."""

from __future__ import annotations

import dataclasses

from hollyring.limits import retry_budget

SAFETY_FACTOR = 0.75
"""Fraction of `RetryRules.ratio` that is used, so that no sliding window exceeds the rules."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRules:
    """Limits that the operators of the upstreams set for retries.

    Parameters
    ----------
    ratio
        Retries allowed per first attempt.
    slack
        Additional retries that are allowed in each window.
    window_seconds
        Length of the window.
    """

    ratio: float
    slack: float
    window_seconds: float


class ServiceRetryBudgets:
    """One `retry_budget.RetryBudget` per service.

    Parameters
    ----------
    rules
        Retries allowed for the whole fleet.
    """

    __slots__ = ("_rules", "_budgets")

    def __init__(self, rules: RetryRules) -> None:
        self._rules = rules
        self._budgets: dict[str, retry_budget.RetryBudget] = {}

    def get(self, service: str, vms: int) -> retry_budget.RetryBudget:
        """Return a service's budget, created for a fleet of `vms` VMs if it does not exist."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._make(vms)
        return budget

    def resize(self, vms: int) -> None:
        """Set the number of VMs in the fleet."""
        for budget in self._budgets.values():
            budget.resize(vms, self._max_balance(vms))

    def _make(self, vms: int) -> retry_budget.RetryBudget:
        rules = self._rules
        balance = self._max_balance(vms)
        return retry_budget.RetryBudget(
            vms,
            ratio=rules.ratio * SAFETY_FACTOR,
            min_rate=rules.slack / rules.window_seconds / 4,
            initial_balance=balance,
            max_balance=balance,
        )

    def _max_balance(self, vms: int) -> float:
        """Return a VM's largest balance.

        Over all VMs, balance and minimum rate add up to 3/4 of the slack in each window.
        """
        return self._rules.slack / 2 / vms
