import pytest

from hollyring.core import execution, identities, invariants
from hollyring.delivery import calls, claim_log, claims, messages, records, refusal

KEY = b"k" * 16
BODY = b"b" * 8
ANSWER = messages.Answer(201, [messages.Header("content-type", "text/plain")], b"order 7")
OTHER = records.Record(KEY, BODY, "vm-2", 4, 9, False, 0)


@pytest.fixture
def vm():
    return claims.Claims(identities.Incarnation("vm-1", 1), invariants.Invariants())


def call(name="r-1", key=KEY, body=BODY, **fields):
    return calls.Call(name, key, body, fields.pop("deadline", 30.0), **fields)


def granted(vm, request):
    (append,) = vm.begin(request, 0.0, 0.0)
    (dispatch,) = vm.append_completed(claim_log.Granted(append.record), 0.0)
    return dispatch


def refused(actions):
    (reply,) = [action for action in actions if isinstance(action, calls.Reply)]
    return reply.answer.code, reply.answer.execution


def begin_already_claimed(vm, request=None):
    (append,) = vm.begin(request or call(), 0.0, 0.0)
    return append.record, vm.append_completed(claim_log.AlreadyClaimed(append.record, OTHER), 0.0)


@pytest.mark.parametrize("now, wall_time", [(30.0, 0.0), (1.0, 43_201.0), (1.0, -43_201.0)])
def test_vm_paused_past_the_deadline_or_retention_does_not_send(vm, now, wall_time):
    dispatch = granted(vm, call())
    assert not vm.may_send(dispatch.sequence, now, wall_time)


def test_call_without_key_is_dispatched_without_a_claim(vm):
    (dispatch,) = vm.begin(call(key=b""), 0.0, 0.0)
    assert vm.may_send(dispatch.sequence, 0.0, 0.0)
    assert not vm.may_send(dispatch.sequence, 0.0, 0.0)
    assert refused(vm.connection_lost(dispatch.sequence))[0] == "outcome_unknown"
    assert len(vm.begin(call("r-2", key=b""), 0.0, 0.0)) == 1


def test_duplicates_wait_for_the_first_call_and_get_its_answer(vm):
    dispatch = granted(vm, call())
    vm.may_send(dispatch.sequence, 0.0, 0.0)
    assert vm.begin(call("r-2"), 0.0, 0.0) == []
    replies = vm.answer_received(dispatch.sequence, ANSWER)
    assert replies == [calls.Reply("r-1", ANSWER), calls.Reply("r-2", ANSWER)]


def test_answer_after_the_deadline_is_cached_for_duplicates(vm):
    dispatch = granted(vm, call())
    vm.may_send(dispatch.sequence, 0.0, 0.0)
    assert refused(vm.tick(30.0)) == ("deadline_exceeded", execution.Execution.UNKNOWN)
    assert vm.answer_received(dispatch.sequence, ANSWER) == []
    assert vm.begin(call("r-2"), 31.0, 31.0) == [calls.Reply("r-2", ANSWER)]


def test_each_waiting_request_has_its_own_deadline(vm):
    dispatch = granted(vm, call(deadline=5.0))
    vm.may_send(dispatch.sequence, 0.0, 0.0)
    vm.begin(call("r-2", deadline=9.0), 0.0, 0.0)
    assert vm.due == 5.0
    assert [reply.request_id for reply in vm.tick(5.0)] == ["r-1"]
    assert [reply.request_id for reply in vm.answer_received(dispatch.sequence, ANSWER)] == ["r-2"]


def test_lost_connection_ends_the_call_and_its_duplicates_at_once(vm):
    dispatch = granted(vm, call())
    vm.may_send(dispatch.sequence, 0.0, 0.0)
    unknown = ("outcome_unknown", execution.Execution.UNKNOWN)
    assert refused(vm.connection_lost(dispatch.sequence)) == unknown
    assert refused(vm.begin(call("r-2"), 1.0, 1.0)) == unknown


