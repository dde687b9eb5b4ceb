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


def new_submission(fake_store, name, base=None):
    base = base or state.Configuration()
    declared = documents.Document([DEPLOYMENT, *base.items(), conftest.organisation(name)])
    unique = {objects.identity(item): item for item in declared.objects}
    change = submission.plan(base, documents.Document(list(unique.values())))
    return submission.Submission(change, name, author=name)


def test_accepted_submission_becomes_next_revision(fake_store):
    submitted = new_submission(fake_store, "a")
    conftest.run(submitted, fake_store)
    assert submitted.outcome == submission.Accepted(1)
    assert fake_store.values["config/revision/1"][0] == submitted.value


def test_concurrent_submission_is_rejected_with_the_accepted_revision(fake_store):
    first, second = new_submission(fake_store, "a"), new_submission(fake_store, "b")
    conftest.run(second, fake_store)
    conftest.run(first, fake_store)
    assert second.outcome == submission.Accepted(1)
    assert first.outcome.accepted.author == "b"
    assert "organisation/b" in map(str, first.outcome.accepted.changed_identities)


@pytest.mark.parametrize("lost", [1, 2, 5, 19])
def test_lost_answers_are_resolved_by_reading_the_key(fake_store, lost):
    fake_store.lose_answers = lost
    submitted = new_submission(fake_store, "a")
    conftest.run(submitted, fake_store)
    assert submitted.outcome == submission.Accepted(1)


def test_rejection_is_detected_after_lost_answers(fake_store):
    conftest.run(new_submission(fake_store, "b"), fake_store)
    fake_store.lose_answers = 3
    submitted = new_submission(fake_store, "a")
    conftest.run(submitted, fake_store)
    assert isinstance(submitted.outcome, submission.Rejected)


def test_late_write_is_recognised_as_own(fake_store):
    submitted = new_submission(fake_store, "a")
    late = submitted.call
    submitted.on_answer(store.Failed())
    submitted.on_answer(store.Waited())
    submitted.on_answer(fake_store.perform(submitted.call))  # the read finds the key absent
    fake_store.perform(late)
    conftest.run(submitted, fake_store)
    assert submitted.outcome == submission.Accepted(1)


def test_outcome_is_unknown_if_store_stays_unreachable(fake_store):
    fake_store.down = True
    submitted = new_submission(fake_store, "a")
    conftest.run(submitted, fake_store)
    assert submitted.outcome == submission.Unknown(1)


def test_plan_rejects_other_deployment():
    base = state.Configuration().with_changes(1, "", [DEPLOYMENT], [])
    with pytest.raises(errors.ConfigurationError, match="allowed: bohari"):
        submission.plan(base, documents.Document([objects.Deployment("verrerie")]))


def test_large_change_is_planned_in_parts(fake_store):
    items = [DEPLOYMENT, *(conftest.organisation(f"o-{index}") for index in range(20_000))]
    configuration, parts = state.Configuration(), 0
    while not (change := submission.plan(configuration, documents.Document(items))).is_empty:
        submitted = submission.Submission(change, f"s-{parts}")
        conftest.run(submitted, fake_store)
        configuration = revisions.apply(configuration, submitted.value)
        parts += 1
    assert len(configuration.organisations) == 20_000
    assert parts == -(-sum(len(objects.encode(item)) + 1 for item in items) // 700_000)


def test_value_over_size_limit_is_rejected():
    names = tuple(objects.Identity("organisation", f"o-{index}") for index in range(30_000))
    change = submission.Plan(state.Configuration(), (), names)
    with pytest.raises(errors.ConfigurationError, match="submit it in parts"):
        submission.Submission(change, "s")


def store_revisions(fake_store, count):
    values, last = conftest.encode_revisions(count)
    for index, value in enumerate(values):
        fake_store.perform(store.Write(revisions.key(index + 1), value))
    return values, last


def load(fake_store):
    loading = loader.Loader()
    conftest.run(loading, fake_store)
    return loading


def test_loader_skips_revisions_before_snapshot(fake_store):
    values, last = store_revisions(fake_store, 40)
    conftest.run(snapshot_writer.SnapshotWriter(last, values[-1], None), fake_store)
    loading = load(fake_store)
    assert loading.result.configuration.digest == last.digest
    assert loading.result.configuration.content == last.content
    assert loading.answered_count == 4  # pointer, revision, one segment, next revision


def test_loader_ignores_unusable_snapshot(fake_store):
    values, last = store_revisions(fake_store, 40)
    conftest.run(snapshot_writer.SnapshotWriter(last, values[-1], None), fake_store)
    fake_store.values[snapshots.key(40, 0)] = (b"[]", 1)
    assert load(fake_store).result.configuration.content == last.content


def test_third_snapshot_deletes_the_first(fake_store):
    values, _ = store_revisions(fake_store, 48)
    configuration = state.Configuration()
    for index, value in enumerate(values):
        configuration = revisions.apply(configuration, value)
        pointer = fake_store.perform(store.Read(snapshots.POINTER_KEY))
        found = pointer if isinstance(pointer, store.Found) else None
        if snapshots.is_due(index + 1, found and snapshots.decode_pointer(found.value)):
            conftest.run(snapshot_writer.SnapshotWriter(configuration, value, found), fake_store)
    kept = sorted(key for key in fake_store.values if key.startswith("config/snapshot/"))
    assert kept == ["config/snapshot/32/0", "config/snapshot/48/0"]


def test_snapshot_of_expected_size_in_two_years_fits_store_limit():
    keys = tuple(objects.Key(f"k-{index}", "0" * 64) for index in range(3))
    items = [objects.Organisation(f"o-{i}", 1.0, 40_000, keys=keys) for i in range(4_700)]
    configuration = state.Configuration().with_changes(1, "", items, [])
    snapshot = snapshots.create(configuration, b"")
    assert max(map(len, snapshot.segments)) < revisions.MAX_VALUE_BYTES
    assert len(snapshot.segments) <= 8


def test_loader_stops_at_revision_of_diverged_history(fake_store):
    store_revisions(fake_store, 5)
    _, other = conftest.encode_revisions(2)
    fake_store.values[revisions.key(4)] = (revisions.encode_next(other, "x", (), ()), 99)
    loaded = load(fake_store).result
    assert loaded.configuration.revision == 3
    assert "revision 3 is not the successor of 3" in loaded.error
