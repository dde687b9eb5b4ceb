"""Calls to plain services, which are HTTP upstreams without language models, by route."""

from __future__ import annotations

import dataclasses
import functools
import time
import uuid
from collections.abc import Callable

import anyio

from hollyring.configuration import objects, state
from hollyring.core import execution, prompt_blocks, rendezvous, request_types
from hollyring.delivery import answers, calls, messages, records, refusal, retry
from hollyring.node import (
    asgi,
    auth,
    caller_connection,
    claims_actor,
    completion_writer,
    connection_pool,
    errors,
    exchanges,
    http_connection,
    http_request,
    unstated_end,
    vm,
)

CALL_TIMEOUT_SECONDS = 30.0
MAX_RUNS = 3
"""Maximum number of upstreams that may run one idempotent call."""

MAX_RESPONSE_BYTES = 8_000_000
MAX_CONNECTIONS = 500
"""Maximum number of connections from a VM to one service."""

REQUEST_HEADERS = frozenset({b"accept", b"accept-language", b"content-type", b"if-match"})
"""Headers forwarded to a service; the API key and headers that control upstreams are dropped."""

RESPONSE_HEADERS = frozenset(
    {b"content-type", b"content-language", b"etag", b"location", b"retry-after"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """Request of a caller to a plain service.

    `has_caller_left` returns whether the caller has left, after which the call is not sent.
    """

    method: str
    target: str
    headers: asgi.Headers
    body: bytes
    organisation: str
    has_caller_left: Callable[[], bool]


class ServiceClient:
    """Client of the plain services.

    Parameters
    ----------
    pool
        Connections to upstreams.
    """

    __slots__ = ("_pool",)

    def __init__(self, pool: connection_pool.ConnectionPool) -> None:
        self._pool = pool

    async def send(
        self, url: str, call: _Call, request_id: str, may_send: claims_actor.MaySend | None
    ) -> messages.Answer:
        """Send `call` and return the complete response.

        Parameters
        ----------
        url
            ``"http://IP:PORT"`` of the service.
        may_send
            Checked after the connection is established and before the first byte is written;
            None for an idempotent call.

        Raises
        ------
        UpstreamError
            If the call failed; its `reached` is whether a byte may have reached the service.
        CallerLeftError
            If the caller left before the call was sent.
        """
        address = http_request.address_of(url)
        request = _request(call, address, request_id, at_most_once=may_send is not None)
        silences = http_connection.Silence
        silence = silences.END_LATE if may_send is None else silences.OUTLAST
        try:
            connection = await self._connect(address, may_send is None)
        except exchanges.NotSentError as error:
            raise errors.UpstreamError(str(error), reached=False) from error
        try:
            if call.has_caller_left():
                raise errors.CallerLeftError("caller left before the call was sent")
            if may_send is not None and not await may_send():
                raise errors.UpstreamError("sending was no longer allowed", reached=False)
            exchange = connection.send(
                request, exchanges.naming_reader(request_id), silence=silence
            )
            with anyio.fail_after(CALL_TIMEOUT_SECONDS):
                return await _read_response(exchange)
        except exchanges.NotSentError as error:
            # A call that `may_send` allowed counts as sent; no further attempt may send it.
            raise errors.UpstreamError(str(error), reached=may_send is not None) from error
        except (exchanges.HttpConnectionError, TimeoutError) as error:
            raise errors.UpstreamError(str(error) or "response timeout", reached=True) from error
        finally:
            self._pool.release(address, connection)

    async def _connect(self, address: str, may_reuse: bool) -> http_connection.HttpConnection:
        if may_reuse:
            return await self._pool.acquire(address, MAX_CONNECTIONS)
        # If the service closed an idle connection, the outcome of the call would be unknown.
        return await self._pool.connect(address)


def _request(call: _Call, address: str, request_id: str, at_most_once: bool) -> bytes:
    headers = [*call.headers, (b"x-request-id", request_id.encode())]
    headers.append((b"x-organisation", call.organisation.encode()))
    if at_most_once:
        headers.append((b"idempotency-key", request_id.encode()))
    target = call.target.encode("latin-1")
    return http_request.encode(call.method.encode(), target, address.encode(), headers, call.body)


async def _read_response(exchange: exchanges.Exchange) -> messages.Answer:
    head = await exchange.own_head()
    body = b""
    while (data := await exchange.read()) is not None:
        body += data
        if len(body) > MAX_RESPONSE_BYTES:
            raise errors.UpstreamError("response body exceeds the size limit", reached=True)
    headers = [
        messages.Header(name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
        if name in RESPONSE_HEADERS
    ]
    states_end = answers.judge_body_end(exchange.framing).is_proved
    return messages.Answer(head.status, headers, body, states_end)


async def serve(this_vm: vm.VM, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
    """Serve a call under one of the configured routes."""
    outcome = await _handle(this_vm, scope, receive)
    match outcome:
        case refusal.Refusal():
            this_vm.metrics.increment(f"refused_{outcome.code}")
            await completion_writer.refuse(send, outcome)
        case messages.Answer():
            this_vm.metrics.increment("service_answers")
            await _respond(scope, send, outcome)


async def _respond(scope: asgi.Scope, send: asgi.Send, answer: messages.Answer) -> None:
    """Pass on an answer, without a length where the upstream stated none."""
    headers = [(h.name.encode(), h.value.encode("latin-1")) for h in answer.headers]
    if answer.states_end:
        await asgi.respond(send, answer.status, answer.body, headers)
        return
    send_unstated = unstated_end.sender(scope) or send
    await asgi.start_response(send_unstated, answer.status, [*headers, asgi.CLOSE])
    await asgi.write_body(send_unstated, answer.body)
    await asgi.write_body(send_unstated, b"", more=False)


async def _handle(
    this_vm: vm.VM, scope: asgi.Scope, receive: asgi.Receive
) -> claims_actor.CallResult:
    configuration = this_vm.configuration.current
    route = configuration.route_for(scope["path"])
    if route is None or scope["method"] not in route.methods:
        return refusal.make("unknown_route")
    request_id = f"req-{uuid.uuid4().hex}"
    this_vm.retries.record_attempt(time.monotonic())
    call = await _admit(this_vm, route, scope, receive, request_id)
    if isinstance(call, refusal.Refusal):
        # This attempt did not run, but an earlier one under the same idempotency key may have.
        return call.with_unknown_execution() if asgi.header(scope, b"idempotency-key") else call
    if route.idempotent:
        return await _run_idempotent(this_vm, route, call, request_id)
    return await _run_at_most_once(this_vm, route, call, scope, request_id)


async def _admit(
    this_vm: vm.VM,
    route: objects.Route,
    scope: asgi.Scope,
    receive: asgi.Receive,
    request_id: str,
) -> _Call | refusal.Refusal:
    """Return the call, or a refusal because of its key, body or rate, or a stale configuration."""
    stale = this_vm.configuration.refusal()
    if stale is not None:
        return stale
    caller = auth.authenticate(scope, this_vm.configuration.current)
    if isinstance(caller, refusal.Refusal) and not route.open_to_all:
        return caller
    bounds = this_vm.settings.limits
    try:
        body = await asgi.read_body(receive, bounds.body_bytes, bounds.body_seconds)
    except asgi.BodyTooLargeError:
        return refusal.make("body_too_large")
    except asgi.BodyTooSlowError:
        return refusal.make("header_timeout")
    except asgi.DisconnectedError:
        return refusal.make("cancelled")
    if caller_connection.is_closed(scope):
        return refusal.make("cancelled")
    organisation = "" if isinstance(caller, refusal.Refusal) else caller.organisation.name
    call = _Call(
        scope["method"],
        _target(scope),
        _forwarded_headers(scope),
        body,
        organisation,
        functools.partial(caller_connection.is_closed, scope),
    )
    if not organisation:
        return call
    tokens = 1 + prompt_blocks.token_count(body)
    rejection = await this_vm.limits.admit(organisation, tokens, request_id)
    if rejection is not None:
        return rejection
    if caller_connection.is_closed(scope):
        this_vm.limits.settle(organisation, request_id, 0)
        return refusal.make("cancelled")
    this_vm.limits.settle(organisation, request_id, tokens)
    return call


def _target(scope: asgi.Scope) -> str:
    query = scope["query_string"].decode("latin-1")
    path = scope["raw_path"].decode("latin-1")
    return f"{path}?{query}" if query else path


def _forwarded_headers(scope: asgi.Scope) -> asgi.Headers:
    return [(name, value) for name, value in scope["headers"] if name in REQUEST_HEADERS]


def _candidates(
    configuration: state.Configuration, route: objects.Route, key: str
) -> list[objects.Upstream]:
    """Return the upstreams of a route that are not leaving, in the order of attempts."""
    upstreams = [configuration.upstreams[name] for name in route.upstreams]
    ready = {item.name: item for item in upstreams if not item.leaving}
    return [ready[name] for name in rendezvous.rank(key.encode(), ready)]


async def _run_idempotent(
    this_vm: vm.VM, route: objects.Route, call: _Call, request_id: str
) -> claims_actor.CallResult:
    try:
        result = await _send(this_vm, route, call, request_id, None)
    except errors.CallerLeftError:
        return refusal.make("cancelled")
    if isinstance(result, messages.Answer):
        return result
    return result.final_refusal("upstream_unreachable", time.monotonic())


async def _send(
    this_vm: vm.VM,
    route: objects.Route,
    call: _Call,
    request_id: str,
    may_send: claims_actor.MaySend | None,
) -> messages.Answer | retry.RetryState:
    """Return the response of the first upstream that sends one, or the failed attempts.

    Parameters
    ----------
    may_send
        For an at-most-once call: checked before the first byte is written.

    Raises
    ------
    CallerLeftError
        If the caller left before an attempt was sent.
    """
    retry_safety = (
        request_types.RetrySafety.IDEMPOTENT
        if may_send is None
        else request_types.RetrySafety.AT_MOST_ONCE
    )
    deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
    retry_state = retry.RetryState(retry.RetryPolicy(retry_safety, deadline, MAX_RUNS))
    for upstream in _candidates(this_vm.configuration.current, route, request_id):
        retry_state.begin(upstream.name, upstream.failure_domain)
        try:
            return await this_vm.services.send(upstream.address, call, request_id, may_send)
        except errors.UpstreamError as error:
            unknown, not_run = execution.Execution.UNKNOWN, execution.Execution.NOT_RUN
            retry_state.record_failure(unknown if error.reached else not_run)
        now = time.monotonic()
        if not retry_state.may_retry(now, answer_started=False) or not this_vm.retries.try_retry(
            now
        ):
            break
        this_vm.metrics.increment("service_retries")
    return retry_state


async def _run_at_most_once(
    this_vm: vm.VM, route: objects.Route, call: _Call, scope: asgi.Scope, request_id: str
) -> claims_actor.CallResult:
    """Run an at-most-once call; the claims actor decides whether it is sent."""
    header = asgi.header(scope, b"idempotency-key")
    key = records.claim_key(call.organisation, route.path_prefix, header) if header else b""
    if key:
        # Duplicates under the key, at any VM, may wait for the answer.
        call = dataclasses.replace(call, has_caller_left=lambda: False)
    claim = calls.Call(
        request_id=request_id,
        key=key,
        body_digest=records.body_digest(call.method, call.target, call.body),
        deadline=time.monotonic() + CALL_TIMEOUT_SECONDS,
        key_time=records.key_time(header) if header else None,
    )

    async def dispatch(
        upstream_request_id: str, may_send: claims_actor.MaySend
    ) -> messages.Answer | claims_actor.DispatchFailure:
        return await _dispatch(this_vm, route, call, upstream_request_id, may_send)

    return await this_vm.claims.call(claim, dispatch)


async def _dispatch(
    this_vm: vm.VM,
    route: objects.Route,
    call: _Call,
    upstream_request_id: str,
    may_send: claims_actor.MaySend,
) -> messages.Answer | claims_actor.DispatchFailure:
    try:
        result = await _send(this_vm, route, call, upstream_request_id, may_send)
    except errors.CallerLeftError:
        return claims_actor.DispatchFailure.NOT_SENT
    if isinstance(result, messages.Answer):
        return result
    return (
        claims_actor.DispatchFailure.CONNECTION_LOST
        if result.reached
        else claims_actor.DispatchFailure.NOT_SENT
    )
