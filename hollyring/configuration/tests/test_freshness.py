"""The age of what a VM knows of the store, and what follows from it."""

import math

import pytest

from hollyring.configuration import freshness


@pytest.fixture
def fresh():
    rules = freshness.FreshnessRules(bound_seconds=2.0)
    made = freshness.Freshness(["op/", "servers/"], rules)
    for prefix in made.prefixes:
        made.record(prefix, 100.0)
    return made


def test_the_oldest_prefix_decides(fresh):
    fresh.record("op/", 105.0)
    assert fresh.age(105.0) == 5.0
    assert fresh.age_of("op/", 105.0) == 0.0


def test_an_earlier_time_and_an_unknown_prefix_change_nothing(fresh):
    fresh.record("op/", 90.0)
    fresh.record("vms/", 200.0)
    assert fresh.age(100.0) == 0.0


def test_copies_of_unknown_age_may_not_be_used():
    fresh = freshness.Freshness(["op/"], freshness.FreshnessRules())
    assert math.isinf(fresh.age(1.0))
    assert not fresh.may_use(1.0)


def test_the_store_is_asked_before_the_copies_are_too_old(fresh):
    assert fresh.check_due_at(watches=True) < fresh.check_due_at(watches=False)
    assert not fresh.is_outdated(fresh.check_due_at(watches=False))
    assert fresh.is_outdated(100.0 + fresh.rules.bound_seconds)


@pytest.mark.parametrize("serves", [True, False])
def test_old_copies_are_used_without_the_store_if_the_rules_say_so(serves):
    fresh = freshness.Freshness(["op/"], freshness.FreshnessRules(2.0, serves))
    fresh.record_unanswered(10.0)
    assert fresh.may_use(10.0) is serves
    fresh.record_answered()
    assert not fresh.may_use(10.0)


def test_largest_age_at_use_is_kept_for_ten_to_twenty_seconds(fresh):
    fresh.record_use(101.5)
    assert fresh.largest_age(105.0) == 1.5
    fresh.record("op/", 112.0)
    fresh.record("servers/", 112.0)
    fresh.record_use(112.0)
    assert fresh.largest_age(112.0) == 1.5
    assert fresh.largest_age(130.0) == 0.0


def test_old_copies_are_not_used_once_another_vm_has_named_a_later_change(fresh):
    fresh.record_unanswered(110.0)
    assert fresh.may_use(110.0)
    fresh.record_behind("op/", 110.0)
    assert not fresh.may_use(110.0)
    assert not fresh.may_use(111.1)
    fresh.record_caught_up("op/")
    assert fresh.may_use(111.1)


def test_question_without_an_answer_excuses_old_copies_for_no_longer_than_the_bound(fresh):
    fresh.record_unanswered(110.0)
    assert fresh.may_use(110.0 + fresh.rules.bound_seconds)
    assert not fresh.may_use(110.1 + fresh.rules.bound_seconds)


def test_age_of_the_most_recent_copies_of_other_vms_is_known(fresh):
    assert math.isinf(fresh.others_age(100.0))
    fresh.record_copies_of_another(99.0, 100.0)
    fresh.record_copies_of_another(98.0, 100.0)
    assert fresh.others_age(100.0) == 1.0


def test_question_without_an_answer_excuses_no_old_copies_while_the_store_answers_others(fresh):
    fresh.record_unanswered(110.0)
    fresh.record_copies_of_another(109.5, 110.0)
    assert not fresh.may_use(110.0)
    assert not fresh.may_use(111.1)
    assert fresh.may_use(111.3)


def test_change_that_is_named_after_an_unanswered_question_gives_old_copies_no_more_time():
    fresh = freshness.Freshness(["op/"], freshness.FreshnessRules(bound_seconds=3.0))
    fresh.record("op/", 11.0)
    fresh.record_unanswered(16.9)
    fresh.record_copies_of_another(17.0, 17.03)
    fresh.record_behind("op/", 17.03)
    assert not any(fresh.may_use(at) for at in (17.03, 17.1, 18.5, 18.6, 19.8))


def test_vm_that_alone_gets_no_answers_stays_behind_but_waits_for_a_change_just_named(fresh):
    fresh.record_unanswered(110.0)
    assert not fresh.stays_behind(110.0, 0.4)
    fresh.record_copies_of_another(110.0, 110.0)
    assert not fresh.stays_behind(110.3, 0.4)
    assert fresh.stays_behind(110.5, 0.4)
    assert not fresh.stays_behind(111.5, 0.4)
    fresh.record_behind("op/", 111.4)
    assert not fresh.stays_behind(111.7, 0.4)
    assert fresh.stays_behind(111.9, 0.4)


def test_copies_are_brought_up_to_those_of_another_vm_before_they_are_too_old(fresh):
    fresh.record_copies_of_another(100.5, 100.5)
    assert not fresh.is_behind_others(101.0)
    assert fresh.is_behind_others(101.4)
    for prefix in fresh.prefixes:
        fresh.record(prefix, 100.49)
    assert not fresh.is_behind_others(101.9)


def test_vm_whose_copies_grew_too_old_a_moment_ago_waits_for_the_next_status(fresh):
    fresh.record_copies_of_another(100.1, 100.1)
    fresh.record_unanswered(101.0)
    fresh.record_copies_of_another(101.6, 101.6)
    assert fresh.is_outdated(101.75)
    assert not fresh.stays_behind(101.75, 0.4)
