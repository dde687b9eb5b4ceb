"""At most one dispatch of a non-idempotent call, whatever its caller, VMs and network do.

A call under an `Idempotency-Key` is dispatched only by the VM life that owns the claim on the
key, and at most once by it. A repeat gets the first answer where it can be had, else a refusal
that says no more than is known.
"""

from __future__ import annotations

import dataclasses

from hollyring.core import execution, identities, invariants
from hollyring.delivery import calls, claim_log, messages, records, refusal

CLAIM_TIMEOUT_SECONDS = 3.0
"""Longest wait for a claim before the caller is told."""

OWNER_POLL_SECONDS = 0.2
"""Pause before an owner is asked again about a call that still runs."""

MAX_TRACKED_CALLS = 10_000
"""Calls remembered by one VM; the oldest finished ones are forgotten first."""

MAX_CACHED_ANSWER_BYTES = 64 * 1024
"""Longest answer kept for repeats."""

ANSWER_CACHE_BYTES = 8 << 20
"""Bytes of answers that one VM keeps for repeats."""

FINISHED = (calls.Phase.ANSWERED, calls.Phase.UNKNOWN, calls.Phase.NOT_SENT)

UNDECIDED = (calls.Phase.CLAIMING, calls.Phase.ASKING_OWNER)
"""Phases in which the key may turn out to belong to another request."""

UNSENT = (*UNDECIDED, calls.Phase.NOT_SENT)
"""Phases in which this VM has not sent the call."""

FinalAnswer = messages.Answer | refusal.Refusal


@dataclasses.dataclass(slots=True)
class _State:
    call: calls.Call
    sequence: int
    wall_time: float
    claim_by: float
    phase: calls.Phase
    answer: messages.Answer | None = None
    holder: records.Record | None = None
    waiting: list[calls.Call] = dataclasses.field(default_factory=list)

    @property
    def due(self) -> float:
        if self.phase is calls.Phase.CLAIMING:
            return self.claim_by
        return min(call.deadline for call in self.waiting)


