"""Discrete-event simulation of routing decisions on a workload.

The VMs' routers are real; each upstream is a simulated LRU cache and prefill queue. The results
guide the design and don't measure the product: `hollyring.experiments.routing` measures real VM
processes and inference server stand-ins.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterator

from hollyring.core import invariants, prompt_blocks
from hollyring.experiments import routing_report, routing_workload
from hollyring.routing import (
    events,
    index,
    messages,
    policies,
    prefix,
    requests,
    router,
    upstreams,
)

ROUND_TRIP_SECONDS = 0.001
REPORT_SECONDS = 0.5
"""Time between two load reports of an upstream."""

POLL_SECONDS = 0.05
"""Time between two polls of an upstream's cache events."""

DECODE_SECONDS = 0.02
"""Time per token of the answer."""

FRAME_BYTES = 40
"""Bytes that framing, addresses and numbers add to a message."""

STATE_BYTES = 60
"""Bytes of one upstream's state in the answer to a lookup."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Size, load and faults of a simulation.

    Parameters
    ----------
    vms, upstreams, failure_domains
        Number of each.
    cache_blocks, idle_seconds
        Capacity of an upstream's cache, and the time after which an unused block is evicted.
    prefill_tokens_per_second
        Prefill speed of an upstream.
    event_lag_seconds, event_loss
        Delay of cache events, and the probability that one is lost.
    load_lag_seconds
        Delay of load reports.
    rate, seconds
        Requests per second, and duration of the traffic.
    crash_at
        Time at which the first upstream crashes and restarts.
    slow_at, slow_factor
        Time from which the last upstream is slower, and the factor.
    lookups
        Whether VMs look up cached prefixes at each other.
    index_enabled
        Whether VMs poll cache events and index them.
    perfect_index
        Whether each VM's index always equals the actual state of all caches.
    """

    vms: int = 9
    upstreams: int = 6
    failure_domains: int = 3
    cache_blocks: int = 400
    idle_seconds: float = 30.0
    prefill_tokens_per_second: float = 8000.0
    event_lag_seconds: float = 0.2
    event_loss: float = 0.01
    load_lag_seconds: float = 0.5
    rate: float = 12.0
    seconds: float = 120.0
    crash_at: float = 80.0
    slow_at: float = math.inf
    slow_factor: float = 5.0
    lookups: bool = True
    index_enabled: bool = True
    perfect_index: bool = False


@dataclasses.dataclass(slots=True)
class _Job:
    """A request with the index of its VM, and the number of its attempt at that VM's router."""

    arrival: routing_workload.Arrival
    request: requests.RouteRequest
    vm: int
    tries: int = 0
    attempt: int = 0
    incarnation: int = 0


class _Upstream:
    """An LRU cache of blocks and a queue of prefills in simulated time."""

    def __init__(self, name: str, settings: Settings, rng: random.Random) -> None:
        self.name = name
        self.incarnation = 1
        self.blocks: collections.OrderedDict[int, float] = collections.OrderedDict()
        self.queue: collections.deque[_Job] = collections.deque()
        self.busy = False
        self.sequence = 0
        self.published: list[tuple[float, events.CacheEvent]] = []
        self._settings = settings
        self._rng = rng

    def cached_blocks(self, hashes: tuple[int, ...]) -> int:
        """Return the number of leading blocks of a chain that are cached."""
        for count, block_hash in enumerate(hashes):
            if block_hash not in self.blocks:
                return count
        return len(hashes)

    def touch(self, hashes: tuple[int, ...], now: float) -> None:
        """Record the use of cached blocks, the leading one last so that it is evicted last."""
        for block_hash in reversed(hashes):
            self.blocks[block_hash] = now
            self.blocks.move_to_end(block_hash)

    def store(self, hashes: tuple[int, ...], now: float) -> None:
        """Cache the blocks of a prompt and evict the least recently used ones above capacity."""
        added = [block_hash for block_hash in hashes if block_hash not in self.blocks]
        self.touch(hashes, now)
        self._publish(events.EventKind.STORED, added, now)
        removed = []
        while len(self.blocks) > self._settings.cache_blocks:
            removed.append(self.blocks.popitem(last=False)[0])
        self._publish(events.EventKind.REMOVED, removed, now)

    def evict_idle(self, now: float) -> None:
        """Evict the blocks that have been unused for the idle time."""
        removed = []
        while self.blocks:
            block_hash = next(iter(self.blocks))
            if self.blocks[block_hash] >= now - self._settings.idle_seconds:
                break
            del self.blocks[block_hash]
            removed.append(block_hash)
        self._publish(events.EventKind.REMOVED, removed, now)

    def crash(self) -> list[_Job]:
        """Restart with an empty cache and queue; return the interrupted requests."""
        interrupted = list(self.queue)
        self.queue.clear()
        self.blocks.clear()
        self.published.clear()
        self.busy = False
        self.sequence = 0
        self.incarnation += 1
        return interrupted

    def pop_events(self, now: float) -> events.EventBatch:
        """Remove and return the events that are visible to polls at `now`."""
        ready = [e for at, e in self.published if at <= now - self._settings.event_lag_seconds]
        self.published = self.published[len(ready) :]
        return events.EventBatch(self.incarnation, tuple(ready))

    def _publish(self, change: events.EventKind, hashes: list[int], now: float) -> None:
        if not hashes:
            return
        self.sequence += 1
        if self._rng.random() >= self._settings.event_loss:
            event = events.CacheEvent(self.sequence, change, tuple(hashes))
            self.published.append((now, event))


