"""Where the next attempt of a request is made: at an upstream, or at a VM that selects one."""

from __future__ import annotations

import dataclasses

from hollyring.core import request_types
from hollyring.delivery import refusal
from hollyring.membership import heartbeat
from hollyring.node import (
    clock,
    forward_client,
    open_attempts,
    request_context,
    retry_decisions,
    state,
)
from hollyring.routing import selection

MAX_WAIT_TARGET_RATIO = 0.8
"""Maximum queueing time at an upstream, relative to the shortest target latency of its service.

A longer queue costs prefill work: waiting requests occupy KV cache memory, so that shared prompts
are evicted and have to be prefilled again.
"""

RESUMED_MAX_WAIT_SECONDS = 1.0
"""Maximum queueing time of a stream that goes on; refused, it would lose what the caller has."""


class RequestRefusedError(Exception):
    """The request ended with a refusal.

    Parameters
    ----------
    rejection
        What the caller is told.
    reason
        Why no attempt is made.
    is_temporary
        Whether the reason may pass soon: the upstreams only have no room for the request now, or
        this VM's copies of the store are too old.
    """

    def __init__(
        self,
        rejection: refusal.Refusal,
        reason: retry_decisions.Denial,
        is_temporary: bool = False,
    ) -> None:
        super().__init__(rejection.code)
        self.refusal = rejection
        self.reason = reason
        self.is_temporary = is_temporary


