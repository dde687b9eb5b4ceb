import pytest

from hollyring.configuration import (
    gossip,
    loader,
    messages,
    objects,
    replica,
    revision_log,
    revisions,
    state,
)
from hollyring.configuration.tests import conftest
from hollyring.core import invariants

PEERS = ["vm-1", "vm-2", "vm-3", "vm-4"]


def new_replica(now=0.0):
    return replica.Replica(invariants.Invariants(), now)


def deliver(vms, now, sends):
    """Deliver messages between VMs until none is left; return how many there were."""
    count = 0
    while sends:
        sender, send = sends.pop(0)
        count += 1
        answers = vms[send.to].on_message(sender, send.message, now) if send.to in vms else []
        sends += [(send.to, answer) for answer in answers]
    return count


def test_revision_is_not_applied_without_its_predecessor(vm):
    values, _ = conftest.encode_revisions(6)
    vm.on_value(values[4], 1.0)
    assert vm.revision == 3
    assert replica.Alarm.DIVERGED in vm.alarms


def test_older_revision_is_ignored(vm):
    vm.on_value(conftest.encode_revisions(1)[0][0], 1.0)
    assert vm.revision == 3
    assert vm.alarms == {}


def test_revision_of_diverged_history_raises_alarm(vm):
    _, other = conftest.encode_revisions(2)
    other = revisions.apply(other, revisions.encode_next(other, "x", (), ()))
    vm.on_value(revisions.encode_next(other, "y", (), ()), 1.0)
    assert vm.revision == 3
    assert "digest of the previous revision differs" in vm.alarms[replica.Alarm.DIVERGED]


def test_different_value_of_applied_revision_raises_alarm(vm):
    _, other = conftest.encode_revisions(2)
    vm.on_value(revisions.encode_next(other, "x", (), ()), 1.0)
    assert "revision 3 differs" in vm.alarms[replica.Alarm.DIVERGED]


def test_revision_with_wrong_content_hash_is_rejected(vm):
    value = revisions.encode_next(vm.configuration, "s", (conftest.organisation("o-9"),), ())
    vm.on_value(value.replace(b'"o-9"', b'"o-8"'), 1.0)
    assert vm.revision == 3
    assert replica.Alarm.UNUSABLE in vm.alarms


def test_revision_of_unknown_format_raises_alarm(vm):
    vm.on_value(b'{"revision": 4, "colour": "red"}', 1.0)
    assert vm.revision == 3
    assert replica.Alarm.UNUSABLE in vm.alarms


def test_silent_vm_does_not_admit_until_caught_up(vm):
    edge = replica.SILENCE_TIMEOUT_SECONDS
    for second in range(int(edge)):
        vm.tick(float(second), [], 1)
    assert vm.admission(edge) == replica.Admission.ADMITS
    assert vm.admission(edge + 0.1) == replica.Admission.SILENT
    vm.on_message("vm-1", messages.Digest(4, "later", False), edge + 0.2)
    assert vm.admission(edge + 0.2) == replica.Admission.CATCHING_UP
    vm.on_message("vm-1", messages.Deltas(3, [conftest.encode_revisions(4)[0][3]]), edge + 0.3)
    assert vm.revision == 4
    assert vm.admission(edge + 0.3) == replica.Admission.ADMITS


def test_vm_is_silent_directly_after_a_pause(vm):
    assert vm.admission(1000.0) == replica.Admission.SILENT


def test_vm_does_not_admit_on_messages_received_during_a_pause(vm):
    digest = messages.Digest(3, vm.configuration.digest, False)
    vm.on_store_current(3, 1.0, 61.0)  # requested before the pause
    vm.on_message("vm-1", digest, 61.0)
    assert vm.admission(61.0) == replica.Admission.CATCHING_UP
    vm.on_message("vm-1", digest, 61.0 + replica.BACKLOG_SECONDS)
    assert vm.admission(62.0) == replica.Admission.ADMITS


def test_vm_admits_when_store_confirms_after_a_pause(vm):
    vm.tick(61.0, PEERS, 1)
    vm.on_store_current(3, 61.0, 61.1)
    assert vm.admission(61.1) == replica.Admission.ADMITS


def test_vm_admits_on_peer_contact_during_store_outage(vm):
    now = 0.0
    for _ in range(60):
        now += 1.0
        vm.on_message("vm-1", messages.Digest(3, vm.configuration.digest, False), now)
    assert vm.admission(now) == replica.Admission.ADMITS


