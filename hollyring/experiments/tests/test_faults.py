"""Scenarios of the fault matrix with separate processes."""

import pytest
import pytest_bdd

from hollyring.experiments import matrix

pytestmark = pytest.mark.xdist_group("experiments-faults")

SEED = 1

pytest_bdd.scenarios("features/faults.feature")


@pytest_bdd.given("a fleet of processes that serves")
def wait_until_serving(portal, fleet):
    portal.call(matrix.wait_until_serving, fleet)


@pytest_bdd.when(pytest_bdd.parsers.parse('"{names}" strikes under traffic and is healed'))
def run_cell(portal, fleet, names, request):
    faults = tuple(names.split(" + "))
    request.node.cell = portal.call(matrix.run_cell, fleet, faults, SEED)


@pytest_bdd.then("no promise is broken")
def no_promise_is_broken(request):
    assert request.node.cell.broken == []


@pytest_bdd.then("some requests were complete")
def some_requests_were_complete(request):
    assert request.node.cell.complete > 0