def test_refused_connection_releases_the_claim(vm):
    dispatch = granted(vm, call())
    actions = vm.not_sent(dispatch.sequence)
    assert refused(actions) == ("upstream_unreachable", execution.Execution.NOT_RUN)
    assert actions[0].record.released
    assert not vm.may_send(dispatch.sequence, 0.0, 0.0)


def test_sent_call_is_never_reported_as_not_sent(vm):
    dispatch = granted(vm, call())
    vm.may_send(dispatch.sequence, 0.0, 0.0)
    assert vm.not_sent(dispatch.sequence) == []
    assert vm.begin(call("r-2"), 0.0, 0.0) == []


@pytest.mark.parametrize("sent", [True, False])
def test_own_earlier_claim_found_in_the_log_is_not_sent_again(vm, sent):
    (first,) = vm.begin(call(), 0.0, 0.0)
    (other,) = vm.begin(call("r-2", body=b"c" * 8), 0.0, 0.0)
    (dispatch,) = vm.append_completed(claim_log.Granted(first.record), 0.0)
    vm.append_completed(claim_log.AlreadyClaimed(other.record, first.record), 0.0)
    (again,) = vm.begin(call("r-3"), 0.0, 0.0)
    if sent:
        vm.may_send(dispatch.sequence, 0.0, 0.0)
    assert vm.append_completed(claim_log.AlreadyClaimed(again.record, first.record), 0.0) == []
    vm.may_send(dispatch.sequence, 0.0, 0.0)
    replies = vm.answer_received(dispatch.sequence, ANSWER)
    assert [reply.request_id for reply in replies] == ["r-1", "r-3"]


def test_unreachable_platform_is_reported_early_with_unknown_execution(vm):
    vm.begin(call(), 0.0, 0.0)
    assert vm.tick(claims.CLAIM_TIMEOUT_SECONDS - 0.1) == []
    actions = vm.tick(claims.CLAIM_TIMEOUT_SECONDS)
    assert refused(actions) == ("claims_unavailable", execution.Execution.UNKNOWN)


def test_claim_granted_after_the_timeout_is_released_not_dispatched(vm):
    (append,) = vm.begin(call(), 0.0, 0.0)
    vm.tick(claims.CLAIM_TIMEOUT_SECONDS)
    assert vm.append_completed(claim_log.Granted(append.record), 4.0) == [
        calls.Append(append.record.as_released())
    ]


@pytest.mark.parametrize(
    "outcome, answers, code",
    [
        ("forgotten", [], "outcome_unknown"),
        (None, [], "outcome_unknown"),
        ("answered", [], "answer_forgotten"),
    ],
)
def test_duplicate_on_another_vm_gets_the_outcome_from_the_owner(vm, outcome, answers, code):
    record, (ask,) = begin_already_claimed(vm)
    assert ask.question == messages.ClaimQuestion(KEY, "vm-2", 4, 9)
    answer = outcome and messages.ClaimAnswer(outcome, answers)
    assert refused(vm.owner_answered(record.sequence, answer, 0.1))[0] == code


def test_duplicate_on_another_vm_gets_the_first_answer(vm):
    record, _ = begin_already_claimed(vm)
    answer = messages.ClaimAnswer("answered", [ANSWER])
    assert vm.owner_answered(record.sequence, answer, 0.1) == [calls.Reply("r-1", ANSWER)]


def test_owner_is_polled_while_the_call_runs(vm):
    record, _ = begin_already_claimed(vm)
    (ask,) = vm.owner_answered(record.sequence, messages.ClaimAnswer("running", []), 0.1)
    assert ask.delay == claims.OWNER_POLL_SECONDS
    assert refused(vm.tick(30.0))[0] == "call_in_progress"


