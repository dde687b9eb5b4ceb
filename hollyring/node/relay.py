"""One request from top to bottom: route, rights, rate, place, tries, answer.

The truth of a refusal rests on one fact, `_Work.reached`: whether a byte of the request may have
reached an upstream that did not say that it was not run. Once it is set, no answer says "not run".
"""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Awaitable, Callable

import anyio

from hollyring.configuration import deployment
from hollyring.core import asks
from hollyring.delivery import errors as delivery_errors
from hollyring.delivery import event_stream, refusal
from hollyring.node import clock, links, logs, metrics, ports, replies, state
from hollyring.routing import placing, serving

HTTP_OK = 200
HTTP_SERVER_ERROR = 500

MAX_SENDS = 5
"""Most times that one attempt is sent, refusals by upstreams included."""

MIN_SECONDS_LEFT = 0.03
"""With less time than this nothing is sent."""

ANSWER_FACTOR = 4.0
MIN_ANSWER_SECONDS = 0.25
"""An idempotent call is sent elsewhere after this time, or `ANSWER_FACTOR` times the expected."""

FIRST_EVENT_FACTOR = 4.0
MIN_FIRST_EVENT_SECONDS = 1.2
GAP_SECONDS = 1.0
"""A resumable stream goes on elsewhere when its silent upstream sends nothing for so long."""

SILENT_SECONDS = 0.35
"""An upstream that sends nothing for so long is asked for a connection to see if it is there."""

WAIT_TARGETS = 0.8
"""Longest wait in line at an upstream, in the shortest target of its service's routes.

A longer line serves nobody: what waits there takes the memory in which shared prompts are kept, and
they have to be read again.
"""

LOADING_SECONDS = 0.3
"""An upstream that refused a request for its state is left alone for so long."""

FINAL_MARGIN_SECONDS = 0.02
"""Time before the end of a caller's patience at which it gets its final answer."""


T = typing.TypeVar("T")


class _GivenUpError(Exception):
    """The request ends with a refusal."""

    def __init__(self, why: refusal.Refusal) -> None:
        super().__init__(why.code)
        self.why = why


