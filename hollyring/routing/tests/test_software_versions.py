import math

import pytest

from hollyring.routing import registry, software_versions

TTL_SECONDS = 30.0


def upstream(name, software, service="chat"):
    return registry.Upstream(
        registry.Entry(name, service, "10.0.0.1:80", "a", 8, False, 1, {}, software)
    )


def test_version_whose_last_upstream_left_counts_until_its_streams_are_over():
    versions = software_versions.SoftwareVersions(TTL_SECONDS)
    versions.observe([upstream("i-1", "v1"), upstream("i-2", "v2")], 0.0)
    assert versions.mixed_services == {"chat"}
    versions.observe([upstream("i-2", "v2")], TTL_SECONDS)
    assert versions.of_service("chat") == {"v1", "v2"}
    versions.observe([upstream("i-2", "v2")], TTL_SECONDS + 0.1)
    assert versions.of_service("chat") == {"v2"}
    assert versions.mixed_services == set()


def test_versions_of_different_services_are_not_mixed():
    versions = software_versions.SoftwareVersions(TTL_SECONDS)
    versions.observe([upstream("i-1", "v1"), upstream("i-2", "v2", "search")], 0.0)
    assert versions.mixed_services == set()


def test_upstream_that_changes_its_version_under_the_same_name_makes_its_service_mixed():
    versions = software_versions.SoftwareVersions(TTL_SECONDS)
    versions.observe([upstream("i-1", "v1")], 0.0)
    versions.observe([upstream("i-1", "v2")], 1.0)
    assert versions.mixed_services == {"chat"}


def chat(*names):
    return software_versions.Record(1, {"chat": frozenset(names)})


@pytest.fixture
def starting():
    """Versions of a VM that has just started and awaits the record."""
    versions = software_versions.SoftwareVersions(TTL_SECONDS)
    versions.await_record()
    return versions


def test_versions_are_incomplete_until_the_record_has_been_read(starting):
    starting.observe([upstream("i-1", "v2")], 0.0)
    assert starting.awaits_record and not starting.is_complete(1000.0)
    starting.restore(chat("v1"), True, 5.0)
    assert not starting.awaits_record and starting.is_complete(5.0)
    assert starting.of_service("chat") == {"v1", "v2"}
    assert starting.mixed_services == {"chat"}


def test_recorded_version_without_an_upstream_is_forgotten(starting):
    starting.restore(chat("v1"), True, 0.0)
    starting.observe([upstream("i-1", "v2")], TTL_SECONDS)
    assert starting.of_service("chat") == {"v1", "v2"}
    starting.observe([upstream("i-1", "v2")], TTL_SECONDS + 0.1)
    assert starting.record(1) == chat("v2")


@pytest.mark.parametrize("record", [None, chat("v1")])
def test_versions_are_complete_late_where_the_record_may_lack_some(starting, record):
    starting.restore(record, False, 0.0)
    assert not starting.is_complete(TTL_SECONDS - 0.1)
    assert starting.is_complete(TTL_SECONDS)


def test_only_what_a_later_record_adds_counts_anew(starting):
    starting.restore(chat("v1"), True, 0.0)
    starting.restore(chat("v1", "v2"), True, 20.0)
    starting.observe([], TTL_SECONDS + 0.1)
    assert starting.of_service("chat") == {"v2"}


def test_later_record_does_not_make_versions_incomplete(starting):
    starting.restore(chat("v1"), True, 0.0)
    starting.restore(None, False, 1.0)
    assert starting.is_complete(1.0)


def test_services_without_recent_versions_are_not_recorded():
    versions = software_versions.SoftwareVersions(TTL_SECONDS)
    versions.observe([upstream("i-1", "v1")], 0.0)
    versions.observe([], TTL_SECONDS + 0.1)
    assert versions.record(3) == software_versions.Record(3, {})


def test_version_is_withheld_until_it_is_recorded_where_a_recorded_one_serves(starting):
    starting.restore(chat("v1"), True, 0.0)
    starting.observe([upstream("i-1", "v1"), upstream("i-2", "v2")], 1.0)
    assert starting.unrecorded_since == 1.0
    assert starting.withheld("chat", {"v1", "v2"}, 1000.0) == {"v2"}
    starting.restore(chat("v1", "v2"), True, 1001.0)
    settled_at = 1001.0 + software_versions.SETTLE_SECONDS
    assert starting.withheld("chat", {"v1", "v2"}, settled_at - 0.01) == {"v2"}
    assert starting.withheld("chat", {"v1", "v2"}, settled_at) == frozenset()
    assert starting.unrecorded_since == math.inf


@pytest.mark.parametrize("recorded", [chat("v1"), software_versions.Record(1, {})])
def test_version_that_serves_alone_is_withheld_for_a_bounded_time(starting, recorded):
    starting.restore(recorded, True, 0.0)
    starting.observe([upstream("i-2", "v2")], 1.0)
    until = 1.0 + software_versions.MAX_UNRECORDED_SECONDS
    assert starting.withheld("chat", {"v2"}, until - 0.01) == {"v2"}
    assert starting.withheld("chat", {"v2"}, until) == frozenset()


