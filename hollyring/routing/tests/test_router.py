import dataclasses
import random

import msgspec
import pytest

from hollyring.core import invariants, rendezvous
from hollyring.routing import (
    events,
    health,
    load,
    lookups,
    messages,
    placement,
    policies,
    prefix,
    requests,
    upstreams,
)


def send(router, request, now, rng, first_token=None, cached=None):
    route = router.route(request, now, rng, may_look_up=False)
    attempt = router.dispatched(request, route, now)
    if first_token is not None:
        router.first_token(attempt, now + first_token)
        router.finished(attempt, cached, now + first_token)
    return route


def test_all_vms_send_a_cold_prefix_to_the_same_upstream(make_router, make_request):
    vms = [f"vm-{n}" for n in range(9)]
    chosen = set()
    for vm in vms:
        router = make_router(vm=vm, vms=vms)
        chosen.add(send(router, make_request(), 0.0, random.Random(vm)).upstream)
    assert len(chosen) == 1


def test_second_question_goes_to_the_upstream_that_cached_the_document(
    make_router, make_request, rng
):
    router = make_router(count=60)
    first = send(router, make_request(), 0.0, rng, first_token=1.3, cached=0)
    second = send(router, make_request(), 2.0, rng)
    assert second.upstream == first.upstream
    assert second.expected_cached_tokens > 0.9 * 10 * 1024
    assert second.source is requests.Source.MEMORY


@pytest.mark.parametrize("policy", [policies.Prefix(), policies.LeastLoaded()])
def test_leaving_upstream_gets_no_request_even_if_it_cached_the_prompt(
    make_router, make_request, make_upstreams, rng, policy
):
    router = make_router(policy)
    holder = send(router, make_request(), 0.0, rng, first_token=1.3, cached=0).upstream
    upstreams_now = [
        dataclasses.replace(item, leaving=item.name == holder) for item in make_upstreams(6)
    ]
    router.configure(upstreams_now, ("vm-1",), 2.0)
    used = {send(router, make_request(), 2.0 + n, rng, 0.1).upstream for n in range(30)}
    assert holder not in used


def test_overloaded_upstream_is_not_used_for_its_cached_prefix(
    make_router, make_request, rng, make_report
):
    router = make_router()
    first = send(router, make_request(), 0.0, rng, first_token=1.3, cached=0)
    for name in ("ls-0", "ls-1", "ls-2", "ls-3", "ls-4", "ls-5"):
        queued = 400_000 if name == first.upstream else 0
        router.observe_load(name, make_report(queued), 2.0)
    assert send(router, make_request(), 2.0, rng).upstream != first.upstream


def test_hot_prefix_spreads_and_contracts_with_its_load(make_router, make_request, rng):
    router = make_router(count=12)
    request = make_request()
    used = [send(router, request, n * 0.005, rng).upstream for n in range(400)]
    assert len(set(used)) > 2
    calm = [send(router, request, 200.0 + 20 * n, rng, 0.1).upstream for n in range(20)]
    assert len(set(calm)) == 1


def test_own_dispatches_count_as_load_before_the_next_report(
    make_router, make_request, rng, make_report
):
    router = make_router(policies.LeastLoaded())
    for n in range(6):
        router.observe_load(f"ls-{n}", make_report(), 0.0)
    documents = [b"%08d" % n for n in range(6)]
    used = {send(router, make_request(d), 0.1, rng).upstream for d in documents}
    assert len(used) == 6


def test_vms_do_not_all_pick_the_upstream_of_a_stale_low_report(
    make_router, make_request, make_report
):
    vms = [f"vm-{n}" for n in range(9)]
    counts = dict.fromkeys([f"ls-{n}" for n in range(6)], 0)
    for number, vm in enumerate(vms):
        router = make_router(vm=vm, vms=vms)
        for n in range(6):
            router.observe_load(f"ls-{n}", make_report(0 if n == 0 else 4000), 0.0)
        for n in range(20):
            request = make_request(b"%04d%04d" % (number, n))
            counts[send(router, request, 0.1, random.Random(n)).upstream] += 1
    assert max(counts.values()) < 2 * sum(counts.values()) / 6


def test_new_upstream_takes_its_share_gradually(make_router, make_request, rng, make_upstreams):
    router = make_router(count=5)
    router.configure(make_upstreams(6), ["vm-1"], 100.0)
    new_upstream = "ls-5"

    def share(now):
        routes = [
            router.route(make_request(b"%06d" % n, 5), now, rng, may_look_up=False)
            for n in range(300)
        ]
        return sum(route.upstream == new_upstream for route in routes)

    early, late = share(101.0), share(120.0)
    assert early < late / 3
    assert late > 20


