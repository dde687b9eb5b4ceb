"""Fixtures of tests over separate processes."""

import anyio.from_thread
import pytest

from hollyring.experiments import launcher, matrix


@pytest.fixture(scope="module")
def portal():
    with anyio.from_thread.start_blocking_portal() as started:
        yield started


@pytest.fixture(scope="module")
def fleet(portal, tmp_path_factory):
    """Three VMs, three engines and two ordering servers, shared by a module's tests."""
    folder = tmp_path_factory.mktemp("fleet")
    started = matrix.create_fleet(launcher.free_base_port(), folder)
    try:
        portal.call(started.start_all)
        yield started
    finally:
        started.stop()
