"""Costs of a rollout on the VM that holds the lease, by number of upstreams."""

from __future__ import annotations

import dataclasses
import statistics
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from hollyring.core import invariants
from hollyring.fleet import messages, rollout, rollout_limits, targets

SIZES = (6, 60, 300, 1500)
REPETITIONS = 50
MODELS = ("m0", "m1", "m2", "m3")


@dataclasses.dataclass(slots=True)
class Cost:
    """Costs with one number of upstreams; times are medians.

    Parameters
    ----------
    upstreams
        Number of upstreams.
    steady_step_us, rollout_step_us
        Time of a step in microseconds when all targets are served, and during a rollout.
    observe_us, heard_us
        Time of recording a reported state, and of confirming an unchanged one, in microseconds.
    bytes_per_upstream
        Memory of the rollout's state per upstream.
    """

    upstreams: int
    steady_step_us: float
    rollout_step_us: float
    observe_us: float
    heard_us: float
    bytes_per_upstream: float


@dataclasses.dataclass(slots=True)
class Scaling:
    """Costs by number of upstreams and message sizes.

    Parameters
    ----------
    costs
        Costs by number of upstreams.
    steady_step_us_per_upstream, rollout_step_us_per_upstream
        Least-squares slopes of the times of a step, in microseconds per upstream.
    state_bytes, order_bytes
        Sizes of a reported state and of the body of an order, encoded as JSON.
    """

    costs: list[Cost]
    steady_step_us_per_upstream: float
    rollout_step_us_per_upstream: float
    state_bytes: int
    order_bytes: int


def measure() -> Scaling:
    """Measure the costs of each size in `SIZES`."""
    costs = [_cost(size) for size in SIZES]
    state = _state(0, "v1")
    order = messages.Order("7:e1:load_model:m0:v2", 7, "e1", messages.LoadModel("m0", "v2"), 0.0)
    return Scaling(
        costs,
        _slope([(cost.upstreams, cost.steady_step_us) for cost in costs]),
        _slope([(cost.upstreams, cost.rollout_step_us) for cost in costs]),
        len(msgspec.json.encode(state)),
        len(msgspec.json.encode(order.body)),
    )


def _slope(points: list[tuple[int, float]]) -> float:
    xs, ys = [float(x) for x, _ in points], [y for _, y in points]
    return round(statistics.linear_regression(xs, ys).slope, 3) + 0.0


def _model(number: int) -> str:
    return MODELS[number % len(MODELS)]


def _state(number: int, version: str, at: float = 0.0) -> messages.UpstreamState:
    served = [messages.ModelVersion(_model(number), version)]
    return messages.UpstreamState(f"e{number}", 1, served, ["a1"], "both", False, at)


def _controller(size: int, version: str) -> tuple[rollout.Rollout, float]:
    limits = rollout_limits.RolloutLimits(weights_concurrency=3)
    controller = rollout.Rollout(limits, invariants.Invariants())
    controller.set_targets(
        targets.Target(f"e{n}", 1, (messages.ModelVersion(_model(n), version),), ("a1",))
        for n in range(size)
    )
    controller.acquire_lease(1, 0.0)
    now = limits.lease_seconds + limits.delivery_timeout_seconds + limits.weights_seconds
    for number in range(size):
        controller.observe(_state(number, "v1"), now)
    return controller, now


def _cost(size: int) -> Cost:
    tracemalloc.start()
    steady, now = _controller(size, "v1")
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    steady_us = _median_us(lambda: steady.step(10.0, now))
    rolling, now = _controller(size, "v2")
    rolling_us = _median_us(lambda: rolling.step(10.0, now))
    states = iter([_state(n % size, "v1", float(n)) for n in range(REPETITIONS)])
    observe_us = _median_us(lambda: steady.observe(next(states), now))
    confirm_us = _median_us(lambda: steady.confirm_state("e1", now))
    costs = (steady_us, rolling_us, observe_us, confirm_us, used_bytes / size)
    return Cost(size, *(round(cost, 2) for cost in costs))


def _median_us(call: Callable[[], object]) -> float:
    durations = []
    for _ in range(REPETITIONS):
        start = time.perf_counter_ns()
        call()
        durations.append((time.perf_counter_ns() - start) / 1000)
    return statistics.median(durations)
