"""Upstreams of the soak: they fall silent and go on, leave, crash, start again, and are replaced.

What each of them worked on, and how that ended, is recorded for the checks in `test_soak`.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import math
import random

from hollyring.node import clock
from hollyring.platform.tests import conftest

SERVICES = {"plain": 2, "other": 2, "engines": 3}
"""Number of servers of each service."""

SILENCE_SECONDS = (0.8, 2.2)
"""Time for which a sound server sends nothing and then goes on."""

EVENT_SECONDS = 0.06
REPLY_EVENT_SECONDS = 0.1
ANSWER_DELAY_SECONDS = 0.01
LONG_ANSWER_SECONDS = (2.0, 7.0)
"""Time for the answer to a plain request of a long route, chosen by its ID."""

LOAD_SECONDS = 0.3
"""Time for which a server loads other weights, once its runs have ended."""

LOOK_SECONDS = 0.02
"""Interval at which a server that waits looks whether its connection was closed."""

SERVES_ON_SECONDS = (2.1, 4.0)
"""Time for which a server that leaves serves on; a VM may send to it for two seconds."""

STARTS_AGAIN_SECONDS = 0.5
REUSE_SECONDS = 0.5
"""Time after which the address of a server that has ended belongs to one of another service."""


@dataclasses.dataclass(slots=True)
class Work:
    """One run of a request.

    Parameters
    ----------
    ended_at
        Time at which it was complete, or its connection was closed.
    broken_off
        Whether the server ended it by a crash.
    """

    request_id: str
    began_at: float
    ended_at: float = math.inf
    broken_off: bool = False


class SoakServer(conftest.ServerStandIn):
    """A server that at times sends nothing for a while and then goes on.

    Parameters
    ----------
    on_loaded
        Called with the server when it has loaded other weights.
    """

    def __init__(self, name, service, version, events, on_loaded):
        super().__init__(name)
        self.service = service
        self.version = version
        self.zone = "dar-a"
        self.born = 0
        self.work = []
        self.silent_until = 0.0
        self.busy = False
        self.crashed = False
        self._events_of_route = events
        self._on_loaded = on_loaded
        self._tasks = set()

    @property
    def at_work(self):
        return [work for work in self.work if math.isinf(work.ended_at)]

    def entry(self, **fields):
        """Return its entry in the store."""
        models = self.report()["models"] if self.service == "engines" else []
        own = {"service": self.service, "slots": 16, "models": models, "stage": "both"}
        own |= {"born": self.born} if self.born else {}
        return conftest.make_entry(self.address, **own | fields)

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def crash(self):
        """Reset every connection, whatever is at work, and accept no other."""
        self.crashed = True
        for work in self.at_work:
            work.broken_off = True
            work.ended_at = clock.now()
        super().crash()

    def end(self):
        """Close every connection and accept no other."""
        self.crash()

    async def handle(self, request, writer):
        if "x-request-id" not in request.headers:
            await self._wait(writer, self.silent_until)
            if self._is_misdirected(request):
                writer.write(self.encode_response(421, b"", x_instance_id=self.name))
            else:
                await super().handle(request, writer)
            return
        work = Work(request.headers["x-request-id"], clock.now())
        self.work.append(work)
        try:
            await self._run(work, request, writer)
        finally:
            work.ended_at = min(work.ended_at, clock.now())

    async def _run(self, work, request, writer):
        """Answer a request; one that waits for its run may run, until it is refused."""
        await self._wait(writer, clock.now() + _answer_seconds(request))
        refused = self._refusal(request)
        if refused is not None:
            self.work.remove(work)
            writer.write(refused)
        elif "x-model" in request.headers:
            await self.stream(request, writer)
        else:
            body = b"done by " + self.name.encode()
            writer.write(self.encode_sealed_response(request, 200, body))

    def _refusal(self, request):
        """Return the answer that states that the request was not run, None if it is to run."""
        headers = {"x_request_id": request.headers["x-request-id"], "x_not_run": 1}
        if self._is_misdirected(request):
            return self.encode_response(421, b"", x_instance_id=self.name, **headers)
        if self.service == "engines":
            headers["x_weight_versions"] = self.version
            if request.headers.get("x-expect-version", str(self.version)) != str(self.version):
                return self.encode_response(421, b"", x_instance_id=self.name, **headers)
        return self.encode_response(503, b"", **headers) if self.busy else None

    def _is_misdirected(self, request):
        return request.headers.get("x-expect-instance", self.name) != self.name

    async def stream(self, request, writer):
        route = request.path.split("/")[1]
        slow = route in ("reply", "long-stream", "long-resumable")
        gap_seconds = REPLY_EVENT_SECONDS if slow else EVENT_SECONDS
        first = int(request.headers.get("last-event-id", 0)) + 1
        head = ["HTTP/1.1 200 OK", "content-type: text/event-stream", "transfer-encoding: chunked"]
        head += [f"x-request-id: {request.headers['x-request-id']}"]
        head += [f"x-response-seal: {conftest.SEAL}", f"x-weight-versions: {self.version}"]
        writer.write("\r\n".join([*head, "", ""]).encode())
        for number in range(first, self._events_of_route[route] + 1):
            event = b"id: %d\ndata: %d\n\n" % (number, number)
            await self._wait(writer, self.silent_until)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await self._wait(writer, clock.now() + gap_seconds)
        writer.write(b"0\r\n\r\n")

    async def _wait(self, writer, until):
        """Wait until a time; a request whose connection is closed is dropped.

        Raises
        ------
        ConnectionError
            If the connection is closed.
        """
        while (seconds := max(until, self.silent_until) - clock.now()) > 0:
            await asyncio.sleep(min(seconds, LOOK_SECONDS))
            if self.crashed or self.readers[writer].at_eof():
                raise ConnectionError("closed")

    def report(self):
        return super().report() | {"busy": self.busy}

    def order(self, body):
        if self.busy or body.get("expected", self.sequence) != self.sequence:
            return self.encode_response(409)
        self.orders.append(body)
        self.sequence += 1
        self.busy = True
        task = asyncio.ensure_future(self._load(body["version"]))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return self.encode_response(202)

    async def _load(self, version):
        """Load other weights once the runs have ended (strategy ``wait``)."""
        while self.at_work:
            await asyncio.sleep(LOOK_SECONDS)
        await asyncio.sleep(LOAD_SECONDS)
        self.version = version
        self.busy = False
        if not self.crashed:
            await self._on_loaded(self)


def _answer_seconds(request):
    if not request.path.startswith("/long") or "x-model" in request.headers:
        return ANSWER_DELAY_SECONDS
    return random.Random(request.headers["x-request-id"]).uniform(*LONG_ANSWER_SECONDS)


class Fleet:
    """The servers of all services.

    Parameters
    ----------
    rng
        Selects what happens.
    store
        Has the servers' entries.
    events
        Number of events of the streams of each route.
    """

    def __init__(self, rng, store, events):
        self.all = []
        self.version = 1
        self._rng = rng
        self._store = store
        self._events = events
        self._numbers = itertools.count()
        self._listed = []
        self._leaving = set()

    @contextlib.asynccontextmanager
    async def running(self):
        for service, count in SERVICES.items():
            for _ in range(count):
                await self._add(service)
        try:
            yield self
        finally:
            for server in self.all:
                server.end()

    def silence(self):
        """Let one or two servers send nothing for a while."""
        for server in self._rng.sample(self._listed, self._rng.randint(1, 2)):
            server.silent_until = clock.now() + self._rng.uniform(*SILENCE_SECONDS)

    async def name_version(self):
        """Name other weights, as the operator does; the VMs order the servers to load them."""
        self.version += 1
        await self._store.put("op/version/m", {"model": "m", "version": self.version})

    async def replace_one(self):
        """Let one server go in one of the ways in which servers go, with another in its place."""
        server = self._rng.choice([one for one in self._listed if one not in self._leaving])
        self._leaving.add(server)
        sound = (self._drain, self._drain, self._drain, self._remove, self._remove)
        await self._rng.choice((*sound, self._crash, self._start_again))(server)

    async def _add(self, service, port=0, name=None, born=0):
        name = name or f"i-{next(self._numbers)}"
        server = SoakServer(name, service, self.version, self._events, self._put)
        server.born = born
        await server.start(port)
        self.all.append(server)
        self._listed.append(server)
        await self._put(server)
        return server

    async def _put(self, server):
        if server in self._listed:
            state = "draining" if server in self._leaving else "ready"
            await self._store.put(f"servers/{server.name}", server.entry(state=state))

    async def _remove_entry(self, server):
        self._listed.remove(server)
        await self._store.remove(f"servers/{server.name}")

    async def _drain(self, server):
        """It says that it leaves, serves on for a while, and its address belongs to another."""
        await self._add(server.service)
        await self._put(server)
        await self._serve_on(server)
        await self._remove_entry(server)
        server.end()
        await asyncio.sleep(REUSE_SECONDS)
        other = self._rng.choice([name for name in SERVICES if name != server.service])
        with contextlib.suppress(OSError):  # the port may be taken meanwhile
            await self._add(other, int(server.address.rpartition(":")[2]))

    async def _remove(self, server):
        """Its entry is removed, and it serves on for a while."""
        await self._add(server.service)
        await self._remove_entry(server)
        await self._serve_on(server)
        server.end()

    async def _serve_on(self, server):
        await asyncio.sleep(self._rng.uniform(*SERVES_ON_SECONDS))
        while server.at_work:
            await asyncio.sleep(LOOK_SECONDS)

    async def _crash(self, server):
        server.crash()
        await asyncio.sleep(STARTS_AGAIN_SECONDS)
        await self._remove_entry(server)
        await self._add(server.service)

    async def _start_again(self, server):
        """It starts again under the name that it had, at another address."""
        server.crash()
        await asyncio.sleep(STARTS_AGAIN_SECONDS)
        self._listed.remove(server)
        await self._add(server.service, name=server.name, born=int(clock.now() * 1000))
