"""What VMs know of the request limits that upstreams name."""

import pytest

from hollyring.core import identities
from hollyring.routing import request_limits

UPSTREAM = identities.Incarnation("i-1", 1)


@pytest.fixture
def limits():
    return request_limits.RequestLimits()


def test_answer_to_an_earlier_request_does_not_end_a_limit(limits):
    limits.record(UPSTREAM, 2.0, sent_at=9.0, now=10.0)
    assert not limits.record(UPSTREAM, None, sent_at=9.5, now=11.0)
    assert limits.per_second(UPSTREAM) == 2.0
    assert limits.record(UPSTREAM, None, sent_at=10.5, now=11.0)
    assert limits.per_second(UPSTREAM) is None


def test_limit_that_ended_is_not_taken_up_again_from_a_vm_that_has_not_heard(limits):
    limits.record(UPSTREAM, 2.0, sent_at=9.0, now=10.0)
    limits.record(UPSTREAM, None, sent_at=10.5, now=11.0)
    assert not limits.adopt(UPSTREAM, request_limits.ObservedLimit(2.0, 10.9))
    assert limits.adopt(UPSTREAM, request_limits.ObservedLimit(2.0, 11.1))
    assert limits.per_second(UPSTREAM) == 2.0


def test_limit_of_one_incarnation_does_not_bind_the_next(limits):
    limits.record(UPSTREAM, 2.0, sent_at=9.0, now=10.0)
    assert limits.per_second(identities.Incarnation("i-1", 2)) is None


def test_limit_of_zero_leaves_requests_that_show_its_end(limits):
    limits.record(UPSTREAM, 0.0, sent_at=9.0, now=10.0)
    assert limits.per_second(UPSTREAM) == request_limits.MIN_RATE


def test_closed_upstream_opens_when_its_limit_ends(limits):
    limits.record(UPSTREAM, 2.0, sent_at=9.0, now=10.0)
    limits.close(UPSTREAM, 15.0)
    limits.record(UPSTREAM, None, sent_at=10.5, now=11.0)
    assert limits.closed_until(UPSTREAM) < 11.0


def test_old_limits_are_forgotten(limits):
    limits.record(UPSTREAM, 2.0, sent_at=9.0, now=10.0)
    limits.forget(10.0 + request_limits.RETENTION_SECONDS - 1.0)
    assert limits.per_second(UPSTREAM) == 2.0
    limits.forget(10.0 + request_limits.RETENTION_SECONDS + 1.0)
    assert limits.per_second(UPSTREAM) is None
