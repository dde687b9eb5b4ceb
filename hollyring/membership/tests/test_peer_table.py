import functools
import random

import pytest

from hollyring.configuration import store_revision
from hollyring.core.tests import python_calls
from hollyring.membership import heartbeat, peer_table, serving_set

ORDER_LEASE = heartbeat.OrderLeaseStatus(True, 0.5, [])


def vm_info(name, life=1, domain="dar-a", capacity=1.0):
    return heartbeat.VmInfo(name, life, f"{name}:1", f"{name}:2", domain, "dar", capacity)


def large_fleet():
    """Return 195 VMs in five domains; three in each have four times the others' capacity."""
    return [
        vm_info(f"vm-{n:03}", domain=f"dar-{n % 5}", capacity=2.15 if n < 15 else 0.516)
        for n in range(195)
    ]


LARGE_FLEET = {vm.name: vm for vm in large_fleet()}


def heartbeat_from(name, life=1, ready=True, revisions=(), order_lease=ORDER_LEASE, **others):
    return heartbeat.Heartbeat(
        LARGE_FLEET.get(name) or vm_info(name, life),
        ready,
        others.pop("store_reached", True),
        list(revisions),
        *([], [], [], [], [], [], []),
        order_lease,
        **others,
    )


def update(table, now, rate=0.0, leaving=False, has_requests=False):
    table.update(leaving, has_requests, rate, now)


def serving_names(table):
    return {vm.name for vm in table.serving}


@pytest.fixture
def peers():
    return peer_table.PeerTable(vm_info("vm-1"))


@pytest.fixture
def fleet():
    """Tables of the VMs of `large_fleet`, of which none has sent a heartbeat."""
    vms = list(LARGE_FLEET.values())
    tables = [peer_table.PeerTable(vm) for vm in vms]
    for table in tables:
        table.update_listed(vms, 0.0)
        update(table, 0.0)
    return tables


def test_callers_are_sent_to_alive_and_ready_vms_only(peers):
    peers.update_listed([vm_info("vm-1"), vm_info("vm-2"), vm_info("vm-3"), vm_info("vm-4")], 0.0)
    update(peers, 9.0)
    peers.receive(heartbeat_from("vm-2"), 10.0)
    peers.receive(heartbeat_from("vm-3", ready=False), 10.0)
    update(peers, 10.1)
    assert peers.caller_addresses(True, 10.1, 64) == ["vm-1:1", "vm-2:1"]
    assert peers.caller_addresses(False, 10.1, 64) == ["vm-2:1"]
    update(peers, 12.0)
    assert peers.caller_addresses(True, 12.0, 64) == ["vm-1:1"]


def test_silence_that_a_late_event_loop_explains_takes_no_vm_from_the_list(peers):
    peers.update_listed([vm_info("vm-1"), vm_info("vm-2")], 0.0)
    update(peers, 9.0)
    peers.receive(heartbeat_from("vm-2"), 10.0)
    peers.expect_turn(10.2)
    assert peers.caller_addresses(True, 13.0, 64) == ["vm-1:1", "vm-2:1"]
    peers.begin_turn(13.0)
    update(peers, 13.0)
    assert peers.caller_addresses(True, 13.0, 64) == ["vm-1:1", "vm-2:1"]
    peers.expect_turn(13.2)
    peers.begin_turn(13.2 + peer_table.READ_SECONDS)
    update(peers, 13.2 + peer_table.READ_SECONDS)
    assert peers.caller_addresses(True, 14.2, 64) == ["vm-1:1"]


def test_callers_are_sent_to_vms_that_are_cut_off_from_upstreams_last(peers):
    peers.update_listed([vm_info("vm-1"), vm_info("vm-2"), vm_info("vm-3")], 0.0)
    update(peers, 9.0)
    peers.receive(heartbeat_from("vm-2", unreachable_services=["ls"]), 10.0)
    peers.receive(heartbeat_from("vm-3"), 10.0)
    update(peers, 10.1)
    assert peers.caller_addresses(True, 10.1, 64) == ["vm-1:1", "vm-3:1", "vm-2:1"]
    peers.set_cut_off(True)
    assert peers.caller_addresses(True, 10.1, 64) == ["vm-3:1", "vm-1:1", "vm-2:1"]
    peers.receive(heartbeat_from("vm-3", unreachable_services=["ls"]), 10.1)
    assert peers.caller_addresses(True, 10.1, 64) == ["vm-1:1", "vm-3:1", "vm-2:1"]
    assert peers.caller_addresses(True, 10.1, 1) == ["vm-1:1"]


def test_vms_lost_from_the_store_stay_while_their_heartbeats_arrive(peers):
    peers.update_listed([vm_info("vm-2")], 0.0)
    peers.receive(heartbeat_from("vm-2"), 10.0)
    peers.update_listed([], 10.1)
    update(peers, 10.2)
    assert peers.caller_addresses(True, 10.2, 64) == ["vm-1:1", "vm-2:1"]
    assert peers.remove_silent(30.0) == []
    assert peers.remove_silent(71.0) == ["vm-2"]


