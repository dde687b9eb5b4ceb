"""Handling of one request: routing, authentication, rate limit, upstream, attempts, response."""

from __future__ import annotations

import dataclasses
import functools
import typing

import anyio

from hollyring.configuration import deployment
from hollyring.core import execution, request_types
from hollyring.delivery import event_stream, forwarded, refusal, retry, stream_origins
from hollyring.membership import heartbeat
from hollyring.node import (
    attempt,
    clock,
    connection_pool,
    errors,
    forward_client,
    interfaces,
    metrics,
    open_attempts,
    peer_link,
    recent_copies,
    request_context,
    request_log,
    responses,
    send_permits,
    state,
    taken_requests,
)
from hollyring.routing import crashes, selection, software_versions

MAX_WAIT_TARGET_RATIO = 0.8
"""Maximum queueing time at an upstream, relative to the shortest target latency of its service.

A longer queue costs prefill work: waiting requests occupy KV cache memory, so that shared prompts
are evicted and have to be prefilled again.
"""

RESUMED_MAX_WAIT_SECONDS = 1.0
"""Maximum queueing time of a stream that goes on; refused, it would lose what the caller has."""

DEADLINE_MARGIN_SECONDS = 0.02
"""Time before the caller's deadline by which the final response is sent."""

LEAVING_RETRY_AFTER_SECONDS = 0.1
"""Retry delay given to callers by a leaving VM; they retry at another VM."""

UNCONFIGURED_RETRY_AFTER_SECONDS = 0.3
"""Retry delay given to callers by a VM that has no configuration yet."""

MAX_COPIES_WAIT = 0.3
"""Longest wait in seconds for recent copies of the store, for a request of another VM."""

MAX_DECLINED = 2
"""VMs that are asked to execute a request before it is refused."""

RECORD_POLL_SECONDS = 0.02
"""Time between two looks whether the software version of the only upstreams is recorded."""

UNKNOWN_ORIGIN_RETRY_SECONDS = 0.3
"""Retry delay for a stream of unknown origin; by then this VM has the next heartbeats."""


class _RequestRefusedError(Exception):
    """The request ended with a refusal.

    Parameters
    ----------
    rejection
        What the caller is told.
    is_temporary
        Whether the reason may pass soon: the upstreams only have no room for the request now, or
        this VM's copies of the store are too old.
    """

    def __init__(self, rejection: refusal.Refusal, is_temporary: bool = False) -> None:
        super().__init__(rejection.code)
        self.refusal = rejection
        self.is_temporary = is_temporary


