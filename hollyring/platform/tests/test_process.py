"""Tests of the VM process with the platform's settings file, against stand-ins on loopback."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import anyio
import httpcore
import pytest

from hollyring.experiments import port_ranges
from hollyring.platform import settings
from hollyring.platform.tests import conftest

pytestmark = pytest.mark.xdist_group("platform-processes")

ROOT = pathlib.Path(__file__).parents[3]
START_SECONDS = 10.0
LOG_SECONDS = 5.0
"""Time for a VM to log the end of a request after its caller has the answer."""

CONFIGURATION_SECONDS = 2.0
"""Time within which a configuration is in force everywhere."""

DRAIN_SECONDS = 2.0
"""Time within which a leaving upstream gets no more requests."""

FIRST_PORT = 10_000
LAST_PORT = 19_999
"""Ports of VMs are below the ephemeral range, whose ports an outgoing connection could take."""

PORTS_PER_RANGE = 100
"""Ports that a process reserves at once; the last one holds the reservation."""

KEY = (b"authorization", b"Bearer k")

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h.example",
            "prefix": "/a/",
            "kind": "unsafe",
            "timeout_ms": 2000,
            "target_latency_ms": 200,
            "service": "s",
        }
    ],
    "services": [{"name": "s", "max_connections": 100}],
    "tenants": [{"name": "t", "api_keys": ["k"]}],
}


def is_free(port):
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True


def range_is_free(base):
    return all(is_free(port) for port in range(base, base + PORTS_PER_RANGE - 1))


def reserved_ports():
    """Yield ports that only this process gets, in ascending order within each reserved range."""
    bases = range(FIRST_PORT, LAST_PORT + 1, PORTS_PER_RANGE)
    while (base := port_ranges.reserve(bases, PORTS_PER_RANGE, range_is_free)) is not None:
        yield from range(base, base + PORTS_PER_RANGE - 1)


RESERVED_PORTS = reserved_ports()


def free_ports(count):
    """Return `count` free ports that this process has not returned before.

    They are consecutive, as the second internal port of a VM is its first plus one.
    """
    ports = []
    for port in RESERVED_PORTS:
        if ports and port != ports[-1] + 1:
            ports = []
        if is_free(port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError(f"no {count} consecutive free ports from {FIRST_PORT} to {LAST_PORT}")


class VmProcess:
    """A VM process and its addresses. `root` is the checkout that its next start runs from."""

    def __init__(
        self,
        directory,
        store_address,
        name="vm-1",
        contracts=(),
        grace_seconds=8.0,
        domain="dar-a",
        module="hollyring.platform",
        root=ROOT,
    ):
        self.module = module
        self.root = root
        caller_port, health_port, entry_port, peer_port, metrics_port = free_ports(5)
        self.caller_url = f"http://127.0.0.1:{caller_port}"
        self.health_url = f"http://127.0.0.1:{health_port}/hollyring/ready"
        self.entry_url = f"http://127.0.0.1:{entry_port}/hollyring/resolve?name=h.example"
        self.metrics_url = f"http://127.0.0.1:{metrics_port}/metrics"
        self.settings_path = directory / f"{name}.toml"
        self.settings_path.write_text(f"""
            node_name = "{name}"
            ip = "127.0.0.1"
            zone = "{domain}"
            region = "dar"
            internal_ports = [{peer_port}, {metrics_port}]
            contracts = {json.dumps(contracts)}
            [listen]
            front = "127.0.0.1:{caller_port}"
            ready = "127.0.0.1:{health_port}"
            directory = "127.0.0.1:{entry_port}"
            [platform]
            address = "{store_address}"
            [bounds]
            grace_s = {grace_seconds}
            """)
        self.log_path = directory / f"{name}.log"
        self.process = None

    def start(self):
        environment = os.environ | {
            settings.ENVIRONMENT_VARIABLE: str(self.settings_path),
            "PYTHONPATH": str(self.root),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module],
                env=environment,
                stdout=log,
                cwd=self.root,
            )

    @contextlib.contextmanager
    def running(self):
        """Start the process, and end it with the context, also if it did not become ready."""
        self.start()
        try:
            yield self
        finally:
            self.process.kill()
            self.process.wait()

    async def wait_ready(self):
        started_at = time.monotonic()
        while time.monotonic() - started_at < START_SECONDS:
            if await get_status(self.health_url) == 200:
                return
            await anyio.sleep(0.05)
        raise AssertionError("VM did not become ready in time")

    async def wait_listed(self, count):
        """Wait until callers are sent to `count` VMs."""
        with anyio.fail_after(START_SECONDS):
            while len(await self.entry_addresses()) != count:
                await anyio.sleep(0.05)

    async def entry_addresses(self):
        async with httpcore.AsyncConnectionPool() as pool:
            return json.loads((await pool.request("GET", self.entry_url)).content)["addresses"]

    def log_lines(self):
        return [json.loads(line) for line in self.log_path.read_text().splitlines()]

    async def wait_logged(self, text):
        """Wait until a line with `text` is logged, and return all such lines."""
        with anyio.fail_after(LOG_SECONDS):
            while not (lines := [line for line in self.log_lines() if line.get("text") == text]):
                await anyio.sleep(0.01)
        return lines


async def get_status(url):
    with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
        async with httpcore.AsyncConnectionPool() as pool:
            return (await pool.request("GET", url)).status
    return 0


async def post(vm, request_id):
    headers = [(b"host", b"h.example"), KEY, (b"x-request-id", request_id.encode())]
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request("POST", vm.caller_url + "/a/b", headers=headers, content=b"body")


def encode_request(request_id):
    head = f"POST /a/b HTTP/1.1\r\nhost: h.example\r\nx-request-id: {request_id}\r\n"
    head += "authorization: Bearer k\r\ncontent-length: 4\r\n\r\n"
    return head.encode() + b"body"


def send_and_leave(vm, request_id, connection=None):
    """Send a whole request and close the connection without waiting for the response."""
    host, _, port = vm.caller_url.removeprefix("http://").partition(":")
    connection = connection or socket.create_connection((host, int(port)))
    connection.sendall(encode_request(request_id))
    connection.close()


def read_status(connection):
    """Return the status of the next response on a connection, and close it."""
    with contextlib.closing(connection):
        return int(connection.recv(65_536).split(b" ")[1])


@pytest.fixture
async def cluster(tmp_path):
    """Yield a store with a configuration, a server, and a function that starts VMs."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(conftest.StoreStandIn().running())
        server = await stack.enter_async_context(conftest.ServerStandIn().running())
        await store.put("op/config", CONFIG)
        await store.put("servers/i-1", conftest.make_entry(server.address))
        started = []

        def start(name="vm-1", **options):
            vm = VmProcess(tmp_path, store.address, name, **options)
            vm.start()
            started.append(vm)
            return vm

        yield store, server, start
        for vm in started:
            if vm.process.poll() is None:
                vm.process.kill()
            vm.process.wait()


