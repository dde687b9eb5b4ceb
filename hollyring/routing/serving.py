"""What is known of each upstream: where it is, what it serves, its load and its health."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterator, Mapping

FIRST_EVENT_SECONDS = 0.035
"""Least time to a language server's first event."""

TOKENS_PER_SECOND = 110_000.0
"""Prompt tokens a second of a server that has not been measured yet."""

PLAIN_SECONDS = 0.04
"""Expected time of a plain call before any was measured."""

SLOWNESS_WEIGHT = 0.15
"""Weight of the newest answer in an upstream's slowness."""

SLOWNESS_LIMITS = (0.6, 12.0)
OVERDUE_FACTOR = 2.5
"""A wait this many times the expected one shows that an upstream is slower than thought."""

OVERDUE_FLOOR_SECONDS = 0.1
"""Added to measured and expected waits, so that short ones weigh little."""

READING_SECONDS = 1.0
"""Time over which the prompt tokens given to a server are averaged."""

FAILURE_SECONDS = 2.5
"""Time constant with which a failure is forgotten."""

DOUBT_SECONDS = 0.4
"""First time for which an upstream in doubt is avoided; it doubles with each doubt in a row."""

MAX_DOUBT_SECONDS = 3.0
PEER_LOAD_SECONDS = 1.0
"""Another VM's load figures count for so long."""

MIN_SILENCE_SECONDS = 0.6
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
class Outstanding:
    """A request of this VM that an upstream has not begun to answer."""

    sent_at: float
    unread_tokens: int
    expected: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """What another VM has at an upstream; `reading` is in prompt tokens a second."""

    requests: int
    long_answers: int
    unread_tokens: int
    reading: float
    heard_at: float


