"""Attempts of one request: what may be sent again, and what a refusal may state."""

import itertools

import pytest

from hollyring.core import execution, request_types
from hollyring.delivery import refusal, retry

NOT_RUN, UNKNOWN = execution.Execution.NOT_RUN, execution.Execution.UNKNOWN
AT_MOST_ONCE, IDEMPOTENT, RESUMABLE = (
    request_types.RetrySafety.AT_MOST_ONCE,
    request_types.RetrySafety.IDEMPOTENT,
    request_types.RetrySafety.RESUMABLE,
)
CODES = ("overloaded", "no_upstream", "rate_limited", "deadline_not_sent")


@pytest.fixture
def begun_state():
    """Return a factory for the state of a request whose first attempt has begun."""

    def build(retry_safety=IDEMPOTENT, deadline=10.0, max_runs=2):
        state = retry.RetryState(retry.RetryPolicy(retry_safety, deadline, max_runs))
        state.begin("ls-1", "a")
        return state

    return build


@pytest.mark.parametrize(
    ("retry_safety", "ran", "answer_started", "allowed"),
    [
        (AT_MOST_ONCE, NOT_RUN, False, True),
        (AT_MOST_ONCE, UNKNOWN, False, False),
        (AT_MOST_ONCE, UNKNOWN, True, False),
        (IDEMPOTENT, NOT_RUN, False, True),
        (IDEMPOTENT, UNKNOWN, False, True),
        (IDEMPOTENT, UNKNOWN, True, False),
        (RESUMABLE, NOT_RUN, True, True),
        (RESUMABLE, UNKNOWN, False, True),
        (RESUMABLE, UNKNOWN, True, True),
    ],
)
def test_only_safe_requests_are_retried(begun_state, retry_safety, ran, answer_started, allowed):
    state = begun_state(retry_safety)
    state.record_failure(ran)
    assert state.may_retry(0.0, answer_started) is allowed


def test_attempts_of_which_nothing_was_sent_are_bounded_on_their_own(begun_state):
    state = begun_state()
    for _ in range(retry.MAX_UNSENT):
        assert state.may_retry(0.0, False)
        state.record_unsent()
        state.record_failure(NOT_RUN)
        state.begin("ls-2", "b")
    assert (state.arrivals, state.sends) == (1, 1 + retry.MAX_UNSENT)
    assert not state.may_retry(0.0, False)


def test_attempted_upstreams_and_failure_domains_are_recorded(begun_state):
    state = begun_state()
    state.record_failure(UNKNOWN)
    state.begin("ls-2", "b")
    assert state.upstreams == {"ls-1", "ls-2"}
    assert state.failure_domains == {"a", "b"}
    assert state.last_upstream == {"ls-2"}
    assert state.sends == 2


@pytest.mark.parametrize(("now", "allowed"), [(9.9, True), (9.99, False), (11.0, False)])
def test_no_retry_close_to_the_deadline(begun_state, now, allowed):
    state = begun_state()
    state.record_failure(NOT_RUN)
    assert state.may_retry(now, answer_started=False) is allowed
    assert state.has_time(now) is allowed


def test_sends_are_bounded_even_if_no_upstream_ran_the_request(begun_state):
    state = begun_state(AT_MOST_ONCE)
    sends = 1
    state.record_failure(NOT_RUN)
    while state.may_retry(0.0, answer_started=False):
        state.begin("ls-2", "b")
        state.record_failure(NOT_RUN)
        sends += 1
    assert sends == retry.MAX_SENDS


@pytest.mark.parametrize("max_runs", [1, 2, 3])
def test_runs_are_bounded(begun_state, max_runs):
    state = begun_state(max_runs=max_runs)
    runs = 1
    assert state.may_run_elsewhere is (max_runs > 1)
    state.record_failure(UNKNOWN)
    while state.may_retry(0.0, answer_started=False):
        state.begin("ls-2", "b")
        runs += 1
        assert state.may_run_elsewhere is (runs < max_runs)
        state.record_failure(UNKNOWN)
    assert runs == max_runs


@pytest.mark.parametrize("code", CODES)
@pytest.mark.parametrize("order", list(itertools.product([NOT_RUN, UNKNOWN], repeat=3)))
def test_not_run_requires_that_no_attempt_ran(begun_state, code, order):
    state = begun_state(max_runs=5)
    state.record_failure(order[0])
    for ran in order[1:]:
        state.begin("ls-2", "b")
        state.record_failure(ran)
    for now in (0.0, 9.99):
        final = state.final_refusal(code, now)
        assert (final.execution is NOT_RUN) is (UNKNOWN not in order)