class _PerfectIndex(index.CacheIndex):
    """An index that always equals the actual caches of all upstreams, as the reference."""

    def __init__(self, fleet: dict[str, _Upstream]) -> None:
        super().__init__()
        self._fleet = fleet

    @property
    def watched(self) -> list[str]:
        """Names of all upstreams."""
        return list(self._fleet)

    def cached_prefix(self, upstream: str, hashes: tuple[int, ...]) -> index.CachedPrefix | None:  # type: ignore[override]
        """Return the prefix of `hashes` that the upstream actually has cached."""
        simulated = self._fleet[upstream]
        return index.CachedPrefix(simulated.cached_blocks(hashes), 1.0, simulated.incarnation)


class Simulation:
    """Simulation of one placement policy on one workload.

    Parameters
    ----------
    policy
        The placement policy.
    workload
        Workload to send.
    settings
        Size, load and faults.
    seed
        Seed of all random choices.
    """

    def __init__(
        self,
        policy: policies.Policy,
        workload: routing_workload.Workload,
        settings: Settings,
        seed: int,
    ) -> None:
        self._settings = settings
        self._workload = workload
        self._seed = seed
        self._rng = random.Random(seed + 2)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        names = [f"ls-{number + 1}" for number in range(settings.upstreams)]
        self._fleet = {name: _Upstream(name, settings, self._rng) for name in names}
        self._invariants = invariants.Invariants()
        served = (upstreams.ServedModel(routing_workload.MODEL, routing_workload.VERSION),)
        configured = [
            upstreams.Upstream(
                name,
                f"domain-{number % settings.failure_domains}",
                served,
                prefill_tokens_per_second=settings.prefill_tokens_per_second,
            )
            for number, name in enumerate(names)
        ]
        self._vms = [f"vm-{number + 1}" for number in range(settings.vms)]
        self._routers = []
        for vm in self._vms:
            block_index = _PerfectIndex(self._fleet) if settings.perfect_index else None
            vm_router = router.Router(vm, policy, self._invariants, block_index)
            vm_router.configure(configured, self._vms, 0.0)
            self._routers.append(vm_router)
        self.counts = routing_report.Tally()

    def run(self) -> routing_report.Tally:
        """Simulate the whole workload and return the counts."""
        settings = self._settings
        arrivals = routing_workload.arrivals(
            self._workload, settings.rate, settings.seconds, self._seed
        )
        self._next_arrival(arrivals)
        self._schedule_periodic(REPORT_SECONDS, self._report_loads)
        if settings.index_enabled:
            self._schedule_periodic(POLL_SECONDS, self._poll_events)
        if 0 < settings.crash_at < settings.seconds:
            self._schedule(settings.crash_at, lambda: self._crash(next(iter(self._fleet))))
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        for vm_router in self._routers:
            self.counts.lookups += vm_router.lookups_sent
        return self.counts

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), action))

    def _schedule_periodic(self, seconds: float, action: Callable[[], None]) -> None:
        def repeat() -> None:
            action()
            if self._now < self._settings.seconds + 10.0:
                self._schedule(self._now + seconds, repeat)

        self._schedule(seconds, repeat)

    def _next_arrival(self, arrivals: Iterator[routing_workload.Arrival]) -> None:
        arrival = next(arrivals, None)
        if arrival is None:
            return

        def arrive() -> None:
            self._arrive(arrival)
            self._next_arrival(arrivals)

        self._schedule(arrival.at, arrive)

    def _arrive(self, arrival: routing_workload.Arrival) -> None:
        model, version = routing_workload.MODEL, routing_workload.VERSION
        chain = prefix.chain(arrival.organisation, model, version, arrival.prompt)
        request = requests.RouteRequest(
            arrival.organisation,
            model,
            version,
            chain,
            prompt_blocks.token_count(arrival.prompt),
            arrival.answer_tokens,
            arrival.at + 60.0,
        )
        self._route(_Job(arrival, request, self._rng.randrange(len(self._vms))))

    def _route(self, job: _Job) -> None:
        vm_router = self._routers[job.vm]
        decision = vm_router.route(job.request, self._now, self._rng, self._settings.lookups)
        if isinstance(decision, requests.NeedLookup):
            for addressed in decision.lookups:
                self._look_up(job, addressed)
            self._schedule(self._now + ROUND_TRIP_SECONDS, lambda: self._route_without_lookup(job))
            return
        self._send(job, decision)

    def _look_up(self, job: _Job, addressed: requests.AddressedLookup) -> None:
        watcher = self._routers[self._vms.index(addressed.vm)]
        answer = watcher.answer(addressed.lookup, self._now)
        self._routers[job.vm].observe_answer(job.request, answer, self._now)
        lookup = addressed.lookup
        self.counts.control_bytes += 2 * FRAME_BYTES + len(lookup.names) + 4 * len(lookup.depths)
        self.counts.control_bytes += STATE_BYTES * len(answer.states) + 8 * len(lookup.upstreams)

    def _route_without_lookup(self, job: _Job) -> None:
        vm_router = self._routers[job.vm]
        self._send(job, vm_router.route(job.request, self._now, self._rng, may_look_up=False))

    def _send(self, job: _Job, decision: requests.Decision) -> None:
        if not isinstance(decision, requests.Route):
            self.counts.refused += 1
            return
        vm_router = self._routers[job.vm]
        job.attempt = vm_router.dispatched(job.request, decision, self._now)
        upstream = self._fleet[decision.upstream]
        upstream.queue.append(job)
        self._start(upstream)

    def _start(self, upstream: _Upstream) -> None:
        if upstream.busy or not upstream.queue:
            return
        upstream.busy = True
        upstream.evict_idle(self._now)
        job = upstream.queue[0]
        hashes = job.request.chain.hashes
        cached = upstream.cached_blocks(hashes)
        upstream.touch(hashes[:cached], self._now)
        longest_cached = max(other.cached_blocks(hashes) for other in self._fleet.values())
        cached_tokens = cached * prompt_blocks.BLOCK_TOKENS
        seconds = (job.request.prompt_tokens - cached_tokens) / (
            self._settings.prefill_tokens_per_second
        ) + DECODE_SECONDS
        if self._now >= self._settings.slow_at and upstream.name == max(self._fleet):
            seconds *= self._settings.slow_factor
        wasted = (longest_cached - cached) * prompt_blocks.BLOCK_TOKENS
        incarnation = upstream.incarnation

        def prefilled() -> None:
            if upstream.incarnation == incarnation:
                self._first_token(upstream, job, cached_tokens, wasted)

        self._schedule(self._now + seconds, prefilled)

    def _first_token(self, upstream: _Upstream, job: _Job, cached: int, wasted: int) -> None:
        upstream.queue.popleft()
        upstream.busy = False
        upstream.store(job.request.chain.hashes, self._now)
        vm_router = self._routers[job.vm]
        vm_router.first_token(job.attempt, self._now)
        self.counts.add(
            job.arrival.organisation,
            self._now - job.arrival.at,
            job.request.prompt_tokens,
            cached,
            wasted,
        )
        done = self._now + job.arrival.answer_tokens * DECODE_SECONDS
        self._schedule(done, lambda: vm_router.finished(job.attempt, cached, self._now))
        self._start(upstream)

    def _report_loads(self) -> None:
        for name, upstream in self._fleet.items():
            speed = self._settings.prefill_tokens_per_second
            queued = sum(
                job.request.prompt_tokens
                - upstream.cached_blocks(job.request.chain.hashes) * prompt_blocks.BLOCK_TOKENS
                for job in upstream.queue
            )
            waiting = len(upstream.queue)
            lag = self._settings.load_lag_seconds
            report = messages.LoadReport(
                upstream.incarnation, 0, waiting, queued, speed, age_seconds=lag
            )
            self._schedule(
                self._now + lag, functools.partial(self._deliver_load_report, name, report)
            )

    def _deliver_load_report(self, name: str, report: messages.LoadReport) -> None:
        for vm_router in self._routers:
            if name in vm_router.watched() or self._settings.perfect_index:
                vm_router.observe_load(name, report, self._now)

    def _poll_events(self) -> None:
        for name, upstream in self._fleet.items():
            batch = upstream.pop_events(self._now)
            watcher = next(each for each in self._routers if name in each.watched())
            self.counts.events += len(batch.events)
            watcher.observe_events(name, batch, self._now)
            if name in watcher.due_snapshots(self._now):
                self.counts.snapshot_blocks += len(upstream.blocks)
                snapshot = events.Snapshot(
                    upstream.incarnation, upstream.sequence, tuple(upstream.blocks)
                )
                watcher.observe_snapshot(name, snapshot, self._now)

    def _crash(self, name: str) -> None:
        for job in self._fleet[name].crash():
            vm_router = self._routers[job.vm]
            vm_router.failed(job.attempt, self._now)
            job.request = dataclasses.replace(job.request, excluded=frozenset({name}))
            self._route(job)