@dataclasses.dataclass(slots=True)
class Upstream:
    """One upstream as this VM sees it."""

    entry: Entry
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    outstanding: dict[str, Outstanding] = dataclasses.field(default_factory=dict)
    open_requests: int = 0
    long_answers: int = 0
    peers: dict[str, PeerLoad] = dataclasses.field(default_factory=dict)
    slowness: float = 1.0
    plain_seconds: float = PLAIN_SECONDS
    failures: float = 0.0
    failed_at: float = -math.inf
    doubts: int = 0
    doubted_until: float = -math.inf
    heard_at: float = -math.inf
    loading_until: float = -math.inf
    lapsed_at: float | None = None
    _reading: float = 0.0
    _read_at: float = 0.0

    @property
    def name(self) -> str:
        """Identity of this start of the upstream."""
        return self.entry.name

    def version(self, model: str) -> int:
        """Return the version of the weights of `model`, 0 if it is not served."""
        return self.versions.get(model, 0)

    def learn_version(self, model: str, version: int) -> bool:
        """Take in a version that was seen at the upstream; return whether it is news."""
        if version <= self.versions.get(model, 0):
            return False
        self.versions[model] = version
        return True

    def requests(self, now: float) -> int:
        """Return the requests of all VMs at the upstream."""
        return self.open_requests + sum(load.requests for load in self._peer_loads(now))

    def unread_tokens(self, now: float) -> int:
        """Return the prompt tokens of all VMs that it has yet to read."""
        own = sum(item.unread_tokens for item in self.outstanding.values())
        return own + sum(load.unread_tokens for load in self._peer_loads(now))

    def all_long_answers(self, now: float) -> int:
        """Return the long answers of all VMs that it is giving."""
        return self.long_answers + sum(load.long_answers for load in self._peer_loads(now))

    def own_reading(self, now: float) -> float:
        """Return the prompt tokens a second that this VM lately gave it to read."""
        return self._reading * math.exp(-max(0.0, now - self._read_at) / READING_SECONDS)

    def reading(self, now: float) -> float:
        """Return the prompt tokens a second that all VMs lately gave it to read."""
        return self.own_reading(now) + sum(load.reading for load in self._peer_loads(now))

    def _peer_loads(self, now: float) -> Iterator[PeerLoad]:
        oldest = now - PEER_LOAD_SECONDS
        return (load for load in self.peers.values() if load.heard_at >= oldest)

    def pace(self, now: float) -> float:
        """Return how many times slower than the usual server it seems to be."""
        return max(self.slowness, self._overdue(now))

    def _overdue(self, now: float) -> float:
        ratios = (
            (now - item.sent_at + OVERDUE_FLOOR_SECONDS) / (item.expected + OVERDUE_FLOOR_SECONDS)
            for item in self.outstanding.values()
        )
        return max(ratios, default=0.0) / OVERDUE_FACTOR

    def failure_level(self, now: float) -> float:
        """Return the recent failures, each forgotten with time."""
        return self.failures * math.exp(-max(0.0, now - self.failed_at) / FAILURE_SECONDS)

    def doubted(self, now: float) -> bool:
        """Tell whether requests should go elsewhere."""
        return now < self.doubted_until

    def loading(self, now: float) -> bool:
        """Tell whether it is taking new weights."""
        return now < self.loading_until

    def sent(
        self,
        request: str,
        unread_tokens: int,
        expected: float,
        now: float,
        long_answer: bool = False,
    ) -> None:
        """Count a request that was sent."""
        self.outstanding[request] = Outstanding(now, unread_tokens, expected)
        self.open_requests += 1
        self.long_answers += long_answer
        self._reading = self.own_reading(now) + unread_tokens / READING_SECONDS
        self._read_at = now

    def began(self, request: str, now: float) -> None:
        """Take in the first event of an answer."""
        self.heard(now)
        item = self.outstanding.pop(request, None)
        if item is None:
            return
        measured = now - item.sent_at + OVERDUE_FLOOR_SECONDS
        ratio = measured / (item.expected + OVERDUE_FLOOR_SECONDS)
        self.slowness += SLOWNESS_WEIGHT * (ratio * self.slowness - self.slowness)
        low, high = SLOWNESS_LIMITS
        self.slowness = min(high, max(low, self.slowness))

    def heard(self, now: float) -> None:
        """Take in that bytes came from the upstream."""
        self.heard_at = now
        self.doubts = 0
        self.doubted_until = -math.inf

    def ended(self, request: str, long_answer: bool = False) -> None:
        """Stop counting a request."""
        self.outstanding.pop(request, None)
        self.open_requests -= 1
        self.long_answers -= long_answer

    def failed(self, now: float) -> None:
        """Count a failure that the upstream is to blame for."""
        self.failures = self.failure_level(now) + 1.0
        self.failed_at = now

    def doubt(self, now: float) -> None:
        """Avoid the upstream for a while, twice as long each time."""
        if self.doubted(now):
            return
        seconds = min(MAX_DOUBT_SECONDS, DOUBT_SECONDS * 2.0**self.doubts)
        self.doubts += 1
        self.doubted_until = now + seconds

    def silent_seconds(self, now: float) -> float:
        """Return for how long it has sent nothing although a request waits for it."""
        if not self.outstanding:
            return 0.0
        oldest = min(item.sent_at for item in self.outstanding.values())
        return now - max(self.heard_at, oldest)


class Serving:
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
        known = self._upstreams.get(entry.name)
        if known is None or known.entry.life != entry.life:
            started = Upstream(entry, dict(entry.versions))
            self._upstreams[entry.name] = started
            self._index()
            return started
        known.entry = entry
        known.lapsed_at = None
        for model, version in entry.versions.items():
            known.learn_version(model, version)
        self._index()
        return None

    def remove(self, name: str) -> None:
        """Forget an upstream that is gone."""
        if self._upstreams.pop(name, None) is not None:
            self._index()

    def _index(self) -> None:
        self._by_service = {}
        for upstream in self._upstreams.values():
            self._by_service.setdefault(upstream.entry.service, []).append(upstream)
