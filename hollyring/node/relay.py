"""One request from top to bottom: route, rights, rate, place, tries, answer."""

from __future__ import annotations

import dataclasses

import anyio

from hollyring.configuration import deployment
from hollyring.core import request_types
from hollyring.delivery import event_stream, refusal, retry
from hollyring.node import attempt, clock, links, logs, metrics, ports, replies, state, work
from hollyring.routing import selection

WAIT_TARGETS = 0.8
"""Longest wait in line at an upstream, in the shortest target of its service's routes.

A longer line serves nobody: what waits there takes the memory in which shared prompts are kept, and
they have to be read again.
"""

FINAL_MARGIN_SECONDS = 0.02
"""Time before the end of a caller's patience at which it gets its final answer."""

LEAVING_SECONDS = 0.1
"""A caller that came to a leaving VM may go to another one after so long."""

UNCONFIGURED_SECONDS = 0.3
"""A caller of a VM without a configuration may come back after so long."""


class _GivenUpError(Exception):
    """The request ends with a refusal."""

    def __init__(self, why: refusal.Refusal) -> None:
        super().__init__(why.code)
        self.why = why


class Relay:
    """Carries requests to upstreams and answers back.

    Parameters
    ----------
    beliefs
        What this VM knows of the configuration, the upstreams and the other VMs.
    codec
        Turns requests into bytes and back.
    connections
        Connections to upstreams.
    """

    def __init__(
        self,
        beliefs: state.State,
        codec: ports.UpstreamCodec,
        connections: links.Links,
        counters: metrics.Metrics,
    ) -> None:
        self._state = beliefs
        self._attempts = attempt.Attempts(beliefs, codec, connections, counters)
        self._metrics = counters
        self._log = logs.Log("request")

    async def serve(self, ask: request_types.Request, reply: replies.Reply) -> None:
        """Answer one attempt of a caller.

        Raises
        ------
        BrokenOffError
            If the answer has begun and can't be completed.
        """
        arrived = clock.now()
        self._metrics.count("requests")
        accepted = self._accept(ask, reply, arrived)
        if isinstance(accepted, refusal.Refusal):
            self._say_refused(ask, accepted, arrived)
            await reply.refuse(accepted)
            return
        try:
            await self._carry(accepted)
        except _GivenUpError as error:
            self._say_end(accepted, error.why.code)
            await reply.refuse(error.why)
        except anyio.get_cancelled_exc_class():
            self._say_end(accepted, "caller left")
            raise

    def _accept(
        self, ask: request_types.Request, reply: replies.Reply, arrived: float
    ) -> work.Work | refusal.Refusal:
        """Return the work, or why it is refused before anything is sent."""
        current = self._state.deployment
        if current is None:
            return refusal.make("configuration_stale", UNCONFIGURED_SECONDS)
        route = current.route_for(ask.host, ask.path)
        if route is None:
            return refusal.make("unknown_route")
        organisation = current.organisation_for_key(ask.api_key) if ask.api_key else None
        if organisation is None and current.requires_keys and not route.open_to_all:
            return refusal.make("invalid_key")
        deadline = arrived + min(ask.deadline_seconds, route.timeout) - FINAL_MARGIN_SECONDS
        if not self._state.may_take(deadline, arrived):
            return refusal.make("leaving", LEAVING_SECONDS)
        if organisation is not None:
            wait = self._state.admit(organisation, ask.prompt, arrived)
            if wait:
                return refusal.make("rate_limited", wait)
        service = current.services.get(route.service_for(ask.request_id))
        if service is None:
            return refusal.make("no_upstream", selection.NO_UPSTREAM_RETRY_SECONDS)
        self._state.retries(service.name).record_attempt(arrived)
        return work.Work(
            ask,
            reply,
            route,
            organisation,
            service,
            retry.RetryState(retry.RetryPolicy(route.retry_safety, deadline, route.max_runs)),
            arrived,
            _rank(route, organisation),
            current.shortest_target_latency(service.name, route.target_latency),
            event_stream.EventStream(ask.resume_after),
        )

    async def _carry(self, one: work.Work) -> None:
        """Try upstreams until the caller has its answer."""
        while True:
            one.place = place = self._place(one)
            one.tries.begin(place.upstream.name, place.upstream.entry.domain)
            self._say_sent(one, place)
            outcome = await self._attempts.run(one, place)
            if isinstance(outcome, work.Done):
                self._say_end(one, "answered")
                return
            one.tries.record_failure(outcome.ran)
            if isinstance(outcome, work.Failed):
                one.last = outcome
            self._say_failed(one, place, outcome)
            if not self._may_repeat(one):
                await self._give_up(one)
                return

    def _place(self, one: work.Work) -> selection.Selection:
        """Return where the next try goes.

        Raises
        ------
        _GivenUpError
            If nothing can serve it in its time.
        """
        now = clock.now()
        if not one.tries.has_time(now):
            raise _GivenUpError(one.tries.final_refusal("overloaded", now))
        wanted = selection.SelectionRequest(
            one.name,
            one.service.name,
            one.ask.prompt,
            one.isolated_for,
            self._state.domain,
            one.left,
            one.route.target_latency,
            one.shortest_target * WAIT_TARGETS,
            one.tries.upstreams,
        )
        place = self._state.placing.select(wanted, now)
        if isinstance(place, selection.NoUpstream) and one.tries.sends and not one.tries.reached:
            # One that refused may take it by now; there is no other.
            anywhere = dataclasses.replace(wanted, excluded=frozenset())
            place = self._state.placing.select(anywhere, now)
        if isinstance(place, selection.NoUpstream):
            code = "overloaded" if place.busy else "no_upstream"
            raise _GivenUpError(one.tries.final_refusal(code, now, place.retry_after))
        return place

    def _may_repeat(self, one: work.Work) -> bool:
        now = clock.now()
        if not one.tries.may_retry(now, one.reply.begun):
            return False
        return self._state.retries(one.service.name).try_retry(now)

    async def _give_up(self, one: work.Work) -> None:
        """Give the caller the final answer after the last try."""
        last = one.last
        if last is not None and last.answer is not None and not one.reply.begun:
            self._say_end(one, "upstream's failure")
            await one.reply.whole(last.answer.status, last.answer.headers, last.body)
            return
        now = clock.now()
        code = "no_upstream" if one.tries.has_time(now) else "overloaded"
        raise _GivenUpError(one.tries.final_refusal(code, now))

    def _say_refused(
        self, ask: request_types.Request, why: refusal.Refusal, arrived: float
    ) -> None:
        self._metrics.count(f"refused_{why.code}")
        self._log.say(
            "refused",
            request=ask.request_id,
            code=why.code,
            retry_after=round(why.retry_after, 3),
            configuration=self._state.version,
            configuration_age=self._state.store_age(arrived),
        )

    def _say_sent(self, one: work.Work, place: selection.Selection) -> None:
        self._log.say(
            "sent",
            request=one.name,
            upstream=place.upstream.name,
            version=place.version,
            unread=place.prefill_tokens,
            fetched=place.fetched_tokens,
            likely=one.ask.prompt.expected_output_tokens if one.ask.prompt else 0,
            expected=round(place.expected_seconds, 4),
            left=round(one.left, 3),
            heard_ago=state.ago(clock.now(), place.upstream.last_activity_at),
        )

    def _say_failed(
        self, one: work.Work, place: selection.Selection, outcome: work.NotRun | work.Failed
    ) -> None:
        not_run = isinstance(outcome, work.NotRun)
        self._metrics.count("tries_not_run" if not_run else "tries_failed")
        self._log.say(
            "try failed",
            request=one.name,
            upstream=place.upstream.name,
            why=outcome.why,
            not_run=not_run,
            sends=one.tries.sends,
            left=round(one.left, 3),
        )

    def _say_end(self, one: work.Work, outcome: str) -> None:
        now = clock.now()
        self._metrics.count(f"ended_{outcome.replace(' ', '_')}")
        self._log.say(
            "ended",
            request=one.name,
            outcome=outcome,
            status=one.reply.status,
            route=one.route.name,
            organisation=one.organisation.name if one.organisation else "",
            upstream=one.place.upstream.name if one.place else "",
            first=round(one.first_at - one.arrived, 4) if one.first_at else 0.0,
            seconds=round(now - one.arrived, 4),
            sends=one.tries.sends,
            reached=one.tries.reached,
            configuration=self._state.version,
        )


def _rank(route: deployment.Route, organisation: deployment.Organisation | None) -> int:
    if organisation is not None and organisation.priority is not None:
        return organisation.priority
    return route.priority