def test_refusal_after_a_run_is_deadline_exceeded_only_near_the_deadline(begun_state):
    state = begun_state()
    state.record_failure(UNKNOWN)
    assert state.final_refusal("overloaded", 1.0, 3.0).code == "upstream_failed"
    assert state.final_refusal("overloaded", 9.99, 3.0).code == "deadline_exceeded"
    assert state.final_refusal("overloaded", 9.99, 3.0) == refusal.make("deadline_exceeded")


def test_retry_after_is_kept_if_nothing_ran(begun_state):
    state = begun_state()
    state.record_failure(NOT_RUN)
    final = state.final_refusal("overloaded", 1.0, 3.5)
    assert (final.code, final.retry_after) == ("overloaded", 3.5)


@pytest.mark.parametrize("retry_safety", list(request_types.RetrySafety))
def test_attempt_in_progress_counts_as_possibly_run(begun_state, retry_safety):
    """A deadline that passes during an attempt must not give the caller the status "not run"."""
    state = begun_state(retry_safety)
    assert state.reached
    assert state.final_refusal("deadline_not_sent", 9.99).execution is UNKNOWN
    state.record_failure(NOT_RUN)
    assert not state.reached
    assert state.final_refusal("deadline_not_sent", 9.99).execution is NOT_RUN


def test_forward_beside_an_open_attempt_is_not_granted_the_run_of_that_attempt(begun_state):
    state = begun_state(max_runs=2)
    assert state.runs_left == 2
    state.begin_forward()
    assert state.runs_left == 1
    assert not state.may_run_elsewhere


def test_only_upstreams_that_bytes_were_sent_to_are_named_to_other_vms(begun_state):
    state = begun_state(request_types.RetrySafety.IDEMPOTENT)
    (first,) = state.upstreams
    state.record_failure(execution.Execution.NOT_RUN)
    state.record_unsent(first)
    state.begin("other")
    state.record_forward(1, ["elsewhere"])
    assert state.sent_upstreams == {"other", "elsewhere"}
    state.begin(first)
    assert state.sent_upstreams == {"other", "elsewhere", first}


def test_upstreams_that_did_not_run_a_request_may_be_asked_again_before_those_that_did(begun_state):
    state = begun_state(RESUMABLE, max_runs=5)
    state.record_failure(UNKNOWN, "ls-1")
    state.begin("ls-2")
    state.record_failure(NOT_RUN, "ls-2")
    state.begin("ls-3")
    state.record_failure(UNKNOWN, "ls-3")
    state.record_broken_off("ls-3")
    assert state.second_choices == ({"ls-1", "ls-3"}, {"ls-3"})


def test_request_that_did_not_run_may_be_sent_to_any_upstream_again_at_once(begun_state):
    state = begun_state(RESUMABLE)
    state.record_failure(NOT_RUN, "ls-1")
    state.record_refusal(1.0)
    assert state.second_choices == (frozenset(),)
    assert state.ask_again_at < 1.0


def test_request_that_ran_is_sent_again_after_times_that_double_with_each_refusal(begun_state):
    state = begun_state(RESUMABLE)
    state.record_failure(UNKNOWN, "ls-1")
    assert state.ask_again_at < 0.0
    waits = []
    for now in (1.0, 2.0, 3.0):
        state.record_refusal(now)
        waits.append(round(state.ask_again_at - now, 6))
    assert waits == [0.3, 0.6, 1.2]


def test_attempt_after_one_of_which_nothing_was_sent_costs_no_other_retry(begun_state):
    state = begun_state(RESUMABLE)
    assert state.needs_retry
    state.record_retry()
    state.begin("ls-2")
    state.record_failure(NOT_RUN, "ls-2")
    state.record_unsent("ls-2")
    assert not state.needs_retry
    assert state.unused_retries == 1
    state.begin("ls-3")
    assert state.needs_retry
    assert state.unused_retries == 0


def test_first_attempt_is_no_unused_retry(begun_state):
    state = begun_state()
    state.withdraw()
    assert not state.needs_retry
    assert state.unused_retries == 0


@pytest.mark.parametrize(("sends", "needs_retry"), [(0, False), (1, True), (2, True)])
def test_forward_costs_a_retry_unless_the_other_vm_sent_nothing(begun_state, sends, needs_retry):
    state = begun_state()
    state.withdraw()
    state.begin_forward()
    state.record_forward(sends)
    assert state.needs_retry is needs_retry


@pytest.mark.parametrize(
    ("retry_safety", "closed"), [(RESUMABLE, {"ls-2"}), (IDEMPOTENT, set()), (AT_MOST_ONCE, set())]
)
def test_only_a_resumable_stream_goes_back_where_it_was_closed(begun_state, retry_safety, closed):
    state = begun_state(retry_safety)
    state.begin("ls-2")
    state.record_failure(UNKNOWN, "ls-2")
    state.record_failure(UNKNOWN, "ls-1")
    state.record_broken_off("ls-1")
    assert not state.may_retry(0.0, answer_started=True)
    assert state.closed_upstreams == closed
