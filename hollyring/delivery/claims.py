"""At-most-once dispatch of non-idempotent calls, despite faults of callers, VMs and the network.

A call under an `Idempotency-Key` is dispatched only by the VM incarnation that owns the claim on
the key, and at most once by it. A duplicate request gets the first answer if it is available,
otherwise a refusal that states no more than is certain.
"""

from __future__ import annotations

import dataclasses

from hollyring.core import execution, identities, invariants
from hollyring.delivery import calls, claim_log, messages, records, refusal

CLAIM_TIMEOUT_SECONDS = 3.0
"""Longest wait for a claim before the caller gets a refusal."""

OWNER_POLL_SECONDS = 0.2
"""Delay before an owner is asked again about a call that is still running."""

MAX_TRACKED_CALLS = 10_000
"""Maximum number of calls tracked by one VM; the oldest finished ones are evicted first."""

MAX_CACHED_ANSWER_BYTES = 64 * 1024
"""Largest answer that is cached for duplicate requests."""

ANSWER_CACHE_BYTES = 8 << 20
"""Total size of the answers that one VM caches for duplicate requests."""

FINISHED_PHASES = (calls.Phase.ANSWERED, calls.Phase.UNKNOWN, calls.Phase.NOT_SENT)

UNDECIDED_PHASES = (calls.Phase.CLAIMING, calls.Phase.ASKING_OWNER)
"""Phases in which the key may turn out to belong to another request."""

UNSENT_PHASES = (*UNDECIDED_PHASES, calls.Phase.NOT_SENT)
"""Phases in which this VM has not sent the call."""

FinalAnswer = messages.Answer | refusal.Refusal


@dataclasses.dataclass(slots=True)
class _CallState:
    call: calls.Call
    sequence: int
    wall_time: float
    claim_deadline: float
    phase: calls.Phase
    answer: messages.Answer | None = None
    existing_claim: records.Record | None = None
    waiting: list[calls.Call] = dataclasses.field(default_factory=list)

    @property
    def due(self) -> float:
        if self.phase is calls.Phase.CLAIMING:
            return self.claim_deadline
        return min(call.deadline for call in self.waiting)


