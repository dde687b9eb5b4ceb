import pytest

from hollyring.core import identities
from hollyring.membership import leases

OWNER = identities.Incarnation("vm-1", 1)
END = 10.0 * (1 - leases.CLOCK_DRIFT_RATIO) - leases.EXPIRY_MARGIN_SECONDS


@pytest.fixture
def lease():
    return leases.LeaseClient("leases/orders", OWNER, ttl=10.0)


def writing(lease, now=0.0):
    (read,) = lease.tick(now)
    (grant,) = lease.handle(leases.HolderRead(read.call, b"", 0), now)
    (write,) = lease.handle(leases.LeaseGranted(grant.call, "L1"), now)
    return write


def hold(lease, now=0.0):
    write = writing(lease, now)
    assert lease.handle(leases.HolderWritten(write.call, 41), now) == [leases.Acquired(41)]


def test_write_is_created_under_the_lease_and_its_version_fences(lease):
    write = writing(lease)
    assert (write.version, write.lease, write.value) == (0, "L1", b"vm-1#1/L1")
    lease.handle(leases.HolderWritten(write.call, 41), 0.2)
    assert lease.fencing(1.0) == 41


def test_time_counts_from_sending_not_from_the_answer(lease):
    (read,) = lease.tick(0.0)
    (grant,) = lease.handle(leases.HolderRead(read.call, b"", 0), 0.0)
    (write,) = lease.handle(leases.LeaseGranted(grant.call, "L1"), 3.0)
    lease.handle(leases.HolderWritten(write.call, 41), 5.0)
    assert lease.fencing(END - 0.01) == 41 and lease.fencing(END) is None


def test_answer_after_expiry_gives_nothing(lease):
    write = writing(lease)
    actions = lease.handle(leases.HolderWritten(write.call, 41), END)
    assert actions == [leases.ReleaseLease("L1")]
    assert lease.fencing(END) is None


def test_renewal_counts_from_its_sending(lease):
    hold(lease)
    (renew,) = lease.tick(4.0)
    assert renew.lease == "L1"
    lease.handle(leases.LeaseRenewed(renew.call), 9.0)
    assert lease.remaining(9.0) == pytest.approx(4.0 + END - 9.0)


def test_lost_renewal_prolongs_nothing_and_is_tried_again(lease):
    hold(lease)
    (renew,) = lease.tick(4.0)
    assert lease.handle(leases.Failed(renew.call), 6.0) == []
    assert lease.remaining(6.0) == pytest.approx(END - 6.0)
    assert isinstance(lease.tick(lease.due)[0], leases.RenewLease)


@pytest.mark.parametrize("needed, allowed", [(0.0, True), (4.0, True), (6.0, False)])
def test_act_must_end_before_expiry(lease, needed, allowed):
    hold(lease)
    assert (lease.fencing(5.0, needed) is not None) == allowed


def test_holder_paused_past_expiry_finds_out_before_it_acts(lease):
    hold(lease)
    (renew,) = lease.tick(4.0)
    assert lease.fencing(60.0) is None
    lost = [leases.Lost(41), leases.ReleaseLease("L1")]
    assert lease.handle(leases.LeaseRenewed(renew.call), 60.0) == lost
    assert lease.fencing(60.0) is None


def test_lapsed_lease_is_lost_at_once(lease):
    hold(lease)
    (renew,) = lease.tick(4.0)
    assert lease.handle(leases.Refused(renew.call), 4.1)[0] == leases.Lost(41)
    assert lease.fencing(4.1) is None


@pytest.mark.parametrize("value, version", [(b"vm-1#1/L1", 41), (b"vm-2#1/L9", 40), (b"", 0)])
def test_lost_write_is_resolved_by_reading_back(lease, value, version):
    write = writing(lease)
    (read,) = lease.handle(leases.Failed(write.call), 1.0)
    actions = lease.handle(leases.HolderRead(read.call, value, version), 1.1)
    mine = value == write.value
    assert actions == ([leases.Acquired(41)] if mine else [leases.ReleaseLease("L1")])


def test_held_key_is_left_alone(lease):
    (read,) = lease.tick(0.0)
    assert lease.handle(leases.HolderRead(read.call, b"vm-2#1/L9", 7), 0.1) == []
    assert lease.tick(1.0) == [] and lease.due == pytest.approx(5.1)


def test_late_outcome_of_a_call_given_up_is_ignored(lease):
    write = writing(lease)
    lease.handle(leases.Refused(write.call), 1.0)
    assert lease.handle(leases.HolderWritten(write.call, 41), 1.1) == []
    assert lease.fencing(1.1) is None


def test_closing_releases_and_never_acts_again(lease):
    hold(lease)
    assert lease.close() == [leases.ReleaseLease("L1"), leases.Lost(41)]
    assert lease.fencing(1.0) is None and lease.tick(1.0) == [] and lease.due is None


def test_outage_is_met_with_growing_pauses(lease):
    now, pauses = 0.0, []
    for _ in range(8):
        (read,) = lease.tick(now)
        lease.handle(leases.Failed(read.call), now)
        pauses.append(round(lease.due - now, 6))
        now = lease.due
    assert pauses[0] == leases.INITIAL_RETRY_SECONDS
    assert pauses == sorted(pauses) and pauses[-1] == round(10.0 / 6, 6)
