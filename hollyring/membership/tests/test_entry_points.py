import collections
import dataclasses

import pytest

from hollyring.membership import entry_points


@pytest.fixture
def vms():
    """Nine VMs in three failure domains of one region."""
    return [
        entry_points.Candidate(f"vm-{n}", f"10.0.0.{n}:80", f"fd-{n % 3}", "r-0") for n in range(9)
    ]


def callers(count):
    return [entry_points.Caller(b"caller-%d" % number) for number in range(count)]


def first_counts(vms, count=9_000):
    return collections.Counter(entry_points.choose(one, vms).vms[0].name for one in callers(count))


@pytest.mark.parametrize("domain", ["fd-0", "fd-1", "fd-2", ""])
def test_failure_domains_alternate_and_the_callers_own_is_first(vms, domain):
    for number in range(50):
        found = entry_points.choose(entry_points.Caller(b"%d" % number, domain, "r-0"), vms).vms
        assert len(found) == entry_points.MAX_ADDRESSES == len({vm.name for vm in found})
        assert not domain or found[0].failure_domain == domain
        assert len({vm.failure_domain for vm in found[:3]}) == 3


def test_unusable_vms_are_left_out_and_suspects_come_last(vms):
    vms[1] = dataclasses.replace(vms[1], usable=False)
    vms[4] = dataclasses.replace(vms[4], suspect=True)
    for caller in callers(50):
        found = [vm.name for vm in entry_points.choose(caller, vms, limit=9).vms]
        assert len(found) == 8 and "vm-1" not in found and found[-1] == "vm-4"


def test_callers_region_comes_before_others(vms):
    far = [entry_points.Candidate(f"far-{n}", "", f"far-fd-{n}", "r-1") for n in range(3)]
    found = entry_points.choose(entry_points.Caller(b"c", "", "r-1"), vms + far).vms
    assert {vm.region for vm in found[:3]} == {"r-1"} and len(found) == 6


def test_callers_are_spread_evenly(vms):
    counts = first_counts(vms)
    assert len(counts) == 9 and max(counts.values()) < 1.15 * 1_000


def test_loaded_vm_gets_fewer_callers(vms):
    vms[0] = dataclasses.replace(vms[0], load=0.8)
    counts = first_counts(vms)
    others = [count for name, count in counts.items() if name != "vm-0"]
    assert 0 < counts["vm-0"] < 0.4 * min(others)


def test_loss_of_a_vm_moves_only_its_callers(vms):
    for caller in callers(300):
        before = entry_points.choose(caller, vms).vms[0].name
        after = entry_points.choose(caller, [vm for vm in vms if vm.name != "vm-5"]).vms[0].name
        assert after == before or before == "vm-5"


def test_cache_times_are_spread_below_the_maximum(vms):
    ttls = {entry_points.choose(one, vms).ttl_seconds for one in callers(200)}
    assert max(ttls) <= entry_points.ADDRESS_LIST_TTL_SECONDS
    assert min(ttls) >= entry_points.ADDRESS_LIST_TTL_SECONDS * (1 - entry_points.TTL_SPREAD)
    assert len(ttls) > 10


def test_no_vms_yield_no_addresses():
    assert entry_points.choose(entry_points.Caller(b"c", "fd-1", "r-1"), []).vms == []
