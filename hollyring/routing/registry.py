"""Registry of upstreams with their addresses, served models, load and health."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterator, Mapping

from hollyring.core import identities
from hollyring.routing import backoffs, departures, read_speeds, request_limits

MIN_FIRST_EVENT_SECONDS = 0.035
"""Shortest time to first event of an inference server."""

DEFAULT_CALL_SECONDS = 0.04
"""Expected time of a call to a service that is not an inference server."""

SLOWDOWN_WEIGHT = 0.15
"""Weight of the latest response in the moving average of the slowdown."""

SLOWDOWN_LIMITS = (0.6, 12.0)
SLOWDOWN_SECONDS = 4.0
"""Time constant with which a slowdown that is not measured again is forgotten.

A VM among many sees each upstream seldom: what it learned in a burst would turn requests away long
after it.
"""

OVERDUE_FACTOR = 2.5
"""Ratio of actual to expected wait above which an outstanding request counts as a slowdown."""

LATENCY_OFFSET_SECONDS = 0.1
"""Offset added to measured and expected latencies, so that short ones have little weight."""

PREFILL_RATE_SECONDS = 1.0
"""Time constant of the moving average of the prefill rate."""

FAILURE_DECAY_SECONDS = 2.5
"""Time constant of the exponential decay of the failure score."""

MIN_SUSPECT_SECONDS = 0.4
"""Time for which a suspect upstream is avoided; doubles each time until it sends data again."""

MAX_SUSPECT_SECONDS = 3.0
MIN_ENDLESS_SECONDS = 2.0
"""Time for which an upstream whose answer had no end is avoided; doubles until one is whole."""

MAX_ENDLESS_SECONDS = 30.0
PEER_LOAD_TTL_SECONDS = 1.0
"""Age up to which load reports of other VMs are used."""

UNKNOWN_LIFE = 0
"""Incarnation number of an entry that states none."""

PRIORITY_CLASSES = 4
"""Priorities that are told apart when queues are reckoned: 0, 1, 2, and all others."""

SILENCE_THRESHOLD_SECONDS = 0.6
"""Time without data after which a server with outstanding requests counts as silent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Entry that an upstream publishes about itself.

    Parameters
    ----------
    name
        Name of the upstream.
    service
        Name of the service that it belongs to.
    address
        Address as ``"IP:PORT"``.
    domain
        Its failure domain.
    slots
        Requests that it runs concurrently.
    leaving
        Whether the entry says that it is shutting down and accepts no new requests.
    life
        Incarnation number, which differs between starts under the same name.
    versions
        Versions of the weights by model.
    software
        Version of its software; empty if unknown.
    cold_seconds
        Time for which it is still slow after its start.
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int
    leaving: bool
    life: int
    versions: Mapping[str, int]
    software: str = ""
    cold_seconds: float = 0.0


@dataclasses.dataclass(slots=True)
class OutstandingRequest:
    """Request sent by this VM to which an upstream has not begun to respond."""

    sent_at: float
    prefill_tokens: int
    expected_seconds: float
    priority_class: int = 0
    is_measured: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """Load of an upstream by another VM's requests; `prefill_rate` is in tokens per second.

    `tokens_up_to` holds the prompt tokens of the requests of each priority class and of the more
    urgent ones; it is empty if all may be of the most urgent class.
    """

    requests: int
    long_responses: int
    prefill_tokens: int
    prefill_rate: float
    received_at: float
    tokens_up_to: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True)
class TotalLoad:
    """Load of an upstream by the requests of all VMs.

    Parameters
    ----------
    requests
        Number of requests.
    queued_prefill_tokens
        Prompt tokens that wait for prefill and are not less urgent than the request in question.
    long_responses
        Number of long responses in progress.
    prefill_rate
        Recent rate of prefill tokens sent to it, per second.
    """

    requests: int
    queued_prefill_tokens: int
    long_responses: int
    prefill_rate: float


