"""Simulation of claims on a few VMs that are connected by a list of messages in flight.

The caller of the simulation applies one choice at a time: the delivery of a message, a tick or a
fault. The invariants are checked after each choice.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

from hollyring.core import execution, identities, invariants
from hollyring.delivery import calls, claim_log, claims, messages, records, refusal, storage

GROUPS = 2
FAR_FUTURE = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller, with its idempotency key and body."""

    key: bytes
    body: bytes


@dataclasses.dataclass(slots=True)
class Envelope:
    """A message in flight from or to one incarnation of a VM.

    Parameters
    ----------
    vm, incarnation
        Index of the VM and number of its incarnation.
    message
        Request or response.
    group
        Claim log that sent the request, for requests to the store.
    awaited
        Whether the sender still waits for the response. A message that is not awaited may still
        take effect, but its response is dropped.
    """

    vm: int
    incarnation: int
    message: Message
    group: int = 0
    awaited: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A call in flight to the upstream."""

    sequence: int
    key: bytes
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """The upstream's answer in flight."""

    sequence: int
    answer: messages.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerAnswer:
    """The answer in flight from the VM that owns a claim."""

    sequence: int
    answer: messages.ClaimAnswer


RequestMessage = (
    storage.ReadValue | storage.PutValue | calls.AskOwner | calls.Dispatch | UpstreamRequest
)
ResponseMessage = storage.Event | UpstreamAnswer | OwnerAnswer
Message = RequestMessage | ResponseMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """The caller sends an attempt to a VM."""

    attempt: int
    vm: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """The message at this index of the messages in flight is delivered."""

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A VM's claim log runs its timer."""

    vm: int
    group: int


