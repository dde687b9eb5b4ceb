"""Retries of all VMs together are limited to a fraction of their requests."""

from hollyring.limits import retry_budget, service_retry_budgets


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


def test_fleet_that_grew_after_the_first_retries_stays_within_the_slack():
    rules = service_retry_budgets.RetryRules(ratio=0.0, slack=60.0, window_seconds=10.0)
    budgets = [service_retry_budgets.ServiceRetryBudgets(rules) for _ in range(12)]
    for vms, each in enumerate(budgets, start=1):
        each.get("s", vms)
    for each in budgets:
        each.resize(12)
    used = 0
    for second in range(10):
        for each in budgets:
            while each.get("s", 12).try_retry(float(second)):
                used += 1
    assert 30 <= used <= 60


def test_fleet_that_shrank_uses_most_of_the_slack_again():
    rules = service_retry_budgets.RetryRules(ratio=0.0, slack=60.0, window_seconds=10.0)
    budgets = [service_retry_budgets.ServiceRetryBudgets(rules) for _ in range(2)]
    for each in budgets:
        each.get("s", 12).has_retry(0.0)
        each.resize(2)
    assert sum(each.get("s", 2).try_retry(100.0) for each in budgets for _ in range(60)) == 30


def test_retries_that_are_given_back_are_there_again_up_to_the_balance():
    budget = retry_budget.RetryBudget(
        1, ratio=0.0, min_rate=0.0, initial_balance=2.0, max_balance=2.0
    )
    assert budget.try_retry(0.0)
    assert budget.try_retry(0.0)
    budget.give_back(1)
    assert budget.try_retry(0.0)
    assert not budget.try_retry(0.0)
    budget.give_back(3)
    assert sum(budget.try_retry(0.0) for _ in range(5)) == 2
