import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollyring.routing import block_table

hashes = st.integers(0, 40).map(lambda n: (n % 7) << 32 | n * 64)


@given(st.lists(st.tuples(st.sampled_from(["add", "discard"]), hashes), max_size=200))
def test_table_matches_a_python_set(steps):
    table, model = block_table.BlockTable(10_000), set()
    for step, block_hash in steps:
        block_hash += 1
        getattr(table, step)(block_hash)
        getattr(model, step)(block_hash)
        assert len(table) == len(model)
    assert set(table) == model
    assert all(block_hash in table for block_hash in model)


@pytest.mark.parametrize("seed", range(3))
def test_full_table_stays_bounded_and_keeps_the_new_hash(seed):
    rng = random.Random(seed)
    table = block_table.BlockTable(100)
    for _ in range(1000):
        block_hash = rng.getrandbits(64)
        table.add(block_hash)
        assert block_hash in table
        assert len(table) <= 100
    assert table.displaced == 900


def test_lowering_the_limit_removes_hashes():
    table = block_table.BlockTable(100)
    table.update(range(1, 101))
    table.set_limit(10)
    assert len(table) == 10


@given(st.lists(hashes, max_size=150), st.integers(1, 200))
def test_replace_keeps_the_last_hashes_that_fit(given_hashes, limit):
    table = block_table.BlockTable(limit)
    table.add(5)
    table.replace([block_hash + 1 for block_hash in given_hashes])
    assert set(table) == {block_hash + 1 for block_hash in given_hashes[-limit:]}
    assert len(table) == len(set(table)) <= limit
