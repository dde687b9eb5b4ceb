import dataclasses
import random

import pytest

from hollyring.configuration import objects, replica, revisions, state, store
from hollyring.core import invariants


@dataclasses.dataclass
class FakeStore:
    """In-memory store with faults: outages, lost answers, and lost or replaced values."""

    values: dict = dataclasses.field(default_factory=dict)
    counter: int = 0
    down: bool = False
    lose_answers: int = 0
    calls: int = 0
    random_failures: random.Random | None = None

    def perform(self, call):
        self.calls += 1
        if self.down or (self.random_failures and self.random_failures.random() < 0.1):
            return store.Failed()
        answer = self._perform(call)
        if self.lose_answers and not isinstance(call, store.Pause):
            self.lose_answers -= 1
            return store.Failed()
        return answer

    def _perform(self, call):
        match call:
            case store.Read(key) | store.Watch(key):
                entry = self.values.get(key)
                return store.Found(*entry) if entry else store.Absent()
            case store.Write(key, value, version):
                if self.values.get(key, (b"", 0))[1] != version:
                    return store.Conflict()
                self.counter += 1
                self.values[key] = (value, self.counter)
                return store.Written()
            case store.Delete(key):
                return store.Written() if self.values.pop(key, None) else store.Absent()
            case _:
                return store.Waited()


def organisation(name, rate=100.0):
    return objects.Organisation(name, rate, 40_000)


def encode_revisions(count, configuration=None):
    """Return the stored values of `count` further revisions, and the resulting configuration."""
    configuration = configuration or state.Configuration()
    values = []
    for _ in range(count):
        number = configuration.revision + 1
        put = (organisation(f"o-{number % 5}", float(number)),)
        values.append(revisions.encode_next(configuration, f"s-{number}", put, ()))
        configuration = revisions.apply(configuration, values[-1])
    return values, configuration


def run(task, fake_store):
    """Run a `Loader`, `Submission` or `SnapshotWriter` until it makes no more calls."""
    while task.call is not None:
        task.on_answer(fake_store.perform(task.call))


@pytest.fixture
def fake_store():
    return FakeStore()


@pytest.fixture
def vm():
    """Replica at revision 3 that the store has confirmed at time 0."""
    target = replica.Replica(invariants.Invariants(), 0.0)
    for value in encode_revisions(3)[0]:
        target.on_value(value, 0.0)
    target.on_store_current(3, 0.0, 0.0)
    return target
