import contextlib
import json
import socket

import anyio
import anyio.from_thread
import httpcore
import pytest

from hollyring.standins import asgi
from hollyring.standins import platform as platforms


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


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


def _is_listening(port):
    with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 1):
        return True
    return False


@pytest.fixture
def standin():
    port, control_port = free_port(), free_port()
    with anyio.from_thread.start_blocking_portal("asyncio") as portal:
        stop = portal.call(anyio.Event)
        app = platforms.Platform()
        serving = portal.start_task_soon(asgi.serve, app, "127.0.0.1", port, control_port, stop)
        while not (_is_listening(port) and _is_listening(control_port)):
            portal.call(anyio.sleep, 0.01)
        yield PlatformStandIn(f"http://127.0.0.1:{port}", f"http://127.0.0.1:{control_port}")
        portal.call(stop.set)
        serving.result()
