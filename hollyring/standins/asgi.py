"""ASGI request handling, fault injection and servers shared by the stand-ins."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import signal
import socket
import time
import urllib.parse
from collections.abc import Awaitable, Callable, Iterator, MutableMapping
from typing import Any

import anyio
import msgspec
import uvicorn
from uvicorn.protocols.http import httptools_impl

from hollyring.standins import errors

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Headers = list[tuple[bytes, bytes]]

KEEP_ALIVE_SECONDS = 75
JSON_HEADERS: Headers = [(b"content-type", b"application/json")]


@dataclasses.dataclass(slots=True)
class Request:
    """An HTTP request with its complete body."""

    method: str
    path: str
    query: dict[str, str]
    headers: Headers
    body: bytes
    receive: Receive
    send: Send

    def header(self, name: bytes) -> str:
        """Return the first header named `name` (lower case), or an empty string if it is absent."""
        return next((value.decode("latin-1") for key, value in self.headers if key == name), "")

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object.

        Raises
        ------
        StandInError
            If the body is not a JSON object.
        """
        try:
            return msgspec.json.decode(self.body or b"{}", type=dict)
        except msgspec.DecodeError as error:
            raise errors.StandInError(400, "bad_json", str(error)) from error

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the status and the headers of the response, which names its request if it can."""
        named = [header for header in self.headers if header[0] == b"x-request-id"]
        await self.send(
            {"type": "http.response.start", "status": status, "headers": [*headers, *named]}
        )

    async def write(self, body: bytes, more: bool = True) -> None:
        """Send a part of the response body."""
        await self.send({"type": "http.response.body", "body": body, "more_body": more})

    async def respond(self, status: int, body: bytes = b"", headers: Headers | None = None) -> None:
        """Send a complete response with a content length."""
        length = (b"content-length", str(len(body)).encode())
        await self.start_response(status, [length, *(headers or [])])
        await self.write(body, more=False)

    async def respond_json(
        self, status: int, value: object, headers: Headers | None = None
    ) -> None:
        """Send a complete response with a JSON body."""
        await self.respond(status, msgspec.json.encode(value), [*JSON_HEADERS, *(headers or [])])

    async def wait_for_disconnect(self) -> None:
        """Wait until the client closes the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


@dataclasses.dataclass(slots=True)
class Fault:
    """An injected fault.

    Parameters
    ----------
    kind
        Kind of the fault; the docstring of each stand-in lists its kinds.
    value
        Magnitude of the fault; its unit depends on the kind, e.g. seconds or a probability.
    count
        Number of times it takes effect before it is removed; 0 for no limit.
    seconds
        Seconds until it expires; 0 for never.
    mode
        Variant of the fault, e.g. ``"hang"`` for an outage.
    """

    kind: str
    value: float = 0.0
    count: int = 0
    seconds: float = 0.0
    mode: str = ""


