"""Decisions about whole requests that crash servers."""

import pytest

from hollyring.core import identities
from hollyring.routing import crashes

BAD = crashes.request_hash("/a", "org", b"bad")
OTHER = crashes.request_hash("/a", "org", b"other")


@pytest.fixture
def table():
    return crashes.PartCrashes()


def crash(table, number, *parts, at=0.0, vm="vm-1"):
    server = identities.Incarnation(f"s-{number}", 1)
    table.record_crash(crashes.CrashReport(server, frozenset(parts)), vm, at)


def decide(table, at):
    return [blame.parts for blame in table.decide(at + crashes.SETTLE_SECONDS + 0.1)]


def test_request_that_a_sound_one_followed_from_server_to_server_is_blamed_all_the_same(table):
    for number in range(3):
        crash(table, number, BAD, OTHER)
    assert sorted(decide(table, 0.0), key=sorted) == sorted([{BAD}, {OTHER}], key=sorted)
    assert table.blamed([BAD], 1.0) is not None


def test_two_crashes_blame_no_request(table):
    for number in range(2):
        crash(table, number, BAD)
    assert decide(table, 0.0) == []


def test_one_request_sent_again_and_again_leaves_the_parts_of_its_prompt_alone(table):
    for number in range(3):
        crash(table, number, "document", BAD)
    assert decide(table, 0.0) == [{BAD}]
    assert table.blamed(["document", OTHER], 1.0) is None


def test_part_that_another_request_has_too_is_blamed(table):
    for number in range(3):
        crash(table, number, "bad-part", BAD)
    crash(table, 3, "bad-part", OTHER)
    assert {"bad-part"} in decide(table, 0.0)
    assert table.blamed(["bad-part", "another"], 1.0) is not None


def test_request_that_was_answered_whole_is_not_blamed(table):
    table.record_sound([OTHER], 0.0)
    for number in range(3):
        crash(table, number, BAD, OTHER, at=0.5)
    assert decide(table, 0.5) == [{BAD}]


def answer_earlier(table, *requests):
    """Record whole answers, too long before the crashes that follow to clear them."""
    table.record_sound(requests, -crashes.SOUND_SECONDS - 1.0)


def crash_and_tell(table, number, *parts):
    report = crashes.CrashReport(identities.Incarnation(f"s-{number}", 1), frozenset(parts))
    table.record_crash(report, "vm-1", 0.0)
    table.record_earlier(table.answered_earlier(report, 0.0), 0.0)


def test_request_that_was_answered_before_is_not_blamed_for_crashes_that_another_one_explains(
    table,
):
    answer_earlier(table, OTHER)
    for number in range(3):
        crash_and_tell(table, number, BAD, OTHER)
    assert decide(table, 0.0) == [{BAD}]
    other_vms = crashes.Blame(frozenset({OTHER}), ("s-0#1", "s-1#1", "s-2#1"), ("vm-2",))
    assert not table.adopt(other_vms, 1.0)


def test_request_that_was_answered_before_is_blamed_at_the_first_crash_left_unexplained(table):
    answer_earlier(table, OTHER)
    for number in range(3):
        crash_and_tell(table, number, BAD, OTHER)
    decide(table, 0.0)
    crash_and_tell(table, 3, OTHER)
    assert decide(table, 0.0) == [{OTHER}]


def test_requests_that_were_all_answered_before_are_blamed_all_the_same(table):
    answer_earlier(table, BAD, OTHER)
    for number in range(3):
        crash_and_tell(table, number, BAD, OTHER)
    assert len(decide(table, 0.0)) == 2


def test_one_vm_sends_a_blamed_request_once_on_trial(table):
    for number in range(3):
        crash(table, number, BAD, vm=f"vm-{number}")
    table.decide(0.5)
    blame = table.blamed([BAD], 1.0)
    due = 0.5 + crashes.TRIAL_AFTER_SECONDS
    assert not table.begin_trial(blame, "vm-0", due - 0.1)
    assert not table.begin_trial(blame, "vm-1", due + 0.1)
    assert table.begin_trial(blame, "vm-0", due + 0.1)
    assert not table.begin_trial(blame, "vm-0", due + 0.2)
    table.record_sound([BAD], due + 0.3)
    assert table.blamed([BAD], due + 0.4) is None


def test_request_whose_trial_ends_with_another_crash_is_refused_until_its_blame_ends(table):
    for number in range(3):
        crash(table, number, BAD)
    table.decide(0.5)
    due = 0.5 + crashes.TRIAL_AFTER_SECONDS
    assert table.begin_trial(table.blamed([BAD], due), "vm-1", due)
    crash(table, 3, BAD, at=due)
    table.decide(due + crashes.SETTLE_SECONDS + 0.1)
    blame = table.blamed([BAD], due + 1.0)
    assert not table.begin_trial(blame, "vm-1", due + crashes.TRIAL_AFTER_SECONDS)
    assert table.blamed([BAD], 0.5 + crashes.BLAME_SECONDS - 0.1) is not None
    assert table.blamed([BAD], due + 0.2 + crashes.BLAME_SECONDS) is None


def test_requests_that_differ_in_path_or_body_are_not_blamed_for_each_other(table):
    for number in range(3):
        crash(table, number, crashes.request_hash("/a", "org", b"%d" % number))
        crash(table, 10 + number, crashes.request_hash(f"/{number}", "org", b"bad"))
    assert decide(table, 0.0) == []


def test_blamed_part_of_a_prompt_is_not_sent_on_trial(table):
    for number in range(3):
        crash(table, number, "bad-part", crashes.request_hash("/a", "org", b"%d" % number))
    table.decide(0.5)
    blame = table.blamed(["bad-part"], 1.0)
    assert not table.begin_trial(blame, "vm-1", 0.5 + crashes.TRIAL_AFTER_SECONDS + 0.1)


@pytest.mark.parametrize("blamed_first", [{"bad-part"}, {BAD}], ids=["part", "request"])
def test_many_blames_of_one_kind_do_not_displace_one_of_the_other(table, blamed_first):
    """Requests with a blamed part may each be blamed as a whole, too."""
    is_part = blamed_first == {"bad-part"}
    table.adopt(crashes.Blame(frozenset(blamed_first), (), ()), 0.0)
    for number in range(2 * crashes.MAX_BLAMED):
        name = crashes.request_hash("/a", "org", b"%d" % number) if is_part else f"part-{number}"
        table.adopt(crashes.Blame(frozenset({name}), (), ()), 1.0)
    assert table.blamed(blamed_first, 2.0) is not None
    assert len(table.blames()) == crashes.MAX_BLAMED + 1
