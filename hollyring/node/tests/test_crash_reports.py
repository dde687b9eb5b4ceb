"""What one VM concludes from the crashes that it sees."""

import types

import pytest

from hollyring.core import request_types
from hollyring.node import clock, crash_reports
from hollyring.routing import crashes, registry


@pytest.fixture
def now(monkeypatch):
    """Return a list whose only item is the time."""
    time = [100.0]
    monkeypatch.setattr(clock, "now", lambda: time[0])
    return time


def prompt(*names):
    return request_types.Prompt("m", tuple(request_types.Part(n, 10) for n in names), 10, 5)


def crash(reports, number, broken):
    entry = registry.Entry(f"ls-{number}", "s", f"h:{number}", "a", 8, False, 1, {})
    reports.record_broken(registry.Upstream(entry), crashes.part_hashes(broken), 0)
    for pending in reports.pending():
        reports.resolve(pending, crashed=True)


def test_vm_that_starts_anew_blames_a_part_after_three_more_crashes(now):
    for vm in ("vm-1", "vm-1 after the loss of all VMs"):
        reports = crash_reports.CrashReports(vm)
        assert reports.blame_of(crashes.part_hashes(prompt("bad", "x"))) is None
        for number in range(3):
            crash(reports, number, prompt("bad", f"own-{number}"))
        now[0] += crashes.SETTLE_SECONDS
        reports.tick(now[0])
        assert reports.blame_of(crashes.part_hashes(prompt("bad", "x"))) is not None


def test_blames_are_forgotten_when_servers_crash_whatever_they_answer(now):
    reports = crash_reports.CrashReports("vm-1")
    reports.record_whole(crashes.part_hashes(prompt("a", "own")))
    now[0] += 5.0
    for number in range(3):
        crash(reports, number, prompt("a", "own"))
    now[0] += crashes.SETTLE_SECONDS
    reports.tick(now[0])
    assert reports.blame_of(crashes.part_hashes(prompt("a", "x"))) is not None
    for _ in range(crash_reports.FUTILE_REFUSALS):
        reports.blame_of(crashes.part_hashes(prompt("a", "x")))
    now[0] += crash_reports.FUTILE_SECONDS
    blamed = reports.blamed_parts()
    reports.tick(now[0])
    reports.adopt("vm-2", blamed, now[0])
    assert reports.blame_of(crashes.part_hashes(prompt("a", "x"))) is None


def test_blame_stays_while_other_answers_end_whole(now):
    reports = crash_reports.CrashReports("vm-1")
    for number in range(3):
        crash(reports, number, prompt("bad", "own"))
    now[0] += crashes.SETTLE_SECONDS
    reports.tick(now[0])
    for _ in range(100):
        now[0] += 0.5
        assert reports.blame_of(crashes.part_hashes(prompt("bad", "x"))) is not None
        reports.record_whole(crashes.part_hashes(prompt("good", "own")))
        reports.tick(now[0])


def test_blame_ends_although_the_vms_tell_each_other_of_it_at_different_times(now):
    first, second = crash_reports.CrashReports("vm-1"), crash_reports.CrashReports("vm-2")
    request = ("r-bad",)
    for number in range(3):
        entry = registry.Entry(f"s-{number}", "s", f"h:{number}", "a", 8, False, 1, {})
        first.record_broken(registry.Upstream(entry), request, 0)
        for pending in first.pending():
            first.resolve(pending, crashed=True)
    now[0] += crashes.SETTLE_SECONDS + 0.1
    first.tick(now[0])
    end = now[0] + crashes.BLAME_SECONDS
    now[0] += 0.9
    second.adopt("vm-1", first.take_blamed_parts(repeat=True), now[0])
    assert second.blame_of(request) is not None
    now[0] = end + 0.2
    first.tick(now[0])
    first.adopt("vm-2", second.take_blamed_parts(repeat=True), now[0])
    second.adopt("vm-1", first.take_blamed_parts(repeat=True), now[0])
    now[0] = end + 1.0
    assert first.blame_of(request) is None
    assert second.blame_of(request) is None


def test_vm_tells_the_others_which_requests_at_a_crash_it_had_seen_answered_before(now):
    answered, bad = (crashes.request_hash("/a", "o", body) for body in (b"answered", b"bad"))
    first, second = crash_reports.CrashReports("vm-1"), crash_reports.CrashReports("vm-2")
    first.record_whole([answered])
    now[0] += crashes.SOUND_SECONDS + 1.0
    for number in range(3):
        entry = registry.Entry(f"ls-{number}", "s", f"h:{number}", "a", 8, False, 1, {})
        second.record_broken(registry.Upstream(entry), [answered, bad], 0)
    for pending in second.pending():
        second.resolve(pending, crashed=True)
    first.receive("vm-2", message_of(second, now[0]), now[0])
    second.receive("vm-1", message_of(first, now[0]), now[0])
    now[0] += crashes.SETTLE_SECONDS
    for reports in (first, second):
        reports.tick(now[0])
        assert reports.blame_of([bad]) is not None
        assert reports.blame_of([answered]) is None


def message_of(reports, now):
    return types.SimpleNamespace(
        crashes=reports.take_crashes(now, False),
        sound_parts=reports.take_sound_parts(),
        answered_requests=reports.take_answered_requests(),
        blamed_parts=reports.take_blamed_parts(False),
    )


@pytest.mark.parametrize("cut_seconds", [1.0, crash_reports.REPEAT_SECONDS + 1.0, 60.0])
@pytest.mark.parametrize("answers_at_other", [True, False])
def test_blame_of_a_vm_that_was_cut_off_ends_once_another_one_answers_such_requests(
    now, cut_seconds, answers_at_other
):
    cut_off, other = crash_reports.CrashReports("vm-1"), crash_reports.CrashReports("vm-2")
    for number in range(3):
        crash(cut_off, number, prompt("shared", f"own-{number}"))
    now[0] += crashes.SETTLE_SECONDS
    cut_off.tick(now[0])
    assert cut_off.blame_of(crashes.part_hashes(prompt("shared", "x"))) is not None
    now[0] += cut_seconds
    if answers_at_other:
        other.record_whole(crashes.part_hashes(prompt("shared", "own")))
    other.adopt("vm-1", cut_off.take_blamed_parts(repeat=True), now[0])
    cut_off.receive("vm-2", sound_parts_message(other), now[0])
    for reports in (cut_off, other):
        blame = reports.blame_of(crashes.part_hashes(prompt("shared", "x")))
        assert (blame is None) == answers_at_other


def sound_parts_message(reports):
    """Return what a heartbeat says of parts that are sound."""
    return types.SimpleNamespace(
        sound_parts=reports.take_sound_parts(), answered_requests=[], crashes=[], blamed_parts=[]
    )
