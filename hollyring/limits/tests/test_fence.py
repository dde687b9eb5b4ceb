from hollyring.limits import fence, messages

MEMBERS = {"vm-1", "vm-2"}


def confirm(state, member, life):
    state.confirm(member, messages.Confirm(4, state.round, life))


def test_two_rounds_are_needed():
    state = fence.Fence(4, MEMBERS)
    for member in MEMBERS:
        confirm(state, member, 1)
    assert state.missing(set()) == MEMBERS
    for member in MEMBERS:
        confirm(state, member, 1)
    assert state.missing(set()) == set()


def test_new_life_starts_the_second_round_again():
    state = fence.Fence(4, MEMBERS)
    for member in MEMBERS:
        confirm(state, member, 1)
    state.missing(set())
    confirm(state, "vm-1", 1)
    confirm(state, "vm-2", 2)
    assert state.missing(set()) == MEMBERS


def test_older_roster_and_destroyed_vm_do_not_count():
    state = fence.Fence(4, MEMBERS)
    state.confirm("vm-1", messages.Confirm(3, 1, 1))
    assert state.missing({"vm-2"}) == {"vm-1"}
    confirm(state, "vm-1", 1)
    state.missing({"vm-2"})
    confirm(state, "vm-1", 1)
    assert state.missing({"vm-2"}) == set()
