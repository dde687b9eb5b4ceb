"""Tests of a VM that leaves within requests that it executes for other VMs."""

import pytest

from hollyring.node import clock
from hollyring.platform.tests import test_forwarded_requests

start_fleet = test_forwarded_requests.start_fleet


@pytest.mark.anyio
async def test_leaving_vm_declines_a_request_of_another_that_may_run_once_and_outlast_it(
    start_fleet,
):
    fleet = await start_fleet("complete", count=2)
    fleet.executing[0].state.leave(clock.now(), 1.0)
    caller = await fleet.cut.send_request()
    assert caller.status == 200
    assert [len(vm.messages) for vm in fleet.executing] == [1, 1]
