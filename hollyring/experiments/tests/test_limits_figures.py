import click.testing
import pytest

from hollyring.experiments import limits_figures, limits_overload, limits_slopes
from hollyring.limits import messages

MESSAGE_BYTES = 40


@pytest.mark.parametrize(
    ("fault", "spread"),
    [("none", "one"), ("moves every second", "one"), ("holder dies, store out", "all")],
)
def test_no_request_inside_the_rate_is_refused(fault, spread):
    row = limits_figures.measure(fault, spread, load=0.8, seeds=1)
    assert row.offered > 500
    assert (row.wrongly_refused, row.unanswered, row.excess) == (0, 0, 0.0)


def test_messages_are_small():
    ask = messages.Ask("organisation-1234", 10_000, 1_000_000, 30_000)
    back = messages.Return("organisation-1234", 10_000, 1_000_000, 30_000, True)
    grant = messages.Grant(10_000, 1_000_000, 30_000, 30_000)
    assert max(limits_slopes.encoded_size(m) for m in (ask, back, grant)) <= MESSAGE_BYTES


def test_slope_counts_what_a_vm_sends():
    slope = limits_slopes.measure(vms=12, organisations=5)
    assert slope.offered > 500
    assert slope.messages_sent_per_second > 0
    assert slope.state_bytes > 1000


def test_greedy_organisation_stays_within_its_rate(monkeypatch):
    monkeypatch.setattr(limits_overload, "RUN_SECONDS", 15.0)
    outcome = limits_overload.measure(load=5.0)
    assert outcome.excess == 0.0
    assert outcome.greedy_refused > outcome.greedy_admitted


def test_overload_command_prints_both_runs(monkeypatch):
    monkeypatch.setattr(limits_overload, "RUN_SECONDS", 3.0)
    answer = click.testing.CliRunner().invoke(limits_overload.command, [])
    assert answer.output.count("p95_ms") == 2
