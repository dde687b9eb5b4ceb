"""Handling of one request: routing, authentication, rate limit, attempts, response."""

from __future__ import annotations

import anyio

from hollyring.configuration import deployment
from hollyring.core import execution, request_types
from hollyring.delivery import (
    event_stream,
    forwarded,
    grace_period,
    refusal,
    retry,
    stream_origins,
)
from hollyring.node import (
    attempt,
    attempt_places,
    attempt_series,
    clock,
    connection_pool,
    delegated_requests,
    errors,
    forward_client,
    interfaces,
    metrics,
    peer_link,
    recent_copies,
    request_context,
    request_log,
    responses,
    send_permits,
    state,
)
from hollyring.routing import crashes, selection

DEADLINE_MARGIN_SECONDS = 0.02
"""Time before the caller's deadline by which the final response is sent."""

UNCONFIGURED_RETRY_AFTER_SECONDS = 0.3
"""Retry delay given to callers by a VM that has no configuration yet."""

MAX_COPIES_WAIT = 0.3
"""Longest wait in seconds for recent copies of the store, for a request of another VM."""

UNKNOWN_ORIGIN_RETRY_SECONDS = 0.3
"""Retry delay for a stream of unknown origin; by then this VM has the next heartbeats."""

CUT_OFF_REASON = "cut off for too long to begin a stream that another VM may have to go on with"


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
    origins
        Asks other VMs where streams began; None for a VM that asks none.
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
        origins: recent_copies.OriginSource | None = None,
    ) -> None:
        self._state = vm_state
        self._copies = recent_copies.RecentCopies(vm_state, checker, counters, origins)
        self._metrics = counters
        self._log = request_log.RequestLog(vm_state, counters)
        runner = attempt.AttemptRunner(vm_state, codec, pool, counters, permits, self._copies)
        self._attempts = attempt_series.AttemptSeries(
            vm_state, runner, self._copies, counters, self._log, forwards
        )
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
            await response.refuse(refusal.make("leaving", grace_period.RETRY_AFTER_SECONDS))
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
            await self._attempts.run(admitted)
        except attempt_places.RequestRefusedError as error:
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
            until = arrived_at + request.deadline_seconds
            may_decide = await self._copies.may_decide(until)
            if may_decide:
                await self._copies.await_versions(request, until, arrived_at)
        except anyio.get_cancelled_exc_class():
            with anyio.move_on_after(responses.FINAL_REFUSAL_SECONDS, shield=True):
                rejection = refusal.make(self._cancel_code, self._cancel_retry_after)
                self._log.refused(request, rejection, arrived_at)
                await response.refuse(rejection)
            raise
        if may_decide:
            return self._admit(request, response, arrived_at)
        return refusal.make("configuration_stale", UNCONFIGURED_RETRY_AFTER_SECONDS)

    async def serve_delegated(
        self,
        message: forwarded.ForwardedRequest,
        body: bytes,
        sender: str,
        response: delegated_requests.DelegatedResponse,
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
            context = delegated_requests.admit(
                self._state, message, body, sender, response, clock.now()
            )
        else:
            context = refusal.make("configuration_stale", UNCONFIGURED_RETRY_AFTER_SECONDS)
        if isinstance(context, refusal.Refusal):
            self._log.declined(message.request_id, sender, context)
            await response.refuse(context)
            return
        self._log.delegated(context)
        try:
            await self._attempts.run(context)
        except attempt_places.RequestRefusedError as error:
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
        self._give_back(context, rejection)
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

    def _give_back(
        self, context: request_context.RequestContext, rejection: refusal.Refusal
    ) -> None:
        """Give its organisation back what a request was admitted for, if it certainly never ran."""
        never_ran = rejection.execution is execution.Execution.NOT_RUN
        if context.organisation is None or context.admitted_by or not never_ran:
            return
        self._state.give_back(
            context.organisation, context.request.prompt, context.arrived_at, clock.now()
        )
        self._metrics.increment("rates_given_back")

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

    @property
    def _cancel_retry_after(self) -> float | None:
        """Seconds after which the caller of such a request may ask another VM, if it may."""
        return grace_period.RETRY_AFTER_SECONDS if self._stopped else None

    async def _refuse_shielded(self, context: request_context.RequestContext) -> None:
        """Refuse a cancelled request."""
        rejection = context.retry_state.final_refusal(
            self._cancel_code, clock.now(), self._cancel_retry_after
        )
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
        verdict = self._state.grace_period.verdict(route.retry_safety, deadline, clock.now())
        if verdict is grace_period.Verdict.REFUSED:
            return refusal.make("leaving", grace_period.RETRY_AFTER_SECONDS)
        organisation_name = organisation.name if organisation is not None else ""
        suspects = crashes.suspects(request, organisation_name)
        blame = self._state.crashes.reason_to_refuse(suspects)
        if blame is not None:
            return refusal.make("crashing_request", message=_describe(blame))
        service = current.services.get(route.service_for(request.first_request_id))
        if service is None:
            return refusal.make("no_upstream", selection.NO_UPSTREAM_RETRY_SECONDS)
        continuation = self._state.continuation(request, service.name, arrived_at)
        if isinstance(continuation, stream_origins.NotResumable):
            return refusal.make("no_upstream", UNKNOWN_ORIGIN_RETRY_SECONDS, continuation.reason)
        if self._is_withheld(request, route):
            return refusal.make("no_upstream", UNKNOWN_ORIGIN_RETRY_SECONDS, CUT_OFF_REASON)
        if organisation is not None:
            exceeded = self._state.admit(organisation, request.prompt, arrived_at)
            if exceeded is not None:
                self._log.rate_exceeded(request, organisation, exceeded, arrived_at)
                return refusal.make("rate_limited", exceeded.retry_after)
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

    def _is_withheld(self, request: request_types.Request, route: deployment.Route) -> bool:
        """Return whether a request asks for a stream that must not begin at this VM."""
        is_resumable = route.retry_safety is request_types.RetrySafety.RESUMABLE
        begins = is_resumable and not request.resume_after
        return begins and not self._state.may_begin_streams(clock.now())


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
