"""Codec of requests, orders and responses in the format of the platform's servers."""

from __future__ import annotations

import email.utils
import re
from collections.abc import Sequence
from typing import Any

import msgspec

from hollyring.core import request_types
from hollyring.fleet import messages as fleet
from hollyring.membership import heartbeat
from hollyring.node import exchanges, http_connection, http_request, interfaces
from hollyring.platform import decoding

HTTP_UNAVAILABLE = 503
MS_PER_SECOND = 1000.0
MIN_DEADLINE_MS = 1
MAX_PRIORITY = 9
MAX_RATE = 1e15
"""Largest limit that a header names; a larger one stands for this one."""

MAX_REPORT_BYTES = 1_000_000
"""Longest report or list of cache events that is read, which holds up the event loop meanwhile."""

MAX_PART_CHARACTERS = 1_000
"""Longest name of a prompt part that is told to other VMs."""

HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers of a single connection, not forwarded; the content length is written anew."""

RESERVED_HEADERS = frozenset(
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
"""Caller headers that are not forwarded: a VM sets them itself, or upstreams must not get them."""

EVENT_STREAM = b"text/event-stream"

NON_NEGATIVE_NUMBER = re.compile(rb"[0-9]+\.?[0-9]*|\.[0-9]+")
DECIMAL_NUMBER = re.compile(rb"[+-]?([0-9]+\.?[0-9]*|\.[0-9]+)")

ORDER_OUTCOMES = {
    200: fleet.Outcome.ACCEPTED,
    202: fleet.Outcome.ACCEPTED,
    409: fleet.Outcome.CONFLICT,
    412: fleet.Outcome.STALE_FENCING,
    421: fleet.Outcome.CONFLICT,
    400: fleet.Outcome.CONFLICT,
    503: fleet.Outcome.CONFLICT,
    429: fleet.Outcome.CONFLICT,
}


class _ServedModel(msgspec.Struct, frozen=True):
    name: decoding.Name
    version: decoding.WholeNumber


class _Report(msgspec.Struct, frozen=True):
    """An upstream's report of the weights that it serves and of its orders."""

    models: list[_ServedModel]
    busy: bool
    sequence: decoding.WholeNumber  # accepted orders, unlike `sequence` of an upstream's entry
    stage: str = "both"  # role
    state: str = "ready"
    born: decoding.WholeNumber | None = None  # incarnation number


class _Events(msgspec.Struct, frozen=True):
    """Cache events; each is [number, sign, salt, part, tokens now stored, model]."""

    boot_epoch: decoding.WholeNumber
    next: decoding.WholeNumber  # number after which the next request continues
    lost: bool
    events: list[tuple[int, str, str, str, decoding.WholeNumber, str]]


