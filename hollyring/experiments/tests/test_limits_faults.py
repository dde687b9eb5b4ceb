import pytest

from hollyring.experiments import limits_faults, limits_scaling
from hollyring.limits import messages

MAX_MESSAGE_BYTES = 40


@pytest.mark.parametrize(
    ("fault", "spread"),
    [("none", "one"), ("moves every second", "one"), ("holder dies, store out", "all")],
)
def test_no_request_within_the_rate_is_refused(fault, spread):
    row = limits_faults.measure(fault, spread, load=0.8, seeds=1)
    assert row.offered > 500
    assert (row.wrongly_refused, row.unanswered, row.excess) == (0, 0, 0.0)


def test_messages_do_not_exceed_the_size_limit():
    ask = messages.Ask("organisation-1234", 10_000, 1_000_000, 30_000)
    returned = messages.Return("organisation-1234", 10_000, 1_000_000, 30_000, True)
    grant = messages.Grant(10_000, 1_000_000, 30_000, 30_000)
    assert max(limits_scaling.encoded_size(m) for m in (ask, returned, grant)) <= MAX_MESSAGE_BYTES


def test_measured_cost_includes_messages_and_state():
    cost = limits_scaling.measure(vms=12, organisations=5)
    assert cost.offered > 500
    assert cost.messages_sent_per_second > 0
    assert cost.state_bytes > 1000


def test_organisation_sending_five_times_its_rate_does_not_exceed_the_bound():
    row = limits_faults.measure("none", "one", load=5.0, seeds=1)
    assert (row.excess, row.unanswered) == (0.0, 0)
    assert row.offered > 2 * row.admitted
