import pytest

from hollyring.core import invariants
from hollyring.experiments import rollout as rollout_experiment
from hollyring.experiments import rollout_simulation
from hollyring.fleet import errors, messages, rollout, rollout_limits, targets

LIMITS = rollout_limits.RolloutLimits(weights_concurrency=2, weights_seconds=15.0)
ORDERS_ALLOWED_AT = LIMITS.lease_seconds + LIMITS.delivery_timeout_seconds
LOADS_ALLOWED_AT = ORDERS_ALLOWED_AT + LIMITS.weights_seconds
V1 = messages.ModelVersion("parish", "v1")
V2 = messages.ModelVersion("parish", "v2")


def state(upstream, *models, adapters=(), role="both", leaving=False, incarnation=1, at=0.0):
    return messages.UpstreamState(
        upstream, incarnation, list(models), list(adapters), role, leaving, at
    )


def targets_of(count, *models, revision=2, **fields):
    return [targets.Target(f"e{n}", revision, models, **fields) for n in range(count)]


@pytest.fixture
def make_controller():
    """Return a function that makes a rollout that has held the lease since time 0."""

    def make(declared, states, limits=LIMITS):
        controller = rollout.Rollout(limits, invariants.Invariants())
        controller.set_targets(declared)
        controller.acquire_lease(1, 0.0)
        for reported in states:
            controller.observe(reported, LOADS_ALLOWED_AT)
        return controller

    return make


def upstreams_of(orders):
    return [order.upstream for order in orders]


def accept_orders(controller, orders, now):
    for order in orders:
        controller.record_outcome(order.upstream, order.order_id, messages.Outcome.ACCEPTED, now)


def test_new_holder_waits_for_the_end_of_the_old_lease_and_its_orders(make_controller):
    controller = make_controller(targets_of(3, V1, role="decode"), [])
    for n in range(3):
        controller.observe(
            state(f"e{n}", V1, role="prefill"), ORDERS_ALLOWED_AT + LIMITS.report_lag_seconds
        )
    assert controller.step(10.0, ORDERS_ALLOWED_AT - 0.001) == []
    orders = controller.step(10.0, ORDERS_ALLOWED_AT + LIMITS.report_lag_seconds)
    assert upstreams_of(orders) == ["e0", "e1", "e2"]


def test_state_from_before_the_previous_holders_orders_arrived_is_not_used(make_controller):
    controller = make_controller(targets_of(1, role="decode"), [])
    controller.observe(state("e0"), ORDERS_ALLOWED_AT)
    now = ORDERS_ALLOWED_AT + LIMITS.report_lag_seconds
    assert controller.step(10.0, now) == []
    controller.confirm_state("e0", now)
    assert upstreams_of(controller.step(10.0, now)) == ["e0"]


def test_new_holder_waits_for_loads_of_the_previous_holder(make_controller):
    controller = make_controller(targets_of(3, V2), [state(f"e{n}", V1) for n in range(3)])
    assert controller.step(10.0, LOADS_ALLOWED_AT - 0.001) == []
    assert upstreams_of(controller.step(10.0, LOADS_ALLOWED_AT)) == ["e0", "e1"]


def test_new_holder_does_not_wait_after_a_released_lease():
    controller = rollout.Rollout(LIMITS, invariants.Invariants())
    controller.set_targets(targets_of(1, V1, role="decode"))
    controller.acquire_lease(1, 0.0, released=True)
    now = LIMITS.delivery_timeout_seconds + LIMITS.report_lag_seconds
    controller.observe(state("e0", V1, role="decode", adapters=["old"]), now)
    assert len(controller.step(10.0, now)) == 1


def test_no_order_is_issued_without_the_lease(make_controller):
    controller = make_controller(targets_of(3, V2), [state(f"e{n}", V1) for n in range(3)])
    assert controller.step(0.0, LOADS_ALLOWED_AT) == []
    controller.lose_lease()
    assert controller.step(10.0, LOADS_ALLOWED_AT) == []


def test_lost_lease_clears_the_orders_in_progress(make_controller):
    controller = make_controller(targets_of(3, V2), [state(f"e{n}", V1) for n in range(3)])
    controller.step(10.0, LOADS_ALLOWED_AT)
    controller.lose_lease()
    assert (controller.dump()["holds"], controller.dump()["given"]) == (False, {})


def test_lease_with_stale_fencing_is_rejected(make_controller):
    controller = make_controller([], [])
    with pytest.raises(errors.StaleFencingError):
        controller.acquire_lease(1, 5.0)


