"""Stand-ins and helpers of the second review's scripts; the standard library only.

The store, the servers and the clients follow PROTOCOL.md. Everything listens on 127.0.0.1.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
HOST = "h.example"
KEY = "k1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


_next_port = 10_000 + (os.getpid() * 37) % 15_000


def free_ports(count):
    """Return consecutive free ports below the ephemeral range, other ones each time."""
    global _next_port
    for first in range(_next_port, 31_000 - count, count):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    sock = stack.enter_context(socket.socket())
                    sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            _next_port = first + count
            return list(range(first, first + count))
    raise RuntimeError("no free ports")


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.file = self.path.open("w")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Return (first line, headers in lower case) of the next message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if not size:
            await reader.readline()
            return b"".join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)


def encode(status, body=b"", **headers):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class HttpStandIn:
    """An HTTP server on loopback."""

    def __init__(self):
        self.address = ""
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 20, backlog=1024
        )
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                if await self.handle(method, target, head[1], body, reader, writer) is False:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, reader, writer):
        raise NotImplementedError

    def drop_all(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Store(HttpStandIn):
    """The platform's metadata store; `era` and `restore` play its return from an older copy."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.revision = 10
        self.events = []
        self.changed = asyncio.Condition()
        self.leases = {}
        self.next_lease = 1
        self.era = None
        self.oldest = 0
        self.down = False

    async def run(self):
        """End the leases whose time is over, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [n for n, (until, _) in self.leases.items() if until <= now]:
                await self.end(lease)

    async def end(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            await self.remove(key)

    async def put(self, key, value, lease=0):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self.changed:
            self.revision += 1
            created = self.items.get(key, {}).get("created_rev", self.revision)
            item = {"key": key, "value": base64.b64encode(data).decode(), "lease": lease}
            item |= {"revision": self.revision, "created_rev": created}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()

    def copy(self):
        leases = {lease: ttl for lease, (_, ttl) in self.leases.items()}
        return dict(self.items), self.revision, list(self.events), leases, self.next_lease

    async def restore(self, copy):
        """Come back from a copy; leases of the copy run anew, later ones are gone."""
        async with self.changed:
            items, self.revision, events, leases, self.next_lease = copy
            self.items, self.events = dict(items), list(events)
            now = time.monotonic()
            self.leases = {lease: (now + ttl, ttl) for lease, ttl in leases.items()}
            self.era = (self.era or 1) + 1
            self.changed.notify_all()

    async def handle(self, method, target, headers, body, reader, writer):
        if self.down:
            return await self.stay_silent()
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        content = json.loads(body) if body else {}
        status, document = await self.respond(path.removeprefix("/hollyring/"), fields, content)
        if self.down:
            return await self.stay_silent()
        more = {} if self.era is None else {"Store_Era": self.era}
        writer.write(encode(status, json.dumps(document).encode(), **more))

    async def stay_silent(self):
        """Answer nothing, and close the connection once the store is back."""
        while self.down:
            await asyncio.sleep(0.05)
        return False

    async def respond(self, name, query, content):
        kind, _, number = name.partition("/")
        now = time.monotonic()
        match kind:
            case "kv-key":
                item = self.items.get(query["key"])
                return (200, item | {"current_rev": self.revision}) if item else (404, {})
            case "kv-range":
                after = query.get("after", "")
                keys = [k for k in self.items if k.startswith(query["prefix"]) and k > after]
                page = [self.items[key] for key in sorted(keys)[:500]]
                answer = {"items": page, "truncated": len(keys) > 500}
                return 200, answer | {"current_rev": self.revision}
            case "kv-watch":
                return await self.watch(query)
            case "kv-txn":
                return await self.commit(content)
            case "kv-lease":
                ttl = max(1000, content["ttl_ms"])
                self.leases[self.next_lease] = (now + ttl / 1000, ttl / 1000)
                self.next_lease += 1
                return 200, {"lease": self.next_lease - 1, "ttl_ms": ttl}
            case "kv-keep":
                lease = int(number)
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][1]
                self.leases[lease] = (now + ttl, ttl)
                return 200, {"ttl_ms": int(ttl * 1000)}
            case "kv-lease-end":
                if int(number) not in self.leases:
                    return 404, {}
                await self.end(int(number))
                return 200, {}
        return 404, {}

    async def watch(self, query):
        after = int(query["after"])
        if not self.oldest <= after <= self.revision:
            return 410, {}
        era = self.era

        def events():
            newer = [event for event in self.events if event["revision"] > after]
            return [event for event in newer if event["key"].startswith(query["prefix"])]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                async with self.changed:
                    await self.changed.wait_for(lambda: events() or self.era != era)
        if self.era != era:
            return 410, {}
        return 200, {"events": events(), "current_rev": self.revision}

    async def commit(self, content):
        for row in content.get("expected", []):
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                keys = [row["key"] for row in content["expected"]]
                return 412, {"items": [self.items[key] for key in keys if key in self.items]}
        for put in content.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in content.get("puts", []):
            await self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in content.get("remove", []):
            await self.remove(key)
        return 200, {"revision": self.revision}


class Server(HttpStandIn):
    """A server of a service: plain answers, and streams for requests with `X-Model`."""

    def __init__(self, record, name, service, slots=8, events=5, event_s=0.02, engine=False):
        super().__init__()
        self.record = record
        self.name, self.service, self.slots = name, service, slots
        self.events, self.event_s, self.engine = events, event_s, engine
        self.version, self.sequence, self.software = 1, 0, "v1"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.runs = []
        self.orders = []
        self.beats = 0

    def entry(self):
        self.beats += 1
        entry = {"service": self.service, "address": self.address, "zone": "dar-a"}
        entry |= {"version": self.software, "slots": self.slots, "state": self.state}
        entry |= {"cold_left_ms": 0, "sequence": self.beats, "born": self.born}
        models = [{"name": "m", "version": self.version, "adapters": []}]
        return entry | ({"stage": "both", "models": models} if self.engine else {})

    async def register(self, store, every=1.2):
        while True:
            if self.server is not None and not store.down:
                await store.put(f"servers/{self.name}", self.entry())
            await asyncio.sleep(every)

    async def crash(self, seconds, store, **changes):
        """Reset all connections, and start again later under the same name and address."""
        port = int(self.address.partition(":")[2])
        server, self.server = self.server, None
        server.close()
        self.drop_all()
        self.record.write(f"{self.name} crashes")
        await asyncio.sleep(seconds)
        self.born = int(time.time() * 1000)
        self.sequence = self.beats = 0
        for name, value in changes.items():
            setattr(self, name, value)
        await self.start(port)
        self.record.write(f"{self.name} is back; its software is {self.software}")
        if not store.down:
            await store.put(f"servers/{self.name}", self.entry())

    async def handle(self, method, target, headers, body, reader, writer):
        path = target.partition("?")[0]
        if path == "/health":
            writer.write(encode(200, X_Instance_Id=self.name))
        elif path == "/hollyring/report":
            writer.write(encode(200, json.dumps(self.report()).encode()))
        elif path == "/hollyring/order":
            writer.write(self.order(json.loads(body)))
        elif path == "/hollyring/kv-events":
            await asyncio.sleep(int(headers.get("wait-ms", 200)) / 1000)
            answer = {"boot_epoch": self.born, "next": 0, "lost": False, "events": []}
            writer.write(encode(200, json.dumps(answer).encode()))
        elif path == "/hollyring/kv-list":
            answer = {"boot_epoch": self.born, "next": 0, "held": []}
            writer.write(encode(200, json.dumps(answer).encode()))
        elif headers.get("x-expect-instance", self.name) != self.name:
            writer.write(encode(421, X_Instance_Id=self.name, X_Not_Run=1))
        else:
            request_id = headers.get("x-request-id", "")
            self.runs.append(request_id)
            self.record.write(f"run {request_id} at {self.name}")
            return await self.answer(request_id, headers, body, reader, writer)

    def report(self):
        models = [{"name": "m", "version": self.version, "adapters": []}]
        report = {"stage": "both", "models": models, "busy": False, "sequence": self.sequence}
        report |= {"queued": 0, "running": 0, "kv_used": 0, "kv_total": 128000, "handles": 0}
        return report | {"born": self.born, "state": self.state, "next": 0, "runs": []}

    def order(self, content):
        self.orders.append((time.monotonic(), content))
        if content.get("expected", self.sequence) != self.sequence:
            return encode(409)
        self.sequence += 1
        self.version = content["version"]
        return encode(202)

    def head(self, request_id, *more):
        lines = ["HTTP/1.1 200 OK", f"X-Request-Id: {request_id}", f"X-Response-Seal: {SEAL}"]
        return "\r\n".join([*lines, *more, "", ""]).encode()

    async def answer(self, request_id, headers, body, reader, writer):
        if "x-model" in headers:
            await self.stream(request_id, headers, writer)
            return
        text = f"done by {self.name}".encode()
        writer.write(self.head(request_id, f"Content-Length: {len(text)}") + text)

    async def stream(self, request_id, headers, writer):
        more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        more += (f"X-Weight-Versions: {self.version}",)
        writer.write(self.head(request_id, *more))
        for number in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
            event = f"id: {number}\ndata: {number} of {self.name}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")


class Vm:
    """A process of the system, as the deploy file starts it."""

    def __init__(self, folder, store_address, name="vm-1", zone="dar-a", memory_mb=150, **bounds):
        front, ready, directory, control, peer, metrics, _, _ = free_ports(8)
        self.front, self.ready = ("127.0.0.1", front), ("127.0.0.1", ready)
        self.directory = ("127.0.0.1", directory)
        self.name = name
        self.peer_port = peer
        self.metrics = ("127.0.0.1", metrics)
        self.settings = pathlib.Path(folder) / f"{name}.toml"
        self.log = pathlib.Path(folder) / f"{name}.log"
        limits = {"grace_s": 8, "lease_ms": 3000, "drain_ms": 2000, "config_apply_ms": 2000}
        limits |= {"quota_window_s": 8, "ttl_max_s": 5, "version_ms": 15000, "budget_slack": 58}
        limits |= {"retry_budget_ratio": 0.2, "budget_window_s": 10, "contact_ms": 3000} | bounds
        self.settings.write_text(
            f"""
