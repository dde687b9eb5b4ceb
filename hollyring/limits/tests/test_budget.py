"""Retries are a part of the requests, over all VMs together."""

from hollyring.limits import budget


def test_fleet_retries_are_a_part_of_its_requests():
    budgets = [budget.RetryBudget(vms=9, part=0.125, floor=0.0) for _ in range(9)]
    for number in range(900):
        budgets[number % 9].attempt(0.0)
    allowed = sum(each.retry(0.0) for each in budgets for _ in range(100))
    assert allowed == 9 * 12


def test_retry_floor_accrues_with_time():
    allowance = budget.RetryBudget(vms=2, part=0.0, floor=2.0)
    assert not allowance.retry(10.0)
    assert allowance.retry(11.0)
    assert not allowance.retry(11.0)
