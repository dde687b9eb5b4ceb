"""Log lines and counters about the requests that this VM handles."""

from __future__ import annotations

from hollyring.configuration import deployment, freshness
from hollyring.core import request_types
from hollyring.delivery import refusal
from hollyring.limits import fleet_window
from hollyring.membership import heartbeat
from hollyring.node import (
    clock,
    logs,
    metrics,
    open_attempts,
    request_context,
    retry_decisions,
    state,
)
from hollyring.routing import selection


class RequestLog:
    """Logs what happens to each request, with the prefix ``request``.

    Parameters
    ----------
    vm_state
        State of this VM, for the ages and versions in the lines.
    counters
        Metrics of this process.
    """

    __slots__ = ("_state", "_metrics", "_logger")

    def __init__(self, vm_state: state.State, counters: metrics.Metrics) -> None:
        self._state = vm_state
        self._metrics = counters
        self._logger = logs.Logger("request")

    def refused(
        self, request: request_types.Request, rejection: refusal.Refusal, arrived_at: float
    ) -> None:
        """Log that this VM refused a request that it did not admit."""
        self._metrics.increment(f"refused_{rejection.code}")
        self._logger.info(
            "refused",
            request=request.request_id,
            code=rejection.code,
            why=rejection.message,
            retry_after=round(rejection.retry_after, 3),
            configuration=self._state.configuration_version,
            copies_age=freshness.stated(self._state.freshness.age(arrived_at)),
            others_copies_age=freshness.stated(self._state.freshness.others_age(arrived_at)),
            versions_age=freshness.stated(self._state.stream_versions.age(arrived_at)),
            resume_after=request.resume_after,
        )

    def rate_exceeded(
        self,
        request: request_types.Request,
        organisation: deployment.Organisation,
        exceeded: fleet_window.RateExceeded,
        now: float,
    ) -> None:
        """Log by how much an organisation exceeded its rate."""
        self._logger.info(
            "rate exceeded",
            request=request.request_id,
            organisation=organisation.name,
            cost=exceeded.cost,
            used=round(exceeded.used),
            unreported=round(exceeded.unreported),
            allowed=round(exceeded.allowed),
            rate=organisation.rate,
            known=exceeded.known,
            reachable=round(self._state.peers.reachable_fraction(now), 3),
        )

    def sent(
        self, context: request_context.RequestContext, selected: selection.Selection, beside: int
    ) -> None:
        """Log the start of an attempt at an upstream, `beside` others that are open."""
        self._logger.info(
            "sent",
            request=context.request_id,
            upstream=selected.upstream.name,
            configuration=self._state.configuration_version,
            copies_age=freshness.stated(self._state.freshness.age(clock.now())),
            others_copies_age=freshness.stated(self._state.freshness.others_age(clock.now())),
            versions_age=freshness.stated(self._state.stream_versions.age(clock.now())),
            version=selected.version,
            software=selected.upstream.entry.software,
            resume_after=context.events.last_number,
            unread=selected.prefill_tokens,
            fetched=selected.fetched_tokens,
            likely=context.request.prompt.expected_output_tokens if context.request.prompt else 0,
            expected=round(selected.expected_seconds, 4),
            left=round(context.seconds_left, 3),
            beside=beside,
            waited=round(clock.now() - context.arrived_at, 3),
            active_ago=state.seconds_since(clock.now(), selected.upstream.last_activity_at),
        )

    def forwarded(
        self, context: request_context.RequestContext, target: heartbeat.VmInfo, beside: int
    ) -> None:
        """Log that another VM is to make the next attempts."""
        self._metrics.increment("forwarded")
        self._logger.info(
            "forwarded",
            request=context.request_id,
            to=target.name,
            service=context.service.name,
            runs_left=context.retry_state.runs_left,
            resume_after=context.events.last_number,
            software=context.software,
            left=round(context.seconds_left, 3),
            beside=beside,
            waited=round(clock.now() - context.arrived_at, 3),
        )

    def delegated(self, context: request_context.RequestContext) -> None:
        """Log that this VM makes the attempts of a request that another VM admitted."""
        self._metrics.increment("taken")
        self._logger.info(
            "taken from another VM",
            request=context.request_id,
            admitted_by=context.admitted_by,
            service=context.service.name,
            runs_left=context.retry_state.runs_left,
            resume_after=context.events.last_number,
            software=context.software,
            left=round(context.seconds_left, 3),
        )

    def declined(self, request_id: str, sender: str, rejection: refusal.Refusal) -> None:
        """Log that this VM declined a request that another VM admitted."""
        self._metrics.increment(f"declined_{rejection.code}")
        self._logger.info(
            "declined for another VM",
            request=request_id,
            admitted_by=sender,
            code=rejection.code,
            why=rejection.message,
            retry_after=round(rejection.retry_after, 3),
        )

    def withdrawn(
        self, context: request_context.RequestContext, finished: open_attempts.OpenAttempt
    ) -> None:
        """Log an attempt of which nothing was sent, as its upstream takes no more requests."""
        upstream = finished.selected.upstream
        self._metrics.increment("tries_withdrawn")
        self._logger.info(
            "try withdrawn",
            request=context.request_id,
            upstream=upstream.name,
            leaving=upstream.leaving,
            limit=self._state.registry.request_limits.per_second(upstream.incarnation),
        )

    def failed(
        self,
        context: request_context.RequestContext,
        finished: open_attempts.OpenAttempt,
        outcome: request_context.NotRun | request_context.Failed | request_context.Declined,
    ) -> None:
        """Log an attempt that ended without an answer to the caller."""
        not_run = not isinstance(outcome, request_context.Failed)
        silent = outcome.silent_seconds if isinstance(outcome, request_context.Failed) else 0.0
        self._metrics.increment("tries_not_run" if not_run else "tries_failed")
        self._logger.info(
            "try failed",
            request=context.request_id,
            upstream=finished.where,
            why=outcome.reason,
            not_run=not_run,
            sends=context.retry_state.sends,
            left=round(context.seconds_left, 3),
            silent=round(silent, 3),
            partial_event_bytes=finished.events.partial_bytes if finished.events else 0,
            whole=context.suspects[-1],
        )

    def gave_up(
        self, context: request_context.RequestContext, reason: retry_decisions.Denial
    ) -> None:
        """Log why no attempt follows those that have ended without an answer to the caller."""
        tries = context.retry_state
        self._metrics.increment(f"gave_up_{reason.replace(' ', '_')}")
        self._logger.info(
            "no further try",
            request=context.request_id,
            why=reason,
            tried=sorted(tries.upstreams),
            listed=self._listed(context),
            software=context.software,
            runs_left=tries.runs_left,
            sends_left=tries.sends_left,
            unsent=tries.unsent,
            left=round(context.seconds_left, 3),
            retries_left=round(self._state.retries(context.service.name).balance, 3),
            reached=tries.reached,
            started=context.response.started,
        )

    def _listed(self, context: request_context.RequestContext) -> list[str]:
        """Return the names of the service's upstreams that do not leave."""
        upstreams = self._state.registry.of_service(context.service.name)
        return sorted(upstream.name for upstream in upstreams if not upstream.leaving)

    def failed_unexpectedly(self, context: request_context.RequestContext) -> None:
        """Log the unexpected error being handled, which ends a request."""
        self._metrics.increment("internal_errors")
        self._logger.exception("failed", request=context.request_id)

    def superseded(
        self, context: request_context.RequestContext, attempt: open_attempts.OpenAttempt
    ) -> None:
        """Log an attempt that is closed since another one has taken over."""
        self._metrics.increment("tries_superseded")
        self._logger.info(
            "try superseded",
            request=context.request_id,
            upstream=attempt.where,
            silent=attempt.silent,
            sends=context.retry_state.sends,
        )

    def ended(self, context: request_context.RequestContext, outcome: str) -> None:
        """Log the end of a request, once; `outcome` is ``"answered"`` or says why it was not."""
        if context.outcome:
            return
        context.outcome = outcome
        now = clock.now()
        self._metrics.increment(f"ended_{outcome.replace(' ', '_')}")
        self._logger.info(
            "ended",
            request=context.request_id,
            outcome=outcome,
            status=context.response.status,
            route=context.route.name,
            organisation=context.organisation.name if context.organisation else "",
            upstream=context.selected.upstream.name if context.selected else "",
            first=(
                round(context.first_byte_at - context.arrived_at, 4)
                if context.first_byte_at
                else 0.0
            ),
            seconds=round(now - context.arrived_at, 4),
            sends=context.retry_state.sends,
            reached=context.retry_state.reached,
            configuration=self._state.configuration_version,
            **_other_vm(context),
        )


def _other_vm(context: request_context.RequestContext) -> dict[str, str]:
    """Return the log fields that name the VM which executed or admitted the request."""
    if context.admitted_by:
        return {"admitted_by": context.admitted_by}
    return {"through": context.forwarded_to} if context.forwarded_to else {}