class _LateError(Exception):
    """The next part of an answer did not come in the try's time."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Failed:
    """A try that the upstream may have run.

    Parameters
    ----------
    why
        For the log.
    answer, body
        The upstream's own failure, if it gave one.
    """

    why: str
    answer: ports.AnswerHead | None = None
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class _NotRun:
    """A try that was surely not run."""

    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Done:
    """The caller has its answer."""


_Outcome = _Done | _Failed | _NotRun


@dataclasses.dataclass(slots=True)
class _Work:
    ask: asks.Ask
    reply: replies.Reply
    route: deployment.Route
    organisation: deployment.Organisation | None
    service: deployment.Service
    arrived: float
    deadline: float
    rank: int
    shortest_target: float
    events: event_stream.EventStream
    reached: bool = False
    ran: int = 0
    sends: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    place: placing.Place | None = None
    first_at: float = 0.0
    last: _Failed | None = None

    @property
    def left(self) -> float:
        """Seconds until the caller must have its final answer."""
        return self.deadline - clock.now()

    @property
    def name(self) -> str:
        """Name of the attempt."""
        return self.ask.name


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
        self._codec = codec
        self._links = connections
        self._metrics = counters
        self._log = logs.Log("request")

    async def serve(self, ask: asks.Ask, reply: replies.Reply) -> None:
        """Answer one attempt.

        Raises
        ------
        BrokenOffError
            If the answer has begun and can't be completed.
        """
        arrived = clock.now()
        self._metrics.count("requests")
        work = self._accept(ask, reply, arrived)
        if isinstance(work, refusal.Refusal):
            self._say_refused(ask, work, arrived)
            await reply.refuse(work)
            return
        try:
            await self._carry(work)
        except _GivenUpError as error:
            why = error.why
            self._say_end(work, why.code)
            await reply.refuse(why)
        except anyio.get_cancelled_exc_class():
            self._say_end(work, "caller left")
            raise

    def _accept(
        self, ask: asks.Ask, reply: replies.Reply, arrived: float
    ) -> _Work | refusal.Refusal:
        """Return the work, or why it is refused before anything is sent."""
        current = self._state.deployment
        if current is None:
            return refusal.make("configuration_stale", 0.3)
        route = current.route_for(ask.host, ask.path)
        if route is None:
            return refusal.make("unknown_route")
        organisation = current.organisation_of(ask.key) if ask.key else None
        if organisation is None and current.secured and not route.open_to_all:
            return refusal.make("invalid_key")
        if organisation is not None:
            wait = self._state.admit(organisation, ask.prompt, arrived)
            if wait:
                return refusal.make("rate_limited", wait)
        service = current.services.get(route.service_for(ask.name))
        if service is None:
            return refusal.make("no_upstream", placing.NO_UPSTREAM_SECONDS)
        self._state.retries(service.name).attempt(arrived)
        rank = route.rank
        if organisation is not None and organisation.rank is not None:
            rank = organisation.rank
        return _Work(
            ask,
            reply,
            route,
            organisation,
            service,
            arrived,
            arrived + min(ask.patience, route.timeout) - FINAL_MARGIN_SECONDS,
            rank,
            current.shortest_target(service.name, route.target),
            event_stream.EventStream(ask.resume_after),
        )

    async def _carry(self, work: _Work) -> None:
        """Try upstreams until the caller has its answer."""
        while True:
            place = self._place(work)
            work.place = place
            work.sends += 1
            outcome = await self._attempt(work, place)
            if isinstance(outcome, _Done):
                self._say_end(work, "answered")
                return
            self._say_failed(work, outcome)
            work.tried.add(place.upstream.name)
            if isinstance(outcome, _Failed):
                work.reached = True
                work.ran += 1
                work.last = outcome
            if not self._may_repeat(work, outcome):
                await self._give_up(work)
                return

    def _place(self, work: _Work) -> placing.Place:
        left = work.left
        if left < MIN_SECONDS_LEFT:
            raise _GivenUpError(_truthful(work, "deadline_exceeded"))
        isolated = work.organisation is not None and work.organisation.isolated
        wanted = placing.Wanted(
            work.name,
            work.service.name,
            work.ask.prompt,
            work.organisation.name if isolated and work.organisation else "",
            self._state.domain,
            left,
            work.route.target,
            work.shortest_target * WAIT_TARGETS,
            frozenset(work.tried),
        )
        place = self._state.placing.place(wanted, clock.now())
        if isinstance(place, placing.NoPlace) and work.tried and not work.reached:
            fewer = dataclasses.replace(wanted, excluded=frozenset())
            place = self._state.placing.place(fewer, clock.now())
        if isinstance(place, placing.NoPlace):
            code = "overloaded" if place.busy else "no_upstream"
            raise _GivenUpError(_truthful(work, code, place.retry_after))
        return place

    def _may_repeat(self, work: _Work, outcome: _NotRun | _Failed) -> bool:
        if work.sends >= MAX_SENDS or work.left < MIN_SECONDS_LEFT:
            return False
        if isinstance(outcome, _Failed):
            if work.route.repeat is asks.Repeat.ONCE:
                return False
            if work.ran >= work.route.max_upstreams:
                return False
            if work.reply.begun and work.route.repeat is not asks.Repeat.RESUMABLE:
                return False
        return self._state.retries(work.service.name).retry(clock.now())

    async def _give_up(self, work: _Work) -> None:
        """Give the caller the final answer after the last try."""
        last = work.last
        if last is not None and last.answer is not None and not work.reply.begun:
            self._say_end(work, "upstream's failure")
            await work.reply.whole(last.answer.status, last.answer.headers, last.body)
            return
        if work.left < MIN_SECONDS_LEFT:
            raise _GivenUpError(_truthful(work, "deadline_exceeded"))
        raise _GivenUpError(_truthful(work, "no_upstream"))

    async def _attempt(self, work: _Work, place: placing.Place) -> _Outcome:
        upstream = place.upstream
        address = upstream.entry.address
        long_answer = placing.is_long(work.ask.prompt)
        upstream.sent(work.name, place.unread_tokens, place.expected, clock.now(), long_answer)
        try:
            with anyio.fail_after(max(0.0, work.left)):
                link = await self._links.take(
                    address, self._state.connections(work.service), _fresh_seconds(work)
                )
        except links.NotSentError as error:
            upstream.ended(work.name, long_answer)
            if not isinstance(error, links.TooManyError):
                self._state.doubt(upstream, str(error))
            return _NotRun(str(error))
        except TimeoutError:
            upstream.ended(work.name, long_answer)
            return _NotRun("deadline while connecting")
        try:
            exchange = link.send(self._request(work, place), self._codec.belongs(work.name))
            return await self._receive(work, place, exchange)
        except links.NotSentError as error:
            return _NotRun(str(error))
        except _LateError as error:
            return _Failed(str(error))
        except links.LinkError as error:
            upstream.failed(clock.now())
            return _Failed(str(error))
        finally:
            upstream.ended(work.name, long_answer)
            self._links.give_back(address, link)

    def _request(self, work: _Work, place: placing.Place) -> bytes:
        sending = ports.Sending(
            upstream=place.upstream.name,
            address=place.upstream.entry.address,
            seconds=work.left,
            organisation=work.organisation.name if work.organisation else "",
            rank=work.rank,
            version=place.version,
            salt=place.salt,
            fetch_from=place.fetch_from,
            save_to=place.save_to,
            resume_after=work.events.last,
        )
        return self._codec.request(work.ask, sending)

    async def _receive(
        self, work: _Work, place: placing.Place, exchange: links.Exchange
    ) -> _Outcome:
        """Take the answer; every wait is bounded by the caller's patience or the try's."""
        upstream = place.upstream
        sent_at = clock.now()
        head = self._codec.head(await self._next(work, place, exchange.head))
        upstream.heard(clock.now())
        if head.misdirected or head.not_run:
            return await self._refused(work, place, head, exchange)
        if not head.genuine:
            upstream.failed(clock.now())
            return _Failed(f"status {head.status} without a signature")
        if work.ask.prompt is not None and head.version:
            upstream.learn_version(work.ask.prompt.model, head.version)
        if work.route.streaming and head.status == HTTP_OK:
            return await self._stream(work, place, head, exchange)
        return await self._whole(work, place, head, exchange, sent_at)

    async def _next(self, work: _Work, place: placing.Place, call: Callable[[], Awaitable[T]]) -> T:
        """Return the next part of an answer.

        Raises
        ------
        _LateError
            If it did not come in the try's time.
        """
        upstream = place.upstream
        since = clock.now()
        end = since + self._try_seconds(work, place)
        checked = False
        while True:
            until = end if checked else min(end, since + SILENT_SECONDS)
            with anyio.move_on_after(max(0.0, until - clock.now())):
                return await call()
            now = clock.now()
            if upstream.heard_at > since:
                since = upstream.heard_at
                checked = False
                if work.route.repeat is asks.Repeat.RESUMABLE:
                    end = since + self._try_seconds(work, place)
            elif not checked:
                checked = True
                if not await self._reaches(upstream) and self._has_other_try(work):
                    break
            if now >= min(end, work.deadline):
                break
        if checked:
            upstream.failed(clock.now())
        raise _LateError("no answer in time")

    async def _reaches(self, upstream: serving.Upstream) -> bool:
        """Tell whether a silent upstream is still there; one that is not is put in doubt."""
        reached = await self._links.reaches(upstream.entry.address)
        if not reached:
            self._state.doubt(upstream, "silent and takes no connection")
        return reached

    def _has_other_try(self, work: _Work) -> bool:
        """Tell whether another upstream may run the request after this one did."""
        once = work.route.repeat is asks.Repeat.ONCE
        return not once and work.ran + 1 < work.route.max_upstreams

    def _try_seconds(self, work: _Work, place: placing.Place) -> float:
        """Return how long to wait for the next part of an answer."""
        if not self._has_other_try(work):
            return max(0.0, work.left)
        match work.route.repeat:
            case asks.Repeat.IDEMPOTENT:
                seconds = max(MIN_ANSWER_SECONDS, ANSWER_FACTOR * place.expected)
            case asks.Repeat.RESUMABLE if work.reply.begun:
                seconds = GAP_SECONDS
            case _:
                seconds = max(MIN_FIRST_EVENT_SECONDS, FIRST_EVENT_FACTOR * place.expected)
        return max(0.0, min(seconds, work.left))

    async def _refused(
        self,
        work: _Work,
        place: placing.Place,
        head: ports.AnswerHead,
        exchange: links.Exchange,
    ) -> _Outcome:
        upstream = place.upstream
        with anyio.move_on_after(MIN_SECONDS_LEFT):
            await exchange.body()
        if not head.misdirected:
            upstream.loading_until = max(upstream.loading_until, clock.now() + LOADING_SECONDS)
            return _NotRun(f"refused with {head.status}")
        if head.upstream and head.upstream != upstream.name:
            self._state.replaced(upstream, head.upstream)
        else:
            self._state.other_weights(upstream, work.ask.prompt, head.version)
        return _NotRun("another upstream or other weights")

    async def _whole(
        self,
        work: _Work,
        place: placing.Place,
        head: ports.AnswerHead,
        exchange: links.Exchange,
        sent_at: float,
    ) -> _Outcome:
        upstream = place.upstream
        body = await self._next(work, place, exchange.body)
        now = clock.now()
        upstream.began(work.name, now)
        if head.status >= HTTP_SERVER_ERROR:
            failed = _Failed(f"status {head.status}", head, body)
            if work.ran + 1 < work.route.max_upstreams:
                return failed
            upstream.failed(now)
        work.first_at = now
        self._metrics.time("answer", now - work.arrived)
        await work.reply.whole(head.status, head.headers, body)
        return _Done()

    async def _stream(
        self,
        work: _Work,
        place: placing.Place,
        head: ports.AnswerHead,
        exchange: links.Exchange,
    ) -> _Outcome:
        upstream = place.upstream
        if work.events.last is not None or work.reply.begun:
            work.events.resume()
        while True:
            data = await self._next(work, place, exchange.read)
            now = clock.now()
            upstream.heard(now)
            if data is None:
                break
            try:
                events = work.events.take(data)
            except delivery_errors.StreamOrderError as error:
                upstream.failed(now)
                return _Failed(str(error))
            if events:
                await self._hand_on(work, place, head, events)
        if not work.events.whole:
            upstream.failed(now)
            return _Failed("ended within an event")
        if not work.reply.begun:
            await work.reply.begin(head.status, head.headers, b"")
        await work.reply.end()
        self._metrics.time("whole_stream", clock.now() - work.arrived)
        return _Done()

    async def _hand_on(
        self, work: _Work, place: placing.Place, head: ports.AnswerHead, events: bytes
    ) -> None:
        if work.name in place.upstream.outstanding:
            place.upstream.began(work.name, clock.now())
            self._state.read(place, work.ask.prompt)
        if work.reply.begun:
            await work.reply.write(events)
            return
        work.first_at = clock.now()
        self._metrics.time("first_event", work.first_at - work.arrived)
        await work.reply.begin(head.status, head.headers, events)

    def _say_refused(self, ask: asks.Ask, why: refusal.Refusal, arrived: float) -> None:
        self._metrics.count(f"refused_{why.code}")
        current = self._state.deployment
        self._log.say(
            "refused",
            request=ask.name,
            code=why.code,
            retry_after=round(why.retry_after, 3),
            configuration=current.version if current else 0,
            configuration_age=self._state.store_age(arrived),
        )

    def _say_failed(self, work: _Work, outcome: _NotRun | _Failed) -> None:
        not_run = isinstance(outcome, _NotRun)
        self._metrics.count("tries_not_run" if not_run else "tries_failed")
        assert work.place is not None
        self._log.say(
            "try failed",
            request=work.name,
            upstream=work.place.upstream.name,
            why=outcome.why,
            not_run=not_run,
            sends=work.sends,
            left=round(work.left, 3),
        )

    def _say_end(self, work: _Work, outcome: str) -> None:
        now = clock.now()
        self._metrics.count(f"ended_{outcome.replace(' ', '_')}")
        place = work.place
        self._log.say(
            "ended",
            request=work.name,
            outcome=outcome,
            route=work.route.name,
            organisation=work.organisation.name if work.organisation else "",
            upstream=place.upstream.name if place else "",
            version=place.version if place else 0,
            unread=place.unread_tokens if place else 0,
            fetched=place.fetched_tokens if place else 0,
            likely=work.ask.prompt.likely_tokens if work.ask.prompt else 0,
            expected=round(place.expected, 4) if place else 0.0,
            first=round(work.first_at - work.arrived, 4) if work.first_at else 0.0,
            seconds=round(now - work.arrived, 4),
            sends=work.sends,
            reached=work.reached,
            configuration=self._state.version,
        )


def _fresh_seconds(work: _Work) -> float:
    """Return for how long an idle connection must last that the request may be sent on."""
    return 1.0 if work.route.repeat is asks.Repeat.ONCE else 0.0


def _truthful(work: _Work, code: str, retry_after: float | None = None) -> refusal.Refusal:
    """Return a refusal that claims "not run" only if that is sure."""
    if work.reached:
        code = "deadline_exceeded" if work.left < MIN_SECONDS_LEFT else "upstream_failed"
        return refusal.make(code, 0.0)
    if code == "deadline_exceeded":
        return refusal.make("overloaded", retry_after)
    return refusal.make(code, retry_after)
