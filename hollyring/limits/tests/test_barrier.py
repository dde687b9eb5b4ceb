from hollyring.limits import barrier, messages

MEMBERS = {"vm-1", "vm-2"}


def confirm(state, member, incarnation):
    state.confirm(member, messages.Confirm(4, state.round, incarnation))


def test_one_round_of_confirmations_is_not_enough():
    state = barrier.RosterBarrier(4, MEMBERS)
    for member in MEMBERS:
        confirm(state, member, 1)
    assert state.unconfirmed(set()) == MEMBERS
    for member in MEMBERS:
        confirm(state, member, 1)
    assert state.unconfirmed(set()) == set()


def test_restarted_member_invalidates_the_second_round():
    state = barrier.RosterBarrier(4, MEMBERS)
    for member in MEMBERS:
        confirm(state, member, 1)
    state.unconfirmed(set())
    confirm(state, "vm-1", 1)
    confirm(state, "vm-2", 2)
    assert state.unconfirmed(set()) == MEMBERS


def test_older_roster_and_destroyed_vm_are_ignored():
    state = barrier.RosterBarrier(4, MEMBERS)
    state.confirm("vm-1", messages.Confirm(3, 1, 1))
    assert state.unconfirmed({"vm-2"}) == {"vm-1"}
    confirm(state, "vm-1", 1)
    state.unconfirmed({"vm-2"})
    confirm(state, "vm-1", 1)
    assert state.unconfirmed({"vm-2"}) == set()
