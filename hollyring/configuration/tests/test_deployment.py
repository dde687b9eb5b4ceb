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