@pytest.mark.anyio
async def test_process_serves_reloads_settings_and_stops_gracefully(cluster):
    store, server, start = cluster
    vm = start()
    await vm.wait_ready()
    response = await post(vm, "r-1")
    assert (response.status, response.content) == (200, b"done by i-1")
    async with httpcore.AsyncConnectionPool() as pool:
        entry_points = json.loads((await pool.request("GET", vm.entry_url)).content)
    assert entry_points["addresses"] == [vm.caller_url.removeprefix("http://")]
    vm.process.send_signal(signal.SIGHUP)
    await anyio.sleep(0.3)
    assert vm.process.poll() is None
    vm.process.send_signal(signal.SIGTERM)
    await anyio.sleep(0.3)
    assert await get_status(vm.health_url) == 503
    response = await post(vm, "r-2")
    assert response.status == 200
    assert (b"connection", b"close") in [(n.lower(), v) for n, v in response.headers]
    with anyio.fail_after(8.0):
        while vm.process.poll() is None:
            await anyio.sleep(0.1)
    texts = [line.get("text", "") for line in vm.log_lines()]
    for text in ("vm: started", "vm: settings read", "vm: leaving", "vm: stopped"):
        assert text in texts
    sent, ended = [line for line in vm.log_lines() if line.get("request") == "r-1"]
    assert (sent["text"], sent["upstream"]) == ("request: sent", "i-1")
    assert (ended["outcome"], ended["status"], ended["upstream"]) == ("answered", 200, "i-1")


async def wait_loaded(vm, library):
    """Wait until a starting process has loaded a library that it imports early."""
    maps = pathlib.Path(f"/proc/{vm.process.pid}/maps")
    with anyio.fail_after(START_SECONDS):
        while library not in maps.read_text():
            await anyio.sleep(0.001)


