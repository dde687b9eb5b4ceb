"""Tests of VM processes of which one reaches no upstream, while callers and other VMs reach it."""

import asyncio
import base64
import contextlib
import enum
import json
import signal
import socket

import anyio
import httpcore
import pytest

from hollyring.platform.tests import conftest, test_process, test_resumed_streams

pytestmark = pytest.mark.xdist_group("platform-fleets")

CONTACT_SECONDS = 1.0
"""Time after the cut from which callers of the cut VM are served like the others."""

MEASURED_SECONDS = 2.0
REQUESTS_PER_SECOND = 20
MAX_SHARE_LESS = 0.05
"""Most by which the share of first tries served at the cut VM may lie below that of the others."""

SERVERS = 3
SLOWER_SECONDS = 0.3
"""Time a server takes after the cut, so that the connections opened before it do not suffice."""


FLEET_TEXTS = ("state: ", "peers: ", "reachability: ", "forwarding: ", "vm: ")
"""Beginnings of the log lines that a failure prints beside those on its requests."""

EVENTS = 30
EVENT_SECONDS = 0.03


def make_config(version, *more_prefixes):
    """Return a configuration with streams that may be resumed and plain routes."""
    streams = test_resumed_streams.CONFIG
    (plain,) = test_process.CONFIG["routes"]
    routes = [streams["routes"][0] | {"prefix": "/a/"}, plain | {"name": "p", "prefix": "/p/"}]
    for prefix in more_prefixes:
        routes.append(plain | {"name": prefix, "prefix": prefix})
    return streams | {"version": version, "routes": routes}


class Cut(enum.Enum):
    """What a VM that reaches no upstream sees of its connections."""

    HANGING = enum.auto()
    RESET = enum.auto()
    ONLY_NEW_REFUSED = enum.auto()