node_name = "{name}"
role = "vm"
machine_class = "front"
serves = ["front", "control", "directory"]
ip = "127.0.0.1"
zone = "{zone}"
region = "dar"
internal_ports = [{peer}, {peer + 3}]
seeds = []
first_start = false
in_tolerance = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","quota","platform"]
[zones]
dar-a = "dar"
dar-b = "dar"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
directory = "127.0.0.1:{directory}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {memory_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
"""
            + "\n".join(f"{key} = {value}" for key, value in limits.items())
            + f"""
[platform]
address = "{store_address}"
form = "kv"
writes_per_s = 400.0
reads_per_s = 2000.0
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""
        )
        self.process = None

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "JAVA_HOME", "LANG")
            if name in os.environ
        }
        environment |= {"HOLLYRING_BOOT": str(self.settings)}
        environment |= {"PYTHONPATH": str(ROOT / "target" / "deps")}
        environment |= {"PYTHONDONTWRITEBYTECODE": "1"}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "hollyring.platform"],
                env=environment,
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        self.process.send_signal(number)

    def memory_mb(self, field="VmRSS"):
        """Return the resident memory in MB, or the highest there was with ``VmHWM``."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        lines = [line for line in status.splitlines() if line.startswith(field)]
        return int(lines[0].split()[1]) * 1024 / 1e6 if lines else 0.0

    async def wait_ready(self, seconds=15.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            with contextlib.suppress(OSError, AttributeError, TypeError):
                status, _, _ = await get(self.ready, "/hollyring/ready")
                if status == 200:
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class CannotRun(Exception):
    """The case could not run."""


async def get(address, target, **headers):
    """Return (status, headers, body) of a GET on a connection of its own."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f"GET {target} HTTP/1.1", "Host: x"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        first, got = await read_head(reader)
        return int(first.split(" ")[1]), got, await read_body(reader, got)
    finally:
        writer.close()


