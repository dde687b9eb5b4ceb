"""Permits that one VM issues for an upstream with a request limit."""

import pytest

from hollyring.core import identities
from hollyring.limits import send_permits

UPSTREAM = identities.Incarnation("i-1", 1)
RATE = 2.0


@pytest.fixture
def issuer():
    return send_permits.PermitIssuer()


def granted(issuer, since, until, interval=0.01):
    """Return the number of permits that a VM gets which asks all the time."""
    count = 0
    for step in range(int((until - since) / interval)):
        count += issuer.issue(UPSTREAM, RATE, since + step * interval).granted
    return count


def test_issuer_that_begins_adds_nothing_to_its_predecessor(issuer):
    assert not issuer.issue(UPSTREAM, RATE, 100.0).granted
    assert granted(issuer, 100.0, 110.0) in (19, 20)


def test_pause_saves_up_little(issuer):
    issuer.issue(UPSTREAM, RATE, 0.0)
    assert granted(issuer, 60.0, 60.1) == 1


def test_denied_vms_return_one_after_the_other_when_permits_are_due(issuer):
    delays = [issuer.issue(UPSTREAM, RATE, 0.0).retry_after for _ in range(4)]
    assert delays == [0.5, 1.0, 1.5, 1.5]
    assert issuer.issue(UPSTREAM, RATE, 0.5).granted


def test_urgent_calls_are_paid_by_later_requests(issuer):
    issuer.issue(UPSTREAM, RATE, 0.0)
    urgent = [issuer.issue(UPSTREAM, RATE, 0.0, urgent=True).granted for _ in range(3)]
    assert urgent == [True, True, False]
    assert granted(issuer, 0.0, 10.0) in (17, 18)


def test_unused_accounts_are_forgotten(issuer):
    issuer.issue(UPSTREAM, RATE, 0.0)
    issuer.forget(send_permits.UNUSED_SECONDS + 1.0)
    assert not issuer.issue(UPSTREAM, RATE, send_permits.UNUSED_SECONDS + 2.0).granted
