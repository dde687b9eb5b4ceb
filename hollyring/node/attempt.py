"""One attempt of a request: connect, send the request, forward the response to the caller."""

from __future__ import annotations

import typing
from collections.abc import Awaitable, Callable

import anyio

from hollyring.core import request_types
from hollyring.delivery import answers
from hollyring.delivery import errors as delivery_errors
from hollyring.limits import byte_budget
from hollyring.node import (
    answer_writer,
    clock,
    connection_pool,
    errors,
    exchanges,
    interfaces,
    logs,
    metrics,
    open_attempts,
    recent_copies,
    request_context,
    send_permits,
    state,
)
from hollyring.routing import costs, registry, selection

IDEMPOTENT_TIMEOUT_FACTOR = 4.0
MIN_IDEMPOTENT_TIMEOUT_SECONDS = 0.25
"""Minimum timeout of an idempotent call, after which it is sent to another upstream.

The timeout is otherwise `IDEMPOTENT_TIMEOUT_FACTOR` times the expected duration.
"""

FIRST_EVENT_TIMEOUT_FACTOR = 4.0
MIN_FIRST_EVENT_TIMEOUT_SECONDS = 1.2
"""Minimum timeout of the first event of a resumable stream.

The timeout is otherwise `FIRST_EVENT_TIMEOUT_FACTOR` times the expected duration.
"""

EVENT_GAP_TIMEOUT_SECONDS = 1.0
"""Gap between events after which a resumable stream continues on another upstream."""

PROBE_AFTER_SECONDS = 0.35
"""Time without data after which a new connection probes whether the upstream is alive."""

LOADING_BACKOFF_SECONDS = 0.3
"""Time for which an upstream counts as loading weights after it refused a request."""

REFUSAL_BODY_TIMEOUT_SECONDS = 0.03
"""Timeout of reading the body of a refusal, after which the connection is closed."""

AT_MOST_ONCE_KEEP_ALIVE_SECONDS = 1.0
"""Remaining keep-alive time that an idle connection needs to carry an at-most-once request."""

INTERNAL_ERROR = "internal error"

T = typing.TypeVar("T")


class _ResponseTimeoutError(Exception):
    """The next part of a response did not arrive within the timeout of the attempt."""