@dataclasses.dataclass(slots=True)
class Upstream:
    """Mutable state of one upstream, with the load and health observed by this VM."""

    entry: Entry
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    outstanding: dict[str, OutstandingRequest] = dataclasses.field(default_factory=dict)
    open_requests: int = 0
    long_responses: int = 0
    peers: dict[str, PeerLoad] = dataclasses.field(default_factory=dict)
    smoothed_slowdown: float = 1.0
    slowdown_at: float = -math.inf
    call_seconds: float = DEFAULT_CALL_SECONDS
    failures: float = 0.0
    last_failure_at: float = -math.inf
    suspect_count: int = 0
    suspected_until: float = -math.inf
    last_activity_at: float = -math.inf
    endless_count: int = 0
    endless_until: float = -math.inf
    loading_until: float = -math.inf
    missing_since: float | None = None
    logged_anomalies: set[str] = dataclasses.field(default_factory=set)
    announced_leaving: bool = False
    read_speed: read_speeds.ReadSpeed = dataclasses.field(default_factory=read_speeds.ReadSpeed)
    _prefill_rate: float = 0.0
    _prefill_rate_at: float = 0.0

    @property
    def name(self) -> str:
        """Name of the upstream."""
        return self.entry.name

    @property
    def incarnation(self) -> identities.Incarnation:
        """Name and incarnation number of the upstream."""
        return identities.Incarnation(self.entry.name, self.entry.life)

    @property
    def leaving(self) -> bool:
        """Whether it is shutting down, by its entry or by its own announcement."""
        return self.entry.leaving or self.announced_leaving

    def version(self, model: str) -> int:
        """Return the version of the weights of `model`, or 0 if it is not served."""
        return self.versions.get(model, 0)

    def record_version(self, model: str, version: int) -> bool:
        """Record an observed version of the weights; return whether it is newer."""
        if version <= self.versions.get(model, 0):
            return False
        self.versions[model] = version
        return True

    def requests(self, now: float) -> int:
        """Return the number of requests from all VMs."""
        return self.open_requests + sum(load.requests for load in self._peer_loads(now))

    def queued_prefill_tokens(self, now: float) -> int:
        """Return the prompt tokens from all VMs that wait for prefill."""
        own = sum(pending.prefill_tokens for pending in self.outstanding.values())
        return own + sum(load.prefill_tokens for load in self._peer_loads(now))

    def unread_by_priority(self) -> list[int]:
        """Return this VM's prompt tokens that wait for prefill by priority class.

        It is empty if all are of the most urgent class, or there are none.
        """
        tokens = [0] * PRIORITY_CLASSES
        for pending in self.outstanding.values():
            tokens[pending.priority_class] += pending.prefill_tokens
        while tokens and not tokens[-1]:
            tokens.pop()
        return tokens if len(tokens) > 1 else []

    def own_prefill_rate(self, now: float) -> float:
        """Return the recent rate of prefill tokens sent by this VM, per second."""
        return self._prefill_rate * math.exp(
            -max(0.0, now - self._prefill_rate_at) / PREFILL_RATE_SECONDS
        )

    def total_load(self, now: float, priority: int | None = None) -> TotalLoad:
        """Return the load by all VMs, in one pass over what they report.

        Parameters
        ----------
        priority
            Priority of the request in question, which a server reads before less urgent ones; None
            for one that is read last.
        """
        order = PRIORITY_CLASSES - 1 if priority is None else priority_class(priority)
        oldest = now - PEER_LOAD_TTL_SECONDS
        requests, tokens, long_responses, rate = 0, 0, 0, 0.0
        for load in self.peers.values():
            if load.received_at < oldest:
                continue
            requests += load.requests
            tokens += load.tokens_up_to[order] if load.tokens_up_to else load.prefill_tokens
            long_responses += load.long_responses
            rate += load.prefill_rate
        for pending in self.outstanding.values():
            if pending.priority_class <= order:
                tokens += pending.prefill_tokens
        return TotalLoad(
            self.open_requests + requests,
            tokens,
            self.long_responses + long_responses,
            self.own_prefill_rate(now) + rate,
        )

    def _peer_loads(self, now: float) -> Iterator[PeerLoad]:
        oldest = now - PEER_LOAD_TTL_SECONDS
        return (load for load in self.peers.values() if load.received_at >= oldest)

    def slowdown(self, now: float) -> float:
        """Return the estimated slowdown relative to a server of normal speed."""
        return max(self._remembered_slowdown(now), self._overdue_slowdown(now))

    def _remembered_slowdown(self, now: float) -> float:
        """Return the slowdown that answers have shown, less what has been forgotten since."""
        if self.smoothed_slowdown == 1.0:
            return 1.0
        kept = math.exp(-max(0.0, now - self.slowdown_at) / SLOWDOWN_SECONDS)
        return math.exp(kept * math.log(self.smoothed_slowdown))

    def _overdue_slowdown(self, now: float) -> float:
        ratios = (
            (now - pending.sent_at + LATENCY_OFFSET_SECONDS)
            / (pending.expected_seconds + LATENCY_OFFSET_SECONDS)
            for pending in self.outstanding.values()
        )
        return max(ratios, default=0.0) / OVERDUE_FACTOR

    def failure_score(self, now: float) -> float:
        """Return the exponentially decayed number of failures."""
        return self.failures * math.exp(
            -max(0.0, now - self.last_failure_at) / FAILURE_DECAY_SECONDS
        )

    def is_suspect(self, now: float) -> bool:
        """Return whether the upstream is suspected to be unresponsive, or sends without end."""
        return now < max(self.suspected_until, self.endless_until)

    def is_loading(self, now: float) -> bool:
        """Return whether it is loading weights."""
        return now < self.loading_until

    def record_sent(
        self,
        request_id: str,
        prefill_tokens: int,
        expected_seconds: float,
        now: float,
        long_response: bool = False,
        priority: int = 0,
        fetched_tokens: int = 0,
    ) -> None:
        """Record that a request was sent."""
        is_measured = (
            prefill_tokens >= read_speeds.MIN_MEASURED_TOKENS
            and not fetched_tokens
            and not self.queued_prefill_tokens(now)
        )
        self.outstanding[request_id] = OutstandingRequest(
            now, prefill_tokens, expected_seconds, priority_class(priority), is_measured
        )
        self.open_requests += 1
        self.long_responses += long_response
        self._prefill_rate = self.own_prefill_rate(now) + prefill_tokens / PREFILL_RATE_SECONDS
        self._prefill_rate_at = now

    def record_first_event(self, request_id: str, now: float) -> None:
        """Record the first event of a response."""
        self.record_activity(now)
        pending = self.outstanding.pop(request_id, None)
        if pending is None:
            return
        if pending.is_measured:
            reading = now - pending.sent_at - MIN_FIRST_EVENT_SECONDS
            self.read_speed.record(pending.prefill_tokens, reading)
        measured = now - pending.sent_at + LATENCY_OFFSET_SECONDS
        ratio = measured / (pending.expected_seconds + LATENCY_OFFSET_SECONDS)
        slowdown = self._remembered_slowdown(now)
        slowdown += SLOWDOWN_WEIGHT * (ratio * slowdown - slowdown)
        low, high = SLOWDOWN_LIMITS
        self.smoothed_slowdown = min(high, max(low, slowdown))
        self.slowdown_at = now

    def record_activity(self, now: float) -> None:
        """Record that data arrived from the upstream, which ends a suspicion."""
        self.last_activity_at = now
        self.suspect_count = 0
        self.suspected_until = -math.inf

    def record_end(self, request_id: str, long_response: bool = False) -> None:
        """Record that a request ended."""
        self.outstanding.pop(request_id, None)
        self.open_requests -= 1
        self.long_responses -= long_response

    def record_endless(self, now: float) -> None:
        """Record an answer longer than any that is held, after which it is avoided for a time.

        The time doubles each time until an answer is whole; data alone does not end it.
        """
        self.record_failure(now)
        if now < self.endless_until:
            return
        seconds = min(MAX_ENDLESS_SECONDS, MIN_ENDLESS_SECONDS * 2.0**self.endless_count)
        self.endless_count += 1
        self.endless_until = now + seconds

    def record_whole(self, now: float) -> None:
        """Record an answer that was whole; one that came meanwhile proves nothing for the next."""
        if now >= self.endless_until:
            self.endless_count = 0

    def record_failure(self, now: float) -> None:
        """Record a failure caused by the upstream."""
        self.failures = self.failure_score(now) + 1.0
        self.last_failure_at = now

    def mark_suspect(self, now: float) -> None:
        """Avoid the upstream for a time that doubles each time until data arrives from it."""
        if self.is_suspect(now):
            return
        seconds = min(MAX_SUSPECT_SECONDS, MIN_SUSPECT_SECONDS * 2.0**self.suspect_count)
        self.suspect_count += 1
        self.suspected_until = now + seconds

    def silent_seconds(self, now: float) -> float:
        """Return the time without data while a request is outstanding, or 0 if none is."""
        if not self.outstanding:
            return 0.0
        oldest = min(pending.sent_at for pending in self.outstanding.values())
        return now - max(self.last_activity_at, oldest)


