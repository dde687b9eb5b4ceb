"""Stand-in of the platform service: key-value store, leases, watches and the list of VMs."""

from __future__ import annotations

import dataclasses
import itertools
import time

import anyio

from hollyring.standins import asgi, errors

MAX_VALUE_BYTES = 1 << 20


@dataclasses.dataclass(slots=True)
class Entry:
    """A key's present value."""

    value: bytes
    version: int
    lease: str = ""


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease with the time at which it lapses."""

    ttl: float
    until: float


@dataclasses.dataclass(slots=True)
class Rate:
    """A token bucket of one second's burst."""

    per_second: float
    tokens: float = 0.0
    at: float = 0.0

    def take(self, now: float) -> bool:
        """Take one call if the rate allows it."""
        filled = self.tokens + (now - self.at) * self.per_second
        self.tokens = min(self.per_second, filled)
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Platform(asgi.StandIn):
    """The platform service.

    Faults: ``outage`` (mode ``"503"``, the default, or ``"hang"``), ``slow`` (value: seconds),
    ``lost_answer`` (the connection is cut after a write took effect), ``older`` (comes back
    with the state marked by ``POST /mark`` on the control port, or empty), ``limit`` (429 to
    every call). The control port also takes ``PUT /vms/NAME`` with ``{"state"}`` and
    ``DELETE /vms/NAME``.
    """

    fault_kinds = frozenset({"outage", "slow", "lost_answer", "older", "limit"})

    def __init__(
        self,
        reads_per_second: float = 2000.0,
        writes_per_second: float = 400.0,
        vms_lag: float = 2.0,
    ) -> None:
        super().__init__()
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, Lease] = {}
        self._versions = itertools.count(1)
        self._lease_numbers = itertools.count(1)
        self._mark: dict[str, Entry] = {}
        self._vms: list[tuple[float, dict[str, str]]] = [(0.0, {})]
        self._vms_lag = vms_lag
        self._reads = Rate(reads_per_second, reads_per_second, time.monotonic())
        self._writes = Rate(writes_per_second, writes_per_second, time.monotonic())
        self._changed: dict[str, anyio.Event] = {}
        self._outages = 0

    def set_fault(self, fault: asgi.Fault) -> None:
        """Switch `fault` on; ``older`` strikes at once."""
        if fault.kind != "older":
            super().set_fault(fault)
            if fault.kind == "outage":
                self._outages += 1
                self._notify_all()
            return
        self.counters["fault_older"] += 1
        self._entries = {key: dataclasses.replace(entry) for key, entry in self._mark.items()}
        self._notify_all()

    async def run(self) -> None:
        """Drop the keys of lapsed leases."""
        while True:
            await anyio.sleep(0.05)
            self._lapse(time.monotonic())

    async def handle(self, request: asgi.Request) -> None:
        """Answer a call of the platform's protocol."""
        write = request.method != "GET"
        self.counters["watches" if "watch" in request.query else self._kind(write)] += 1
        await self._strike(write)
        self._lapse(time.monotonic())
        parts = request.path.split("/", 2)
        match request.method, parts[1]:
            case "GET", "kv":
                await self._get(request, parts[2])
            case "PUT", "kv":
                self._put(request, parts[2])
                await self._written(request, 200, b"", self._version_header(parts[2]))
            case "DELETE", "kv":
                self._compare(request, parts[2])
                self._remove(parts[2])
                await self._written(request, 200, b"", self._version_header(parts[2]))
            case "POST", "leases":
                ttl = float(request.json().get("ttl", 10.0))
                number = f"lease-{next(self._lease_numbers)}"
                self._leases[number] = Lease(ttl, time.monotonic() + ttl)
                await self._written_json(request, {"lease": number, "ttl": ttl})
            case "PUT", "leases":
                lease = self._lease(parts[2])
                lease.until = time.monotonic() + lease.ttl
                await self._written_json(request, {"ttl": lease.ttl})
            case "DELETE", "leases":
                self._lease(parts[2]).until = 0.0
                self._lapse(time.monotonic())
                await self._written_json(request, {})
            case "GET", "vms":
                await request.answer_json(200, {"vms": self._listed_vms(time.monotonic())})
            case _:
                raise errors.StandinError(404, "not_found", request.path)

    async def handle_control(self, request: asgi.Request) -> None:
        """Answer the control paths."""
        match request.method, request.path.split("/")[1:]:
            case "POST", ["mark"]:
                self._mark = {k: dataclasses.replace(e) for k, e in self._entries.items()}
                await request.answer_json(200, {"keys": len(self._mark)})
            case "PUT", ["vms", name]:
                state = str(request.json().get("state", "live"))
                self._set_vms({**self._vms[-1][1], name: state})
                await request.answer_json(200, {})
            case "DELETE", ["vms", name]:
                self._set_vms({k: v for k, v in self._vms[-1][1].items() if k != name})
                await request.answer_json(200, {})
            case _:
                await super().handle_control(request)

    @staticmethod
    def _kind(write: bool) -> str:
        return "writes" if write else "reads"

    async def _strike(self, write: bool) -> None:
        if slow := self.fault("slow"):
            await anyio.sleep(slow.value)
        if outage := self.fault("outage"):
            if outage.mode == "hang":
                await anyio.sleep(outage.value or 3600.0)
            raise errors.StandinError(503, "unavailable", "the service is down")
        rate = self._writes if write else self._reads
        if self.fault("limit") or not rate.take(time.monotonic()):
            self.counters["limited"] += 1
            raise errors.StandinError(429, "rate_limited", "too many calls")

    async def _get(self, request: asgi.Request, key: str) -> None:
        if "watch" not in request.query:
            await self._answer_entry(request, key)
            return
        known = int(request.query["watch"])
        outages = self._outages
        changed = False
        with anyio.move_on_after(float(request.query.get("wait", 30.0))):
            async with anyio.create_task_group() as group:
                group.start_soon(self._cancel_on_disconnect, request, group.cancel_scope)
                while self._version(key) == known and self._outages == outages:
                    await self._changed.setdefault(key, anyio.Event()).wait()
                changed = True
                group.cancel_scope.cancel()
        if self._outages != outages:
            raise errors.ConnectionAbortError
        if changed:
            await self._answer_entry(request, key)
            return
        await request.answer(304, headers=self._version_header(key))

    @staticmethod
    async def _cancel_on_disconnect(request: asgi.Request, scope: anyio.CancelScope) -> None:
        await request.disconnected()
        scope.cancel()

    async def _answer_entry(self, request: asgi.Request, key: str) -> None:
        entry = self._entries.get(key)
        headers = self._version_header(key)
        if entry is None:
            await request.answer(404, b"", headers)
            return
        await request.answer(200, entry.value, headers)

    async def _written(
        self, request: asgi.Request, status: int, body: bytes, headers: asgi.Headers
    ) -> None:
        if self.fault("lost_answer"):
            raise errors.ConnectionAbortError
        await request.answer(status, body, headers)

    async def _written_json(self, request: asgi.Request, value: dict[str, object]) -> None:
        if self.fault("lost_answer"):
            raise errors.ConnectionAbortError
        await request.answer_json(200, value)

    def _put(self, request: asgi.Request, key: str) -> None:
        if len(request.body) > MAX_VALUE_BYTES:
            raise errors.StandinError(413, "too_large", f"over {MAX_VALUE_BYTES} bytes")
        lease = request.query.get("lease", "")
        if lease:
            self._lease(lease)
        self._compare(request, key)
        self._entries[key] = Entry(request.body, next(self._versions), lease)
        self._notify(key)

    def _compare(self, request: asgi.Request, key: str) -> None:
        if int(request.query.get("version", -1)) == self._version(key):
            return
        self.counters["conflicts"] += 1
        raise errors.StandinError(409, "conflict", key, self._version_header(key))

    def _remove(self, key: str) -> None:
        if self._entries.pop(key, None):
            self._notify(key)

    def _notify(self, key: str) -> None:
        event = self._changed.pop(key, None)
        if event is not None:
            event.set()

    def _notify_all(self) -> None:
        for key in list(self._changed):
            self._notify(key)

    def _version(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.version if entry else 0

    def _version_header(self, key: str) -> asgi.Headers:
        return [(b"x-version", str(self._version(key)).encode())]

    def _lease(self, number: str) -> Lease:
        lease = self._leases.get(number)
        if lease is None:
            raise errors.StandinError(404, "no_lease", number)
        return lease

    def _lapse(self, now: float) -> None:
        lapsed = {number for number, lease in self._leases.items() if lease.until <= now}
        if not lapsed:
            return
        for number in lapsed:
            del self._leases[number]
        for key in [key for key, entry in self._entries.items() if entry.lease in lapsed]:
            self._remove(key)

    def _set_vms(self, vms: dict[str, str]) -> None:
        self._vms.append((time.monotonic(), vms))

    def _listed_vms(self, now: float) -> list[dict[str, str]]:
        visible = [vms for at, vms in self._vms if at <= now - self._vms_lag]
        vms = visible[-1] if visible else {}
        return [{"name": name, "state": state} for name, state in sorted(vms.items())]