@pytest.mark.parametrize(("record", "complete"), [(None, True), (None, False), (chat("v1"), False)])
def test_no_version_waits_for_a_record_that_a_starting_vm_would_not_believe(
    starting, record, complete
):
    starting.restore(record, complete, 0.0)
    starting.observe([upstream("i-1", "v1"), upstream("i-2", "v2")], 1.0)
    settled_at = 1.0 + software_versions.SETTLE_SECONDS
    assert "v2" in starting.withheld("chat", {"v1", "v2"}, settled_at - 0.01)
    assert starting.withheld("chat", {"v1", "v2"}, settled_at) == frozenset()


def test_only_version_of_a_service_begins_streams_as_soon_as_it_is_recorded(starting):
    starting.restore(software_versions.Record(1, {}), True, 0.0)
    starting.observe([upstream("i-1", "v1")], 1.0)
    starting.restore(chat("v1"), True, 1.1)
    assert starting.withheld("chat", {"v1"}, 1.1) == frozenset()


def test_versions_of_a_mixed_service_wait_for_a_bounded_time_at_a_vm_that_starts(starting):
    starting.restore(chat("v1", "v2"), True, 5.0)
    starting.observe([upstream("i-1", "v1"), upstream("i-2", "v2")], 5.0)
    settled_at = 5.0 + software_versions.SETTLE_SECONDS
    assert starting.withheld("chat", {"v1", "v2"}, settled_at - 0.01) == {"v1", "v2"}
    assert starting.withheld("chat", {"v1", "v2"}, settled_at) == frozenset()


def test_version_that_replaced_all_others_waits_until_it_is_settled(starting):
    starting.restore(chat("v1"), True, 0.0)
    starting.observe([upstream("i-2", "v2")], 1.0)
    starting.restore(chat("v1", "v2"), True, 1.1)
    settled_at = 1.1 + software_versions.SETTLE_SECONDS
    assert starting.withheld("chat", {"v2"}, settled_at - 0.01) == {"v2"}
    assert starting.withheld("chat", {"v2"}, settled_at) == frozenset()


def test_old_knowledge_does_not_show_that_there_is_no_other_version(starting):
    starting.restore(chat("v1"), True, 0.0)
    bound = software_versions.MAX_KNOWLEDGE_AGE_SECONDS
    assert starting.recent("chat", bound, 0.0) == {"v1"}
    assert starting.recent("chat", bound + 0.01, 0.0) is None
    assert starting.recent("chat", math.inf, 0.0) is None


def test_no_stream_begins_at_a_version_that_usable_knowledge_may_lack():
    bound = software_versions.MAX_KNOWLEDGE_AGE_SECONDS
    assert bound < software_versions.SETTLE_SECONDS <= software_versions.MAX_UNRECORDED_SECONDS


def test_versions_in_doubt_are_complete_once_a_record_names_all(starting):
    starting.restore(None, False, 0.0)
    starting.restore(chat("v1"), False, 1.0)
    assert not starting.is_complete(2.0)
    starting.restore(chat("v1", "v2"), True, 3.0)
    assert starting.is_complete(3.0)
    assert starting.of_service("chat") == {"v1", "v2"}


@pytest.mark.parametrize(
    ("age", "seconds"),
    [(0.5, software_versions.REGISTRATION_SECONDS), (0.8, TTL_SECONDS), (math.inf, TTL_SECONDS)],
)
def test_versions_are_incomplete_after_the_store_has_returned_from_an_older_copy(
    starting, age, seconds
):
    starting.mark_incomplete(age, 0.0)
    assert starting.awaits_record
    starting.restore(chat("v1"), True, 1.0)
    starting.mark_incomplete(age, 10.0)
    assert not starting.is_complete(10.0 + seconds - 0.01)
    assert starting.is_complete(10.0 + seconds)
    starting.restore(chat("v1", "v2"), True, 10.5)
    assert starting.is_complete(10.5)


def test_version_listed_before_the_record_that_names_another_waits_until_it_is_settled(starting):
    starting.observe([upstream("i-2", "v2")], 0.9)
    starting.restore(chat("v1", "v2"), True, 1.0)
    settled_at = 1.0 + software_versions.SETTLE_SECONDS
    assert starting.withheld("chat", {"v2"}, settled_at - 0.01) == {"v2"}
    assert starting.withheld("chat", {"v2"}, settled_at) == frozenset()


@pytest.mark.parametrize("in_doubt", [False, True])
def test_only_version_at_a_vm_that_may_lack_others_waits_until_it_is_settled(starting, in_doubt):
    if in_doubt:
        starting.restore(None, False, 0.0)
    starting.observe([upstream("i-1", "v1")], 1.0)
    settled_at = 1.0 + software_versions.SETTLE_SECONDS
    assert starting.withheld("chat", {"v1"}, settled_at - 0.01) == {"v1"}
    assert starting.withheld("chat", {"v1"}, settled_at) == frozenset()


def test_only_version_that_the_record_confirms_does_not_wait_any_more(starting):
    starting.observe([upstream("i-1", "v1")], 1.0)
    starting.restore(chat("v1"), True, 1.1)
    assert starting.withheld("chat", {"v1"}, 1.1) == frozenset()
