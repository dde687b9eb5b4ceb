import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollyring.routing import blocks

names = st.integers(0, 40).map(lambda n: (n % 7) << 32 | n * 64)


@given(st.lists(st.tuples(st.sampled_from(["add", "discard"]), names), max_size=200))
def test_table_is_a_set(steps):
    table, model = blocks.BlockTable(10_000), set()
    for step, name in steps:
        name += 1
        getattr(table, step)(name)
        getattr(model, step)(name)
        assert len(table) == len(model)
    assert set(table) == model
    assert all(name in table for name in model)


@pytest.mark.parametrize("seed", range(3))
def test_full_table_keeps_its_bound_and_the_new_name(seed):
    draw = random.Random(seed)
    table = blocks.BlockTable(100)
    for _ in range(1000):
        name = draw.getrandbits(64)
        table.add(name)
        assert name in table
        assert len(table) <= 100
    assert table.displaced == 900


def test_lower_limit_shrinks_the_table():
    table = blocks.BlockTable(100)
    table.update(range(1, 101))
    table.limit(10)
    assert len(table) == 10


@given(st.lists(names, max_size=150), st.integers(1, 200))
def test_replacing_all_names_keeps_the_last_ones_that_fit(given_names, limit):
    table = blocks.BlockTable(limit)
    table.add(5)
    table.replace([name + 1 for name in given_names])
    assert set(table) == {name + 1 for name in given_names[-limit:]}
    assert len(table) == len(set(table)) <= limit
