"""Rejections that an upstream stands are not exceeded, and its room is used."""

import dataclasses

import pytest

from hollyring.limits import upstream_places
from hollyring.limits.tests import simulated_places

SEEDS = range(5)
SECONDS = 20.0
ROOM = upstream_places.Room(rejections_per_second=3.0, slots=6, in_progress=0)


def play(seed, disturb=None, **options):
    simulation = simulated_places.Simulation(seed, **options)
    if disturb is not None:
        disturb(simulation)
    simulation.run(SECONDS)
    most = [server.most_rejected_in_a_second() for server in simulation.servers]
    print("most rejections in a second:", most, "served:", simulation.served, simulation.sent)
    assert max(most) <= simulation.stands
    return simulation


def shrink_queue(simulation):
    """Let a tenth of the queue remain of each server, none of them saying so."""
    for number, server in enumerate(simulation.servers):
        simulation.at(4.0 + number, setattr, server, "queue", server.queue // 10)


def shrink_slots(simulation):
    """Let half of the slots and no queue remain of each server, none of them saying so."""
    for number, server in enumerate(simulation.servers):
        simulation.at(5.0 + 2 * number, setattr, server, "queue", 0)
        simulation.at(5.0 + 2 * number, setattr, server, "slots", server.slots // 2)


def restart_issuers(simulation):
    for number in range(len(simulation.servers)):
        for time in (3.0, 3.4, 6.0, 9.0, 9.2, 12.0):
            simulation.at(time, simulation.restart_issuer, number)


def shrink_and_restart(simulation):
    shrink_slots(simulation)
    restart_issuers(simulation)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("vms", [9, 60])
@pytest.mark.parametrize("load", [0.5, 1.0, 2.0])
def test_room_is_used_as_if_it_were_known(seed, vms, load):
    rate = load * 3 * 6 / 0.05
    simulation = play(seed, shrink_queue, vms=vms, rate=rate)
    ideal = simulated_places.Simulation(seed, vms=vms, rate=rate, all_knowing=True)
    shrink_queue(ideal)
    ideal.run(SECONDS)
    print("share of what is served with all knowledge:", round(simulation.served / ideal.served, 3))
    assert simulation.served >= 0.8 * ideal.served


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("stands", [1.0, 2.0, 3.0, 6.0, 20.0])
@pytest.mark.parametrize(
    "disturb", [shrink_queue, shrink_slots, restart_issuers, shrink_and_restart]
)
def test_rejections_stay_within_what_upstreams_stand(seed, stands, disturb):
    play(seed, disturb, stands=stands, rate=500.0)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("disturb", [shrink_queue, shrink_slots, restart_issuers])
def test_late_and_lost_messages_add_no_rejections(seed, disturb):
    play(seed, disturb, late=0.1, lost=0.02, rate=500.0, vms=60)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("disturb", [shrink_queue, shrink_slots, restart_issuers])
def test_rejections_by_upstreams_with_many_slots_stay_within_what_they_stand(seed, disturb):
    play(seed, disturb, slots=128, queue=384, servers=2, seconds=0.8, rate=500.0, vms=60)


def test_proven_places_are_granted_after_a_start_and_no_others():
    places = upstream_places.Places(ROOM, now=0.0)
    answers = [places.take(f"r-{n}", ROOM, 1.0, now=n / 50) for n in range(4)]
    granted = [isinstance(answer, upstream_places.PlaceGranted) for answer in answers]
    assert granted == [True, True, True, False]


def test_requests_in_progress_at_the_start_take_places():
    room = upstream_places.Room(3.0, 6, in_progress=6)
    places = upstream_places.Places(room, now=0.0)
    assert isinstance(places.take("r-1", room, 1.0, now=0.0), upstream_places.PlaceDenied)
    places.end("of another issuer", upstream_places.Outcome.ANSWERED, now=0.1)
    assert places.take("r-1", room, 1.0, now=0.1) == upstream_places.PlaceGranted(False)


def test_vm_that_issues_again_counts_what_another_granted_meanwhile():
    places = upstream_places.Places(ROOM, 0.0)
    assert places.take("a", ROOM, 9.0, now=10.0).doubtful is False
    places.interrupt()
    room = dataclasses.replace(ROOM, in_progress=4)
    assert isinstance(places.take("b", room, 9.0, now=12.0), upstream_places.PlaceDenied)
    room = dataclasses.replace(ROOM, in_progress=2)
    assert places.take("c", room, 9.0, now=12.6) == upstream_places.PlaceGranted(doubtful=False)
    room = dataclasses.replace(ROOM, in_progress=3)
    assert isinstance(places.take("d", room, 9.0, now=12.62), upstream_places.PlaceDenied)


def test_vm_that_issues_again_grants_no_doubtful_place_in_the_first_second():
    places = upstream_places.Places(ROOM, 0.0)
    places.interrupt()
    granted = [places.take(str(n), ROOM, 9.0, now=10.0 + 0.02 * n) for n in range(9)]
    assert upstream_places.PlaceGranted(doubtful=True) not in granted
    assert places.take("late", ROOM, 9.0, now=11.1) == upstream_places.PlaceGranted(doubtful=True)


def test_doubtful_places_whose_outcome_is_unknown_stay_within_what_the_upstream_stands():
    places = upstream_places.Places(ROOM, now=0.0)
    doubtful = 0
    for number in range(200):
        answer = places.take(f"r-{number}", ROOM, 0.0, now=1.0 + number / 200)
        doubtful += getattr(answer, "doubtful", False)
    assert doubtful == 2


def test_vm_that_died_holds_its_places_no_longer_than_its_requests_last():
    places = upstream_places.Places(ROOM, now=0.0)
    places.take("r-1", ROOM, 2.0, now=1.0)
    assert (places.taken(2.9), places.taken(1.0)) == (1, 1)
    places.take("r-2", ROOM, 2.0, now=3.1)
    assert places.taken(3.1) == 1


def test_accepted_doubtful_places_are_proven_up_to_a_little_more_than_the_slots():
    places = upstream_places.Places(ROOM, now=0.0)
    for number in range(10):
        places.take(f"r-{number}", ROOM, 5.0, now=2.0 + number / 50)
        places.end(f"r-{number}", upstream_places.Outcome.ACCEPTED, now=2.0 + number / 50)
    for number in range(10):
        places.end(f"r-{number}", upstream_places.Outcome.ANSWERED, now=2.5)
    answers = [places.take(f"s-{n}", ROOM, 5.0, now=2.5 + n / 50) for n in range(8)]
    assert [answer.doubtful for answer in answers] == [False] * 7 + [True]


def test_all_are_denied_while_the_rejections_of_the_last_second_are_all_that_are_risked():
    places = upstream_places.Places(ROOM, now=0.0)
    for number in range(2):
        places.take(f"r-{number}", ROOM, 1.0, now=2.0)
        places.end(f"r-{number}", upstream_places.Outcome.REJECTED, now=2.0)
    assert places.take("r-3", ROOM, 1.0, now=2.9) == upstream_places.PlaceDenied(pytest.approx(0.1))
    assert isinstance(places.take("r-4", ROOM, 1.0, now=3.0), upstream_places.PlaceGranted)
