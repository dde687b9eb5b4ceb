"""Tests of what a VM that leaves takes and sends."""

import math

import hypothesis
import pytest
from hypothesis import strategies

from hollyring.core import request_types
from hollyring.delivery import grace_period

ONCE = request_types.RetrySafety.AT_MOST_ONCE
REPEATED = request_types.RetrySafety.IDEMPOTENT
RESUMED = request_types.RetrySafety.RESUMABLE
WHOLE = grace_period.Verdict.WHOLE
REPEATABLE = grace_period.Verdict.REPEATABLE
REFUSED = grace_period.Verdict.REFUSED
PERIOD = grace_period.GracePeriod(begins_at=0.0, ends_at=7.4)

safeties = strategies.sampled_from(request_types.RetrySafety)
seconds = strategies.floats(0.0, 60.0)


@pytest.mark.parametrize(
    ("retry_safety", "now", "deadline", "verdict"),
    [
        (ONCE, 0.0, 7.4, WHOLE),
        (ONCE, 0.0, 7.5, REFUSED),
        (ONCE, 2.0, 12.0, REFUSED),
        (ONCE, 6.0, 7.0, WHOLE),
        (REPEATED, 2.0, 12.0, REFUSED),
        (REPEATED, 2.0, 13.0, REPEATABLE),
        (REPEATED, 2.5, 20.0, REFUSED),
        (REPEATED, 6.0, 7.0, WHOLE),
        (RESUMED, 2.0, 8.3, REFUSED),
        (RESUMED, 2.0, 8.5, REPEATABLE),
        (RESUMED, 2.5, 20.0, REFUSED),
        (RESUMED, 6.0, 7.0, WHOLE),
    ],
)
def test_verdict(retry_safety, now, deadline, verdict):
    assert PERIOD.verdict(retry_safety, deadline, now) is verdict


@hypothesis.given(safeties, seconds, seconds)
def test_vm_that_stays_takes_and_sends_everything(retry_safety, now, duration):
    period = grace_period.GracePeriod()
    assert period.verdict(retry_safety, now + duration, now) is WHOLE
    assert period.may_send(retry_safety, math.inf)


@hypothesis.given(seconds, seconds)
def test_request_that_may_run_once_is_neither_taken_nor_sent_to_outlast_the_period(now, duration):
    deadline = now + duration
    taken = PERIOD.verdict(ONCE, deadline, now) is not REFUSED
    assert taken == PERIOD.may_send(ONCE, deadline) == (deadline <= PERIOD.ends_at)


@hypothesis.given(safeties, seconds, seconds)
def test_what_may_be_cut_has_time_left_for_its_caller(retry_safety, now, duration):
    deadline = now + duration
    if PERIOD.verdict(retry_safety, deadline, now) is REPEATABLE:
        assert now < grace_period.ACCEPT_SECONDS
        assert deadline - PERIOD.ends_at >= grace_period.RESUME_SECONDS
        assert PERIOD.may_send(retry_safety, deadline)
