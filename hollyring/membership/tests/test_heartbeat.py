import pytest

from hollyring.membership import heartbeat

ORDER_LEASE = heartbeat.OrderLeaseStatus(True, 0.5, [])


def vm_info(name, life=1):
    return heartbeat.VmInfo(name, life, f"{name}:1", f"{name}:2", "dar-a", "dar")


def heartbeat_from(name, life=1, ready=True, revisions=(), order_lease=ORDER_LEASE):
    return heartbeat.Heartbeat(
        vm_info(name, life), ready, True, list(revisions), [], [], [], [], [], [], [], order_lease
    )


@pytest.fixture
def peers():
    return heartbeat.Peers(vm_info("vm-1"))


def test_callers_are_sent_to_living_ready_vms_only(peers):
    peers.update_listed([vm_info("vm-1"), vm_info("vm-2"), vm_info("vm-3"), vm_info("vm-4")], 0.0)
    peers.receive(heartbeat_from("vm-2"), 10.0)
    peers.receive(heartbeat_from("vm-3", ready=False), 10.0)
    assert peers.caller_addresses(True, 10.1, 64) == ["vm-1:1", "vm-2:1"]
    assert peers.caller_addresses(False, 10.1, 64) == ["vm-2:1"]
    assert peers.caller_addresses(True, 12.0, 64) == ["vm-1:1"]


def test_store_that_forgets_the_vms_changes_nothing_for_those_that_are_heard(peers):
    peers.update_listed([vm_info("vm-2")], 0.0)
    peers.receive(heartbeat_from("vm-2"), 10.0)
    peers.update_listed([], 10.1)
    assert peers.caller_addresses(True, 10.2, 64) == ["vm-1:1", "vm-2:1"]
    assert peers.remove_silent(30.0) == []
    assert peers.remove_silent(71.0) == ["vm-2"]


def test_heard_part_counts_listed_vms_that_are_not_heard(peers):
    peers.update_listed([vm_info("vm-2"), vm_info("vm-3")], 0.0)
    peers.receive(heartbeat_from("vm-2"), 10.0)
    assert peers.alive_fraction(10.1) == pytest.approx(2 / 3)


def test_vm_that_started_again_is_news(peers):
    assert peers.receive(heartbeat_from("vm-2"), 10.0) is not None
    assert peers.receive(heartbeat_from("vm-2"), 10.1) is None
    assert peers.receive(heartbeat_from("vm-2", life=2), 10.2) is not None


def test_vm_ahead_is_asked_for_its_copy(peers):
    peers.receive(heartbeat_from("vm-2", revisions=[heartbeat.PrefixRevision("config", 7)]), 10.0)
    peers.receive(heartbeat_from("vm-3", revisions=[heartbeat.PrefixRevision("config", 9)]), 10.0)
    assert peers.peer_ahead("config", 7, 10.1).vm.name == "vm-3"
    assert peers.peer_ahead("config", 9, 10.1) is None
    assert peers.peer_ahead("config", 7, 20.0) is None


def test_last_order_of_another_vm_is_dated(peers):
    peers.receive(
        heartbeat_from("vm-2", order_lease=heartbeat.OrderLeaseStatus(False, 4.0, [])), 10.0
    )
    assert peers.by_name["vm-2"].last_order_at == 6.0
    assert not peers.by_name["vm-2"].holds_order_lease
