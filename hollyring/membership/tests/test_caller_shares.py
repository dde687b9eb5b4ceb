"""Each VM gets the callers that its link bears, though they choose at random among addresses."""

import dataclasses

import pytest

from hollyring.membership import caller_shares, heartbeat, peer_table, serving_set
from hollyring.membership.tests import test_peer_table

DOMAINS = ["dar-a", "dar-b", "dar-c"]


def make_vm(name, domain, link=0.0, capacity=1.0):
    return heartbeat.VmInfo(
        name, 1, f"{name}:1", f"{name}:2", domain, "dar", capacity, True, link_bits_per_second=link
    )


def make_fleet(wide, narrow):
    """Return VMs with links of 200 and of 10 Mbit/s, spread over the failure domains."""
    vms = [make_vm(f"w-{n}", DOMAINS[n % 3], 2e8) for n in range(wide)]
    return vms + [make_vm(f"n-{n}", DOMAINS[n % 3], 1e7) for n in range(narrow)]


def shares(vms):
    """Return the share of all callers that each VM gets, as they choose by what they are given."""
    got = dict.fromkeys((vm.name for vm in vms), 0.0)
    for domain in DOMAINS:
        named = caller_shares.named_to(domain, vms)
        for vm in named:
            got[vm.name] += 1.0 / len(named) / len(DOMAINS)
    return got


def test_vm_with_a_narrow_link_gets_less_than_half_of_what_others_get():
    got = shares(make_fleet(6, 13))
    assert sum(got.values()) == pytest.approx(1.0)
    narrowest = max(share for name, share in got.items() if name.startswith("n"))
    widest = min(share for name, share in got.items() if name.startswith("w"))
    assert narrowest < widest / 2


@pytest.mark.parametrize(("wide", "narrow"), [(0, 9), (9, 0), (2, 7)])
def test_all_vms_are_named_to_all_callers_unless_some_with_wide_links_may_be_relied_on(
    wide, narrow
):
    vms = make_fleet(wide, narrow)
    assert all(caller_shares.named_to(domain, vms) == vms for domain in DOMAINS)


def test_link_that_keeps_its_cores_busy_is_not_narrow_beside_wider_ones():
    vms = [make_vm(f"w-{n}", DOMAINS[n], 1e9) for n in range(3)] + [make_vm("v", "dar-a", 1e8)]
    assert all(caller_shares.named_to(domain, vms) == vms for domain in DOMAINS)


def test_vms_that_state_no_link_are_named_to_all_callers():
    vms = [*make_fleet(3, 3), make_vm("earlier", "dar-a")]
    assert all(vms[-1] in caller_shares.named_to(domain, vms) for domain in DOMAINS)


def test_list_for_a_caller_leaves_out_narrow_links_of_other_domains():
    local = make_vm("n-0", "dar-a", 1e7)
    table = peer_table.PeerTable(local)
    vms = [local, *make_fleet(3, 0), make_vm("n-1", "dar-b", 1e7)]
    table.update_listed(vms, 0.0)
    test_peer_table.update(table, 9.0)
    for vm in vms[1:]:
        beat = dataclasses.replace(test_peer_table.heartbeat_from(vm.name), vm=vm)
        table.receive(beat, 10.0)
    test_peer_table.update(table, 10.1)
    wide = {"w-0:1", "w-1:1", "w-2:1"}
    assert set(table.caller_addresses(True, 10.1, 64, "dar-a")) == wide | {"n-0:1"}
    assert set(table.caller_addresses(True, 10.1, 64, "dar-b")) == wide | {"n-1:1"}
    assert set(table.caller_addresses(True, 10.1, 64, "")) == wide
    assert len(table.caller_addresses(True, 10.1, 64)) == 5


def test_vm_whose_link_bears_less_than_its_cores_serves_after_those_with_wider_links():
    vms = [make_vm("narrow", "dar-a", 1e6, capacity=2.0), make_vm("wide", "dar-a", 2e8)]
    assert [vm.name for vm in serving_set.rank_vms(vms)] == ["wide", "narrow"]
