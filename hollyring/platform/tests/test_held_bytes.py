"""Memory of a VM process beside servers that send without end, and beside much at once."""

import asyncio
import contextlib
import pathlib
import time

import pytest

from hollyring.platform.tests import conftest, test_process

pytestmark = pytest.mark.xdist_group("platform-processes")

MEMORY_MB = 150
"""Memory of a VM in the settings; a process above it is killed."""

CHUNK = 65_536
PLAY_SECONDS = 2.5
HOST = "h.example"
SHARES = {"unsafe": "/a/", "safe": "/b/", "streaming": "/c/"}


def route(kind):
    fields = {"name": kind, "host": HOST, "prefix": SHARES[kind], "kind": kind, "service": "s"}
    fields |= {"timeout_ms": 4000, "target_latency_ms": 200, "max_attempts": 2}
    return fields | {"resumable": kind == "streaming"}


CONFIG = {
    "version": 3,
    "routes": [route(kind) for kind in SHARES],
    "services": [{"name": "s", "max_connections": 100}],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15_000,
    },
    "tenants": [{"name": "t", "api_keys": ["k"]}],
}

BODY = b"x" * CHUNK
ENDLESS = {
    "chunks": ("200", "transfer-encoding: chunked", b"%x\r\n%b\r\n" % (CHUNK, BODY)),
    "length": ("200", "content-length: 1000000000000", BODY),
    "connection": ("200", "connection: close", BODY),
    "failure": ("500", "transfer-encoding: chunked", b"%x\r\n%b\r\n" % (CHUNK, BODY)),
}


class EndlessServer(conftest.ServerStandIn):
    """Answers each request with a body without end."""

    def __init__(self, name, what):
        super().__init__(name)
        self.status, self.framing, self.part = ENDLESS[what]
        self.started = 0

    async def handle(self, request, writer):
        if "x-request-id" not in request.headers:
            await super().handle(request, writer)
            return
        self.started += 1
        head = [f"HTTP/1.1 {self.status} X", f"x-request-id: {request.headers['x-request-id']}"]
        head += [f"x-response-seal: {conftest.SEAL}", self.framing, "", ""]
        writer.write("\r\n".join(head).encode())
        while True:
            writer.write(self.part)
            await writer.drain()


class LongServer(conftest.ServerStandIn):
    """Answers each request whole, with a body of some length, in chunks or with its length."""

    def __init__(self, name, length, chunked):
        super().__init__(name)
        self.length = length
        self.chunked = chunked

    async def handle(self, request, writer):
        if "x-request-id" not in request.headers:
            await super().handle(request, writer)
            return
        framing = "transfer-encoding: chunked" if self.chunked else f"content-length: {self.length}"
        head = ["HTTP/1.1 200 X", f"x-request-id: {request.headers['x-request-id']}"]
        head += [f"x-response-seal: {conftest.SEAL}", framing, "", ""]
        writer.write("\r\n".join(head).encode())
        for start in range(0, self.length, CHUNK):
            part = BODY[: self.length - start]
            writer.write(b"%x\r\n%b\r\n" % (len(part), part) if self.chunked else part)
            await writer.drain()
        if self.chunked:
            writer.write(b"0\r\n\r\n")


class Caller:
    """A caller that sends one request on a connection, and what it got."""

    def __init__(self):
        self.status = 0
        self.length = 0
        self.whole = False

    async def send(self, vm, path, number, body, unread_seconds=0.0):
        """Send a request, and read the answer after some time."""
        host, _, port = vm.caller_url.removeprefix("http://").partition(":")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            reader, writer = await asyncio.open_connection(host, int(port), limit=2 * CHUNK)
            with contextlib.closing(writer):
                head = [f"POST {path} HTTP/1.1", f"host: {HOST}", f"x-request-id: r-{number}"]
                head += ["authorization: Bearer k", "x-deadline-ms: 4000"]
                head += [f"content-length: {len(body)}", "", ""]
                writer.write("\r\n".join(head).encode())
                for start in range(0, len(body), CHUNK):
                    writer.write(body[start : start + CHUNK])
                    await writer.drain()
                await asyncio.sleep(unread_seconds)
                await self._read(reader)

    async def _read(self, reader):
        lines = (await reader.readuntil(b"\r\n\r\n")).lower().split(b"\r\n")
        self.status = int(lines[0].split(b" ")[1])
        lengths = [line[16:] for line in lines if line.startswith(b"content-length: ")]
        expected = int(lengths[0])
        while self.length < expected and (data := await reader.read(CHUNK)):
            self.length += len(data)
        self.whole = self.length == expected