class AttemptPlaces:
    """Chooses the upstream or the VM of each attempt.

    Parameters
    ----------
    vm_state
        State of the upstreams and the other VMs, as known to this VM.
    forwards
        Forwards requests to other VMs; None for a VM that forwards none.
    """

    def __init__(
        self, vm_state: state.State, forwards: forward_client.ForwardClient | None
    ) -> None:
        self._state = vm_state
        self._forwards = forwards

    def choose(self, context: request_context.RequestContext) -> open_attempts.Place:
        """Return where to make the next attempt.

        Raises
        ------
        RequestRefusedError
            If none can be made.
        """
        if context.retry_state.runs_left <= 0:
            return self._select_closed(context)
        target = self._target(context)
        if target is not None:
            return target
        if self._needs_other_vm(context) and context.declined:
            raise self.declined_error(context, retry_decisions.Reason.DECLINED)
        return self._select(context)

    def choose_beside(
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
        context.placement = self._state.releases.place(context, False, now)
        selected = self._state.selector.select(self.selection_request(context), now)
        return None if isinstance(selected, selection.NoUpstream) else selected

    async def is_usable(
        self, context: request_context.RequestContext, place: open_attempts.Place
    ) -> bool:
        """Return whether an attempt can be made at a place, for which a silent VM is given up."""
        if self._forwards is None or isinstance(place, selection.Selection):
            return True
        return await self._forwards.is_linked(context, place)

    def declined_error(
        self, context: request_context.RequestContext, reason: retry_decisions.Denial
    ) -> RequestRefusedError:
        """Return a refusal with the shortest time to return that other VMs stated."""
        soonest = min(context.declined, key=lambda rejection: rejection.retry_after)
        return RequestRefusedError(
            context.retry_state.final_refusal(soonest.code, clock.now(), soonest.retry_after),
            reason,
        )

    def final_error(
        self, context: request_context.RequestContext, reason: retry_decisions.Denial
    ) -> RequestRefusedError:
        """Return a refusal with the time after which an upstream may have capacity."""
        now = clock.now()
        if not context.retry_state.has_time(now):
            return RequestRefusedError(context.retry_state.final_refusal("overloaded", now), reason)
        # Nothing more is sent; the selection only tells when an upstream may have capacity.
        unrestricted = dataclasses.replace(self.selection_request(context), excluded=frozenset())
        selected = self._state.selector.select(unrestricted, now)
        if isinstance(selected, selection.NoUpstream) and selected.busy:
            return RequestRefusedError(
                context.retry_state.final_refusal("overloaded", now, selected.retry_after), reason
            )
        return RequestRefusedError(context.retry_state.final_refusal("no_upstream", now), reason)

    def selection_request(
        self, context: request_context.RequestContext
    ) -> selection.SelectionRequest:
        """Return what is asked of the selector for the next attempt."""
        return selection.SelectionRequest(
            context.request_id,
            context.service.name,
            context.request.prompt,
            context.cache_group(self._state.deployment),
            self._state.failure_domain,
            context.seconds_left,
            context.route.target_latency,
            _max_wait_seconds(context),
            context.retry_state.upstreams
            | self._state.releases.excluded(context.service.name, context.placement),
            context.software,
            self._withheld_software(context) | context.placement.withheld,
            context.priority,
        )

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
        if context.admitted_by:
            return False
        reachability = self._state.reachability
        if reachability.is_cut_off(context.service.name):
            return True
        takes_connections = reachability.takes_connections(context.service.name)
        return context.retry_state.unsent > 0 and not takes_connections

    def _select(self, context: request_context.RequestContext) -> selection.Selection:
        """Select the upstream of the next attempt.

        Raises
        ------
        RequestRefusedError
            If no upstream can serve the request before its deadline.
        """
        now = clock.now()
        if not context.retry_state.has_time(now):
            refused = context.retry_state.final_refusal("overloaded", now)
            raise RequestRefusedError(refused, retry_decisions.Reason.NO_TIME)
        is_first = not context.retry_state.sends
        context.placement = self._state.releases.place(context, is_first, now)
        selection_request = self.selection_request(context)
        selected = self._state.selector.select(selection_request, now)
        if isinstance(selected, selection.NoUpstream) and context.placement.is_exposed:
            context.placement = self._state.releases.place(context, False, now)
            selection_request = self.selection_request(context)
            selected = self._state.selector.select(selection_request, now)
        if isinstance(selected, selection.NoUpstream) and context.retry_state.sends:
            selected = self._select_again(context, selection_request, now) or selected
        if isinstance(selected, selection.NoUpstream):
            raise _no_upstream_error(context, selected, now)
        return selected

    def _select_closed(self, context: request_context.RequestContext) -> selection.Selection:
        """Select among the upstreams that ran a stream and were closed, its runs being used up.

        Raises
        ------
        RequestRefusedError
            If none of them can serve the request before its deadline.
        """
        now = clock.now()
        upstreams = self._state.registry.of_service(context.service.name)
        others = {upstream.name for upstream in upstreams} - context.retry_state.closed_upstreams
        request = dataclasses.replace(self.selection_request(context), excluded=frozenset(others))
        selected = self._select_when_due(context, request, now)
        if isinstance(selected, selection.NoUpstream):
            raise _no_upstream_error(context, selected, now)
        return selected

    def _select_again(
        self,
        context: request_context.RequestContext,
        request: selection.SelectionRequest,
        now: float,
    ) -> selection.Selection | selection.NoUpstream | None:
        """Select among the upstreams that were tried, None if none of them may be asked again.

        One that refused earlier may accept the request now, though perhaps not yet.
        """
        for excluded in context.retry_state.second_choices:
            again = dataclasses.replace(request, excluded=excluded)
            if not self._state.selector.is_served(again, now):
                continue
            return self._select_when_due(context, again, now)
        return None

    def _select_when_due(
        self,
        context: request_context.RequestContext,
        request: selection.SelectionRequest,
        now: float,
    ) -> selection.Selection | selection.NoUpstream:
        """Select among upstreams that were tried, none before they may be asked again."""
        wait_seconds = context.retry_state.ask_again_at - now
        if wait_seconds > 0:
            return selection.NoUpstream(wait_seconds, busy=True)
        return self._state.selector.select(request, now)

    def _withheld_software(self, context: request_context.RequestContext) -> frozenset[str]:
        """Return the software versions at which the request must not begin a stream yet."""
        is_resumable = context.retry_state.retry_safety is request_types.RetrySafety.RESUMABLE
        if not is_resumable or context.software is not None:
            return frozenset()
        return self._state.withheld_software(context.service.name, clock.now())


def _no_upstream_error(
    context: request_context.RequestContext, found: selection.NoUpstream, now: float
) -> RequestRefusedError:
    """Return a refusal that states whether upstreams are there and have no room."""
    code = "overloaded" if found.busy else "no_upstream"
    reasons = retry_decisions.Reason
    reason = reasons.NO_ROOM if found.busy else reasons.NO_UPSTREAM
    refused = context.retry_state.final_refusal(code, now, found.retry_after)
    return RequestRefusedError(refused, reason, is_temporary=found.busy)


def _max_wait_seconds(context: request_context.RequestContext) -> float:
    """Return the longest time to wait in an upstream's queue."""
    seconds = context.min_target_seconds * MAX_WAIT_TARGET_RATIO
    if context.events.last_number is None:
        return seconds
    return max(seconds, RESUMED_MAX_WAIT_SECONDS)
