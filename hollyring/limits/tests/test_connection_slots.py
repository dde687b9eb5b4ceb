"""Which connection is closed for another one, and which one is refused."""

import random

import pytest

from hollyring.limits import connection_slots

LIMIT = 20


@pytest.fixture
def slots():
    return connection_slots.ConnectionSlots(LIMIT)


def fill(slots, count=LIMIT):
    for number in range(count):
        assert slots.open(number) == connection_slots.Admitted()


def test_connection_that_never_sent_a_head_goes_before_idle_ones_the_oldest_first(slots):
    fill(slots)
    for number in (0, 1):
        slots.carries_request(number)
        slots.becomes_idle(number)
    closed = [slots.open(f"new-{n}").closed for n in range(LIMIT)]
    assert closed[: LIMIT - 2] == list(range(2, LIMIT))
    assert closed[LIMIT - 2 :] == ["new-0", "new-1"]


def test_connection_whose_request_is_read_goes_last_and_one_that_is_being_closed_first(slots):
    fill(slots)
    for number in range(LIMIT):
        slots.carries_request(number)
    slots.becomes_idle(5)
    slots.becomes_idle(7)
    slots.reads_body(7)
    slots.is_closing(9)
    new = [slots.open(f"new-{n}") for n in range(4)]
    for number in range(4):
        slots.carries_request(f"new-{number}")
    assert new[0].closed == 9
    assert new[1].closed == "new-0"
    assert len(slots) == LIMIT


def test_connections_with_whole_requests_are_not_closed_for_others(slots):
    fill(slots)
    for number in range(LIMIT):
        slots.reads_body(number)
        slots.carries_request(number)
        slots.reads_body(number)  # of a request that waits behind
    assert slots.open("new") == connection_slots.Refused()
    slots.close(3)
    assert slots.open("new") == connection_slots.Admitted()


@pytest.mark.parametrize("seed", range(10))
def test_requests_of_ordinary_clients_are_read_beside_a_crowd_that_holds_connections(slots, seed):
    """The load: a crowd that opens fifty connections for each one of an ordinary client."""
    rng = random.Random(seed)
    served = 0
    opened = iter(range(10**6))
    for number in range(200):
        ordinary = f"ordinary-{number}"
        closed = set()
        for _ in range(50):
            _open(slots, next(opened), closed)
        _open(slots, ordinary, closed)
        for _ in range(rng.randrange(LIMIT - 1)):  # before its head is read
            _open(slots, next(opened), closed)
        if ordinary in closed:
            continue
        slots.carries_request(ordinary)
        for _ in range(50):
            _open(slots, next(opened), closed)
        assert ordinary not in closed
        served += 1
        slots.close(ordinary)
        assert len(slots) <= LIMIT
    assert served == 200


def _open(slots, connection, closed):
    match slots.open(connection):
        case connection_slots.AdmittedInstead(closed=other):
            closed.add(other)


def test_connection_that_was_not_read_yet_is_not_closed_for_others(slots):
    for number in range(LIMIT):
        assert slots.open(number, unread=True) == connection_slots.Admitted()
    assert slots.open("new", unread=True) == connection_slots.Refused()
    slots.carries_request(0)
    for number in (0, 1, 2):
        slots.had_turn(number)
    closed = [slots.open(f"new-{n}", unread=True).closed for n in range(2)]
    assert closed == [1, 2]
    assert slots.open("one more") == connection_slots.Refused()
    assert len(slots) == LIMIT


def test_connection_that_had_its_turn_after_it_was_closed_takes_no_place(slots):
    slots.open("gone", unread=True)
    slots.close("gone")
    slots.had_turn("gone")
    assert len(slots) == 0