class HttpUpstreamCodec:
    """HTTP codec for upstreams; implements `hollyring.node.interfaces.UpstreamCodec`."""

    def encode_request(
        self, request: request_types.Request, context: interfaces.ForwardingContext
    ) -> bytes:
        """Return the bytes of a request to an upstream."""
        headers = self.upstream_headers(request.headers)
        deadline_ms = max(MIN_DEADLINE_MS, int(context.remaining_seconds * MS_PER_SECOND))
        headers.append((b"X-Deadline-Ms", b"%d" % deadline_ms))
        headers.append((b"X-Expect-Instance", context.upstream.encode()))
        if context.organisation:
            headers.append((b"X-Tenant", context.organisation.encode()))
        if context.cache_salt:
            headers.append(
                (b"X-Request-Priority", b"%d" % min(MAX_PRIORITY, max(0, context.priority)))
            )
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
            request.method,
            request.target,
            request.host.encode(),
            headers,
            request.body,
        )

    def upstream_headers(
        self, headers: Sequence[request_types.Header]
    ) -> list[request_types.Header]:
        """Return those of a caller's headers that upstreams and other VMs may get."""
        return [header for header in headers if is_forwarded(header[0])]

    def naming_reader(self, request_id: str) -> exchanges.NamingReader:
        """Return a function that tells whether a response's headers name `request_id`."""
        return exchanges.naming_reader(request_id)

    def decode_head(self, head: exchanges.ResponseHead) -> interfaces.ResponseHead:
        """Decode the head of a response."""
        headers = [header for header in head.headers if header[0] not in HOP_BY_HOP_HEADERS]
        version = _header_value(head.headers, b"x-weight-versions")
        retry_after = _decode_retry_after(head)
        return interfaces.ResponseHead(
            head.status,
            headers,
            authentic=bool(_header_value(head.headers, b"x-response-seal")),
            not_run=bool(_header_value(head.headers, b"x-not-run")),
            misdirected=head.status == 421,
            upstream=_header_value(head.headers, b"x-instance-id").decode("latin-1"),
            version=_decode_number(version),
            retry_after_seconds=retry_after if isinstance(retry_after, float) else 0.0,
            retry_after_anomaly=None if isinstance(retry_after, float) else retry_after,
            leaving=_header_value(head.headers, b"server-leaving").strip() == b"1",
            request_limit=_decode_limit(head, b"server-limit"),
            rejection_limit=_decode_limit(head, b"server-brittle"),
            has_events=_media_type(head) == EVENT_STREAM,
        )

    def encode_report_request(self, address: str) -> bytes:
        """Return the bytes of a request for an upstream's report."""
        return http_request.encode(b"GET", b"/hollyring/report", address.encode())

    def decode_report(
        self, upstream: str, incarnation: int, body: bytes, requested_at: float
    ) -> fleet.UpstreamState | None:
        """Return the state that an upstream reports, or None if the report is malformed.

        Parameters
        ----------
        upstream
            Name of the upstream.
        incarnation
            Incarnation number that is assumed if the report contains none.
        body
            Body of the response.
        requested_at
            Time at which the report was requested, in seconds.
        """
        try:
            report = _decode(body, _Report)
        except decoding.UnreadableError:
            return None
        models = [fleet.ModelVersion(m.name, str(m.version)) for m in report.models]
        return fleet.UpstreamState(
            upstream,
            report.born if report.born is not None else incarnation,
            models,
            [],
            report.stage,
            report.state == "draining",
            requested_at,
            report.busy,
            report.sequence,
        )

    def encode_order(self, address: str, order: fleet.Order, holder: str) -> bytes:
        """Return the bytes of an order to load another version of a model's weights."""
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
        """Return the bytes of a long poll for the cache events after number `after`."""
        target = b"/hollyring/kv-events?since=%d" % after
        headers = [(b"Wait-Ms", b"%d" % int(seconds * MS_PER_SECOND))]
        return http_request.encode(b"GET", target, address.encode(), headers)

    def decode_events(self, body: bytes) -> interfaces.CacheEvents | None:
        """Return the cache events of an upstream or cache store, or None if they are malformed.

        Parts with endless names are left out.
        """
        try:
            response = _decode(body, _Events)
        except decoding.UnreadableError:
            return None
        changes = [
            heartbeat.CachedPart(salt, part, tokens)
            for _, _, salt, part, tokens, _ in response.events
            if max(len(salt), len(part)) <= MAX_PART_CHARACTERS
        ]
        return interfaces.CacheEvents(response.boot_epoch, response.next, response.lost, changes)

    def decode_order_outcome(self, status: int) -> fleet.Outcome:
        """Return the outcome of an order from the HTTP status of the response."""
        return ORDER_OUTCOMES.get(status, fleet.Outcome.UNKNOWN)


def is_forwarded(name: bytes) -> bool:
    """Return whether a caller's header `name` (lower case) is forwarded."""
    return name not in HOP_BY_HOP_HEADERS and name not in RESERVED_HEADERS


def _decode(body: bytes, type_: type[Any]) -> Any:
    if len(body) > MAX_REPORT_BYTES:
        raise decoding.UnreadableError(f"{len(body)} bytes are too long")
    return decoding.decode(body, type_)


def _decode_retry_after(
    head: exchanges.ResponseHead,
) -> float | interfaces.RetryAfterAnomaly:
    """Return the seconds of a refusal's `Retry-After` header, 0 for a response without one."""
    names = [name for name, _ in head.headers]
    if head.status != HTTP_UNAVAILABLE or b"retry-after" not in names:
        return 0.0
    value = _header_value(head.headers, b"retry-after").strip()
    if DECIMAL_NUMBER.fullmatch(value):
        seconds = float(value)
        return seconds if seconds > 0 else interfaces.RetryAfterAnomaly.NOT_POSITIVE
    if email.utils.parsedate(value.decode("latin-1")) is not None:
        return interfaces.RetryAfterAnomaly.DATE
    return interfaces.RetryAfterAnomaly.MALFORMED


def _decode_number(value: bytes) -> int:
    """Return a whole number, 0 for what is none."""
    is_number = value.isdigit() and len(value) <= http_connection.MAX_NUMBER_DIGITS
    return int(value) if is_number else 0


def _decode_limit(head: exchanges.ResponseHead, name: bytes) -> float | None:
    """Return the number per second that a response names as a limit of its server, if it does.

    A limit that cannot be read counts as the lowest one.
    """
    if name not in [key for key, _ in head.headers]:
        return None
    value = _header_value(head.headers, name).strip()
    return min(float(value), MAX_RATE) if NON_NEGATIVE_NUMBER.fullmatch(value) else 0.0


def _media_type(head: exchanges.ResponseHead) -> bytes:
    """Return the content type without its parameters, in lower case."""
    return _header_value(head.headers, b"content-type").partition(b";")[0].strip().lower()


def _header_value(headers: Sequence[request_types.Header], name: bytes) -> bytes:
    return next((value for key, value in headers if key == name), b"")
