"""Crowds that keep to no limits at a process of `hollyring serve`, in all its addresses."""

import asyncio
import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import time

import anyio
import httpcore
import pytest

from hollyring.platform.tests import crowds, test_crowds, test_process
from hollyring.standins import asgi
from hollyring.standins import platform as platforms

pytestmark = pytest.mark.xdist_group("platform-processes")

START_SECONDS = 10.0
STARTS = {
    "callers": b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n",
    "admin": b"GET /ready HTTP/1.1\r\nhost: x\r\n",
}
FORMS = ("heads without end", "a trailer line without end", "empty lines without end")


@contextlib.asynccontextmanager
async def platform():
    """Yield the URL of a stand-in of the service that the settings name."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
    async with anyio.create_task_group() as group:
        stop = anyio.Event()
        group.start_soon(asgi.serve, platforms.Platform(), *listeners, stop)
        host, port = listeners[0].getsockname()
        yield f"http://{host}:{port}"
        stop.set()


class ServedVm:
    """A process of `hollyring serve`, and its addresses."""

    def __init__(self, directory, platform):
        ports = test_process.free_ports(3)
        self.addresses = {"callers": ("127.0.0.1", ports[0]), "admin": ("127.0.0.1", ports[1])}
        names = ("caller_address", "admin_address", "peer_address")
        content = {name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)}
        content |= {"name": "vm-1", "region": "r", "failure_domain": "d", "platform": platform}
        content |= {"peer_keys": ["a-key-of-sixteen-bytes"], "memory_mb": test_crowds.MEMORY_MB}
        self.path = directory / "vm.json"
        self.path.write_text(json.dumps(content))
        self.log_path = directory / "vm.log"
        self.process = None

    @contextlib.contextmanager
    def running(self):
        root = str(pathlib.Path(__file__).parents[3])
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "hollyring", "serve", str(self.path)],
                env=os.environ | {"PYTHONPATH": root},
                stderr=log,
                cwd=root,
            )
        try:
            yield self
        finally:
            self.process.kill()
            self.process.wait()

    async def is_answering(self):
        """Return whether the admin port and the callers' port answer within the start's time."""
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                async with httpcore.AsyncConnectionPool() as pool:
                    for host, port in self.addresses.values():
                        await pool.request("GET", f"http://{host}:{port}/ready")
                return True
            await asyncio.sleep(0.05)
        return False


@pytest.mark.anyio
@pytest.mark.parametrize("name", STARTS)
@pytest.mark.parametrize("form", FORMS)
async def test_crowd_does_not_end_a_served_vm(tmp_path, name, form):
    async with platform() as url:
        with ServedVm(tmp_path, url).running() as vm:
            await _play(vm, name, form)


async def _play(vm, name, form):
    assert await vm.is_answering()
    send, *arguments = crowds.FORMS[form]
    until = time.monotonic() + test_crowds.PLAY_SECONDS
    address, start = vm.addresses[name], STARTS[name]
    calls = [
        crowds.call_until(address, until, send, start, *arguments) for _ in range(test_crowds.CROWD)
    ]
    async with crowds.within_memory(vm):
        await crowds.play(vm, calls)
        crowds.assert_within_memory(vm)
        assert await vm.is_answering()
        crowds.assert_within_memory(vm)
