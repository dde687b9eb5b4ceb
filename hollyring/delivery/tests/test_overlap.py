"""Tests of how long the attempts of one stream overlap, over the product of the facts."""

import itertools
import math

import pytest

from hollyring.delivery import overlap

CLOSE_SECONDS = 0.4
"""Time for which a server may still work on a request that goes on at another one."""

ATTEMPTS = [
    overlap.Attempt(sent_at, silent)
    for sent_at, silent in itertools.product((None, 1.0, 2.0), (False, True))
]
ROWS = [row for count in range(4) for row in itertools.product(ATTEMPTS, repeat=count)]


def silent(sent_at):
    return overlap.Attempt(sent_at, True)


def active(sent_at):
    return overlap.Attempt(sent_at, False)


@pytest.mark.parametrize(
    ("attempts", "ends_at", "closed"),
    [
        ([], math.inf, ()),
        ([silent(1.0)], math.inf, ()),
        ([silent(1.0), active(None)], math.inf, ()),
        ([silent(1.0), active(2.0)], 2.25, (0,)),
        ([silent(1.0), silent(2.0)], 2.25, (0,)),
        ([active(1.0), active(2.0)], 2.25, (1,)),
        ([active(1.0), silent(2.0)], 2.25, (1,)),
        ([silent(1.0), silent(2.0), active(None)], 2.25, (0,)),
        ([silent(1.0), silent(2.0), active(2.1)], 2.25, (0,)),
        ([silent(2.0), active(3.0)], 3.25, (0,)),
        ([silent(1.0), active(None), active(2.0)], 2.25, (2,)),
        ([silent(1.0), silent(None), active(2.0)], 2.25, (0, 1)),
    ],
)
def test_overlap(attempts, ends_at, closed):
    judged = overlap.judge(attempts)
    assert (judged.ends_at, judged.closed) == (pytest.approx(ends_at), closed)


def test_overlap_leaves_time_for_the_close_to_arrive():
    assert 0.0 < overlap.MAX_SECONDS < CLOSE_SECONDS


def test_overlap_ends_only_once_another_attempts_upstream_has_the_request():
    for row in ROWS:
        if not any(attempt.sent_at is not None for attempt in row[1:]):
            assert overlap.judge(row) == overlap.NONE


def test_one_attempt_stays_open_and_no_two_stay_whose_upstreams_have_the_request():
    for row in ROWS:
        left = list(row)
        while (judged := overlap.judge(left)) != overlap.NONE:
            assert judged.closed
            left = [attempt for n, attempt in enumerate(left) if n not in judged.closed]
        assert bool(left) == bool(row)
        assert sum(attempt.sent_at is not None for attempt in left[1:]) == 0
