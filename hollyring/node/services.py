"""Calls to plain services under the routes that the configuration names."""

from __future__ import annotations

import dataclasses
import time
import uuid

import httpcore

from hollyring.configuration import objects, state
from hollyring.core import pieces, rendezvous
from hollyring.delivery import calls, messages, records, refusal
from hollyring.node import asgi, claims_part, errors, failures, outlets, rights, vm

CONNECT_SECONDS = 1.0
ANSWER_SECONDS = 30.0
MAX_ANSWER_BYTES = 8_000_000

REQUEST_HEADERS = frozenset({b"accept", b"accept-language", b"content-type", b"if-match"})
"""Headers of the caller that a service sees; its key and whatever steers upstreams do not pass."""

ANSWER_HEADERS = frozenset({"content-type", "content-language", "etag", "location", "retry-after"})


class _NotAllowedError(errors.NodeError):
    """The call may not be sent any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """A caller's request to a plain service."""

    method: str
    target: str
    headers: asgi.Headers
    body: bytes
    organisation: str


class Services:
    """Connections to the plain services."""

    __slots__ = ("_pool", "_single")

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(max_connections=500, keepalive_expiry=5.0)
        # A call that may not be repeated gets a connection of its own: one that the service
        # closed while it was idle would leave the call's outcome unknown.
        self._single = httpcore.AsyncConnectionPool(
            max_connections=500, max_keepalive_connections=0
        )

    async def send(
        self, address: str, call: _Call, request_id: str, may_send: claims_part.MaySend | None
    ) -> messages.Answer:
        """Send `call` and return the whole answer.

        Parameters
        ----------
        may_send
            Asked after the connection is up and before the first byte is written; None for a
            call that may be repeated.

        Raises
        ------
        UpstreamError
            With whether a byte can have reached the service.
        """
        sent = False

        async def trace(event: str, _: object) -> None:
            nonlocal sent
            if event != "http11.send_request_headers.started":
                return
            if may_send is not None and not await may_send():
                raise _NotAllowedError(request_id)
            sent = True

        timeout = {"connect": CONNECT_SECONDS, "read": ANSWER_SECONDS}
        timeout |= {"write": CONNECT_SECONDS, "pool": CONNECT_SECONDS}
        pool = self._pool if may_send is None else self._single
        headers = [*call.headers, (b"x-request-id", request_id.encode())]
        headers.append((b"x-organisation", call.organisation.encode()))
        if may_send is not None:
            headers.append((b"idempotency-key", request_id.encode()))
        extensions = {"timeout": timeout, "trace": trace}
        try:
            async with pool.stream(
                call.method,
                address + call.target,
                headers=headers,
                content=call.body,
                extensions=extensions,
            ) as response:
                return await _whole(response)
        except _NotAllowedError as error:
            raise errors.UpstreamError("gave up before sending", reached=False) from error
        except failures.FAILURES as error:
            raise errors.UpstreamError(type(error).__name__, reached=sent) from error

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()
        await self._single.aclose()


