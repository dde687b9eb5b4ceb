"""Calls on the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
import urllib.parse
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from hollyring.configuration import mirror
from hollyring.node import connection_pool, http_connection, http_request, interfaces

CALL_SECONDS = 1.5
"""Longest wait for the answer to a call that does not watch."""

WATCH_SLACK_SECONDS = 1.5
MILLISECONDS = 1000.0

JSON_TYPE = (b"Content-Type", b"application/json")
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_CONFLICT = 412


class _Item(msgspec.Struct, frozen=True):
    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class _Range(msgspec.Struct, frozen=True):
    items: list[_Item]
    current_rev: int
    truncated: bool = False


class _Events(msgspec.Struct, frozen=True):
    events: list[_Item]
    current_rev: int


class _Committed(msgspec.Struct, frozen=True):
    revision: int


class _Lease(msgspec.Struct, frozen=True):
    lease: int


class MetadataStore:
    """The store at `address`; implements `hollyring.node.interfaces.Store`."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._links = connection_pool.ConnectionPool()

    async def get(self, key: str) -> mirror.Item | None:
        """Return an item, or None if the key does not exist."""
        status, body = await self._call("GET", "/hollyring/kv-key", {"key": key})
        if status == HTTP_NOT_FOUND:
            return None
        return _item(_decode(body, _Item))

    async def list(self, prefix: str) -> interfaces.Listing:
        """Return the items under a prefix, page by page, as of the first page or later."""
        items: list[mirror.Item] = []
        revision = None
        query = {"prefix": prefix}
        while True:
            _, body = await self._call("GET", "/hollyring/kv-range", query)
            page = _decode(body, _Range)
            items += [_item(item) for item in page.items]
            revision = page.current_rev if revision is None else revision
            if not page.truncated or not page.items:
                return interfaces.Listing(items, revision)
            query = {"prefix": prefix, "after": page.items[-1].key}

    async def watch(self, prefix: str, after: int, seconds: float) -> interfaces.Changes:
        """Return the changes after a revision, waiting up to `seconds` for one."""
        query = {"prefix": prefix, "after": str(after)}
        query["wait_ms"] = str(int(seconds * MILLISECONDS))
        status, body = await self._call(
            "GET", "/hollyring/kv-watch", query, seconds=seconds + WATCH_SLACK_SECONDS
        )
        if status == HTTP_GONE:
            raise interfaces.HistoryCompactedError(f"{prefix} after {after}")
        news = _decode(body, _Events)
        return interfaces.Changes([_change(event) for event in news.events], news.current_rev)

    async def commit(
        self, expected: Mapping[str, int], puts: Sequence[interfaces.Put]
    ) -> interfaces.CommitOutcome:
        """Write if every key is at its expected revision, 0 standing for absent."""
        content = {
            "expected": [{"key": key, "revision": rev} for key, rev in expected.items()],
            "puts": [_put(put) for put in puts],
            "remove": [],
        }
        status, body = await self._call("POST", "/hollyring/kv-txn", content=content)
        if status == HTTP_CONFLICT:
            return interfaces.Conflict()
        if status == HTTP_NOT_FOUND:
            return interfaces.LeaseExpired()
        return interfaces.Committed(_decode(body, _Committed).revision)

    async def grant(self, seconds: float) -> int:
        """Return a new lease."""
        content = {"ttl_ms": int(seconds * MILLISECONDS)}
        _, body = await self._call("POST", "/hollyring/kv-lease", content=content)
        return _decode(body, _Lease).lease

    async def renew(self, lease: int) -> bool:
        """Renew a lease; return False if it has ended."""
        status, _ = await self._call("POST", f"/hollyring/kv-keep/{lease}")
        return status == HTTP_OK

    async def revoke(self, lease: int) -> None:
        """End a lease; its keys are removed."""
        await self._call("DELETE", f"/hollyring/kv-lease-end/{lease}")

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        content: Any = None,
        seconds: float = CALL_SECONDS,
    ) -> tuple[int, bytes]:
        target = path + "?" + urllib.parse.urlencode(query) if query else path
        body = msgspec.json.encode(content) if content is not None else b""
        headers = [JSON_TYPE] if body else []
        request = http_request.encode(
            method.encode(), target.encode(), self._address.encode(), headers, body
        )
        try:
            answer = await self._links.call(self._address, request, seconds)
        except http_connection.HttpConnectionError as error:
            raise interfaces.StoreError(f"{method} {path}: {error}") from error
        if answer.status not in (HTTP_OK, HTTP_NOT_FOUND, HTTP_GONE, HTTP_CONFLICT):
            raise interfaces.StoreError(f"{method} {path}: status {answer.status}")
        return answer.status, answer.body


def _decode(body: bytes, type_: type[Any]) -> Any:
    try:
        return msgspec.json.decode(body, type=type_)
    except msgspec.MsgspecError as error:
        raise interfaces.StoreError(f"unreadable answer: {error}") from error


def _item(item: _Item) -> mirror.Item:
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error:
        value = b""
    return mirror.Item(item.key, value, item.revision)


def _change(event: _Item) -> mirror.Change:
    if event.deleted:
        return mirror.Removal(event.key, event.revision)
    return _item(event)


def _put(put: interfaces.Put) -> dict[str, Any]:
    value = base64.b64encode(put.value).decode()
    return {"key": put.key, "value": value, "lease": put.lease}
