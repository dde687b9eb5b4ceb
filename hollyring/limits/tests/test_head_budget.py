"""Memory of heads and unfinished lines is bounded as a sum; who holds it for long goes first."""

import random

import pytest

from hollyring.limits import head_budget

LIMIT = 1_000_000


class Head:
    """A head of one connection, in steps."""

    def __init__(self, budget):
        self.ended = False
        self.holding = budget.open(self.end)

    def end(self):
        self.ended = True
        self.holding.give_back(self.holding.bytes)


def test_heads_that_are_never_ended_make_room_for_others_after_a_time():
    budget = head_budget.HeadBudget(LIMIT)
    held = [Head(budget) for _ in range(10)]
    assert all(head.holding.take(100_000, now=0.1 * n) for n, head in enumerate(held))
    late = Head(budget)
    assert not late.holding.take(100_000, now=0.2)
    assert late.holding.take(150_000, now=1.0)
    assert [head.ended for head in held] == [True, True] + [False] * 8
    assert budget.held <= LIMIT
    assert (budget.refusals, budget.evictions) == (1, 2)


def test_whole_heads_are_not_ended_for_others():
    budget = head_budget.HeadBudget(LIMIT)
    whole, other = Head(budget), Head(budget)
    assert whole.holding.take(LIMIT, now=0.0)
    whole.holding.finish()
    assert not other.holding.take(100, now=100.0)
    assert not whole.ended


def test_connection_that_alone_needs_room_gets_what_it_needs():
    budget = head_budget.HeadBudget(LIMIT)
    alone = Head(budget)
    assert alone.holding.take(LIMIT, now=0.0)
    assert alone.holding.take(LIMIT, now=0.0)


@pytest.mark.parametrize("seed", range(20))
def test_sound_heads_are_read_beside_a_crowd_whose_heads_have_no_end(seed):
    """The load: forty connections that add to their heads until they are ended, and begin anew."""
    rng = random.Random(seed)
    budget = head_budget.HeadBudget(LIMIT)
    crowd = [Head(budget) for _ in range(40)]
    served = 0
    now = 0.0
    for _ in range(200):
        now += 0.1
        for number in rng.sample(range(40), 20):
            if crowd[number].ended or not crowd[number].holding.take(24_000, now):
                crowd[number].end()
                crowd[number] = Head(budget)
        sound = Head(budget)
        if sound.holding.take(96_000, now):
            sound.holding.finish()
            served += 1
            sound.end()
        assert budget.held <= LIMIT
    assert served > 0
    for head in crowd:
        head.end()
    assert budget.held == 0
