import pytest

from hollyring.core import identities
from hollyring.membership import leases

OWNER = identities.Incarnation("vm-1", 1)
EXPIRY = 10.0 * (1 - leases.CLOCK_DRIFT_RATIO) - leases.EXPIRY_MARGIN_SECONDS


@pytest.fixture
def lease():
    return leases.LeaseClient("leases/orders", OWNER, ttl=10.0)


def start_write(lease, now=0.0):
    (read,) = lease.tick(now)
    (grant,) = lease.handle(leases.HolderRead(read.call, b"", 0), now)
    (write,) = lease.handle(leases.LeaseGranted(grant.call, "L1"), now)
    return write


def acquire(lease, now=0.0):
    write = start_write(lease, now)
    assert lease.handle(leases.HolderWritten(write.call, 41), now) == [leases.Acquired(41)]


def test_write_is_bound_to_the_lease_and_its_version_fences(lease):
    write = start_write(lease)
    assert (write.version, write.lease, write.value) == (0, "L1", b"vm-1#1/L1")
    lease.handle(leases.HolderWritten(write.call, 41), 0.2)
    assert lease.fencing(1.0) == 41


def test_expiry_counts_from_sending_not_from_the_answer(lease):
    (read,) = lease.tick(0.0)
    (grant,) = lease.handle(leases.HolderRead(read.call, b"", 0), 0.0)
    (write,) = lease.handle(leases.LeaseGranted(grant.call, "L1"), 3.0)
    lease.handle(leases.HolderWritten(write.call, 41), 5.0)
    assert lease.fencing(EXPIRY - 0.01) == 41 and lease.fencing(EXPIRY) is None


def test_write_answered_after_expiry_does_not_acquire_the_lease(lease):
    write = start_write(lease)
    actions = lease.handle(leases.HolderWritten(write.call, 41), EXPIRY)
    assert actions == [leases.ReleaseLease("L1")]
    assert lease.fencing(EXPIRY) is None


def test_renewed_expiry_counts_from_sending_the_renewal(lease):
    acquire(lease)
    (renew,) = lease.tick(4.0)
    assert renew.lease == "L1"
    lease.handle(leases.LeaseRenewed(renew.call), 9.0)
    assert lease.remaining(9.0) == pytest.approx(4.0 + EXPIRY - 9.0)


def test_unanswered_renewal_does_not_extend_the_lease_and_is_retried(lease):
    acquire(lease)
    (renew,) = lease.tick(4.0)
    assert lease.handle(leases.Failed(renew.call), 6.0) == []
    assert lease.remaining(6.0) == pytest.approx(EXPIRY - 6.0)
    assert isinstance(lease.tick(lease.due)[0], leases.RenewLease)


@pytest.mark.parametrize("needed_seconds, allowed", [(0.0, True), (4.0, True), (6.0, False)])
def test_operation_that_would_outlast_the_lease_may_not_begin(lease, needed_seconds, allowed):
    acquire(lease)
    assert (lease.fencing(5.0, needed_seconds) is not None) == allowed


def test_holder_paused_past_expiry_loses_the_lease_before_it_acts(lease):
    acquire(lease)
    (renew,) = lease.tick(4.0)
    assert lease.fencing(60.0) is None
    lost = [leases.Lost(41), leases.ReleaseLease("L1")]
    assert lease.handle(leases.LeaseRenewed(renew.call), 60.0) == lost
    assert lease.fencing(60.0) is None


def test_refused_renewal_loses_the_lease_at_once(lease):
    acquire(lease)
    (renew,) = lease.tick(4.0)
    assert lease.handle(leases.Refused(renew.call), 4.1)[0] == leases.Lost(41)
    assert lease.fencing(4.1) is None


@pytest.mark.parametrize("value, version", [(b"vm-1#1/L1", 41), (b"vm-2#1/L9", 40), (b"", 0)])
def test_unanswered_write_is_resolved_by_reading_back(lease, value, version):
    write = start_write(lease)
    (read,) = lease.handle(leases.Failed(write.call), 1.0)
    actions = lease.handle(leases.HolderRead(read.call, value, version), 1.1)
    is_own = value == write.value
    assert actions == ([leases.Acquired(41)] if is_own else [leases.ReleaseLease("L1")])


def test_key_of_another_holder_is_not_overwritten(lease):
    (read,) = lease.tick(0.0)
    assert lease.handle(leases.HolderRead(read.call, b"vm-2#1/L9", 7), 0.1) == []
    assert lease.tick(1.0) == [] and lease.due == pytest.approx(5.1)


