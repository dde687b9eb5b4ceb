import pytest

from hollyring.core import identities
from hollyring.limits import allocation, holders, lender, settings, share

KEY = ("vm-2", 1, 1)


@pytest.fixture
def full():
    bucket = share.Share(holders.Quota(1000.0, 300), start=0.0)
    assert bucket.lendable(10.0) == 300
    return bucket


def test_duplicate_return_credits_once(full):
    full.lend(KEY, 100, 10.0)
    for _ in range(2):
        full.return_tokens(KEY, 40, 10.0)
    assert full.lendable(10.0) == 240


def test_loan_is_outstanding_as_long_as_it_may_be_spent(full):
    full.lend(KEY, 300, 10.0)
    before_expiry = 10.0 + settings.LOAN_SECONDS * (1 + 2 * settings.MAX_CLOCK_DRIFT)
    assert full.lendable(before_expiry) == 0
    assert full.lendable(10.0 + settings.HOLD_SECONDS + 0.1) > 0


def test_fast_clock_does_not_raise_the_rate():
    bucket = share.Share(holders.Quota(1000.0, 5000), start=0.0)
    assert bucket.lendable(1.0 + settings.MAX_CLOCK_DRIFT) <= 1000
    assert bucket.lendable(1.0) == 999


def test_settled_roster_takes_effect_only_after_earlier_loans_expire():
    state = allocation.Allocation(identities.Incarnation("vm-1", 1))
    state.apply_roster(holders.Roster(1, (holders.Slot("s", "vm-1"),), settled=1), 5.0)
    assert not state.activate_settled(5.0 + settings.LOAN_SECONDS)
    assert state.activate_settled(5.0 + settings.HOLD_SECONDS)


def test_limit_that_is_set_again_starts_empty(strict):
    state = allocation.Allocation(identities.Incarnation("vm-1", 1))
    state.apply_roster(holders.Roster(1, (holders.Slot("s", "vm-1"),), settled=1), 0.0)
    state.activate_settled(1.0)
    shares = lender.Lender(identities.Incarnation("vm-1", 1), strict, state)
    limit = holders.Limit("shop", 100, 300)
    shares.set_limit(limit, 1.0)
    assert shares.lend_to_self("shop", 1, 300, 9.0) == 300
    shares.remove("shop")
    shares.set_limit(limit, 9.0)
    assert shares.lendable("shop", 9.0 + settings.LOAN_SECONDS) == 0
    assert shares.lendable("shop", 12.0) > 0
