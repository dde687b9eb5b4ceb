"""Retries of all VMs together are limited to a fraction of their requests."""

from hollyring.limits import retry_budget


def test_fleet_retries_stay_within_the_ratio_of_its_requests():
    budgets = [retry_budget.RetryBudget(vms=9, ratio=0.125, min_rate=0.0) for _ in range(9)]
    for number in range(900):
        budgets[number % 9].record_attempt(0.0)
    allowed = sum(each.try_retry(0.0) for each in budgets for _ in range(100))
    assert allowed == 9 * 12


def test_minimum_retry_rate_accrues_with_time():
    budget = retry_budget.RetryBudget(vms=2, ratio=0.0, min_rate=2.0)
    assert not budget.try_retry(10.0)
    assert budget.try_retry(11.0)
    assert not budget.try_retry(11.0)
