"""The registry finds upstreams by service and address, whatever became of their entries."""

import random

import pytest

from hollyring.routing import registry


def entry(name, life=1, service="ls", address="", domain="a"):
    return registry.Entry(name, service, address or f"{name}:1", domain, 8, False, life, {})


def check_index(upstreams):
    """Compare the lookups of a registry with those by all its upstreams."""
    everything = list(upstreams.upstreams.values())
    for service in ("ls", "hunt", "none"):
        assert upstreams.of_service(service) == [
            u for u in everything if u.entry.service == service
        ]
    by_address = {upstream.entry.address: upstream for upstream in everything}
    for n in range(8):
        found = upstreams.at_address(f"10.0.0.{n}:1")
        assert found is by_address.get(f"10.0.0.{n}:1")


@pytest.mark.parametrize("seed", range(100))
def test_index_is_that_of_all_upstreams_after_any_changes(seed):
    rng = random.Random(seed)
    upstreams = registry.Registry()
    for _ in range(40):
        name = f"u-{rng.randrange(6)}"
        if rng.random() < 0.2:
            upstreams.remove(name)
        else:
            service = rng.choice(("ls", "ls", "hunt"))
            address = f"10.0.0.{rng.randrange(8)}:1"
            upstreams.put(entry(name, rng.randrange(3), service, address, rng.choice("ab")))
        check_index(upstreams)


def test_list_of_a_service_does_not_change_while_it_is_used():
    upstreams = registry.Registry()
    upstreams.put(entry("u-1"))
    before = upstreams.of_service("ls")
    upstreams.put(entry("u-2"))
    assert [upstream.name for upstream in before] == ["u-1"]


def test_index_is_not_built_again_for_a_known_or_a_new_entry():
    upstreams = registry.Registry()
    upstreams.put(entry("u-1"))
    upstreams.put(entry("u-2", service="hunt"))
    before = upstreams.of_service("ls"), upstreams.of_service("hunt")
    upstreams.put(entry("u-1", domain="b"))
    assert upstreams.get("u-1").entry.domain == "b"
    assert upstreams.of_service("ls") is before[0]
    upstreams.put(entry("u-3"))
    assert len(upstreams.of_service("ls")) == 2
    assert upstreams.of_service("hunt") is before[1]
