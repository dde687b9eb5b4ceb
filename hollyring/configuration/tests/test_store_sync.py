import random

import pytest

from hollyring.configuration import replica, revisions, snapshot_writer, store, store_sync
from hollyring.configuration.tests import conftest
from hollyring.core import invariants


class SimulatedVM:
    """A replica and its `StoreSync`, run call by call against a fake store in simulated time."""

    def __init__(self, fake_store):
        self.fake_store = fake_store
        self.now = 0.0
        self.replica = replica.Replica(invariants.Invariants(), 0.0)
        self.sync = store_sync.StoreSync(self.replica, 7, 0.0)

    def step(self):
        call = self.sync.call
        answer = self.fake_store.perform(call)
        match call, answer:
            case store.Pause(seconds), _:
                self.wait(seconds)
            case store.Watch(_, seconds), store.Absent():
                self.wait(seconds)
            case _:
                self.wait(0.01)
        self.sync.on_answer(answer, self.now)

    def wait(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + replica.TICK_SECONDS)
            self.replica.tick(self.now, [], 1)

    def until(self, condition, steps=400):
        for _ in range(steps):
            if condition():
                return
            self.step()
        raise AssertionError("condition was never true")


def store_revisions(fake_store, count):
    values, last = conftest.encode_revisions(count)
    for index, value in enumerate(values):
        fake_store.perform(store.Write(revisions.key(index + 1), value))
    return values, last


@pytest.fixture
def simulated_vm(fake_store):
    store_revisions(fake_store, 5)
    simulated_vm = SimulatedVM(fake_store)
    simulated_vm.until(lambda: simulated_vm.replica.caught_up)
    return simulated_vm


def test_starting_vm_loads_from_store(simulated_vm):
    assert simulated_vm.replica.revision == 5
    assert simulated_vm.replica.admission(simulated_vm.now) == replica.Admission.ADMITS


def test_starting_vm_loads_snapshot_with_few_calls(fake_store):
    values, last = store_revisions(fake_store, 200)
    conftest.run(snapshot_writer.SnapshotWriter(last, values[-1], None), fake_store)
    fake_store.calls = 0
    simulated_vm = SimulatedVM(fake_store)
    simulated_vm.until(lambda: simulated_vm.replica.caught_up)
    assert simulated_vm.replica.revision == 200
    assert fake_store.calls <= 4 + 8  # 8 for pauses while waiting for peers


def test_new_revision_is_applied_after_one_watch(simulated_vm, fake_store):
    store_revisions(fake_store, 6)
    simulated_vm.until(lambda: simulated_vm.replica.revision == 6, steps=2)


def test_vm_resumes_after_store_outage(simulated_vm, fake_store):
    fake_store.down = True
    for _ in range(30):
        simulated_vm.step()
    assert simulated_vm.replica.admission(simulated_vm.now) == replica.Admission.SILENT
    fake_store.down = False
    store_revisions(fake_store, 7)
    simulated_vm.until(
        lambda: simulated_vm.replica.admission(simulated_vm.now) == replica.Admission.ADMITS
    )
    assert simulated_vm.replica.revision == 7


@pytest.mark.parametrize("left", [0, 2, 4])
def test_lost_revisions_are_restored_to_older_store(simulated_vm, fake_store, left):
    fake_store.down = True
    simulated_vm.until(lambda: simulated_vm.now > 20)
    values = {number: fake_store.values[revisions.key(number)][0] for number in range(1, 6)}
    for number in range(left + 1, 6):
        del fake_store.values[revisions.key(number)]
    fake_store.down = False
    simulated_vm.until(lambda: replica.Alarm.STORE_OLDER in simulated_vm.replica.alarms)
    assert simulated_vm.replica.revision == 5
    simulated_vm.until(lambda: replica.Alarm.STORE_OLDER not in simulated_vm.replica.alarms)
    assert {n: fake_store.values[revisions.key(n)][0] for n in range(1, 6)} == values


def test_missing_revisions_before_the_current_one_are_restored(simulated_vm, fake_store):
    values = {number: fake_store.values[revisions.key(number)][0] for number in range(1, 6)}
    for number in (2, 3, 4):
        del fake_store.values[revisions.key(number)]
    simulated_vm.until(lambda: all(revisions.key(number) in fake_store.values for number in values))
    assert {n: fake_store.values[revisions.key(n)][0] for n in values} == values


def test_many_lost_revisions_are_restored_to_unreliable_store(fake_store):
    store_revisions(fake_store, 200)
    simulated_vm = SimulatedVM(fake_store)
    simulated_vm.until(lambda: simulated_vm.replica.caught_up)
    fake_store.values = {key: fake_store.values[key] for key in map(revisions.key, range(1, 11))}
    fake_store.random_failures = random.Random(1)
    simulated_vm.until(lambda: len(fake_store.values) == 200, steps=3_000)


def test_older_store_is_detected_without_outage(simulated_vm, fake_store):
    del fake_store.values[revisions.key(5)]
    simulated_vm.until(lambda: revisions.key(5) in fake_store.values)
    assert simulated_vm.now < store_sync.VERIFY_INTERVAL_SECONDS * 2


def test_diverged_store_raises_alarm_and_is_not_overwritten(simulated_vm, fake_store):
    values, base = conftest.encode_revisions(3)
    other = revisions.encode_next(base, "raced", (), ())
    fake_store.down = True
    simulated_vm.until(lambda: simulated_vm.now > 20)
    fake_store.values = {key: fake_store.values[key] for key in map(revisions.key, (1, 2, 3))}
    fake_store.values[revisions.key(4)] = (other, 99)
    fake_store.down = False
    simulated_vm.until(lambda: replica.Alarm.DIVERGED in simulated_vm.replica.alarms)
    for _ in range(50):
        simulated_vm.step()
    assert simulated_vm.replica.revision == 5
    assert fake_store.values[revisions.key(4)][0] == other


def test_unusable_revision_does_not_cause_busy_loop(simulated_vm, fake_store):
    fake_store.values[revisions.key(6)] = (b"{}", 99)
    start, fake_store.calls = simulated_vm.now, 0
    for _ in range(40):
        simulated_vm.step()
    assert replica.Alarm.UNUSABLE in simulated_vm.replica.alarms
    assert fake_store.calls / (simulated_vm.now - start) < 1


def test_failing_store_is_called_at_limited_rate(simulated_vm, fake_store):
    fake_store.down = True
    start, fake_store.calls = simulated_vm.now, 0
    for _ in range(100):
        simulated_vm.step()
    assert fake_store.calls / 2 / (simulated_vm.now - start) < 2  # half of the steps are pauses
