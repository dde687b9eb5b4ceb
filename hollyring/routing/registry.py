"""What is known of each upstream: where it is, what it serves, its load and its health."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterator, Mapping

MIN_FIRST_EVENT_SECONDS = 0.035
"""Least time to a language server's first event."""

PREFILL_TOKENS_PER_SECOND = 110_000.0
"""Prompt tokens a second of a server that has not been measured yet."""

DEFAULT_CALL_SECONDS = 0.04
"""Expected time of a plain call before any was measured."""

SLOWDOWN_WEIGHT = 0.15
"""Weight of the newest answer in an upstream's slowness."""

SLOWDOWN_LIMITS = (0.6, 12.0)
OVERDUE_FACTOR = 2.5
"""A wait this many times the expected one shows that an upstream is slower than thought."""

LATENCY_OFFSET_SECONDS = 0.1
"""Added to measured and expected waits, so that short ones weigh little."""

PREFILL_RATE_SECONDS = 1.0
"""Time over which the prompt tokens given to a server are averaged."""

FAILURE_DECAY_SECONDS = 2.5
"""Time constant with which a failure is forgotten."""

MIN_SUSPECT_SECONDS = 0.4
"""First time for which an upstream in doubt is avoided; it doubles with each doubt in a row."""

MAX_SUSPECT_SECONDS = 3.0
PEER_LOAD_TTL_SECONDS = 1.0
"""Another VM's load figures count for so long."""

SILENCE_THRESHOLD_SECONDS = 0.6
"""A server with work that sends nothing for so long is in doubt."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """What an upstream says of itself.

    Parameters
    ----------
    name
        Identity of this start of the upstream.
    service
        The service that it belongs to.
    address
        ``"IP:PORT"``.
    domain
        Its failure domain.
    slots
        Requests that it runs at once.
    leaving
        Whether it takes no new requests.
    life
        Number that tells this start from others under the same name.
    versions
        Version of the weights by model.
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int
    leaving: bool
    life: int
    versions: Mapping[str, int]


@dataclasses.dataclass(slots=True)
class OutstandingRequest:
    """A request of this VM that an upstream has not begun to answer."""

    sent_at: float
    prefill_tokens: int
    expected_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """What another VM has at an upstream; `prefill_rate` is in prompt tokens a second."""

    requests: int
    long_responses: int
    prefill_tokens: int
    prefill_rate: float
    received_at: float


