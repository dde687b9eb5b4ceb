"""Whether another attempt of a request is made after the last open one, and if not, why."""

from __future__ import annotations

import enum

from hollyring.delivery import retry
from hollyring.node import clock, request_context, state

MAX_DECLINED = 2
"""VMs that are asked to execute a request before it is refused."""


class Reason(enum.StrEnum):
    """Why no further attempt of a request is made, beside those in `retry.Denial`."""

    STREAM_CANNOT_CONTINUE = "stream cannot continue"
    ADMITTED_ELSEWHERE = "admitted elsewhere"
    DECLINED = "declined by other VMs"
    CRASHING = "crashes upstreams"
    RETRY_BUDGET_SPENT = "retry budget spent"
    CUT_OFF = "cut off from the upstreams"
    OLD_COPIES = "copies of the store too old"
    LEAVING = "VM is leaving"
    NO_UPSTREAM = "no upstream"
    NO_ROOM = "no room at the upstreams"
    NO_TIME = "no time"


Denial = retry.Denial | Reason


def denial(
    vm_state: state.State,
    context: request_context.RequestContext,
    outcome: request_context.Unanswered,
) -> Denial | None:
    """Return why no attempt follows the last open one, None if one does.

    It spends a retry of the service's budget if the next one costs one.

    Parameters
    ----------
    vm_state
        State of this VM, with its retry budgets.
    context
        The request.
    outcome
        Outcome of the last open attempt.
    """
    if isinstance(outcome, request_context.Withdrawn):
        return None
    denied = limits_denial(vm_state, context)
    if denied is not None:
        return denied
    if not context.events.may_continue:
        return Reason.STREAM_CANNOT_CONTINUE
    if context.admitted_by and context.retry_state.reached:
        return Reason.ADMITTED_ELSEWHERE
    if len(context.declined) >= MAX_DECLINED:
        return Reason.DECLINED
    if _is_crashing(outcome):
        return Reason.CRASHING
    if not get_retry(vm_state, context):
        return Reason.RETRY_BUDGET_SPENT
    return None


def limits_denial(
    vm_state: state.State, context: request_context.RequestContext
) -> retry.Denial | None:
    """Return why the limits on its attempts end a request without an open one, None if not."""
    denied = context.retry_denial()
    if denied is retry.Denial.RUNS_USED_UP and _may_go_back(vm_state, context):
        return None
    return denied


def has_retry(vm_state: state.State, context: request_context.RequestContext) -> bool:
    """Return whether `get_retry` would succeed; none is spent."""
    if not context.retry_state.needs_retry:
        return True
    return vm_state.retries(context.service.name).has_retry(clock.now())


def get_retry(vm_state: state.State, context: request_context.RequestContext) -> bool:
    """Spend a retry of the service's budget if the next attempt costs one.

    Returns
    -------
    bool
        Whether the next attempt may be made.
    """
    if not context.retry_state.needs_retry:
        return True
    if not vm_state.retries(context.service.name).try_retry(clock.now()):
        return False
    context.retry_state.record_retry()
    return True


def _may_go_back(vm_state: state.State, context: request_context.RequestContext) -> bool:
    """Return whether there is an upstream that ran a stream and was closed early."""
    closed = context.retry_state.closed_upstreams
    upstreams = vm_state.registry.of_service(context.service.name)
    return any(upstream.name in closed and not upstream.leaving for upstream in upstreams)


def _is_crashing(outcome: request_context.Outcome) -> bool:
    """Return whether another VM declined a request since it crashes upstreams."""
    return (
        isinstance(outcome, request_context.Declined)
        and outcome.rejection.code == "crashing_request"
    )
