"""One completion from top to bottom: rights, limits, routing, tries, delivery.

The caller's answer is final at once when a request is given up on, and says when to come back.
"""

from __future__ import annotations

import contextlib
import dataclasses
import time
import uuid
from collections.abc import AsyncIterator

import anyio

from hollyring.core import execution, request_types
from hollyring.delivery import errors as delivery_errors
from hollyring.delivery import event_ids, refusal, retry, stream
from hollyring.node import (
    answers,
    asgi,
    engines,
    errors,
    outlets,
    requests,
    rights,
    routing_part,
    vm,
)

MAX_RUNS = 3
"""Most upstreams that may run one completion."""

READER_CHECKS = 4
"""How often, within the bound on a slow reader, it is looked at."""


class _GivenUpError(errors.NodeError):
    """The request ends with a refusal."""

    def __init__(self, why: refusal.Refusal) -> None:
        super().__init__(why.code)
        self.why = why


@dataclasses.dataclass(slots=True)
class _Work:
    """What is known of one request while it runs."""

    caller: rights.Caller
    completion: requests.Completion
    request_id: str
    outlet: outlets.Outlet
    stream: stream.Stream
    version: str
    tries: retry.RetryState
    arrived: float
    first_token: float = 0.0
    usage: engines.Usage | None = None


async def serve(
    node: vm.VM, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send, chat: bool
) -> None:
    """Answer a caller's completion request."""
    arrived = time.monotonic()
    node.retries.record_attempt(arrived)
    work = await _accept(node, scope, receive, send, chat, arrived)
    if isinstance(work, refusal.Refusal):
        node.metrics.increment(f"refused_{work.code}")
        await outlets.refuse(send, work)
        return
    admission = await node.limits.admit(
        work.caller.organisation.name, work.completion.tokens, work.request_id
    )
    if admission is not None:
        node.metrics.increment(f"refused_{admission.code}")
        await outlets.refuse(send, admission)
        return
    try:
        await _run(node, work, receive)
    finally:
        node.limits.settle(work.caller.organisation.name, work.request_id, _used(work))


def _used(work: _Work) -> int:
    """Return the tokens that the request really took."""
    if not work.tries.reached:
        return 0
    return work.completion.prompt_tokens + work.stream.tokens


async def _accept(
    node: vm.VM,
    scope: asgi.Scope,
    receive: asgi.Receive,
    send: asgi.Send,
    chat: bool,
    arrived: float,
) -> _Work | refusal.Refusal:
    """Return the work that a request asks for, or why it is refused before limits."""
    bounds = node.settings.limits
    stale = node.configuration.refusal()
    if stale is not None:
        return stale
    configuration = node.configuration.current
    caller = rights.authenticate(scope, configuration)
    if isinstance(caller, refusal.Refusal):
        return caller
    try:
        body = await asgi.read_body(receive, bounds.body_bytes, bounds.body_seconds)
        completion = requests.parse(body, chat, bounds)
        resumption = _resumption(scope)
    except asgi.BodyTooLargeError:
        return refusal.make("body_too_large")
    except asgi.BodyTooSlowError:
        return refusal.make("header_timeout")
    except asgi.DisconnectedError:
        return refusal.make("cancelled")
    except requests.RequestError as error:
        code = error.code if error.code in refusal.KINDS else "invalid_request"
        return refusal.make(code, message=str(error))
    except delivery_errors.EventIdError as error:
        return refusal.make("invalid_request", message=f"last-event-id: {error}")
    model = configuration.models.get(completion.model)
    if model is None or not rights.permits(caller, completion.model):
        return refusal.make("unknown_model")
    # A resuming caller names the stream; inside the VM every request has a name of its own, so
    # that two callers who name the same stream do not cross.
    request_id = f"req-{uuid.uuid4().hex}"
    stream_id = resumption.last_event_id.request_id if resumption else request_id
    digest = event_ids.request_digest(completion.prompt)
    return _Work(
        caller=caller,
        completion=completion,
        request_id=request_id,
        outlet=outlets.Outlet(send, completion, stream_id),
        stream=stream.Stream(stream_id, digest, node.invariants, resumption),
        version=model.version,
        tries=retry.RetryState(
            retry.RetryPolicy(
                request_types.RetrySafety.RESUMABLE, arrived + bounds.deadline_seconds, MAX_RUNS
            )
        ),
        arrived=arrived,
    )


def _resumption(scope: asgi.Scope) -> stream.Resumption | None:
    shown = asgi.header(scope, b"last-event-id")
    return stream.Resumption(event_ids.parse(shown)) if shown else None


async def _run(node: vm.VM, work: _Work, receive: asgi.Receive) -> None:
    """Carry the request out until the caller has its last byte or has gone."""

    async def watch_connection() -> None:
        await asgi.wait_disconnect(receive)
        if not work.stream.ended:
            node.metrics.increment("cancelled")
        group.cancel_scope.cancel()

    async def watch_reader() -> None:
        bound = node.settings.limits.reader_seconds
        while work.outlet.waits(time.monotonic()) < bound:
            await anyio.sleep(bound / READER_CHECKS)
        node.metrics.increment("slow_readers")
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(watch_connection)
        group.start_soon(watch_reader)
        await _finish(node, work)
        group.cancel_scope.cancel()


async def _finish(node: vm.VM, work: _Work) -> None:
    why: refusal.Refusal | None = None
    with anyio.move_on_after(work.tries.seconds_left(time.monotonic())) as limit:
        try:
            await _tries(node, work)
        except _GivenUpError as error:
            why = error.why
    if limit.cancelled_caught:
        why = work.tries.final_refusal("deadline_not_sent", time.monotonic())
    if why is None:
        node.metrics.increment("completed")
        return
    node.metrics.increment(f"refused_{why.code}")
    if not work.stream.ended:
        work.stream.fail(why)
    await work.outlet.fail(why)


