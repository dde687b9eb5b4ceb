"""The attempts of one admitted request: when another one is started, and which one is answered."""

from __future__ import annotations

import dataclasses
import functools

import anyio

from hollyring.core import execution
from hollyring.delivery import grace_period
from hollyring.membership import heartbeat
from hollyring.node import (
    attempt,
    attempt_places,
    clock,
    errors,
    forward_client,
    metrics,
    open_attempts,
    recent_copies,
    request_context,
    request_log,
    retry_decisions,
    state,
)
from hollyring.routing import selection, software_versions

RECORD_POLL_SECONDS = 0.02
"""Time between two looks whether streams may begin at the only upstreams."""


class AttemptSeries:
    """Makes attempts of requests until one is answered or none can be made any more.

    Parameters
    ----------
    vm_state
        State of the upstreams and the other VMs, as known to this VM.
    runner
        Makes single attempts at upstreams.
    copies
        Copies of the store, which are asked for before each attempt.
    counters
        Metrics of this process.
    log
        Log of the requests.
    forwards
        Forwards requests to other VMs; None for a VM that forwards none.
    """

    def __init__(
        self,
        vm_state: state.State,
        runner: attempt.AttemptRunner,
        copies: recent_copies.RecentCopies,
        counters: metrics.Metrics,
        log: request_log.RequestLog,
        forwards: forward_client.ForwardClient | None,
    ) -> None:
        self._state = vm_state
        self._runner = runner
        self._copies = copies
        self._metrics = counters
        self._log = log
        self._forwards = forwards
        self._places = attempt_places.AttemptPlaces(vm_state, forwards)

    async def run(self, context: request_context.RequestContext) -> None:
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
                _record_closed(context, attempt)
            raise
        finally:
            unused = context.retry_state.unused_retries
            self._state.retries(context.service.name).give_back(unused)
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
            denied = retry_decisions.denial(self._state, context, outcome)
            if denied is None:
                await self._start_when_free(context, attempts)
                continue
            self._log.gave_up(context, denied)
            if isinstance(outcome, request_context.Declined) and not context.retry_state.reached:
                raise self._places.declined_error(context, denied)
            raise self._places.final_error(context, denied)

    async def _start_when_free(
        self, context: request_context.RequestContext, attempts: open_attempts.OpenAttempts
    ) -> None:
        """Start the next attempt; a response that was begun waits for it until its deadline.

        Raises
        ------
        RequestRefusedError
            If none can be made.
        """
        while True:
            try:
                await self._start_next(context, attempts)
                return
            except attempt_places.RequestRefusedError as error:
                if not (error.is_temporary and self._may_wait(context)):
                    self._log.gave_up(context, error.reason)
                    raise
            self._metrics.increment("waits_for_upstream")
            await anyio.sleep(min(open_attempts.LOOK_AGAIN_SECONDS, context.seconds_left))

    def _may_wait(self, context: request_context.RequestContext) -> bool:
        """Return whether a request without an open attempt may wait for an upstream."""
        if not context.response.started or not context.events.may_continue:
            return False
        return retry_decisions.limits_denial(self._state, context) is None

    async def _start_next(
        self, context: request_context.RequestContext, attempts: open_attempts.OpenAttempts
    ) -> None:
        """Start the next attempt.

        Raises
        ------
        RequestRefusedError
            If none can be made.
        """
        if context.admitted_by and self._state.reachability.is_cut_off(context.service.name):
            refused = context.retry_state.final_refusal("no_upstream", clock.now())
            reason = retry_decisions.Reason.CUT_OFF
            raise attempt_places.RequestRefusedError(refused, reason)
        await self._await_record(context)
        if not await self._copies.may_decide(context.retry_state.deadline):
            refused = context.retry_state.final_refusal("no_upstream", clock.now())
            reason = retry_decisions.Reason.OLD_COPIES
            raise attempt_places.RequestRefusedError(refused, reason, is_temporary=True)
        if not self._state.may_send(context.retry_state):
            now, seconds = clock.now(), grace_period.RETRY_AFTER_SECONDS
            refused = context.retry_state.final_refusal("leaving", now, seconds)
            raise attempt_places.RequestRefusedError(refused, retry_decisions.Reason.LEAVING)
        if context.retry_state.sends and self._is_blamed(context):
            refused = context.retry_state.final_refusal("crashing_request", clock.now())
            raise attempt_places.RequestRefusedError(refused, retry_decisions.Reason.CRASHING)
        self._start_at(context, attempts, self._places.choose(context))

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
        place = self._places.choose_beside(context, attempts, clock.now())
        if place is None:
            return
        if attempts.replaceable:
            has_retry = retry_decisions.has_retry(self._state, context)
            if has_retry and await self._places.is_usable(context, place):
                attempts.end_replaceable()
            return
        if not retry_decisions.get_retry(self._state, context):
            return
        self._start_at(context, attempts, place)

    def _start_at(
        self,
        context: request_context.RequestContext,
        attempts: open_attempts.OpenAttempts,
        place: open_attempts.Place,
    ) -> None:
        """Start an attempt.

        Raises
        ------
        RequestRefusedError
            If the deadline is too near.
        """
        match place:
            case selection.Selection():
                self._start(context, attempts, place)
            case heartbeat.VmInfo():
                self._start_forward(context, attempts, place)

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
        attempts.start(selected, functools.partial(self._runner.run, context))

    def _start_forward(
        self,
        context: request_context.RequestContext,
        attempts: open_attempts.OpenAttempts,
        target: heartbeat.VmInfo,
    ) -> None:
        """Have another VM make the next attempts.

        Raises
        ------
        RequestRefusedError
            If the deadline is too near.
        """
        now = clock.now()
        if self._forwards is None or not context.retry_state.has_time(now):
            raise attempt_places.RequestRefusedError(
                context.retry_state.final_refusal("overloaded", now),
                retry_decisions.Reason.NO_TIME,
            )
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
        tries = context.retry_state
        tries.record_failure(outcome.execution_status, finished.where)
        match outcome:
            case request_context.Failed():
                tries.record_broken_off(finished.where)
                if outcome.head is not None or context.last_failure is None:
                    context.last_failure = outcome
            case request_context.NotRun(written=False):
                tries.record_unsent(finished.where)
            case request_context.NotRun():
                tries.record_refusal(clock.now())
        self._log.failed(context, finished, outcome)

    def _record_superseded(
        self, context: request_context.RequestContext, attempt: open_attempts.OpenAttempt
    ) -> None:
        """Record an attempt that is closed since another one has taken over."""
        _record_closed(context, attempt)
        self._log.superseded(context, attempt)

    def _is_blamed(self, context: request_context.RequestContext) -> bool:
        return self._state.crashes.blame_of(context.suspects) is not None

    async def _await_record(self, context: request_context.RequestContext) -> None:
        """Wait while no stream may begin yet at the software versions of the only upstreams."""
        give_up_at = clock.now() + software_versions.MAX_WITHHELD_SECONDS
        while clock.now() < give_up_at and context.retry_state.has_time(clock.now()):
            request = self._places.selection_request(context)
            if not request.withheld_software:
                return
            unrestricted = dataclasses.replace(request, withheld_software=frozenset())
            selector, now = self._state.selector, clock.now()
            if selector.is_served(request, now) or not selector.is_served(unrestricted, now):
                return
            self._metrics.increment("waits_for_record")
            await anyio.sleep(RECORD_POLL_SECONDS)


def _record_closed(
    context: request_context.RequestContext, attempt: open_attempts.OpenAttempt
) -> None:
    """Record an attempt that is closed early, and whether it may have run."""
    if attempt.sent:
        context.retry_state.record_failure(execution.Execution.UNKNOWN, attempt.where)
        return
    context.retry_state.record_failure(execution.Execution.NOT_RUN)
    context.retry_state.record_unsent(attempt.where)
