"""Distribution of the tests to the processes of a parallel run."""

import pytest


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Keep the tests of a file together, but for those that name another group."""
    for item in items:
        if item.get_closest_marker("xdist_group") is None:
            path = item.nodeid.partition("::")[0]
            item.add_marker(pytest.mark.xdist_group(path))