def peak_bytes(vm):
    """Return the most memory that a process has had resident."""
    for line in pathlib.Path(f"/proc/{vm.process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("no peak in the status of the process")


@contextlib.asynccontextmanager
async def serving(tmp_path, servers, memory_mb=MEMORY_MB, vms=1, config=CONFIG, **entry_fields):
    """Yield VMs whose service has some servers, whose entries have other fields, too."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(conftest.StoreStandIn().running())
        await store.put("op/config", config)
        for server in servers:
            await stack.enter_async_context(server.running())
            entry = conftest.make_entry(server.address, **entry_fields)
            await store.put(f"servers/{server.name}", entry)
        started = []
        for number in range(vms):
            vm = test_process.VmProcess(tmp_path, store.address, f"vm-{number}")
            text = vm.settings_path.read_text()
            vm.settings_path.write_text(f"{text}\n[limits]\nmemory_mb = {memory_mb}\n")
            started.append(stack.enter_context(vm.running()))
        for vm in started:
            await vm.wait_ready()
        yield started


async def call_for(vm, path, callers, body=b"body"):
    """Let callers send one request after the other for `PLAY_SECONDS`; return what they got."""
    until = time.monotonic() + PLAY_SECONDS
    got = []

    async def call(number):
        while time.monotonic() < until:
            caller = Caller()
            got.append(caller)
            await caller.send(vm, path, f"{number}-{len(got)}", body)

    await asyncio.wait_for(asyncio.gather(*(call(n) for n in range(callers))), 30.0)
    return got


async def call_at_once(vm, path, callers, body=b"body"):
    """Let some callers send one request each at the same time; return what they got."""
    got = [Caller() for _ in range(callers)]
    sends = [caller.send(vm, path, number, body) for number, caller in enumerate(got)]
    await asyncio.wait_for(asyncio.gather(*sends), 30.0)
    return got


@pytest.mark.anyio
@pytest.mark.parametrize("kind", SHARES)
@pytest.mark.parametrize("what", ENDLESS)
async def test_answers_without_end_of_one_server_do_not_end_the_vm(tmp_path, what, kind):
    """Their bytes are bounded as a sum: one bound for each answer let the VM run out of memory."""
    servers = [EndlessServer("i-0", what), conftest.ServerStandIn("i-1")]
    async with serving(tmp_path, servers) as (vm,):
        got = await call_for(vm, SHARES[kind] + "x", callers=20)
        assert peak_bytes(vm) < MEMORY_MB * 1_000_000
        assert vm.process.poll() is None
    assert sum(caller.status == 200 for caller in got) > len(got) / 2
    # What was sent before the first answer turned out to have no end is lost; little more is.
    assert servers[0].started <= 30


@pytest.mark.anyio
@pytest.mark.parametrize("callers", [20, 60])
async def test_long_bodies_of_many_callers_do_not_end_the_vm(tmp_path, callers):
    """Sound bytes, too many at once: they wait unread or are refused with a time to return."""
    async with serving(tmp_path, [conftest.ServerStandIn("i-0")]) as (vm,):
        got = await call_at_once(vm, "/a/x", callers, bytes(4_000_000))
        assert peak_bytes(vm) < MEMORY_MB * 1_000_000
    assert {caller.status for caller in got} <= {200, 503}
    assert sum(caller.status == 200 for caller in got) >= 5


@pytest.mark.anyio
@pytest.mark.parametrize("chunked", [False, True])
async def test_long_sound_answers_to_many_callers_arrive_without_ending_the_vm(tmp_path, chunked):
    """Sound bytes, too many at once: the answers wait at their servers until there is room."""
    servers = [LongServer(f"i-{n}", 6_000_000, chunked) for n in range(3)]
    async with serving(tmp_path, servers) as (vm,):
        got = await call_at_once(vm, "/b/x", 60)
        assert peak_bytes(vm) < MEMORY_MB * 1_000_000
    assert sum(caller.status == 200 and caller.whole for caller in got) >= 55


@pytest.mark.anyio
async def test_short_requests_do_not_wait_behind_long_bodies(tmp_path):
    """Short bodies and answers take room at once, whatever long ones wait for."""
    async with serving(tmp_path, [conftest.ServerStandIn("i-0")]) as (vm,):
        long = asyncio.create_task(call_at_once(vm, "/a/x", 20, bytes(4_000_000)))
        short = await call_for(vm, "/b/x", callers=4)
        await long
    assert {caller.status for caller in short} == {200}


@pytest.mark.anyio
async def test_callers_that_do_not_read_keep_no_room_beyond_their_deadlines(tmp_path):
    """Their answers were kept until they left, so that others would wait for room for ever."""
    servers = [LongServer(f"i-{n}", 6_000_000, chunked=False) for n in range(2)]
    async with serving(tmp_path, servers) as (vm,):
        unread = [
            Caller().send(vm, "/b/x", f"u-{n}", b"body", unread_seconds=30) for n in range(20)
        ]
        tasks = [asyncio.create_task(send) for send in unread]
        await asyncio.sleep(5.5)
        got = await call_at_once(vm, "/b/x", 4)
        for task in tasks:
            task.cancel()
        assert peak_bytes(vm) < MEMORY_MB * 1_000_000
    assert [(caller.status, caller.whole) for caller in got] == [(200, True)] * 4
