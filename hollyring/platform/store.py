"""Client of the platform's metadata store."""

from __future__ import annotations

import base64
import urllib.parse
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Annotated, Any

import msgspec

from hollyring.configuration import mirror, store_revision
from hollyring.limits import byte_budget
from hollyring.node import connection_pool, exchanges, http_connection, http_request, interfaces
from hollyring.platform import decoding, documents

CALL_TIMEOUT_SECONDS = 1.5
"""Timeout of calls other than watches."""

MAX_WATCH_BYTES = 8_388_608
MAX_READ_BYTES = 4_194_304
"""Longest answers of a watch, and of other calls that return items.

A page of a list has about 1 MB of values, or one longer value, and a third more in Base64.
"""

MAX_LEASE_BYTES = 65_536
"""Longest answer of a call that grants, renews or revokes a lease."""

WATCH_TIMEOUT_MARGIN_SECONDS = 1.5
"""Added to the long-poll time of a watch to give its timeout."""

MS_PER_SECOND = 1000.0

JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")
ERA_HEADER = b"store-era"
NO_LEASE = 0
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
HTTP_TOO_MANY_REQUESTS = 429


_Number = Annotated[int, msgspec.Meta(ge=0, lt=store_revision.REVISIONS_PER_ERA)]
"""Revision of the store."""


class _Item(msgspec.Struct, frozen=True):
    key: str
    revision: _Number
    value: str = ""  # Base64
    lease: Any = None
    deleted: bool = False


class _RangeResponse(msgspec.Struct, frozen=True):
    items: list[_Item]
    current_rev: _Number
    truncated: bool = False


class _WatchResponse(msgspec.Struct, frozen=True):
    events: list[_Item]
    current_rev: _Number


class _TransactionResponse(msgspec.Struct, frozen=True):
    revision: _Number


class _LeaseResponse(msgspec.Struct, frozen=True):
    lease: decoding.WholeNumber


class _Answer(msgspec.Struct, frozen=True):
    status: int
    body: bytes
    era: int


class _TooLongError(interfaces.StoreError):
    """An answer is longer than what is read at once."""


