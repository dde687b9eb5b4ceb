import click.testing
import pytest

from hollyring.experiments import limits, limits_simulation


@pytest.mark.parametrize("seed", [0, 3, 4, 9, 15])
def test_admissions_do_not_exceed_the_bound_under_faults(seed):
    report = limits.run(seed, vms=9, steps=1500)
    assert report.excess and report.bound_holds
    assert report.admitted > 100


def test_same_seed_gives_the_same_report():
    assert limits.run(3, 4, 500) == limits.run(3, 4, 500)


def test_excess_within_a_window_in_the_middle_is_found():
    checker = limits_simulation.BoundChecker()
    checker.record_max_limit(0.0, 10.0, 50.0)
    for at, tokens in [(1.0, 5), (5.0, 30), (5.5, 20), (5.6, 7), (90.0, 1)]:
        checker.admissions[f"r{at}"] = limits_simulation.Admission(at, tokens)
    assert checker.excess() == pytest.approx(1.0)


def test_lower_burst_applies_only_after_the_loans_expire():
    checker = limits_simulation.BoundChecker()
    checker.record_max_limit(0.0, 10.0, 100.0)
    checker.record_max_limit(10.0, 10.0, 20.0)
    checker.admissions["early"] = limits_simulation.Admission(10.2, 90)
    assert checker.excess() == 0.0
    checker.admissions["early"].at = 12.0
    assert checker.excess() == pytest.approx(70.0)


def test_command_prints_the_report_as_json():
    result = click.testing.CliRunner().invoke(
        limits.command, ["--seed", "2", "--vms", "3", "--steps", "200", "--json"]
    )
    assert result.exit_code == 0
    assert '"seed": 2' in result.output