def test_late_outcome_of_an_abandoned_call_is_ignored(lease):
    write = start_write(lease)
    lease.handle(leases.Refused(write.call), 1.0)
    assert lease.handle(leases.HolderWritten(write.call, 41), 1.1) == []
    assert lease.fencing(1.1) is None


def test_closed_client_releases_the_lease_and_does_not_act_again(lease):
    acquire(lease)
    assert lease.close() == [leases.ReleaseLease("L1"), leases.Lost(41)]
    assert lease.fencing(1.0) is None and lease.tick(1.0) == [] and lease.due is None


def test_retry_delay_grows_during_an_outage(lease):
    now, delays = 0.0, []
    for _ in range(8):
        (read,) = lease.tick(now)
        lease.handle(leases.Failed(read.call), now)
        delays.append(round(lease.due - now, 6))
        now = lease.due
    assert delays[0] == leases.INITIAL_RETRY_SECONDS
    assert delays == sorted(delays) and delays[-1] == round(10.0 / 6, 6)


def test_forgotten_lease_is_not_released(lease):
    """Its number may be that of another lease by then."""
    acquire(lease)
    assert lease.forget(1.0) == [leases.Lost(41)]
    assert lease.fencing(1.0) is None
    (read,) = lease.tick(1.0)
    assert isinstance(read, leases.ReadHolder)


def test_outcome_of_a_call_of_a_forgotten_acquisition_is_ignored(lease):
    (read,) = lease.tick(0.0)
    (grant,) = lease.handle(leases.HolderRead(read.call, b"", 0), 0.0)
    assert lease.forget(0.1) == []
    assert lease.handle(leases.LeaseGranted(grant.call, "L1"), 0.2) == []
    assert lease.phase is leases.Phase.IDLE


def test_key_that_an_earlier_acquisition_of_the_owner_left_is_taken_over(lease):
    (read,) = lease.tick(0.0)
    (grant,) = lease.handle(leases.HolderRead(read.call, b"vm-1#1/L0", 30), 0.0)
    (write,) = lease.handle(leases.LeaseGranted(grant.call, "L1"), 0.1)
    assert write.version == 30
    assert lease.handle(leases.HolderWritten(write.call, 41), 0.2) == [leases.Acquired(41)]


@pytest.mark.parametrize("value", [b"vm-2#1/L0", b"vm-1#2/L0", b"vm-1#1"])
def test_key_of_another_owner_or_start_is_not_taken_over(lease, value):
    (read,) = lease.tick(0.0)
    assert lease.handle(leases.HolderRead(read.call, value, 30), 0.0) == []


def test_released_lease_can_be_acquired_again(lease):
    acquire(lease)
    (renew,) = lease.tick(4.0)
    assert lease.release(4.1) == [leases.Lost(41), leases.ReleaseLease("L1")]
    assert lease.fencing(4.1) is None
    assert lease.handle(leases.LeaseRenewed(renew.call), 4.2) == []
    assert lease.release(4.2) == []
    acquire(lease, 8.0)
    assert lease.fencing(8.1) == 41


def test_renewal_names_the_version_that_was_written(lease):
    """The holder must notice that another writer put its key, as its lease goes on."""
    acquire(lease)
    (renew,) = lease.tick(4.0)
    assert (renew.key, renew.version) == ("leases/orders", 41)


def read_until_granted(lease, version, until):
    """Read an unleased key at each due time; return the time and version of the write, if any."""
    while lease.due < until:
        now = lease.due
        (read,) = lease.tick(now)
        for grant in lease.handle(leases.HolderRead(read.call, b"a text", version, True), now):
            (write,) = lease.handle(leases.LeaseGranted(grant.call, "L1"), now)
            return now, write.version
    return None


def test_key_without_a_lease_is_replaced_after_any_lease_has_ended(lease):
    replaced_at, version = read_until_granted(lease, 7, 60.0)
    assert version == 7
    assert 10.0 * (1 + leases.CLOCK_DRIFT_RATIO) <= replaced_at < 16.0


def test_key_without_a_lease_that_changes_is_left_for_longer(lease):
    assert read_until_granted(lease, 7, 9.0) is None
    replaced_at, _ = read_until_granted(lease, 8, 60.0)
    assert replaced_at > 19.0
