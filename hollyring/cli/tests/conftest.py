import contextlib
import json
import socket

import anyio
import anyio.from_thread
import httpcore
import pytest

from hollyring.standins import asgi
from hollyring.standins import platform as platforms


@pytest.fixture
def unused_address():
    """Return a function that returns an address at which nothing listens during the test."""
    with contextlib.ExitStack() as held:

        def hold():
            bound = held.enter_context(socket.socket())
            bound.bind(("127.0.0.1", 0))
            return f"127.0.0.1:{bound.getsockname()[1]}"

        yield hold


class PlatformStandIn:
    """Stand-in of the platform's service on loopback, with its control port."""

    def __init__(self, url, control_url):
        self.url = url
        self._control_url = control_url

    def post(self, path, content=None):
        body = json.dumps(content or {}).encode()
        response = httpcore.request("POST", f"{self._control_url}{path}", content=body)
        assert response.status == 200, response.content

    def fault(self, kind, **fields):
        self.post("/faults", {"kind": kind, **fields})


@pytest.fixture
def standin():
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
    url, control_url = [f"http://127.0.0.1:{s.getsockname()[1]}" for s in listeners]
    with anyio.from_thread.start_blocking_portal("asyncio") as portal:
        stop = portal.call(anyio.Event)
        serving = portal.start_task_soon(asgi.serve, platforms.Platform(), *listeners, stop)
        yield PlatformStandIn(url, control_url)
        portal.call(stop.set)
        serving.result()