@pytest.mark.anyio
async def test_starting_process_is_not_ended_by_a_signal_to_read_its_settings_again(cluster):
    store, server, start = cluster
    vm = start()
    await wait_loaded(vm, "msgspec")
    vm.process.send_signal(signal.SIGHUP)
    await vm.wait_ready()
    assert "vm: settings read" in [line.get("text") for line in vm.log_lines()]


@pytest.mark.anyio
async def test_request_that_lay_unread_until_its_caller_left_is_not_sent_on(cluster):
    store, server, start = cluster
    vm = start()
    await vm.wait_ready()
    host, _, port = vm.caller_url.removeprefix("http://").partition(":")
    kept = [socket.create_connection((host, int(port))) for _ in range(5)]
    async with anyio.create_task_group() as task_group:
        for number in range(10):
            task_group.start_soon(post, vm, f"open-upstream-connection-{number}")
    server.requests.clear()
    vm.process.send_signal(signal.SIGSTOP)
    for number in range(5):
        send_and_leave(vm, f"r-{number}")
        send_and_leave(vm, f"kept-{number}", kept[number])
    vm.process.send_signal(signal.SIGCONT)
    assert (await post(vm, "r-5")).status == 200
    assert [request.headers["x-request-id"] for request in server.requests] == ["r-5"]


@pytest.mark.anyio
async def test_request_read_with_a_late_event_loop_is_not_handled_by_an_older_configuration(
    cluster,
):
    store, server, start = cluster
    vm = start()
    await vm.wait_ready()
    host, _, port = vm.caller_url.removeprefix("http://").partition(":")
    connections = [socket.create_connection((host, int(port))) for _ in range(10)]
    await anyio.sleep(0.3)
    vm.process.send_signal(signal.SIGSTOP)
    await store.put("op/config", CONFIG | {"version": 9, "tenants": []})
    await anyio.sleep(CONFIGURATION_SECONDS + 0.2)
    for number, connection in enumerate(connections):
        connection.sendall(encode_request(f"r-{number}"))
    vm.process.send_signal(signal.SIGCONT)
    statuses = [await anyio.to_thread.run_sync(read_status, each) for each in connections]
    assert statuses == [401] * len(connections)
    assert server.requests == []


@pytest.mark.anyio
async def test_requests_of_one_caller_that_left_unread_do_not_hold_up_the_stop(cluster):
    store, server, start = cluster
    vm = start()
    await vm.wait_ready()
    host, _, port = vm.caller_url.removeprefix("http://").partition(":")
    connection = socket.create_connection((host, int(port)))
    vm.process.send_signal(signal.SIGSTOP)
    connection.sendall(encode_request("r-1") + encode_request("r-2"))
    connection.close()
    vm.process.send_signal(signal.SIGCONT)
    await anyio.sleep(1.5)
    async with httpcore.AsyncConnectionPool() as pool:
        page = (await pool.request("GET", vm.metrics_url)).content.decode()
    assert "hollyring_open_requests 0\n" in page
    assert server.requests == []


@pytest.mark.anyio
async def test_request_at_an_upstream_is_answered_when_bytes_that_are_no_request_follow_it(cluster):
    store, server, start = cluster
    server.delay_seconds = 0.5
    route = CONFIG["routes"][0] | {"timeout_ms": 20_000}
    await store.put("op/config", CONFIG | {"version": 4, "routes": [route]})
    vm = start()
    await vm.wait_ready()
    host, _, port = vm.caller_url.removeprefix("http://").partition(":")
    connection = socket.create_connection((host, int(port)))
    connection.sendall(encode_request("r-1") + b"what\r\n\r\n" + encode_request("r-2"))
    assert await anyio.to_thread.run_sync(read_status, connection) == 200
    await anyio.sleep(0.2)
    assert [request.headers["x-request-id"] for request in server.requests] == ["r-1"]


@pytest.mark.anyio
async def test_store_change_takes_effect_within_a_second_and_older_version_does_not(cluster):
    store, server, start = cluster
    vm = start()
    await vm.wait_ready()
    await store.put("op/config", CONFIG | {"version": 9, "tenants": []})
    await anyio.sleep(1.0)
    assert (await post(vm, "r-1")).status == 401
    await store.put("op/config", CONFIG | {"version": 4})
    await anyio.sleep(0.3)
    assert (await post(vm, "r-2")).status == 401
    assert server.requests == []


