"""What a parser keeps of a peer is counted in each stage, however its bytes are cut."""

import hypothesis
import pytest
from hypothesis import strategies

from hollyring.limits import head_budget, intake, read_pace

LIMITS = intake.Limits(blank_bytes=100, head_bytes=1_000, framing_bytes=500)


def read(counted, size):
    """Return after how many reads of a size a stage without end is noticed."""
    reads = 0
    while not counted.exceeds(LIMITS):
        counted.receive(size)
        reads += 1
    return reads


@pytest.mark.parametrize(
    ("enter", "limit"),
    [
        (lambda counted: None, 100),
        (lambda counted: counted.begin_head(), 1_000),
        (lambda counted: (counted.begin_head(), counted.end_head()), 500),
    ],
    ids=["before the first line", "head", "behind a body"],
)
def test_stage_without_end_is_noticed_one_read_after_its_limit(enter, limit):
    counted = intake.Intake()
    enter(counted)
    assert read(counted, 10) == limit // 10 + 1


def test_body_of_any_length_does_not_exceed_the_limit_on_what_is_beside_it():
    counted = intake.Intake()
    counted.begin_head()
    counted.end_head()
    for _ in range(1_000):
        counted.receive(4_096)
        counted.add_body(4_090)
        assert not counted.exceeds(LIMITS)
        assert not counted.cost


def test_long_or_many_lines_cost_memory_and_usual_ones_none():
    counted = intake.Intake()
    counted.receive(head_budget.ORDINARY_BYTES)
    counted.begin_head()
    assert not counted.cost
    for _ in range(head_budget.ORDINARY_LINES + 1):
        counted.add_line()
    assert counted.cost >= head_budget.LINE_BYTES * head_budget.ORDINARY_LINES
    counted.end_head()
    counted.end_message()
    assert not counted.cost


EVENTS = strategies.lists(
    strategies.sampled_from(["begin_head", "add_line", "end_head", "body", "end_message"]),
    max_size=30,
)


@hypothesis.given(
    strategies.lists(strategies.tuples(strategies.integers(1, 65_536), EVENTS), max_size=30)
)
def test_kept_bytes_are_never_more_than_counted(reads):
    """A model that knows where each stage ended keeps no more than the intake counts."""
    counted = intake.Intake()
    kept = 0
    for size, events in reads:
        counted.receive(size)
        left = size
        for event in events:
            # An event takes some bytes; what it ends is kept no longer.
            taken = left // 2
            left -= taken
            kept = 0
            if event == "body":
                counted.add_body(taken)
            else:
                getattr(counted, event)()
        kept += left
        assert counted.stage_bytes >= kept if events else counted.stage_bytes >= left


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 20_000), strategies.booleans()), max_size=50
    )
)
def test_read_is_never_longer_than_its_stage_allows(reads):
    pace = read_pace.ReadPace()
    in_body = False
    for events, toggles in reads:
        if toggles:
            in_body = not in_body
            pace.begin_body(None) if in_body else pace.end_body()
        size = pace.size
        assert size <= (read_pace.CHUNKED_BYTES if in_body else read_pace.FIRST_BYTES)
        pace.record(size, events)


def test_crowd_of_chunks_of_one_byte_takes_few_events_of_each_round():
    """Six bytes a chunk; after its first read a connection takes no more than a turn's events."""
    pace = read_pace.ReadPace()
    pace.begin_body(None)
    most = []
    for _ in range(10):
        events = pace.size // 6
        most.append(events)
        assert pace.record(pace.size, events) == (events > read_pace.COSTLY_EVENTS)
    assert most[0] <= 683
    assert max(most[1:]) <= read_pace.EVENTS_PER_READ


def test_body_with_a_length_is_read_in_long_parts_up_to_its_end():
    pace = read_pace.ReadPace()
    pace.begin_body(4_000_000)
    for _ in range(6):
        pace.record(pace.size, 1)
    assert pace.size == read_pace.LONGEST_BYTES
    pace.end_body()
    assert pace.size == read_pace.FIRST_BYTES
    pace.begin_body(5_000)
    for _ in range(6):
        pace.record(pace.size, 1)
    assert pace.size == 5_000