def test_reachable_fraction_counts_listed_vms_without_heartbeats(peers):
    peers.update_listed([vm_info("vm-2"), vm_info("vm-3")], 0.0)
    update(peers, 0.0)
    assert peers.reachable_fraction(0.1) == 1.0
    peers.receive(heartbeat_from("vm-2"), 10.0)
    update(peers, 10.1)
    assert peers.reachable_fraction(10.1) == pytest.approx(2 / 3)


def test_both_sides_of_a_partition_together_reach_the_whole_fleet(fleet):
    """VMs that are selected instead of those on the other side do not count."""
    names = sorted(vm.name for vm in fleet[0].serving)
    fractions = []
    for side in (names[:4], names[4:]):
        table = fleet[int(side[0].removeprefix("vm-"))]
        for name in [*side[1:], "vm-190", "vm-191"]:
            table.receive(heartbeat_from(name), 10.0)
        update(table, 10.0)
        fractions.append(table.reachable_fraction(10.0))
    assert sum(fractions) == pytest.approx(1.0)


def test_all_vms_of_a_large_fleet_select_the_same_few(fleet):
    selections = {frozenset(serving_names(table)) for table in fleet}
    assert len(selections) == 1
    selected = next(iter(selections))
    assert len(selected) == serving_set.MIN_SERVING_VMS
    assert selected <= {f"vm-{n:03}" for n in range(15)}
    assert sum(table.is_serving for table in fleet) == len(selected)


def test_small_fleet_serves_with_all_its_vms(peers):
    names = [f"vm-{n}" for n in range(1, 10)]
    peers.update_listed([vm_info(name) for name in names], 0.0)
    update(peers, 0.0)
    assert serving_names(peers) == set(names)
    assert len(peers.recipients(0.0)) == 8


def test_more_vms_serve_when_there_are_more_requests(fleet):
    table = next(table for table in fleet if table.is_serving)
    before = len(table.serving)
    update(table, 1.0, rate=1500.0)
    update(table, 1.1, rate=1500.0)
    assert before < len(table.serving) <= serving_set.MAX_SERVING_VMS
    update(table, 2.0, rate=100.0)
    assert len(table.serving) > before
    update(table, 13.0, rate=100.0)
    update(table, 13.1, rate=100.0)
    assert len(table.serving) == before


def test_silent_or_leaving_vm_is_replaced(fleet):
    table = next(table for table in fleet if table.is_serving)
    silent, leaving = [vm.name for vm in table.sponsors(0.0)][:2]
    for tenth in range(31):
        now = tenth / 10
        for vm in list(table.serving):
            if vm.name != silent:
                is_leaving = vm.name == leaving and now > 1.0
                table.receive(heartbeat_from(vm.name, leaving=is_leaving), now)
        update(table, now)
    assert not {silent, leaving} & serving_names(table)
    assert len(table.serving) == serving_set.MIN_SERVING_VMS
    assert {silent, leaving} <= set(table.status()[1])


def test_status_tells_a_following_vm_who_is_missing(fleet):
    serving = next(table for table in fleet if table.is_serving)
    update(serving, 3.0)
    update(serving, 3.1)
    size, unavailable = serving.status()
    assert len(unavailable) >= serving_set.MIN_SERVING_VMS - 1
    selected = serving_names(serving).union(unavailable)
    follower = next(fleet[n] for n, name in enumerate(LARGE_FLEET) if name not in selected)
    sponsor = follower.sponsors(0.0)[0]
    assert not follower.should_watch_store(1.0)
    assert follower.should_watch_store(peer_table.STATUS_TIMEOUT_SECONDS)
    follower.receive_status(
        sponsor.name, heartbeat.FleetStatus(True, size, unavailable, [], []), 3.0
    )
    update(follower, 3.1)
    assert not follower.should_watch_store(3.1)
    assert follower.should_watch_store(3.1 + peer_table.STATUS_TIMEOUT_SECONDS)
    assert serving_names(follower).isdisjoint(unavailable)
    assert follower.recipients(3.1) == []


def test_following_vm_answers_heartbeats_until_they_end(fleet):
    follower = next(table for table in fleet if not table.is_serving)
    follower.receive(heartbeat_from("vm-000"), 5.0)
    assert follower.recipients(5.1) == ["vm-000:2"]
    assert follower.recipients(6.5) == []
    follower.receive(heartbeat_from("vm-190", exchanging=False), 7.0)
    assert follower.recipients(7.1) == []


def test_vm_with_requests_exchanges_heartbeats_although_it_does_not_serve(fleet):
    follower = next(table for table in fleet if not table.is_serving)
    update(follower, 5.0, has_requests=True)
    assert len(follower.recipients(5.0)) == serving_set.MIN_SERVING_VMS