@dataclasses.dataclass(frozen=True, slots=True)
class Timeout:
    """The sender of a message times out; the message may still arrive."""

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseConnection:
    """The upstream refuses the connection for this dispatch."""

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A VM crashes, loses its state and restarts."""

    vm: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deadline:
    """The deadline of a call expires."""

    vm: int
    sequence: int


Fault = Timeout | RefuseConnection | Crash | Deadline
Choice = Begin | Deliver | Tick | Fault


class VM:
    """One incarnation of a VM."""

    def __init__(self, name: str, incarnation: int, max_head_records: int) -> None:
        self.incarnation = incarnation
        self.claims = claims.Claims(
            identities.Incarnation(name, incarnation), invariants.Invariants()
        )
        self.logs = [
            claim_log.GroupLog(
                group, write_interval=0.0, max_head_records=max_head_records, max_segment_records=6
            )
            for group in range(GROUPS)
        ]


class Simulation:
    """VMs, the platform service, one upstream and the messages between them.

    Parameters
    ----------
    vms
        Number of VMs.
    max_head_records
        Number of records after which a claim log starts a segment.
    """

    def __init__(self, vms: int, max_head_records: int = claim_log.MAX_HEAD_RECORDS) -> None:
        self._max_head_records = max_head_records
        self._names = [f"vm-{number}" for number in range(vms)]
        self._vms = [VM(name, 1, max_head_records) for name in self._names]
        self._stored_values: dict[str, tuple[bytes, int]] = {}
        self._version = 0
        self._execution_counts: dict[Attempt, int] = {}
        self._invariants = invariants.Invariants()
        self._attempts: dict[int, Attempt] = {}
        self.in_flight: list[Envelope] = []
        self.pending: dict[int, list[int]] = {}
        self.outcomes: dict[str, int] = {}
        self.now = 0.0

    @property
    def checks(self) -> dict[str, dict[str, object]]:
        """Counts of checks and violations by invariant."""
        return self._invariants.dump()

    @property
    def executions(self) -> int:
        """Number of calls that the upstream ran."""
        return sum(self._execution_counts.values())

    def begin(self, number: int, attempt: Attempt, vm: int) -> None:
        """Send attempt `number` to a VM."""
        self._attempts[number] = attempt
        self.pending[number] = [vm, self._vms[vm].incarnation]
        call = calls.Call(str(number), attempt.key, attempt.body, self.now + 30.0)
        self._perform(vm, self._vms[vm].claims.begin(call, self.now, self.now))

    def steps(self) -> list[Choice]:
        """Return all choices that are not faults."""
        choices: list[Choice] = [Deliver(index) for index in range(len(self.in_flight))]
        for number, vm in enumerate(self._vms):
            due = (group for group, log in enumerate(vm.logs) if log.due is not None)
            choices += [Tick(number, group) for group in due]
        return choices

    def faults(self) -> list[Choice]:
        """Return all faults that are possible in the present state."""
        choices: list[Choice] = []
        for index, envelope in enumerate(self.in_flight):
            if isinstance(envelope.message, calls.Dispatch):
                choices.append(RefuseConnection(index))
            elif envelope.awaited:
                choices.append(Timeout(index))
        for number, vm in enumerate(self._vms):
            choices.append(Crash(number))
            choices += [Deadline(number, sequence) for sequence in vm.claims._waiting]
        return choices

    def apply(self, choice: Choice) -> None:
        """Apply a choice and check the invariants."""
        match choice:
            case Begin():
                raise TypeError("an attempt is started by `begin`, not by a choice")
            case Deliver(index):
                self._deliver(self.in_flight.pop(index))
            case Tick(number, group):
                log = self._vms[number].logs[group]
                now = max(self.now, log.due or 0.0)
                self._perform(number, log.tick(now, self.now), group)
            case Timeout(index):
                self._time_out(self.in_flight[index])
            case RefuseConnection(index):
                envelope = self.in_flight.pop(index)
                assert isinstance(envelope.message, calls.Dispatch)
                if self._is_current(envelope):
                    actions = self._vms[envelope.vm].claims.not_sent(envelope.message.sequence)
                    self._perform(envelope.vm, actions)
            case Crash(number):
                self._crash(number)
            case Deadline(number, sequence):
                self._perform(number, self._vms[number].claims.timeout(sequence, FAR_FUTURE))

    def _is_current(self, envelope: Envelope) -> bool:
        return self._vms[envelope.vm].incarnation == envelope.incarnation

    def _perform(
        self, vm: int, actions: Iterable[claim_log.Action | calls.Action], group: int = 0
    ) -> None:
        state = self._vms[vm]
        for action in actions:
            match action:
                case calls.Append(record, reread):
                    number = records.group_of(record.key, GROUPS)
                    added = state.logs[number].append(record, self.now, self.now, reread)
                    self._perform(vm, added, number)
                case calls.Reply(identity, answer):
                    self._check_reply(int(identity), answer)
                case claim_log.Granted() | claim_log.AlreadyClaimed() | claim_log.QueueFull():
                    self._perform(vm, state.claims.append_completed(action, self.now))
                case storage.DeleteValue(key, version):
                    if self._stored_values.get(key, (b"", 0))[1] == version:
                        del self._stored_values[key]
                case _:
                    self.in_flight.append(Envelope(vm, state.incarnation, action, group))

    def _deliver(self, envelope: Envelope) -> None:
        message = envelope.message
        match message:
            case storage.ReadValue(key):
                self._respond(envelope, storage.Value(key, *self._stored_values.get(key, (b"", 0))))
            case storage.PutValue():
                self._respond(envelope, self._put(message))
            case calls.Dispatch():
                self._dispatch(envelope, message)
            case calls.AskOwner(sequence, question):
                owner = self._names.index(question.owner)
                answer, actions = self._vms[owner].claims.answer_question(question)
                self._perform(owner, actions)
                self._respond(envelope, OwnerAnswer(sequence, answer))
            case UpstreamRequest(sequence, key, body):
                attempt = Attempt(key, body)
                self._execution_counts[attempt] = self._execution_counts.get(attempt, 0) + 1
                executed = sum(n for other, n in self._execution_counts.items() if other.key == key)
                self._invariants.check("at_most_once", executed <= 1, str(attempt))
                self._respond(envelope, UpstreamAnswer(sequence, messages.Answer(201, [], body)))
            case _:
                if envelope.awaited and self._is_current(envelope):
                    self._receive(envelope, message)

    def _put(self, message: storage.PutValue) -> storage.Written | storage.Conflict:
        if self._stored_values.get(message.key, (b"", 0))[1] != message.version:
            return storage.Conflict(message.key)
        self._version += 1
        self._stored_values[message.key] = (message.value, self._version)
        return storage.Written(message.key, self._version)

    def _dispatch(self, envelope: Envelope, message: calls.Dispatch) -> None:
        if not self._is_current(envelope):
            return
        allowed = self._vms[envelope.vm].claims.may_send(message.sequence, self.now, self.now)
        if not allowed:
            return
        attempt = self._attempts[int(message.request_id)]
        request = UpstreamRequest(message.sequence, attempt.key, attempt.body)
        self.in_flight.append(Envelope(envelope.vm, envelope.incarnation, request))

    def _respond(self, envelope: Envelope, message: ResponseMessage) -> None:
        if envelope.awaited and self._is_current(envelope):
            self.in_flight.append(
                Envelope(envelope.vm, envelope.incarnation, message, envelope.group)
            )

    def _receive(self, envelope: Envelope, message: Message) -> None:
        state = self._vms[envelope.vm]
        match message:
            case UpstreamAnswer(sequence, answer):
                self._perform(envelope.vm, state.claims.answer_received(sequence, answer))
            case OwnerAnswer(sequence, answer):
                actions = state.claims.owner_answered(sequence, answer, self.now)
                self._perform(envelope.vm, actions)
            case storage.Value() | storage.Written() | storage.Conflict():
                self._handle_storage_event(envelope, message)

    def _handle_storage_event(self, envelope: Envelope, event: storage.Event) -> None:
        log = self._vms[envelope.vm].logs[envelope.group]
        self._perform(envelope.vm, log.handle(event, self.now, self.now), envelope.group)

    def _time_out(self, envelope: Envelope) -> None:
        envelope.awaited = False
        state = self._vms[envelope.vm]
        if not self._is_current(envelope):
            return
        match envelope.message:
            case storage.ReadValue(key) | storage.Value(key):
                self._handle_storage_event(envelope, storage.ReadFailed(key))
            case storage.PutValue(key) | storage.Written(key) | storage.Conflict(key):
                self._handle_storage_event(envelope, storage.WriteUnconfirmed(key))
            case calls.AskOwner(sequence) | OwnerAnswer(sequence):
                actions = state.claims.owner_answered(sequence, None, self.now)
                self._perform(envelope.vm, actions)
            case UpstreamRequest(sequence) | UpstreamAnswer(sequence):
                self._perform(envelope.vm, state.claims.connection_lost(sequence))
        self.in_flight = [entry for entry in self.in_flight if entry.awaited or _has_effect(entry)]

    def _crash(self, number: int) -> None:
        old = self._vms[number]
        self._vms[number] = VM(self._names[number], old.incarnation + 1, self._max_head_records)
        self.pending = {
            attempt: sender for attempt, sender in self.pending.items() if sender[0] != number
        }
        for envelope in self.in_flight:
            if envelope.vm == number:
                envelope.awaited = False
        self.in_flight = [entry for entry in self.in_flight if entry.awaited or _has_effect(entry)]

    def _check_reply(self, number: int, answer: messages.Answer | refusal.Refusal) -> None:
        attempt = self._attempts[number]
        self._invariants.check("one_reply_each", number in self.pending, str(number))
        del self.pending[number]
        executed = self._execution_counts.get(attempt, 0)
        if isinstance(answer, messages.Answer):
            self._invariants.check(
                "answer_is_the_call's", executed == 1 and answer.body == attempt.body
            )
            self._count("answer")
            return
        self._count(answer.code)
        if answer.execution is execution.Execution.RUN:
            self._invariants.check("run_is_true", executed == 1, answer.code)
        if answer.execution is not execution.Execution.NOT_RUN:
            return
        in_transit = any(
            isinstance(envelope.message, UpstreamRequest)
            and (envelope.message.key, envelope.message.body) == (attempt.key, attempt.body)
            for envelope in self.in_flight
        )
        self._invariants.check("not_run_is_true", executed == 0 and not in_transit, answer.code)

    def _count(self, outcome: str) -> None:
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


def _has_effect(envelope: Envelope) -> bool:
    """Return whether a message that is not awaited can still take effect."""
    return isinstance(envelope.message, storage.PutValue | UpstreamRequest)
