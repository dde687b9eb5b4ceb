import random

import pytest

from hollyring.membership import actions, errors, gossip, members, messages, table

EMPTY = messages.Gossip([], [], [])
DEAD, SUSPECT = messages.Status.DEAD, messages.Status.SUSPECT


def profile(name, incarnation=1, region="r"):
    address = f"10.0.0.{name[-1]}:7000"
    return messages.Profile(name, incarnation, address, address, "fd", region)


def make_members(incarnation=1, seeds=()):
    return members.Members(profile("vm-1", incarnation), list(seeds), random.Random(1), now=0.0)


@pytest.fixture
def vm():
    """A VM with one other member and an empty gossip queue."""
    started = make_members()
    deliver(started, profiles=[profile("vm-2")])
    started._view._queue = gossip.Queue()
    return started


def deliver(vm, profiles=(), updates=(), now=0.0):
    payload = messages.Gossip(list(profiles), list(updates), [])
    sync = messages.Sync("", 0, False, payload)
    return vm.handle(sync, "", now)


def tick_until(vm, seconds, begin=0.0):
    """Tick ten times a second; return the actions."""
    produced = []
    for step in range(int(begin * 10), int(seconds * 10) + 1):
        produced += vm.tick(step / 10)
    return produced


def sent(produced, kind):
    found = [action for action in produced if isinstance(action, actions.Send)]
    return [action for action in found if isinstance(action.message, kind)]


def test_unresponsive_member_is_suspected_then_declared_dead(vm):
    produced = tick_until(vm, 12.0)
    changes = [change.status for change in produced if isinstance(change, actions.StatusChanged)]
    assert changes == [SUSPECT, DEAD]


def test_ack_of_another_incarnation_does_not_answer_a_probe(vm):
    produced = []
    for step in range(40):
        made = vm.tick(step / 10)
        for send in sent(made, messages.Ping):
            ack = messages.Ack(send.message.sequence, "vm-2", 2, 0, EMPTY)
            made += vm.handle(ack, "10.0.0.2:7000", step / 10)
        produced += made
    assert [change.status for change in produced if isinstance(change, actions.StatusChanged)] == [
        SUSPECT
    ]


def test_other_regions_are_pinged_at_a_reduced_rate():
    vm = make_members()
    deliver(vm, profiles=[profile("vm-5", region="far")])
    assert 5 <= len(sent(tick_until(vm, 30.0), messages.Ping)) <= 7


def test_answered_member_is_not_suspected(vm):
    for second in range(20):
        for send in sent(vm.tick(float(second)), messages.Ping):
            ack = messages.Ack(send.message.sequence, "vm-2", 1, 0, EMPTY)
            assert vm.handle(ack, "10.0.0.2:7000", second + 0.1) == []
    assert vm.members["vm-2"].status is messages.Status.ALIVE


def test_sequence_numbers_of_two_incarnations_do_not_overlap():
    def first(incarnation):
        vm = make_members(incarnation)
        deliver(vm, profiles=[profile("vm-2")])
        return sent(tick_until(vm, 2.0), messages.Ping)[0].message.sequence

    assert first(2) - first(1) > 1_000_000


@pytest.mark.parametrize("status", [SUSPECT, DEAD])
def test_wrong_status_is_refuted_each_time_it_is_received(vm, status):
    wrong = messages.Update("vm-1", 1, 0, int(status))
    for _ in range(2):
        vm._view._queue = gossip.Queue()
        deliver(vm, updates=[wrong])
        ping = sent(tick_until(vm, 1.0), messages.Ping)[0].message
        assert messages.Update("vm-1", 1, 1, 0) in ping.gossip.updates
        vm._next_period_at = 0.0
    assert vm.counts["refuted"] == 1


def test_unanswered_ping_is_repeated_and_followed_by_indirect_probes():
    """Between 2.0 and 2.5 seconds, indirect probes may be due for one ping or for none."""
    vm = make_members()
    deliver(vm, profiles=[profile(f"vm-{n}") for n in range(2, 9)])
    ping, again = sent(tick_until(vm, 1.9), messages.Ping)[:2]
    assert again.address == ping.address
    assert again.message.sequence == ping.message.sequence
    assert len(sent(tick_until(vm, 2.5, begin=2.0), messages.PingRequest)) in (0, 3)


