import random

import pytest

from hollyring.delivery import errors, event_stream


def events(first, last):
    return b"".join(b"id: %d\ndata: text %d\n\n" % (n, n) for n in range(first, last + 1))


@pytest.fixture
def stream():
    return event_stream.EventStream(None)


@pytest.mark.parametrize("seed", range(20))
def test_two_upstreams_make_one_stream_whatever_the_cuts(stream, seed):
    draw = random.Random(seed)
    whole = events(1, 12)
    got = b""
    broken = draw.randrange(len(whole))
    for part in pieces(whole[:broken], draw):
        got += stream.feed(part)
    stream.resume()
    after = stream.last_number or 0
    for part in pieces(events(max(1, after - 1), 12), draw):
        got += stream.feed(part)
    assert got == whole
    assert stream.at_event_boundary


def pieces(data, draw):
    while data:
        size = draw.randrange(1, 40)
        yield data[:size]
        data = data[size:]


def test_half_event_is_not_handed_on(stream):
    assert stream.feed(b"id: 1\ndata: a") == b""
    assert not stream.at_event_boundary


@pytest.mark.parametrize("second", [1, 3])
def test_doubled_or_missing_event_ends_the_try(stream, second):
    stream.feed(events(1, 1))
    with pytest.raises(errors.StreamOrderError):
        stream.feed(events(second, second))


def test_caller_that_resumes_gets_only_later_events():
    stream = event_stream.EventStream(5)
    assert stream.feed(events(4, 7)) == events(6, 7)


def test_gap_after_a_resumption_ends_the_try():
    stream = event_stream.EventStream(5)
    with pytest.raises(errors.StreamOrderError):
        stream.feed(events(7, 7))


def test_events_without_identity_pass(stream):
    assert stream.feed(b": hello\n\n") == b": hello\n\n"