class Relay:
    """Forwards requests to upstreams and responses to callers.

    Parameters
    ----------
    vm_state
        State of the configuration, the upstreams and the other VMs, as known to this VM.
    codec
        Encodes requests and decodes responses.
    pool
        Connections to upstreams.
    counters
        Metrics of this process.
    checker
        Shows that what this VM knows of the store is recent.
    permits
        Permits to send requests to upstreams that named a request limit.
    forwards
        Forwards requests to other VMs; None for a VM that forwards none.
    """

    def __init__(
        self,
        vm_state: state.State,
        codec: interfaces.UpstreamCodec,
        pool: connection_pool.ConnectionPool,
        counters: metrics.Metrics,
        checker: recent_copies.CopyChecker,
        permits: send_permits.SendPermits,
        forwards: forward_client.ForwardClient | None = None,
    ) -> None:
        self._forwards = forwards
        self._state = vm_state
        self._copies = recent_copies.RecentCopies(vm_state, checker, counters)
        self._attempt_runner = attempt.AttemptRunner(
            vm_state, codec, pool, counters, permits, self._copies
        )
        self._metrics = counters
        self._log = request_log.RequestLog(vm_state, counters)
        self._open: set[anyio.CancelScope] = set()
        self._stopped = False

    def stop(self) -> None:
        """Give every open request of a caller its final answer now, as the process is to end."""
        self._stopped = True
        for scope in self._open:
            scope.cancel()

    async def serve(
        self, request: request_types.Request, response: responses.ResponseWriter
    ) -> None:
        """Handle a request and respond to its caller.

        Raises
        ------
        IncompleteResponseError
            If the response was started and cannot be completed.
        CallerLeftError
            If the caller has left before the request could be sent.
        """
        if self._stopped:
            await response.refuse(refusal.make("leaving", LEAVING_RETRY_AFTER_SECONDS))
            return
        with anyio.CancelScope() as scope:
            self._open.add(scope)
            try:
                await self._serve(request, response)
            finally:
                self._open.remove(scope)
        if scope.cancelled_caught and not response.ended:
            raise responses.IncompleteResponseError("grace period over")

    async def _serve(
        self, request: request_types.Request, response: responses.ResponseWriter
    ) -> None:
        arrived_at = clock.now()
        self._metrics.increment("requests")
        admitted = await self._decide(request, response, arrived_at)
        if isinstance(admitted, refusal.Refusal):
            self._log.refused(request, admitted, arrived_at)
            await response.refuse(admitted)
            return
        try:
            await self._run_attempts(admitted)
        except _RequestRefusedError as error:
            await self._refuse(admitted, error.refusal)
        except (errors.CallerLeftError, anyio.get_cancelled_exc_class()):
            await self._end_cancelled(admitted)
            raise
        except Exception:
            await self._end_unexpectedly(admitted)

    async def _decide(
        self, request: request_types.Request, response: responses.ResponseWriter, arrived_at: float
    ) -> request_context.RequestContext | refusal.Refusal:
        """Return the context of the request if it is admitted, once this VM may decide."""
        try:
            may_decide = await self._copies.may_decide(arrived_at + request.deadline_seconds)
        except anyio.get_cancelled_exc_class():
            with anyio.move_on_after(responses.FINAL_REFUSAL_SECONDS, shield=True):
                rejection = refusal.make(self._cancel_code)
                self._log.refused(request, rejection, arrived_at)
                await response.refuse(rejection)
            raise
        if may_decide:
            return self._admit(request, response, arrived_at)
        return refusal.make("configuration_stale", UNCONFIGURED_RETRY_AFTER_SECONDS)

    async def serve_taken(
        self,
        message: forwarded.ForwardedRequest,
        body: bytes,
        sender: str,
        response: taken_requests.TakenResponse,
    ) -> None:
        """Make the attempts of a request that another VM admitted, and answer that VM.

        Raises
        ------
        IncompleteResponseError
            If the response was started and cannot be completed.
        CallerLeftError, LinkLostError
            If that VM gave the request up or has gone.
        """
        arrived_at = clock.now()
        context: request_context.RequestContext | refusal.Refusal
        if await self._copies.may_decide(arrived_at + min(MAX_COPIES_WAIT, message.seconds_left)):
            context = taken_requests.admit(
                self._state, message, body, sender, response, clock.now()
            )
        else:
            context = refusal.make("configuration_stale", UNCONFIGURED_RETRY_AFTER_SECONDS)
        if isinstance(context, refusal.Refusal):
            self._log.declined(message.request_id, sender, context)
            await response.refuse(context)
            return
        self._log.taken(context)
        try:
            await self._run_attempts(context)
        except _RequestRefusedError as error:
            await self._refuse(context, error.refusal)
        except (
            errors.CallerLeftError,
            peer_link.LinkLostError,
            anyio.get_cancelled_exc_class(),
        ):
            self._log_cancelled(context)
            raise

    async def _refuse(
        self, context: request_context.RequestContext, rejection: refusal.Refusal
    ) -> None:
        """Refuse an admitted request, and log its end with the status that its caller got.

        An upstream's own failure is the answer rather than one of this VM that says no more.
        """
        last = context.last_failure
        if last is not None and last.head is not None and not context.response.started:
            head = last.head
            await context.response.send(head.status, head.headers, last.body, last.states_end)
            self._log.ended(context, "upstream's failure")
            return
        try:
            await context.response.refuse(rejection)
        finally:
            self._log.ended(context, rejection.code)

    async def _end_cancelled(self, context: request_context.RequestContext) -> None:
        """End a request whose caller may still read a refusal, as it perhaps only sends no more."""
        reason = "grace period over" if self._stopped else "caller left"
        outcome = "answered" if context.response.ended else reason
        try:
            if not context.response.started:
                await self._refuse_shielded(context)
        finally:
            self._log.ended(context, outcome)

    async def _end_unexpectedly(self, context: request_context.RequestContext) -> None:
        """Refuse a request that failed with the unexpected error being handled, and log it.

        Raises
        ------
        IncompleteResponseError
            If a part of a response was sent already.
        """
        self._log.failed_unexpectedly(context)
        rejection = context.retry_state.final_refusal("internal_error", clock.now())
        try:
            await context.response.refuse(rejection)
        finally:
            self._log.ended(context, rejection.code)

    @property
    def _cancel_code(self) -> str:
        """Code for a request that is cancelled before anything of it was sent."""
        return "leaving" if self._stopped else "caller_ended"

    async def _refuse_shielded(self, context: request_context.RequestContext) -> None:
        """Refuse a cancelled request."""
        rejection = context.retry_state.final_refusal(self._cancel_code, clock.now())
        with anyio.move_on_after(responses.FINAL_REFUSAL_SECONDS, shield=True):
            await context.response.refuse(rejection)

    def _log_cancelled(self, context: request_context.RequestContext) -> None:
        """Log the end of a request that was cancelled, perhaps after its response was complete."""
        self._log.ended(context, "answered" if context.response.ended else "caller left")

    def _admit(
        self, request: request_types.Request, response: responses.ResponseWriter, arrived_at: float
    ) -> request_context.RequestContext | refusal.Refusal:
        """Return the context of the request if it is admitted, otherwise a refusal."""
        current = self._state.deployment
        if current is None:
            return refusal.make("configuration_stale", UNCONFIGURED_RETRY_AFTER_SECONDS)
        route = current.route_for(request.host, request.path)
        if route is None:
            return refusal.make("unknown_route")
        organisation = current.organisation_for_key(request.api_key) if request.api_key else None
        if organisation is None and current.requires_keys and not route.open_to_all:
            return refusal.make("invalid_key")
        deadline = (
            arrived_at + min(request.deadline_seconds, route.timeout) - DEADLINE_MARGIN_SECONDS
        )
        if not self._state.may_accept(deadline, arrived_at):
            return refusal.make("leaving", LEAVING_RETRY_AFTER_SECONDS)
        organisation_name = organisation.name if organisation is not None else ""
        suspects = crashes.suspects(request, organisation_name)
        blame = self._state.crashes.reason_to_refuse(suspects)
        if blame is not None:
            return refusal.make("crashing_request", message=_describe(blame))
        if organisation is not None:
            exceeded = self._state.admit(organisation, request.prompt, arrived_at)
            if exceeded is not None:
                self._log.rate_exceeded(request, organisation, exceeded, arrived_at)
                return refusal.make("rate_limited", exceeded.retry_after)
        service = current.services.get(route.service_for(request.first_request_id))
        if service is None:
            return refusal.make("no_upstream", selection.NO_UPSTREAM_RETRY_SECONDS)
        continuation = self._state.continuation(request, service.name)
        if isinstance(continuation, stream_origins.NotResumable):
            return refusal.make("no_upstream", UNKNOWN_ORIGIN_RETRY_SECONDS, continuation.reason)
        self._state.retries(service.name).record_attempt(arrived_at)
        return request_context.RequestContext(
            request,
            response,
            route,
            organisation,
            service,
            retry.RetryState(retry.RetryPolicy(route.retry_safety, deadline, route.max_runs)),
            arrived_at,
            _priority(route, organisation),
            current.shortest_target_latency(service.name, route.target_latency),
            event_stream.EventStream(request.resume_after),
            software=_required_software(continuation),
            suspects=suspects,
        )

    async def _run_attempts(self, context: request_context.RequestContext) -> None:
        """Make attempts until the caller has received the whole response."""
        failure: Exception | None = None
        attempts: open_attempts.OpenAttempts | None = None
        try:
            async with anyio.create_task_group() as task_group:
                attempts = open_attempts.OpenAttempts(
                    task_group,
                    functools.partial(self._record_superseded, context),
                    context.route.streaming,
                )
                try:
                    await self._make_attempts(context, attempts)
                except Exception as error:  # the group would wrap it
                    failure = error
                task_group.cancel_scope.cancel()
        except anyio.get_cancelled_exc_class():
            for attempt in attempts.open if attempts else ():
                context.retry_state.record_failure(_execution_of(attempt))
            raise
        if failure is not None:
            raise failure

    async def _make_attempts(
        self, context: request_context.RequestContext, attempts: open_attempts.OpenAttempts
    ) -> None:
        await self._start_next(context, attempts)
        while True:
            finished = await attempts.next_finished()
            if finished is None:
                await self._look_elsewhere(context, attempts)
                continue
            if isinstance(finished.error, errors.CallerLeftError):
                context.retry_state.record_failure(execution.Execution.NOT_RUN)
            if finished.error is not None:
                raise finished.error
            outcome = finished.outcome
            if outcome is None or isinstance(outcome, request_context.Done):
                self._log.ended(context, "answered")
                return
            self._record_end(context, finished, outcome)
            if attempts.open:
                continue
            if self._may_go_on(context, outcome):
                await self._start_when_free(context, attempts)
                continue
            if isinstance(outcome, request_context.Declined) and not context.retry_state.reached:
                raise self._declined_error(context)
            self._raise_refusal(context)

    async def _start_when_free(
        self, context: request_context.RequestContext, attempts: open_attempts.OpenAttempts
    ) -> None:
        """Start the next attempt; a response that was begun waits for it until its deadline.

        Raises
        ------
        _RequestRefusedError
            If none can be made.
        """
        while True:
            try:
                await self._start_next(context, attempts)
                return
            except _RequestRefusedError as error:
                waits = context.response.started and context.may_retry()
                if not (error.is_temporary and waits):
                    raise
            self._metrics.increment("waits_for_upstream")
            await anyio.sleep(min(open_attempts.LOOK_AGAIN_SECONDS, context.seconds_left))

    async def _start_next(
        self, context: request_context.RequestContext, attempts: open_attempts.OpenAttempts
    ) -> None:
        """Start the next attempt.

        Raises
        ------
        _RequestRefusedError
            If none can be made.
        """
        if context.taken_from and self._state.reachability.is_cut_off(context.service.name):
            refused = context.retry_state.final_refusal("no_upstream", clock.now())
            raise _RequestRefusedError(refused)
        await self._await_record(context)
        if not await self._copies.may_decide(context.retry_state.deadline):
            refused = context.retry_state.final_refusal("no_upstream", clock.now())
            raise _RequestRefusedError(refused, is_temporary=True)
        if context.retry_state.sends and self._is_blamed(context):
            refused = context.retry_state.final_refusal("crashing_request", clock.now())
            raise _RequestRefusedError(refused)
        target = self._target(context)
        if target is not None:
            self._start_forward(context, attempts, target)
        elif self._needs_other_vm(context) and context.declined:
            raise self._declined_error(context)
        else:
            self._start(context, attempts, self._select(context))

    async def _look_elsewhere(
        self, context: request_context.RequestContext, attempts: open_attempts.OpenAttempts
    ) -> None:
        """Start one more attempt beside those that are silent, if an upstream or VM is free.

        Silent attempts that cannot stay beside it are ended first; their end starts it.
        """
        if not context.may_retry():
            return
        if not await self._copies.may_decide(clock.now() + open_attempts.LOOK_AGAIN_SECONDS):
            return
        if self._is_blamed(context) or not attempts.all_silent:
            return
        now = clock.now()
        place = self._other_place(context, attempts, now)
        if place is None:
            return
        budget = self._state.retries(context.service.name)
        if attempts.replaceable:
            if budget.has_retry(now):
                attempts.end_replaceable()
            return
        if not budget.try_retry(now):
            return
        match place:
            case selection.Selection():
                self._start(context, attempts, place)
            case heartbeat.VmInfo():
                self._start_forward(context, attempts, place)

    def _other_place(
        self,
        context: request_context.RequestContext,
        attempts: open_attempts.OpenAttempts,
        now: float,
    ) -> open_attempts.Place | None:
        """Return where another attempt can be made than those that are silent, if anywhere."""
        target = self._target(context)
        if target is not None:
            return target
        if attempts.replaceable and self._needs_other_vm(context):
            return None
        selected = self._state.selector.select(self._selection_request(context), now)
        return None if isinstance(selected, selection.NoUpstream) else selected

    def _start(
        self,
        context: request_context.RequestContext,
        attempts: open_attempts.OpenAttempts,
        selected: selection.Selection,
    ) -> None:
        """Start an attempt at an upstream."""
        if not attempts.open:
            context.selected = selected
        context.retry_state.begin(selected.upstream.name, selected.upstream.entry.domain)
        self._log.sent(context, selected, len(attempts.open))
        attempts.start(selected, functools.partial(self._attempt_runner.run, context))

    def _start_forward(
        self,
        context: request_context.RequestContext,
        attempts: open_attempts.OpenAttempts,
        target: heartbeat.VmInfo,
    ) -> None:
        """Have another VM make the next attempts.

        Raises
        ------
        _RequestRefusedError
            If the deadline is too near.
        """
        now = clock.now()
        if self._forwards is None or not context.retry_state.has_time(now):
            raise _RequestRefusedError(context.retry_state.final_refusal("overloaded", now))
        context.retry_state.begin_forward()
        self._log.forwarded(context, target, len(attempts.open))
        attempts.start(target, functools.partial(self._forwards.run, context))

    def _record_end(
        self,
        context: request_context.RequestContext,
        finished: open_attempts.OpenAttempt,
        outcome: request_context.Unanswered,
    ) -> None:
        """Record an attempt that ended without an answer to the caller."""
        if isinstance(outcome, request_context.Withdrawn):
            self._log.withdrawn(context, finished)
            context.retry_state.withdraw()
            return
        context.retry_state.record_failure(outcome.execution_status)
        match outcome:
            case request_context.Failed(head=None) if context.last_failure is not None:
                pass
            case request_context.Failed():
                context.last_failure = outcome
            case request_context.NotRun(written=False):
                context.retry_state.record_unsent(finished.where)
        self._log.failed(context, finished, outcome)

    def _may_go_on(
        self, context: request_context.RequestContext, outcome: request_context.Unanswered
    ) -> bool:
        """Return whether to start another attempt after the last open one."""
        if isinstance(outcome, request_context.Withdrawn):
            return True
        return self._may_retry(context, outcome)

    def _record_superseded(
        self, context: request_context.RequestContext, attempt: open_attempts.OpenAttempt
    ) -> None:
        """Record an attempt that is closed since another one has taken over."""
        context.retry_state.record_failure(_execution_of(attempt))
        self._log.superseded(context, attempt)

    def _target(self, context: request_context.RequestContext) -> heartbeat.VmInfo | None:
        """Return the VM to make the next attempts, None for this VM."""
        if self._forwards is None or not self._needs_other_vm(context):
            return None
        return self._forwards.target(context)

    def _needs_other_vm(self, context: request_context.RequestContext) -> bool:
        """Return whether this VM cannot send a request to an upstream.

        Where open connections live on while new ones are refused, the request that found none open
        is the one that needs another VM.
        """
        if context.taken_from:
            return False
        reachability = self._state.reachability
        if reachability.is_cut_off(context.service.name):
            return True
        takes_connections = reachability.takes_connections(context.service.name)
        return context.retry_state.unsent > 0 and not takes_connections

    def _declined_error(self, context: request_context.RequestContext) -> _RequestRefusedError:
        """Return a refusal with the shortest time to return that other VMs stated."""
        soonest = min(context.declined, key=lambda rejection: rejection.retry_after)
        return _RequestRefusedError(
            context.retry_state.final_refusal(soonest.code, clock.now(), soonest.retry_after)
        )

    def _is_blamed(self, context: request_context.RequestContext) -> bool:
        return self._state.crashes.blame_of(context.suspects) is not None

    def _select(self, context: request_context.RequestContext) -> selection.Selection:
        """Select the upstream of the next attempt.

        Raises
        ------
        _RequestRefusedError
            If no upstream can serve the request before its deadline.
        """
        now = clock.now()
        if not context.retry_state.has_time(now):
            raise _RequestRefusedError(context.retry_state.final_refusal("overloaded", now))
        selection_request = self._selection_request(context)
        selected = self._state.selector.select(selection_request, now)
        if (
            isinstance(selected, selection.NoUpstream)
            and context.retry_state.sends
            and not context.retry_state.reached
        ):
            # No other upstream is left, and one that refused earlier may accept the request now.
            unrestricted = dataclasses.replace(selection_request, excluded=frozenset())
            selected = self._state.selector.select(unrestricted, now)
        if isinstance(selected, selection.NoUpstream):
            code = "overloaded" if selected.busy else "no_upstream"
            raise _RequestRefusedError(
                context.retry_state.final_refusal(code, now, selected.retry_after), selected.busy
            )
        return selected

    def _selection_request(
        self, context: request_context.RequestContext
    ) -> selection.SelectionRequest:
        return selection.SelectionRequest(
            context.request_id,
            context.service.name,
            context.request.prompt,
            context.isolated_organisation,
            self._state.failure_domain,
            context.seconds_left,
            context.route.target_latency,
            _max_wait_seconds(context),
            context.retry_state.upstreams,
            context.software,
            self._withheld_software(context),
        )

    def _withheld_software(self, context: request_context.RequestContext) -> frozenset[str]:
        """Return the software versions at which the request must not begin a stream yet."""
        is_resumable = context.retry_state.retry_safety is request_types.RetrySafety.RESUMABLE
        if not is_resumable or context.software is not None:
            return frozenset()
        return self._state.withheld_software(context.service.name, clock.now())

    async def _await_record(self, context: request_context.RequestContext) -> None:
        """Wait while the only upstreams are of software versions that are not recorded yet."""
        give_up_at = clock.now() + software_versions.MAX_UNRECORDED_SECONDS
        while clock.now() < give_up_at and context.retry_state.has_time(clock.now()):
            request = self._selection_request(context)
            if not request.withheld_software:
                return
            unrestricted = dataclasses.replace(request, withheld_software=frozenset())
            selector, now = self._state.selector, clock.now()
            if selector.is_served(request, now) or not selector.is_served(unrestricted, now):
                return
            self._metrics.increment("waits_for_record")
            await anyio.sleep(RECORD_POLL_SECONDS)

    def _may_retry(
        self,
        context: request_context.RequestContext,
        outcome: request_context.Failed | request_context.NotRun | request_context.Declined,
    ) -> bool:
        """Return whether to make another attempt.

        It spends a retry of the service's budget if the last one arrived at an upstream.
        """
        if not context.may_retry():
            return False
        if context.taken_from and context.retry_state.reached:
            return False
        if len(context.declined) >= MAX_DECLINED or _is_crashing(outcome):
            return False
        if not isinstance(outcome, request_context.Failed) and not outcome.written:
            return True
        return self._state.retries(context.service.name).try_retry(clock.now())

    def _raise_refusal(self, context: request_context.RequestContext) -> typing.NoReturn:
        """Refuse a request of which no more attempts are made.

        Raises
        ------
        _RequestRefusedError
            Always, with the time after which an upstream may have capacity.
        """
        now = clock.now()
        if not context.retry_state.has_time(now):
            raise _RequestRefusedError(context.retry_state.final_refusal("overloaded", now))
        # Nothing more is sent; the selection only tells when an upstream may have capacity.
        unrestricted = dataclasses.replace(self._selection_request(context), excluded=frozenset())
        selected = self._state.selector.select(unrestricted, now)
        if isinstance(selected, selection.NoUpstream) and selected.busy:
            raise _RequestRefusedError(
                context.retry_state.final_refusal("overloaded", now, selected.retry_after)
            )
        raise _RequestRefusedError(context.retry_state.final_refusal("no_upstream", now))