def test_order_is_not_sent_after_the_end_of_the_lease(make_controller):
    controller = make_controller(targets_of(3, V2), [state(f"e{n}", V1) for n in range(3)])
    order = controller.step(0.2, LOADS_ALLOWED_AT)[0]
    assert order.send_by == LOADS_ALLOWED_AT + 0.2
    assert order.fencing == 1


def test_holder_with_stale_fencing_stops(make_controller):
    controller = make_controller(targets_of(3, V2), [state(f"e{n}", V1) for n in range(3)])
    order = controller.step(10.0, LOADS_ALLOWED_AT)[0]
    outcome = messages.Outcome.STALE_FENCING
    controller.record_outcome(order.upstream, order.order_id, outcome, LOADS_ALLOWED_AT)
    assert not controller.holds_lease
    assert controller.step(10.0, LOADS_ALLOWED_AT + 100) == []


def test_concurrent_loads_are_limited_across_all_upstreams(make_controller):
    controller = make_controller(targets_of(6, V2), [state(f"e{n}", V1) for n in range(6)])
    orders = controller.step(10.0, LOADS_ALLOWED_AT)
    accept_orders(controller, orders, LOADS_ALLOWED_AT)
    assert upstreams_of(orders) == ["e0", "e1"]
    assert controller.step(10.0, LOADS_ALLOWED_AT + 1) == []
    controller.observe(state("e0", V2, at=1.0), LOADS_ALLOWED_AT + 2)
    assert upstreams_of(controller.step(10.0, LOADS_ALLOWED_AT + 2)) == ["e2"]


def test_upstreams_without_models_are_loaded_first(make_controller):
    states = [state("e0", V1), state("e1", V1), state("e2"), state("e3")]
    controller = make_controller(targets_of(4, V2), states)
    assert upstreams_of(controller.step(10.0, LOADS_ALLOWED_AT)) == ["e2", "e3"]


@pytest.mark.parametrize(
    "others",
    [
        [],
        [state("e1")],
        [state("e1", V1, leaving=True)],
        [state("e1", messages.ModelVersion("other", "v1"))],
        [state("e1", V1, role="decode")],
    ],
)
def test_last_upstream_that_serves_a_model_is_not_loaded(make_controller, others):
    declared = [targets.Target("e0", 2, (V2,)), targets.Target("e1", 2)]
    controller = make_controller(declared, [state("e0", V1), *others])
    orders = controller.step(10.0, LOADS_ALLOWED_AT)
    assert "e0" not in upstreams_of(orders)
    assert controller.blocked == {"e0": "parish"}


def test_last_two_upstreams_are_not_loaded_together(make_controller):
    controller = make_controller(targets_of(2, V2), [state("e0", V1), state("e1", V1)])
    orders = controller.step(10.0, LOADS_ALLOWED_AT)
    accept_orders(controller, orders, LOADS_ALLOWED_AT)
    assert upstreams_of(orders) == ["e0"]
    controller.observe(state("e0", V2, at=1.0), LOADS_ALLOWED_AT + 2)
    assert upstreams_of(controller.step(10.0, LOADS_ALLOWED_AT + 2)) == ["e1"]


def test_upstream_without_reports_neither_counts_nor_receives_orders(make_controller):
    controller = make_controller(targets_of(2, V2), [state("e0", V1), state("e1", V1)])
    now = LOADS_ALLOWED_AT + LIMITS.report_timeout_seconds + 1
    controller.confirm_state("e0", now)
    assert controller.step(10.0, now) == []


def test_leaving_upstream_receives_no_order(make_controller):
    states = [state("e0", V1, leaving=True), state("e1", V1), state("e2", V1)]
    controller = make_controller(targets_of(3, V2), states)
    assert upstreams_of(controller.step(10.0, LOADS_ALLOWED_AT)) == ["e1"]


def test_role_change_does_not_interrupt_a_capability(make_controller):
    declared = [
        targets.Target("e0", 2, (V1,), role="decode"),
        targets.Target("e1", 2, (V1,), role="both"),
    ]
    controller = make_controller(declared, [state("e0", V1), state("e1", V1, role="decode")])
    orders = controller.step(10.0, LOADS_ALLOWED_AT)
    assert upstreams_of(orders) == ["e1"]
    accept_orders(controller, orders, LOADS_ALLOWED_AT)
    controller.observe(state("e1", V1, at=1.0), LOADS_ALLOWED_AT + 1)
    assert upstreams_of(controller.step(10.0, LOADS_ALLOWED_AT + 1)) == ["e0"]


