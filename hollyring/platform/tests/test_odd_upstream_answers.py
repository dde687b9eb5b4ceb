"""Tests that odd answers of upstreams end nothing and travel no further."""

import json
import math
import time

import pytest

from hollyring.node import exchanges, http_connection
from hollyring.platform import upstreams
from hollyring.platform.tests import odd_values, test_odd_entries

CODEC = upstreams.HttpUpstreamCodec()
REPORT = {"models": [{"name": "m", "version": 3}], "busy": False, "sequence": 3, "born": 4}
REPORT |= {"stage": "both", "state": "ready", "queued": 1}
EVENTS = {"boot_epoch": 3, "next": 4, "lost": False, "events": [[119, "+", "s1", "5c", 800, "m"]]}
DECODERS = {
    "report": (REPORT, lambda body: CODEC.decode_report("i-1", 1, body, 1.0)),
    "events": (EVENTS, CODEC.decode_events),
}
MAX_HELD_UP_SECONDS = 0.3
"""Longest processor time of one step of the event loop; a busy machine does not add to it."""
NUMBERS = [b"", b"-1", b"0", b"-0.0", b"1.5", b"nan", b"inf", b"1e400", b"10" * 40, b"9" * 5000]
NUMBERS += [b"\xb2", b"\xff", b"0x10", b"1_0", b" 1 ", b".", b"[" * 60_000, b"a" * 60_000]


@pytest.mark.parametrize("name", DECODERS)
def test_every_odd_answer_to_a_call_is_decoded_or_counts_as_unreadable(name):
    document, decode = DECODERS[name]
    assert decode(json.dumps(document).encode()) is not None
    for description, body in odd_values.documents(document):
        try:
            decode(body)
        except Exception as error:
            pytest.fail(f"{description}: {error!r}")


@pytest.mark.parametrize("value", ["negative", "2^63", "10^30", "1e400", "5000 digits"])
@pytest.mark.parametrize(
    "name, path",
    [
        ("report", ("models", 0, "version")),
        ("report", ("born",)),
        ("report", ("sequence",)),
        ("events", ("events", 0, 4)),
        ("events", ("next",)),
    ],
)
def test_number_that_no_message_carries_makes_an_answer_unreadable(name, path, value):
    document, decode = DECODERS[name]
    assert decode(odd_values.put(document, path, odd_values.VALUES[value])) is None


@pytest.mark.parametrize("value", NUMBERS, ids=test_odd_entries.repr_start)
@pytest.mark.parametrize("status", [200, 429, 503])
@pytest.mark.parametrize(
    "name",
    [b"retry-after", b"server-limit", b"server-brittle", b"x-weight-versions", b"x-instance-id"],
)
def test_odd_header_gives_numbers_that_can_be_reckoned_with(name, status, value):
    head = CODEC.decode_head(exchanges.ResponseHead(status, [(name, value)]))
    assert head.retry_after_seconds >= 0.0  # limited by backoffs
    assert 0 <= head.version < 2**63
    for limit in (head.request_limit, head.rejection_limit):
        assert limit is None or math.isfinite(limit)


@pytest.mark.parametrize("value", NUMBERS, ids=test_odd_entries.repr_start)
def test_odd_time_to_keep_a_connection_is_finite(value):
    assert math.isfinite(http_connection._keep_alive_seconds(b"timeout=" + value))


def test_part_with_an_endless_name_is_left_out_of_the_cache_events():
    long_event = [118, "+", "s1", "x" * (upstreams.MAX_REPORT_BYTES // 2), 800, "m"]
    body = json.dumps(EVENTS | {"events": [long_event, *EVENTS["events"]]}).encode()
    assert [change.part for change in CODEC.decode_events(body).changes] == ["5c"]


def longest_readable(document, field):
    """Return the longest answer with copies of a list's item that is read, and one that is not."""
    item_bytes = len(json.dumps(document[field])) - len("[]") + len(", ")
    number = upstreams.MAX_REPORT_BYTES // item_bytes
    while len(body := json.dumps(document | {field: document[field] * number}).encode()) > (
        upstreams.MAX_REPORT_BYTES
    ):
        number -= 1
    return body, json.dumps(document | {field: document[field] * number * 10}).encode()


@pytest.mark.parametrize("name, field", [("report", "models"), ("events", "events")])
def test_long_answer_to_a_call_does_not_hold_up_the_event_loop(name, field):
    document, decode = DECODERS[name]
    longest, too_long = longest_readable(document, field)
    for body in (longest, too_long):
        started_at = time.thread_time()
        decoded = decode(body)
        assert time.thread_time() - started_at < MAX_HELD_UP_SECONDS
        assert (decoded is None) is (body is too_long)
