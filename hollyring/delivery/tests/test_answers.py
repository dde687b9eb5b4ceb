"""Tests of what an answer proves, over the product of the facts."""

import itertools

import pytest

from hollyring.delivery import answers

FLAGS = (False, True)
STATUSES = (0, 99, 200, 204, 404, 408, 421, 429, 500, 503, 599, 600, 999)
HEADS = [
    answers.Head(*facts) for facts in itertools.product(STATUSES, answers.Naming, *[FLAGS] * 6)
]
REQUESTS = list(itertools.product(FLAGS, FLAGS))
VERDICTS = [
    (head, streaming, begun, answers.judge_head(head, streaming, begun))
    for head in HEADS
    for streaming, begun in REQUESTS
]


def of_type(*types):
    return [row for row in VERDICTS if isinstance(row[3], types)]


def test_every_answer_that_names_another_request_is_foreign_and_no_other_is():
    assert {row[0].naming for row in of_type(answers.Foreign)} == {answers.Naming.OTHER}
    others = [row for row in VERDICTS if row[0].naming is answers.Naming.OTHER]
    assert len(of_type(answers.Foreign)) == len(others) > 0


@pytest.mark.parametrize("head", HEADS[:: len(HEADS) // 97])
def test_answer_of_doubtful_origin_is_never_judged_otherwise(head):
    origin = answers.judge_origin(head)
    for streaming, begun in REQUESTS:
        verdict = answers.judge_head(head, streaming, begun)
        assert isinstance(origin, answers.Foreign) == isinstance(verdict, answers.Foreign)
        assert origin is None or verdict == origin


def test_not_run_is_concluded_only_from_an_answer_that_can_belong_to_this_request_only():
    rows = of_type(answers.NotRun)
    assert rows
    for head, *_ in rows:
        assert head.not_run or head.misdirected
        assert head.naming is answers.Naming.THIS or (
            head.naming is answers.Naming.NONE and head.alone
        )


def test_success_that_states_not_run_proves_neither():
    rows = [row for row in VERDICTS if row[0].not_run and row[0].status in (200, 204)]
    assert {type(verdict) for *_, verdict in rows} == {answers.Foreign, answers.Failed}


def test_nothing_without_a_signature_reaches_a_caller():
    assert all(head.authentic for head, *_ in of_type(answers.Body, answers.Events))


def test_nothing_with_an_encoded_body_reaches_a_caller():
    assert not any(head.encoded for head, *_ in of_type(answers.Body, answers.Events))


def test_nothing_that_names_no_request_reaches_a_caller_unless_the_connection_was_new():
    for head, *_ in of_type(answers.Body, answers.Events):
        assert head.naming is answers.Naming.THIS or head.alone


def test_nothing_with_a_status_that_no_response_can_have_reaches_a_caller_or_proves_not_run():
    rows = of_type(answers.NotRun, answers.Body, answers.Events)
    assert {head.status for head, *_ in rows} == set(STATUSES) - {0, 99, 600, 999}


def test_no_status_that_promises_not_run_reaches_a_caller_as_an_answer():
    statuses = {head.status for head, *_ in of_type(answers.Body, answers.Events)}
    assert statuses == {200, 204, 404, 500, 599}


def test_only_a_stream_of_events_with_status_200_is_passed_on_as_it_arrives():
    for head, streaming, *_ in of_type(answers.Events):
        assert streaming
        assert head.status == 200
        assert head.has_events


def test_a_stream_that_has_begun_is_continued_by_no_other_success():
    for head, _, begun, _ in of_type(answers.Body):
        assert not (begun and head.status == 200)


@pytest.mark.parametrize("framing", answers.Framing)
@pytest.mark.parametrize("begun", FLAGS)
@pytest.mark.parametrize("events", [0, 1, 5])
@pytest.mark.parametrize("promised", FLAGS)
def test_stream_that_ends_within_an_event_is_never_whole(framing, events, begun, promised):
    verdict = answers.judge_stream_end(framing, events, True, begun, promised)
    assert isinstance(verdict, answers.Failed)


@pytest.mark.parametrize("framing", answers.Framing)
@pytest.mark.parametrize("events", [1, 5])
@pytest.mark.parametrize("promised", FLAGS)
def test_stream_that_ends_before_the_last_event_of_its_caller_is_never_whole(
    framing, events, promised
):
    verdict = answers.judge_stream_end(framing, events, False, True, promised, behind=True)
    assert isinstance(verdict, answers.Failed)


@pytest.mark.parametrize("framing", answers.Framing)
@pytest.mark.parametrize("begun", FLAGS)
@pytest.mark.parametrize("promised", FLAGS)
def test_stream_without_an_event_is_whole_only_as_the_stated_end_of_one_that_began(
    framing, begun, promised
):
    verdict = answers.judge_stream_end(framing, 0, False, begun, promised)
    is_whole = isinstance(verdict, answers.Whole)
    assert is_whole == (begun and framing is answers.Framing.CHUNKS)


@pytest.mark.parametrize("framing", answers.Framing)
def test_end_is_proved_only_where_it_is_stated(framing):
    stated = framing is not answers.Framing.CONNECTION
    assert answers.judge_body_end(framing) == answers.Whole(stated)
    assert answers.judge_stream_end(framing, 1, False, False, False) == answers.Whole(stated)


@pytest.mark.parametrize("framing", answers.Framing)
@pytest.mark.parametrize("begun", FLAGS)
def test_response_that_states_its_end_is_ended_only_by_an_answer_that_does(framing, begun):
    verdict = answers.judge_stream_end(framing, 1, False, begun, True)
    assert isinstance(verdict, answers.Whole) == (framing is not answers.Framing.CONNECTION)


@pytest.mark.parametrize(("alone", "followed"), itertools.product(FLAGS, FLAGS))
def test_answer_to_a_call_that_another_answer_follows_proves_nothing_on_a_used_connection(
    alone, followed
):
    verdict = answers.judge_call_end(alone, followed)
    assert isinstance(verdict, answers.Failed) == (followed and not alone)
