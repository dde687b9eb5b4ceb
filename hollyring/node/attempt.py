"""One try of a request: a connection, the request's bytes, the answer to the caller."""

from __future__ import annotations

import typing
from collections.abc import Awaitable, Callable

import anyio

from hollyring.core import request_types
from hollyring.delivery import errors as delivery_errors
from hollyring.node import clock, http_link, links, metrics, ports, state, work
from hollyring.routing import costs, registry, selection

HTTP_OK = 200
HTTP_SERVER_ERROR = 500

ANSWER_FACTOR = 4.0
MIN_ANSWER_SECONDS = 0.25
"""An idempotent call is sent elsewhere after this time, or `ANSWER_FACTOR` times the expected."""

FIRST_EVENT_FACTOR = 4.0
MIN_FIRST_EVENT_SECONDS = 1.2
GAP_SECONDS = 1.0
"""A resumable stream goes on elsewhere when its silent upstream sends nothing for so long."""

SILENT_SECONDS = 0.35
"""An upstream that sends nothing for so long is asked for a connection to see if it is there."""

LOADING_SECONDS = 0.3
"""An upstream that refused a request for its state is left alone for so long."""

REFUSAL_BODY_SECONDS = 0.03
"""Longest wait for the rest of a refusal, after which its connection is closed."""

FRESH_SECONDS = 1.0
"""An idle connection must last so long that a request that may run once is sent on it."""

T = typing.TypeVar("T")


class _LateError(Exception):
    """The next part of an answer did not come in the try's time."""


