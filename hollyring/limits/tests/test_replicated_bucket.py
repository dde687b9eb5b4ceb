import random

import pytest

from hollyring.limits import replicated_bucket

RATE = 1000.0
BURST = 1000.0
VMS = 9
PULSE = 0.15


class Fleet:
    """Buckets of one organisation at several VMs that tell each other their totals."""

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.limit = replicated_bucket.Limit(RATE, BURST)
        self.now = 0.0
        self.admitted = []
        self.refused = 0
        self.buckets = {f"vm-{n}": self.make() for n in range(VMS)}
        self.cut = set()
        self.lives = dict.fromkeys(self.buckets, 1)

    def make(self):
        return replicated_bucket.ReplicatedBucket(self.limit, 1.0 / VMS, self.now)

    def request(self, cost=50.0):
        vm = self.draw.choice(sorted(self.buckets))
        if self.buckets[vm].admit(cost, self.now) == 0.0:
            self.admitted.append((self.now, cost))
        else:
            self.refused += 1

    def pulse(self):
        for vm, bucket in self.buckets.items():
            heard = 1
            for other, theirs in self.buckets.items():
                if other == vm or (vm in self.cut) != (other in self.cut):
                    continue
                heard += 1
                bucket.record_peer_total(
                    f"{other}#{self.lives[other]}", theirs.admitted_total, self.now
                )
            bucket.set_reachable_fraction(heard / VMS, self.now)

    def restart(self, vm):
        self.lives[vm] += 1
        self.buckets[vm] = self.make()

    def play(self, seconds, per_second):
        end = self.now + seconds
        next_pulse = self.now
        while self.now < end:
            if self.now >= next_pulse:
                self.pulse()
                next_pulse += PULSE
            self.request()
            self.now += self.draw.expovariate(per_second)

    def most_in(self, window):
        best = 0.0
        for start, _ in self.admitted:
            best = max(best, sum(c for at, c in self.admitted if start <= at < start + window))
        return best


@pytest.fixture
def fleet():
    return Fleet


@pytest.mark.parametrize("seed", range(6))
def test_no_window_admits_more_than_rate_and_burst_and_a_tenth(fleet, seed):
    """An organisation that sends seven times its rate."""
    played = fleet(seed)
    played.play(30.0, per_second=7 * RATE / 50.0)
    assert played.most_in(8.0) <= (RATE * 8 + BURST) * 1.1


@pytest.mark.parametrize("seed", range(6))
def test_organisation_within_its_rate_is_not_refused(fleet, seed):
    played = fleet(seed)
    played.play(5.0, per_second=1.0)
    played.play(30.0, per_second=0.7 * RATE / 50.0)
    assert played.refused == 0


@pytest.mark.parametrize("seed", range(6))
def test_cut_fleet_stays_within_the_rate(fleet, seed):
    played = fleet(seed)
    played.play(10.0, per_second=7 * RATE / 50.0)
    played.cut = {"vm-0", "vm-1", "vm-2"}
    played.play(12.0, per_second=7 * RATE / 50.0)
    played.cut = set()
    played.play(8.0, per_second=7 * RATE / 50.0)
    assert played.most_in(8.0) <= (RATE * 8 + BURST) * 1.1


def test_restarted_vms_start_with_their_part_only(fleet):
    played = fleet(1)
    played.play(10.0, per_second=7 * RATE / 50.0)
    for vm in played.buckets:
        played.restart(vm)
    played.play(10.0, per_second=7 * RATE / 50.0)
    assert played.most_in(8.0) <= (RATE * 8 + 2 * BURST) * 1.1


def test_lower_limit_binds_at_once():
    bucket = replicated_bucket.ReplicatedBucket(replicated_bucket.Limit(RATE, BURST), 1.0, 0.0)
    bucket.set_limit(replicated_bucket.Limit(10.0, 10.0), 1.0)
    assert bucket.admit(10.0, 1.0) == 0.0
    assert bucket.admit(10.0, 1.0) == pytest.approx(1.0)


def test_no_rate_means_no_bound():
    bucket = replicated_bucket.ReplicatedBucket(replicated_bucket.Limit(0.0, 0.0), 1.0, 0.0)
    assert all(bucket.admit(1e6, 0.0) == 0.0 for _ in range(10))
