import pytest

from hollyring.experiments import limits_faults, limits_scaling
from hollyring.limits import messages

MESSAGE_BYTES = 40


@pytest.mark.parametrize(
    ("fault", "spread"),
    [("none", "one"), ("moves every second", "one"), ("holder dies, store out", "all")],
)
def test_no_request_inside_the_rate_is_refused(fault, spread):
    row = limits_faults.measure(fault, spread, load=0.8, seeds=1)
    assert row.offered > 500
    assert (row.wrongly_refused, row.unanswered, row.excess) == (0, 0, 0.0)


def test_messages_are_small():
    ask = messages.Ask("organisation-1234", 10_000, 1_000_000, 30_000)
    back = messages.Return("organisation-1234", 10_000, 1_000_000, 30_000, True)
    grant = messages.Grant(10_000, 1_000_000, 30_000, 30_000)
    assert max(limits_scaling.encoded_size(m) for m in (ask, back, grant)) <= MESSAGE_BYTES


def test_slope_counts_what_a_vm_sends():
    cost = limits_scaling.measure(vms=12, organisations=5)
    assert cost.offered > 500
    assert cost.messages_sent_per_second > 0
    assert cost.state_bytes > 1000


def test_organisations_that_send_five_times_their_rate_stay_within_it():
    row = limits_faults.measure("none", "one", load=5.0, seeds=1)
    assert (row.excess, row.unanswered) == (0.0, 0)
    assert row.offered > 2 * row.admitted
