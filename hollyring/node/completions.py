"""Handling of one completion: authentication, limits, routing, attempts, delivery.

A request that is given up is refused at once, with the delay after which the caller may retry.
"""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import time
import uuid
from collections.abc import AsyncIterator, Callable

import anyio

from hollyring.core import execution, request_types
from hollyring.delivery import errors as delivery_errors
from hollyring.delivery import event_ids, refusal, retry, stream
from hollyring.node import (
    asgi,
    auth,
    caller_connection,
    completion_format,
    completion_requests,
    completion_writer,
    engine_client,
    errors,
    responses,
    routing_actor,
    vm,
)

MAX_RUNS = 3
"""Maximum number of upstreams that may run one completion."""

FINISH_AT_MAX_TOKENS = "length"
"""Finish reason of an answer that has as many tokens as its request allows."""

SLOW_READER_CHECKS = 4
"""Number of checks for a blocked send during `Limits.reader_seconds`, its timeout."""


class _RequestRefusedError(errors.VmError):
    """The request ended with a refusal."""

    def __init__(self, rejection: refusal.Refusal) -> None:
        super().__init__(rejection.code)
        self.refusal = rejection


@dataclasses.dataclass(slots=True)
class _RequestContext:
    """State of one request in progress."""

    caller: auth.Caller
    completion: completion_requests.Completion
    request_id: str
    writer: completion_writer.CompletionWriter
    stream: stream.Stream
    version: str
    retry_state: retry.RetryState
    has_caller_left: Callable[[], bool]
    arrived_at: float
    sent: bool = False
    first_token_at: float = 0.0
    usage: engine_client.Usage | None = None

    def record_sent(self) -> None:
        """Record that the current attempt may have been written to its upstream."""
        self.sent = True


async def serve(
    this_vm: vm.VM, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send, chat: bool
) -> None:
    """Serve a completion request of a caller."""
    arrived_at = time.monotonic()
    this_vm.retries.record_attempt(arrived_at)
    context = await _admit(this_vm, scope, receive, send, chat, arrived_at)
    if isinstance(context, refusal.Refusal):
        this_vm.metrics.increment(f"refused_{context.code}")
        await completion_writer.refuse(send, context)
        return
    admission = await this_vm.limits.admit(
        context.caller.organisation.name, context.completion.reserved_tokens, context.request_id
    )
    if admission is not None:
        this_vm.metrics.increment(f"refused_{admission.code}")
        await completion_writer.refuse(send, admission)
        return
    try:
        await _run(this_vm, context, receive)
    finally:
        this_vm.limits.settle(
            context.caller.organisation.name, context.request_id, _used_tokens(context)
        )


def _used_tokens(context: _RequestContext) -> int:
    """Return the tokens to charge for the request, 0 if no upstream can have run it."""
    if not context.retry_state.reached:
        return 0
    return context.completion.prompt_tokens + context.stream.tokens


async def _admit(
    this_vm: vm.VM,
    scope: asgi.Scope,
    receive: asgi.Receive,
    send: asgi.Send,
    chat: bool,
    arrived_at: float,
) -> _RequestContext | refusal.Refusal:
    """Return the context of the request, or a refusal; the rate limit is checked afterwards."""
    bounds = this_vm.settings.limits
    stale = this_vm.configuration.refusal()
    if stale is not None:
        return stale
    configuration = this_vm.configuration.current
    caller = auth.authenticate(scope, configuration)
    if isinstance(caller, refusal.Refusal):
        return caller
    try:
        body = await asgi.read_body(receive, bounds.body_bytes, bounds.body_seconds)
        if caller_connection.is_closed(scope):
            return refusal.make("cancelled")
        completion = completion_requests.parse(body, chat, bounds)
        resumption = _resumption(scope)
    except asgi.BodyTooLargeError:
        return refusal.make("body_too_large")
    except asgi.BodyTooSlowError:
        return refusal.make("header_timeout")
    except asgi.DisconnectedError:
        return refusal.make("cancelled")
    except completion_requests.RequestError as error:
        code = error.code if error.code in refusal.KINDS else "invalid_request"
        return refusal.make(code, message=str(error))
    except delivery_errors.EventIdError as error:
        return refusal.make("invalid_request", message=f"last-event-id: {error}")
    model = configuration.models.get(completion.model)
    if model is None or not auth.permits(caller, completion.model):
        return refusal.make("unknown_model")
    # A resuming caller sends the stream id; inside the VM every request has its own id, so that
    # two callers with the same stream id do not interfere.
    request_id = f"req-{uuid.uuid4().hex}"
    stream_id = resumption.last_event_id.request_id if resumption else request_id
    digest = event_ids.request_digest(completion.prompt)
    return _RequestContext(
        caller=caller,
        completion=completion,
        request_id=request_id,
        writer=completion_writer.CompletionWriter(send, completion, stream_id),
        stream=stream.Stream(stream_id, digest, this_vm.invariants, resumption),
        version=model.version,
        retry_state=retry.RetryState(
            retry.RetryPolicy(
                request_types.RetrySafety.RESUMABLE, arrived_at + bounds.deadline_seconds, MAX_RUNS
            )
        ),
        has_caller_left=functools.partial(caller_connection.is_closed, scope),
        arrived_at=arrived_at,
    )


