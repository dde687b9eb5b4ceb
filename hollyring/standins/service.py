"""Stand-in for a plain service that counts the executions of each request."""

from __future__ import annotations

import collections
import pathlib

import anyio
import msgspec

from hollyring.standins import asgi, errors

MAX_ORDER_NAME_BYTES = 100


class Service(asgi.StandIn):
    """A plain service, e.g. for orders, that answers each request with 200 and echoes it.

    Faults: ``slow`` (value: seconds before the execution), ``lost_answer`` (the connection is
    aborted after the execution), ``late_answer`` (value: seconds between execution and response),
    ``refuse`` (503 without execution), ``cut`` (the connection is aborted without execution).

    ``GET /executions`` on either port returns the executions by ``X-Request-Id``. The control port
    also serves ``GET /idempotency`` (executions by ``Idempotency-Key``), ``GET /bodies``
    (executions by the order in the body) and ``GET /seen`` (headers of recent requests).

    Parameters
    ----------
    name
        Name of the service, returned in each response.
    delay_seconds
        Delay before each execution.
    ledger
        File in which executions are recorded, so that the counts survive a restart; empty for none.
    """

    fault_kinds = frozenset({"slow", "lost_answer", "late_answer", "refuse", "cut"})

    def __init__(self, name: str = "service", delay_seconds: float = 0.0, ledger: str = "") -> None:
        super().__init__()
        self._ledger_path = pathlib.Path(ledger) if ledger else None
        self._name = name
        self._delay_seconds = delay_seconds
        self._by_request_id: collections.Counter[str] = collections.Counter()
        self._by_order: collections.Counter[str] = collections.Counter()
        self._by_idempotency_key: collections.Counter[str] = collections.Counter()
        self._seen_headers: collections.deque[list[str]] = collections.deque(maxlen=1000)
        self._read_ledger()

    async def handle(self, request: asgi.Request) -> None:
        """Execute the request, unless it is ``GET /executions``."""
        if (request.method, request.path) == ("GET", "/executions"):
            await request.respond_json(200, self._by_request_id)
            return
        self._seen_headers.append(
            [f"{k.decode()}: {v.decode('latin-1')}" for k, v in request.headers]
        )
        if self.active_fault("refuse"):
            raise errors.StandInError(503, "unavailable")
        if self.active_fault("cut"):
            raise errors.ConnectionAbortError
        slow = self.active_fault("slow")
        await anyio.sleep(slow.value if slow else self._delay_seconds)
        request_id = request.header(b"x-request-id")
        self._record_execution(request_id, _order_name(request.body))
        if key := request.header(b"idempotency-key"):
            self._by_idempotency_key[key] += 1
        if self.active_fault("lost_answer"):
            raise errors.ConnectionAbortError
        if late := self.active_fault("late_answer"):
            await anyio.sleep(late.value)
        payload = {
            "service": self._name,
            "method": request.method,
            "path": request.path,
            "request_id": request_id,
            "execution": self._by_request_id[request_id],
            "body": request.body.decode("utf-8", "replace"),
        }
        await request.respond_json(200, payload)

    def _record_execution(self, request_id: str, order_name: str) -> None:
        self._count_execution(request_id, order_name)
        if self._ledger_path is not None:
            with self._ledger_path.open("ab") as ledger:
                ledger.write(msgspec.json.encode([request_id, order_name]) + b"\n")

    def _count_execution(self, request_id: str, order_name: str) -> None:
        self._by_request_id[request_id] += 1
        self._by_order[order_name] += 1
        self.counters["executions"] += 1

    def _read_ledger(self) -> None:
        """Restore the counts of earlier processes from the ledger."""
        if self._ledger_path is None or not self._ledger_path.exists():
            return
        for line in self._ledger_path.read_bytes().splitlines():
            self._count_execution(*msgspec.json.decode(line, type=tuple[str, str]))

    async def handle_control(self, request: asgi.Request) -> None:
        """Serve the control paths."""
        match request.method, request.path:
            case "GET", "/executions":
                await request.respond_json(200, self._by_request_id)
            case "GET", "/bodies":
                await request.respond_json(200, self._by_order)
            case "GET", "/idempotency":
                await request.respond_json(200, self._by_idempotency_key)
            case "GET", "/seen":
                await request.respond_json(200, list(self._seen_headers))
            case _:
                await super().handle_control(request)


def _order_name(body: bytes) -> str:
    """Return the ``order`` field of a JSON body, or the beginning of the body if it has none."""
    try:
        fields = msgspec.json.decode(body, type=dict)
    except msgspec.MsgspecError:
        fields = {}
    return str(fields.get("order", body[:MAX_ORDER_NAME_BYTES].decode("utf-8", "replace")))
