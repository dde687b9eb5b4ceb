import pytest

from hollyring.core import invariants
from hollyring.fleet import drain


@pytest.fixture
def machine():
    return drain.Drain(invariants.Invariants(), report_lag_seconds=2.0)


def test_leaving_upstream_gets_no_new_work(machine):
    machine.observe("e0", 1, 1.0, False, 3, 1.0)
    assert machine.accepts("e0")
    machine.observe("e0", 1, 2.0, True, 3, 2.0)
    assert not machine.accepts("e0")
    with pytest.raises(invariants.InvariantError):
        machine.dispatched("e0", 2.0)


def test_late_report_does_not_reopen(machine):
    machine.observe("e0", 1, 2.0, True, 3, 2.0)
    machine.observe("e0", 1, 1.0, False, 3, 2.5)
    assert not machine.accepts("e0")


def test_new_life_accepts_again(machine):
    machine.observe("e0", 1, 2.0, True, 3, 2.0)
    machine.observe("e0", 2, 0.0, False, 0, 3.0)
    assert machine.accepts("e0")


def test_drained_only_by_a_report_taken_after_the_last_dispatch(machine):
    machine.observe("e0", 1, 1.0, False, 0, 1.0)
    machine.dispatched("e0", 1.5)
    machine.observe("e0", 1, 2.0, True, 0, 2.0)
    assert not machine.drained("e0")
    machine.observe("e0", 1, 3.0, True, 1, 3.6)
    assert not machine.drained("e0")
    machine.observe("e0", 1, 4.0, True, 0, 4.0)
    assert machine.drained("e0")
    assert machine.dump() == {"e0": {"unfinished": 0, "drained": True}}
