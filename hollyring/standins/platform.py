"""Stand-in for the platform's service: key-value store, leases, watches and list of VMs."""

from __future__ import annotations

import dataclasses
import itertools
import time

import anyio

from hollyring.standins import asgi, errors

MAX_VALUE_BYTES = 1 << 20


@dataclasses.dataclass(slots=True)
class Entry:
    """Current value of a key, with its version and the lease that it is attached to."""

    value: bytes
    version: int
    lease: str = ""


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease with its time to live and its expiry time, in seconds."""

    ttl: float
    expires_at: float


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket whose capacity is the refill of one second."""

    per_second: float
    tokens: float = 0.0
    updated_at: float = 0.0

    def try_acquire(self, now: float) -> bool:
        """Take one token and return True, or return False if none is available."""
        refilled = self.tokens + (now - self.updated_at) * self.per_second
        self.tokens = min(self.per_second, refilled)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Platform(asgi.StandIn):
    """The platform's service.

    Faults: ``outage`` (mode ``"503"``, the default, or ``"hang"``), ``slow`` (value: delay in
    seconds), ``lost_answer`` (the connection is aborted after a write has taken effect),
    ``older`` (the keys return to the state saved by ``POST /mark`` on the control port, or to an
    empty store), ``limit`` (429 to every request). The control port also serves
    ``PUT /vms/NAME`` with ``{"state"}`` and ``DELETE /vms/NAME``.

    Parameters
    ----------
    reads_per_second, writes_per_second
        Rate limits.
    vms_lag_seconds
        Time until a change appears in the list of VMs.
    """

    fault_kinds = frozenset({"outage", "slow", "lost_answer", "older", "limit"})

    def __init__(
        self,
        reads_per_second: float = 2000.0,
        writes_per_second: float = 400.0,
        vms_lag_seconds: float = 2.0,
    ) -> None:
        super().__init__()
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, Lease] = {}
        self._versions = itertools.count(1)
        self._lease_ids = itertools.count(1)
        self._marked_entries: dict[str, Entry] = {}
        self._vm_history: list[tuple[float, dict[str, str]]] = [(0.0, {})]
        self._vms_lag_seconds = vms_lag_seconds
        self._reads = TokenBucket(reads_per_second, reads_per_second, time.monotonic())
        self._writes = TokenBucket(writes_per_second, writes_per_second, time.monotonic())
        self._key_changed: dict[str, anyio.Event] = {}
        self._outage_count = 0

    def inject_fault(self, fault: asgi.Fault) -> None:
        """Activate `fault`; ``older`` takes effect once, immediately."""
        if fault.kind != "older":
            super().inject_fault(fault)
            if fault.kind == "outage":
                self._outage_count += 1
                self._notify_all()
            return
        self.counters["fault_older"] += 1
        self._entries = {
            key: dataclasses.replace(entry) for key, entry in self._marked_entries.items()
        }
        self._notify_all()

    async def run(self) -> None:
        """Remove the keys of expired leases until cancelled."""
        while True:
            await anyio.sleep(0.05)
            self._expire_leases(time.monotonic())

    async def handle(self, request: asgi.Request) -> None:
        """Serve a request of the platform's protocol."""
        write = request.method != "GET"
        self.counters["watches" if "watch" in request.query else self._counter_name(write)] += 1
        await self._apply_faults(write)
        self._expire_leases(time.monotonic())
        parts = request.path.split("/", 2)
        match request.method, parts[1]:
            case "GET", "kv":
                await self._get(request, parts[2])
            case "PUT", "kv":
                self._put(request, parts[2])
                await self._respond_to_write(request, 200, b"", self._version_header(parts[2]))
            case "DELETE", "kv":
                self._check_version(request, parts[2])
                self._remove(parts[2])
                await self._respond_to_write(request, 200, b"", self._version_header(parts[2]))
            case "POST", "leases":
                ttl = float(request.json().get("ttl", 10.0))
                lease_id = f"lease-{next(self._lease_ids)}"
                self._leases[lease_id] = Lease(ttl, time.monotonic() + ttl)
                await self._respond_to_write_json(request, {"lease": lease_id, "ttl": ttl})
            case "PUT", "leases":
                lease = self._find_lease(parts[2])
                lease.expires_at = time.monotonic() + lease.ttl
                await self._respond_to_write_json(request, {"ttl": lease.ttl})
            case "DELETE", "leases":
                self._find_lease(parts[2]).expires_at = 0.0
                self._expire_leases(time.monotonic())
                await self._respond_to_write_json(request, {})
            case "GET", "vms":
                await request.respond_json(200, {"vms": self._visible_vms(time.monotonic())})
            case _:
                raise errors.StandInError(404, "not_found", request.path)

    async def handle_control(self, request: asgi.Request) -> None:
        """Serve the control paths."""
        match request.method, request.path.split("/")[1:]:
            case "POST", ["mark"]:
                self._marked_entries = {k: dataclasses.replace(e) for k, e in self._entries.items()}
                await request.respond_json(200, {"keys": len(self._marked_entries)})
            case "PUT", ["vms", name]:
                state = str(request.json().get("state", "live"))
                self._set_vms({**self._vm_history[-1][1], name: state})
                await request.respond_json(200, {})
            case "DELETE", ["vms", name]:
                self._set_vms({k: v for k, v in self._vm_history[-1][1].items() if k != name})
                await request.respond_json(200, {})
            case _:
                await super().handle_control(request)

    @staticmethod
    def _counter_name(write: bool) -> str:
        return "writes" if write else "reads"

    async def _apply_faults(self, write: bool) -> None:
        if slow := self.active_fault("slow"):
            await anyio.sleep(slow.value)
        if outage := self.active_fault("outage"):
            if outage.mode == "hang":
                await anyio.sleep(outage.value or 3600.0)
            raise errors.StandInError(503, "unavailable", "the service is down")
        rate = self._writes if write else self._reads
        if self.active_fault("limit") or not rate.try_acquire(time.monotonic()):
            self.counters["limited"] += 1
            raise errors.StandInError(429, "rate_limited", "too many calls")

    async def _get(self, request: asgi.Request, key: str) -> None:
        if "watch" not in request.query:
            await self._respond_with_entry(request, key)
            return
        known_version = int(request.query["watch"])
        outages = self._outage_count
        changed = False
        with anyio.move_on_after(float(request.query.get("wait", 30.0))):
            async with anyio.create_task_group() as group:
                group.start_soon(self._cancel_on_disconnect, request, group.cancel_scope)
                while self._version(key) == known_version and self._outage_count == outages:
                    await self._key_changed.setdefault(key, anyio.Event()).wait()
                changed = True
                group.cancel_scope.cancel()
        if self._outage_count != outages:
            raise errors.ConnectionAbortError
        if changed:
            await self._respond_with_entry(request, key)
            return
        await request.respond(304, headers=self._version_header(key))

    @staticmethod
    async def _cancel_on_disconnect(request: asgi.Request, scope: anyio.CancelScope) -> None:
        await request.wait_for_disconnect()
        scope.cancel()

    async def _respond_with_entry(self, request: asgi.Request, key: str) -> None:
        entry = self._entries.get(key)
        headers = self._version_header(key)
        if entry is None:
            await request.respond(404, b"", headers)
            return
        await request.respond(200, entry.value, headers)

    async def _respond_to_write(
        self, request: asgi.Request, status: int, body: bytes, headers: asgi.Headers
    ) -> None:
        if self.active_fault("lost_answer"):
            raise errors.ConnectionAbortError
        await request.respond(status, body, headers)

    async def _respond_to_write_json(self, request: asgi.Request, value: dict[str, object]) -> None:
        if self.active_fault("lost_answer"):
            raise errors.ConnectionAbortError
        await request.respond_json(200, value)

    def _put(self, request: asgi.Request, key: str) -> None:
        if len(request.body) > MAX_VALUE_BYTES:
            raise errors.StandInError(413, "too_large", f"over {MAX_VALUE_BYTES} bytes")
        lease = request.query.get("lease", "")
        if lease:
            self._find_lease(lease)
        self._check_version(request, key)
        self._entries[key] = Entry(request.body, next(self._versions), lease)
        self._notify(key)

    def _check_version(self, request: asgi.Request, key: str) -> None:
        if int(request.query.get("version", -1)) == self._version(key):
            return
        self.counters["conflicts"] += 1
        raise errors.StandInError(409, "conflict", key, self._version_header(key))

    def _remove(self, key: str) -> None:
        if self._entries.pop(key, None):
            self._notify(key)

    def _notify(self, key: str) -> None:
        event = self._key_changed.pop(key, None)
        if event is not None:
            event.set()

    def _notify_all(self) -> None:
        for key in list(self._key_changed):
            self._notify(key)

    def _version(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.version if entry else 0

    def _version_header(self, key: str) -> asgi.Headers:
        return [(b"x-version", str(self._version(key)).encode())]

    def _find_lease(self, lease_id: str) -> Lease:
        lease = self._leases.get(lease_id)
        if lease is None:
            raise errors.StandInError(404, "no_lease", lease_id)
        return lease

    def _expire_leases(self, now: float) -> None:
        expired = {lease_id for lease_id, lease in self._leases.items() if lease.expires_at <= now}
        if not expired:
            return
        for lease_id in expired:
            del self._leases[lease_id]
        for key in [key for key, entry in self._entries.items() if entry.lease in expired]:
            self._remove(key)

    def _set_vms(self, vms: dict[str, str]) -> None:
        self._vm_history.append((time.monotonic(), vms))

    def _visible_vms(self, now: float) -> list[dict[str, str]]:
        visible = [
            vms for changed_at, vms in self._vm_history if changed_at <= now - self._vms_lag_seconds
        ]
        vms = visible[-1] if visible else {}
        return [{"name": name, "state": state} for name, state in sorted(vms.items())]
