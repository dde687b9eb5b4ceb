import hypothesis
import pytest
from hypothesis import strategies

from hollyring.limits import budget, fairness


def entry(name, number, tokens=100, deadline=1e9, weight=1.0):
    return fairness.Entry(f"{name}-{number}", name, tokens, deadline, weight)


def served(queue, count):
    tokens = {}
    for _ in range(count):
        name = queue.pop(0.0).organisation
        tokens[name] = tokens.get(name, 0) + 1
    return tokens


def test_weights_divide_the_service():
    queue = fairness.FairQueue(1e6)
    for number in range(100):
        queue.push(entry("large", number, weight=3.0), 0.0)
        queue.push(entry("small", number), 0.0)
    assert served(queue, 80) == {"large": 60, "small": 20}


def test_excess_waits_behind_itself():
    queue = fairness.FairQueue(1000.0)
    for number in range(50):
        assert queue.push(entry("greedy", number), 0.0) is None
    queue.push(entry("modest", 0), 0.0)
    assert [queue.pop(0.0).organisation for _ in range(2)] == ["greedy", "modest"]


def test_what_cannot_be_served_in_time_is_refused_at_once():
    queue = fairness.FairQueue(1000.0)
    for number in range(10):
        queue.push(entry("a", number), 0.0)
    late = queue.push(entry("a", 10, deadline=0.9), 0.0)
    assert (late.code, late.retry_after) == ("deadline_exceeded", pytest.approx(0.1))
    assert queue.push(entry("b", 0, deadline=0.9), 0.0) is None
    assert queue.waiting == 11


def test_given_up_requests_are_answered_when_their_time_is_over():
    queue = fairness.FairQueue(1000.0)
    queue.push(entry("a", 0, deadline=5.0), 0.0)
    queue.push(entry("a", 1), 0.0)
    assert queue.expire(4.9) == []
    assert [g.request_id for g in queue.expire(5.0)] == ["a-0"]
    assert queue.pop(5.0).request_id == "a-1"


def test_own_backlog_lowers_priority():
    queue = fairness.FairQueue(1000.0)
    for number in range(20):
        queue.push(entry("a", number), 0.0)
    queue.push(entry("b", 0), 0.0)
    first, second = queue.pop(0.0), queue.pop(0.0)
    assert (first.organisation, second.organisation) == ("a", "b")
    assert first.priority > second.priority == 0


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.sampled_from("abc"), strategies.integers(0, 3)), max_size=60
    )
)
@hypothesis.settings(deadline=None)
def test_every_request_gets_one_answer(steps):
    queue = fairness.FairQueue(100.0)
    offered, answered = [], []
    for now, (name, kind) in enumerate(steps):
        if kind < 2:
            offered.append(f"{name}-{now}")
            answer = queue.push(entry(name, now, 50, now + 3.0), float(now))
            answered += [answer.request_id] if answer else []
        elif kind == 2:
            answer = queue.pop(float(now))
            answered += [answer.request_id] if answer else []
        else:
            answered += [g.request_id for g in queue.expire(float(now))]
    while answer := queue.pop(1e6):
        answered.append(answer.request_id)
    assert sorted(answered) == sorted(offered)
    assert queue.dump()["organisations"] == {}
    assert queue.waiting == 0


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