def request_bytes(request_id, path, body=b"", method="POST", deadline_ms=1000, **headers):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}"]
    lines += [f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {KEY}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Answer:
    """What a client got: `whole` says whether the end of the answer was stated and reached."""

    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.whole, self.why = False, ""


async def ask(address, data, seconds=3.0):
    """Send a request on a connection of its own and return the `Answer`."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
            writer.write(data)
            head = await read_head(reader)
            if head is None:
                answer.why = "closed"
                return answer
            answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
            if "transfer-encoding" in head[1]:
                while True:
                    size = int((await reader.readline()).split(b";")[0], 16)
                    if not size:
                        await reader.readline()
                        answer.whole = True
                        break
                    answer.body += await reader.readexactly(size)
                    await reader.readexactly(2)
            elif "content-length" in head[1]:
                answer.body = await reader.readexactly(int(head[1]["content-length"]))
                answer.whole = True
            else:
                while part := await reader.read(65536):
                    answer.body += part
                answer.whole = True
    except TimeoutError:
        answer.why = "timeout"
    except (ConnectionError, asyncio.IncompleteReadError, ValueError, OSError) as error:
        answer.why = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


def route(name, prefix, kind, service, **fields):
    values = {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "service": service}
    values |= {"timeout_ms": 1000, "target_latency_ms": 200, "priority": 2, "max_attempts": 1}
    return values | fields


def config(version, routes, services, tenants=None):
    values = {"version": version, "routes": routes, "services": services}
    values["limits"] = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
    values["limits"] |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    values["tenants"] = tenants or [{"name": "t1", "api_keys": [KEY], "isolated": False}]
    return values


def engine(name="llm", max_connections=630):
    models = [{"name": "m"}]
    capacity = {"slots": 128, "kv_capacity": 128362, "kv_token_bytes": 18432, "link_mbps": 88000}
    return {"name": name, "max_connections": max_connections, "engine": capacity | {"models": models}}


def main(case, folder):
    """Run the coroutine `case(folder for logs, record)`; exit with 1 if it returns a reason."""
    record = Record(folder)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(case(pathlib.Path(temporary), record))
        except CannotRun as error:
            record.write(f"cannot run: {error}")
            sys.exit(2)
        except Exception as error:
            record.write(f"cannot run: {error!r}")
            raise SystemExit(2) from error
    record.write(f"broken: {broken}" if broken else "held")
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