def priority_class(priority: int) -> int:
    """Return the class of a priority, of which 0 is the most urgent."""
    return min(max(priority, 0), PRIORITY_CLASSES - 1)


class Registry:
    """Registry of upstreams by name, with their backoffs and the limits that they named."""

    __slots__ = (
        "backoffs",
        "request_limits",
        "rejection_limits",
        "_upstreams",
        "_by_service",
        "_by_address",
        "_departures",
        "_read_speeds",
    )

    def __init__(self) -> None:
        self.backoffs = backoffs.Backoffs()
        self.request_limits = request_limits.RequestLimits()
        self.rejection_limits = request_limits.RequestLimits()
        self._departures = departures.Departures()
        self._read_speeds: dict[str, read_speeds.ReadSpeed] = {}
        self._upstreams: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._by_address: dict[str, Upstream] = {}

    @property
    def upstreams(self) -> Mapping[str, Upstream]:
        """Upstreams by name."""
        return self._upstreams

    def get(self, name: str) -> Upstream | None:
        """Return an upstream, or None if the name is not registered."""
        return self._upstreams.get(name)

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service."""
        return self._by_service.get(service, [])

    def at_address(self, address: str) -> Upstream | None:
        """Return the upstream that is registered last with an address, or None."""
        return self._by_address.get(address)

    def accepts_requests(self, upstream: Upstream) -> bool:
        """Return whether an upstream that was selected earlier may still be sent a request."""
        return self._upstreams.get(upstream.name) is upstream and not upstream.leaving

    def opens_at(self, upstream: identities.Incarnation) -> float:
        """Return from when on an upstream may be sent requests, minus infinity if it always was."""
        return max(self.backoffs.end(upstream), self.request_limits.closed_until(upstream))

    def record_departure(self, name: str, life: int, now: float) -> bool:
        """Record that an upstream announced that it leaves; return whether this is new."""
        upstream = self._upstreams.get(name)
        if upstream is not None and upstream.entry.life > life:
            return False
        if not self._departures.record(name, life, now):
            return False
        if upstream is not None:
            upstream.announced_leaving = True
        return True

    def announced_departures(self) -> list[Entry]:
        """Return the entries of the registered upstreams that announced that they leave."""
        return [u.entry for u in self._upstreams.values() if u.announced_leaving]

    def forget_departures(self, now: float) -> None:
        """Forget the announcements of upstreams that were removed some time ago."""
        self._departures.forget(self._upstreams.keys(), now)

    def put(self, entry: Entry) -> Upstream | None:
        """Add or update an entry; return the upstream if its name or incarnation is new."""
        existing = self._upstreams.get(entry.name)
        if existing is None or existing.entry.life != entry.life:
            speed = self._read_speeds.setdefault(entry.service, read_speeds.ReadSpeed())
            new = Upstream(entry, dict(entry.versions), read_speed=speed)
            new.announced_leaving = self._departures.covers(entry.name, entry.life)
            self._upstreams[entry.name] = new
            if existing is None:
                self._add_last_to_index(new)
            else:
                self._rebuild_index()
            return new
        before, existing.entry = existing.entry, entry
        existing.missing_since = None
        for model, version in entry.versions.items():
            existing.record_version(model, version)
        if (entry.service, entry.address) != (before.service, before.address):
            self._rebuild_index()
        return None

    def remove(self, name: str) -> None:
        """Remove an upstream."""
        removed = self._upstreams.pop(name, None)
        if removed is None:
            return
        if removed.entry.life == UNKNOWN_LIFE:
            # A later start under the same name could not be told from this one.
            self._departures.discard(name)
        self._rebuild_index()

    def _add_last_to_index(self, upstream: Upstream) -> None:
        entry = upstream.entry
        self._by_service[entry.service] = [*self.of_service(entry.service), upstream]
        self._by_address[entry.address] = upstream

    def _rebuild_index(self) -> None:
        self._by_service = {}
        self._by_address = {u.entry.address: u for u in self._upstreams.values()}
        for upstream in self._upstreams.values():
            self._by_service.setdefault(upstream.entry.service, []).append(upstream)
