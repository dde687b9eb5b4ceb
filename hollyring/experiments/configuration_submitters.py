"""Operators' tools in the randomised run: they load, submit and publish, and race one another."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

from hollyring.configuration import (
    loader,
    objects,
    revisions,
    snapshot_writer,
    snapshots,
    store,
    submission,
)
from hollyring.experiments import configuration_simulation

OPERATORS = 3
ORGANISATIONS = 12

DIGESTS = [objects.key_digest(f"demo-key-{number}") for number in range(3 * ORGANISATIONS)]
"""Digests of all keys that are ever granted, three for each organisation."""


@dataclasses.dataclass(slots=True)
class Outcomes:
    """What became of the submissions."""

    accepted: int = 0
    lost_races: int = 0
    unknown: int = 0


@dataclasses.dataclass(slots=True)
class _Operator:
    """An operator's tool, one call at a time."""

    name: str
    machine: loader.Loader | submission.Submission | snapshot_writer.SnapshotWriter | None = None
    loaded: loader.LoadResult | None = None
    failures: int = 0


class Operators:
    """Operators' tools on a world's store.

    Parameters
    ----------
    world, rng
        Where they work, and the source of all choices.
    outcomes
        Counts what became of their submissions.
    accept
        Called with a revision and the submission that was accepted as it.
    """

    def __init__(
        self,
        world: configuration_simulation.World,
        rng: random.Random,
        outcomes: Outcomes,
        accept: Callable[[int, str], None],
    ) -> None:
        self._world = world
        self._rng = rng
        self._outcomes = outcomes
        self._accept = accept
        self._submissions = 0
        for index in range(OPERATORS):
            self._later(_Operator(f"op-{index}"))

    def _later(self, operator: _Operator, delay: float | None = None) -> None:
        wait = self._rng.uniform(0.5, 8.0) if delay is None else delay
        self._world.at(wait, lambda: self._operate(operator))

    def _operate(self, operator: _Operator) -> None:
        if operator.machine is None:
            operator.machine, operator.failures = loader.Loader(), 0
        machine = operator.machine
        if machine.call is None or operator.failures > submission.MAX_FAILED_CALLS:
            self._next(operator)
            return
        call = machine.call
        answer = self._perform(call)
        operator.failures += isinstance(answer, store.Failed)
        machine.on_answer(answer)
        self._later(operator, self._rng.uniform(0.001, 0.3))

    def _perform(self, call: store.Call) -> store.Answer:
        world, rng = self._world, self._rng
        if isinstance(call, store.Pause):
            return store.Waited()
        if not world.store.up or rng.random() < configuration_simulation.DROP:
            return store.Failed()
        if isinstance(call, store.Write) and rng.random() < configuration_simulation.DROP:
            world.at(rng.uniform(0.1, 3.0), lambda: self._write_late(call))
            return store.Failed()
        answer = world.store.perform(call)
        if isinstance(call, store.Write) and isinstance(answer, store.Written):
            world.appeared(call.key)
        return store.Failed() if rng.random() < configuration_simulation.DROP else answer

    def _write_late(self, call: store.Write) -> None:
        # The store refuses what it is sent while it is down.
        world = self._world
        if world.store.up and isinstance(world.store.perform(call), store.Written):
            world.appeared(call.key)

    def _next(self, operator: _Operator) -> None:
        """Go on to the operator's next machine."""
        machine, operator.machine, operator.failures = operator.machine, None, 0
        match machine:
            case loader.Loader() if machine.result is not None:
                operator.loaded = machine.result
                operator.machine = self._submission(operator, machine.result)
            case submission.Submission():
                operator.machine = self._settled(operator, machine)
        self._later(operator, None if operator.machine is None else 0.01)

    def _submission(
        self, operator: _Operator, loaded: loader.LoadResult
    ) -> submission.Submission | None:
        base = loaded.configuration
        # The tool asks the VMs first, so that it does not submit to a store that lost revisions.
        if any(vm.target.revision > base.revision for vm in self._world.vms.values()):
            return None
        self._submissions += 1
        number = self._rng.randrange(ORGANISATIONS)
        name = f"o-{number}"
        identity = objects.Identity("organisation", name)
        if base.get(identity) is not None and self._rng.random() < 0.2:
            change = submission.Plan(base, (), (identity,))
        else:
            key = objects.Key("k", self._rng.choice(DIGESTS[3 * number : 3 * number + 3]))
            rate = float(self._rng.randrange(1, 1000))
            item = objects.Organisation(name, rate, 40_000, keys=(key,))
            change = submission.Plan(base, (item,), ())
        return submission.Submission(change, f"{operator.name}/{self._submissions}", operator.name)

    def _settled(
        self, operator: _Operator, machine: submission.Submission
    ) -> snapshot_writer.SnapshotWriter | None:
        match machine.outcome:
            case submission.Accepted(revision):
                self._outcomes.accepted += 1
                self._accept(revision, revisions.decode(machine.value).submission)
                return self._publication(operator, machine.value)
            case submission.Rejected():
                self._outcomes.lost_races += 1
                mine = revisions.decode(machine.value)
                held = self._world.store.entries.get(revisions.key(mine.revision), (b"", 0))[0]
                self._world.checks.check(
                    "lost_submission_changed_nothing", held != machine.value, mine.submission
                )
            case _:
                self._outcomes.unknown += 1
        return None

    def _publication(
        self, operator: _Operator, value: bytes
    ) -> snapshot_writer.SnapshotWriter | None:
        loaded = operator.loaded
        assert loaded is not None
        configuration = revisions.apply(loaded.configuration, value)
        found = loaded.pointer
        pointer = snapshots.decode_pointer(found.value) if found else None
        if not snapshots.is_due(configuration.revision, pointer):
            return None
        return snapshot_writer.SnapshotWriter(configuration, value, found)
