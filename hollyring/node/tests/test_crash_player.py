"""Requests that crash servers are found by all VMs in time, and no sound one is refused."""

import pytest

from hollyring.node import clock
from hollyring.node.tests import crash_player

NINE = {"vms": 9, "followers": 0, "servers": 6, "rate": 27.0}
SIXTY = {"vms": 12, "followers": 48, "servers": 45, "rate": 240.0}
LARGE = {"vms": 24, "followers": 171, "servers": 45, "rate": 170.0}
TWO_PARTS = (("bad-1", 2.0, 14.0), ("bad-2", 4.0, 15.0))
FIRST_SECONDS = 3.0
"""Time after a part's first request in which sound ones that came with it may be refused."""

CASES = {
    "nine": crash_player.Case(**NINE),
    "sixty": crash_player.Case(**SIXTY),
    "large": crash_player.Case(**LARGE, seconds=14.0),
    "ordinary crashes": crash_player.Case(
        **SIXTY, crashes=((1.0, 5), (2.2, 8), (5.0, 15)), kills=(2.5, 6.0)
    ),
    "no part": crash_player.Case(
        **SIXTY, deadly=(), crashes=tuple((n / 2, 4) for n in range(2, 30))
    ),
    "two parts": crash_player.Case(**SIXTY, deadly=TWO_PARTS),
    "comes back": crash_player.Case(**NINE, deadly=(("bad", 2.0, 6.0), ("bad", 12.0, 18.0))),
    "plain": crash_player.Case(9, 0, 3, 19.0, plain=True),
    "plain, ordinary crashes": crash_player.Case(
        9, 0, 3, 19.0, plain=True, crashes=((1.0, 3), (4.5, 2), (9.0, 3)), kills=(6.0,)
    ),
    "plain, large": crash_player.Case(**SIXTY, plain=True),
    "plain, no such request": crash_player.Case(
        9, 0, 3, 19.0, deadly=(), plain=True, crashes=tuple((2.0 * n, 3) for n in range(1, 9))
    ),
    "plain, two requests": crash_player.Case(9, 0, 3, 19.0, deadly=TWO_PARTS, plain=True),
    "plain, comes back": crash_player.Case(
        9, 0, 3, 19.0, deadly=(("bad", 2.0, 6.0), ("bad", 12.0, 18.0)), plain=True
    ),
    "vms restart": crash_player.Case(**NINE, kills=(2.6, 3.2, 5.0, 9.0)),
}


@pytest.fixture
def play(monkeypatch):
    def run(case, seed):
        player = crash_player.Player(case, seed)
        monkeypatch.setattr(clock, "now", player.now)
        return player.run()

    return run


SEEDS = [(name, seed) for name in CASES for seed in range(3)]
SEEDS += [("plain, two requests", 108), ("two parts", 106), ("ordinary crashes", 137)]
"""Seed 108: a sound request is at three crashes by another one, 4 s after its last answer.

Seeds 106 and 137: more requests than blames are kept are blamed as a whole, and have the same part.
"""


@pytest.mark.parametrize(("name", "seed"), SEEDS)
def test_part_that_crashes_servers_is_refused_in_time_and_nothing_else(play, name, seed):
    case = CASES[name]
    player = play(case, seed)
    for part, _, _ in case.deadly:
        assert len(player.late_requests(part)) <= 3
    starts = [start for _, start, _ in case.deadly]
    assert [
        at
        for at in player.refused_sound
        if not any(start <= at < start + FIRST_SECONDS for start in starts)
    ] == []