def test_adapter_is_not_unloaded_before_another_upstream_serves_it(make_controller):
    declared = [targets.Target("e0", 2), targets.Target("e1", 2, (), ("kigoma",))]
    controller = make_controller(declared, [state("e0", adapters=["kigoma"]), state("e1")])
    orders = controller.step(10.0, LOADS_ALLOWED_AT)
    assert [order.change for order in orders] == [messages.LoadAdapter("kigoma")]
    controller.observe(state("e1", adapters=["kigoma"], at=1.0), LOADS_ALLOWED_AT + 3)
    orders = controller.step(10.0, LOADS_ALLOWED_AT + 3)
    assert [order.change for order in orders] == [messages.UnloadAdapter("kigoma")]


def test_unsent_order_is_retried_with_the_same_id(make_controller):
    controller = make_controller(targets_of(2, V2), [state("e0", V1), state("e1", V1)])
    first = controller.step(10.0, LOADS_ALLOWED_AT)[0]
    controller.record_outcome("e0", first.order_id, messages.Outcome.NOT_SENT, LOADS_ALLOWED_AT)
    assert "e0" not in upstreams_of(controller.step(10.0, LOADS_ALLOWED_AT))
    controller.lose_lease()
    controller.acquire_lease(2, 1000.0)
    now = 1000.0 + LOADS_ALLOWED_AT
    for n in range(2):
        controller.confirm_state(f"e{n}", now)
    second = controller.step(10.0, now)[0]
    assert (second.order_id, second.fencing) == (first.order_id, 2)


def test_accepted_order_without_effect_is_retried_with_a_new_id(make_controller):
    controller = make_controller(targets_of(2, V2), [state("e0", V1), state("e1", V1)])
    first = controller.step(10.0, LOADS_ALLOWED_AT)
    accept_orders(controller, first, LOADS_ALLOWED_AT)
    now = LOADS_ALLOWED_AT + LIMITS.order_seconds
    controller.confirm_state("e0", now)
    controller.confirm_state("e1", now)
    second = controller.step(10.0, now)
    assert upstreams_of(second) == ["e0"]
    assert second[0].order_id == f"{first[0].order_id}:1.1"


def test_order_is_not_retried_on_a_state_from_before_its_deadline(make_controller):
    controller = make_controller(targets_of(2, V2), [state("e0", V1), state("e1", V1)])
    accept_orders(controller, controller.step(10.0, LOADS_ALLOWED_AT), LOADS_ALLOWED_AT)
    effect_deadline = LOADS_ALLOWED_AT + LIMITS.order_seconds
    for n in range(2):
        controller.confirm_state(f"e{n}", effect_deadline - 0.001)
    assert controller.step(10.0, effect_deadline) == []


def test_order_to_an_upstream_without_reports_does_not_count_forever(make_controller):
    controller = make_controller(targets_of(4, V2), [state(f"e{n}", V1) for n in range(4)])
    accept_orders(controller, controller.step(10.0, LOADS_ALLOWED_AT), LOADS_ALLOWED_AT)
    now = LOADS_ALLOWED_AT + LIMITS.order_seconds + LIMITS.report_timeout_seconds
    controller.confirm_state("e2", now)
    controller.confirm_state("e3", now)
    assert upstreams_of(controller.step(10.0, now)) == ["e2"]


def test_order_in_flight_counts_after_its_upstream_restarts_with_the_weights(make_controller):
    controller = make_controller(targets_of(6, V2), [state(f"e{n}", V1) for n in range(6)])
    assert upstreams_of(controller.step(10.0, LOADS_ALLOWED_AT)) == ["e0", "e1"]
    controller.observe(state("e0", V2, incarnation=2), LOADS_ALLOWED_AT + 0.1)
    before_arrival = (
        LOADS_ALLOWED_AT + LIMITS.delivery_timeout_seconds + LIMITS.send_timeout_seconds - 0.001
    )
    assert controller.step(10.0, before_arrival) == []
    arrived = LOADS_ALLOWED_AT + LIMITS.arrival_seconds
    assert upstreams_of(controller.step(10.0, arrived)) == ["e2"]