async def _whole(response: httpcore.Response) -> messages.Answer:
    body = b""
    async for piece in response.aiter_stream():
        body += piece
        if len(body) > MAX_ANSWER_BYTES:
            raise errors.UpstreamError("answer too long", reached=True)
    headers = [
        messages.Header(name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in response.headers
        if name.decode("latin-1").lower() in ANSWER_HEADERS
    ]
    return messages.Answer(response.status, headers, body)


async def serve(node: vm.VM, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
    """Answer a call under one of the configured routes."""
    final = await _answer(node, scope, receive)
    match final:
        case refusal.Refusal():
            node.metrics.count(f"refused_{final.code}")
            await outlets.refuse(send, final)
        case messages.Answer():
            node.metrics.count("service_answers")
            headers = [(h.name.encode(), h.value.encode("latin-1")) for h in final.headers]
            await asgi.answer(send, final.status, final.body, headers)


async def _answer(node: vm.VM, scope: asgi.Scope, receive: asgi.Receive) -> claims_part.Final:
    configuration = node.configuration.current
    route = configuration.route_of(scope["path"])
    if route is None or scope["method"] not in route.methods:
        return refusal.make("unknown_route")
    request_id = f"req-{uuid.uuid4().hex}"
    call = await _gate(node, route, scope, receive, request_id)
    if isinstance(call, refusal.Refusal):
        # This attempt did not run, but an earlier one under the same key may have.
        return call.as_unknown() if asgi.header(scope, b"idempotency-key") else call
    if route.idempotent:
        return await _repeatable(node, configuration, route, call, request_id)
    return await _once(node, route, call, scope, request_id)


async def _gate(
    node: vm.VM,
    route: objects.Route,
    scope: asgi.Scope,
    receive: asgi.Receive,
    request_id: str,
) -> _Call | refusal.Refusal:
    """Return the call if its key, body and rate allow it, else why not."""
    stale = node.configuration.refusal()
    if stale is not None:
        return stale
    caller = rights.authenticate(scope, node.configuration.current)
    if isinstance(caller, refusal.Refusal) and not route.open_to_all:
        return caller
    bounds = node.settings.limits
    try:
        body = await asgi.read_body(receive, bounds.body_bytes, bounds.body_seconds)
    except asgi.BodyTooLargeError:
        return refusal.make("body_too_large")
    except asgi.BodyTooSlowError:
        return refusal.make("header_timeout")
    except asgi.DisconnectedError:
        return refusal.make("cancelled")
    organisation = "" if isinstance(caller, refusal.Refusal) else caller.organisation.name
    call = _Call(scope["method"], _target(scope), _passed(scope), body, organisation)
    if not organisation:
        return call
    tokens = 1 + pieces.token_count(body)
    refused = await node.limits.admit(organisation, tokens, request_id)
    if refused is not None:
        return refused
    node.limits.settle(organisation, request_id, tokens)
    return call


def _target(scope: asgi.Scope) -> str:
    query = scope["query_string"].decode("latin-1")
    path = scope["raw_path"].decode("latin-1")
    return f"{path}?{query}" if query else path


def _passed(scope: asgi.Scope) -> asgi.Headers:
    return [(name, value) for name, value in scope["headers"] if name in REQUEST_HEADERS]


def _candidates(
    configuration: state.Configuration, route: objects.Route, key: str
) -> list[objects.Upstream]:
    """Return the route's upstreams in the order to try them."""
    found = [configuration.upstreams[name] for name in route.upstreams]
    ready = {item.name: item for item in found if not item.leaving}
    return [ready[name] for name in rendezvous.rank(key.encode(), ready)]


async def _repeatable(
    node: vm.VM,
    configuration: state.Configuration,
    route: objects.Route,
    call: _Call,
    request_id: str,
) -> claims_part.Final:
    reached = False
    for upstream in _candidates(configuration, route, request_id):
        try:
            return await node.services.send(upstream.address, call, request_id, None)
        except errors.UpstreamError as error:
            node.metrics.count("service_retries")
            reached = reached or error.reached
    why = refusal.make("upstream_unreachable")
    return why.as_unknown() if reached else why


async def _once(
    node: vm.VM, route: objects.Route, call: _Call, scope: asgi.Scope, request_id: str
) -> claims_part.Final:
    """Run a call that must run at most once: its dispatch needs a claim."""
    shown = asgi.header(scope, b"idempotency-key")
    key = records.claim_key(call.organisation, route.path_prefix, shown) if shown else b""
    claim = calls.Call(
        identity=request_id,
        key=key,
        body=records.body_digest(call.method, call.target, call.body),
        deadline=time.monotonic() + ANSWER_SECONDS,
        key_time=records.key_time(shown) if shown else None,
    )

    async def dispatch(
        name: str, may_send: claims_part.MaySend
    ) -> messages.Answer | claims_part.Unsent:
        return await _dispatch(node, route, call, name, may_send)

    return await node.claims.call(claim, dispatch)


async def _dispatch(
    node: vm.VM, route: objects.Route, call: _Call, name: str, may_send: claims_part.MaySend
) -> messages.Answer | claims_part.Unsent:
    for upstream in _candidates(node.configuration.current, route, name):
        try:
            return await node.services.send(upstream.address, call, name, may_send)
        except errors.UpstreamError as error:
            if error.reached:
                return claims_part.Unsent.LOST
    return claims_part.Unsent.NOT_SENT
