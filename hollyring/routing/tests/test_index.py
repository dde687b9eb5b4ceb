import random

import pytest

from hollyring.routing import events, index

SEEDS = range(40)


class Engine:
    """A cache that publishes its changes as events.

    `all_blocks` contains every block that was ever stored.
    """

    def __init__(self, rng):
        self.rng = rng
        self.incarnation = 1
        self.sequence = 0
        self.blocks = set()
        self.all_blocks = set()

    def change(self):
        self.sequence += 1
        kind = self.rng.choices(list(events.EventKind), [6, 4, 0.2])[0]
        match kind:
            case events.EventKind.STORED:
                hashes = tuple(self.rng.getrandbits(16) + 1 for _ in range(3))
                self.blocks.update(hashes)
                self.all_blocks.update(hashes)
            case events.EventKind.REMOVED:
                hashes = tuple(self.rng.sample(sorted(self.blocks), min(2, len(self.blocks))))
                self.blocks.difference_update(hashes)
            case events.EventKind.CLEARED:
                hashes = ()
                self.blocks.clear()
        event = events.CacheEvent(self.sequence, kind, hashes)
        return events.EventBatch(self.incarnation, (event,))

    def crash(self):
        self.incarnation += 1
        self.sequence = 0
        self.blocks = set()

    def snapshot(self):
        return events.Snapshot(self.incarnation, self.sequence, tuple(self.blocks))


@pytest.fixture
def cache_index():
    cache_index = index.CacheIndex()
    cache_index.watch(["ls-1"])
    return cache_index


def indexed_blocks(cache_index, hashes):
    return {
        block_hash
        for block_hash in hashes
        if cache_index.cached_prefix("ls-1", [block_hash]).blocks
    }


def deliver(cache_index, batches, rng, loss_rate=0.0, now=0.0):
    """Deliver batches out of order and some twice, and lose each with probability `loss_rate`."""
    batches = [batch for batch in batches if rng.random() >= loss_rate]
    batches += rng.sample(batches, len(batches) // 3)
    for position in range(len(batches) - 1):
        other = min(len(batches) - 1, position + rng.randrange(6))
        batches[position], batches[other] = batches[other], batches[position]
    for batch in batches:
        cache_index.observe_events("ls-1", batch, now)


@pytest.mark.parametrize("seed", SEEDS)
def test_duplicate_and_reordered_events_give_the_exact_cache(cache_index, seed):
    rng = random.Random(seed)
    engine = Engine(rng)
    deliver(cache_index, [engine.change() for _ in range(120)], rng)
    assert indexed_blocks(cache_index, engine.all_blocks) == engine.blocks
    assert len(cache_index) == len(engine.blocks)
    assert cache_index.cached_prefix("ls-1", []).confidence == 1.0


@pytest.mark.parametrize("seed", SEEDS)
def test_events_of_an_earlier_incarnation_are_ignored(cache_index, seed):
    rng = random.Random(seed)
    engine = Engine(rng)
    first = [engine.change() for _ in range(60)]
    old = set(engine.blocks)
    engine.crash()
    second = [engine.change() for _ in range(20)]
    mixed = first[:30] + second + first[30:]
    deliver(cache_index, mixed, rng)
    cache_index.observe_incarnation("ls-1", 2)
    assert indexed_blocks(cache_index, old - engine.blocks) == set()
    assert cache_index.incarnation("ls-1") == 2


@pytest.mark.parametrize("seed", SEEDS)
def test_missing_event_lowers_confidence_until_a_snapshot(cache_index, seed):
    rng = random.Random(seed)
    engine = Engine(rng)
    deliver(cache_index, [engine.change() for _ in range(30)], rng)
    engine.change()
    after = [engine.change() for _ in range(3)]
    # A clear makes the contents known again, so that the confidence is not lowered.
    if any(batch.events[0].kind is events.EventKind.CLEARED for batch in after):
        return
    deliver(cache_index, after, rng)
    late = index.MAX_PENDING_SECONDS
    cache_index.observe_events("ls-1", after[0], late)
    assert cache_index.cached_prefix("ls-1", []).confidence < 1.0
    assert cache_index.due_snapshots(late) == ["ls-1"]
    assert cache_index.due_snapshots(late) == []
    cache_index.observe_snapshot("ls-1", engine.snapshot(), late)
    assert indexed_blocks(cache_index, engine.all_blocks) == engine.blocks
    assert cache_index.cached_prefix("ls-1", []).confidence == 1.0


def test_snapshot_older_than_applied_events_is_ignored(cache_index):
    engine = Engine(random.Random(1))
    before = engine.snapshot()
    deliver(cache_index, [engine.change() for _ in range(10)], random.Random(1))
    cache_index.observe_snapshot("ls-1", before, 0.0)
    assert indexed_blocks(cache_index, engine.all_blocks) == engine.blocks


def test_snapshots_stay_within_the_byte_rate():
    cache_index = index.CacheIndex()
    cache_index.watch([f"ls-{n}" for n in range(4)])
    hashes = tuple(range(1, 50_001))
    # The size is unknown before the first snapshot: each upstream may exceed the byte rate once.
    unknown = 4 * index.SNAPSHOT_BYTES_PER_BLOCK * len(hashes)
    allowed = index.RESYNC_BURST_BYTES + 3600 * index.RESYNC_BYTES_PER_SECOND
    fetched = 0
    for second in range(3600):
        for name in cache_index.due_snapshots(float(second)):
            fetched += index.SNAPSHOT_BYTES_PER_BLOCK * len(hashes)
            assert fetched <= allowed + unknown
            cache_index.observe_snapshot(name, events.Snapshot(1, second, hashes), float(second))
            for _ in range(index.MAX_CONTRADICTIONS):
                cache_index.check_response(name, 5, 0)
    assert fetched > unknown


def test_number_of_indexed_blocks_is_bounded():
    cache_index = index.CacheIndex(max_blocks=1000)
    cache_index.watch(["ls-1", "ls-2"])
    for name in cache_index.watched:
        cache_index.observe_snapshot(name, events.Snapshot(1, 1, tuple(range(1, 5000))), 0.0)
    assert len(cache_index) <= 1000


def test_responses_that_contradict_the_index_cause_a_snapshot(cache_index):
    cache_index.observe_snapshot("ls-1", events.Snapshot(1, 1, (7,)), 0.0)
    for _ in range(index.MAX_CONTRADICTIONS):
        cache_index.check_response("ls-1", 1, 0)
    assert cache_index.due_snapshots(1.0) == ["ls-1"]
