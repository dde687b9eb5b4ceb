import random

import pytest

from hollyring.membership import actions, errors, gossip, members, messages, table

EMPTY = messages.Gossip([], [], [])
DEAD, SUSPECT = messages.Status.DEAD, messages.Status.SUSPECT


def profile(name, number=1, region="r"):
    address = f"10.0.0.{name[-1]}:7000"
    return messages.Profile(name, number, address, address, "fd", region)


def start(number=1, seeds=()):
    return members.Members(profile("vm-1", number), list(seeds), random.Random(1), now=0.0)


@pytest.fixture
def vm():
    """A VM that knows one other and has passed on all its news."""
    life = start()
    hear(life, profiles=[profile("vm-2")])
    life._view._queue = gossip.Queue()
    return life


def hear(life, profiles=(), updates=(), now=0.0):
    news = messages.Gossip(list(profiles), list(updates), [])
    sync = messages.Sync("", 0, False, news)
    return life.handle(sync, "", now)


def tick_until(life, seconds, begin=0.0):
    """Tick ten times a second; return what was asked for."""
    done = []
    for step in range(int(begin * 10), int(seconds * 10) + 1):
        done += life.tick(step / 10)
    return done


def sent(done, kind):
    found = [action for action in done if isinstance(action, actions.Send)]
    return [action for action in found if isinstance(action.message, kind)]


def test_unanswered_member_is_suspected_then_taken_for_dead(vm):
    done = tick_until(vm, 12.0)
    changes = [one.status for one in done if isinstance(one, actions.StatusChanged)]
    assert changes == [SUSPECT, DEAD]


def test_answer_of_another_life_is_no_answer(vm):
    done = []
    for step in range(40):
        made = vm.tick(step / 10)
        for send in sent(made, messages.Ping):
            ack = messages.Ack(send.message.sequence, "vm-2", 2, 0, EMPTY)
            made += vm.handle(ack, "10.0.0.2:7000", step / 10)
        done += made
    assert [one.status for one in done if isinstance(one, actions.StatusChanged)] == [SUSPECT]


def test_another_region_is_pinged_seldom():
    life = start()
    hear(life, profiles=[profile("vm-5", region="far")])
    assert 5 <= len(sent(tick_until(life, 30.0), messages.Ping)) <= 7


def test_right_answer_is_believed(vm):
    for second in range(20):
        for send in sent(vm.tick(float(second)), messages.Ping):
            ack = messages.Ack(send.message.sequence, "vm-2", 1, 0, EMPTY)
            assert vm.handle(ack, "10.0.0.2:7000", second + 0.1) == []
    assert vm.members["vm-2"].status is messages.Status.ALIVE


def test_sequences_of_two_lives_lie_apart():
    def first(number):
        life = start(number)
        hear(life, profiles=[profile("vm-2")])
        return sent(tick_until(life, 2.0), messages.Ping)[0].message.sequence

    assert first(2) - first(1) > 1_000_000


@pytest.mark.parametrize("said", [SUSPECT, DEAD])
def test_wrong_belief_is_contradicted_each_time_it_is_heard(vm, said):
    wrong = messages.Update("vm-1", 1, 0, int(said))
    for _ in range(2):
        vm._view._queue = gossip.Queue()
        hear(vm, updates=[wrong])
        ping = sent(tick_until(vm, 1.0), messages.Ping)[0].message
        assert messages.Update("vm-1", 1, 1, 0) in ping.gossip.updates
        vm._next_period_at = 0.0
    assert vm.counts["refuted"] == 1


def test_unanswered_member_is_asked_again_and_through_others():
    life = start()
    hear(life, profiles=[profile(f"vm-{n}") for n in range(2, 9)])
    ping, again = sent(tick_until(life, 1.9), messages.Ping)[:2]
    assert again.address == ping.address
    assert again.message.sequence == ping.message.sequence
    assert len(sent(tick_until(life, 2.5, begin=2.0), messages.PingRequest)) in (0, 3)


