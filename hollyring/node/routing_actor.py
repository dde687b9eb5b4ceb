"""The part that owns the router: chooses upstreams, watches its share of them, answers lookups."""

from __future__ import annotations

import collections
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import msgspec

from hollyring.configuration import objects, state
from hollyring.core import identities, invariants, prompt_blocks
from hollyring.delivery import refusal
from hollyring.membership import members
from hollyring.node import actor, connection_pool, upstream_watcher
from hollyring.routing import messages, policies, prefix, requests, router, upstreams

TICK_SECONDS = 0.5

LOOKUP_SECONDS = 0.02
"""Longest wait for the watchers' answers; then the choice is made with what is held."""

UPSTREAM_ENTRY_PREFIX = "upstream/"
"""Prefix of the entries by which a watcher tells all VMs what an upstream serves."""

MILLISECONDS = 1_000

PutEntry = Callable[[str, int, bytes], None]
AskPeer = Callable[[str, object, float], Awaitable[object | None]]


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedAttempt:
    """Where one try goes.

    Parameters
    ----------
    upstream, failure_domain, address
        The upstream.
    salt
        Cache salt of organisation, model and weights version.
    attempt
        The router's number of the try.
    """

    upstream: str
    failure_domain: str
    address: str
    salt: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromptRequest:
    """A request that needs an upstream."""

    organisation: str
    model: str
    version: str
    prompt: bytes
    prompt_tokens: int
    max_tokens: int
    deadline: float
    excluded: frozenset[str] = frozenset()
    avoided_domains: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class _Route:
    request: requests.RouteRequest
    may_look_up: bool
    ticket: actor.PendingReply[RoutedAttempt | requests.Decision]


@dataclasses.dataclass(slots=True)
class _Answers:
    request: requests.RouteRequest
    answers: list[messages.LookupAnswer]


@dataclasses.dataclass(slots=True)
class _LookedUp:
    lookup: messages.Lookup
    ticket: actor.PendingReply[messages.LookupAnswer]


@dataclasses.dataclass(slots=True)
class _FirstToken:
    attempt: int


@dataclasses.dataclass(slots=True)
class _Finished:
    attempt: int
    cached_tokens: int | None


@dataclasses.dataclass(slots=True)
class _Failed:
    attempt: int
    lost: bool


@dataclasses.dataclass(slots=True)
class _Configure:
    configuration: state.Configuration


@dataclasses.dataclass(slots=True)
class _Live:
    vms: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    upstream: str
    value: bytes


@dataclasses.dataclass(slots=True)
class _Seen:
    """What an upstream last said of itself: its life, versions by model, whether it leaves."""

    incarnation: int
    models: dict[str, str]
    leaving: bool


