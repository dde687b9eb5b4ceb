"""Settings of all tests, and their distribution to the processes of a parallel run."""

import gc

import hypothesis
import pytest

hypothesis.settings.register_profile(
    "always the same examples, however busy the machine",
    derandomize=True,
    deadline=None,
    database=None,
)
hypothesis.settings.load_profile("always the same examples, however busy the machine")

SIMULATED_TIME_FIXTURES = {"play", "simulate"}
"""Fixtures of tests that share nothing and do not depend on how fast they are played."""


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Keep the tests of a file together, but for those in simulated time or another group."""
    for item in items:
        if item.get_closest_marker("xdist_group") is not None:
            continue
        if SIMULATED_TIME_FIXTURES.isdisjoint(getattr(item, "fixturenames", ())):
            path = item.nodeid.partition("::")[0]
            item.add_marker(pytest.mark.xdist_group(path))


@pytest.fixture(scope="module", autouse=True)
def heap_of_one_module() -> None:
    """Keep the garbage collector from the objects of the modules before, which no VM has."""
    gc.unfreeze()
    gc.collect()
    gc.freeze()
