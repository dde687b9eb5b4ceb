import random

import pytest

from hollyring.configuration import mirror, store_revision


def at(number, era=1):
    return store_revision.Revision(era, number)


@pytest.fixture
def local():
    """A mirror of two keys as of revision 10."""
    copied = mirror.Mirror()
    copied.apply_list([mirror.Item("a", b"1", at(4)), mirror.Item("b", b"1", at(7))], at(10))
    return copied


def test_list_of_earlier_revision_is_ignored(local):
    assert local.apply_list([mirror.Item("a", b"0", at(3))], at(9)) == set()
    assert local.items["a"].value == b"1"


def test_earlier_change_does_not_restore_removed_key(local):
    local.apply_changes([mirror.Removal("a", at(12))], at(12))
    assert local.apply_changes([mirror.Item("a", b"1", at(4))], at(13)) == set()
    assert "a" not in local.items


def test_list_removes_missing_keys(local):
    assert local.apply_list([mirror.Item("b", b"1", at(7))], at(14)) == {"a"}


def test_copy_of_another_vm_is_applied_only_if_newer(local):
    assert local.apply_copy([mirror.Item("a", b"2", at(6))], at(6)) == set()
    assert local.apply_copy([mirror.Item("a", b"2", at(11))], at(11)) == {"a", "b"}
    assert local.last_change_revision == at(11)


def test_copy_does_not_undo_later_store_changes(local):
    local.apply_changes([mirror.Item("a", b"3", at(20))], at(20))
    assert (
        local.apply_copy([mirror.Item("a", b"2", at(15)), mirror.Item("b", b"1", at(7))], at(18))
        == set()
    )
    assert local.items["a"].value == b"3"


@pytest.mark.parametrize("seed", range(40))
def test_no_key_returns_to_an_earlier_revision(seed):
    """Changes arrive by lists, watches and other VMs' copies, some late or more than once."""
    rng = random.Random(seed)
    items: dict[str, mirror.Item] = {}
    history = []
    states = [dict(items)]
    for revision in range(1, 30):
        key = rng.choice("abc")
        if key in items and rng.random() < 0.3:
            del items[key]
            history.append(mirror.Removal(key, at(revision)))
        else:
            items[key] = mirror.Item(key, str(revision).encode(), at(revision))
            history.append(items[key])
        states.append(dict(items))
    local = mirror.Mirror()
    newest: dict[str, store_revision.Revision] = {}
    for _ in range(40):
        number = rng.randrange(1, 30)
        kind = rng.choice(["list", "watch", "copy"])
        if kind == "list":
            local.apply_list(states[number].values(), at(number))
        elif kind == "watch" and local.revision.number:
            applied = local.revision.number
            local.apply_changes(history[applied:number], at(max(number, applied)))
        elif kind == "copy":
            local.apply_copy(states[number].values(), at(number))
        for key, item in local.items.items():
            assert item.revision >= newest.get(key, store_revision.NONE)
            newest[key] = item.revision
    local.apply_list(states[-1].values(), at(29))
    assert local.items == states[-1]


@pytest.mark.parametrize("kind", ["list", "copy"])
def test_lower_revision_of_a_later_era_replaces_the_items(local, kind):
    items = [mirror.Item("a", b"2", at(3, era=2))]
    apply = local.apply_list if kind == "list" else local.apply_copy
    assert apply(items, at(5, era=2)) == {"a", "b"}
    assert list(local.items.values()) == items
    assert local.era == 2


def test_late_answers_of_an_earlier_era_change_nothing(local):
    local.apply_list([mirror.Item("a", b"2", at(3, era=2))], at(5, era=2))
    late = [mirror.Item("a", b"9", at(40)), mirror.Item("c", b"9", at(41))]
    assert local.apply_list(late, at(42)) == set()
    assert local.apply_copy(late, at(42), at(42)) == set()
    assert local.apply_changes(late, at(42), at(42)) == set()
    assert local.items == {"a": mirror.Item("a", b"2", at(3, era=2))}
    assert (local.revision, local.last_change_revision) == (at(5, era=2), at(5, era=2))


def test_changes_of_a_later_era_wait_for_a_list_of_it(local):
    assert local.apply_changes([mirror.Item("a", b"2", at(11, era=2))], at(11, era=2)) == set()
    assert local.revision == at(10)


def test_changes_since_an_earlier_era_are_not_known(local):
    local.apply_list([mirror.Item("a", b"2", at(3, era=2))], at(5, era=2))
    assert local.changes_after(at(10)) is None
    assert local.changes_after(at(5, era=2)) == []