def test_refutation_is_believed(vm):
    hear(vm, updates=[messages.Update("vm-2", 1, 0, int(DEAD))])
    hear(vm, updates=[messages.Update("vm-2", 1, 0, 0)])
    assert vm.members["vm-2"].status is DEAD
    hear(vm, updates=[messages.Update("vm-2", 1, 1, 0)])
    assert vm.members["vm-2"].status is messages.Status.ALIVE


def test_suspect_hears_of_it_with_each_ping(vm):
    suspect = messages.Update("vm-2", 1, 0, int(SUSPECT))
    hear(vm, updates=[suspect])
    vm._view._queue = gossip.Queue()
    assert suspect in sent(tick_until(vm, 1.0), messages.Ping)[0].message.gossip.updates


def test_suspicion_is_left_to_the_members_own_region(vm):
    hear(vm, profiles=[profile("vm-5", region="far")])
    vm._view._queue = gossip.Queue()
    hear(vm, updates=[messages.Update("vm-5", 1, 0, int(SUSPECT))])
    assert vm.members["vm-5"].status is messages.Status.ALIVE
    hear(vm, updates=[messages.Update("vm-5", 1, 1, 0)])
    assert len(vm._view._queue) == 0
    hear(vm, updates=[messages.Update("vm-5", 1, 1, int(DEAD))])
    assert vm.members["vm-5"].status is DEAD and len(vm._view._queue) == 1


def test_dead_member_is_asked_now_and_then(vm):
    dead = messages.Update("vm-2", 1, 0, int(DEAD))
    hear(vm, updates=[dead])
    pings = sent(tick_until(vm, 30.0), messages.Ping)
    assert 4 <= len(pings) <= 8 and dead in pings[-1].message.gossip.updates


def test_seed_that_is_not_known_is_asked_now_and_then():
    life = start(seeds=["10.0.0.9:7000"])
    hear(life, profiles=[profile("vm-2")])
    asked = sent(tick_until(life, 60.0), messages.SyncRequest)
    assert life.joined and {send.address for send in asked} == {"10.0.0.9:7000"}
    assert 3 <= len(asked) <= 7


def test_vm_that_is_asked_asks_back_but_not_for_ever(vm):
    lone = profile("vm-4")
    digests = table.Table(lone).digests
    request = messages.SyncRequest(lone, digests)
    answer, back = sent(vm.handle(request, lone.address, 20.0), messages.Message)
    assert profile("vm-2") in answer.message.gossip.profiles
    assert back.message.profile == profile("vm-1") and back.address == lone.address
    assert len(sent(vm.handle(request, lone.address, 20.1), messages.Message)) == 1


def test_replaced_life_is_told_once_and_not_trusted(vm):
    assert vm.may_act(0.0)
    (replaced,) = hear(vm, profiles=[profile("vm-1", 2)])
    assert replaced.replacement.number == 2 and not vm.may_act(0.0)
    assert hear(vm, profiles=[profile("vm-1", 3)]) == []


def test_failed_connection_is_probed_next():
    life = start()
    hear(life, profiles=[profile(f"vm-{n}") for n in range(2, 9)])
    life.tick(1.5)
    life.connection_failed("vm-7")
    assert sent(life.tick(3.0), messages.Ping)[-1].message.target == "vm-7"


def test_relay_brings_the_answer_back(vm):
    request = messages.PingRequest(77, "vm-3", 1, "vm-2", 1)
    (ping,) = vm.handle(request, "10.0.0.3:7000", 0.0)
    ack = messages.Ack(ping.message.sequence, "vm-2", 1, 0, EMPTY)
    (back,) = vm.handle(ack, "10.0.0.2:7000", 0.1)
    assert back.address == "10.0.0.3:7000" and back.message.sequence == 77


def test_long_entry_is_refused(vm):
    with pytest.raises(errors.EntryTooLargeError):
        vm.put_entry("load/vm-1", 1, b"x" * (members.MAX_ENTRY_VALUE_BYTES + 1))