def test_peers_replicate_change_as_delta(vm):
    other = new_replica()
    values, _ = conftest.encode_revisions(4)
    for value in values:
        other.on_value(value, 0.0)
    vms = {"vm-0": vm, "vm-1": other}
    deliver(vms, 1.0, [("vm-0", send) for send in vm.tick(1.0, ["vm-1"], 5)])
    assert vm.configuration.digest == other.configuration.digest
    assert vm.dump(1.0)["from_peers"] == 1


def test_vm_far_behind_gets_snapshot(vm):
    other = new_replica()
    for value in conftest.encode_revisions(600)[0]:
        other.on_value(value, 0.0)
    assert other.dump(0.0)["oldest_retained"] > 4
    vms = {"vm-0": vm, "vm-1": other}
    deliver(vms, 1.0, [("vm-0", send) for send in vm.tick(1.0, ["vm-1"], 5)])
    assert vm.configuration.digest == other.configuration.digest
    assert vm.configuration.content == other.configuration.content


def test_load_from_older_store_is_ignored(vm):
    values, older = conftest.encode_revisions(2)
    log = revision_log.RevisionLog()
    log.reset(2, values[1])
    vm.on_loaded(loader.LoadResult(older, log, None), 0.5, 1.0)
    assert vm.revision == 3


def test_starting_vm_fetches_highest_revision_of_several_peers():
    vms = {"vm-0": new_replica()}
    for index, count in enumerate([3, 5, 4]):
        vms[f"vm-{index + 1}"] = new_replica()
        for value in conftest.encode_revisions(count)[0]:
            vms[f"vm-{index + 1}"].on_value(value, 0.0)
    sends = [("vm-0", send) for send in vms["vm-0"].tick(0.0, PEERS[:3], 5)]
    deliver(vms, 0.0, sends)
    assert vms["vm-0"].revision == 5


def test_starting_vm_waits_for_store_before_peers_suffice():
    starting = new_replica()
    starting.tick(0.0, ["vm-1"], 1)
    values, last = conftest.encode_revisions(2)
    starting.on_message("vm-1", messages.Digest(2, last.digest, False), 0.1)
    starting.on_message("vm-1", messages.Deltas(0, values), 0.2)
    assert starting.admission(0.2) == replica.Admission.CATCHING_UP
    starting.on_message("vm-1", messages.Digest(2, last.digest, False), 3.1)
    assert starting.admission(3.1) == replica.Admission.ADMITS


def test_vm_without_configuration_does_not_admit():
    assert new_replica().admission(0.0) == replica.Admission.NOT_CONFIGURED


def test_snapshot_with_wrong_content_hash_is_rejected():
    starting = new_replica()
    values, last = conftest.encode_revisions(2)
    body = b"[" + objects.encode(conftest.organisation("intruder")) + b"]"
    starting.on_message("vm-1", messages.Segment(2, values[-1], 0, 1, body), 0.1)
    assert starting.revision == 0
    assert replica.Alarm.UNUSABLE in starting.alarms


def test_key_is_revoked_by_the_revision(vm):
    key = objects.Key("till", objects.key_digest("demo"))
    granted = objects.Organisation("o-1", 100.0, 40_000, keys=(key,))
    withdrawn = objects.Organisation("o-1", 100.0, 40_000)
    vm.on_value(revisions.encode_next(vm.configuration, "a", (granted,), ()), 1.0)
    assert vm.configuration.organisation_for_key(key.digest) == granted
    vm.on_value(revisions.encode_next(vm.configuration, "b", (withdrawn,), ()), 2.0)
    assert vm.configuration.organisation_for_key(key.digest) is None


@pytest.mark.parametrize("fleet", [9, 90, 360])
def test_messages_per_tick_do_not_grow_with_fleet_size(vm, fleet):
    peers = [f"vm-{index}" for index in range(1, fleet)]
    assert len(vm.tick(1.0, peers, 7)) == gossip.TICK_PEERS
    value = revisions.encode_next(vm.configuration, "a", (), ())
    assert len(vm.on_value(value, 2.0)) == gossip.PUSH_PEERS


def test_dump_contains_no_key_digest(vm):
    digest = objects.key_digest("demo")
    granted = objects.Organisation("o-1", 1.0, 40_000, keys=(objects.Key("till", digest),))
    vm.on_value(revisions.encode_next(vm.configuration, "a", (granted,), ()), 1.0)
    assert digest not in str(vm.dump(1.0))


def test_equal_revisions_have_equal_configurations():
    _, one = conftest.encode_revisions(7)
    two = state.Configuration()
    for value in conftest.encode_revisions(7)[0]:
        two = revisions.apply(two, value)
    assert (one.digest, one.content) == (two.digest, two.content)
    assert list(one.items()) == list(two.items())