class RoutingActor(actor.Actor):
    """Owns this VM's `router.Router`.

    Parameters
    ----------
    policy
        Name of the placement policy.
    ask_peer
        Asks a VM by name and returns its reply, or None.
    put_entry
        Lets a small value travel to every VM: name, version, value.
    connections
        Connections to upstreams.
    """

    def __init__(
        self,
        me: identities.Incarnation,
        region: str,
        failure_domain: str,
        policy: str,
        counters: invariants.Invariants,
        ask_peer: AskPeer,
        put_entry: PutEntry,
        connections: connection_pool.ConnectionPool,
    ) -> None:
        super().__init__(TICK_SECONDS)
        self._put_entry = put_entry
        self._links = connections
        self._me = me
        self._region = region
        self._failure_domain = failure_domain
        self._router = router.Router(me.name, policies.BY_NAME[policy], counters)
        self._ask_peer = ask_peer
        self._draw = random.Random(f"{me}")
        self._configuration = state.Configuration()
        self._live: list[str] = [me.name]
        self._seen: dict[str, _Seen] = {}
        self._watchers: dict[str, tuple[upstream_watcher.UpstreamWatcher, anyio.CancelScope]] = {}
        self._group: anyio.abc.TaskGroup | None = None
        self._polled: collections.Counter[str] = collections.Counter(polls=0, poll_bytes=0)

    async def run(self) -> None:
        """Handle messages and watch upstreams until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await super().run()

    async def route(self, wanted: PromptRequest) -> RoutedAttempt | refusal.Refusal:
        """Return where the next try goes; the try counts as dispatched from then on."""
        chain = prefix.chain(wanted.organisation, wanted.model, wanted.version, wanted.prompt)
        request = requests.RouteRequest(
            wanted.organisation,
            wanted.model,
            wanted.version,
            chain,
            wanted.prompt_tokens,
            wanted.max_tokens,
            wanted.deadline,
            wanted.excluded,
            wanted.avoided_domains,
        )
        decision = await self._decide(request, may_look_up=True)
        if isinstance(decision, requests.NeedLookup):
            self.post(_Answers(request, await self._look_up(decision)))
            decision = await self._decide(request, may_look_up=False)
        match decision:
            case RoutedAttempt():
                return decision
            case requests.NoUpstream():
                return refusal.make("no_upstream", retry_after=decision.retry_after)
            case _:
                return refusal.make("no_upstream")

    async def answer_lookup(self, lookup: messages.Lookup) -> messages.LookupAnswer:
        """Answer another VM's lookup."""
        ticket: actor.PendingReply[messages.LookupAnswer] = actor.PendingReply()
        self.post(_LookedUp(lookup, ticket))
        return await ticket.wait()

    def record_first_token(self, place: RoutedAttempt) -> None:
        """Take note of a try's first token."""
        self.post(_FirstToken(place.number))

    def record_finished(self, place: RoutedAttempt, cached_tokens: int | None) -> None:
        """Take note of a try's end and the cached tokens that the upstream reported."""
        self.post(_Finished(place.number, cached_tokens))

    def record_failed(self, place: RoutedAttempt, lost: bool) -> None:
        """Take note of a failed try; `lost` if the connection was, not if it was refused."""
        self.post(_Failed(place.number, lost))

    def configure(self, configuration: state.Configuration) -> None:
        """Take in a configuration that came into force."""
        self.post(_Configure(configuration))

    def receive_upstream_entry(self, entry: str, value: bytes) -> None:
        """Take in what another VM's watcher says of an upstream."""
        self.post(_Heard(entry.removeprefix(UPSTREAM_ENTRY_PREFIX), value))

    def set_live_vms(self, vms: list[str]) -> None:
        """Take in the VMs of this region that are alive and share the watching."""
        self.post(_Live(vms))

    def handle(self, message: Any) -> None:
        """Take one message."""
        match message:
            case _Route():
                message.ticket.set(self._route(message))
            case _Answers():
                for answer in message.answers:
                    self._router.observe_answer(message.request, answer, self.now)
            case _LookedUp():
                message.ticket.set(self._router.answer(message.lookup, self.now))
            case _FirstToken():
                self._router.first_token(message.attempt, self.now)
            case _Finished():
                self._router.finished(message.attempt, message.cached_tokens, self.now)
            case _Failed():
                self._router.failed(message.attempt, self.now, lost=message.lost)
            case _Configure():
                self._configuration = message.configuration
                self._configure()
            case _Heard():
                self._hear(message)
            case _Live():
                self._live = message.vms
                self._configure()
            case _:
                self._observe(message)

    def tick(self) -> None:
        """Fetch the snapshots that are due."""
        for name in self._router.due_snapshots(self.now):
            watcher = self._watchers.get(name)
            if watcher is not None and self._group is not None:
                self._group.start_soon(watcher[0].snapshot)

    def dump(self) -> dict[str, Any]:
        """Return the router's state."""
        return self._router.dump() | {"watched": sorted(self._watchers)} | self._polled

    async def _decide(
        self, request: requests.RouteRequest, may_look_up: bool
    ) -> RoutedAttempt | requests.Decision:
        ticket: actor.PendingReply[RoutedAttempt | requests.Decision] = actor.PendingReply()
        self.post(_Route(request, may_look_up, ticket))
        return await ticket.wait()

    def _route(self, message: _Route) -> RoutedAttempt | requests.Decision:
        request = message.request
        decision = self._router.route(request, self.now, self._draw, message.may_look_up)
        if not isinstance(decision, requests.Route):
            return decision
        attempt = self._router.dispatched(request, decision, self.now)
        upstream = self._configuration.upstreams[decision.upstream]
        salt = prompt_blocks.salt(request.organisation, request.model, request.version)
        return RoutedAttempt(
            upstream.name, upstream.failure_domain, upstream.address, salt, attempt
        )

    async def _look_up(self, need: requests.NeedLookup) -> list[messages.LookupAnswer]:
        answers: list[messages.LookupAnswer] = []

        async def ask(addressed: requests.AddressedLookup) -> None:
            reply = await self._ask_peer(addressed.vm, addressed.lookup, LOOKUP_SECONDS)
            if isinstance(reply, messages.LookupAnswer):
                answers.append(reply)

        async with anyio.create_task_group() as group:
            for addressed in need.lookups:
                group.start_soon(ask, addressed)
        return answers

    def _observe(self, message: upstream_watcher.Observation) -> None:
        match message:
            case upstream_watcher.LoadObserved():
                self._learn(message)
                self._router.observe_load(message.upstream, message.report, self.now)
            case upstream_watcher.EventsObserved():
                self._router.observe_events(message.upstream, message.batch, self.now)
            case upstream_watcher.SnapshotObserved():
                self._router.observe_snapshot(message.upstream, message.snapshot, self.now)
            case upstream_watcher.PollFailed():
                return

    def _learn(self, message: upstream_watcher.LoadObserved) -> None:
        seen = _Seen(message.report.incarnation, message.models, message.leaving)
        if self._seen.get(message.upstream) == seen:
            return
        self._seen[message.upstream] = seen
        value = msgspec.msgpack.encode([seen.incarnation, seen.models, seen.leaving])
        if len(value) <= members.MAX_ENTRY_VALUE_BYTES:
            version = int(time.time() * MILLISECONDS)
            self._put_entry(UPSTREAM_ENTRY_PREFIX + message.upstream, version, value)
        self._configure()

    def _hear(self, message: _Heard) -> None:
        if message.upstream in self._watchers:
            return
        try:
            incarnation, models, leaving = msgspec.msgpack.decode(
                message.value, type=tuple[int, dict[str, str], bool]
            )
        except msgspec.MsgspecError:
            return
        self._seen[message.upstream] = _Seen(incarnation, models, leaving)
        self._configure()

    def _configure(self) -> None:
        listed = [
            self._listed(item)
            for item in self._configuration.upstreams.values()
            if item.kind == "engine" and item.region == self._region
        ]
        self._router.configure(listed, self._live, self.now)
        self._watch(set(self._router.watched()))

    def _listed(self, item: objects.Upstream) -> upstreams.Upstream:
        seen = self._seen.get(item.name)
        models = {name: self._configuration.models[name].version for name in item.models}
        if seen is not None and seen.models:
            models = {name: seen.models[name] for name in item.models if name in seen.models}
        near = item.failure_domain == self._failure_domain
        return upstreams.Upstream(
            name=item.name,
            failure_domain=item.failure_domain,
            served=tuple(
                upstreams.ServedModel(model, version) for model, version in models.items()
            ),
            incarnation=seen.incarnation if seen else 0,
            round_trip_seconds=0.0005 if near else 0.001,
            leaving=item.leaving or (seen is not None and seen.leaving),
        )

    def _watch(self, wanted: set[str]) -> None:
        """Start and stop watchers so that exactly `wanted` upstreams are watched."""
        for name in [name for name in self._watchers if name not in wanted]:
            _, scope = self._watchers.pop(name)
            scope.cancel()
        if self._group is None:
            return
        for name in wanted - set(self._watchers):
            address = self._configuration.upstreams[name].address
            watcher = upstream_watcher.UpstreamWatcher(
                name,
                address,
                self.post,
                self._router.events_after,
                lambda: len(self._watchers),
                self._polled,
                self._links,
            )
            scope = anyio.CancelScope()
            self._watchers[name] = (watcher, scope)
            self._group.start_soon(_run_within, scope, watcher.run)


async def _run_within(scope: anyio.CancelScope, run: Callable[[], Awaitable[None]]) -> None:
    with scope:
        await run()
