import random

import pytest

from hollyring.configuration import deployment
from hollyring.core import request_types


def route(name, prefix, *splits, host="h.example"):
    return deployment.Route(
        name,
        host,
        prefix,
        request_types.RetrySafety.AT_MOST_ONCE,
        False,
        1.0,
        0.1,
        0,
        tuple(deployment.Split(*split) for split in splits) or (deployment.Split("s", 1.0),),
        1,
        False,
    )


@pytest.fixture
def current():
    """Three nested routes on one host, one on another, and two organisations."""
    organisations = [
        deployment.Organisation("a", ("k1", "k2"), 10.0, 10.0, True, 200, False, None),
        deployment.Organisation("b", ("k3",), 0.0, 0.0, False, 0, True, 0),
    ]
    routes = [
        route("all", "/"),
        route("one", "/x/"),
        route("two", "/x/y/"),
        route("other", "/x/y/z/", host="o.example"),
    ]
    return deployment.Deployment(3, routes, [], organisations, deployment.RequestLimits(), True)


@pytest.mark.parametrize(
    ("path", "name"),
    [("/", "all"), ("/x", "all"), ("/x/", "one"), ("/x/yy/a", "one"), ("/x/y/a/b", "two")],
)
def test_route_for_returns_longest_prefix_ending_with_slash(current, path, name):
    assert current.route_for("h.example", path).name == name


def test_route_for_ignores_routes_of_other_hosts(current):
    assert current.route_for("o.example", "/x/y/") is None
    assert current.route_for("unknown", "/") is None


def test_key_maps_to_its_organisation(current):
    assert current.organisation_for_key("k2").name == "a"
    assert current.organisation_for_key("") is None


def test_service_for_follows_split_weights():
    split = route("r", "/", ("a", 90.0), ("b", 10.0))
    taken = [split.service_for(f"request-{n}") for n in range(2000)]
    assert 0.86 < taken.count("a") / len(taken) < 0.94


def test_cost_is_in_the_unit_of_the_rate(current):
    prompt = request_types.Prompt("m", (), 1460, 80)
    assert current.organisations["a"].cost(prompt) == 1540.0
    assert current.organisations["a"].cost(None) == 200.0
    assert current.organisations["b"].cost(prompt) == 1.0


def with_organisations(isolated_by_name):
    organisations = [
        deployment.Organisation(name, (name,), 0.0, 0.0, False, 0, is_isolated, None)
        for name, is_isolated in isolated_by_name.items()
    ]
    return deployment.Deployment(1, [], [], organisations, deployment.RequestLimits(), True)


@pytest.mark.parametrize("seed", range(20))
def test_isolated_organisation_shares_no_cached_prompt_whatever_was_in_force_before(seed):
    """Organisations come, go, are isolated and released; VMs may still have the version before."""
    rng = random.Random(seed)
    makers = {}
    before = with_organisations({})
    for _ in range(60):
        names = rng.sample("abcd", rng.randint(1, 4))
        isolated = {name: rng.random() < 0.4 for name in names}
        current = with_organisations(isolated)
        for name in names:
            found = makers.setdefault(current.cache_group(current.organisations[name]), set())
            for maker in found - {name}:
                assert not isolated[name]
                assert not isolated.get(maker, False)
        for of in (before, current):
            for organisation in of.organisations.values():
                makers.setdefault(of.cache_group(organisation), set()).add(organisation.name)
        before = current


def test_cache_group_of_an_organisation_is_that_of_the_configuration_in_force():
    before = with_organisations({"a": False, "b": False})
    current = with_organisations({"a": True})
    assert current.cache_group(before.organisations["a"]) == "a"
    assert current.cache_group(before.organisations["b"]) == current.cache_group(None)
    assert current.cache_group(None) != before.cache_group(None) == ""


def test_cache_group_does_not_depend_on_the_order_of_organisations():
    one = with_organisations({"a": True, "b": True, "c": False})
    other = with_organisations({"c": False, "b": True, "a": True})
    assert one.cache_group(None) == other.cache_group(None)
