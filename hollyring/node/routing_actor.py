"""Actor that owns the router: selects upstreams, watches its share of them, answers lookups.

Lookups come from other VMs and ask about the upstreams that this VM watches.
"""

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

LOOKUP_TIMEOUT_SECONDS = 0.02
"""Longest wait for lookup answers of other VMs; the router decides without the missing ones."""

UPSTREAM_ENTRY_PREFIX = "upstream/"
"""Prefix of the gossip entries by which the watching VM publishes what an upstream serves."""

MILLISECONDS = 1_000

PutEntry = Callable[[str, int, bytes], None]
AskPeer = Callable[[str, object, float], Awaitable[object | None]]


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedAttempt:
    """An attempt that the router has assigned to an upstream.

    Parameters
    ----------
    upstream, failure_domain, address
        Name, failure domain and address of the upstream.
    salt
        Cache salt of the organisation, the model and the weights version.
    number
        Number of the attempt in the router.
    """

    upstream: str
    failure_domain: str
    address: str
    salt: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromptRequest:
    """A request with a prompt, to be routed to an upstream.

    The fields other than `prompt` are as in `hollyring.routing.requests.RouteRequest`.

    Parameters
    ----------
    prompt
        Rendered prompt.
    """

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
    reply: actor.PendingReply[RoutedAttempt | requests.Decision]


@dataclasses.dataclass(slots=True)
class _LookupAnswers:
    request: requests.RouteRequest
    answers: list[messages.LookupAnswer]


@dataclasses.dataclass(slots=True)
class _AnswerLookup:
    lookup: messages.Lookup
    reply: actor.PendingReply[messages.LookupAnswer]


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
class _LiveVMs:
    vms: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class _UpstreamEntry:
    upstream: str
    value: bytes


@dataclasses.dataclass(slots=True)
class _UpstreamInfo:
    """Latest report of an upstream: incarnation, versions by model, and whether it is leaving."""

    incarnation: int
    models: dict[str, str]
    leaving: bool


