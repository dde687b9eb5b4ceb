import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from hollyring.core import execution, invariants
from hollyring.delivery import errors, event_ids, refusal, stream

ANSWER = [f"{number:04d}" for number in range(40)]
SEED = event_ids.request_digest(b'{"model": "parish"}')


@pytest.fixture
def counters():
    return invariants.Invariants()


def serve(answer, attempt, start, stop):
    """Accept tokens `start` to `stop` of the answer, as sent by the attempt's upstream."""
    results = []
    for position, text in enumerate(ANSWER[start:stop]):
        results.append(answer.accept(stream.Token(attempt.number, position, text)))
    return results


def texts(results):
    return [result.text for result in results if isinstance(result, stream.Deliver)]


def finish(answer, attempt):
    position = len(ANSWER) - attempt.resume_tokens
    return answer.accept(stream.Finish(attempt.number, position, "stop"))


@hypothesis.given(strategies.lists(strategies.integers(0, 12), max_size=6))
def test_answer_is_complete_after_any_sequence_of_lost_attempts(advances):
    answer = stream.Stream("r", SEED, invariants.Invariants())
    delivered, reached, abandoned = [], 0, []
    for advance in advances:
        attempt = answer.begin()
        assert attempt.resume_text == "".join(ANSWER[:reached])
        stop = min(len(ANSWER), reached + advance)
        delivered += texts(serve(answer, attempt, reached, stop))
        answer.accept(stream.Lost(attempt.number))
        abandoned.append(attempt)
        reached = stop
        for old in abandoned:
            late = stream.Token(old.number, stop, "late")
            assert answer.accept(late) == stream.IGNORE
    attempt = answer.begin()
    delivered += texts(serve(answer, attempt, reached, len(ANSWER)))
    assert isinstance(finish(answer, attempt), stream.Complete)
    assert delivered == ANSWER and answer.text == "".join(ANSWER)


@pytest.mark.parametrize("position", [0, 4, 6])
def test_token_out_of_order_is_not_delivered(counters, position):
    answer = stream.Stream("r", SEED, counters)
    attempt = answer.begin()
    serve(answer, attempt, 0, 5)
    assert answer.accept(stream.Token(attempt.number, position, "odd")) == stream.Interrupted(1)
    assert answer.accept(stream.Token(attempt.number, 5, "next")) == stream.IGNORE
    assert answer.begin().resume_text == "".join(ANSWER[:5])


def test_finish_after_a_gap_does_not_complete_the_answer(counters):
    answer = stream.Stream("r", SEED, counters)
    attempt = answer.begin()
    serve(answer, attempt, 0, 5)
    assert answer.accept(stream.Finish(attempt.number, 7, "stop")) == stream.Interrupted(1)
    assert not answer.complete


def test_failed_stream_accepts_nothing_more(counters):
    answer = stream.Stream("r", SEED, counters)
    attempt = answer.begin()
    serve(answer, attempt, 0, 5)
    failed = answer.fail(refusal.make("stream_interrupted"))
    assert failed.refusal.execution is execution.Execution.UNKNOWN
    assert answer.accept(stream.Finish(attempt.number, 5, "stop")) == stream.IGNORE
    assert answer.ended and not answer.complete
    with pytest.raises(errors.StreamEndedError):
        answer.begin()
    with pytest.raises(invariants.InvariantError):
        answer.fail(refusal.make("stream_interrupted"))


@pytest.mark.parametrize("received", range(1, 40, 6))
@pytest.mark.parametrize("with_text", [True, False])
def test_caller_resumes_on_another_vm(counters, received, with_text):
    first = stream.Stream("r", SEED, counters)
    last = serve(first, first.begin(), 0, received)[-1].event_id
    text = "".join(ANSWER[:received]) if with_text else None
    resumption = stream.Resumption(event_ids.parse(str(last)), text)
    second = stream.Stream("other", SEED, counters, resumption)
    attempt = second.begin()
    assert attempt.resume_tokens == (received if with_text else 0)
    rest = texts(serve(second, attempt, attempt.resume_tokens, len(ANSWER)))
    assert rest == ANSWER[received:]
    ended = finish(second, attempt)
    assert ended.event_id == dataclasses.replace(second.event_id, request_id="r")


def test_regenerated_answer_that_differs_is_not_continued(counters):
    last = event_ids.EventId("r", 3, event_ids.text_digest(SEED, "".join(ANSWER[:3])))
    answer = stream.Stream("r", SEED, counters, stream.Resumption(last))
    attempt = answer.begin()
    results = [answer.accept(stream.Token(attempt.number, at, "diff")) for at in range(3)]
    assert results[:2] == [stream.IGNORE] * 2
    assert results[2].refusal.code == "resume_mismatch"


def test_regenerated_answer_that_is_shorter_is_refused(counters):
    last = event_ids.EventId("r", 3, event_ids.text_digest(SEED, "".join(ANSWER[:3])))
    answer = stream.Stream("r", SEED, counters, stream.Resumption(last))
    attempt = answer.begin()
    serve(answer, attempt, 0, 2)
    result = answer.accept(stream.Finish(attempt.number, 2, "stop"))
    assert result.refusal.code == "resume_mismatch"


@pytest.mark.parametrize("seed, text", [(SEED, "wrong text"), (SEED + 1, "".join(ANSWER[:3]))])
def test_resumption_with_wrong_text_or_request_is_refused(counters, seed, text):
    last = event_ids.EventId("r", 3, event_ids.text_digest(SEED, "".join(ANSWER[:3])))
    with pytest.raises(errors.EventIdError):
        stream.Stream("r", seed, counters, stream.Resumption(last, text))


def test_caller_with_the_complete_answer_gets_no_more_tokens(counters):
    answer = stream.Stream("r", SEED, counters)
    attempt = answer.begin()
    serve(answer, attempt, 0, len(ANSWER))
    last = finish(answer, attempt).event_id
    with_text = stream.Stream("r", SEED, counters, stream.Resumption(last, "".join(ANSWER)))
    assert with_text.ended and with_text.complete
    without = stream.Stream("r", SEED, counters, stream.Resumption(last))
    attempt = without.begin()
    assert texts(serve(without, attempt, 0, len(ANSWER))) == []
    assert isinstance(finish(without, attempt), stream.Complete)


def test_answer_text_is_bounded(counters):
    answer = stream.Stream("r", SEED, counters)
    attempt = answer.begin()
    half = "x" * (stream.MAX_TEXT_BYTES // 2)
    assert isinstance(answer.accept(stream.Token(attempt.number, 0, half)), stream.Deliver)
    assert isinstance(answer.accept(stream.Token(attempt.number, 1, half)), stream.Deliver)
    result = answer.accept(stream.Token(attempt.number, 2, "y"))
    assert result.refusal.code == "answer_too_long"


@pytest.mark.parametrize("text", ["", "r.1.ff", "r.1.xyz.0", "r.-1.ff.0", "r.01.ff.0", ".1.f.0"])
def test_invalid_event_ids_are_refused(text):
    with pytest.raises(errors.EventIdError):
        event_ids.parse(text)
