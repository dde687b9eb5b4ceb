"""Connections of which more are opened at the same moment than an address may have.

What a client sends at once is read before its connection may be closed for another one. The process
is stopped while they are opened, so that all of them wait to be accepted when it goes on.
"""

import asyncio
import contextlib
import signal

import pytest

from hollyring.platform.tests import crowds, test_crowds, test_held_connections

pytestmark = pytest.mark.xdist_group("platform-processes")

ANSWER_SECONDS = 20.0
FIRST_BYTES = 12
"""Bytes of an answer up to its status."""


async def read_status(reader):
    """Return the status of an answer, 0 if the connection was closed without one."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        return int((await reader.readexactly(FIRST_BYTES)).split(b" ")[1])
    return 0


@pytest.mark.anyio
@pytest.mark.parametrize("name", ["directory", "health", "metrics"])
async def test_requests_that_wait_to_be_accepted_are_all_answered(tmp_path, name):
    async with crowds.serving(tmp_path) as (vm,), contextlib.AsyncExitStack() as stack:
        test_held_connections.limit_descriptors(vm)
        await vm.wait_ready()
        readers = []
        vm.process.send_signal(signal.SIGSTOP)
        try:
            for _ in range(test_crowds.CROWD):
                reader, writer = await asyncio.open_connection(*crowds.address_of(vm, name))
                stack.callback(writer.close)
                writer.write(crowds.STARTS[name] + b"\r\n")
                await writer.drain()
                readers.append(reader)
        finally:
            vm.process.send_signal(signal.SIGCONT)
        async with asyncio.timeout(ANSWER_SECONDS):
            statuses = [await read_status(reader) for reader in readers]
        assert statuses == [200] * test_crowds.CROWD
