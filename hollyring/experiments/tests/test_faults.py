"""Scenario outlines of the fault matrix over separate processes."""

import anyio.from_thread
import pytest
import pytest_bdd

from hollyring.experiments import launcher, matrix

SEED = 1

pytest_bdd.scenarios("features/faults.feature")


@pytest.fixture(scope="module")
def portal():
    with anyio.from_thread.start_blocking_portal() as started:
        yield started


@pytest.fixture(scope="module")
def fleet(portal, tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    started = matrix.fleet_at(launcher.free_base_port(), folder)
    try:
        portal.call(started.start_all)
        yield started
    finally:
        started.stop()


@pytest_bdd.given("a fleet of processes that serves")
def serving(portal, fleet):
    portal.call(matrix.serves, fleet)


@pytest_bdd.when(pytest_bdd.parsers.parse('"{names}" strikes under traffic and is healed'))
def strikes(portal, fleet, names, request):
    faults = tuple(names.split(" + "))
    request.node.cell = portal.call(matrix.run_cell, fleet, faults, SEED)


@pytest_bdd.then("no promise is broken")
def no_promise_is_broken(request):
    assert request.node.cell.broken == []


@pytest_bdd.then("some requests were complete")
def some_were_complete(request):
    assert request.node.cell.complete > 0