class AttemptRunner:
    """Runs single attempts of requests at upstreams.

    Parameters
    ----------
    vm_state
        State of the upstreams, updated from their responses.
    codec
        Encodes requests and decodes responses.
    pool
        Connections to upstreams.
    counters
        Metrics of this process.
    permits
        Permits to send requests to upstreams that named a request limit.
    copies
        Copies of the store, which say at the moment of sending which upstreams leave.
    """

    def __init__(
        self,
        vm_state: state.State,
        codec: interfaces.UpstreamCodec,
        pool: connection_pool.ConnectionPool,
        counters: metrics.Metrics,
        permits: send_permits.SendPermits,
        copies: recent_copies.RecentCopies,
    ) -> None:
        self._state = vm_state
        self._codec = codec
        self._pool = pool
        self._metrics = counters
        self._permits = permits
        self._copies = copies
        self._log = logs.Logger("request")

    async def run(
        self, context: request_context.RequestContext, attempt: open_attempts.OpenAttempt
    ) -> request_context.Outcome:
        """Send a request to an upstream and forward the response to the caller.

        An upstream that is silent does not end the attempt before the deadline; the silence is
        recorded, so that another attempt may be made and take over.

        Raises
        ------
        CallerLeftError
            If the caller has left before the request could be sent.
        SupersededError
            If another attempt has taken over the response.
        """
        selected = attempt.selected
        long_response = costs.is_long(context.request.prompt)
        selected.upstream.record_sent(
            context.request_id,
            selected.prefill_tokens,
            selected.expected_seconds,
            clock.now(),
            long_response,
            context.priority,
            selected.fetched_tokens,
        )
        outcome: request_context.Outcome | None = None
        try:
            outcome = await self._run(context, attempt)
            return outcome
        except errors.VmError:
            raise
        except Exception:
            return self._fail(context, attempt)
        finally:
            self._count_unanswered(context, attempt, outcome)
            selected.upstream.record_end(context.request_id, long_response)
            self._permits.release(_permit_holder(context, selected))

    def _count_unanswered(
        self,
        context: request_context.RequestContext,
        attempt: open_attempts.OpenAttempt,
        outcome: request_context.Outcome | None,
    ) -> None:
        """Count an attempt for the release of its service, if it ended without a whole answer.

        One that was ended from outside says something about its upstream only by the time that it
        had.
        """
        if attempt.sent_at is None:
            return
        is_failed = isinstance(outcome, request_context.Failed)
        has_begun = context.request_id not in attempt.selected.upstream.outstanding
        if is_failed or (outcome is None and not has_begun):
            seconds = None if has_begun else clock.now() - attempt.sent_at
            self._state.releases.record_answer(context, attempt.selected, is_failed, seconds)

    def _fail(
        self, context: request_context.RequestContext, attempt: open_attempts.OpenAttempt
    ) -> request_context.Outcome:
        """Log the unexpected error being handled, and end the attempt rather than the request.

        An attempt that writes the response cannot be replaced, as it may have written any part; its
        error is raised again.
        """
        self._log.exception(
            "attempt failed", request=context.request_id, upstream=attempt.selected.upstream.name
        )
        self._metrics.increment("internal_errors")
        if not attempt.sent:
            return request_context.NotRun(INTERNAL_ERROR, written=False)
        if context.response.started and not attempt.has_others:
            raise
        return request_context.Failed(INTERNAL_ERROR)

    async def _run(
        self, context: request_context.RequestContext, attempt: open_attempts.OpenAttempt
    ) -> request_context.Outcome:
        selected = attempt.selected
        upstream = selected.upstream
        address = upstream.entry.address
        events_before = context.events.last_number or 0
        min_keep_alive_seconds = (
            AT_MOST_ONCE_KEEP_ALIVE_SECONDS
            if context.retry_state.retry_safety is request_types.RetrySafety.AT_MOST_ONCE
            else 0.0
        )
        holder = _permit_holder(context, selected)
        seconds = context.seconds_left
        permit = await self._permits.acquire(upstream, False, holder, seconds)
        if permit is None:
            return request_context.Withdrawn()
        try:
            with anyio.fail_after(max(0.0, context.seconds_left)):
                max_connections = self._state.max_connections(context.service)
                if self._needs_new_connection(context):
                    connection = await self._pool.acquire_new(address, max_connections)
                else:
                    connection = await self._pool.acquire(
                        address, max_connections, min_keep_alive_seconds, context.request_id
                    )
        except (
            exchanges.TooManyConnectionsError,
            exchanges.OwnResourcesError,
        ) as error:
            return request_context.NotRun(str(error), written=False)
        except exchanges.NotSentError as error:
            self._state.mark_unresponsive(upstream, str(error))
            return request_context.NotRun(str(error), written=False)
        except TimeoutError:
            return request_context.NotRun("deadline while connecting", written=False)
        try:
            may_decide = await self._copies.may_decide(context.retry_state.deadline)
            if context.response.caller_left:
                raise errors.CallerLeftError("caller left before this attempt was sent")
            may_send = may_decide and self._state.may_send(context.retry_state)
            if not may_send or self._is_unusable(upstream):
                return request_context.Withdrawn()
            if selected.cache_group != context.cache_group(self._state.deployment):
                return request_context.Withdrawn()
            if not self._permits.may_send(upstream, permit):
                return request_context.Withdrawn()
            request = self._request(context, selected)
            attempt.begin_send()
            sent_at = clock.now()
            attempt.record_sent(sent_at)
            self._state.requests.record_sent(sent_at)
            self._state.releases.record_sent(context, upstream)
            exchange = connection.send(
                request,
                self._codec.naming_reader(context.request_id),
                context.request_id,
            )
            return await self._receive(context, attempt, exchange, sent_at)
        except exchanges.NotSentError as error:
            return request_context.NotRun(str(error), written=False)
        except _ResponseTimeoutError as error:
            return request_context.Failed(str(error), silent_seconds=exchange.silent_seconds)
        except exchanges.NoRoomError as error:
            return request_context.Failed(str(error), silent_seconds=exchange.silent_seconds)
        except exchanges.BodyTooLongError as error:
            self._state.mark_endless(upstream, str(error))
            return request_context.Failed(str(error), silent_seconds=exchange.silent_seconds)
        except exchanges.HttpConnectionError as error:
            upstream.record_failure(clock.now())
            self._record_broken(context, upstream, events_before)
            return request_context.Failed(str(error), silent_seconds=exchange.silent_seconds)
        finally:
            self._pool.release(address, connection)

    def _record_broken(
        self,
        context: request_context.RequestContext,
        upstream: registry.Upstream,
        events_before: int,
    ) -> None:
        """Record that an upstream broke a request off, perhaps since the request crashed it."""
        events = (context.events.last_number or 0) - events_before
        self._state.crashes.record_broken(upstream, context.suspects, events)

    def _needs_new_connection(self, context: request_context.RequestContext) -> bool:
        """Return whether the last run that a request has could be lost on an idle connection."""
        at_most_once = context.retry_state.retry_safety is request_types.RetrySafety.AT_MOST_ONCE
        if not at_most_once and context.retry_state.runs_left > 1:
            return False
        return self._state.reachability.open_may_hang(context.service.name)

    def _is_unusable(self, upstream: registry.Upstream) -> bool:
        """Return whether an upstream has asked for no more requests since it was selected."""
        return self._state.backoffs.is_active(
            upstream
        ) or not self._state.registry.accepts_requests(upstream)

    def _request(
        self, context: request_context.RequestContext, selected: selection.Selection
    ) -> bytes:
        forwarding = interfaces.ForwardingContext(
            upstream=selected.upstream.name,
            address=selected.upstream.entry.address,
            remaining_seconds=context.seconds_left,
            organisation=context.organisation.name if context.organisation else "",
            priority=context.priority,
            version=selected.version,
            cache_salt=selected.salt,
            fetch_from=selected.fetch_from,
            save_to=selected.save_to,
            resume_after=context.events.last_number,
        )
        return self._codec.encode_request(context.request, forwarding)

    async def _receive(
        self,
        context: request_context.RequestContext,
        attempt: open_attempts.OpenAttempt,
        exchange: exchanges.Exchange,
        sent_at: float,
    ) -> request_context.Outcome:
        """Receive the response; every wait ends at the deadline."""
        selected = attempt.selected
        upstream = selected.upstream
        head = self._codec.decode_head(await self._wait_for(context, attempt, exchange.head))
        upstream.record_activity(clock.now())
        self._state.observe_head(upstream, head, sent_at)
        self._permits.record_answer(_permit_holder(context, selected), head)
        match _judge_head(context, head, exchange):
            case answers.NotRun():
                return await self._handle_refusal(context, selected, head, exchange)
            case answers.Events() if self._has_started_again(context, upstream):
                return request_context.Failed("the upstream has started again")
            case answers.Events():
                self._record_version(context, upstream, head)
                return await self._forward_stream(context, attempt, head, exchange)
            case answers.Body():
                self._record_version(context, upstream, head)
                return await self._forward_whole(context, attempt, head, exchange)
            case answers.Failed(reason=reason):
                if not head.retry_after_seconds:
                    upstream.record_failure(clock.now())
                return request_context.Failed(reason)
            case answers.Foreign():
                raise AssertionError("the connection skips answers to other requests")

    def _has_started_again(
        self, context: request_context.RequestContext, upstream: registry.Upstream
    ) -> bool:
        """Return whether a stream that may be resumed may come from a later start of its upstream.

        No answer states its software version, which may differ between starts under one name.
        """
        if context.retry_state.retry_safety is not request_types.RetrySafety.RESUMABLE:
            return False
        registered = self._state.registry.get(upstream.name)
        if registered is None or registered is upstream:
            return False
        is_known = upstream.entry.life != registry.UNKNOWN_LIFE
        return not is_known or registered.incarnation != upstream.incarnation

    def _record_version(
        self,
        context: request_context.RequestContext,
        upstream: registry.Upstream,
        head: interfaces.ResponseHead,
    ) -> None:
        """Record the version of its weights that an upstream states."""
        if context.request.prompt is not None and head.version:
            upstream.record_version(context.request.prompt.model, head.version)

    async def _wait_for(
        self,
        context: request_context.RequestContext,
        attempt: open_attempts.OpenAttempt,
        call: Callable[[], Awaitable[T]],
        exchange: exchanges.Exchange | None = None,
    ) -> T:
        """Return the next part of a response; probe an upstream that sends nothing meanwhile.

        One whose answer on `exchange` this VM does not read, for want of room, is not silent.

        Raises
        ------
        _ResponseTimeoutError
            If the part did not arrive before the deadline.
        """
        upstream = attempt.selected.upstream
        deadline = context.retry_state.deadline
        attempt.begin_wait()
        since = clock.now()
        end = since + self._patience_seconds(context, attempt.selected)
        probed = False
        while True:
            check_at = end if probed else min(end, since + PROBE_AFTER_SECONDS)
            until = deadline if attempt.silent else min(check_at, deadline)
            with anyio.move_on_after(max(0.0, until - clock.now())):
                part = await call()
                attempt.end_wait()
                return part
            now = clock.now()
            if exchange is not None and exchange.waits_for_room and now < deadline:
                since, probed = now, False
                end = now + self._patience_seconds(context, attempt.selected)
            elif not attempt.silent and upstream.last_activity_at > since:
                since = upstream.last_activity_at
                probed = False
                if context.retry_state.retry_safety is request_types.RetrySafety.RESUMABLE:
                    end = since + self._patience_seconds(context, attempt.selected)
            elif not attempt.silent and not probed:
                probed = True
                attempt.start_soon(self._probe, context, attempt)
            if now >= end and not attempt.silent:
                if probed:
                    upstream.record_failure(now)
                attempt.record_silence()
            if now >= deadline:
                raise _ResponseTimeoutError("no answer in time")

    async def _probe(
        self, context: request_context.RequestContext, attempt: open_attempts.OpenAttempt
    ) -> None:
        """Probe a silent upstream; an unexpected error ends the probe, not its request."""
        try:
            await self._find_unresponsive(context, attempt)
        except Exception:
            self._metrics.increment("internal_errors")
            self._log.exception("probe failed", request=context.request_id, upstream=attempt.where)

    async def _find_unresponsive(
        self, context: request_context.RequestContext, attempt: open_attempts.OpenAttempt
    ) -> None:
        """Mark a silent upstream unresponsive if it accepts no connection.

        What it sends meanwhile shows that it is not silent.
        No other request is sent on its idle connections, where it could not be taken back.
        One in backoff counts as alive: a connection may occupy one of its slots.
        """
        upstream = attempt.selected.upstream
        wait = attempt.wait
        if self._state.backoffs.is_active(upstream):
            return
        if await self._pool.can_connect(upstream.entry.address) or attempt.wait != wait:
            return
        self._state.mark_unresponsive(upstream, "silent and takes no connection")
        self._pool.close_idle(upstream.entry.address)
        if context.retry_state.may_run_elsewhere and not attempt.silent:
            upstream.record_failure(clock.now())
            attempt.record_silence()

    def _patience_seconds(
        self, context: request_context.RequestContext, selected: selection.Selection
    ) -> float:
        """Return the time without a part of the response after which another upstream is tried."""
        if not context.retry_state.may_run_elsewhere:
            return max(0.0, context.seconds_left)
        match context.retry_state.retry_safety:
            case request_types.RetrySafety.IDEMPOTENT:
                seconds = max(
                    MIN_IDEMPOTENT_TIMEOUT_SECONDS,
                    IDEMPOTENT_TIMEOUT_FACTOR * selected.expected_seconds,
                )
            case request_types.RetrySafety.RESUMABLE if context.response.started:
                seconds = EVENT_GAP_TIMEOUT_SECONDS
            case _:
                seconds = max(
                    MIN_FIRST_EVENT_TIMEOUT_SECONDS,
                    FIRST_EVENT_TIMEOUT_FACTOR * selected.expected_seconds,
                )
        return max(0.0, min(seconds, context.seconds_left))

    async def _handle_refusal(
        self,
        context: request_context.RequestContext,
        selected: selection.Selection,
        head: interfaces.ResponseHead,
        exchange: exchanges.Exchange,
    ) -> request_context.Outcome:
        upstream = selected.upstream
        try:
            with anyio.move_on_after(REFUSAL_BODY_TIMEOUT_SECONDS):
                await exchange.body()
        except exchanges.BodyTooLongError as error:
            self._state.mark_endless(upstream, str(error))
        except exchanges.NoRoomError:
            pass  # The head has said that the request was not run.
        if not head.misdirected:
            if not head.retry_after_seconds:
                upstream.loading_until = max(
                    upstream.loading_until, clock.now() + LOADING_BACKOFF_SECONDS
                )
            return request_context.NotRun(f"refused with {head.status}")
        if head.upstream and head.upstream != upstream.name:
            self._state.remove_replaced(upstream, head.upstream)
        else:
            self._state.record_version_mismatch(upstream, context.request.prompt, head.version)
        return request_context.NotRun("another upstream or other weights")

    async def _forward_whole(
        self,
        context: request_context.RequestContext,
        attempt: open_attempts.OpenAttempt,
        head: interfaces.ResponseHead,
        exchange: exchanges.Exchange,
    ) -> request_context.Outcome:
        upstream = attempt.selected.upstream
        body = await self._wait_for(context, attempt, exchange.body, exchange)
        now = clock.now()
        seconds = None if attempt.sent_at is None else now - attempt.sent_at
        upstream.record_whole(now)
        upstream.record_first_event(context.request_id, now)
        is_error = head.status >= answer_writer.HTTP_SERVER_ERROR
        if is_error and not head.retry_after_seconds:
            upstream.record_failure(now)
        writer = self._writer(context, attempt, head, exchange)
        if not writer.may_send:
            reason = f"status {head.status}"
            if len(body) > byte_budget.SHORT_BYTES:
                return request_context.Failed(f"{reason}, too long to keep for the caller")
            return request_context.Failed(reason, head, body, writer.states_end)
        self._state.releases.record_answer(context, attempt.selected, is_error, seconds)
        writer.take_over()
        if writer.states_end and not is_error:
            self._state.crashes.record_whole(context.suspects)
        await writer.send(body)
        return request_context.Done()

    async def _forward_stream(
        self,
        context: request_context.RequestContext,
        attempt: open_attempts.OpenAttempt,
        head: interfaces.ResponseHead,
        exchange: exchanges.Exchange,
    ) -> request_context.Outcome:
        writer = self._writer(context, attempt, head, exchange)
        writer.begin_stream()
        try:
            return await self._forward_events(context, attempt, exchange, writer)
        finally:
            writer.forget_partial()

    async def _forward_events(
        self,
        context: request_context.RequestContext,
        attempt: open_attempts.OpenAttempt,
        exchange: exchanges.Exchange,
        writer: answer_writer.AnswerWriter,
    ) -> request_context.Outcome:
        """Pass on the events of a stream until its end."""
        upstream = attempt.selected.upstream
        events_before = context.events.last_number or 0
        seconds: float | None = None
        while True:
            data = await self._wait_for(context, attempt, exchange.read)
            now = clock.now()
            upstream.record_activity(now)
            try:
                if data is None:
                    if not writer.states_end:
                        # A server that crashes may close such an answer as if it were whole.
                        self._record_broken(context, upstream, events_before)
                    writer.check_end()
                    break
                events = writer.accept(data)
                exchange.keep(writer.partial_bytes)
            except delivery_errors.StreamOrderError as error:
                upstream.record_failure(now)
                return request_context.Failed(str(error))
            if events:
                if seconds is None and attempt.sent_at is not None:
                    seconds = now - attempt.sent_at
                self._record_first_event(context, attempt.selected)
                await writer.write(events)
        await writer.end()
        upstream.record_whole(clock.now())
        self._state.releases.record_answer(context, attempt.selected, False, seconds)
        if writer.states_end:
            self._state.crashes.record_whole(context.suspects)
        return request_context.Done()

    def _record_first_event(
        self, context: request_context.RequestContext, selected: selection.Selection
    ) -> None:
        """Record that an upstream has read the prompt, unless an earlier event has shown it."""
        if context.request_id in selected.upstream.outstanding:
            selected.upstream.record_first_event(context.request_id, clock.now())
            self._state.record_cached_prompt(selected, context.request.prompt)

    def _writer(
        self,
        context: request_context.RequestContext,
        attempt: open_attempts.OpenAttempt,
        head: interfaces.ResponseHead,
        exchange: exchanges.Exchange,
    ) -> answer_writer.AnswerWriter:
        software = attempt.selected.upstream.entry.software
        passed_on = answer_writer.Head(head.status, head.headers, exchange.framing, software)
        return answer_writer.AnswerWriter(context, attempt, passed_on, self._state, self._metrics)


def _permit_holder(context: request_context.RequestContext, selected: selection.Selection) -> str:
    """Return who holds a permit: an attempt, as several attempts of a request may be open."""
    return f"{context.request_id} {selected.upstream.name}"


def _judge_head(
    context: request_context.RequestContext,
    head: interfaces.ResponseHead,
    exchange: exchanges.Exchange,
) -> answers.HeadVerdict:
    """Return what the head of an answer proves about a request."""
    facts = answers.Head(
        head.status,
        exchange.naming,
        exchange.alone,
        head.authentic,
        head.not_run,
        head.misdirected,
        head.has_events,
        exchange.encoded,
    )
    streaming = context.route.streaming
    is_taken_up = streaming and context.events.last_number is not None
    return answers.judge_head(facts, streaming, context.response.started or is_taken_up)
