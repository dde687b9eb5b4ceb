import random

import pytest

from hollyring.configuration import replica, revisions, snapshot_writer, store, store_sync
from hollyring.configuration.tests import conftest
from hollyring.core import invariants


class Machine:
    """A VM and its follower on a store, driven call by call."""

    def __init__(self, memory):
        self.memory = memory
        self.now = 0.0
        self.target = replica.Replica(invariants.Invariants(), 0.0)
        self.follower = store_sync.StoreSync(self.target, 7, 0.0)

    def step(self):
        call = self.follower.call
        answer = self.memory.perform(call)
        match call, answer:
            case store.Pause(seconds), _:
                self.wait(seconds)
            case store.Watch(_, seconds), store.Absent():
                self.wait(seconds)
            case _:
                self.wait(0.01)
        self.follower.on_answer(answer, self.now)

    def wait(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + replica.TICK_SECONDS)
            self.target.tick(self.now, [], 1)

    def until(self, condition, steps=400):
        for _ in range(steps):
            if condition():
                return
            self.step()
        raise AssertionError("condition never held")


def grow(memory, count):
    values, last = conftest.chain(count)
    for index, value in enumerate(values):
        memory.perform(store.Write(revisions.key(index + 1), value))
    return values, last


@pytest.fixture
def machine(memory):
    grow(memory, 5)
    machine = Machine(memory)
    machine.until(lambda: machine.target.caught_up)
    return machine


def test_starting_vm_reads_the_store(machine):
    assert machine.target.revision == 5
    assert machine.target.admission(machine.now) == replica.Admission.ADMITS


def test_starting_vm_reads_a_snapshot_in_few_calls(memory):
    values, last = grow(memory, 200)
    conftest.run(snapshot_writer.SnapshotWriter(last, values[-1], None), memory)
    memory.calls = 0
    machine = Machine(memory)
    machine.until(lambda: machine.target.caught_up)
    assert machine.target.revision == 200
    assert memory.calls <= 4 + 8  # the pauses left to peers are no calls on the store


def test_new_revision_is_in_force_after_one_watch(machine, memory):
    grow(memory, 6)
    machine.until(lambda: machine.target.revision == 6, steps=2)


def test_store_outage_is_waited_out(machine, memory):
    memory.down = True
    for _ in range(30):
        machine.step()
    assert machine.target.admission(machine.now) == replica.Admission.SILENT
    memory.down = False
    grow(memory, 7)
    machine.until(lambda: machine.target.admission(machine.now) == replica.Admission.ADMITS)
    assert machine.target.revision == 7


@pytest.mark.parametrize("left", [0, 2, 4])
def test_store_that_comes_back_older_is_told_and_given_back_what_it_lost(machine, memory, left):
    memory.down = True
    machine.until(lambda: machine.now > 20)
    values = {number: memory.values[revisions.key(number)][0] for number in range(1, 6)}
    for number in range(left + 1, 6):
        del memory.values[revisions.key(number)]
    memory.down = False
    machine.until(lambda: replica.Alarm.STORE_OLDER in machine.target.alarms)
    assert machine.target.revision == 5
    machine.until(lambda: replica.Alarm.STORE_OLDER not in machine.target.alarms)
    assert {n: memory.values[revisions.key(n)][0] for n in range(1, 6)} == values


def test_gap_before_the_revision_in_force_is_filled(machine, memory):
    values = {number: memory.values[revisions.key(number)][0] for number in range(1, 6)}
    for number in (2, 3, 4):
        del memory.values[revisions.key(number)]
    machine.until(lambda: all(revisions.key(number) in memory.values for number in values))
    assert {n: memory.values[revisions.key(n)][0] for n in values} == values


def test_many_lost_revisions_are_given_back_to_a_store_that_often_fails(memory):
    grow(memory, 200)
    machine = Machine(memory)
    machine.until(lambda: machine.target.caught_up)
    memory.values = {key: memory.values[key] for key in map(revisions.key, range(1, 11))}
    memory.losses = random.Random(1)
    machine.until(lambda: len(memory.values) == 200, steps=3_000)


def test_older_store_is_found_without_an_outage(machine, memory):
    del memory.values[revisions.key(5)]
    machine.until(lambda: revisions.key(5) in memory.values)
    assert machine.now < store_sync.VERIFY_INTERVAL_SECONDS * 2


def test_store_with_another_history_is_told_and_left_alone(machine, memory):
    values, base = conftest.chain(3)
    other = revisions.encode_next(base, "raced", (), ())
    memory.down = True
    machine.until(lambda: machine.now > 20)
    memory.values = {key: memory.values[key] for key in map(revisions.key, (1, 2, 3))}
    memory.values[revisions.key(4)] = (other, 99)
    memory.down = False
    machine.until(lambda: replica.Alarm.DIVERGED in machine.target.alarms)
    for _ in range(50):
        machine.step()
    assert machine.target.revision == 5
    assert memory.values[revisions.key(4)][0] == other


def test_unusable_revision_does_not_spin(machine, memory):
    memory.values[revisions.key(6)] = (b"{}", 99)
    start, memory.calls = machine.now, 0
    for _ in range(40):
        machine.step()
    assert replica.Alarm.UNUSABLE in machine.target.alarms
    assert memory.calls / (machine.now - start) < 1


def test_failing_store_is_not_hammered(machine, memory):
    memory.down = True
    start, memory.calls = machine.now, 0
    for _ in range(100):
        machine.step()
    assert memory.calls / 2 / (machine.now - start) < 2  # half of the steps are pauses
