import click.testing
import msgspec
import pytest

from hollyring.configuration import replica, submission
from hollyring.core import invariants
from hollyring.experiments import configuration

INVARIANTS = {
    "accepted_change_is_in_force_in_time",
    "change_is_applied",
    "configuration_goes_forward",
    "connected_vm_admits",
    "content_is_what_is_held",
    "key_table_is_what_is_held",
    "old_word_admits_nothing",
    "lost_submission_changed_nothing",
    "one_submission_per_revision",
    "restarted_vm_is_configured_in_time",
    "restarted_vm_takes_the_highest",
    "revision_goes_forward",
    "same_revision_same_configuration",
    "silent_vm_admits_nothing",
    "store_gets_back_what_it_lost",
}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_invariants_hold_through_random_faults(seed):
    report = configuration.run(seed, vms=9, steps=20_000)
    assert {name for name, entry in report.checks.items() if entry["checks"]} == INVARIANTS
    assert report.outcomes.accepted > 10
    assert len(report.faults) > 4


def test_same_seed_gives_the_same_run():
    assert configuration.run(5, 5, 3_000) == configuration.run(5, 5, 3_000)


def first_violation(seeds):
    for seed in range(seeds):
        try:
            configuration.run(seed, vms=9, steps=10_000)
        except invariants.InvariantError as error:
            return str(error).partition(":")[0]
    return None


def test_run_detects_a_vm_that_admits_without_contact(monkeypatch):
    monkeypatch.setattr(replica, "SILENCE_TIMEOUT_SECONDS", 60.0)
    assert first_violation(10) == "silent_vm_admits_nothing"


def test_run_detects_a_resumed_vm_that_admits_on_buffered_messages(monkeypatch):
    monkeypatch.setattr(replica, "PAUSE_THRESHOLD_SECONDS", 1e9)
    assert first_violation(10) == "old_word_admits_nothing"


def test_run_detects_a_submitter_that_accepts_any_value_as_its_own(monkeypatch):
    def decide(self, value):
        return submission.Accepted(self._revision)

    monkeypatch.setattr(submission.Submission, "_decide", decide)
    assert first_violation(10) == "one_submission_per_revision"


def test_run_detects_vms_that_never_fetch_from_peers(monkeypatch):
    monkeypatch.setattr(replica.Replica, "_fetch_from", lambda self, peer, target_revision, now: [])
    assert first_violation(10) in {
        "accepted_change_is_in_force_in_time",
        "connected_vm_admits",
        "restarted_vm_is_configured_in_time",
    }


def test_command_prints_one_json_report_per_run():
    arguments = ["--seeds", "2", "--vms", "3", "--steps", "500", "--json"]
    result = click.testing.CliRunner().invoke(configuration.configuration, arguments)
    reports = [msgspec.json.decode(line) for line in result.output.splitlines()]
    assert [report["seed"] for report in reports] == [1, 2]