def _execution_of(attempt: open_attempts.OpenAttempt) -> execution.Execution:
    """Return whether an attempt that is closed early may have run."""
    return execution.Execution.UNKNOWN if attempt.sent else execution.Execution.NOT_RUN


def _is_crashing(outcome: request_context.Outcome) -> bool:
    """Return whether another VM declined a request since it crashes upstreams."""
    return (
        isinstance(outcome, request_context.Declined)
        and outcome.rejection.code == "crashing_request"
    )


def _describe(blame: crashes.Blame) -> str:
    parts, servers = " and ".join(sorted(blame.parts)), ", ".join(blame.servers)
    return f"{parts} of the request crashed {servers}, as seen by {', '.join(blame.witnesses)}."


def _priority(route: deployment.Route, organisation: deployment.Organisation | None) -> int:
    if organisation is not None and organisation.priority is not None:
        return organisation.priority
    return route.priority


def _required_software(continuation: stream_origins.Continuation) -> str | None:
    match continuation:
        case stream_origins.OnlySoftware(software=software):
            return software
        case _:
            return None


def _max_wait_seconds(context: request_context.RequestContext) -> float:
    """Return the longest time to wait in an upstream's queue."""
    seconds = context.min_target_seconds * MAX_WAIT_TARGET_RATIO
    if context.events.last_number is None:
        return seconds
    return max(seconds, RESUMED_MAX_WAIT_SECONDS)