class Claims:
    """The non-idempotent calls of one VM.

    Parameters
    ----------
    owner
        This life of this VM.
    counters
        Invariants checked on the way.
    retention
        Seconds for which claims are kept in the log.

    Examples
    --------
    >>> claims = Claims(identities.Incarnation("vm-1", 1), invariants.Invariants())
    >>> call = calls.Call("r-1", b"k" * 16, b"b" * 8, deadline=30.0)
    >>> append, = claims.begin(call, now=0.0, wall_time=0.0)
    >>> dispatch, = claims.append_completed(claim_log.Granted(append.record), now=0.0)
    >>> claims.may_send(dispatch.sequence, now=0.0, wall_time=0.0)
    True
    >>> answer = messages.Answer(201, [], b"order 7")
    >>> claims.answer_received(dispatch.sequence, answer) == [calls.Reply("r-1", answer)]
    True
    >>> repeat = calls.Call("r-2", b"k" * 16, b"b" * 8, deadline=30.0)
    >>> claims.begin(repeat, now=1.0, wall_time=1.0) == [calls.Reply("r-2", answer)]
    True
    """

    __slots__ = (
        "_owner",
        "_counters",
        "_retention",
        "_sequence",
        "_calls",
        "_waiting",
        "_keys",
        "_kept",
        "_kept_bytes",
        "_replies",
    )

    def __init__(
        self,
        owner: identities.Incarnation,
        counters: invariants.Invariants,
        retention: float = claim_log.RETENTION_SECONDS,
    ) -> None:
        self._owner = owner
        self._counters = counters
        self._retention = retention
        self._sequence = 0
        self._calls: dict[int, _State] = {}
        self._waiting: dict[int, _State] = {}
        self._keys: dict[bytes, int] = {}
        self._kept: dict[int, int] = {}
        self._kept_bytes = 0
        self._replies: dict[str, int] = {}

    @property
    def due(self) -> float | None:
        """When `tick` has work to do, or None."""
        return min((state.due for state in self._waiting.values()), default=None)

    @property
    def replies(self) -> dict[str, int]:
        """Replies given so far, by refusal code or ``"answer"``."""
        return dict(self._replies)

    @property
    def tracked_calls(self) -> int:
        """Calls that this VM can still say something about."""
        return len(self._calls)

    def begin(self, call: calls.Call, now: float, wall_time: float) -> list[calls.Action]:
        """Take in a caller's call."""
        age = 0.0 if call.key_time is None else wall_time - call.key_time
        if age > self._retention:
            return self._reply(call, refusal.make("idempotency_key_expired"))
        if age < -claim_log.MAX_CLOCK_SKEW_SECONDS:
            return self._reply(call, refusal.make("idempotency_key_early"))
        state = self._calls.get(self._keys.get(call.key, 0)) if call.key else None
        if state is None or state.phase is calls.Phase.NOT_SENT:
            return self._start(call, now, wall_time)
        if state.call.body_digest != call.body_digest and state.phase in UNDECIDED:
            return self._start(call, now, wall_time)
        if state.call.body_digest != call.body_digest:
            return self._reply(call, refusal.make("idempotency_key_reused"))
        match state.phase:
            case calls.Phase.ANSWERED:
                return self._reply(call, state.answer or refusal.make("answer_forgotten"))
            case calls.Phase.UNKNOWN:
                return self._reply(call, refusal.make("outcome_unknown"))
            case _:
                state.waiting.append(call)
                self._waiting[state.sequence] = state
                return []

    def append_completed(self, settled: claim_log.AppendResult, now: float) -> list[calls.Action]:
        """Take in the log's word on a record."""
        record = settled.record
        state = self._calls.get(record.sequence)
        if record.released or state is None:
            return []
        if state.phase is not calls.Phase.CLAIMING:
            return self._late(state, settled)
        match settled:
            case claim_log.Granted():
                return self._ready(state)
            case claim_log.AlreadyClaimed(existing=existing):
                return self._existing(state, existing)
            case claim_log.QueueFull():
                return self._give_up(state, refusal.make("claims_unavailable"))

    def may_send(self, sequence: int, now: float, wall_time: float) -> bool:
        """Tell whether the first byte of the call may be written now; true once at most.

        A VM that was paused past the deadline, or whose claim may have aged out of the log
        meanwhile, finds out here.
        """
        state = self._calls.get(sequence)
        if state is None or state.phase is not calls.Phase.READY:
            return False
        if now >= state.call.deadline or abs(wall_time - state.wall_time) > self._retention / 2:
            return False
        state.phase = calls.Phase.SENT
        return True

    def not_sent(self, sequence: int) -> list[calls.Action]:
        """Take in that no upstream could be connected to and no byte was written."""
        state = self._calls.get(sequence)
        if state is None or state.phase is not calls.Phase.READY:
            return []
        return self._give_up(state, refusal.make("upstream_unreachable"))

    def answer_received(self, sequence: int, answer: messages.Answer) -> list[calls.Action]:
        """Take in the upstream's whole answer, also a late one."""
        state = self._calls.get(sequence)
        if state is None or state.phase is not calls.Phase.SENT:
            return []
        state.phase = calls.Phase.ANSWERED
        self._keep(state, answer)
        return self._reply_all(state, answer)

    def connection_lost(self, sequence: int) -> list[calls.Action]:
        """Take in that the connection ended after `may_send`, before the whole answer."""
        state = self._calls.get(sequence)
        if state is None or state.phase is not calls.Phase.SENT:
            return []
        state.phase = calls.Phase.UNKNOWN
        return self._reply_all(state, refusal.make("outcome_unknown"))

    def owner_answered(
        self, sequence: int, answer: messages.ClaimAnswer | None, now: float
    ) -> list[calls.Action]:
        """Take in what a claim's owner said; None when it could not be reached."""
        state = self._calls.get(sequence)
        if state is None or state.phase is not calls.Phase.ASKING_OWNER or state.holder is None:
            return []
        outcome = calls.Outcome.FORGOTTEN if answer is None else calls.Outcome(answer.outcome)
        if (
            state.holder.body_digest != state.call.body_digest
            and outcome is not calls.Outcome.NOT_SENT
        ):
            return self._reused(state, outcome)
        match outcome:
            case calls.Outcome.ANSWERED:
                known = answer.answers if answer is not None else []
                return self._drop(state, known[0] if known else refusal.make("answer_forgotten"))
            case calls.Outcome.FORGOTTEN:
                return self._drop(state, refusal.make("outcome_unknown"))
            case calls.Outcome.RUNNING:
                return [self._ask(state, state.holder, OWNER_POLL_SECONDS)]
            case calls.Outcome.NOT_SENT:
                state.phase = calls.Phase.CLAIMING
                state.claim_by = min(state.call.deadline, now + CLAIM_TIMEOUT_SECONDS)
                return [calls.Append(_record(state, self._owner), reread=True)]

    def answer_question(
        self, question: messages.ClaimQuestion
    ) -> tuple[messages.ClaimAnswer, list[calls.Action]]:
        """Answer a peer's question about a claim of this VM."""
        mine = (question.owner, question.incarnation) == (self._owner.name, self._owner.number)
        state = self._calls.get(question.sequence) if mine else None
        if state is None or state.call.key != question.key:
            return messages.ClaimAnswer(calls.Outcome.FORGOTTEN, []), []
        match state.phase:
            case calls.Phase.ANSWERED:
                kept = [] if state.answer is None else [state.answer]
                return messages.ClaimAnswer(calls.Outcome.ANSWERED, kept), []
            case calls.Phase.UNKNOWN:
                return messages.ClaimAnswer(calls.Outcome.FORGOTTEN, []), []
            case calls.Phase.NOT_SENT:
                release = calls.Append(_record(state, self._owner).as_released())
                return messages.ClaimAnswer(calls.Outcome.NOT_SENT, []), [release]
            case _:
                return messages.ClaimAnswer(calls.Outcome.RUNNING, []), []

    def timeout(self, sequence: int, now: float) -> list[calls.Action]:
        """Give the requests that wait for this call, and whose time is up, a final answer."""
        state = self._waiting.get(sequence)
        if state is None:
            return []
        match state.phase:
            case calls.Phase.CLAIMING:
                return self._give_up(state, refusal.make("claims_unavailable"))
            case calls.Phase.READY:
                return self._give_up(state, refusal.make("deadline_not_sent"))
            case calls.Phase.ASKING_OWNER:
                return self._expire(state, refusal.make("call_in_progress"), now)
            case _:
                return self._expire(state, refusal.make("deadline_exceeded"), now)

    def tick(self, now: float) -> list[calls.Action]:
        """Answer the requests whose time is up."""
        late = [state.sequence for state in self._waiting.values() if now >= state.due]
        return [action for sequence in late for action in self.timeout(sequence, now)]

    def _start(self, call: calls.Call, now: float, wall_time: float) -> list[calls.Action]:
        self._sequence += 1
        claim_by = min(call.deadline, now + CLAIM_TIMEOUT_SECONDS)
        phase = calls.Phase.CLAIMING
        state = _State(call, self._sequence, wall_time, claim_by, phase, waiting=[call])
        self._calls[state.sequence] = state
        self._waiting[state.sequence] = state
        self._forget()
        if not call.key:
            return self._ready(state)
        self._keys[call.key] = state.sequence
        return [calls.Append(_record(state, self._owner))]

    def _ready(self, state: _State) -> list[calls.Action]:
        state.phase = calls.Phase.READY
        name = state.call.key.hex() or f"{self._owner}-{state.sequence}"
        return [calls.Dispatch(state.sequence, state.call.request_id, name)]

    def _late(self, state: _State, settled: claim_log.AppendResult) -> list[calls.Action]:
        """Release a claim that was granted after its call was given up."""
        if isinstance(settled, claim_log.Granted) and state.phase is calls.Phase.NOT_SENT:
            return [calls.Append(settled.record.as_released())]
        return []

    def _existing(self, state: _State, by: records.Record) -> list[calls.Action]:
        if (by.owner, by.incarnation) == (self._owner.name, self._owner.number):
            return self._own(state, by)
        state.phase = calls.Phase.ASKING_OWNER
        return [self._ask(state, by, 0.0)]

    def _reused(self, state: _State, outcome: calls.Outcome) -> list[calls.Action]:
        """Refuse a key that another request holds.

        Only a claim that was sent is there for good: until then its owner may release it, and
        this request may have run, or run soon, under a later claim.
        """
        if outcome is calls.Outcome.ANSWERED:
            return self._drop(state, refusal.make("idempotency_key_reused"))
        unknown = execution.Execution.UNKNOWN
        return self._drop(state, refusal.make("idempotency_key_reused", ran=unknown))

    def _own(self, state: _State, by: records.Record) -> list[calls.Action]:
        """Go on from an earlier claim of this life, as far as that is remembered."""
        earlier = self._calls.get(by.sequence)
        if earlier is None:
            return self._drop(state, refusal.make("outcome_unknown"))
        if earlier.phase is calls.Phase.NOT_SENT:
            mine = _record(state, self._owner)
            return [calls.Append(by.as_released()), calls.Append(mine, reread=True)]
        if by.body_digest != state.call.body_digest:
            return self._drop(state, refusal.make("idempotency_key_reused"))
        match earlier.phase:
            case calls.Phase.ANSWERED:
                return self._drop(state, earlier.answer or refusal.make("answer_forgotten"))
            case calls.Phase.UNKNOWN:
                return self._drop(state, refusal.make("outcome_unknown"))
        earlier.waiting += state.waiting
        self._waiting[earlier.sequence] = earlier
        self._remove(state)
        return []

    def _ask(self, state: _State, by: records.Record, delay: float) -> calls.AskOwner:
        state.holder = by
        question = messages.ClaimQuestion(by.key, by.owner, by.incarnation, by.sequence)
        return calls.AskOwner(state.sequence, question, delay)

    def _give_up(self, state: _State, why: refusal.Refusal) -> list[calls.Action]:
        """End a call that was not sent; this life won't send it any more."""
        state.phase = calls.Phase.NOT_SENT
        replies = self._reply_all(state, why)
        if not state.call.key:
            return replies
        return [calls.Append(_record(state, self._owner).as_released()), *replies]

    def _drop(self, state: _State, final: FinalAnswer) -> list[calls.Action]:
        """End a call that turned out to be a repeat of one owned elsewhere."""
        self._remove(state)
        return self._reply_all(state, final)

    def _expire(self, state: _State, why: refusal.Refusal, now: float) -> list[calls.Action]:
        late = [call for call in state.waiting if call.deadline <= now]
        state.waiting = [call for call in state.waiting if call.deadline > now]
        if not state.waiting:
            self._waiting.pop(state.sequence, None)
        if not state.waiting and state.phase is calls.Phase.ASKING_OWNER:
            self._remove(state)
        return [action for call in late for action in self._reply(call, why)]

    def _reply_all(self, state: _State, final: FinalAnswer) -> list[calls.Action]:
        ran = final.execution if isinstance(final, refusal.Refusal) else None
        unsent = state.phase in UNSENT
        truthful = ran is not execution.Execution.NOT_RUN or unsent
        self._counters.check("not_run_is_true", truthful, str(final))
        waiting, state.waiting = state.waiting, []
        self._waiting.pop(state.sequence, None)
        return [action for call in waiting for action in self._reply(call, final)]

    def _reply(self, call: calls.Call, final: FinalAnswer) -> list[calls.Action]:
        code = final.code if isinstance(final, refusal.Refusal) else "answer"
        self._replies[code] = self._replies.get(code, 0) + 1
        return [calls.Reply(call.request_id, final)]

    def _keep(self, state: _State, answer: messages.Answer) -> None:
        size = len(answer.body)
        if size > MAX_CACHED_ANSWER_BYTES or not state.call.key:
            return
        state.answer = answer
        self._kept[state.sequence] = size
        self._kept_bytes += size
        while self._kept_bytes > ANSWER_CACHE_BYTES:
            self._forget_answer(self._calls[next(iter(self._kept))])

    def _forget_answer(self, state: _State) -> None:
        state.answer = None
        self._kept_bytes -= self._kept.pop(state.sequence, 0)

    def _forget(self) -> None:
        if len(self._calls) <= MAX_TRACKED_CALLS:
            return
        finished = (
            one for one in self._calls.values() if not one.waiting and one.phase in FINISHED
        )
        oldest = next(finished, None)
        if oldest is not None:
            self._forget_answer(oldest)
            self._remove(oldest)

    def _remove(self, state: _State) -> None:
        del self._calls[state.sequence]
        self._waiting.pop(state.sequence, None)
        if self._keys.get(state.call.key) == state.sequence:
            del self._keys[state.call.key]


def _record(state: _State, owner: identities.Incarnation) -> records.Record:
    """Return the claim of a call by `owner`."""
    key, body, at = state.call.key, state.call.body_digest, int(state.wall_time)
    return records.Record(key, body, owner.name, owner.number, state.sequence, False, at)