def _resumption(scope: asgi.Scope) -> stream.Resumption | None:
    header = asgi.header(scope, b"last-event-id")
    return stream.Resumption(event_ids.parse(header)) if header else None


async def _run(this_vm: vm.VM, context: _RequestContext, receive: asgi.Receive) -> None:
    """Run the request until its response is sent, or the caller sends no more or reads too slowly.

    A caller that only sends no more may still read, so it is told how its request ended.
    """
    caller_ended = False

    async def watch_connection() -> None:
        nonlocal caller_ended
        await asgi.wait_disconnect(receive)
        caller_ended = True
        group.cancel_scope.cancel()

    async def watch_reader() -> None:
        bound = this_vm.settings.limits.reader_seconds
        while context.writer.seconds_blocked(time.monotonic()) < bound:
            await anyio.sleep(bound / SLOW_READER_CHECKS)
        this_vm.metrics.increment("slow_readers")
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(watch_connection)
        group.start_soon(watch_reader)
        await _run_until_deadline(this_vm, context)
        group.cancel_scope.cancel()
    if caller_ended and not context.writer.ended:
        this_vm.metrics.increment("cancelled")
        with anyio.move_on_after(responses.FINAL_REFUSAL_SECONDS):
            rejection = context.retry_state.final_refusal("caller_ended", time.monotonic())
            await _fail(context, rejection)


async def _run_until_deadline(this_vm: vm.VM, context: _RequestContext) -> None:
    rejection: refusal.Refusal | None = None
    with anyio.move_on_after(context.retry_state.seconds_left(time.monotonic())) as limit:
        try:
            await _run_attempts(this_vm, context)
        except _RequestRefusedError as error:
            rejection = error.refusal
    if limit.cancelled_caught:
        rejection = context.retry_state.final_refusal("deadline_not_sent", time.monotonic())
    if rejection is None:
        this_vm.metrics.increment("completed")
        return
    this_vm.metrics.increment(f"refused_{rejection.code}")
    await _fail(context, rejection)


async def _fail(context: _RequestContext, rejection: refusal.Refusal) -> None:
    """End the response with a refusal."""
    if not context.stream.ended:
        context.stream.fail(rejection)
    await context.writer.fail(rejection)


async def _run_attempts(this_vm: vm.VM, context: _RequestContext) -> None:
    """Make attempts until the response is complete.

    Raises
    ------
    _RequestRefusedError
        With the final response to the caller.
    """
    while True:
        routed = await _select_upstream(this_vm, context)
        context.retry_state.begin(routed.upstream, routed.failure_domain)
        context.sent = False
        try:
            await _run_attempt(this_vm, context, routed)
            return
        except errors.CallerLeftError as error:
            context.retry_state.record_failure(execution.Execution.NOT_RUN)
            raise _RequestRefusedError(refusal.make("cancelled")) from error
        except errors.UpstreamError as error:
            if isinstance(error, engine_client.EngineStatusError) and error.final:
                raise _RequestRefusedError(
                    refusal.make("invalid_request", message=str(error))
                ) from error
            unknown, not_run = execution.Execution.UNKNOWN, execution.Execution.NOT_RUN
            context.retry_state.record_failure(unknown if error.reached else not_run)
        except BaseException:
            if not context.sent:
                context.retry_state.record_failure(execution.Execution.NOT_RUN)
            raise
        if context.stream.tokens >= context.completion.max_tokens:
            await _finish_at_max_tokens(this_vm, context)
            return
        now = time.monotonic()
        if not context.retry_state.may_retry(
            now, context.writer.started
        ) or not this_vm.retries.try_retry(now):
            raise _RequestRefusedError(context.retry_state.final_refusal("no_upstream", now))
        this_vm.metrics.increment("retries")


async def _finish_at_max_tokens(this_vm: vm.VM, context: _RequestContext) -> None:
    """Finish an answer that lacks only its finish reason; no upstream could add a token to it."""
    attempt = context.stream.begin()
    finish = stream.Finish(attempt.number, 0, FINISH_AT_MAX_TOKENS)
    await _apply(context, context.stream.accept(finish))
    await _complete(this_vm, context)


async def _select_upstream(this_vm: vm.VM, context: _RequestContext) -> routing_actor.RoutedAttempt:
    """Select the upstream of the next attempt.

    Raises
    ------
    _RequestRefusedError
        If no upstream is available.
    """
    excluded = [context.retry_state.upstreams]
    if context.retry_state.sends:
        # With few upstreams, one that failed may serve the next attempt, even the last one used.
        excluded += [context.retry_state.last_upstream, frozenset()]
    rejection = refusal.make("no_upstream")
    for names in excluded:
        routed = await this_vm.routing.route(_route_request(context, names))
        if isinstance(routed, routing_actor.RoutedAttempt):
            return routed
        rejection = routed
    raise _RequestRefusedError(
        context.retry_state.final_refusal(rejection.code, time.monotonic(), rejection.retry_after)
    )


