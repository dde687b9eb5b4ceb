"""Fixtures for the tests of the VM process."""

import contextlib

import anyio
import pytest

from hollyring.node import clock
from hollyring.node.tests import simulated_fleet, simulated_time


@pytest.fixture
def simulate(monkeypatch):
    """Return a function that runs an async test scenario with a `Fleet` of simulated VMs."""

    def run(scenario, vms=("vm-1", "vm-2", "vm-3"), upstreams=("u-1", "u-2", "u-3", "u-4", "u-5")):
        async def main():
            loop = anyio.lowlevel.current_token().native_token
            monkeypatch.setattr(clock, "now", loop.time)
            async with anyio.create_task_group() as group:
                await scenario(simulated_fleet.Fleet(group, list(vms), list(upstreams)))
                group.cancel_scope.cancel()

        with contextlib.closing(simulated_time.Loop()) as loop:
            anyio.run(main, backend_options={"loop_factory": lambda: loop})

    return run
