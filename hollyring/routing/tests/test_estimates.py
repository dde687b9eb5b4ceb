import random

import pytest

from hollyring.core import prompt_blocks
from hollyring.routing import errors, events, health, load, prefix, recent_prefixes


@pytest.fixture
def estimate():
    return load.Load(8000.0)


def test_own_dispatch_is_queued_until_a_later_report_covers_it(estimate, make_report):
    estimate.observe(make_report(), 0.0)
    estimate.dispatched(1, 16_000, 16_000, 1.0)
    assert estimate.queue_seconds(1.0) == pytest.approx(2.0)
    estimate.observe(make_report(8000, age=0.5), 1.4)
    assert estimate.queue_seconds(1.4) > 2.5
    estimate.observe(make_report(8000, age=0.1), 1.5)
    assert estimate.queue_seconds(1.5) < 1.1


def test_slow_responses_raise_a_slowdown_that_decays(estimate, make_report):
    estimate.observe(make_report(8000), 0.0)
    for now in range(5):
        estimate.update_slowdown(measured=5.0, expected=1.0, now=float(now))
    assert 3.0 < estimate.slowdown(4.0) < 5.0
    assert estimate.queue_seconds(4.0) > 3.0
    assert estimate.slowdown(200.0) < 1.1


def test_overdue_dispatch_raises_the_slowdown_before_it_ends(estimate):
    estimate.dispatched(1, 800, 16_000, 0.0)
    assert estimate.slowdown(2.0) == 1.0
    assert estimate.slowdown(20.0) > 3.0
    estimate.discard(1)
    assert estimate.slowdown(8.0) == 1.0


def test_load_report_that_arrives_out_of_order_is_ignored(estimate, make_report):
    estimate.observe(make_report(8000), 5.0)
    estimate.observe(make_report(0, age=3.0), 5.1)
    assert estimate.queued_tokens == 8000


def test_old_load_report_decays_to_the_mean(estimate, make_report):
    for now in range(20):
        estimate.observe(make_report(800), float(now))
    estimate.observe(make_report(80_000), 20.0)
    assert estimate.queue_seconds(20.0) > 9.0
    assert estimate.queue_seconds(40.0) < 3.0


def test_slow_upstream_is_suspended_and_recovers_by_trial_requests():
    record = health.Health()
    rng = random.Random(1)
    for n in range(50):
        record.first_token(n, rng.uniform(0.2, 0.5), 0.3, float(n))
    assert record.usable(50.0)
    while not record.on_probation:
        record.first_token(99, 3.0, 0.3, 50.0)
    assert not record.usable(50.1)
    now, trials = 50.0, 0
    while record.on_probation:
        now += 0.1
        if not record.usable(now):
            continue
        trials += 1
        record.dispatched(1000 + trials)
        assert not record.usable(now)
        record.first_token(1000 + trials, 0.3, 0.3, now)
    assert now < 50.0 + 30.0
    assert trials < 8


def test_constantly_slow_upstream_is_not_suspended():
    record = health.Health()
    for n in range(200):
        record.first_token(n, 3.0, 0.3, float(n))
    assert not record.on_probation


def test_suspension_grows_with_each_failure_up_to_a_limit():
    record = health.Health()
    now, waits = 0.0, []
    for attempt in range(1, 12):
        record.dispatched(attempt)
        record.failed(attempt, now)
        if record.on_probation:
            waits.append(record.suspended_until - now)
            now = record.suspended_until
    assert waits == sorted(waits)
    assert waits[-1] == health.MAX_SUSPENSION_SECONDS


def test_observed_eviction_lowers_the_confidence_in_a_prefix():
    prefixes = recent_prefixes.RecentPrefixes()
    prefixes.record("ls-1", 1, [11, 12], 0.0)
    before = prefixes.find([11, 12, 13], {"ls-1": 1}, 5.0)["ls-1"]
    for _ in range(5):
        prefixes.update_retention("ls-1", 3.0, cached=False)
    after = prefixes.find([11, 12, 13], {"ls-1": 1}, 5.0)["ls-1"]
    assert before.blocks == after.blocks == 2
    assert after.confidence < before.confidence / 2


def test_prefix_cached_by_another_incarnation_is_ignored():
    prefixes = recent_prefixes.RecentPrefixes()
    prefixes.record("ls-1", 1, [11, 12], 0.0)
    prefixes.record("ls-1", 2, [11], 1.0)
    assert prefixes.find([11, 12], {"ls-1": 2}, 1.0)["ls-1"].blocks == 1
    assert prefixes.find([11, 12], {"ls-1": 3}, 1.0) == {}


def test_number_of_recorded_hashes_is_bounded():
    prefixes = recent_prefixes.RecentPrefixes(max_hashes=100)
    for block_hash in range(1000):
        prefixes.record("ls-1", 1, [block_hash], float(block_hash))
    assert len(prefixes) == 100
    assert prefixes.find([999], {"ls-1": 1}, 999.0)


@pytest.mark.parametrize("text", ["", "zz", "00000000000000fg", "0" * 17])
def test_invalid_block_hash_is_rejected(text):
    with pytest.raises(errors.BlockHashError):
        events.cache_event(1, "stored", [text])


@pytest.mark.parametrize("seed", range(5))
def test_chain_of_a_chunked_prompt_equals_the_chain_of_the_whole(seed):
    rng = random.Random(seed)
    prompt = rng.randbytes(5 * prompt_blocks.BLOCK_BYTES + rng.randrange(prompt_blocks.BLOCK_BYTES))
    builder = prefix.ChainBuilder("bohari", "parish", "v1")
    remaining = prompt
    while remaining:
        size = rng.randrange(1, 9000)
        builder.feed(remaining[:size])
        remaining = remaining[size:]
    assert builder.chain() == prefix.chain("bohari", "parish", "v1", prompt)
