"""What may be sent again, and what a refusal may claim."""

import itertools

import pytest

from hollyring.core import execution, request_types
from hollyring.delivery import refusal, retry

NOT_RUN, UNKNOWN = execution.Execution.NOT_RUN, execution.Execution.UNKNOWN
ONCE, IDEMPOTENT, RESUMABLE = (
    request_types.RetrySafety.AT_MOST_ONCE,
    request_types.RetrySafety.IDEMPOTENT,
    request_types.RetrySafety.RESUMABLE,
)
CODES = ("overloaded", "no_upstream", "rate_limited", "deadline_not_sent")


@pytest.fixture
def begin():
    """Return tries of which the first has begun."""

    def build(repeat=IDEMPOTENT, deadline=10.0, max_runs=2):
        one = retry.RetryState(retry.RetryPolicy(repeat, deadline, max_runs))
        one.begin("ls-1", "a")
        return one

    return build


@pytest.mark.parametrize(
    ("repeat", "ran", "begun", "may"),
    [
        (ONCE, NOT_RUN, False, True),
        (ONCE, UNKNOWN, False, False),
        (ONCE, UNKNOWN, True, False),
        (IDEMPOTENT, NOT_RUN, False, True),
        (IDEMPOTENT, UNKNOWN, False, True),
        (IDEMPOTENT, UNKNOWN, True, False),
        (RESUMABLE, NOT_RUN, True, True),
        (RESUMABLE, UNKNOWN, False, True),
        (RESUMABLE, UNKNOWN, True, True),
    ],
)
def test_only_safe_tries_are_repeated(begin, repeat, ran, begun, may):
    one = begin(repeat)
    one.record_failure(ran)
    assert one.may_retry(0.0, begun) is may


def test_next_try_knows_where_the_request_has_been(begin):
    one = begin()
    one.record_failure(UNKNOWN)
    one.begin("ls-2", "b")
    assert one.upstreams == {"ls-1", "ls-2"}
    assert one.failure_domains == {"a", "b"}
    assert one.last_upstream == {"ls-2"}
    assert one.sends == 2


@pytest.mark.parametrize(("now", "may"), [(9.9, True), (9.99, False), (11.0, False)])
def test_deadline_binds(begin, now, may):
    one = begin()
    one.record_failure(NOT_RUN)
    assert one.may_retry(now, answer_started=False) is may
    assert one.has_time(now) is may


def test_sends_are_bounded_also_when_nothing_ran(begin):
    one = begin(ONCE)
    sends = 1
    one.record_failure(NOT_RUN)
    while one.may_retry(0.0, answer_started=False):
        one.begin("ls-2", "b")
        one.record_failure(NOT_RUN)
        sends += 1
    assert sends == retry.MAX_SENDS


@pytest.mark.parametrize("max_runs", [1, 2, 3])
def test_upstreams_that_may_run_it_are_bounded(begin, max_runs):
    one = begin(max_runs=max_runs)
    runs = 1
    assert one.may_run_elsewhere is (max_runs > 1)
    one.record_failure(UNKNOWN)
    while one.may_retry(0.0, answer_started=False):
        one.begin("ls-2", "b")
        runs += 1
        assert one.may_run_elsewhere is (runs < max_runs)
        one.record_failure(UNKNOWN)
    assert runs == max_runs


@pytest.mark.parametrize("code", CODES)
@pytest.mark.parametrize("order", list(itertools.product([NOT_RUN, UNKNOWN], repeat=3)))
def test_not_run_needs_every_try_not_to_have_run(begin, code, order):
    one = begin(max_runs=5)
    one.record_failure(order[0])
    for ran in order[1:]:
        one.begin("ls-2", "b")
        one.record_failure(ran)
    for now in (0.0, 9.99):
        final = one.final_refusal(code, now)
        assert (final.execution is NOT_RUN) is (UNKNOWN not in order)


def test_final_answer_after_a_run_names_the_deadline_only_once_it_is_near(begin):
    one = begin()
    one.record_failure(UNKNOWN)
    assert one.final_refusal("overloaded", 1.0, 3.0).code == "upstream_failed"
    assert one.final_refusal("overloaded", 9.99, 3.0).code == "deadline_exceeded"
    assert one.final_refusal("overloaded", 9.99, 3.0) == refusal.make("deadline_exceeded")


def test_time_to_return_is_told_where_nothing_ran(begin):
    one = begin()
    one.record_failure(NOT_RUN)
    final = one.final_refusal("overloaded", 1.0, 3.5)
    assert (final.code, final.retry_after) == ("overloaded", 3.5)


@pytest.mark.parametrize("repeat", list(request_types.RetrySafety))
def test_try_that_is_under_way_may_run(begin, repeat):
    """A deadline that passes during a try must not have the caller told that nothing ran."""
    one = begin(repeat)
    assert one.reached
    assert one.final_refusal("deadline_not_sent", 9.99).execution is UNKNOWN
    one.record_failure(NOT_RUN)
    assert not one.reached
    assert one.final_refusal("deadline_not_sent", 9.99).execution is NOT_RUN