class MetadataStore:
    """Client of the metadata store; implements `hollyring.node.interfaces.Store`.

    Parameters
    ----------
    address
        Address of the store as ``"IP:PORT"``.
    budget
        Bytes that this VM may hold.
    """

    def __init__(self, address: str, budget: byte_budget.ByteBudget | None = None) -> None:
        self._address = address
        self._pool = connection_pool.ConnectionPool(budget)
        self._era = 0
        self._era_listener: Callable[[int], None] | None = None

    def set_era_listener(self, listener: Callable[[int], None]) -> None:
        """Call `listener` with the era of each answer, before the answer is returned."""
        self._era_listener = listener

    async def get(self, key: str) -> mirror.Item | None:
        """Return an item, or None if the key does not exist."""
        answer = await self._call("GET", "/hollyring/kv-key", {"key": key})
        if answer.status == HTTP_NOT_FOUND:
            return None
        return _convert_item(_decode(answer.body, _Item), answer.era)

    async def list(self, prefix: str) -> interfaces.Listing:
        """Return the items under a prefix, each as of the first page's revision or later.

        Raises
        ------
        StoreError
            If the store began a new era between two pages, or the pages do not end.
        """
        items: list[mirror.Item] = []
        revision = None
        query = {"prefix": prefix}
        while True:
            answer = await self._call("GET", "/hollyring/kv-range", query)
            page = _decode(answer.body, _RangeResponse)
            items += [_convert_item(item, answer.era) for item in _readable(page.items, prefix)]
            if revision is None:
                revision = store_revision.Revision(answer.era, page.current_rev)
            if answer.era != revision.era:
                raise interfaces.StoreError(f"{prefix}: pages of several eras")
            if not page.truncated or not page.items:
                return interfaces.Listing(items, revision)
            last_key = page.items[-1].key
            if last_key <= query.get("after", ""):
                raise interfaces.StoreError(f"{prefix}: pages without end")
            query = {"prefix": prefix, "after": last_key}

    async def watch(
        self, prefix: str, after: store_revision.Revision, seconds: float
    ) -> interfaces.Changes:
        """Return the changes after revision `after`, waiting up to `seconds` for the first.

        Raises
        ------
        HistoryCompactedError
            If the store no longer has all changes after `after`, is in another era, or names more
            than can be read at once.
        """
        query = {"prefix": prefix, "after": str(after.number)}
        query["wait_ms"] = str(int(seconds * MS_PER_SECOND))
        seconds += WATCH_TIMEOUT_MARGIN_SECONDS
        try:
            answer = await self._call(
                "GET", "/hollyring/kv-watch", query, seconds=seconds, max_bytes=MAX_WATCH_BYTES
            )
        except _TooLongError as error:
            raise interfaces.HistoryCompactedError(f"{prefix}: too many changes") from error
        if answer.status == HTTP_GONE or answer.era != after.era:
            raise interfaces.HistoryCompactedError(
                f"{prefix}: changes after revision {after} are no longer available"
            )
        response = _decode(answer.body, _WatchResponse)
        events = _readable(response.events, prefix)
        return interfaces.Changes(
            [_convert_change(event, answer.era) for event in events],
            store_revision.Revision(answer.era, response.current_rev),
        )

    async def commit(
        self,
        expected: Mapping[str, store_revision.Revision],
        puts: Sequence[interfaces.Put],
    ) -> interfaces.CommitOutcome:
        """Write `puts` if every key is at its expected revision; `NONE` if it must be absent."""
        revisions = [rev for rev in expected.values() if rev != store_revision.NONE]
        if any(revision.era < self._era for revision in revisions):
            return interfaces.Conflict()
        leases = [put.lease for put in puts if put.lease is not None]
        if any(lease.era < self._era for lease in leases):
            return interfaces.LeaseExpired()
        content = {
            "expected": [{"key": key, "revision": rev.number} for key, rev in expected.items()],
            "puts": [_encode_put(put) for put in puts],
            "remove": [],
        }
        answer = await self._call("POST", "/hollyring/kv-txn", content=content)
        if answer.status == HTTP_PRECONDITION_FAILED:
            return interfaces.Conflict()
        if answer.status == HTTP_NOT_FOUND or any(lease.era != answer.era for lease in leases):
            return interfaces.LeaseExpired()
        number = _decode(answer.body, _TransactionResponse).revision
        return interfaces.Committed(store_revision.Revision(answer.era, number))

    async def grant(self, seconds: float) -> interfaces.Lease:
        """Grant a lease of `seconds`."""
        content = {"ttl_ms": int(seconds * MS_PER_SECOND)}
        answer = await self._call(
            "POST", "/hollyring/kv-lease", content=content, max_bytes=MAX_LEASE_BYTES
        )
        return interfaces.Lease(answer.era, _decode(answer.body, _LeaseResponse).lease)

    async def renew(self, lease: interfaces.Lease) -> bool:
        """Renew a lease; return False if it has expired or is of an earlier era."""
        if lease.era < self._era:
            return False
        path = f"/hollyring/kv-keep/{lease.number}"
        answer = await self._call("POST", path, max_bytes=MAX_LEASE_BYTES)
        return answer.status == HTTP_OK and answer.era == lease.era

    async def revoke(self, lease: interfaces.Lease) -> bool:
        """Revoke a lease, unless its number may be that of another one by now."""
        if lease.era != self._era:
            return False
        path = f"/hollyring/kv-lease-end/{lease.number}"
        answer = await self._call("DELETE", path, max_bytes=MAX_LEASE_BYTES)
        return answer.status == HTTP_OK and answer.era == lease.era

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        content: Any = None,
        seconds: float = CALL_TIMEOUT_SECONDS,
        max_bytes: int = MAX_READ_BYTES,
    ) -> _Answer:
        target = (
            path + "?" + urllib.parse.urlencode(query, errors="surrogatepass") if query else path
        )
        body = msgspec.json.encode(content) if content is not None else b""
        headers = [JSON_CONTENT_TYPE] if body else []
        request = http_request.encode(
            method.encode(), target.encode(), self._address.encode(), headers, body
        )
        try:
            response = await self._pool.call(self._address, request, seconds, max_bytes)
        except exchanges.BodyTooLongError as error:
            raise _TooLongError(f"{method} {path}: {error}") from error
        except exchanges.OwnResourcesError as error:
            raise interfaces.StoreNotAskedError(f"{method} {path}: {error}") from error
        except exchanges.HttpConnectionError as error:
            raise interfaces.StoreError(f"{method} {path}: {error}") from error
        era = _decode_era(response.header(ERA_HEADER))
        self._record_era(era)
        if response.status == HTTP_TOO_MANY_REQUESTS:
            raise interfaces.StoreRefusedError(f"{method} {path}: status {response.status}")
        if response.status not in (HTTP_OK, HTTP_NOT_FOUND, HTTP_GONE, HTTP_PRECONDITION_FAILED):
            raise interfaces.StoreError(f"{method} {path}: status {response.status}")
        return _Answer(response.status, response.body, era)

    def _record_era(self, era: int) -> None:
        self._era = max(self._era, era)
        if self._era_listener is not None:
            self._era_listener(era)


def _decode(body: bytes, type_: type[Any]) -> Any:
    try:
        return decoding.decode_with_odd_text(body, type_)
    except decoding.UnreadableError as error:
        raise interfaces.StoreError(f"unreadable response: {error}") from error


def _readable(items: Iterable[_Item], prefix: str) -> list[_Item]:
    """Return the items whose keys are Unicode; others name nothing.

    Raises
    ------
    StoreError
        If one lies under another prefix.
    """
    readable = [item for item in items if decoding.is_text(item.key)]
    if not all(item.key.startswith(prefix) for item in readable):
        raise interfaces.StoreError(f"{prefix}: key that was not asked for")
    return readable


def _decode_era(value: bytes) -> int:
    """Return the era that a header states, 0 if there is none.

    Raises
    ------
    StoreError
        If the header states no era that a store can reach.
    """
    if not value:
        return 0
    is_number = value.isdigit() and len(value) <= http_connection.MAX_NUMBER_DIGITS
    if not is_number or int(value) > store_revision.MAX_ERA:
        raise interfaces.StoreError(f"unreadable era: {value[:40]!r}")
    return int(value)


def _convert_item(item: _Item, era: int) -> mirror.Item:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        value = b""
    revision = store_revision.Revision(era, item.revision)
    unleased = type(item.lease) is int and item.lease == NO_LEASE
    return mirror.Item(item.key, documents.kept_value(item.key, value), revision, unleased)


def _convert_change(event: _Item, era: int) -> mirror.Change:
    if event.deleted:
        return mirror.Removal(event.key, store_revision.Revision(era, event.revision))
    return _convert_item(event, era)


def _encode_put(put: interfaces.Put) -> dict[str, Any]:
    value = base64.b64encode(put.value).decode()
    lease = put.lease.number if put.lease is not None else NO_LEASE
    return {"key": put.key, "value": value, "lease": lease}
