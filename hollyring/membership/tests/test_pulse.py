import pytest

from hollyring.membership import pulse

GIVER = pulse.Giver(True, 0.5, [])


def place(name, life=1):
    return pulse.Place(name, life, f"{name}:1", f"{name}:2", "dar-a", "dar")


def heard(name, life=1, ready=True, marks=(), orders=GIVER):
    return pulse.Pulse(
        place(name, life), ready, True, list(marks), [], [], [], [], [], [], [], orders
    )


@pytest.fixture
def peers():
    return pulse.Peers(place("vm-1"))


def test_callers_are_sent_to_living_ready_vms_only(peers):
    peers.listed([place("vm-1"), place("vm-2"), place("vm-3"), place("vm-4")], 0.0)
    peers.hear(heard("vm-2"), 10.0)
    peers.hear(heard("vm-3", ready=False), 10.0)
    assert peers.caller_addresses(True, 10.1, 64) == ["vm-1:1", "vm-2:1"]
    assert peers.caller_addresses(False, 10.1, 64) == ["vm-2:1"]
    assert peers.caller_addresses(True, 12.0, 64) == ["vm-1:1"]


def test_store_that_forgets_the_vms_changes_nothing_for_those_that_are_heard(peers):
    peers.listed([place("vm-2")], 0.0)
    peers.hear(heard("vm-2"), 10.0)
    peers.listed([], 10.1)
    assert peers.caller_addresses(True, 10.2, 64) == ["vm-1:1", "vm-2:1"]
    assert peers.forget_silent(30.0) == []
    assert peers.forget_silent(71.0) == ["vm-2"]


def test_heard_part_counts_listed_vms_that_are_not_heard(peers):
    peers.listed([place("vm-2"), place("vm-3")], 0.0)
    peers.hear(heard("vm-2"), 10.0)
    assert peers.heard_part(10.1) == pytest.approx(2 / 3)


def test_vm_that_started_again_is_news(peers):
    assert peers.hear(heard("vm-2"), 10.0) is not None
    assert peers.hear(heard("vm-2"), 10.1) is None
    assert peers.hear(heard("vm-2", life=2), 10.2) is not None


def test_vm_ahead_is_asked_for_its_copy(peers):
    peers.hear(heard("vm-2", marks=[pulse.Mark("config", 7)]), 10.0)
    peers.hear(heard("vm-3", marks=[pulse.Mark("config", 9)]), 10.0)
    assert peers.ahead("config", 7, 10.1).place.name == "vm-3"
    assert peers.ahead("config", 9, 10.1) is None
    assert peers.ahead("config", 7, 20.0) is None


def test_last_order_of_another_vm_is_dated(peers):
    peers.hear(heard("vm-2", orders=pulse.Giver(False, 4.0, [])), 10.0)
    assert peers.known["vm-2"].ordered_at == 6.0
    assert not peers.known["vm-2"].holds_orders
