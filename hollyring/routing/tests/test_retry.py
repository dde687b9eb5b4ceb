import pytest

from hollyring.core import execution
from hollyring.routing import retry

NOT_RUN, UNKNOWN = execution.Execution.NOT_RUN, execution.Execution.UNKNOWN


@pytest.fixture
def tries():
    one = retry.Tries()
    one.begin("ls-1", "a")
    return one


@pytest.fixture
def terms():
    def build(idempotent=True, resumable=True, deadline=10.0):
        return retry.Terms(idempotent, resumable, deadline)

    return build


def test_safe_failure_is_retried_elsewhere(tries, terms):
    decided = tries.decide(retry.Failure(UNKNOWN), terms(), budget=1.0, now=0.0)
    assert decided == retry.Retry(frozenset({"ls-1"}), frozenset({"a"}), resume=False)


@pytest.mark.parametrize(
    ("failure", "idempotent", "resumable", "safe"),
    [
        (retry.Failure(NOT_RUN), False, False, True),
        (retry.Failure(UNKNOWN), False, True, False),
        (retry.Failure(UNKNOWN), True, False, True),
        (retry.Failure(UNKNOWN, tokens_sent=3), True, False, False),
        (retry.Failure(UNKNOWN, tokens_sent=3), True, True, True),
    ],
)
def test_only_safe_retries(tries, terms, failure, idempotent, resumable, safe):
    decided = tries.decide(failure, terms(idempotent, resumable), budget=1.0, now=0.0)
    assert isinstance(decided, retry.Retry) == safe


@pytest.mark.parametrize(
    ("budget", "now", "reason"),
    [(0.5, 0.0, retry.Refusal.OUT_OF_BUDGET), (9.0, 9.99, retry.Refusal.OUT_OF_TIME)],
)
def test_budget_and_deadline_bind(tries, terms, budget, now, reason):
    decided = tries.decide(retry.Failure(NOT_RUN), terms(), budget, now)
    assert decided == retry.GiveUp(reason, NOT_RUN)


def test_tries_are_bounded_and_not_run_needs_all_of_them(tries, terms):
    tries.decide(retry.Failure(UNKNOWN), terms(), 9.0, 0.0)
    for _ in range(retry.MAX_TRIES - 1):
        tries.begin("ls-2", "b")
        decided = tries.decide(retry.Failure(NOT_RUN), terms(), 9.0, 0.0)
    assert decided == retry.GiveUp(retry.Refusal.OUT_OF_TRIES, UNKNOWN)


def test_late_answer_of_an_abandoned_try_is_dropped(tries):
    second = tries.begin("ls-2", "b")
    assert not tries.accepts(1)
    assert tries.accepts(second.number)
    tries.end()
    assert not tries.accepts(second.number)
    assert tries.dropped == 2
