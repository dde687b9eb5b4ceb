import random

import pytest

from hollyring.configuration import mirror


@pytest.fixture
def local():
    """A mirror of two keys as of revision 10."""
    copied = mirror.Mirror()
    copied.apply_list([mirror.Item("a", b"1", 4), mirror.Item("b", b"1", 7)], 10)
    return copied


def test_list_of_earlier_revision_is_ignored(local):
    assert local.apply_list([mirror.Item("a", b"0", 3)], 9) == set()
    assert local.items["a"].value == b"1"


def test_earlier_change_does_not_restore_removed_key(local):
    local.apply_changes([mirror.Removal("a", 12)], 12)
    assert local.apply_changes([mirror.Item("a", b"1", 4)], 13) == set()
    assert "a" not in local.items


def test_list_removes_missing_keys(local):
    assert local.apply_list([mirror.Item("b", b"1", 7)], 14) == {"a"}


def test_copy_of_another_vm_is_applied_only_if_newer(local):
    assert local.apply_copy([mirror.Item("a", b"2", 6)], 6) == set()
    assert local.apply_copy([mirror.Item("a", b"2", 11)], 11) == {"a", "b"}
    assert local.last_change_revision == 11


def test_copy_does_not_undo_later_store_changes(local):
    local.apply_changes([mirror.Item("a", b"3", 20)], 20)
    assert local.apply_copy([mirror.Item("a", b"2", 15), mirror.Item("b", b"1", 7)], 18) == set()
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
            history.append(mirror.Removal(key, revision))
        else:
            items[key] = mirror.Item(key, str(revision).encode(), revision)
            history.append(items[key])
        states.append(dict(items))
    local = mirror.Mirror()
    newest: dict[str, int] = {}
    for _ in range(40):
        at = rng.randrange(1, 30)
        kind = rng.choice(["list", "watch", "copy"])
        if kind == "list":
            local.apply_list(states[at].values(), at)
        elif kind == "watch" and local.revision:
            local.apply_changes(history[local.revision : at], max(at, local.revision))
        elif kind == "copy":
            local.apply_copy(states[at].values(), at)
        for key, item in local.items.items():
            assert item.revision >= newest.get(key, 0)
            newest[key] = item.revision
    local.apply_list(states[-1].values(), 29)
    assert local.items == states[-1]
