"""Stand-in of a plain service that counts how often each request was executed."""

from __future__ import annotations

import collections
import pathlib

import anyio
import msgspec

from hollyring.standins import asgi, errors

NAME_BYTES = 100


class Service(asgi.StandIn):
    """A plain service, e.g. orders or ledger; any path answers 200 with what was run.

    Faults: ``slow`` (value: seconds before it runs), ``lost_answer`` (runs, then the connection
    is cut), ``late_answer`` (runs, then waits ``value`` seconds), ``refuse`` (503 without
    running), ``cut`` (the connection is cut without running). ``GET /executions`` on either port
    counts executions by ``X-Request-Id``, ``GET /idempotency`` on the control port by
    ``Idempotency-Key``, ``GET /bodies`` by the order that the body names, ``GET /seen`` lists
    headers.
    """

    fault_kinds = frozenset({"slow", "lost_answer", "late_answer", "refuse", "cut"})

    def __init__(self, name: str = "service", delay_seconds: float = 0.0, ledger: str = "") -> None:
        super().__init__()
        self._ledger = pathlib.Path(ledger) if ledger else None
        self._name = name
        self._delay_seconds = delay_seconds
        self._executions: collections.Counter[str] = collections.Counter()
        self._by_body: collections.Counter[str] = collections.Counter()
        self._by_key: collections.Counter[str] = collections.Counter()
        self._seen: collections.deque[list[str]] = collections.deque(maxlen=1000)
        self._read_ledger()

    async def handle(self, request: asgi.Request) -> None:
        """Execute any request but ``GET /executions``."""
        if (request.method, request.path) == ("GET", "/executions"):
            await request.answer_json(200, self._executions)
            return
        self._seen.append([f"{k.decode()}: {v.decode('latin-1')}" for k, v in request.headers])
        if self.fault("refuse"):
            raise errors.StandinError(503, "unavailable")
        if self.fault("cut"):
            raise errors.ConnectionAbortError
        slow = self.fault("slow")
        await anyio.sleep(slow.value if slow else self._delay_seconds)
        request_id = request.header(b"x-request-id")
        self._execute(request_id, _named(request.body))
        if key := request.header(b"idempotency-key"):
            self._by_key[key] += 1
        if self.fault("lost_answer"):
            raise errors.ConnectionAbortError
        if late := self.fault("late_answer"):
            await anyio.sleep(late.value)
        answer = {
            "service": self._name,
            "method": request.method,
            "path": request.path,
            "request_id": request_id,
            "execution": self._executions[request_id],
            "body": request.body.decode("utf-8", "replace"),
        }
        await request.answer_json(200, answer)

    def _execute(self, request_id: str, named: str) -> None:
        self._count(request_id, named)
        if self._ledger is not None:
            with self._ledger.open("ab") as ledger:
                ledger.write(msgspec.json.encode([request_id, named]) + b"\n")

    def _count(self, request_id: str, named: str) -> None:
        self._executions[request_id] += 1
        self._by_body[named] += 1
        self.counters["executions"] += 1

    def _read_ledger(self) -> None:
        """Count what an earlier life executed."""
        if self._ledger is None or not self._ledger.exists():
            return
        for line in self._ledger.read_bytes().splitlines():
            self._count(*msgspec.json.decode(line, type=tuple[str, str]))

    async def handle_control(self, request: asgi.Request) -> None:
        """Answer the control paths."""
        match request.method, request.path:
            case "GET", "/executions":
                await request.answer_json(200, self._executions)
            case "GET", "/bodies":
                await request.answer_json(200, self._by_body)
            case "GET", "/idempotency":
                await request.answer_json(200, self._by_key)
            case "GET", "/seen":
                await request.answer_json(200, list(self._seen))
            case _:
                await super().handle_control(request)


def _named(body: bytes) -> str:
    """Return the order that a body names, or the beginning of the body."""
    try:
        fields = msgspec.json.decode(body, type=dict)
    except msgspec.MsgspecError:
        fields = {}
    return str(fields.get("order", body[:NAME_BYTES].decode("utf-8", "replace")))
