"""Tests of upstreams that announce that they leave."""

import pytest

from hollyring.routing import departures, registry


def entry(life=1, name="a", address="10.0.0.1:1", leaving=False):
    return registry.Entry(name, "s", address, "dar-a", 8, leaving, life, {})


@pytest.fixture
def upstreams():
    registered = registry.Registry()
    registered.put(entry(life=5))
    registered.record_departure("a", 5, 0.0)
    return registered


def test_entry_that_still_says_ready_does_not_undo_an_announcement(upstreams):
    for _ in range(3):
        upstreams.put(entry(life=5))
    assert upstreams.get("a").leaving


def test_outdated_entry_of_an_earlier_incarnation_does_not_undo_an_announcement(upstreams):
    upstreams.put(entry(life=4))
    assert upstreams.get("a").leaving
    upstreams.put(entry(life=5))
    assert upstreams.get("a").leaving


def test_next_incarnation_under_the_same_name_is_not_leaving(upstreams):
    upstreams.put(entry(life=6))
    assert not upstreams.get("a").leaving


def test_other_upstream_at_the_same_address_is_not_leaving(upstreams):
    upstreams.put(entry(life=5, name="b"))
    assert not upstreams.get("b").leaving


def test_late_announcement_of_an_earlier_incarnation_is_ignored(upstreams):
    upstreams.put(entry(life=6))
    assert not upstreams.record_departure("a", 5, 1.0)
    assert not upstreams.get("a").leaving


def test_announcement_is_new_only_once(upstreams):
    assert not upstreams.record_departure("a", 5, 1.0)
    assert upstreams.record_departure("a", 6, 1.0)
    assert not upstreams.record_departure("a", 5, 1.0)


def test_announcement_that_precedes_the_entry_holds(upstreams):
    upstreams.record_departure("late", 7, 1.0)
    upstreams.put(entry(life=7, name="late"))
    assert upstreams.get("late").leaving


def test_entry_that_returns_soon_after_its_removal_is_still_leaving(upstreams):
    upstreams.forget_departures(100.0)
    upstreams.remove("a")
    upstreams.forget_departures(99.0 + departures.RETENTION_SECONDS)
    upstreams.put(entry(life=5))
    assert upstreams.get("a").leaving


def test_announcement_is_forgotten_some_time_after_the_removal_of_its_entry(upstreams):
    upstreams.forget_departures(100.0)
    assert upstreams.get("a").leaving
    upstreams.remove("a")
    upstreams.forget_departures(101.0 + departures.RETENTION_SECONDS)
    upstreams.put(entry(life=5))
    assert not upstreams.get("a").leaving


def test_entry_without_an_incarnation_number_is_new_after_its_removal():
    """An upstream that was started again under its name would never have been used again."""
    upstreams = registry.Registry()
    upstreams.put(entry(life=registry.UNKNOWN_LIFE))
    upstreams.record_departure("a", registry.UNKNOWN_LIFE, 0.0)
    upstreams.remove("a")
    upstreams.put(entry(life=registry.UNKNOWN_LIFE))
    assert not upstreams.get("a").leaving


def test_upstream_that_leaves_or_was_removed_accepts_no_requests(upstreams):
    leaving = upstreams.get("a")
    upstreams.put(entry(name="b"))
    staying = upstreams.get("b")
    assert not upstreams.accepts_requests(leaving)
    assert upstreams.accepts_requests(staying)
    upstreams.remove("b")
    assert not upstreams.accepts_requests(staying)