@pytest.mark.anyio
async def test_change_with_a_reused_revision_takes_effect_after_the_store_came_back_older(cluster):
    store, _, start = cluster
    vms = [start("vm-1"), start("vm-2")]
    for vm in vms:
        await vm.wait_ready()
    copy = store.copy()
    for version in (4, 5, 6):
        await store.put("op/config", CONFIG | {"version": version})
    await anyio.sleep(1.0)
    await store.restore(copy)
    without_keys = CONFIG | {"version": 7, "tenants": [CONFIG["tenants"][0] | {"api_keys": ["x"]}]}
    await store.put("op/config", without_keys)
    await anyio.sleep(2.0)
    for vm in vms:
        assert (await post(vm, "r-1")).status == 401
        rises = [
            line
            for line in vm.log_lines()
            if line.get("text") == "store: store returned from an older copy"
        ]
        assert [(line["era"], line["before"]) for line in rises] == [(2, 1)]
    assert {"hollyring/vm/vm-1", "hollyring/vm/vm-2"} <= store.items.keys()


@pytest.mark.anyio
async def test_vms_list_each_other_and_keep_serving_during_store_outage(cluster):
    store, server, start = cluster
    first, second = start("vm-1"), start("vm-2")
    await first.wait_ready()
    await second.wait_ready()
    for vm in (first, second):
        await vm.wait_listed(2)
    store.failure_status = 503
    await anyio.sleep(1.5)
    for vm in (first, second):
        async with httpcore.AsyncConnectionPool() as pool:
            entry_points = json.loads((await pool.request("GET", vm.entry_url)).content)
        assert len(entry_points["addresses"]) == 2
        assert (await post(vm, f"r-{vm.caller_url}")).status == 200
    second.process.kill()
    await anyio.sleep(1.8)
    async with httpcore.AsyncConnectionPool() as pool:
        entry_points = json.loads((await pool.request("GET", first.entry_url)).content)
    assert entry_points["addresses"] == [first.caller_url.removeprefix("http://")]


@pytest.mark.anyio
async def test_interrupted_stream_closes_the_connection_and_logs_no_exception(cluster):
    """The caller must not mistake the stream for complete; no exception may be logged."""
    store, server, start = cluster
    server.behaviour = "interrupt"
    engine = {"slots": 8, "kv_capacity": 9000, "kv_token_bytes": 8, "link_mbps": 10.0}
    services = [{"name": "s", "engine": engine | {"models": [{"name": "m"}]}}]
    routes = [CONFIG["routes"][0] | {"kind": "streaming"}]
    changed = {"version": 4, "services": services, "routes": routes}
    await store.put("op/config", CONFIG | changed)
    models = [{"name": "m", "version": 1}]
    await store.put("servers/i-1", conftest.make_entry(server.address, models=models))
    vm = start()
    await vm.wait_ready()
    headers = [(b"host", b"h.example"), KEY, (b"x-request-id", b"r-1"), (b"x-model", b"m")]
    headers += [(b"x-token-counts", b"10,5"), (b"x-prompt-prefix", b"a:6,b:4")]
    with pytest.raises(httpcore.RemoteProtocolError):
        async with httpcore.AsyncConnectionPool() as pool:
            await pool.request("POST", vm.caller_url + "/a/b", headers=headers, content=b"x")
    ended, *_ = await vm.wait_logged("request: ended")
    await anyio.sleep(0.2)
    assert not [line for line in vm.log_lines() if "trace" in line]
    assert ended["outcome"] == "upstream_failed"


@pytest.mark.anyio
async def test_draining_and_malformed_upstreams_receive_no_requests(cluster):
    store, server, start = cluster
    vm = start()
    await vm.wait_ready()
    await store.put("servers/i-9", b"\xff not an entry")
    await store.put("servers/i-1", conftest.make_entry(server.address, state="draining"))
    await anyio.sleep(DRAIN_SECONDS)
    assert (await post(vm, "r-1")).status == 503
    assert server.requests == []


@pytest.mark.parametrize("text", ["", "node_name = 5", "not toml"])
def test_bad_settings_exit_with_status_2(tmp_path, text):
    path = tmp_path / "bad.toml"
    path.write_text(text)
    environment = os.environ | {settings.ENVIRONMENT_VARIABLE: str(path), "PYTHONPATH": str(ROOT)}
    command = [sys.executable, "-m", "hollyring.platform"]
    completed = subprocess.run(command, env=environment, capture_output=True, cwd=ROOT, check=False)
    assert completed.returncode == 2
    assert str(path).encode() in completed.stderr