@dataclasses.dataclass(slots=True)
class Upstream:
    """One upstream as this VM sees it."""

    entry: Entry
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    outstanding: dict[str, OutstandingRequest] = dataclasses.field(default_factory=dict)
    open_requests: int = 0
    long_responses: int = 0
    peers: dict[str, PeerLoad] = dataclasses.field(default_factory=dict)
    smoothed_slowdown: float = 1.0
    call_seconds: float = DEFAULT_CALL_SECONDS
    failures: float = 0.0
    last_failure_at: float = -math.inf
    suspect_count: int = 0
    suspected_until: float = -math.inf
    last_activity_at: float = -math.inf
    loading_until: float = -math.inf
    missing_since: float | None = None
    _prefill_rate: float = 0.0
    _prefill_rate_at: float = 0.0

    @property
    def name(self) -> str:
        """Identity of this start of the upstream."""
        return self.entry.name

    def version(self, model: str) -> int:
        """Return the version of the weights of `model`, 0 if it is not served."""
        return self.versions.get(model, 0)

    def record_version(self, model: str, version: int) -> bool:
        """Take in a version that was seen at the upstream; return whether it is news."""
        if version <= self.versions.get(model, 0):
            return False
        self.versions[model] = version
        return True

    def requests(self, now: float) -> int:
        """Return the requests of all VMs at the upstream."""
        return self.open_requests + sum(load.requests for load in self._peer_loads(now))

    def queued_prefill_tokens(self, now: float) -> int:
        """Return the prompt tokens of all VMs that it has yet to read."""
        own = sum(pending.prefill_tokens for pending in self.outstanding.values())
        return own + sum(load.prefill_tokens for load in self._peer_loads(now))

    def total_long_responses(self, now: float) -> int:
        """Return the long answers of all VMs that it is giving."""
        return self.long_responses + sum(load.long_responses for load in self._peer_loads(now))

    def own_prefill_rate(self, now: float) -> float:
        """Return the prompt tokens a second that this VM lately gave it to read."""
        return self._prefill_rate * math.exp(
            -max(0.0, now - self._prefill_rate_at) / PREFILL_RATE_SECONDS
        )

    def prefill_rate(self, now: float) -> float:
        """Return the prompt tokens a second that all VMs lately gave it to read."""
        return self.own_prefill_rate(now) + sum(load.prefill_rate for load in self._peer_loads(now))

    def _peer_loads(self, now: float) -> Iterator[PeerLoad]:
        oldest = now - PEER_LOAD_TTL_SECONDS
        return (load for load in self.peers.values() if load.received_at >= oldest)

    def slowdown(self, now: float) -> float:
        """Return how many times slower than the usual server it seems to be."""
        return max(self.smoothed_slowdown, self._overdue_slowdown(now))

    def _overdue_slowdown(self, now: float) -> float:
        ratios = (
            (now - pending.sent_at + LATENCY_OFFSET_SECONDS)
            / (pending.expected_seconds + LATENCY_OFFSET_SECONDS)
            for pending in self.outstanding.values()
        )
        return max(ratios, default=0.0) / OVERDUE_FACTOR

    def failure_score(self, now: float) -> float:
        """Return the recent failures, each forgotten with time."""
        return self.failures * math.exp(
            -max(0.0, now - self.last_failure_at) / FAILURE_DECAY_SECONDS
        )

    def is_suspect(self, now: float) -> bool:
        """Tell whether requests should go elsewhere."""
        return now < self.suspected_until

    def is_loading(self, now: float) -> bool:
        """Tell whether it is taking new weights."""
        return now < self.loading_until

    def record_sent(
        self,
        request_id: str,
        prefill_tokens: int,
        expected_seconds: float,
        now: float,
        long_response: bool = False,
    ) -> None:
        """Count a request that was sent."""
        self.outstanding[request_id] = OutstandingRequest(now, prefill_tokens, expected_seconds)
        self.open_requests += 1
        self.long_responses += long_response
        self._prefill_rate = self.own_prefill_rate(now) + prefill_tokens / PREFILL_RATE_SECONDS
        self._prefill_rate_at = now

    def record_first_event(self, request_id: str, now: float) -> None:
        """Take in the first event of an answer."""
        self.record_activity(now)
        pending = self.outstanding.pop(request_id, None)
        if pending is None:
            return
        measured = now - pending.sent_at + LATENCY_OFFSET_SECONDS
        ratio = measured / (pending.expected_seconds + LATENCY_OFFSET_SECONDS)
        self.smoothed_slowdown += SLOWDOWN_WEIGHT * (
            ratio * self.smoothed_slowdown - self.smoothed_slowdown
        )
        low, high = SLOWDOWN_LIMITS
        self.smoothed_slowdown = min(high, max(low, self.smoothed_slowdown))

    def record_activity(self, now: float) -> None:
        """Take in that bytes came from the upstream."""
        self.last_activity_at = now
        self.suspect_count = 0
        self.suspected_until = -math.inf

    def record_end(self, request_id: str, long_response: bool = False) -> None:
        """Stop counting a request."""
        self.outstanding.pop(request_id, None)
        self.open_requests -= 1
        self.long_responses -= long_response

    def record_failure(self, now: float) -> None:
        """Count a failure that the upstream is to blame for."""
        self.failures = self.failure_score(now) + 1.0
        self.last_failure_at = now

    def mark_suspect(self, now: float) -> None:
        """Avoid the upstream for a while, twice as long each time."""
        if self.is_suspect(now):
            return
        seconds = min(MAX_SUSPECT_SECONDS, MIN_SUSPECT_SECONDS * 2.0**self.suspect_count)
        self.suspect_count += 1
        self.suspected_until = now + seconds

    def silent_seconds(self, now: float) -> float:
        """Return for how long it has sent nothing although a request waits for it."""
        if not self.outstanding:
            return 0.0
        oldest = min(pending.sent_at for pending in self.outstanding.values())
        return now - max(self.last_activity_at, oldest)


class Registry:
    """All upstreams that are known, by name."""

    __slots__ = ("_upstreams", "_by_service")

    def __init__(self) -> None:
        self._upstreams: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}

    @property
    def upstreams(self) -> Mapping[str, Upstream]:
        """The upstreams by name."""
        return self._upstreams

    def get(self, name: str) -> Upstream | None:
        """Return an upstream by name."""
        return self._upstreams.get(name)

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service."""
        return self._by_service.get(service, [])

    def put(self, entry: Entry) -> Upstream | None:
        """Take in what an upstream says of itself; return it if it is a new start."""
        existing = self._upstreams.get(entry.name)
        if existing is None or existing.entry.life != entry.life:
            new = Upstream(entry, dict(entry.versions))
            self._upstreams[entry.name] = new
            self._rebuild_index()
            return new
        existing.entry = entry
        existing.missing_since = None
        for model, version in entry.versions.items():
            existing.record_version(model, version)
        self._rebuild_index()
        return None

    def remove(self, name: str) -> None:
        """Forget an upstream that is gone."""
        if self._upstreams.pop(name, None) is not None:
            self._rebuild_index()

    def _rebuild_index(self) -> None:
        self._by_service = {}
        for upstream in self._upstreams.values():
            self._by_service.setdefault(upstream.entry.service, []).append(upstream)