def test_key_whose_owner_did_not_send_is_claimed_again(vm):
    record, _ = begin_already_claimed(vm)
    (append,) = vm.owner_answered(record.sequence, messages.ClaimAnswer("not_sent", []), 0.1)
    assert append == calls.Append(record, reread=True)


def test_owner_answers_only_for_its_own_incarnation(vm):
    dispatch = granted(vm, call())
    question = messages.ClaimQuestion(KEY, "vm-1", 1, dispatch.sequence)
    assert vm.answer_question(question)[0].outcome == "running"
    earlier_incarnation = messages.ClaimQuestion(KEY, "vm-1", 0, dispatch.sequence)
    assert vm.answer_question(earlier_incarnation)[0].outcome == "forgotten"
    vm.may_send(dispatch.sequence, 0.0, 0.0)
    vm.answer_received(dispatch.sequence, ANSWER)
    assert vm.answer_question(question)[0] == messages.ClaimAnswer("answered", [ANSWER])


def test_second_body_under_one_key_is_refused(vm):
    granted(vm, call())
    reused = ("idempotency_key_reused", execution.Execution.NOT_RUN)
    assert refused(vm.begin(call("r-2", body=b"c" * 8), 0.0, 0.0)) == reused


@pytest.mark.parametrize(
    "outcome, ran",
    [("answered", "not_run"), ("running", "unknown"), ("forgotten", "unknown"), (None, "unknown")],
)
def test_reused_key_is_not_run_only_if_the_first_call_was_answered(vm, outcome, ran):
    record, (ask,) = begin_already_claimed(vm, call(body=b"c" * 8))
    assert ask.question.owner == OTHER.owner
    answer = outcome and messages.ClaimAnswer(outcome, [])
    final = refused(vm.owner_answered(record.sequence, answer, 0.1))
    assert final == ("idempotency_key_reused", execution.Execution(ran))


def test_unsent_call_with_another_body_does_not_keep_the_key(vm):
    record, _ = begin_already_claimed(vm, call(body=b"c" * 8))
    not_sent = messages.ClaimAnswer("not_sent", [])
    (append,) = vm.owner_answered(record.sequence, not_sent, 0.1)
    assert append == calls.Append(record, reread=True)


def test_undecided_claim_does_not_refuse_another_body(vm):
    vm.begin(call(), 0.0, 0.0)
    assert isinstance(vm.begin(call("r-2", body=b"c" * 8), 0.0, 0.0)[0], calls.Append)


@pytest.mark.parametrize("wall_time, code", [(86_401.0, "expired"), (-301.0, "early")])
def test_key_with_an_expired_or_future_timestamp_is_refused(vm, wall_time, code):
    actions = vm.begin(call(key_time=0.0), 0.0, wall_time)
    assert refused(actions)[0] == f"idempotency_key_{code}"


def test_tracked_calls_and_cached_answers_are_bounded(vm, monkeypatch):
    monkeypatch.setattr(claims, "MAX_TRACKED_CALLS", 10)
    monkeypatch.setattr(claims, "ANSWER_CACHE_BYTES", 5 * len(ANSWER.body))
    for number in range(30):
        dispatch = granted(vm, call(key=bytes([number]) * 16))
        vm.may_send(dispatch.sequence, 0.0, 0.0)
        vm.answer_received(dispatch.sequence, ANSWER)
    assert vm.tracked_calls <= 10
    first, last = (vm.begin(call(key=bytes([n]) * 16), 0.0, 0.0)[0] for n in (22, 29))
    assert first.answer.code == "answer_forgotten"
    assert first.answer.execution is execution.Execution.RUN
    assert last.answer == ANSWER


def test_every_refusal_has_a_status_and_a_message():
    for code, kind in refusal.KINDS.items():
        assert refusal.make(code).code == code
        assert 400 <= kind.status < 600 and kind.message.endswith(".")
        assert kind.retry_after >= 0
    assert (
        refusal.make("rate_limited").with_unknown_execution().execution
        is execution.Execution.UNKNOWN
    )
