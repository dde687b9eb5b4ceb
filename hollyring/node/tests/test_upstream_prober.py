"""A VM finds out over real connections whether it is cut off from its upstreams."""

import contextlib
import socket
import struct

import anyio
import pytest

from hollyring.membership import heartbeat
from hollyring.node import clock, connection_pool, exchanges, state, upstream_prober
from hollyring.node.tests import simulated_fleet
from hollyring.routing import registry

SERVICE = "ls"
VM = heartbeat.VmInfo("vm-1", 1, "vm-1:1", "vm-1:2", "dar-a", "dar")


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Listener:
    """Upstream that takes connections, leaves them hanging, refuses or resets them."""

    def __init__(self):
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.setblocking(False)
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.accepted = []
        self.fillers = []

    def hang(self):
        """Take no more connections, as the queue is full."""
        self.socket.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.socket.getsockname())
            self.fillers.append(filler)

    def take(self):
        """Take connections from now on."""
        for filler in self.fillers:
            filler.close()
        self.socket.listen(16)

    def accept(self):
        """Accept what waits; return the number of all connections."""
        with contextlib.suppress(BlockingIOError):
            while True:
                self.accepted.append(self.socket.accept()[0])
        return len(self.accepted)

    def reset(self):
        """Reset the accepted connections and refuse others."""
        self.accept()
        self.close()

    def close(self):
        while self.accepted:
            connection = self.accepted.pop()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()
        for filler in self.fillers:
            filler.close()
        self.socket.close()


class Vm:
    """State, pool and prober of a VM with three upstreams."""

    def __init__(self):
        keys = simulated_fleet.STORE_KEYS
        self.state = state.State(VM, simulated_fleet.StoreCodec(), keys, simulated_fleet.RETRIES)
        self.pool = connection_pool.ConnectionPool()
        self.heartbeats = []
        self.prober = upstream_prober.UpstreamProber(
            self.state, self.pool, lambda: self.heartbeats.append(clock.now())
        )
        self.upstreams = [Listener() for _ in range(3)]
        for number, upstream in enumerate(self.upstreams):
            entry = registry.Entry(
                f"u-{number}", SERVICE, upstream.address, "dar-a", 8, False, 1, {}
            )
            self.state.registry.put(entry)

    @property
    def cut_off(self):
        return self.state.reachability.is_cut_off(SERVICE)

    async def connect(self, number):
        """Open a connection for a request; return whether the upstream took it."""
        with contextlib.suppress(exchanges.NotSentError):
            await self.pool.acquire(self.upstreams[number].address, 9)
            return True
        return False

    async def wait_for(self, condition, seconds):
        with anyio.fail_after(seconds):
            while not condition():
                await anyio.sleep(0.01)


@pytest.fixture
async def vm():
    """A VM whose prober runs."""
    running = Vm()
    async with anyio.create_task_group() as group:
        group.start_soon(running.prober.run)
        yield running
        group.cancel_scope.cancel()
    running.pool.close()
    for upstream in running.upstreams:
        upstream.close()


@pytest.mark.anyio
async def test_vm_is_cut_off_when_connections_hang_and_not_once_one_is_taken(vm):
    for upstream in vm.upstreams:
        upstream.hang()
    assert not await vm.connect(0)
    await vm.wait_for(lambda: vm.cut_off, 0.5)
    assert len(vm.heartbeats) == 1
    vm.upstreams[1].accept()
    vm.upstreams[1].take()
    await vm.wait_for(lambda: not vm.cut_off, 1.0)
    assert len(vm.heartbeats) == 2


@pytest.mark.anyio
async def test_vm_is_cut_off_when_its_open_connections_are_reset_and_new_ones_refused(vm):
    for number, upstream in enumerate(vm.upstreams):
        upstream.take()
        assert await vm.connect(number)
    for upstream in vm.upstreams:
        upstream.reset()
    await vm.wait_for(lambda: vm.cut_off, 0.5)


@pytest.mark.anyio
async def test_vm_is_not_cut_off_when_one_upstream_refuses(vm):
    for upstream in vm.upstreams[1:]:
        upstream.take()
    for _ in range(5):
        assert not await vm.connect(0)
        await anyio.sleep(0.05)
        assert not vm.cut_off
    assert vm.heartbeats == []
    assert sum(upstream.accept() for upstream in vm.upstreams[1:]) <= 2


@pytest.mark.anyio
async def test_connection_of_a_probe_is_kept_for_a_request(vm):
    for upstream in vm.upstreams[1:]:
        upstream.take()
    assert not await vm.connect(0)
    await anyio.sleep(0.1)
    opened = vm.pool.opened
    assert opened == 2
    assert await vm.connect(1)
    assert await vm.connect(2)
    assert vm.pool.opened == opened


@pytest.mark.anyio
async def test_connections_that_upstreams_close_raise_no_suspicion(vm):
    for number, upstream in enumerate(vm.upstreams):
        upstream.take()
        assert await vm.connect(number)
        upstream.accept()
    opened = vm.pool.opened
    for upstream in vm.upstreams:
        upstream.accepted.pop().close()
    await anyio.sleep(0.1)
    assert not vm.state.reachability.is_any_suspected
    assert vm.pool.opened == opened