class StandIn:
    """Base class of the stand-ins, with faults, counters and the control application.

    The control application serves ``GET /counters``, ``GET /faults``, ``POST /faults`` with the
    fields of `Fault` as a JSON object, and ``DELETE /faults[?kind=KIND]``.
    """

    fault_kinds: frozenset[str] = frozenset()

    def __init__(self) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self._faults: dict[str, tuple[Fault, float]] = {}

    def inject_fault(self, fault: Fault) -> None:
        """Activate `fault`, replacing an active fault of the same kind.

        Raises
        ------
        StandInError
            If this stand-in does not support the kind of the fault.
        """
        if fault.kind not in self.fault_kinds:
            supported = ", ".join(sorted(self.fault_kinds))
            raise errors.StandInError(400, "unknown_fault", f"{fault.kind!r}; known: {supported}")
        self._faults[fault.kind] = (fault, time.monotonic() + (fault.seconds or float("inf")))

    def active_fault(self, kind: str) -> Fault | None:
        """Return the fault `kind` if it is active, and count this use of it."""
        entry = self._faults.get(kind)
        if entry is None:
            return None
        fault, expires_at = entry
        if time.monotonic() >= expires_at:
            del self._faults[kind]
            return None
        if fault.count == 1:
            del self._faults[kind]
        if fault.count > 1:
            self._faults[kind] = (dataclasses.replace(fault, count=fault.count - 1), expires_at)
        self.counters[f"fault_{kind}"] += 1
        return fault

    async def handle(self, request: Request) -> None:
        """Serve a request on the main port."""
        raise NotImplementedError

    async def handle_control(self, request: Request) -> None:
        """Serve a request on the control port; subclasses add their own paths."""
        match request.method, request.path:
            case "GET", "/counters":
                await request.respond_json(200, self.counters)
            case "GET", "/faults":
                await request.respond_json(200, [fault for fault, _ in self._faults.values()])
            case "POST", "/faults":
                await self._post_fault(request)
            case "DELETE", "/faults":
                kinds = [request.query["kind"]] if "kind" in request.query else list(self._faults)
                for kind in kinds:
                    self._faults.pop(kind, None)
                await request.respond_json(200, {})
            case _:
                raise errors.StandInError(404, "not_found", request.path)

    async def _post_fault(self, request: Request) -> None:
        try:
            fault = msgspec.json.decode(request.body, type=Fault)
        except msgspec.DecodeError as error:
            raise errors.StandInError(400, "bad_fault", str(error)) from error
        self.inject_fault(fault)
        await request.respond_json(200, {})

    async def run(self) -> None:
        """Run background tasks while the stand-in is being served."""


def application(
    handle: Callable[[Request], Awaitable[None]],
) -> Callable[[Message, Receive, Send], Awaitable[None]]:
    """Return an ASGI application that passes each complete request to `handle`."""

    async def app(scope: Message, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        if body is None:
            return
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        request = Request(
            scope["method"], scope["path"], query, list(scope["headers"]), body, receive, send
        )
        try:
            await handle(request)
        except errors.StandInError as error:
            detail = {"message": str(error), "code": error.code}
            await request.respond_json(error.status, {"error": detail}, error.headers)
        except errors.ConnectionAbortError:
            scope.get("cut", _do_nothing)()

    return app


def _do_nothing() -> None:
    """Replace the connection abort if there is no connection, as in tests without a server."""


async def _read_body(receive: Receive) -> bytes | None:
    parts = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return parts[0] if len(parts) == 1 else b"".join(parts)


class AbortableProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP protocol that lets the application abort the connection without a response."""

    def on_headers_complete(self) -> None:
        """Begin the request and add the function that aborts its connection to the scope."""
        super().on_headers_complete()
        self.scope["cut"] = self.transport.abort  # type: ignore[typeddict-unknown-key]


class Server(uvicorn.Server):
    """Uvicorn server that installs no signal handlers; `serve_until_signal` handles signals."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers unchanged."""
        yield


async def serve(
    standin: StandIn, listener: socket.socket, control_listener: socket.socket, stop: anyio.Event
) -> None:
    """Serve `standin` and its control application on the sockets until `stop` is set.

    The sockets are closed at the end.
    """
    servers = [
        (_create_server(application(standin.handle)), listener),
        (_create_server(application(standin.handle_control)), control_listener),
    ]
    async with anyio.create_task_group() as background:
        background.start_soon(standin.run)
        async with anyio.create_task_group() as group:
            for server, socket_ in servers:
                group.start_soon(server.serve, [socket_])
            await stop.wait()
            for server, _ in servers:
                server.should_exit = True
        background.cancel_scope.cancel()


async def serve_until_signal(standin: StandIn, host: str, port: int, control_port: int) -> None:
    """Serve `standin` until the process receives SIGTERM or SIGINT."""
    stop = anyio.Event()
    listener = socket.create_server((host, port))
    control_listener = socket.create_server((host, control_port))
    async with anyio.create_task_group() as group:
        group.start_soon(serve, standin, listener, control_listener, stop)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                stop.set()
                return


def _create_server(app: Callable[..., Any]) -> Server:
    config = uvicorn.Config(
        app,
        log_level="critical",
        http=AbortableProtocol,
        loop="asyncio",
        lifespan="off",
        access_log=False,
        timeout_graceful_shutdown=1,
        timeout_keep_alive=KEEP_ALIVE_SECONDS,
    )
    return Server(config)
