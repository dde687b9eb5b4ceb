import msgspec
import pytest

from hollyring.configuration import documents, objects, state

KEY = objects.Key("till-1", objects.key_digest("demo-key-kigoma"))
ITEMS = [
    objects.Deployment("bohari", 2),
    objects.Organisation("kigoma", 400.0, 40_000, 1.0, (KEY,)),
    objects.Model("parish-7b", "3"),
    objects.Adapter("feast", "parish-7b", "1"),
    objects.Upstream("e", "engine", "http://127.0.0.1:1", "r", "d", ("parish-7b",), "both", True),
    objects.Route("/orders", ("orders-1",), ("POST",)),
    objects.VM("vm-0", "r", "d", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"),
]


@pytest.mark.parametrize("item", ITEMS)
def test_decoded_object_has_the_same_encoding(item):
    explicit = msgspec.json.decode(msgspec.json.encode(item), type=objects.Object)
    assert explicit == item
    assert objects.encode(explicit) == objects.encode(item)


def test_document_round_trip():
    assert documents.decode(documents.encode(documents.Document(ITEMS))).objects == ITEMS


def test_content_hash_is_independent_of_the_order_of_changes():
    forth = state.Configuration().with_changes(1, "a", ITEMS, [])
    back = state.Configuration()
    for item in reversed(ITEMS):
        back = back.with_changes(back.revision + 1, "b", [item], [])
    assert back.content == forth.content
    assert list(back.items()) == list(forth.items())


def test_content_hash_is_zero_after_all_objects_are_deleted():
    full = state.Configuration().with_changes(1, "a", ITEMS, [])
    assert full.content != 0
    assert full.with_changes(2, "b", [], [objects.identity(i) for i in ITEMS]).content == 0


def test_revoked_key_is_absent_from_the_next_revision_only():
    before = state.Configuration().with_changes(1, "a", ITEMS, [])
    after = before.with_changes(2, "b", [objects.Organisation("kigoma", 400.0, 40_000)], [])
    assert before.key_with_digest(KEY.digest) == KEY
    assert after.organisation_for_key(KEY.digest) is None


@pytest.mark.parametrize("first", ["old", "new"])
def test_one_change_moves_key_between_organisations(first):
    before = state.Configuration().with_changes(1, "a", ITEMS, [])
    moved = [
        objects.Organisation("kigoma", 400.0, 40_000),
        objects.Organisation("tabora", 400.0, 40_000, keys=(KEY,)),
    ]
    after = before.with_changes(2, "b", moved if first == "old" else moved[::-1], [])
    assert after.organisation_for_key(KEY.digest).name == "tabora"


def test_route_for_matches_whole_segments():
    routes = [objects.Route("/orders", ("a",)), objects.Route("/orders/status", ("b",))]
    configuration = state.Configuration().with_changes(1, "a", routes, [])
    assert configuration.route_for("/orders/status/7").upstreams == ("b",)
    assert configuration.route_for("/orders/statuses").upstreams == ("a",)
    assert configuration.route_for("/orderly") is None