def test_vm_that_served_callers_exchanges_heartbeats_until_they_have_left(fleet):
    table = next(table for table in fleet if table.is_serving)
    update(table, 1.0, rate=30.0)
    ranked_before = LARGE_FLEET | {
        f"vm-{n}": vm_info(f"vm-{n}", domain=f"dar-{n % 5}", capacity=9.0) for n in range(300, 360)
    }
    table.update_listed(list(ranked_before.values()), 1.1)
    update(table, 1.2, rate=1.0)
    assert not table.is_serving
    assert table.is_exchanging
    update(table, 1.1 + peer_table.SERVED_HOLD_SECONDS)
    assert not table.is_exchanging


def test_few_vms_watch_the_store(fleet):
    serving = [table for table in fleet if table.is_serving]
    for table in serving:
        for vm in list(table.serving):
            table.receive(heartbeat_from(vm.name), 1.0)
        update(table, 1.0)
    assert sum(table.should_watch_store(1.0) for table in serving) == peer_table.STORE_WATCHERS
    for table in serving:
        for vm in table.serving[: peer_table.STORE_WATCHERS]:
            table.receive(heartbeat_from(vm.name, store_reached=False), 1.1)
    watching = sum(table.should_watch_store(1.1) for table in serving)
    assert watching == 2 * peer_table.STORE_WATCHERS


def test_new_or_restarted_vm_is_returned(peers):
    assert peers.receive(heartbeat_from("vm-2"), 10.0) is not None
    assert peers.receive(heartbeat_from("vm-2"), 10.1) is None
    assert peers.receive(heartbeat_from("vm-2", life=2), 10.2) is not None


def test_peer_ahead_is_the_alive_vm_with_the_newest_revision(peers):
    peers.receive(heartbeat_from("vm-2", revisions=[heartbeat.PrefixRevision("config", 7)]), 10.0)
    peers.receive(heartbeat_from("vm-3", revisions=[heartbeat.PrefixRevision("config", 9)]), 10.0)
    assert peers.peer_ahead("config", store_revision.Revision(1, 7), 10.1).vm.name == "vm-3"
    assert peers.peer_ahead("config", store_revision.Revision(1, 9), 10.1) is None
    assert peers.peer_ahead("config", store_revision.Revision(1, 7), 20.0) is None


def test_peer_ahead_has_a_later_era_although_its_revision_is_lower(peers):
    older = heartbeat.PrefixRevision("config", 9, 1)
    newer = heartbeat.PrefixRevision("config", 3, 2)
    peers.receive(heartbeat_from("vm-2", revisions=[older]), 10.0)
    peers.receive(heartbeat_from("vm-3", revisions=[newer]), 10.0)
    assert peers.peer_ahead("config", store_revision.Revision(1, 5), 10.1).vm.name == "vm-3"
    assert peers.peer_ahead("config", store_revision.Revision(2, 3), 10.1) is None


def test_revisions_that_a_heartbeat_omits_are_kept(peers):
    peers.receive(heartbeat_from("vm-2", revisions=[heartbeat.PrefixRevision("config", 7)]), 10.0)
    peers.receive(heartbeat_from("vm-2"), 10.2)
    assert peers.peer_ahead("config", store_revision.Revision(1, 6), 10.3).vm.name == "vm-2"


def test_alive_vms_are_those_heard_of_until_this_vm_was_late(fleet):
    table = fleet[0]
    rng = random.Random(1)
    heard_at = {name: 100.0 + 3.0 * rng.random() for name in table.by_name}
    for name, at in heard_at.items():
        table.receive(heartbeat_from(name), at)
    for late in (0.0, 0.05, 0.5, 2.0):
        table.expect_turn(103.0 - late)
        explained = late if late > peer_table.MIN_LATE_SECONDS else 0.0
        limit = peer_table.ALIVE_TIMEOUT_SECONDS
        alive = {name for name, at in heard_at.items() if 103.0 - explained - at < limit}
        assert {peer.vm.name for peer in table.alive(103.0)} == alive


def test_alive_vms_are_found_by_one_step_for_each_vm(fleet):
    table = fleet[0]
    for name in table.by_name:
        table.receive(heartbeat_from(name), 100.0)
    assert len(table.alive(100.1)) == len(table.by_name)
    assert python_calls.count(lambda: table.alive(100.1)) < len(table.by_name) + 10


def test_revisions_of_silent_vms_are_not_compared(fleet):
    table = fleet[0]
    newer = [heartbeat.PrefixRevision("vm/", 7)]
    for name in table.by_name:
        table.receive(heartbeat_from(name, revisions=newer), 100.0)
    table.receive(heartbeat_from("vm-100", revisions=newer), 110.0)
    behind = store_revision.Revision(store_revision.UNKNOWN_ERA, 6)
    assert table.peer_ahead("vm/", behind, 110.1).vm.name == "vm-100"
    ask = functools.partial(table.peer_ahead, "vm/", behind, 110.1)
    assert python_calls.count(ask) < 20
    assert python_calls.count(ask, ("call", "c_call")) < 30