async def _tries(node: vm.VM, work: _Work) -> None:
    """Try upstreams until the answer is whole.

    Raises
    ------
    _GivenUpError
        With the caller's final answer.
    """
    while True:
        place = await _place(node, work)
        work.tries.begin(place.upstream, place.failure_domain)
        try:
            await _attempt(node, work, place)
            return
        except errors.UpstreamError as error:
            if isinstance(error, engines.RefusedError) and error.final:
                raise _GivenUpError(refusal.make("invalid_request", message=str(error))) from error
            unknown, not_run = execution.Execution.UNKNOWN, execution.Execution.NOT_RUN
            work.tries.record_failure(unknown if error.reached else not_run)
        now = time.monotonic()
        if not work.tries.may_retry(now, work.outlet.started) or not node.retries.try_retry(now):
            raise _GivenUpError(work.tries.final_refusal("no_upstream", now))
        node.metrics.increment("retries")


async def _place(node: vm.VM, work: _Work) -> routing_part.Place:
    """Return where the next try goes.

    Raises
    ------
    _GivenUpError
        If there is no upstream.
    """
    excluded = [work.tries.upstreams]
    if work.tries.sends:
        # With few upstreams one that broke off may serve the next try, the last one included.
        excluded += [work.tries.last_upstream, frozenset()]
    why = refusal.make("no_upstream")
    for names in excluded:
        place = await node.routing.route(_wanted(work, names))
        if isinstance(place, routing_part.Place):
            return place
        why = place
    raise _GivenUpError(work.tries.final_refusal(why.code, time.monotonic(), why.retry_after))


def _wanted(work: _Work, excluded: frozenset[str]) -> routing_part.Wanted:
    return routing_part.Wanted(
        organisation=work.caller.organisation.name,
        model=work.completion.model,
        version=work.version,
        prompt=work.completion.prompt,
        prompt_tokens=work.completion.prompt_tokens,
        max_tokens=work.completion.max_tokens,
        deadline=work.tries.deadline,
        excluded=excluded,
        avoided_domains=work.tries.failure_domains,
    )


async def _attempt(node: vm.VM, work: _Work, place: routing_part.Place) -> None:
    """Carry out one try.

    Raises
    ------
    UpstreamError
        If it broke off; the stream is ready for the next try.
    """
    attempt = work.stream.begin()
    body = requests.engine_body(
        work.completion,
        requests.Placement(
            request_id=f"{work.request_id}-{attempt.number}",
            cache_salt=place.salt,
            priority=0,
            resume_text=attempt.resume_text,
            resume_tokens=attempt.resume_tokens,
        ),
    )
    path = "/v1/chat/completions" if work.completion.chat else "/v1/completions"
    work.usage = None
    try:
        seconds = work.tries.seconds_left(time.monotonic())
        generated = node.engines.stream(place.address, path, body, seconds)
        async with contextlib.aclosing(generated):
            await _take_all(node, work, place, attempt.number, generated)
    except errors.UpstreamError as error:
        work.stream.accept(stream.Lost(attempt.number))
        node.routing.failed(place, lost=not isinstance(error, engines.RefusedError))
        raise
    except BaseException:
        node.routing.finished(place, None)
        raise
    node.routing.finished(place, work.usage.cached_tokens if work.usage else None)
    await _complete(node, work)


async def _take_all(
    node: vm.VM,
    work: _Work,
    place: routing_part.Place,
    number: int,
    generated: AsyncIterator[engines.Token | engines.Usage],
) -> None:
    tokens = 0
    async for item in generated:
        if isinstance(item, engines.Usage):
            work.usage = item
            continue
        tokens = await _item(node, work, place, number, tokens, item)
    if not work.stream.complete:
        raise errors.UpstreamError("ended without a finish", reached=True)


async def _item(
    node: vm.VM,
    work: _Work,
    place: routing_part.Place,
    number: int,
    tokens: int,
    item: engines.Token,
) -> int:
    """Take one token from the engine and return how many this try has brought."""
    if item.text:
        if not work.first_token:
            work.first_token = time.monotonic()
            node.metrics.observe("first_token", work.first_token - work.arrived)
            node.routing.first_token(place)
        await _step(work, work.stream.accept(stream.Token(number, tokens, item.text)))
        tokens += 1
    if item.finish_reason:
        await _step(work, work.stream.accept(stream.Finish(number, tokens, item.finish_reason)))
    if not rights.still_granted(work.caller, node.configuration.current):
        raise _GivenUpError(refusal.make("key_withdrawn_midway"))
    return tokens


async def _step(work: _Work, step: stream.Result) -> None:
    match step:
        case stream.Deliver():
            await work.outlet.text(step.text, str(step.event_id))
        case stream.Interrupted():
            raise errors.UpstreamError("tokens out of order", reached=True)
        case stream.Failed():
            raise _GivenUpError(step.refusal)
        case stream.Complete() | stream.Ignore():
            return


async def _complete(node: vm.VM, work: _Work) -> None:
    """Hand on the end of the answer."""
    cached = work.usage.cached_tokens if work.usage else 0
    usage = answers.usage(work.completion.prompt_tokens, work.stream.tokens, cached)
    node.metrics.increment("prompt_tokens", work.completion.prompt_tokens)
    node.metrics.increment("cached_tokens", cached)
    node.metrics.increment("generated_tokens", work.stream.tokens)
    await work.outlet.complete(work.stream.finish_reason, str(work.stream.event_id), usage)
