import json

import pytest
from click import testing

from hollyring.experiments import (
    routing,
    routing_report,
    routing_simulation,
    routing_sweep,
    routing_variants,
    routing_workload,
)
from hollyring.routing import policies


@pytest.fixture
def simulate():
    def build(policy, seed=1, workload="bohari", **fields):
        settings = routing_simulation.Settings(rate=4.0, seconds=40.0, crash_at=30.0, **fields)
        traffic = routing_workload.WORKLOADS[workload]
        return routing_simulation.Simulation(policy, traffic, settings, seed).run()

    return build


@pytest.fixture
def summary():
    tally = routing_report.Tally()
    tally.add("bohari-1", 0.5, 1000, 800, 100)
    return tally.summary()


@pytest.mark.parametrize("policy", policies.BY_NAME.values(), ids=policies.BY_NAME)
def test_each_request_is_answered_exactly_once(simulate, policy):
    tally = simulate(policy)
    arrivals = list(routing_workload.arrivals(routing_workload.BOHARI, 4.0, 40.0, 1))
    answered = sum(len(each) for each in tally.first_token_seconds.values())
    assert answered + tally.refused == len(arrivals)
    assert tally.refused == 0


def test_same_seed_gives_the_same_summary(simulate):
    assert simulate(policies.Prefix()).summary() == simulate(policies.Prefix()).summary()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_prefix_recomputes_at_most_a_quarter_of_least_loaded(simulate, seed):
    prefix = simulate(policies.Prefix(), seed).summary()
    least_loaded = simulate(policies.LeastLoaded(), seed).summary()
    assert prefix.wasted_tokens <= least_loaded.wasted_tokens / 4
    assert prefix.p99 <= least_loaded.p99


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hit_rate_is_within_three_points_of_a_perfect_index(simulate, seed):
    actual = simulate(policies.Prefix(), seed).summary()
    perfect = simulate(policies.Prefix(), seed, perfect_index=True).summary()
    assert actual.hit_rate >= perfect.hit_rate - 0.03


def test_reference_cache_keeps_blocks_for_the_idle_time():
    reference = routing.ReferenceCache(idle_seconds=10.0)
    reference.store((1, 2, 3), 0.0)
    reference.store((1, 2), 8.0)
    assert reference.cached_blocks((1, 2, 3, 4), 9.0) == 3
    assert reference.cached_blocks((1, 2, 3), 12.0) == 2
    assert reference.cached_blocks((9, 1), 9.0) == 0


def test_error_names_the_unknown_policy():
    result = testing.CliRunner().invoke(routing.routing, ["--policies", "prefix,best"])
    assert result.exit_code == 2
    assert "unknown: best" in result.output


def test_sweep_writes_json_table_and_plot(tmp_path, summary):
    points = [routing_sweep.Point("prefix", load, summary) for load in routing_sweep.LOADS]
    routing_sweep.write(points, {"seed": 1}, tmp_path)
    assert len(json.loads((tmp_path / "routing-sweep.json").read_text())["points"]) == 4
    assert (tmp_path / "routing-sweep.md").read_text().count("| prefix | 1 | 0.800 |") == 4
    assert "<svg" in (tmp_path / "routing-sweep.svg").read_text()


def test_table_has_a_row_for_each_variant():
    arguments = ["--workload", "hot", "--rate", "0.2", "--seeds", "1"]
    result = testing.CliRunner().invoke(routing_variants.routing_variants, arguments)
    assert result.output.count("\n| hot |") == len(routing_variants.VARIANTS)
