"""A VM whose path to the store is slow handles requests by no configuration that was replaced."""

import asyncio
import contextlib

import anyio
import httpcore
import pytest

from hollyring.platform.tests import conftest, test_process

pytestmark = [pytest.mark.anyio, pytest.mark.xdist_group("platform-processes")]

ROUTE = test_process.CONFIG["routes"][0]
ADDED_ROUTE = ROUTE | {"name": "added", "prefix": "/added/"}
SENT_SECONDS = 0.1
"""Time between two requests."""

CHANGES = [
    ({"routes": [ROUTE, ADDED_ROUTE]}, "/added/x", 200),
    ({"routes": [ADDED_ROUTE]}, "/a/x", 404),
    ({"tenants": []}, "/added/x", 401),
]
"""Changes of the configuration, each with a path and the status that only the change gives it."""


class SlowProxy:
    """Passes bytes on between VMs and the store, each way half of `seconds` later."""

    def __init__(self, address):
        self.seconds = 0.0
        self.address = ""
        self._host, _, self._port = address.rpartition(":")
        self._tasks = set()

    @contextlib.asynccontextmanager
    async def running(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1")
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            yield self
        finally:
            server.close()
            for task in list(self._tasks):
                task.cancel()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        to_reader, to_writer = await asyncio.open_connection(self._host, self._port)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass_on(reader, to_writer))
                group.create_task(self._pass_on(to_reader, writer))
        except* OSError:  # a reset of either side; `contextlib.suppress` takes no groups in 3.11
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.close()
            to_writer.close()

    async def _pass_on(self, reader, writer):
        while data := await reader.read(65_536):
            await asyncio.sleep(self.seconds / 2)
            writer.write(data)
        writer.close()


async def send(vm, path):
    headers = [(b"host", b"h.example"), test_process.KEY, (b"x-request-id", b"r")]
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("POST", vm.caller_url + path, headers=headers, content=b"b")
        return response.status


@pytest.mark.parametrize("seconds", [0.3, 0.45, 0.6, 1.3])
async def test_changes_are_in_force_in_time_at_a_vm_whose_path_to_the_store_is_slow(
    tmp_path, seconds
):
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(conftest.StoreStandIn().running())
        server = await stack.enter_async_context(conftest.ServerStandIn().running())
        proxy = await stack.enter_async_context(SlowProxy(store.address).running())
        await store.put("op/config", test_process.CONFIG)
        await store.put("servers/i-1", conftest.make_entry(server.address))
        addresses = {"vm-1": store.address, "vm-2": store.address, "vm-3": proxy.address}
        vms = [
            stack.enter_context(test_process.VmProcess(tmp_path, address, name).running())
            for name, address in addresses.items()
        ]
        for vm in vms:
            await vm.wait_ready()
            await vm.wait_listed(len(vms))
        proxy.seconds = seconds
        config = test_process.CONFIG
        for number, (change, path, status) in enumerate(CHANGES, start=4):
            config = config | change | {"version": number}
            await store.put("op/config", config)
            await anyio.sleep(test_process.CONFIGURATION_SECONDS)
            for _ in range(5):
                assert await send(vms[-1], path) == status
                await anyio.sleep(SENT_SECONDS)