def test_lease_is_not_released_with_an_order_in_flight(make_controller):
    controller = make_controller(targets_of(2, V2), [state("e0", V1), state("e1", V1)])
    orders = controller.step(10.0, LOADS_ALLOWED_AT)
    assert not controller.can_release_lease(LOADS_ALLOWED_AT)
    assert controller.can_release_lease(LOADS_ALLOWED_AT + LIMITS.arrival_seconds)
    accept_orders(controller, orders, LOADS_ALLOWED_AT)
    assert controller.can_release_lease(LOADS_ALLOWED_AT)


def test_dump_shows_pending_upstreams(make_controller):
    controller = make_controller(targets_of(3, V2), [state("e0", V1), state("e1", V2)])
    controller.step(10.0, LOADS_ALLOWED_AT)
    issued = {"e0": "2:e0:load_model:parish:v2"}
    assert controller.dump() == {
        "holds": True,
        "fencing": 1,
        "given": issued,
        "blocked": {},
        "left": 2,
    }


def test_order_id_depends_on_the_revision_of_its_target_only():
    change = messages.LoadModel("parish", "v2")
    one = targets.order_id(targets.Target("e0", 2, (V2,)), change)
    assert one == targets.order_id(targets.Target("e0", 2, (V2,), ("kigoma",)), change)
    assert one != targets.order_id(targets.Target("e0", 3, (V2,)), change)


def test_state_that_arrives_out_of_order_is_ignored(make_controller):
    controller = make_controller(
        targets_of(2, V2), [state("e0", V2, at=5.0), state("e1", V2, at=5.0)]
    )
    controller.observe(state("e0", V1, at=4.0), LOADS_ALLOWED_AT)
    assert controller.step(10.0, LOADS_ALLOWED_AT) == []


def test_order_body_has_the_fields_of_the_protocol():
    order = messages.Order("id", 3, "e0", messages.LoadModel("parish", "v2"), 1.0)
    assert order.body == messages.OrderBody("id", 3, "load_model", model="parish", version="v2")
    order = messages.Order("id", 3, "e0", messages.SetRole("decode"), 1.0)
    assert order.body == messages.OrderBody("id", 3, "set_role", role="decode")


@pytest.mark.parametrize("upstreams", [6, 9])
@pytest.mark.parametrize("seed", range(8))
def test_invariants_hold_under_random_faults_and_the_rollout_converges(seed, upstreams):
    report = rollout_experiment.run(seed, upstreams, 800, strict=True)
    assert report.violations == 0
    assert report.converged
    assert report.counts["orders_arrived"] > 0


@pytest.mark.parametrize("crash_tick", range(40, 400, 12))
def test_rollout_interrupted_by_a_crash_of_its_holder_is_completed(crash_tick):
    counter = invariants.Invariants()
    limits = rollout_limits.RolloutLimits(
        weights_concurrency=2, weights_seconds=4.0, lease_seconds=5.0
    )
    world = rollout_simulation.Simulation(
        crash_tick, 6, limits, rollout_simulation.NO_FAULTS, counter
    )
    world.declare_versions()
    for _ in range(crash_tick):
        world.step()
    world.crash_holder()
    for _ in range(800):
        world.step()
    assert world.converged
    assert world.counts["takeovers"] == 2


COUNTING_LIMITS = rollout_limits.RolloutLimits(
    weights_concurrency=2, weights_seconds=4.0, reports_show_loads=True
)


def counting_state(upstream, *models, accepted=0, busy=False):
    return messages.UpstreamState(upstream, 1, list(models), [], "both", False, 0.0, busy, accepted)


def observe_all(controller, states, now):
    for reported in states:
        controller.observe(reported, now)
        controller.confirm_state(reported.upstream, now)


def test_new_holder_does_not_wait_when_the_last_order_is_old():
    controller = rollout.Rollout(COUNTING_LIMITS, invariants.Invariants())
    controller.set_targets(targets_of(3, V2))
    controller.acquire_lease(1, 100.0)
    controller.record_last_order(80.0, 100.1)
    lag = COUNTING_LIMITS.delivery_timeout_seconds + COUNTING_LIMITS.report_lag_seconds
    observe_all(controller, [counting_state(f"e{n}", V1) for n in range(3)], 100.1 + lag)
    assert len(controller.step(5.0, 100.1 + lag)) == 2