def _route_request(
    context: _RequestContext, excluded: frozenset[str]
) -> routing_actor.PromptRequest:
    return routing_actor.PromptRequest(
        organisation=context.caller.organisation.name,
        model=context.completion.model,
        version=context.version,
        prompt=context.completion.prompt,
        prompt_tokens=context.completion.prompt_tokens,
        max_tokens=context.completion.max_tokens,
        deadline=context.retry_state.deadline,
        excluded=excluded,
        avoided_domains=context.retry_state.failure_domains,
    )


async def _run_attempt(
    this_vm: vm.VM, context: _RequestContext, routed: routing_actor.RoutedAttempt
) -> None:
    """Run one attempt.

    Raises
    ------
    UpstreamError
        If the attempt failed; the stream is ready for the next one.
    CallerLeftError
        If the caller left before the attempt was sent.
    """
    attempt = context.stream.begin()
    attempt_id = f"{context.request_id}-{attempt.number}"
    body = completion_requests.engine_body(
        context.completion,
        completion_requests.EngineOptions(
            request_id=attempt_id,
            cache_salt=routed.salt,
            priority=0,
            resume_text=attempt.resume_text,
            resume_tokens=attempt.resume_tokens,
        ),
    )
    path = "/v1/chat/completions" if context.completion.chat else "/v1/completions"
    context.usage = None
    try:
        seconds = context.retry_state.seconds_left(time.monotonic())
        generated = this_vm.engines.stream(
            routed.address,
            path,
            body,
            attempt_id,
            seconds,
            context.has_caller_left,
            context.record_sent,
        )
        async with contextlib.aclosing(generated):
            await _deliver_all(this_vm, context, routed, attempt.number, generated)
    except errors.UpstreamError as error:
        context.stream.accept(stream.Lost(attempt.number))
        this_vm.routing.record_failed(
            routed, lost=not isinstance(error, engine_client.EngineStatusError)
        )
        if not context.stream.complete:
            raise
    except BaseException:
        this_vm.routing.record_finished(routed, None)
        raise
    else:
        cached = context.usage.cached_tokens if context.usage else None
        this_vm.routing.record_finished(routed, cached)
    await _complete(this_vm, context)


async def _deliver_all(
    this_vm: vm.VM,
    context: _RequestContext,
    routed: routing_actor.RoutedAttempt,
    attempt_number: int,
    generated: AsyncIterator[engine_client.Token | engine_client.Usage],
) -> None:
    tokens = 0
    async for item in generated:
        if isinstance(item, engine_client.Usage):
            context.usage = item
            continue
        tokens = await _deliver_token(this_vm, context, routed, attempt_number, tokens, item)
    if not context.stream.complete:
        raise errors.UpstreamError("stream ended without a finish reason", reached=True)


async def _deliver_token(
    this_vm: vm.VM,
    context: _RequestContext,
    routed: routing_actor.RoutedAttempt,
    attempt_number: int,
    tokens: int,
    item: engine_client.Token,
) -> int:
    """Deliver one item of the response, and return the number of tokens of this attempt so far."""
    if item.text:
        if not context.first_token_at:
            context.first_token_at = time.monotonic()
            this_vm.metrics.observe("first_token", context.first_token_at - context.arrived_at)
        if not tokens:
            this_vm.routing.record_first_token(routed)
        await _apply(
            context, context.stream.accept(stream.Token(attempt_number, tokens, item.text))
        )
        tokens += 1
    if item.finish_reason:
        await _apply(
            context,
            context.stream.accept(stream.Finish(attempt_number, tokens, item.finish_reason)),
        )
    if not auth.is_still_valid(context.caller, this_vm.configuration.current):
        raise _RequestRefusedError(refusal.make("key_withdrawn_midway"))
    return tokens


async def _apply(context: _RequestContext, result: stream.Result) -> None:
    match result:
        case stream.Deliver():
            await context.writer.text(result.text, str(result.event_id))
        case stream.Interrupted():
            raise errors.UpstreamError("tokens out of order", reached=True)
        case stream.Failed():
            raise _RequestRefusedError(result.refusal)
        case stream.Complete() | stream.Ignore():
            return


async def _complete(this_vm: vm.VM, context: _RequestContext) -> None:
    """Send the end of the response."""
    cached = context.usage.cached_tokens if context.usage else 0
    usage = completion_format.usage(context.completion.prompt_tokens, context.stream.tokens, cached)
    this_vm.metrics.increment("prompt_tokens", context.completion.prompt_tokens)
    this_vm.metrics.increment("cached_tokens", cached)
    this_vm.metrics.increment("generated_tokens", context.stream.tokens)
    await context.writer.complete(context.stream.finish_reason, str(context.stream.event_id), usage)