class Claims:
    """State machine of one VM's non-idempotent calls.

    Parameters
    ----------
    owner
        Incarnation of this VM.
    counters
        Counters of the invariants that are checked.
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
    >>> duplicate = calls.Call("r-2", b"k" * 16, b"b" * 8, deadline=30.0)
    >>> claims.begin(duplicate, now=1.0, wall_time=1.0) == [calls.Reply("r-2", answer)]
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
        "_cached_sizes",
        "_cached_bytes",
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
        self._calls: dict[int, _CallState] = {}
        self._waiting: dict[int, _CallState] = {}
        self._keys: dict[bytes, int] = {}
        self._cached_sizes: dict[int, int] = {}
        self._cached_bytes = 0
        self._replies: dict[str, int] = {}

    @property
    def due(self) -> float | None:
        """Monotonic second at which `tick` has work to do, or None."""
        return min((state.due for state in self._waiting.values()), default=None)

    @property
    def replies(self) -> dict[str, int]:
        """Number of replies so far, by refusal code or ``"answer"``."""
        return dict(self._replies)

    @property
    def tracked_calls(self) -> int:
        """Number of calls whose state is still kept."""
        return len(self._calls)

    def begin(self, call: calls.Call, now: float, wall_time: float) -> list[calls.Action]:
        """Start a caller's call, attach it to an earlier one under its key, or reply at once."""
        age = 0.0 if call.key_time is None else wall_time - call.key_time
        if age > self._retention:
            return self._reply(call, refusal.make("idempotency_key_expired"))
        if age < -claim_log.MAX_CLOCK_SKEW_SECONDS:
            return self._reply(call, refusal.make("idempotency_key_early"))
        state = self._calls.get(self._keys.get(call.key, 0)) if call.key else None
        if state is None or state.phase is calls.Phase.NOT_SENT:
            return self._start(call, now, wall_time)
        if state.call.body_digest != call.body_digest and state.phase in UNDECIDED_PHASES:
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

    def append_completed(self, result: claim_log.AppendResult, now: float) -> list[calls.Action]:
        """Handle the result of an `Append`."""
        record = result.record
        state = self._calls.get(record.sequence)
        if record.released or state is None:
            return []
        if state.phase is not calls.Phase.CLAIMING:
            return self._release_late_grant(state, result)
        match result:
            case claim_log.Granted():
                return self._dispatch(state)
            case claim_log.AlreadyClaimed(existing=existing):
                return self._already_claimed(state, existing)
            case claim_log.QueueFull():
                return self._end_unsent(state, refusal.make("claims_unavailable"))

    def may_send(self, sequence: int, now: float, wall_time: float) -> bool:
        """Return whether the first byte of the call may be written now, and mark the call as sent.

        It returns true at most once per call, and false on a VM that was paused past the deadline
        or for so long that its claim may have been pruned from the log.
        """
        state = self._calls.get(sequence)
        if state is None or state.phase is not calls.Phase.READY:
            return False
        if now >= state.call.deadline or abs(wall_time - state.wall_time) > self._retention / 2:
            return False
        state.phase = calls.Phase.SENT
        return True

    def not_sent(self, sequence: int) -> list[calls.Action]:
        """Handle a call for which no upstream could be connected and no byte was written."""
        state = self._calls.get(sequence)
        if state is None or state.phase is not calls.Phase.READY:
            return []
        return self._end_unsent(state, refusal.make("upstream_unreachable"))

    def answer_received(self, sequence: int, answer: messages.Answer) -> list[calls.Action]:
        """Handle the upstream's complete answer, even after the deadline."""
        state = self._calls.get(sequence)
        if state is None or state.phase is not calls.Phase.SENT:
            return []
        state.phase = calls.Phase.ANSWERED
        self._cache_answer(state, answer)
        return self._reply_all(state, answer)

    def connection_lost(self, sequence: int) -> list[calls.Action]:
        """Handle a connection that ended after `may_send`, before the complete answer."""
        state = self._calls.get(sequence)
        if state is None or state.phase is not calls.Phase.SENT:
            return []
        state.phase = calls.Phase.UNKNOWN
        return self._reply_all(state, refusal.make("outcome_unknown"))

    def owner_answered(
        self, sequence: int, answer: messages.ClaimAnswer | None, now: float
    ) -> list[calls.Action]:
        """Handle the answer of a claim's owner; None if the owner could not be reached."""
        state = self._calls.get(sequence)
        if (
            state is None
            or state.phase is not calls.Phase.ASKING_OWNER
            or state.existing_claim is None
        ):
            return []
        outcome = calls.Outcome.FORGOTTEN if answer is None else calls.Outcome(answer.outcome)
        if (
            state.existing_claim.body_digest != state.call.body_digest
            and outcome is not calls.Outcome.NOT_SENT
        ):
            return self._refuse_reused_key(state, outcome)
        match outcome:
            case calls.Outcome.ANSWERED:
                answers = answer.answers if answer is not None else []
                return self._end_duplicate(
                    state, answers[0] if answers else refusal.make("answer_forgotten")
                )
            case calls.Outcome.FORGOTTEN:
                return self._end_duplicate(state, refusal.make("outcome_unknown"))
            case calls.Outcome.RUNNING:
                return [self._ask_owner(state, state.existing_claim, OWNER_POLL_SECONDS)]
            case calls.Outcome.NOT_SENT:
                state.phase = calls.Phase.CLAIMING
                state.claim_deadline = min(state.call.deadline, now + CLAIM_TIMEOUT_SECONDS)
                return [calls.Append(_claim_record(state, self._owner), reread=True)]

    def answer_question(
        self, question: messages.ClaimQuestion
    ) -> tuple[messages.ClaimAnswer, list[calls.Action]]:
        """Answer another VM's question about a claim of this VM."""
        is_owner = (question.owner, question.incarnation) == (self._owner.name, self._owner.number)
        state = self._calls.get(question.sequence) if is_owner else None
        if state is None or state.call.key != question.key:
            return messages.ClaimAnswer(calls.Outcome.FORGOTTEN, []), []
        match state.phase:
            case calls.Phase.ANSWERED:
                answers = [] if state.answer is None else [state.answer]
                return messages.ClaimAnswer(calls.Outcome.ANSWERED, answers), []
            case calls.Phase.UNKNOWN:
                return messages.ClaimAnswer(calls.Outcome.FORGOTTEN, []), []
            case calls.Phase.NOT_SENT:
                release = calls.Append(_claim_record(state, self._owner).as_released())
                return messages.ClaimAnswer(calls.Outcome.NOT_SENT, []), [release]
            case _:
                return messages.ClaimAnswer(calls.Outcome.RUNNING, []), []

    def timeout(self, sequence: int, now: float) -> list[calls.Action]:
        """End a call that was not sent in time, else its requests whose deadline has passed."""
        state = self._waiting.get(sequence)
        if state is None:
            return []
        match state.phase:
            case calls.Phase.CLAIMING:
                return self._end_unsent(state, refusal.make("claims_unavailable"))
            case calls.Phase.READY:
                return self._end_unsent(state, refusal.make("deadline_not_sent"))
            case calls.Phase.ASKING_OWNER:
                return self._expire(state, refusal.make("call_in_progress"), now)
            case _:
                return self._expire(state, refusal.make("deadline_exceeded"), now)

    def tick(self, now: float) -> list[calls.Action]:
        """Call `timeout` for each call that is due."""
        expired = [state.sequence for state in self._waiting.values() if now >= state.due]
        return [action for sequence in expired for action in self.timeout(sequence, now)]

    def _start(self, call: calls.Call, now: float, wall_time: float) -> list[calls.Action]:
        self._sequence += 1
        claim_deadline = min(call.deadline, now + CLAIM_TIMEOUT_SECONDS)
        phase = calls.Phase.CLAIMING
        state = _CallState(call, self._sequence, wall_time, claim_deadline, phase, waiting=[call])
        self._calls[state.sequence] = state
        self._waiting[state.sequence] = state
        self._evict_call()
        if not call.key:
            return self._dispatch(state)
        self._keys[call.key] = state.sequence
        return [calls.Append(_claim_record(state, self._owner))]

    def _dispatch(self, state: _CallState) -> list[calls.Action]:
        state.phase = calls.Phase.READY
        upstream_request_id = state.call.key.hex() or f"{self._owner}-{state.sequence}"
        return [calls.Dispatch(state.sequence, state.call.request_id, upstream_request_id)]

    def _release_late_grant(
        self, state: _CallState, result: claim_log.AppendResult
    ) -> list[calls.Action]:
        """Release a claim that was granted after its call had ended unsent."""
        if isinstance(result, claim_log.Granted) and state.phase is calls.Phase.NOT_SENT:
            return [calls.Append(result.record.as_released())]
        return []

    def _already_claimed(self, state: _CallState, existing: records.Record) -> list[calls.Action]:
        if (existing.owner, existing.incarnation) == (self._owner.name, self._owner.number):
            return self._own_claim(state, existing)
        state.phase = calls.Phase.ASKING_OWNER
        return [self._ask_owner(state, existing, 0.0)]

    def _refuse_reused_key(self, state: _CallState, outcome: calls.Outcome) -> list[calls.Action]:
        """Refuse a key that belongs to another request.

        A claim is permanent only once its call has been sent: before that its owner may release it,
        and this request may have run, or may still run, under a later claim.
        """
        if outcome is calls.Outcome.ANSWERED:
            return self._end_duplicate(state, refusal.make("idempotency_key_reused"))
        unknown = execution.Execution.UNKNOWN
        return self._end_duplicate(state, refusal.make("idempotency_key_reused", ran=unknown))

    def _own_claim(self, state: _CallState, existing: records.Record) -> list[calls.Action]:
        """Continue from an earlier claim of this incarnation, if its state is still kept."""
        earlier = self._calls.get(existing.sequence)
        if earlier is None:
            return self._end_duplicate(state, refusal.make("outcome_unknown"))
        if earlier.phase is calls.Phase.NOT_SENT:
            new_claim = _claim_record(state, self._owner)
            return [calls.Append(existing.as_released()), calls.Append(new_claim, reread=True)]
        if existing.body_digest != state.call.body_digest:
            return self._end_duplicate(state, refusal.make("idempotency_key_reused"))
        match earlier.phase:
            case calls.Phase.ANSWERED:
                return self._end_duplicate(
                    state, earlier.answer or refusal.make("answer_forgotten")
                )
            case calls.Phase.UNKNOWN:
                return self._end_duplicate(state, refusal.make("outcome_unknown"))
        earlier.waiting += state.waiting
        self._waiting[earlier.sequence] = earlier
        self._remove(state)
        return []

    def _ask_owner(
        self, state: _CallState, existing: records.Record, delay: float
    ) -> calls.AskOwner:
        state.existing_claim = existing
        question = messages.ClaimQuestion(
            existing.key, existing.owner, existing.incarnation, existing.sequence
        )
        return calls.AskOwner(state.sequence, question, delay)

    def _end_unsent(self, state: _CallState, reason: refusal.Refusal) -> list[calls.Action]:
        """End a call that was not sent; this incarnation will not send it any more."""
        state.phase = calls.Phase.NOT_SENT
        replies = self._reply_all(state, reason)
        if not state.call.key:
            return replies
        return [calls.Append(_claim_record(state, self._owner).as_released()), *replies]

    def _end_duplicate(self, state: _CallState, final: FinalAnswer) -> list[calls.Action]:
        """End a call that turned out to duplicate one that is claimed already."""
        self._remove(state)
        return self._reply_all(state, final)

    def _expire(self, state: _CallState, reason: refusal.Refusal, now: float) -> list[calls.Action]:
        expired = [call for call in state.waiting if call.deadline <= now]
        state.waiting = [call for call in state.waiting if call.deadline > now]
        if not state.waiting:
            self._waiting.pop(state.sequence, None)
        if not state.waiting and state.phase is calls.Phase.ASKING_OWNER:
            self._remove(state)
        return [action for call in expired for action in self._reply(call, reason)]

    def _reply_all(self, state: _CallState, final: FinalAnswer) -> list[calls.Action]:
        ran = final.execution if isinstance(final, refusal.Refusal) else None
        unsent = state.phase in UNSENT_PHASES
        truthful = ran is not execution.Execution.NOT_RUN or unsent
        self._counters.check("not_run_is_true", truthful, str(final))
        waiting, state.waiting = state.waiting, []
        self._waiting.pop(state.sequence, None)
        return [action for call in waiting for action in self._reply(call, final)]

    def _reply(self, call: calls.Call, final: FinalAnswer) -> list[calls.Action]:
        code = final.code if isinstance(final, refusal.Refusal) else "answer"
        self._replies[code] = self._replies.get(code, 0) + 1
        return [calls.Reply(call.request_id, final)]

    def _cache_answer(self, state: _CallState, answer: messages.Answer) -> None:
        size = len(answer.body)
        if size > MAX_CACHED_ANSWER_BYTES or not state.call.key:
            return
        state.answer = answer
        self._cached_sizes[state.sequence] = size
        self._cached_bytes += size
        while self._cached_bytes > ANSWER_CACHE_BYTES:
            self._evict_answer(self._calls[next(iter(self._cached_sizes))])

    def _evict_answer(self, state: _CallState) -> None:
        state.answer = None
        self._cached_bytes -= self._cached_sizes.pop(state.sequence, 0)

    def _evict_call(self) -> None:
        if len(self._calls) <= MAX_TRACKED_CALLS:
            return
        finished = (
            state
            for state in self._calls.values()
            if not state.waiting and state.phase in FINISHED_PHASES
        )
        oldest = next(finished, None)
        if oldest is not None:
            self._evict_answer(oldest)
            self._remove(oldest)

    def _remove(self, state: _CallState) -> None:
        del self._calls[state.sequence]
        self._waiting.pop(state.sequence, None)
        if self._keys.get(state.call.key) == state.sequence:
            del self._keys[state.call.key]


def _claim_record(state: _CallState, owner: identities.Incarnation) -> records.Record:
    """Return the record by which `owner` claims a call."""
    key, body, claimed_at = state.call.key, state.call.body_digest, int(state.wall_time)
    return records.Record(key, body, owner.name, owner.number, state.sequence, False, claimed_at)
