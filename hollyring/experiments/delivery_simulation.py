"""A few VMs' claim machines, joined by a plain list of messages in flight.

Whoever drives the world picks the next choice: deliver any message, or a fault. Promises are
checked after each.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

from hollyring.core import execution, identities, invariants
from hollyring.delivery import calls, claim_log, claims, messages, records, refusal, storage

GROUPS = 2
FAR = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One try of a caller: the key and body that it sends."""

    key: bytes
    body: bytes


@dataclasses.dataclass(slots=True)
class Flight:
    """A message in flight from, or back to, one life of a VM.

    Parameters
    ----------
    vm, number
        The VM's place and the number of its life.
    message
        What travels.
    group
        The claim log that asked, where one did.
    waited_for
        Whether the sender still waits; else the message may land, but nobody hears of it.
    """

    vm: int
    number: int
    message: Message
    group: int = 0
    waited_for: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bytes:
    """A call on its way to the upstream."""

    sequence: int
    key: bytes
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """The upstream's answer on its way back."""

    sequence: int
    answer: messages.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerAnswer:
    """A peer's word on its claim on its way back."""

    sequence: int
    answer: messages.ClaimAnswer


Request = storage.ReadValue | storage.PutValue | calls.AskOwner | calls.Dispatch | Bytes
Back = storage.Event | UpstreamAnswer | OwnerAnswer
Message = Request | Back


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """The caller sends an attempt to a VM."""

    attempt: int
    vm: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """The message at this place arrives."""

    flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A VM's claim log goes on after a pause."""

    vm: int
    group: int


@dataclasses.dataclass(frozen=True, slots=True)
class TimeOut:
    """The sender gives up on a message, which may still arrive."""

    flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The upstream refuses the connection of this dispatch."""

    flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A VM dies with all that it knew, and starts again."""

    vm: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deadline:
    """The deadline of a call passes."""

    vm: int
    sequence: int


Fault = TimeOut | Refuse | Crash | Deadline
Choice = Begin | Deliver | Tick | Fault


class Vm:
    """One life of a VM."""

    def __init__(self, name: str, number: int, seal_records: int) -> None:
        self.number = number
        self.claims = claims.Claims(identities.Incarnation(name, number), invariants.Invariants())
        self.logs = [
            claim_log.GroupLog(
                group, write_interval=0.0, max_head_records=seal_records, max_segment_records=6
            )
            for group in range(GROUPS)
        ]


