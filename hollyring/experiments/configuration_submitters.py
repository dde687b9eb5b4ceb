"""Concurrent submitters of changes for the simulation of the configuration."""

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

SUBMITTER_COUNT = 3
ORGANISATION_COUNT = 12

KEY_DIGESTS = [objects.key_digest(f"demo-key-{number}") for number in range(3 * ORGANISATION_COUNT)]
"""Digests of all API keys in the run, three per organisation."""


@dataclasses.dataclass(slots=True)
class Outcomes:
    """Number of submissions by outcome."""

    accepted: int = 0
    lost_races: int = 0
    unknown: int = 0


@dataclasses.dataclass(slots=True)
class _Submitter:
    """A client that loads the configuration, submits a change and writes a snapshot when due."""

    name: str
    task: loader.Loader | submission.Submission | snapshot_writer.SnapshotWriter | None = None
    loaded: loader.LoadResult | None = None
    failed_calls: int = 0


class Submitters:
    """Clients that submit concurrent changes to the simulated store.

    Parameters
    ----------
    simulation
        The simulation with the store and the event queue.
    rng
        Source of all random choices.
    outcomes
        Counters of outcomes, updated in place.
    on_accepted
        Called with a revision and the identifier of the submission accepted for it.
    """

    def __init__(
        self,
        simulation: configuration_simulation.Simulation,
        rng: random.Random,
        outcomes: Outcomes,
        on_accepted: Callable[[int, str], None],
    ) -> None:
        self._simulation = simulation
        self._rng = rng
        self._outcomes = outcomes
        self._on_accepted = on_accepted
        self._submissions = 0
        for index in range(SUBMITTER_COUNT):
            self._schedule(_Submitter(f"op-{index}"))

    def _schedule(self, submitter: _Submitter, delay: float | None = None) -> None:
        wait = self._rng.uniform(0.5, 8.0) if delay is None else delay
        self._simulation.schedule(wait, lambda: self._advance(submitter))

    def _advance(self, submitter: _Submitter) -> None:
        if submitter.task is None:
            submitter.task, submitter.failed_calls = loader.Loader(), 0
        task = submitter.task
        if task.call is None or submitter.failed_calls > submission.MAX_FAILED_CALLS:
            self._start_next_task(submitter)
            return
        call = task.call
        answer = self._perform(call)
        submitter.failed_calls += isinstance(answer, store.Failed)
        task.on_answer(answer)
        self._schedule(submitter, self._rng.uniform(0.001, 0.3))

    def _perform(self, call: store.Call) -> store.Answer:
        simulation, rng = self._simulation, self._rng
        if isinstance(call, store.Pause):
            return store.Waited()
        if not simulation.store.up or rng.random() < configuration_simulation.LOSS_RATE:
            return store.Failed()
        if isinstance(call, store.Write) and rng.random() < configuration_simulation.LOSS_RATE:
            simulation.schedule(rng.uniform(0.1, 3.0), lambda: self._write_delayed(call))
            return store.Failed()
        answer = simulation.store.perform(call)
        if isinstance(call, store.Write) and isinstance(answer, store.Written):
            simulation.notify_watches(call.key)
        return store.Failed() if rng.random() < configuration_simulation.LOSS_RATE else answer

    def _write_delayed(self, call: store.Write) -> None:
        # A write that arrives during an outage is lost.
        simulation = self._simulation
        if simulation.store.up and isinstance(simulation.store.perform(call), store.Written):
            simulation.notify_watches(call.key)

    def _start_next_task(self, submitter: _Submitter) -> None:
        """Start the task that follows the finished one."""
        task, submitter.task, submitter.failed_calls = submitter.task, None, 0
        match task:
            case loader.Loader() if task.result is not None:
                submitter.loaded = task.result
                submitter.task = self._create_submission(submitter, task.result)
            case submission.Submission():
                submitter.task = self._record_outcome(submitter, task)
        self._schedule(submitter, None if submitter.task is None else 0.01)

    def _create_submission(
        self, submitter: _Submitter, loaded: loader.LoadResult
    ) -> submission.Submission | None:
        base = loaded.configuration
        # As the operators' tool does, the submitter first compares with the VMs, so that it doesn't
        # submit to a store that lost revisions.
        if any(vm.state.revision > base.revision for vm in self._simulation.vms.values()):
            return None
        self._submissions += 1
        number = self._rng.randrange(ORGANISATION_COUNT)
        name = f"o-{number}"
        identity = objects.Identity("organisation", name)
        if base.get(identity) is not None and self._rng.random() < 0.2:
            change = submission.Plan(base, (), (identity,))
        else:
            key = objects.Key("k", self._rng.choice(KEY_DIGESTS[3 * number : 3 * number + 3]))
            rate = float(self._rng.randrange(1, 1000))
            item = objects.Organisation(name, rate, 40_000, keys=(key,))
            change = submission.Plan(base, (item,), ())
        return submission.Submission(
            change, f"{submitter.name}/{self._submissions}", submitter.name
        )

    def _record_outcome(
        self, submitter: _Submitter, task: submission.Submission
    ) -> snapshot_writer.SnapshotWriter | None:
        match task.outcome:
            case submission.Accepted(revision):
                self._outcomes.accepted += 1
                self._on_accepted(revision, revisions.decode(task.value).submission)
                return self._create_snapshot_writer(submitter, task.value)
            case submission.Rejected():
                self._outcomes.lost_races += 1
                own = revisions.decode(task.value)
                held = self._simulation.store.entries.get(revisions.key(own.revision), (b"", 0))[0]
                self._simulation.checks.check(
                    "lost_submission_changed_nothing", held != task.value, own.submission
                )
            case _:
                self._outcomes.unknown += 1
        return None

    def _create_snapshot_writer(
        self, submitter: _Submitter, value: bytes
    ) -> snapshot_writer.SnapshotWriter | None:
        loaded = submitter.loaded
        assert loaded is not None
        configuration = revisions.apply(loaded.configuration, value)
        stored_pointer = loaded.pointer
        pointer = snapshots.decode_pointer(stored_pointer.value) if stored_pointer else None
        if not snapshots.is_due(configuration.revision, pointer):
            return None
        return snapshot_writer.SnapshotWriter(configuration, value, stored_pointer)