class RoutingActor(actor.Actor):
    """Owner of this VM's `router.Router`.

    Parameters
    ----------
    policy
        Name of the routing policy.
    ask_peer
        Sends a request to a VM by name and returns its reply, or None.
    put_entry
        Gossips a small value to every VM; called with name, version and value.
    connections
        Connection pool for the upstreams.
    """

    def __init__(
        self,
        incarnation: identities.Incarnation,
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
        self._connections = connections
        self._incarnation = incarnation
        self._region = region
        self._failure_domain = failure_domain
        self._router = router.Router(incarnation.name, policies.BY_NAME[policy], counters)
        self._ask_peer = ask_peer
        self._rng = random.Random(f"{incarnation}")
        self._configuration = state.Configuration()
        self._live_vms: list[str] = [incarnation.name]
        self._upstream_info: dict[str, _UpstreamInfo] = {}
        self._watchers: dict[str, tuple[upstream_watcher.UpstreamWatcher, anyio.CancelScope]] = {}
        self._task_group: anyio.abc.TaskGroup | None = None
        self._poll_counts: collections.Counter[str] = collections.Counter(polls=0, poll_bytes=0)

    async def run(self) -> None:
        """Handle messages and watch upstreams until cancelled."""
        async with anyio.create_task_group() as group:
            self._task_group = group
            await super().run()

    async def route(self, prompt_request: PromptRequest) -> RoutedAttempt | refusal.Refusal:
        """Return the next attempt of a request, which then counts as dispatched, or a refusal."""
        chain = prefix.chain(
            prompt_request.organisation,
            prompt_request.model,
            prompt_request.version,
            prompt_request.prompt,
        )
        request = requests.RouteRequest(
            prompt_request.organisation,
            prompt_request.model,
            prompt_request.version,
            chain,
            prompt_request.prompt_tokens,
            prompt_request.max_tokens,
            prompt_request.deadline,
            prompt_request.excluded,
            prompt_request.avoided_domains,
        )
        decision = await self._decide(request, may_look_up=True)
        if isinstance(decision, requests.NeedLookup):
            self.post(_LookupAnswers(request, await self._look_up(decision)))
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
        reply: actor.PendingReply[messages.LookupAnswer] = actor.PendingReply()
        self.post(_AnswerLookup(lookup, reply))
        return await reply.wait()

    def record_first_token(self, attempt: RoutedAttempt) -> None:
        """Record the first token of an attempt."""
        self.post(_FirstToken(attempt.number))

    def record_finished(self, attempt: RoutedAttempt, cached_tokens: int | None) -> None:
        """Record the end of an attempt and the cached tokens that the upstream reported."""
        self.post(_Finished(attempt.number, cached_tokens))

    def record_failed(self, attempt: RoutedAttempt, lost: bool) -> None:
        """Record a failed attempt.

        Parameters
        ----------
        lost
            True if the connection was lost, False if the upstream refused the request.
        """
        self.post(_Failed(attempt.number, lost))

    def configure(self, configuration: state.Configuration) -> None:
        """Apply a configuration that came into force."""
        self.post(_Configure(configuration))

    def receive_upstream_entry(self, entry: str, value: bytes) -> None:
        """Receive the gossip entry of an upstream that another VM watches."""
        self.post(_UpstreamEntry(entry.removeprefix(UPSTREAM_ENTRY_PREFIX), value))

    def set_live_vms(self, vms: list[str]) -> None:
        """Set the live VMs of this region, which share the upstreams to watch."""
        self.post(_LiveVMs(vms))

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case _Route():
                message.reply.set(self._route(message))
            case _LookupAnswers():
                for answer in message.answers:
                    self._router.observe_answer(message.request, answer, self.now)
            case _AnswerLookup():
                message.reply.set(self._router.answer(message.lookup, self.now))
            case _FirstToken():
                self._router.first_token(message.attempt, self.now)
            case _Finished():
                self._router.finished(message.attempt, message.cached_tokens, self.now)
            case _Failed():
                self._router.failed(message.attempt, self.now, lost=message.lost)
            case _Configure():
                self._configuration = message.configuration
                self._configure()
            case _UpstreamEntry():
                self._apply_upstream_entry(message)
            case _LiveVMs():
                self._live_vms = message.vms
                self._configure()
            case _:
                self._observe(message)

    def tick(self) -> None:
        """Fetch the snapshots that are due."""
        for name in self._router.due_snapshots(self.now):
            watcher = self._watchers.get(name)
            if watcher is not None and self._task_group is not None:
                self._task_group.start_soon(watcher[0].snapshot)

    def dump(self) -> dict[str, Any]:
        """Return the state of the router, the watched upstreams and the poll counts."""
        return self._router.dump() | {"watched": sorted(self._watchers)} | self._poll_counts

    async def _decide(
        self, request: requests.RouteRequest, may_look_up: bool
    ) -> RoutedAttempt | requests.Decision:
        reply: actor.PendingReply[RoutedAttempt | requests.Decision] = actor.PendingReply()
        self.post(_Route(request, may_look_up, reply))
        return await reply.wait()

    def _route(self, message: _Route) -> RoutedAttempt | requests.Decision:
        request = message.request
        decision = self._router.route(request, self.now, self._rng, message.may_look_up)
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

        async def look_up(addressed: requests.AddressedLookup) -> None:
            reply = await self._ask_peer(addressed.vm, addressed.lookup, LOOKUP_TIMEOUT_SECONDS)
            if isinstance(reply, messages.LookupAnswer):
                answers.append(reply)

        async with anyio.create_task_group() as group:
            for addressed in need.lookups:
                group.start_soon(look_up, addressed)
        return answers

    def _observe(self, message: upstream_watcher.Observation) -> None:
        match message:
            case upstream_watcher.LoadObserved():
                self._record_upstream(message)
                self._router.observe_load(message.upstream, message.report, self.now)
            case upstream_watcher.EventsObserved():
                self._router.observe_events(message.upstream, message.batch, self.now)
            case upstream_watcher.SnapshotObserved():
                self._router.observe_snapshot(message.upstream, message.snapshot, self.now)
            case upstream_watcher.PollFailed():
                return

    def _record_upstream(self, message: upstream_watcher.LoadObserved) -> None:
        info = _UpstreamInfo(message.report.incarnation, message.models, message.leaving)
        if self._upstream_info.get(message.upstream) == info:
            return
        self._upstream_info[message.upstream] = info
        value = msgspec.msgpack.encode([info.incarnation, info.models, info.leaving])
        if len(value) <= members.MAX_ENTRY_VALUE_BYTES:
            version = int(time.time() * MILLISECONDS)
            self._put_entry(UPSTREAM_ENTRY_PREFIX + message.upstream, version, value)
        self._configure()

    def _apply_upstream_entry(self, message: _UpstreamEntry) -> None:
        if message.upstream in self._watchers:
            return
        try:
            incarnation, models, leaving = msgspec.msgpack.decode(
                message.value, type=tuple[int, dict[str, str], bool]
            )
        except msgspec.MsgspecError:
            return
        self._upstream_info[message.upstream] = _UpstreamInfo(incarnation, models, leaving)
        self._configure()

    def _configure(self) -> None:
        configured = [
            self._to_routing_upstream(item)
            for item in self._configuration.upstreams.values()
            if item.kind == "engine" and item.region == self._region
        ]
        self._router.configure(configured, self._live_vms, self.now)
        self._watch(set(self._router.watched()))

    def _to_routing_upstream(self, item: objects.Upstream) -> upstreams.Upstream:
        info = self._upstream_info.get(item.name)
        models = {name: self._configuration.models[name].version for name in item.models}
        if info is not None and info.models:
            models = {name: info.models[name] for name in item.models if name in info.models}
        same_domain = item.failure_domain == self._failure_domain
        return upstreams.Upstream(
            name=item.name,
            failure_domain=item.failure_domain,
            served=tuple(
                upstreams.ServedModel(model, version) for model, version in models.items()
            ),
            incarnation=info.incarnation if info else 0,
            round_trip_seconds=0.0005 if same_domain else 0.001,
            leaving=item.leaving or (info is not None and info.leaving),
        )

    def _watch(self, names: set[str]) -> None:
        """Start and stop watchers so that exactly the upstreams `names` are watched."""
        for name in [name for name in self._watchers if name not in names]:
            _, scope = self._watchers.pop(name)
            scope.cancel()
        if self._task_group is None:
            return
        for name in names - set(self._watchers):
            address = self._configuration.upstreams[name].address
            watcher = upstream_watcher.UpstreamWatcher(
                name,
                address,
                self.post,
                self._router.events_after,
                lambda: len(self._watchers),
                self._poll_counts,
                self._connections,
            )
            scope = anyio.CancelScope()
            self._watchers[name] = (watcher, scope)
            self._task_group.start_soon(_run_within, scope, watcher.run)


async def _run_within(scope: anyio.CancelScope, run: Callable[[], Awaitable[None]]) -> None:
    with scope:
        await run()