class World:
    """VMs, the platform service, one upstream and the messages between them.

    Parameters
    ----------
    vms
        Number of VMs.
    seal_records
        Records after which a claim log starts a segment.
    """

    def __init__(self, vms: int, seal_records: int = claim_log.MAX_HEAD_RECORDS) -> None:
        self._seal_records = seal_records
        self._names = [f"vm-{number}" for number in range(vms)]
        self._vms = [Vm(name, 1, seal_records) for name in self._names]
        self._platform: dict[str, tuple[bytes, int]] = {}
        self._version = 0
        self._executed: dict[Attempt, int] = {}
        self._promises = invariants.Invariants()
        self._attempts: dict[int, Attempt] = {}
        self.flights: list[Flight] = []
        self.waiting: dict[int, list[int]] = {}
        self.outcomes: dict[str, int] = {}
        self.now = 0.0

    @property
    def checks(self) -> dict[str, dict[str, object]]:
        """Promises checked so far."""
        return self._promises.dump()

    @property
    def executions(self) -> int:
        """Calls that the upstream ran."""
        return sum(self._executed.values())

    def begin(self, number: int, attempt: Attempt, vm: int) -> None:
        """Send attempt `number` to a VM."""
        self._attempts[number] = attempt
        self.waiting[number] = [vm, self._vms[vm].number]
        call = calls.Call(str(number), attempt.key, attempt.body, self.now + 30.0)
        self._carry_out(vm, self._vms[vm].claims.begin(call, self.now, self.now))

    def steps(self) -> list[Choice]:
        """Return every choice that is no fault."""
        found: list[Choice] = [Deliver(place) for place in range(len(self.flights))]
        for number, vm in enumerate(self._vms):
            due = (group for group, log in enumerate(vm.logs) if log.due is not None)
            found += [Tick(number, group) for group in due]
        return found

    def faults(self) -> list[Choice]:
        """Return every fault that can happen now."""
        found: list[Choice] = []
        for place, flight in enumerate(self.flights):
            if isinstance(flight.message, calls.Dispatch):
                found.append(Refuse(place))
            elif flight.waited_for:
                found.append(TimeOut(place))
        for number, vm in enumerate(self._vms):
            found.append(Crash(number))
            found += [Deadline(number, sequence) for sequence in vm.claims._waiting]
        return found

    def do(self, choice: Choice) -> None:
        """Carry a choice out and check the promises."""
        match choice:
            case Begin():
                raise TypeError("attempts are begun with `begin`")
            case Deliver(place):
                self._deliver(self.flights.pop(place))
            case Tick(number, group):
                log = self._vms[number].logs[group]
                now = max(self.now, log.due or 0.0)
                self._carry_out(number, log.tick(now, self.now), group)
            case TimeOut(place):
                self._time_out(self.flights[place])
            case Refuse(place):
                flight = self.flights.pop(place)
                assert isinstance(flight.message, calls.Dispatch)
                if self._alive(flight):
                    known = self._vms[flight.vm].claims.not_sent(flight.message.sequence)
                    self._carry_out(flight.vm, known)
            case Crash(number):
                self._crash(number)
            case Deadline(number, sequence):
                self._carry_out(number, self._vms[number].claims.timeout(sequence, FAR))

    def _alive(self, flight: Flight) -> bool:
        return self._vms[flight.vm].number == flight.number

    def _carry_out(
        self, vm: int, actions: Iterable[claim_log.Action | calls.Action], group: int = 0
    ) -> None:
        life = self._vms[vm]
        for action in actions:
            match action:
                case calls.Append(record, reread):
                    number = records.group_of(record.key, GROUPS)
                    added = life.logs[number].append(record, self.now, self.now, reread)
                    self._carry_out(vm, added, number)
                case calls.Reply(identity, answer):
                    self._replied(int(identity), answer)
                case claim_log.Granted() | claim_log.AlreadyClaimed() | claim_log.QueueFull():
                    self._carry_out(vm, life.claims.append_completed(action, self.now))
                case storage.DeleteValue(key, version):
                    if self._platform.get(key, (b"", 0))[1] == version:
                        del self._platform[key]
                case _:
                    self.flights.append(Flight(vm, life.number, action, group))

    def _deliver(self, flight: Flight) -> None:
        message = flight.message
        match message:
            case storage.ReadValue(key):
                self._back(flight, storage.Value(key, *self._platform.get(key, (b"", 0))))
            case storage.PutValue():
                self._back(flight, self._put(message))
            case calls.Dispatch():
                self._connect(flight, message)
            case calls.AskOwner(sequence, question):
                owner = self._names.index(question.owner)
                answer, actions = self._vms[owner].claims.answer_question(question)
                self._carry_out(owner, actions)
                self._back(flight, OwnerAnswer(sequence, answer))
            case Bytes(sequence, key, body):
                attempt = Attempt(key, body)
                self._executed[attempt] = self._executed.get(attempt, 0) + 1
                ran = sum(n for one, n in self._executed.items() if one.key == key)
                self._promises.check("at_most_once", ran <= 1, str(attempt))
                self._back(flight, UpstreamAnswer(sequence, messages.Answer(201, [], body)))
            case _:
                if flight.waited_for and self._alive(flight):
                    self._heard(flight, message)

    def _put(self, message: storage.PutValue) -> storage.Written | storage.Conflict:
        if self._platform.get(message.key, (b"", 0))[1] != message.version:
            return storage.Conflict(message.key)
        self._version += 1
        self._platform[message.key] = (message.value, self._version)
        return storage.Written(message.key, self._version)

    def _connect(self, flight: Flight, message: calls.Dispatch) -> None:
        if not self._alive(flight):
            return
        allowed = self._vms[flight.vm].claims.may_send(message.sequence, self.now, self.now)
        if not allowed:
            return
        attempt = self._attempts[int(message.request_id)]
        sent = Bytes(message.sequence, attempt.key, attempt.body)
        self.flights.append(Flight(flight.vm, flight.number, sent))

    def _back(self, flight: Flight, message: Back) -> None:
        if flight.waited_for and self._alive(flight):
            self.flights.append(Flight(flight.vm, flight.number, message, flight.group))

    def _heard(self, flight: Flight, message: Message) -> None:
        life = self._vms[flight.vm]
        match message:
            case UpstreamAnswer(sequence, answer):
                self._carry_out(flight.vm, life.claims.answer_received(sequence, answer))
            case OwnerAnswer(sequence, answer):
                known = life.claims.owner_answered(sequence, answer, self.now)
                self._carry_out(flight.vm, known)
            case storage.Value() | storage.Written() | storage.Conflict():
                self._outcome(flight, message)

    def _outcome(self, flight: Flight, event: storage.Event) -> None:
        log = self._vms[flight.vm].logs[flight.group]
        self._carry_out(flight.vm, log.handle(event, self.now, self.now), flight.group)

    def _time_out(self, flight: Flight) -> None:
        flight.waited_for = False
        life = self._vms[flight.vm]
        if not self._alive(flight):
            return
        match flight.message:
            case storage.ReadValue(key) | storage.Value(key):
                self._outcome(flight, storage.ReadFailed(key))
            case storage.PutValue(key) | storage.Written(key) | storage.Conflict(key):
                self._outcome(flight, storage.WriteUnconfirmed(key))
            case calls.AskOwner(sequence) | OwnerAnswer(sequence):
                known = life.claims.owner_answered(sequence, None, self.now)
                self._carry_out(flight.vm, known)
            case Bytes(sequence) | UpstreamAnswer(sequence):
                self._carry_out(flight.vm, life.claims.connection_lost(sequence))
        self.flights = [one for one in self.flights if one.waited_for or _may_land(one)]

    def _crash(self, number: int) -> None:
        old = self._vms[number]
        self._vms[number] = Vm(self._names[number], old.number + 1, self._seal_records)
        self.waiting = {
            attempt: place for attempt, place in self.waiting.items() if place[0] != number
        }
        for flight in self.flights:
            if flight.vm == number:
                flight.waited_for = False
        self.flights = [one for one in self.flights if one.waited_for or _may_land(one)]

    def _replied(self, number: int, answer: messages.Answer | refusal.Refusal) -> None:
        attempt = self._attempts[number]
        self._promises.check("one_reply_each", number in self.waiting, str(number))
        del self.waiting[number]
        ran = self._executed.get(attempt, 0)
        if isinstance(answer, messages.Answer):
            self._promises.check("answer_is_the_call's", ran == 1 and answer.body == attempt.body)
            self._count("answer")
            return
        self._count(answer.code)
        if answer.execution is execution.Execution.RUN:
            self._promises.check("run_is_true", ran == 1, answer.code)
        if answer.execution is not execution.Execution.NOT_RUN:
            return
        on_its_way = any(
            isinstance(flight.message, Bytes)
            and (flight.message.key, flight.message.body) == (attempt.key, attempt.body)
            for flight in self.flights
        )
        self._promises.check("not_run_is_true", ran == 0 and not on_its_way, answer.code)

    def _count(self, outcome: str) -> None:
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


def _may_land(flight: Flight) -> bool:
    """Tell whether a message that nobody waits for can still change something."""
    return isinstance(flight.message, storage.PutValue | Bytes)
