"""Calls to plain services under the routes that the configuration names."""

from __future__ import annotations

import dataclasses
import time
import uuid

import anyio

from hollyring.configuration import objects, state
from hollyring.core import execution, prompt_blocks, rendezvous, request_types
from hollyring.delivery import calls, messages, records, refusal, retry
from hollyring.node import (
    asgi,
    claims_part,
    errors,
    http_link,
    http_request,
    links,
    outlets,
    rights,
    vm,
)

ANSWER_SECONDS = 30.0
MAX_RUNS = 3
"""Most upstreams that may run one call that may be repeated."""

MAX_ANSWER_BYTES = 8_000_000
MAX_CONNECTIONS = 500
"""Most connections of a VM to one service."""

REQUEST_HEADERS = frozenset({b"accept", b"accept-language", b"content-type", b"if-match"})
"""Headers of the caller that a service sees; its key and whatever steers upstreams do not pass."""

ANSWER_HEADERS = frozenset(
    {b"content-type", b"content-language", b"etag", b"location", b"retry-after"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """A caller's request to a plain service."""

    method: str
    target: str
    headers: asgi.Headers
    body: bytes
    organisation: str


class Services:
    """Calls on the plain services.

    Parameters
    ----------
    connections
        Connections to upstreams.
    """

    __slots__ = ("_links",)

    def __init__(self, connections: links.Links) -> None:
        self._links = connections

    async def send(
        self, url: str, call: _Call, request_id: str, may_send: claims_part.MaySend | None
    ) -> messages.Answer:
        """Send `call` and return the whole answer.

        Parameters
        ----------
        url
            ``"http://IP:PORT"`` of the service.
        may_send
            Asked after the connection is up and before the first byte is written; None for a
            call that may be repeated.

        Raises
        ------
        UpstreamError
            With whether a byte can have reached the service.
        """
        address = http_request.address_of(url)
        request = _request(call, address, request_id, once=may_send is not None)
        try:
            link = await self._connect(address, may_send is None)
        except http_link.NotSentError as error:
            raise errors.UpstreamError(str(error), reached=False) from error
        try:
            if may_send is not None and not await may_send():
                raise errors.UpstreamError("gave up before sending", reached=False)
            exchange = link.send(request, http_link.any_answer)
            with anyio.fail_after(ANSWER_SECONDS):
                return await _whole(exchange)
        except http_link.NotSentError as error:
            raise errors.UpstreamError(str(error), reached=False) from error
        except (http_link.LinkError, TimeoutError) as error:
            raise errors.UpstreamError(str(error) or "silent", reached=True) from error
        finally:
            self._links.give_back(address, link)

    async def _connect(self, address: str, may_repeat: bool) -> http_link.Link:
        if may_repeat:
            return await self._links.take(address, MAX_CONNECTIONS)
        # One that the service closed while it was idle would leave the call's outcome unknown.
        return await self._links.fresh(address)


def _request(call: _Call, address: str, request_id: str, once: bool) -> bytes:
    headers = [*call.headers, (b"x-request-id", request_id.encode())]
    headers.append((b"x-organisation", call.organisation.encode()))
    if once:
        headers.append((b"idempotency-key", request_id.encode()))
    target = call.target.encode("latin-1")
    return http_request.encode(call.method.encode(), target, address.encode(), headers, call.body)


async def _whole(exchange: http_link.Exchange) -> messages.Answer:
    head = await exchange.head()
    body = b""
    while (data := await exchange.read()) is not None:
        body += data
        if len(body) > MAX_ANSWER_BYTES:
            raise errors.UpstreamError("answer too long", reached=True)
    headers = [
        messages.Header(name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
        if name in ANSWER_HEADERS
    ]
    return messages.Answer(head.status, headers, body)


async def serve(node: vm.VM, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
    """Answer a call under one of the configured routes."""
    final = await _answer(node, scope, receive)
    match final:
        case refusal.Refusal():
            node.metrics.increment(f"refused_{final.code}")
            await outlets.refuse(send, final)
        case messages.Answer():
            node.metrics.increment("service_answers")
            headers = [(h.name.encode(), h.value.encode("latin-1")) for h in final.headers]
            await asgi.answer(send, final.status, final.body, headers)


async def _answer(node: vm.VM, scope: asgi.Scope, receive: asgi.Receive) -> claims_part.Final:
    configuration = node.configuration.current
    route = configuration.route_for(scope["path"])
    if route is None or scope["method"] not in route.methods:
        return refusal.make("unknown_route")
    request_id = f"req-{uuid.uuid4().hex}"
    node.retries.record_attempt(time.monotonic())
    call = await _gate(node, route, scope, receive, request_id)
    if isinstance(call, refusal.Refusal):
        # This attempt did not run, but an earlier one under the same key may have.
        return call.with_unknown_execution() if asgi.header(scope, b"idempotency-key") else call
    if route.idempotent:
        return await _repeatable(node, route, call, request_id)
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
    tokens = 1 + prompt_blocks.token_count(body)
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
    node: vm.VM, route: objects.Route, call: _Call, request_id: str
) -> claims_part.Final:
    sent = await _send(node, route, call, request_id, None)
    if isinstance(sent, messages.Answer):
        return sent
    return sent.final_refusal("upstream_unreachable", time.monotonic())


async def _send(
    node: vm.VM,
    route: objects.Route,
    call: _Call,
    request_id: str,
    may_send: claims_part.MaySend | None,
) -> messages.Answer | retry.RetryState:
    """Return the answer of the first upstream that gives one, or the tries if none did.

    Parameters
    ----------
    may_send
        For a call that must run at most once: asked before the first byte is written.
    """
    repeat = (
        request_types.RetrySafety.IDEMPOTENT
        if may_send is None
        else request_types.RetrySafety.AT_MOST_ONCE
    )
    deadline = time.monotonic() + ANSWER_SECONDS
    made = retry.RetryState(retry.RetryPolicy(repeat, deadline, MAX_RUNS))
    for upstream in _candidates(node.configuration.current, route, request_id):
        made.begin(upstream.name, upstream.failure_domain)
        try:
            return await node.services.send(upstream.address, call, request_id, may_send)
        except errors.UpstreamError as error:
            unknown, not_run = execution.Execution.UNKNOWN, execution.Execution.NOT_RUN
            made.record_failure(unknown if error.reached else not_run)
        now = time.monotonic()
        if not made.may_retry(now, answer_started=False) or not node.retries.try_retry(now):
            break
        node.metrics.increment("service_retries")
    return made


async def _once(
    node: vm.VM, route: objects.Route, call: _Call, scope: asgi.Scope, request_id: str
) -> claims_part.Final:
    """Run a call that must run at most once: its dispatch needs a claim."""
    shown = asgi.header(scope, b"idempotency-key")
    key = records.claim_key(call.organisation, route.path_prefix, shown) if shown else b""
    claim = calls.Call(
        request_id=request_id,
        key=key,
        body_digest=records.body_digest(call.method, call.target, call.body),
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
    sent = await _send(node, route, call, name, may_send)
    if isinstance(sent, messages.Answer):
        return sent
    return claims_part.Unsent.LOST if sent.reached else claims_part.Unsent.NOT_SENT