class UpstreamProxy:
    """Loopback proxy through which one VM reaches one server."""

    def __init__(self, target):
        self.target = target
        self.address = ""
        self._port = 0
        self._server = None
        self._writers = set()
        self._passes = asyncio.Event()
        self._passes.set()
        self._full = contextlib.ExitStack()

    @contextlib.asynccontextmanager
    async def running(self):
        with socket.socket() as held:
            # While the proxy does not listen, no other process gets its port.
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            held.bind(("127.0.0.1", 0))
            self._port = held.getsockname()[1]
            self.address = f"127.0.0.1:{self._port}"
            await self._listen()
            try:
                yield self
            finally:
                self._full.close()
                self._server.close()
                self._abort()

    async def _listen(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)

    async def cut(self, form):
        self._server.close()
        match form:
            case Cut.HANGING:
                self._passes.clear()
                self._fill_backlog()
            case Cut.RESET:
                self._abort()

    async def restore(self):
        self._full.close()
        self._passes.set()
        await self._listen()

    def _fill_backlog(self):
        """Listen without accepting, so that connecting takes for ever."""
        listener = self._full.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self._port))
        listener.listen(0)
        for _ in range(3):
            filler = self._full.enter_context(socket.socket())
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self._port))

    def _abort(self):
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            self._writers |= {writer, far_writer}
            await asyncio.gather(self._copy(reader, far_writer), self._copy(far_reader, writer))

    async def _copy(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                await self._passes.wait()
                writer.write(data)
                await writer.drain()
        writer.close()


class StoreView(conftest.HttpStandIn):
    """The store as one VM sees it: with other addresses of the servers."""

    def __init__(self, store, addresses):
        super().__init__()
        self._store = store
        self._addresses = addresses

    async def handle(self, request, writer):
        name = request.path.removeprefix("/hollyring/")
        body = json.loads(request.body) if request.body else {}
        status, document = await self._store._respond(name, request.query, body)
        for field in ("items", "events"):
            if field in document:
                document = document | {field: [self._shown(item) for item in document[field]]}
        data = json.dumps(self._shown(document)).encode()
        writer.write(conftest.encode_response(status, data, store_era=self._store.era))

    def _shown(self, item):
        if not item.get("key", "").startswith("servers/") or "value" not in item:
            return item
        value = json.loads(base64.b64decode(item["value"]))
        value["address"] = self._addresses[value["address"]]
        return item | {"value": base64.b64encode(json.dumps(value).encode()).decode()}


class Fleet:
    """VM processes, each of which reaches the servers through proxies of its own."""

    def __init__(self, store, servers, vms, proxies):
        self.store = store
        self.servers = servers
        self.vms = vms
        self.proxies = proxies

    async def cut(self, vm, form):
        for proxy in self.proxies[vm]:
            await proxy.cut(form)

    async def restore(self, vm):
        for proxy in self.proxies[vm]:
            await proxy.restore()

    def forwarded(self):
        """Return the log lines of forwarded requests, of all VMs."""
        lines = [line for vm in self.vms for line in vm.log_lines()]
        return [line for line in lines if line.get("text") == "request: forwarded"]

    def lines_about(self, request_ids):
        """Return the log lines of all VMs on some requests and on their reach, by time."""
        shown = [
            line
            for vm in self.vms
            for line in vm.log_lines()
            if line.get("request") in request_ids or line.get("text", "").startswith(FLEET_TEXTS)
        ]
        shown.sort(key=lambda line: line.get("timestamp", 0.0))
        return "\n".join(json.dumps(line) for line in shown)

    async def served(self, vm, seconds):
        """Send requests at a steady rate; return the share that was served, and the statuses."""
        statuses = []

        async def send(number):
            response = await test_process.post(vm, f"{vm.caller_url[-5:]}-{number}-{id(statuses)}")
            statuses.append(response.status)

        async with anyio.create_task_group() as group:
            for number in range(int(seconds * REQUESTS_PER_SECOND)):
                group.start_soon(send, number)
                await anyio.sleep(1.0 / REQUESTS_PER_SECOND)
        return statuses.count(200) / len(statuses), sorted(statuses)


@pytest.fixture
async def start_fleet(tmp_path):
    """Yield a function that starts `count` VM processes before three servers.

    `domains` names the failure domain of each, for an engine service whose streams may be resumed,
    `roots` the checkout that each runs from, `servers` other servers.
    """
    async with contextlib.AsyncExitStack() as stack:
        started = []

        async def start(count, domains=(), roots=(), servers=()):
            store = await stack.enter_async_context(conftest.StoreStandIn().running())
            servers = servers or [conftest.ServerStandIn(f"i-{n}") for n in range(SERVERS)]
            await store.put("op/config", make_config(3) if domains else test_process.CONFIG)
            for server in servers:
                server.events, server.event_seconds = EVENTS, EVENT_SECONDS
                await stack.enter_async_context(server.running())
                await store.put(f"servers/{server.name}", test_resumed_streams.entry(server))
            proxies = {}
            for number in range(1, count + 1):
                own = [UpstreamProxy(server.address) for server in servers]
                for proxy in own:
                    await stack.enter_async_context(proxy.running())
                addresses = {proxy.target: proxy.address for proxy in own}
                view = await stack.enter_async_context(StoreView(store, addresses).running())
                vm = test_process.VmProcess(
                    tmp_path,
                    view.address,
                    f"vm-{number}",
                    contracts=["engine"] if domains else (),
                    domain=domains[number - 1] if domains else "dar-a",
                    root=roots[number - 1] if roots else test_process.ROOT,
                )
                vm.start()
                started.append(vm)
                proxies[vm] = own
            for vm in started:
                await vm.wait_ready()
            for vm in started:
                await vm.wait_listed(count)
            return Fleet(store, servers, started, proxies)

        yield start
        for vm in started:
            vm.process.kill()
            vm.process.wait()


@pytest.mark.anyio
@pytest.mark.parametrize("form", list(Cut), ids=lambda form: form.name.lower())
async def test_callers_of_a_vm_without_upstreams_are_served_like_others(start_fleet, form):
    fleet = await start_fleet(3)
    cut_vm, *others = fleet.vms
    shares = {}

    async def measure(vm):
        shares[vm] = await fleet.served(vm, MEASURED_SECONDS)

    for vm in fleet.vms:
        assert (await fleet.served(vm, 0.5))[0] == 1.0
    await fleet.cut(cut_vm, form)
    for server in fleet.servers:
        server.delay_seconds = SLOWER_SECONDS
    await fleet.served(cut_vm, CONTACT_SECONDS)
    async with anyio.create_task_group() as group:
        for vm in fleet.vms:
            group.start_soon(measure, vm)
    lowest = min(shares[vm][0] for vm in others)
    assert shares[cut_vm][0] >= lowest - MAX_SHARE_LESS, shares[cut_vm]


@pytest.mark.anyio
async def test_callers_of_a_cut_vm_are_served_after_a_vm_that_executes_is_killed(start_fleet):
    fleet = await start_fleet(3)
    cut_vm, killed_vm, _ = fleet.vms
    await fleet.served(cut_vm, 0.5)
    await fleet.cut(cut_vm, Cut.RESET)
    await fleet.served(cut_vm, CONTACT_SECONDS)
    killed_vm.process.kill()
    share, statuses = await fleet.served(cut_vm, MEASURED_SECONDS)
    assert share >= 1.0 - MAX_SHARE_LESS, statuses


@pytest.mark.anyio
@pytest.mark.parametrize("form", [Cut.HANGING, Cut.RESET], ids=lambda form: form.name.lower())
async def test_nothing_is_forwarded_while_all_vms_reach_no_upstream(start_fleet, form):
    fleet = await start_fleet(2)
    for vm in fleet.vms:
        await fleet.served(vm, 0.5)
        await fleet.cut(vm, form)
    await fleet.served(fleet.vms[0], CONTACT_SECONDS)
    already = len(fleet.forwarded())
    share, statuses = await fleet.served(fleet.vms[0], MEASURED_SECONDS)
    assert (share, set(statuses)) == (0.0, {503})
    assert len(fleet.forwarded()) == already


@pytest.mark.anyio
@pytest.mark.parametrize("form", list(Cut), ids=lambda form: form.name.lower())
async def test_vm_that_reaches_its_upstreams_again_forwards_no_more(start_fleet, form):
    fleet = await start_fleet(2)
    cut_vm = fleet.vms[0]
    await fleet.served(cut_vm, 0.5)
    await fleet.cut(cut_vm, form)
    await fleet.served(cut_vm, MEASURED_SECONDS)
    await fleet.restore(cut_vm)
    await fleet.served(cut_vm, CONTACT_SECONDS)
    already = len(fleet.forwarded())
    assert (await fleet.served(cut_vm, MEASURED_SECONDS))[0] == 1.0
    assert len(fleet.forwarded()) == already


async def post(vm, path, request_id):
    headers = [(b"host", b"h.example"), test_process.KEY, (b"x-request-id", request_id.encode())]
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request("POST", vm.caller_url + path, headers=headers, content=b"body")


async def receive_streams(vms, name, seconds=0.0, count=4):
    """Begin streams at some VMs, `seconds` apart; return them when all have ended."""
    streams = []
    async with anyio.create_task_group() as group:
        for number in range(count):
            for vm in vms:
                streams.append(test_resumed_streams.Stream(f"{name}-{vm.log_path.stem}-{number}"))
                group.start_soon(streams[-1].receive, vm)
            await anyio.sleep(seconds)
    return streams


def not_whole(streams):
    return [
        (stream.request_id, stream.status, stream.last_event)
        for stream in streams
        if (stream.status, stream.whole, stream.last_event) != (200, True, EVENTS)
    ]


@pytest.mark.anyio
@pytest.mark.parametrize("form", [Cut.HANGING, Cut.RESET], ids=lambda form: form.name.lower())
async def test_cut_failure_domain_serves_streams_a_change_and_a_restarted_vm_through_other_vms(
    start_fleet, form
):
    fleet = await start_fleet(4, ["dar-a", "dar-a", "dar-b", "dar-b"])
    cut_vms = kept, restarted = fleet.vms[:2]
    ended = {}

    async def receive(name, *args):
        ended[name] = not_whole(await receive_streams(cut_vms, name, *args))

    assert not_whole(await receive_streams(fleet.vms, "before", count=1)) == []
    async with anyio.create_task_group() as group:
        group.start_soon(receive, "begun")
        await anyio.sleep(EVENTS * EVENT_SECONDS / 3)
        for vm in cut_vms:
            await fleet.cut(vm, form)
        await anyio.sleep(CONTACT_SECONDS)
        group.start_soon(receive, "cut", 0.1)
        await fleet.store.put("op/config", make_config(4, "/new/"))
        await anyio.sleep(test_process.CONFIGURATION_SECONDS)
        for vm in cut_vms:
            assert (await post(vm, "/new/x", f"new-{vm.log_path.stem}")).status == 200
    restarted.process.send_signal(signal.SIGTERM)
    ended["one"] = not_whole(await receive_streams([kept], "one"))
    await anyio.to_thread.run_sync(restarted.process.wait)
    restarted.start()
    await restarted.wait_ready()
    await receive_streams([restarted], "first", count=1)
    await anyio.sleep(CONTACT_SECONDS)
    await receive("back", 0.1)
    ids = {request_id for streams in ended.values() for request_id, *_ in streams}
    all_whole = {name: [] for name in ("begun", "cut", "one", "back")}
    assert ended == all_whole, f"{ended}\n{fleet.lines_about(ids)}"
    assert fleet.forwarded()