def test_restart_invalidates_cached_prefixes_at_once(make_router, make_request, rng, make_report):
    router = make_router()
    first = send(router, make_request(), 0.0, rng, first_token=1.3, cached=0)
    router.observe_load(first.upstream, make_report(incarnation=2), 2.0)
    again = router.route(make_request(), 2.0, rng)
    assert again.expected_cached_tokens == 0
    late_batch = events.EventBatch(
        1, (events.CacheEvent(1, "stored", make_request().chain.hashes),)
    )
    router.observe_events(first.upstream, late_batch, 2.1)
    assert router.route(make_request(), 2.1, rng).expected_cached_tokens == 0


def test_lost_connection_invalidates_recorded_prefixes(make_router, make_request, rng):
    router = make_router(count=1)
    send(router, make_request(), 0.0, rng, first_token=1.3, cached=0)
    attempt = router.dispatched(make_request(), router.route(make_request(), 2.0, rng), 2.0)
    router.failed(attempt, 2.5, lost=True)
    assert router.route(make_request(), 2.6, rng).expected_cached_tokens == 0


@pytest.mark.parametrize("fault", ["incarnation", "organisation", "version"])
def test_dispatch_with_a_wrong_route_violates_an_invariant(
    make_router, make_request, rng, make_upstreams, fault
):
    router = make_router()
    request = make_request()
    send(router, request, 0.0, rng, first_token=1.3, cached=0)
    route = router.route(request, 2.0, rng)
    match fault:
        case "incarnation":
            route = dataclasses.replace(route, incarnation=7)
        case "organisation":
            request = dataclasses.replace(request, organisation="verrerie")
        case "version":
            newer = (upstreams.ServedModel("parish", "v2"),)
            router.configure(
                [dataclasses.replace(u, served=newer) for u in make_upstreams(6)], ["vm-1"], 3.0
            )
    with pytest.raises(invariants.InvariantError):
        router.dispatched(request, route, 3.0)


def test_organisations_share_no_cached_prefix(make_router, make_request, rng):
    router = make_router(count=1)
    send(router, make_request(), 0.0, rng, first_token=1.3, cached=0)
    other = router.route(make_request(organisation="verrerie"), 2.0, rng)
    assert other.expected_cached_tokens == 0


def test_lookup_finds_a_prefix_indexed_by_another_vm(make_router, make_request, rng):
    vms = ["vm-1", "vm-2"]
    routers = {vm: make_router(vm=vm, vms=vms) for vm in vms}
    request = make_request()
    sender = next(
        vm for vm in vms if isinstance(routers[vm].route(request, 0.0, rng), requests.NeedLookup)
    )
    need = routers[sender].route(request, 0.0, rng)
    addressed = need.lookups[0]
    watched = addressed.lookup.upstreams[-1]
    watcher = routers[addressed.vm]
    snapshot = events.Snapshot(1, 5, request.chain.hashes)
    watcher.observe_snapshot(watched, snapshot, 0.0)
    answer = watcher.answer(addressed.lookup, 0.0)
    routers[sender].observe_answer(request, answer, 0.0)
    route = routers[sender].route(request, 0.0, rng, may_look_up=False)
    assert (route.upstream, route.expected_cached_tokens) == (watched, 10 * 1024)


def test_request_is_routed_without_an_answer_to_its_lookups(make_router, make_request, rng):
    router = make_router(vms=["vm-1", "vm-2", "vm-3"])
    assert isinstance(router.route(make_request(), 0.0, rng), requests.NeedLookup)
    assert isinstance(router.route(make_request(), 0.02, rng, may_look_up=False), requests.Route)


def test_lookups_stay_within_the_byte_rate(make_router, make_request, rng):
    vms = [f"vm-{n}" for n in range(9)]
    router = make_router(vms=vms)
    spent, seconds = 0, 60
    for n in range(100 * seconds):
        need = router.route(make_request(b"%06d" % n, 5), n / 100, rng)
        if isinstance(need, requests.NeedLookup):
            for addressed in need.lookups:
                spent += len(msgspec.msgpack.encode(dataclasses.astuple(addressed.lookup)))
    assert 0 < spent < lookups.LOOKUP_BURST_BYTES + seconds * lookups.LOOKUP_BYTES_PER_SECOND
    assert router.dump()["counters"]["lookups_unaffordable"] > 0


def test_malformed_lookup_gets_an_empty_answer(make_router):
    router = make_router()
    answer = router.answer(messages.Lookup(1, ["ls-1", "nobody"], [1, 2], b"x" * 8), 0.0)
    assert answer.states == []


