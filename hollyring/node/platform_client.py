"""Client of the platform's key-value service.

Every call has a timeout. A write whose response is lost raises `errors.PlatformError`: it may or
may not have taken effect, which its caller can find out by reading the key.
"""

from __future__ import annotations

import dataclasses
import urllib.parse

import msgspec

from hollyring.node import connection_pool, errors, exchanges, http_request

CALL_TIMEOUT_SECONDS = 2.0
"""Timeout of a call other than a watch; a watch may take this much longer than its wait."""

WATCH_TIMEOUT_SECONDS = 30.0
"""Default wait of a watch, which is a long poll."""

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_TOO_MANY_REQUESTS = 429


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedValue:
    """Value and version of a key; an absent key has version 0."""

    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class SwapResult:
    """Result of a compare-and-swap: whether it was applied, and the current version."""

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
    """Client of the platform's service at `url`.

    Parameters
    ----------
    url
        ``"http://IP:PORT"``.
    connections
        Connection pool to share; by default a new one.
    """

    __slots__ = ("_address", "_connections", "_call_counts")

    def __init__(self, url: str, connections: connection_pool.ConnectionPool | None = None) -> None:
        self._address = http_request.address_of(url)
        self._connections = connection_pool.ConnectionPool() if connections is None else connections
        self._call_counts = {"read": 0, "write": 0, "watch": 0, "failed": 0}

    @property
    def call_counts(self) -> dict[str, int]:
        """Number of calls by kind, and of those that failed."""
        return dict(self._call_counts)

    async def get(self, key: str) -> VersionedValue:
        """Return the current value and version of `key`.

        Raises
        ------
        PlatformError
            If no valid response arrives within `CALL_TIMEOUT_SECONDS`.
        """
        response = await self._call("read", "GET", self._key_path(key))
        return _decode_value(response)

    async def watch(
        self, key: str, version: int, seconds: float = WATCH_TIMEOUT_SECONDS
    ) -> VersionedValue | None:
        """Return the value of `key` once its version is not `version`; None after `seconds`."""
        path = f"{self._key_path(key)}?watch={version}&wait={seconds:g}"
        response = await self._call("watch", "GET", path, seconds + CALL_TIMEOUT_SECONDS)
        return None if response.status == HTTP_NOT_MODIFIED else _decode_value(response)

    async def put(self, key: str, value: bytes, version: int, lease: str = "") -> SwapResult:
        """Write `value` if the version of `key` is still `version`, 0 for an absent key."""
        path = f"{self._key_path(key)}?version={version}" + (f"&lease={lease}" if lease else "")
        response = await self._call("write", "PUT", path, content=value)
        return SwapResult(response.status == HTTP_OK, _decode_version(response))

    async def delete(self, key: str, version: int) -> bool:
        """Delete `key` if its version is still `version`; return whether it was deleted."""
        response = await self._call("write", "DELETE", f"{self._key_path(key)}?version={version}")
        return response.status == HTTP_OK

    async def grant(self, ttl: float) -> str:
        """Grant a lease of `ttl` seconds and return its id."""
        content = msgspec.json.encode({"ttl": ttl})
        response = await self._call("write", "POST", "/leases", content=content)
        return msgspec.json.decode(response.body, type=_Lease).lease

    async def renew(self, lease: str) -> bool:
        """Renew a lease; return False if it has expired."""
        response = await self._call("write", "PUT", f"/leases/{lease}")
        return response.status == HTTP_OK

    async def revoke(self, lease: str) -> None:
        """Revoke a lease, which deletes the keys attached to it."""
        await self._call("write", "DELETE", f"/leases/{lease}")

    async def vms(self) -> dict[str, str]:
        """Return ``"live"`` or ``"leaving"`` by VM name; the service's list may be outdated."""
        response = await self._call("read", "GET", "/vms")
        return {vm.name: vm.state for vm in msgspec.json.decode(response.body, type=_Vms).vms}

    async def close(self) -> None:
        """Close the connections."""
        self._connections.close()

    def _key_path(self, key: str) -> str:
        return "/kv/" + urllib.parse.quote(key, safe="/")

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        seconds: float = CALL_TIMEOUT_SECONDS,
        content: bytes = b"",
    ) -> exchanges.Response:
        self._call_counts[kind] += 1
        request = http_request.encode(
            method.encode(), path.encode(), self._address.encode(), body=content
        )
        try:
            response = await self._connections.call(self._address, request, seconds)
        except exchanges.HttpConnectionError as error:
            self._call_counts["failed"] += 1
            raise errors.PlatformError(f"{method} {path}: {error}") from error
        if response.status == HTTP_TOO_MANY_REQUESTS:
            self._call_counts["failed"] += 1
            raise errors.PlatformBusyError(
                f"{method} {path}: rate limit of the platform's service exceeded"
            )
        if response.status in (HTTP_OK, HTTP_NOT_MODIFIED, HTTP_NOT_FOUND, HTTP_CONFLICT):
            return response
        self._call_counts["failed"] += 1
        raise errors.PlatformError(f"{method} {path}: status {response.status}")


def _decode_version(response: exchanges.Response) -> int:
    header = response.header(b"x-version")
    if not header.isdigit():
        raise errors.PlatformError("response has no valid X-Version header")
    return int(header)


def _decode_value(response: exchanges.Response) -> VersionedValue:
    version = _decode_version(response)
    if response.status == HTTP_OK and not response.states_end:
        raise errors.PlatformError("value without a stated end, which may be cut")
    return VersionedValue(response.body if response.status == HTTP_OK else b"", version)