def test_refutation_overrides_dead_status(vm):
    deliver(vm, updates=[messages.Update("vm-2", 1, 0, int(DEAD))])
    deliver(vm, updates=[messages.Update("vm-2", 1, 0, 0)])
    assert vm.members["vm-2"].status is DEAD
    deliver(vm, updates=[messages.Update("vm-2", 1, 1, 0)])
    assert vm.members["vm-2"].status is messages.Status.ALIVE


def test_suspect_receives_its_suspicion_with_each_ping(vm):
    suspect = messages.Update("vm-2", 1, 0, int(SUSPECT))
    deliver(vm, updates=[suspect])
    vm._view._queue = gossip.Queue()
    assert suspect in sent(tick_until(vm, 1.0), messages.Ping)[0].message.gossip.updates


def test_suspicion_of_a_member_of_another_region_is_ignored(vm):
    deliver(vm, profiles=[profile("vm-5", region="far")])
    vm._view._queue = gossip.Queue()
    deliver(vm, updates=[messages.Update("vm-5", 1, 0, int(SUSPECT))])
    assert vm.members["vm-5"].status is messages.Status.ALIVE
    deliver(vm, updates=[messages.Update("vm-5", 1, 1, 0)])
    assert len(vm._view._queue) == 0
    deliver(vm, updates=[messages.Update("vm-5", 1, 1, int(DEAD))])
    assert vm.members["vm-5"].status is DEAD and len(vm._view._queue) == 1


def test_dead_member_is_pinged_occasionally(vm):
    dead = messages.Update("vm-2", 1, 0, int(DEAD))
    deliver(vm, updates=[dead])
    pings = sent(tick_until(vm, 30.0), messages.Ping)
    assert 4 <= len(pings) <= 8 and dead in pings[-1].message.gossip.updates


def test_seed_outside_the_table_is_contacted_occasionally():
    vm = make_members(seeds=["10.0.0.9:7000"])
    deliver(vm, profiles=[profile("vm-2")])
    asked = sent(tick_until(vm, 60.0), messages.SyncRequest)
    assert vm.joined and {send.address for send in asked} == {"10.0.0.9:7000"}
    assert 3 <= len(asked) <= 7


def test_sync_request_is_reciprocated_only_once(vm):
    requester = profile("vm-4")
    digests = table.Table(requester).digests
    request = messages.SyncRequest(requester, digests)
    answer, back = sent(vm.handle(request, requester.address, 20.0), messages.Message)
    assert profile("vm-2") in answer.message.gossip.profiles
    assert back.message.profile == profile("vm-1") and back.address == requester.address
    assert len(sent(vm.handle(request, requester.address, 20.1), messages.Message)) == 1


def test_replaced_vm_is_notified_once_and_may_not_act(vm):
    assert vm.may_act(0.0)
    (replaced,) = deliver(vm, profiles=[profile("vm-1", 2)])
    assert replaced.replacement.number == 2 and not vm.may_act(0.0)
    assert deliver(vm, profiles=[profile("vm-1", 3)]) == []


def test_failed_connection_is_probed_next():
    vm = make_members()
    deliver(vm, profiles=[profile(f"vm-{n}") for n in range(2, 9)])
    vm.tick(1.5)
    vm.connection_failed("vm-7")
    assert sent(vm.tick(3.0), messages.Ping)[-1].message.target == "vm-7"


def test_relayed_ack_is_returned_to_the_requester(vm):
    request = messages.PingRequest(77, "vm-3", 1, "vm-2", 1)
    (ping,) = vm.handle(request, "10.0.0.3:7000", 0.0)
    ack = messages.Ack(ping.message.sequence, "vm-2", 1, 0, EMPTY)
    (back,) = vm.handle(ack, "10.0.0.2:7000", 0.1)
    assert back.address == "10.0.0.3:7000" and back.message.sequence == 77


def test_entry_above_the_size_limit_is_rejected(vm):
    with pytest.raises(errors.EntryTooLargeError):
        vm.put_entry("load/vm-1", 1, b"x" * (members.MAX_ENTRY_VALUE_BYTES + 1))
