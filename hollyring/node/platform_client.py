"""Client of the platform's key-value service.

Every call is bounded in time. A write whose answer is lost raises `errors.PlatformError`: it may
have taken effect, and the caller decides by reading back.
"""

from __future__ import annotations

import dataclasses
import urllib.parse

import msgspec

from hollyring.node import connection_pool, errors, http_connection, http_request

CALL_SECONDS = 2.0
"""Longest wait for the answer to a call that is not a watch."""

WATCH_SECONDS = 30.0
"""Longest wait of one watch before it is asked again."""

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_TOO_MANY = 429


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedValue:
    """A key's value and version; version 0 stands for an absent key."""

    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class SwapResult:
    """The outcome of a compare-and-swap: whether it took effect, and the present version."""

    applied: bool
    version: int


class _Vm(msgspec.Struct, frozen=True):
    name: str
    state: str


class _Vms(msgspec.Struct, frozen=True):
    vms: list[_Vm]


class _Lease(msgspec.Struct, frozen=True):
    ttl: float
    lease: str = ""


class PlatformClient:
    """The platform's service at `url`.

    Parameters
    ----------
    url
        ``"http://IP:PORT"``.
    connections
        Connections to share; by default its own.
    """

    __slots__ = ("_address", "_links", "_call_counts")

    def __init__(self, url: str, connections: connection_pool.ConnectionPool | None = None) -> None:
        self._address = http_request.address_of(url)
        self._links = connection_pool.ConnectionPool() if connections is None else connections
        self._call_counts = {"read": 0, "write": 0, "watch": 0, "failed": 0}

    @property
    def call_counts(self) -> dict[str, int]:
        """Calls made so far by kind, and how many of them failed."""
        return dict(self._call_counts)

    async def get(self, key: str) -> VersionedValue:
        """Return the present entry of `key`.

        Raises
        ------
        PlatformError
            If no usable answer came within `CALL_SECONDS`.
        """
        response = await self._call("read", "GET", self._path(key))
        return _entry(response)

    async def watch(
        self, key: str, version: int, seconds: float = WATCH_SECONDS
    ) -> VersionedValue | None:
        """Return the entry of `key` once its version differs from `version`, else None."""
        path = f"{self._path(key)}?watch={version}&wait={seconds:g}"
        response = await self._call("watch", "GET", path, seconds + CALL_SECONDS)
        return None if response.status == HTTP_NOT_MODIFIED else _entry(response)

    async def put(self, key: str, value: bytes, version: int, lease: str = "") -> SwapResult:
        """Write `value` if the key's version is still `version` (0: absent)."""
        path = f"{self._path(key)}?version={version}" + (f"&lease={lease}" if lease else "")
        response = await self._call("write", "PUT", path, content=value)
        return SwapResult(response.status == HTTP_OK, _version(response))

    async def delete(self, key: str, version: int) -> bool:
        """Delete `key` if its version is still `version`; tell whether that took effect."""
        response = await self._call("write", "DELETE", f"{self._path(key)}?version={version}")
        return response.status == HTTP_OK

    async def grant(self, ttl: float) -> str:
        """Return the identity of a new lease of `ttl` seconds."""
        content = msgspec.json.encode({"ttl": ttl})
        response = await self._call("write", "POST", "/leases", content=content)
        return msgspec.json.decode(response.body, type=_Lease).lease

    async def renew(self, lease: str) -> bool:
        """Renew a lease; False when it has lapsed."""
        response = await self._call("write", "PUT", f"/leases/{lease}")
        return response.status == HTTP_OK

    async def release(self, lease: str) -> None:
        """Give up a lease and the keys put under it."""
        await self._call("write", "DELETE", f"/leases/{lease}")

    async def vms(self) -> dict[str, str]:
        """Return the lagging list of VMs: ``"live"`` or ``"leaving"`` by name."""
        response = await self._call("read", "GET", "/vms")
        return {vm.name: vm.state for vm in msgspec.json.decode(response.body, type=_Vms).vms}

    async def close(self) -> None:
        """Close the connections."""
        self._links.close()

    def _path(self, key: str) -> str:
        return "/kv/" + urllib.parse.quote(key, safe="/")

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        seconds: float = CALL_SECONDS,
        content: bytes = b"",
    ) -> http_connection.Response:
        self._call_counts[kind] += 1
        request = http_request.encode(
            method.encode(), path.encode(), self._address.encode(), body=content
        )
        try:
            response = await self._links.call(self._address, request, seconds)
        except http_connection.HttpConnectionError as error:
            self._call_counts["failed"] += 1
            raise errors.PlatformError(f"{method} {path}: {error}") from error
        if response.status == HTTP_TOO_MANY:
            self._call_counts["failed"] += 1
            raise errors.PlatformBusyError(f"{method} {path}: over the service's rate")
        if response.status in (HTTP_OK, HTTP_NOT_MODIFIED, HTTP_NOT_FOUND, HTTP_CONFLICT):
            return response
        self._call_counts["failed"] += 1
        raise errors.PlatformError(f"{method} {path}: status {response.status}")


def _version(response: http_connection.Response) -> int:
    shown = response.header(b"x-version")
    if not shown.isdigit():
        raise errors.PlatformError("answer without X-Version")
    return int(shown)


def _entry(response: http_connection.Response) -> VersionedValue:
    version = _version(response)
    return VersionedValue(response.body if response.status == HTTP_OK else b"", version)
