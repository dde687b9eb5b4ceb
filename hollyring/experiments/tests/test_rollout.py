import json

import click.testing
import pytest

from hollyring.experiments import rollout
from hollyring.fleet import rollout as rollouts

ARGUMENTS = ["--seed", "3", "--upstreams", "6", "--steps", "400", "--json"]


@pytest.fixture
def invoke():
    return lambda: click.testing.CliRunner().invoke(rollout.rollout, ARGUMENTS)


def test_same_seed_prints_the_same_json_report(invoke):
    first, second = invoke(), invoke()
    assert first.exit_code == 0
    assert first.output == second.output
    report = json.loads(first.output)
    assert (report["violations"], report["converged"]) == (0, True)
    assert report["invariants"]["true_weights_paced"]["checks"] > 400


def test_violated_invariant_gives_exit_status_1(invoke, monkeypatch):
    monkeypatch.setattr(rollouts.Rollout, "_may_load", lambda *_: True)
    result = invoke()
    assert result.exit_code == 1
    assert json.loads(result.output)["violations"] > 0


def test_fleet_that_does_not_converge_gives_exit_status_1(invoke, monkeypatch):
    monkeypatch.setattr(rollouts.Rollout, "step", lambda *_: [])
    result = invoke()
    assert result.exit_code == 1
    assert not json.loads(result.output)["converged"]
