"""Fixtures for tests with separate processes."""

import anyio.from_thread
import pytest

from hollyring.experiments import launcher, matrix


@pytest.fixture(scope="module")
def portal():
    with anyio.from_thread.start_blocking_portal() as started:
        yield started


@pytest.fixture(scope="module")
def fleet(portal, tmp_path_factory):
    """Start three VMs, three inference servers and two order services, shared within a module."""
    folder = tmp_path_factory.mktemp("fleet")
    started = matrix.create_fleet(launcher.free_base_port(), folder)
    try:
        portal.call(started.start_all)
        yield started
    finally:
        started.stop()
