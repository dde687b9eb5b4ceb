import click.testing
import pytest

from hollyring.experiments import limits, limits_simulation


@pytest.mark.parametrize("seed", [0, 3, 4, 9, 15])
def test_bound_holds(seed):
    report = limits.run(seed, vms=9, steps=1500)
    assert report.excess and report.bound_holds
    assert report.admitted > 100


def test_run_repeats_from_its_seed():
    assert limits.run(3, 4, 500) == limits.run(3, 4, 500)


def test_judge_sees_a_window_in_the_middle():
    checker = limits_simulation.BoundChecker()
    checker.record_max_limit(0.0, 10.0, 50.0)
    for at, tokens in [(1.0, 5), (5.0, 30), (5.5, 20), (5.6, 7), (90.0, 1)]:
        checker.admissions[f"r{at}"] = limits_simulation.Admission(at, tokens)
    assert checker.excess() == pytest.approx(1.0)


def test_judge_lets_a_lowered_burst_bind_after_the_loans_lapse():
    checker = limits_simulation.BoundChecker()
    checker.record_max_limit(0.0, 10.0, 100.0)
    checker.record_max_limit(10.0, 10.0, 20.0)
    checker.admissions["early"] = limits_simulation.Admission(10.2, 90)
    assert checker.excess() == 0.0
    checker.admissions["early"].at = 12.0
    assert checker.excess() == pytest.approx(70.0)


def test_command_prints_json():
    answer = click.testing.CliRunner().invoke(
        limits.command, ["--seed", "2", "--vms", "3", "--steps", "200", "--json"]
    )
    assert answer.exit_code == 0
    assert '"seed": 2' in answer.output
