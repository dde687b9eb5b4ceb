"""Requests, orders and answers as the platform's servers speak them."""

from __future__ import annotations

import msgspec

from hollyring.core import request_types
from hollyring.fleet import messages as fleet
from hollyring.membership import heartbeat
from hollyring.node import http_connection, http_request, interfaces

MILLISECONDS = 1000.0
MIN_DEADLINE_MS = 1
MAX_RANK = 9

HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    }
)
"""Headers that concern one connection; lengths are written anew."""

SYSTEM_HEADERS = frozenset(
    {
        b"host",
        b"expect",
        b"authorization",
        b"x-deadline-ms",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-tenant",
        b"x-request-priority",
        b"x-cache-salt",
        b"x-kv-fetch",
        b"x-kv-save",
        b"x-kv-backup",
        b"x-hold",
        b"x-pin-ms",
        b"kv-from",
        b"last-event-id",
    }
)
"""Headers of a caller that do not pass: the system sets them, or they are no server's business."""

OUTCOMES = {
    200: fleet.Outcome.ACCEPTED,
    202: fleet.Outcome.ACCEPTED,
    409: fleet.Outcome.CONFLICT,
    412: fleet.Outcome.STALE_FENCING,
    421: fleet.Outcome.CONFLICT,
    400: fleet.Outcome.CONFLICT,
    503: fleet.Outcome.CONFLICT,
    429: fleet.Outcome.CONFLICT,
}


class _Served(msgspec.Struct, frozen=True):
    name: str
    version: int


class _Report(msgspec.Struct, frozen=True):
    """A server's report. Here `sequence` counts the orders that it accepted."""

    models: list[_Served]
    busy: bool
    sequence: int
    stage: str = "both"
    state: str = "ready"
    born: int | None = None


class _Events(msgspec.Struct, frozen=True):
    """Cache events; each is [number, sign, salt, part, tokens stored now, model]."""

    boot_epoch: int
    next: int
    lost: bool
    events: list[tuple[int, str, str, str, int, str]]


class ServerCodec:
    """Implements `hollyring.node.interfaces.UpstreamCodec`."""

    def encode_request(
        self, request: request_types.Request, context: interfaces.ForwardingContext
    ) -> bytes:
        """Return the bytes of a request."""
        headers = [header for header in request.headers if passes(header[0])]
        left = max(MIN_DEADLINE_MS, int(context.remaining_seconds * MILLISECONDS))
        headers.append((b"X-Deadline-Ms", b"%d" % left))
        headers.append((b"X-Expect-Instance", context.upstream.encode()))
        if context.organisation:
            headers.append((b"X-Tenant", context.organisation.encode()))
        if context.cache_salt:
            headers.append((b"X-Request-Priority", b"%d" % min(MAX_RANK, max(0, context.priority))))
            headers.append((b"X-Cache-Salt", context.cache_salt.encode()))
        if context.version:
            headers.append((b"X-Expect-Version", b"%d" % context.version))
        if context.fetch_from:
            headers.append((b"X-Kv-Fetch", context.fetch_from.encode()))
        if context.save_to:
            headers.append((b"X-Kv-Save", context.save_to.encode()))
        if context.resume_after is not None:
            headers.append((b"Last-Event-Id", b"%d" % context.resume_after))
        return http_request.encode(
            request.method, request.target, request.host.encode(), headers, request.body
        )

    def response_matcher(self, request_id: str) -> http_connection.ResponseMatcher:
        """Return what tells whether an answer belongs to the request of this name."""
        name = request_id.encode()

        def check(headers: list[request_types.Header]) -> bool:
            return _find(headers, b"x-request-id") in (name, b"")

        return check

    def decode_head(self, head: http_connection.ResponseHead) -> interfaces.ResponseHead:
        """Decode the head of an answer."""
        headers = [header for header in head.headers if header[0] not in HOP_HEADERS]
        version = _find(head.headers, b"x-weight-versions")
        return interfaces.ResponseHead(
            head.status,
            headers,
            authentic=bool(_find(head.headers, b"x-response-seal")),
            not_run=bool(_find(head.headers, b"x-not-run")),
            misdirected=head.status == 421,
            upstream=_find(head.headers, b"x-instance-id").decode("latin-1"),
            version=int(version) if version.isdigit() else 0,
        )

    def encode_report_request(self, address: str) -> bytes:
        """Return the bytes that ask a server what it serves."""
        return http_request.encode(b"GET", b"/hollyring/report", address.encode())

    def decode_report(
        self, upstream: str, life: int, body: bytes, received_at: float
    ) -> fleet.UpstreamState | None:
        """Decode what a server reports; None if it can't be read."""
        try:
            found = msgspec.json.decode(body, type=_Report)
        except msgspec.MsgspecError:
            return None
        models = [fleet.ModelVersion(m.name, str(m.version)) for m in found.models]
        return fleet.UpstreamState(
            upstream,
            found.born if found.born is not None else life,
            models,
            [],
            found.stage,
            found.state == "draining",
            received_at,
            found.busy,
            found.sequence,
        )

    def encode_order(self, address: str, order: fleet.Order, holder: str) -> bytes:
        """Return the bytes of an order to change weights."""
        assert isinstance(order.change, fleet.LoadModel)
        content = {
            "op": "version",
            "model": order.change.model,
            "version": int(order.change.version),
            "strategy": "wait",
            "holder": holder,
            "fencing_token": order.fencing,
        }
        if order.expected is not None:
            content["expected"] = order.expected
        body = msgspec.json.encode(content)
        headers = [
            (b"X-Expect-Instance", order.upstream.encode()),
            (b"Content-Type", b"application/json"),
        ]
        return http_request.encode(b"POST", b"/hollyring/order", address.encode(), headers, body)

    def encode_events_request(self, address: str, after: int, seconds: float) -> bytes:
        """Return the bytes that ask a server or cache store for its events after one."""
        target = b"/hollyring/kv-events?since=%d" % after
        headers = [(b"Wait-Ms", b"%d" % int(seconds * MILLISECONDS))]
        return http_request.encode(b"GET", target, address.encode(), headers)

    def decode_events(self, body: bytes) -> interfaces.CacheEvents | None:
        """Decode a holder's events; None if they can't be read."""
        try:
            found = msgspec.json.decode(body, type=_Events)
        except msgspec.MsgspecError:
            return None
        changes = [
            heartbeat.CachedPart(salt, part, left) for _, _, salt, part, left, _ in found.events
        ]
        return interfaces.CacheEvents(found.boot_epoch, found.next, found.lost, changes)

    def decode_order_outcome(self, status: int) -> fleet.Outcome:
        """Return what a server's answer to an order means."""
        return OUTCOMES.get(status, fleet.Outcome.UNKNOWN)


def passes(name: bytes) -> bool:
    """Tell whether a caller's header of this name is sent on."""
    return name not in HOP_HEADERS and name not in SYSTEM_HEADERS


def _find(headers: list[request_types.Header], name: bytes) -> bytes:
    return next((value for key, value in headers if key == name), b"")
