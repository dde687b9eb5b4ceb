"""Tests of streams that are taken up at a VM process which is out of step, on loopback."""

import asyncio
import contextlib
import signal

import anyio
import pytest

from hollyring.platform import documents
from hollyring.platform.tests import conftest, test_process, test_resumed_streams
from hollyring.routing import software_versions

pytestmark = pytest.mark.xdist_group("platform-fleets")

RESUMED = 4
LAST_EVENT = (b"last-event-id", b"10")


class HoldingProxy:
    """A proxy that passes bytes on, or holds all of them while `holds` is set."""

    def __init__(self, address):
        self._host, _, self._port = address.partition(":")
        self._passing = asyncio.Event()
        self._passing.set()
        self._tasks = set()
        self.address = ""

    @property
    def holds(self):
        return not self._passing.is_set()

    @holds.setter
    def holds(self, holds):
        if holds:
            self._passing.clear()
        else:
            self._passing.set()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        with contextlib.closing(writer), contextlib.suppress(OSError, asyncio.CancelledError):
            await self._passing.wait()
            other = await asyncio.open_connection(self._host, int(self._port))
            with contextlib.closing(other[1]):
                to_other = self._pass_on(reader, other[1])
                await asyncio.gather(to_other, self._pass_on(other[0], writer))

    async def _pass_on(self, reader, writer):
        with contextlib.closing(writer), contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self._passing.wait()
                writer.write(data)
                await writer.drain()

    @contextlib.asynccontextmanager
    async def running(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            yield self
        finally:
            server.close()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)


class Fleet:
    """Three VMs, of which the last reaches the store through a proxy, and upstreams of v1."""

    def __init__(self, store, proxy, vms, servers):
        self.store = store
        self.proxy = proxy
        self.vms = vms
        self.servers = servers

    def signal_others(self, number):
        for vm in self.vms[:-1]:
            vm.process.send_signal(number)

    async def add(self, stack, name, software):
        server = conftest.ServerStandIn(name, events=test_resumed_streams.EVENTS)
        server.software = software
        self.servers.append(await stack.enter_async_context(server.running()))
        await self.store.put(f"servers/{name}", test_resumed_streams.entry(server))

    async def take_up(self, name):
        """Take streams of unknown origin up at the last VM; return what became of them."""
        streams = [test_resumed_streams.Stream(f"{name}-{n}") for n in range(RESUMED)]
        async with anyio.create_task_group() as group:
            for stream in streams:
                origin = (b"resumes", b"unknown-%s" % stream.request_id.encode())
                group.start_soon(stream.receive, self.vms[-1], LAST_EVENT, origin)
        ran = [test_resumed_streams.software_of(self.servers, s.request_id) for s in streams]
        return [stream.status for stream in streams], ran


@pytest.fixture
async def stack():
    async with contextlib.AsyncExitStack() as made:
        yield made


@pytest.fixture
async def fleet(tmp_path, stack):
    store = await stack.enter_async_context(conftest.StoreStandIn().running())
    await store.put("op/config", test_resumed_streams.CONFIG)
    record = software_versions.Record(1, {"s": frozenset({"v1"})})
    record = documents.DocumentCodec().encode_software(record)
    await store.put(documents.STORE_KEYS.software, record)
    proxy = await stack.enter_async_context(HoldingProxy(store.address).running())
    addresses = {"vm-1": store.address, "vm-2": store.address, "vm-3": proxy.address}
    vms = [
        test_process.VmProcess(tmp_path, address, name, contracts=["engine"])
        for name, address in addresses.items()
    ]
    made = Fleet(store, proxy, vms, [])
    await made.add(stack, "i-1", "v1")
    await made.add(stack, "i-2", "v1")
    for vm in vms:
        stack.enter_context(vm.running())
    for vm in vms:
        await vm.wait_ready()
        await vm.wait_listed(len(vms))
    await anyio.sleep(test_resumed_streams.VMS_MEET_SECONDS)
    yield made
    made.signal_others(signal.SIGCONT)


@pytest.mark.anyio
async def test_vm_cut_from_store_and_others_takes_up_no_stream_that_another_version_may_have_begun(
    fleet, stack
):
    fleet.proxy.holds = True
    fleet.signal_others(signal.SIGSTOP)
    await fleet.add(stack, "i-new", "v2")
    await anyio.sleep(1.0)
    assert await fleet.take_up("after-1") == ([503] * RESUMED, [[]] * RESUMED)
    await anyio.sleep(2.0)
    assert await fleet.take_up("after-3") == ([503] * RESUMED, [[]] * RESUMED)
    fresh = test_resumed_streams.Stream("fresh")
    await fresh.receive(fleet.vms[-1])
    assert (fresh.status, fresh.whole) == (200, True)


@pytest.mark.anyio
@pytest.mark.parametrize("seconds", [1.0, 2.0])
async def test_vm_that_is_back_in_touch_asks_before_it_takes_up_a_stream(fleet, stack, seconds):
    fleet.proxy.holds = True
    fleet.signal_others(signal.SIGSTOP)
    await fleet.add(stack, "i-new", "v2")
    await anyio.sleep(seconds)
    fleet.proxy.holds = False
    assert await fleet.take_up("healed") == ([503] * RESUMED, [[]] * RESUMED)


@pytest.mark.anyio
@pytest.mark.parametrize("seconds", [0.3, 1.2, 3.0])
async def test_vm_that_was_stopped_takes_up_no_stream_that_another_version_began_meanwhile(
    fleet, stack, seconds
):
    stopped = fleet.vms[-1].process
    stopped.send_signal(signal.SIGSTOP)
    await fleet.add(stack, "i-new", "v2")
    streams = []
    async with anyio.create_task_group() as group:
        with anyio.move_on_after(seconds):
            while True:
                streams.append(test_resumed_streams.Stream(f"first-{len(streams)}"))
                group.start_soon(streams[-1].receive, fleet.vms[0])
                await anyio.sleep(0.1)
        for vm in fleet.vms[:-1]:
            vm.process.kill()
    resumed = [test_resumed_streams.Stream(f"second-{n}") for n in range(len(streams))]
    async with anyio.create_task_group() as group:
        for first, second in zip(streams, resumed, strict=True):
            if 0 < first.last_event < test_resumed_streams.EVENTS:
                names = [(b"last-event-id", b"%d" % first.last_event)]
                names.append((b"resumes", first.request_id.encode()))
                group.start_soon(second.receive, fleet.vms[-1], *names)
        await anyio.sleep(0.1)
        stopped.send_signal(signal.SIGCONT)
    for first, second in zip(streams, resumed, strict=True):
        began = set(test_resumed_streams.software_of(fleet.servers, first.request_id))
        assert set(test_resumed_streams.software_of(fleet.servers, second.request_id)) <= began


@pytest.mark.anyio
async def test_vm_without_the_store_takes_up_streams_of_one_version_that_began_at_other_vms(fleet):
    fleet.proxy.holds = True
    await anyio.sleep(3.0)
    streams = [test_resumed_streams.Stream(f"first-{n}") for n in range(RESUMED)]
    async with anyio.create_task_group() as group:
        for stream in streams:
            group.start_soon(stream.receive, fleet.vms[0])
        await anyio.sleep(0.7)
        fleet.vms[0].process.kill()
    resumed = [
        await test_resumed_streams.resume(fleet.vms[-1], stream, number)
        for number, stream in enumerate(streams)
    ]
    assert [stream.status for stream in resumed] == [200] * RESUMED