def test_retry_uses_another_upstream_in_another_failure_domain(make_router, make_request, rng):
    router = make_router()
    first = send(router, make_request(), 0.0, rng)
    domain = f"domain-{int(first.upstream[-1]) % 3}"
    again = make_request(excluded=frozenset({first.upstream}), avoided_domains=frozenset({domain}))
    route = router.route(again, 0.0, rng, may_look_up=False)
    assert int(route.upstream[-1]) % 3 != int(first.upstream[-1]) % 3


def test_retry_of_one_request_does_not_move_other_requests(make_router, make_request, rng):
    first_choice = make_router().route(make_request(), 0.0, rng).upstream
    router = make_router()
    router.route(make_request(excluded=frozenset({first_choice})), 0.0, rng)
    assert router.route(make_request(), 0.0, rng).upstream == first_choice


def test_failing_upstream_is_suspended_then_tried_with_one_request(make_router, make_request, rng):
    router = make_router()
    first_choice = router.route(make_request(), 0.0, rng).upstream
    for _ in range(health.SUSPENSION_FAILURES):
        router.failed(
            router.dispatched(make_request(), router.route(make_request(), 0.0, rng), 0.0), 0.0
        )
    assert router.route(make_request(), 0.1, rng).upstream != first_choice
    later = health.FIRST_SUSPENSION_SECONDS + 0.1
    trial = router.route(make_request(), later, rng)
    assert trial.upstream == first_choice
    router.dispatched(make_request(), trial, later)
    assert router.route(make_request(), later, rng).upstream != first_choice


@pytest.mark.parametrize("policy", policies.BY_NAME.values(), ids=policies.BY_NAME)
def test_unroutable_request_has_the_right_reason(make_router, make_request, rng, policy):
    router = make_router(policy, count=2)
    tried = router.route(make_request(excluded=frozenset({"ls-0", "ls-1"})), 0.0, rng)
    unknown = router.route(dataclasses.replace(make_request(), version="v9"), 0.0, rng)
    assert tried.reason is requests.Unroutable.ALL_TRIED
    assert unknown.reason is requests.Unroutable.NOT_SERVED


def test_import_from_the_cache_store_shortens_the_expected_time(
    make_router, make_request, rng, make_upstreams
):
    router = make_router(count=1)
    router.configure(make_upstreams(1, import_tokens_per_second=80_000.0), ["vm-1"], 0.0)
    cold = router.route(make_request(), 0.0, rng)
    stored = router.route(make_request(stored_blocks=8), 0.0, rng)
    assert (cold.import_blocks, stored.import_blocks) == (0, 8)
    assert stored.expected_seconds < cold.expected_seconds / 2


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("policy", policies.BY_NAME.values(), ids=policies.BY_NAME)
def test_random_faults_violate_no_invariant(
    make_router, make_request, make_upstreams, make_report, seed, policy
):
    rng = random.Random(seed)
    vms = ["vm-1", "vm-2", "vm-3"]
    router = make_router(policy, vms=vms)
    incarnations = dict.fromkeys([f"ls-{n}" for n in range(6)], 1)
    open_attempts = []
    now = 0.0
    for _ in range(400):
        now += rng.expovariate(20)
        name = rng.choice(sorted(incarnations))
        match rng.randrange(8):
            case 0:
                incarnations[name] += rng.random() < 0.3
                incarnation = max(1, incarnations[name] - rng.randrange(2))
                router.observe_load(name, make_report(rng.randrange(50_000), incarnation), now)
            case 1:
                hashes = make_request(b"%d" % rng.randrange(9)).chain.hashes
                event = events.CacheEvent(rng.randrange(1, 60), events.EventKind.STORED, hashes)
                router.observe_events(name, events.EventBatch(incarnations[name], (event,)), now)
            case 2:
                count = rng.randrange(4, 7)
                router.configure(make_upstreams(count), rng.sample(vms, rng.randrange(1, 4)), now)
            case 3 if open_attempts:
                router.failed(open_attempts.pop(), now, lost=rng.random() < 0.5)
            case 4 if open_attempts:
                attempt = open_attempts.pop(0)
                router.first_token(attempt, now)
                router.finished(attempt, rng.randrange(12) * 1024, now)
                router.finished(attempt, 1024, now)
            case _:
                request = make_request(b"%d" % rng.randrange(9))
                route = router.route(request, now, rng, may_look_up=False)
                open_attempts.append(router.dispatched(request, route, now))
    assert router.dump()["pending"] == len(open_attempts)


def test_affinity_order_equals_the_rendezvous_order(make_request, make_upstreams):
    affinity = placement.Affinity()
    serving = {
        u.name: placement.State(u, load.Load(8000.0), health.Health(), 1)
        for u in make_upstreams(20)
    }
    for n in range(20):
        request = make_request(b"%04d" % n)
        expected = rendezvous.rank(prefix.pack([request.chain.hash_at(4)]), serving)
        assert [state.name for state in affinity.order(request, serving, 4)] == expected