class Attempts:
    """Carries out tries.

    Parameters
    ----------
    beliefs
        What this VM knows of the upstreams; it learns from what they answer.
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
        self._codec = codec
        self._links = connections
        self._metrics = counters

    async def run(self, one: work.Work, place: selection.Selection) -> work.Outcome:
        """Send a request to an upstream and hand its answer on."""
        long_answer = costs.is_long(one.ask.prompt)
        place.upstream.record_sent(
            one.name, place.prefill_tokens, place.expected_seconds, clock.now(), long_answer
        )
        try:
            return await self._run(one, place)
        finally:
            place.upstream.record_end(one.name, long_answer)

    async def _run(self, one: work.Work, place: selection.Selection) -> work.Outcome:
        upstream = place.upstream
        address = upstream.entry.address
        fresh = (
            FRESH_SECONDS
            if one.tries.retry_safety is request_types.RetrySafety.AT_MOST_ONCE
            else 0.0
        )
        try:
            with anyio.fail_after(max(0.0, one.left)):
                most = self._state.connections(one.service)
                link = await self._links.take(address, most, fresh)
        except http_link.TooManyError as error:
            return work.NotRun(str(error))
        except http_link.NotSentError as error:
            self._state.doubt(upstream, str(error))
            return work.NotRun(str(error))
        except TimeoutError:
            return work.NotRun("deadline while connecting")
        try:
            exchange = link.send(self._request(one, place), self._codec.belongs(one.name))
            return await self._receive(one, place, exchange)
        except http_link.NotSentError as error:
            return work.NotRun(str(error))
        except _LateError as error:
            return work.Failed(str(error))
        except http_link.LinkError as error:
            upstream.record_failure(clock.now())
            return work.Failed(str(error))
        finally:
            self._links.give_back(address, link)

    def _request(self, one: work.Work, place: selection.Selection) -> bytes:
        sending = ports.Sending(
            upstream=place.upstream.name,
            address=place.upstream.entry.address,
            seconds=one.left,
            organisation=one.organisation.name if one.organisation else "",
            rank=one.rank,
            version=place.version,
            salt=place.salt,
            fetch_from=place.fetch_from,
            save_to=place.save_to,
            resume_after=one.events.last_number,
        )
        return self._codec.request(one.ask, sending)

    async def _receive(
        self, one: work.Work, place: selection.Selection, exchange: http_link.Exchange
    ) -> work.Outcome:
        """Take the answer; every wait is bounded by the caller's patience or the try's."""
        upstream = place.upstream
        head = self._codec.head(await self._next(one, place, exchange.head))
        upstream.record_activity(clock.now())
        if head.misdirected or head.not_run:
            return await self._refused(one, place, head, exchange)
        if not head.genuine:
            upstream.record_failure(clock.now())
            return work.Failed(f"status {head.status} without a signature")
        if one.ask.prompt is not None and head.version:
            upstream.record_version(one.ask.prompt.model, head.version)
        if one.route.streaming and head.status == HTTP_OK:
            return await self._stream(one, place, head, exchange)
        return await self._whole(one, place, head, exchange)

    async def _next(
        self, one: work.Work, place: selection.Selection, call: Callable[[], Awaitable[T]]
    ) -> T:
        """Return the next part of an answer.

        Raises
        ------
        _LateError
            If it did not come in the try's time.
        """
        upstream = place.upstream
        since = clock.now()
        end = since + self._seconds(one, place)
        checked = False
        while True:
            until = end if checked else min(end, since + SILENT_SECONDS)
            with anyio.move_on_after(max(0.0, until - clock.now())):
                return await call()
            now = clock.now()
            if upstream.last_activity_at > since:
                since = upstream.last_activity_at
                checked = False
                if one.tries.retry_safety is request_types.RetrySafety.RESUMABLE:
                    end = since + self._seconds(one, place)
            elif not checked:
                checked = True
                if not await self._reaches(upstream) and one.tries.may_run_elsewhere:
                    break
            if now >= min(end, one.tries.deadline):
                break
        if checked:
            upstream.record_failure(clock.now())
        raise _LateError("no answer in time")

    async def _reaches(self, upstream: registry.Upstream) -> bool:
        """Tell whether a silent upstream is still there; one that is not is put in doubt."""
        reached = await self._links.reaches(upstream.entry.address)
        if not reached:
            self._state.doubt(upstream, "silent and takes no connection")
        return reached

    def _seconds(self, one: work.Work, place: selection.Selection) -> float:
        """Return how long to wait for the next part of an answer."""
        if not one.tries.may_run_elsewhere:
            return max(0.0, one.left)
        match one.tries.retry_safety:
            case request_types.RetrySafety.IDEMPOTENT:
                seconds = max(MIN_ANSWER_SECONDS, ANSWER_FACTOR * place.expected_seconds)
            case request_types.RetrySafety.RESUMABLE if one.reply.begun:
                seconds = GAP_SECONDS
            case _:
                seconds = max(MIN_FIRST_EVENT_SECONDS, FIRST_EVENT_FACTOR * place.expected_seconds)
        return max(0.0, min(seconds, one.left))

    async def _refused(
        self,
        one: work.Work,
        place: selection.Selection,
        head: ports.AnswerHead,
        exchange: http_link.Exchange,
    ) -> work.Outcome:
        upstream = place.upstream
        with anyio.move_on_after(REFUSAL_BODY_SECONDS):
            await exchange.body()
        if not head.misdirected:
            upstream.loading_until = max(upstream.loading_until, clock.now() + LOADING_SECONDS)
            return work.NotRun(f"refused with {head.status}")
        if head.upstream and head.upstream != upstream.name:
            self._state.replaced(upstream, head.upstream)
        else:
            self._state.other_weights(upstream, one.ask.prompt, head.version)
        return work.NotRun("another upstream or other weights")

    async def _whole(
        self,
        one: work.Work,
        place: selection.Selection,
        head: ports.AnswerHead,
        exchange: http_link.Exchange,
    ) -> work.Outcome:
        upstream = place.upstream
        body = await self._next(one, place, exchange.body)
        now = clock.now()
        upstream.record_first_event(one.name, now)
        if head.status >= HTTP_SERVER_ERROR:
            upstream.record_failure(now)
            if one.tries.may_run_elsewhere:
                return work.Failed(f"status {head.status}", head, body)
        one.first_at = now
        self._metrics.time("answer", now - one.arrived)
        await one.reply.whole(head.status, head.headers, body)
        return work.Done()

    async def _stream(
        self,
        one: work.Work,
        place: selection.Selection,
        head: ports.AnswerHead,
        exchange: http_link.Exchange,
    ) -> work.Outcome:
        upstream = place.upstream
        if one.events.last_number is not None or one.reply.begun:
            one.events.resume()
        while True:
            data = await self._next(one, place, exchange.read)
            now = clock.now()
            upstream.record_activity(now)
            if data is None:
                break
            try:
                events = one.events.feed(data)
            except delivery_errors.StreamOrderError as error:
                upstream.record_failure(now)
                return work.Failed(str(error))
            if events:
                await self._hand_on(one, place, head, events)
        if not one.events.at_event_boundary:
            upstream.record_failure(now)
            return work.Failed("ended within an event")
        if not one.reply.begun:
            await one.reply.begin(head.status, head.headers, b"")
        await one.reply.end()
        self._metrics.time("whole_stream", clock.now() - one.arrived)
        return work.Done()

    async def _hand_on(
        self, one: work.Work, place: selection.Selection, head: ports.AnswerHead, events: bytes
    ) -> None:
        if one.name in place.upstream.outstanding:
            place.upstream.record_first_event(one.name, clock.now())
            self._state.read(place, one.ask.prompt)
        if one.reply.begun:
            await one.reply.write(events)
            return
        one.first_at = clock.now()
        self._metrics.time("first_event", one.first_at - one.arrived)
        await one.reply.begin(head.status, head.headers, events)
