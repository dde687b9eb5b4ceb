import hypothesis
from hypothesis import strategies

from hollyring.configuration import objects, revisions, snapshots, state

DIGESTS = [objects.key_digest(f"demo-key-{number}") for number in range(6)]


@strategies.composite
def organisations(draw):
    name = draw(strategies.sampled_from(["a", "b", "c"]))
    # Each organisation has its own digests, as validation requires.
    own = DIGESTS[2 * "abc".index(name) :][:2]
    keys = draw(strategies.lists(strategies.sampled_from(own), unique=True))
    rate = draw(strategies.floats(1, 1e6))
    granted = tuple(objects.Key(f"k-{index}", digest) for index, digest in enumerate(keys))
    return objects.Organisation(name, rate, 40_000, keys=granted)


models = strategies.builds(objects.Model, strategies.sampled_from("xy"), strategies.text())
changes = strategies.lists(
    strategies.tuples(
        strategies.lists(organisations() | models, max_size=3, unique_by=objects.identity),
        strategies.lists(
            strategies.builds(
                objects.Identity,
                strategies.sampled_from(["organisation", "model"]),
                strategies.sampled_from("abcxy"),
            ),
            max_size=2,
        ),
    ),
    max_size=8,
)


@hypothesis.settings(derandomize=True, deadline=None, database=None, max_examples=50)
@hypothesis.given(changes)
def test_changes_equal_a_new_configuration_of_the_same_objects(sequence):
    configuration = state.Configuration()
    expected = {}
    for put, delete in sequence:
        value = revisions.encode_next(configuration, "s", tuple(put), tuple(delete))
        configuration = revisions.apply(configuration, value)
        for identity in delete:
            expected.pop(identity, None)
        expected.update((objects.identity(item), item) for item in put)
    items = [expected[identity] for identity in sorted(expected)]
    assert list(configuration.items()) == items
    assert configuration.content == state.Configuration().with_changes(1, "", items, []).content
    owners = {
        key.digest: item.name
        for item in items
        if isinstance(item, objects.Organisation)
        for key in item.keys
    }
    for digest in DIGESTS:
        owner = configuration.organisation_for_key(digest)
        assert (owner and owner.name) == owners.get(digest)
    if sequence:
        restored = snapshots.restore(snapshots.create(configuration, value))
        assert restored.content == configuration.content
        assert list(restored.items()) == items
