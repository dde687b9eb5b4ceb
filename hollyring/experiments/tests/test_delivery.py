import pathlib

import msgspec
import pytest
from click import testing
from hypothesis import settings, stateful, strategies

from hollyring.delivery import refusal
from hollyring.experiments import delivery, delivery_cost, delivery_simulation

ORDER = delivery_simulation.Attempt(b"k" * 16, b"order")
OTHER = delivery_simulation.Attempt(b"k" * 16, b"other")


@pytest.mark.parametrize(
    "attempts, faults, max_head_records",
    [
        ([ORDER], 2, 256),
        ([ORDER], 2, 0),
        ([ORDER, ORDER], 1, 256),
        ([ORDER, OTHER], 1, 256),
        ([ORDER, OTHER, ORDER], 0, 256),
    ],
)
def test_no_order_of_messages_and_faults_violates_an_invariant(attempts, faults, max_head_records):
    explored = delivery.explore(attempts, faults=faults, max_head_records=max_head_records)
    assert explored.ends > 0
    assert explored.unanswered == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_runs_violate_no_invariant(seed):
    simulation = delivery.run(seed, vms=9, steps=3_000)
    assert simulation.executions > 10
    assert simulation.outcomes["answer"] > 10


def test_cost_command_writes_plausible_measurements(tmp_path):
    out = tmp_path / "cost.json"
    arguments = ["--claims", "600", "--out", str(out)]
    result = testing.CliRunner().invoke(delivery_cost.delivery_cost, arguments)
    assert result.exit_code == 0, result.output
    (log,) = msgspec.json.decode(out.read_bytes())["logs"]
    assert log["writes"] >= log["claims"] and log["largest_value_bytes"] < 1_000_000


def test_operators_page_lists_every_refusal():
    page = pathlib.Path(__file__).parents[3] / "docs" / "operators" / "delivery.md"
    lines = [line.split("|") for line in page.read_text().splitlines() if line.startswith("| `")]
    listed = {cells[1].strip(): cells[2:4] for cells in lines if len(cells) == 7}
    assert listed == {
        f"`{kind.code}`": [f" {kind.status} ", f" `{kind.execution}` "]
        for kind in refusal.KINDS.values()
    }


def test_command_prints_json():
    result = testing.CliRunner().invoke(delivery.delivery, ["--steps", "500", "--json"])
    assert result.exit_code == 0, result.output
    assert msgspec.json.decode(result.output)["promises"]["at_most_once"]["violations"] == 0


class ClaimStateMachine(stateful.RuleBasedStateMachine):
    """Hypothesis chooses attempts, deliveries and faults; the simulation checks after each."""

    def __init__(self):
        super().__init__()
        self.simulation = delivery_simulation.Simulation(vms=3, max_head_records=2)
        self.begun = 0

    @stateful.rule(
        vm=strategies.integers(0, 2), key=strategies.integers(0, 2), other=strategies.booleans()
    )
    def begin(self, vm, key, other):
        attempt = delivery_simulation.Attempt(bytes([key]) * 16, b"other" if other else b"order")
        self.simulation.begin(self.begun, attempt, vm)
        self.begun += 1

    @stateful.rule(picks=strategies.lists(strategies.integers(0, 1000), min_size=1, max_size=8))
    def perform_steps(self, picks):
        for pick in picks:
            steps = self.simulation.steps()
            if steps:
                self.simulation.apply(steps[pick % len(steps)])

    @stateful.rule(pick=strategies.integers(0, 1000))
    def inject_fault(self, pick):
        faults = self.simulation.faults()
        self.simulation.apply(faults[pick % len(faults)])


ClaimStateMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestClaims = ClaimStateMachine.TestCase