def test_states_are_used_from_the_arrival_of_the_last_order_on():
    """Using only states from after the end of the old lease would delay the rollout."""
    controller = rollout.Rollout(COUNTING_LIMITS, invariants.Invariants())
    controller.set_targets(targets_of(4, V2))
    controller.acquire_lease(1, 100.0)
    controller.record_last_order(99.0, 100.1)
    arrived = 99.0 + COUNTING_LIMITS.delivery_timeout_seconds
    confirmed_at = arrived + COUNTING_LIMITS.report_lag_seconds
    observe_all(controller, [counting_state(f"e{n}", V1) for n in (0, 1, 3)], confirmed_at)
    observe_all(controller, [counting_state("e2", V1)], confirmed_at - 0.01)
    issued = controller.step(5.0, arrived + COUNTING_LIMITS.lease_seconds)
    assert upstreams_of(issued) == ["e0", "e1"]


def test_new_holder_waits_after_a_recent_last_order():
    controller = rollout.Rollout(COUNTING_LIMITS, invariants.Invariants())
    controller.set_targets(targets_of(3, V2))
    controller.acquire_lease(1, 100.0)
    controller.record_last_order(99.0, 100.1)
    ready = 99.0 + COUNTING_LIMITS.lease_seconds + COUNTING_LIMITS.delivery_timeout_seconds
    assert controller.step(5.0, ready - 0.01) == []


def test_loads_of_the_previous_holder_count_towards_the_limit(make_controller):
    states = [counting_state("e0", V1, busy=True), counting_state("e1", V1, busy=True)]
    states += [counting_state("e2", V1), counting_state("e3", V1)]
    controller = make_controller(targets_of(4, V2), states, COUNTING_LIMITS)
    assert controller.step(5.0, LOADS_ALLOWED_AT) == []


def test_lost_order_is_retried_with_the_same_expected_count(make_controller):
    controller = make_controller(
        targets_of(3, V2), [counting_state(f"e{n}", V1) for n in range(3)], COUNTING_LIMITS
    )
    first = controller.step(5.0, LOADS_ALLOWED_AT)[0]
    controller.record_outcome(
        first.upstream, first.order_id, messages.Outcome.UNKNOWN, LOADS_ALLOWED_AT + 0.5
    )
    later = LOADS_ALLOWED_AT + COUNTING_LIMITS.arrival_seconds + COUNTING_LIMITS.report_lag_seconds
    observe_all(controller, [counting_state(f"e{n}", V1) for n in range(3)], later)
    repeated = [o for o in controller.step(5.0, later) if o.upstream == first.upstream]
    assert repeated
    assert repeated[0].expected == first.expected == 0


def test_order_to_a_removed_upstream_does_not_count_towards_the_limit(make_controller):
    controller = make_controller(
        targets_of(3, V2), [counting_state(f"e{n}", V1) for n in range(3)], COUNTING_LIMITS
    )
    first = controller.step(5.0, LOADS_ALLOWED_AT)
    for order in first:
        controller.record_outcome(
            order.upstream, order.order_id, messages.Outcome.ACCEPTED, LOADS_ALLOWED_AT
        )
    remaining = [t for t in targets_of(3, V2) if t.upstream not in {o.upstream for o in first}]
    controller.set_targets(remaining)
    observe_all(
        controller, [counting_state(t.upstream, V1) for t in remaining], LOADS_ALLOWED_AT + 0.5
    )
    controller.step(5.0, LOADS_ALLOWED_AT + 0.5)
    assert controller.in_progress <= {t.upstream for t in remaining}


def test_last_upstream_is_loaded_after_the_longest_block():
    limits = rollout_limits.RolloutLimits(
        weights_concurrency=1, reports_show_loads=True, max_blocked_seconds=2.0
    )
    controller = rollout.Rollout(limits, invariants.Invariants())
    controller.set_targets(targets_of(1, V2))
    controller.acquire_lease(1, 0.0)
    observe_all(controller, [counting_state("e0", V1)], LOADS_ALLOWED_AT)
    assert controller.step(5.0, LOADS_ALLOWED_AT) == []
    observe_all(controller, [counting_state("e0", V1)], LOADS_ALLOWED_AT + 2.0)
    assert upstreams_of(controller.step(5.0, LOADS_ALLOWED_AT + 2.0)) == ["e0"]


def test_upstreams_with_priority_receive_orders_first(make_controller):
    controller = make_controller(
        targets_of(4, V2), [counting_state(f"e{n}", V1) for n in range(4)], COUNTING_LIMITS
    )
    controller.set_priority(["e3", "e2"])
    assert upstreams_of(controller.step(5.0, LOADS_ALLOWED_AT)) == ["e3", "e2"]
