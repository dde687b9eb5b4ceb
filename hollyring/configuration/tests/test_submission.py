import pytest

from hollyring.configuration import (
    documents,
    errors,
    loader,
    objects,
    revisions,
    snapshot_writer,
    snapshots,
    state,
    store,
    submission,
)
from hollyring.configuration.tests import conftest

DEPLOYMENT = objects.Deployment("bohari")


def submit(memory, name, base=None):
    base = base or state.Configuration()
    declared = documents.Document([DEPLOYMENT, *base.items(), conftest.organisation(name)])
    unique = {objects.identity(item): item for item in declared.objects}
    change = submission.plan(base, documents.Document(list(unique.values())))
    return submission.Submission(change, name, author=name)


def test_accepted_submission_is_the_next_revision(memory):
    tried = submit(memory, "a")
    conftest.run(tried, memory)
    assert tried.outcome == submission.Accepted(1)
    assert memory.values["config/revision/1"][0] == tried.value


def test_of_two_racing_submissions_one_loses_and_is_told_what_changed(memory):
    first, second = submit(memory, "a"), submit(memory, "b")
    conftest.run(second, memory)
    conftest.run(first, memory)
    assert second.outcome == submission.Accepted(1)
    assert first.outcome.accepted.author == "b"
    assert "organisation/b" in map(str, first.outcome.accepted.changed_identities)


@pytest.mark.parametrize("lost", [1, 2, 5, 19])
def test_lost_answers_are_resolved_by_reading_back(memory, lost):
    memory.lose_answers = lost
    tried = submit(memory, "a")
    conftest.run(tried, memory)
    assert tried.outcome == submission.Accepted(1)


def test_lost_answer_of_a_lost_race_is_a_lost_race(memory):
    conftest.run(submit(memory, "b"), memory)
    memory.lose_answers = 3
    tried = submit(memory, "a")
    conftest.run(tried, memory)
    assert isinstance(tried.outcome, submission.Rejected)


def test_write_that_takes_effect_late_is_not_taken_for_another(memory):
    tried = submit(memory, "a")
    late = tried.call
    tried.on_answer(store.Failed())
    tried.on_answer(store.Waited())
    tried.on_answer(memory.perform(tried.call))  # reads: absent
    memory.perform(late)
    conftest.run(tried, memory)
    assert tried.outcome == submission.Accepted(1)


def test_outcome_is_unknown_when_the_store_stays_away(memory):
    memory.down = True
    tried = submit(memory, "a")
    conftest.run(tried, memory)
    assert tried.outcome == submission.Unknown(1)


def test_other_deployment_is_refused():
    base = state.Configuration().with_changes(1, "", [DEPLOYMENT], [])
    with pytest.raises(errors.ConfigurationError, match="allowed: bohari"):
        submission.plan(base, documents.Document([objects.Deployment("verrerie")]))


def test_change_too_large_for_one_value_is_planned_in_parts(memory):
    items = [DEPLOYMENT, *(conftest.organisation(f"o-{index}") for index in range(20_000))]
    configuration, parts = state.Configuration(), 0
    while not (change := submission.plan(configuration, documents.Document(items))).is_empty:
        tried = submission.Submission(change, f"s-{parts}")
        conftest.run(tried, memory)
        configuration = revisions.apply(configuration, tried.value)
        parts += 1
    assert len(configuration.organisations) == 20_000
    assert parts == -(-sum(len(objects.encode(item)) + 1 for item in items) // 700_000)


def test_value_over_the_stores_limit_is_refused():
    names = tuple(objects.Identity("organisation", f"o-{index}") for index in range(30_000))
    change = submission.Plan(state.Configuration(), (), names)
    with pytest.raises(errors.ConfigurationError, match="submit it in parts"):
        submission.Submission(change, "s")


def grow(memory, count):
    values, last = conftest.chain(count)
    for index, value in enumerate(values):
        memory.perform(store.Write(revisions.key(index + 1), value))
    return values, last


def load(memory):
    reading = loader.Loader()
    conftest.run(reading, memory)
    return reading


def test_snapshot_saves_the_deltas_before_it(memory):
    values, last = grow(memory, 40)
    conftest.run(snapshot_writer.SnapshotWriter(last, values[-1], None), memory)
    reading = load(memory)
    assert reading.result.configuration.digest == last.digest
    assert reading.result.configuration.content == last.content
    assert reading.calls == 4  # pointer, revision, one segment, nothing newer


def test_unusable_snapshot_costs_calls_and_not_correctness(memory):
    values, last = grow(memory, 40)
    conftest.run(snapshot_writer.SnapshotWriter(last, values[-1], None), memory)
    memory.values[snapshots.key(40, 0)] = (b"[]", 1)
    assert load(memory).result.configuration.content == last.content


def test_third_snapshot_deletes_the_first(memory):
    values, _ = grow(memory, 48)
    configuration = state.Configuration()
    for index, value in enumerate(values):
        configuration = revisions.apply(configuration, value)
        pointer = memory.perform(store.Read(snapshots.POINTER_KEY))
        found = pointer if isinstance(pointer, store.Found) else None
        if snapshots.is_due(index + 1, found and snapshots.decode_pointer(found.value)):
            conftest.run(snapshot_writer.SnapshotWriter(configuration, value, found), memory)
    kept = sorted(key for key in memory.values if key.startswith("config/snapshot/"))
    assert kept == ["config/snapshot/32/0", "config/snapshot/48/0"]


def test_snapshot_of_the_two_year_size_keeps_to_the_stores_limit():
    keys = tuple(objects.Key(f"k-{index}", "0" * 64) for index in range(3))
    items = [objects.Organisation(f"o-{i}", 1.0, 40_000, keys=keys) for i in range(4_700)]
    configuration = state.Configuration().with_changes(1, "", items, [])
    taken = snapshots.create(configuration, b"")
    assert max(map(len, taken.segments)) < revisions.MAX_VALUE_BYTES
    assert len(taken.segments) <= 8


def test_broken_chain_is_read_up_to_the_break(memory):
    grow(memory, 5)
    _, other = conftest.chain(2)
    memory.values[revisions.key(4)] = (revisions.encode_next(other, "x", (), ()), 99)
    loaded = load(memory).result
    assert loaded.configuration.revision == 3
    assert "revision 3 after 3" in loaded.error
