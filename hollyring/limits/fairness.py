"""Weighted fair queueing of admitted requests between organisations, by tokens.

Start-time fair queueing: a request's start tag is the later of the queue's virtual time and
its organisation's last finish tag; the smallest start tag is served first. An organisation
that sends more than its part waits behind itself.
"""

from __future__ import annotations

import collections
import dataclasses

MAX_WAITING = 4096
"""Requests that one VM holds in its queue."""

MAX_WAITING_OF_ONE = 1024
"""Requests of one organisation that a VM holds in its queue."""

RATE_WEIGHT = 0.2
"""Weight of the newest sample in the estimate of tokens served a second."""

MIN_RETRY_AFTER = 0.1
"""Smallest `retry_after` in seconds."""

PRIORITIES = 8
"""Priorities handed to engines, 0 served first."""

PRIORITY_SECONDS = 0.25
"""Seconds of its own backlog by which an organisation's next request goes down a priority."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A request that waits to be dispatched.

    Parameters
    ----------
    tokens
        Its cost.
    deadline
        Time in seconds after which its caller has no use for an answer.
    weight
        The organisation's part of the service against the others. Equal weights favour the
        organisations that use little.
    """

    request_id: str
    organisation: str
    tokens: int
    deadline: float
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """The request is to be dispatched now, with `priority` for the engine."""

    request_id: str
    organisation: str
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """The request will not be run and was not; its caller may come back in `retry_after`."""

    request_id: str
    organisation: str
    code: str
    retry_after: float


@dataclasses.dataclass(slots=True)
class _Lane:
    weight: float = 1.0
    finish: float = 0.0
    tokens: int = 0
    waiting: collections.deque[tuple[float, Entry]] = dataclasses.field(
        default_factory=collections.deque
    )


class FairQueue:
    """The requests that one VM has admitted and not yet dispatched.

    Parameters
    ----------
    tokens_per_second
        First estimate of the tokens that upstreams take from this VM.

    Examples
    --------
    >>> queue = FairQueue(tokens_per_second=1000.0)
    >>> for number in range(3):
    ...     queue.push(Entry(f"big-{number}", "big", 100, 9.0), now=0.0)
    >>> queue.push(Entry("small-0", "small", 100, 9.0), now=0.0)
    >>> [queue.pop(0.0).request_id for _ in range(3)]
    ['big-0', 'small-0', 'big-1']
    """

    __slots__ = ("_lanes", "_busy", "_entries", "_virtual", "_rate", "_served_at", "_given_up")

    def __init__(self, tokens_per_second: float) -> None:
        self._lanes: dict[str, _Lane] = {}
        self._busy: dict[str, _Lane] = {}
        self._entries = 0
        self._virtual = 0.0
        self._rate = tokens_per_second
        self._served_at: float | None = None
        self._given_up = 0

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._entries

    def push(self, entry: Entry, now: float) -> GiveUp | None:
        """Add a request, or return why it can't be served in time."""
        lane = self._lanes.setdefault(entry.organisation, _Lane())
        lane.weight = max(entry.weight, 1e-9)
        wait = self._wait(lane)
        full = self._entries >= MAX_WAITING or len(lane.waiting) >= MAX_WAITING_OF_ONE
        if full or now + wait >= entry.deadline:
            self._forget(entry.organisation)
            code = "overloaded" if full else "deadline_exceeded"
            after = max(MIN_RETRY_AFTER, wait if full else now + wait - entry.deadline)
            return self._give_up(entry, code, after)
        start = max(self._virtual, lane.finish)
        lane.finish = start + entry.tokens / lane.weight
        lane.tokens += entry.tokens
        lane.waiting.append((start, entry))
        self._busy[entry.organisation] = lane
        self._entries += 1
        return None

    def pop(self, now: float) -> Dispatch | GiveUp | None:
        """Return what becomes of the next request, or None if none waits."""
        if not self._busy:
            return None
        name = min(self._busy, key=lambda n: (self._busy[n].waiting[0][0], n))
        lane = self._busy[name]
        start, entry = lane.waiting.popleft()
        self._remove(lane, entry)
        if now >= entry.deadline:
            after = max(MIN_RETRY_AFTER, self._wait(lane))
            lane.finish -= entry.tokens / lane.weight
            self._forget(name)
            return self._give_up(entry, "deadline_exceeded", after)
        self._virtual = max(self._virtual, start)
        priority = self._priority(lane)
        self._forget(name)
        return Dispatch(entry.request_id, name, priority)

    def cancel(self, organisation: str, request_id: str) -> bool:
        """Remove a request whose caller has gone; return whether it was waiting."""
        lane = self._lanes.get(organisation)
        if lane is None:
            return False
        for position, (_, entry) in enumerate(lane.waiting):
            if entry.request_id == request_id:
                del lane.waiting[position]
                self._remove(lane, entry)
                self._forget(organisation)
                return True
        return False

    def expire(self, now: float) -> list[GiveUp]:
        """Give up, at once, every request whose deadline cannot be kept any more."""
        given_up = []
        for name, lane in list(self._busy.items()):
            late = [entry for _, entry in lane.waiting if now >= entry.deadline]
            for entry in late:
                self.cancel(name, entry.request_id)
                after = max(MIN_RETRY_AFTER, self._wait(lane))
                given_up.append(self._give_up(entry, "deadline_exceeded", after))
        return given_up

    def served(self, tokens: int, now: float) -> None:
        """Learn from tokens that upstreams finished how fast the queue moves."""
        if self._served_at is not None and now > self._served_at:
            sample = tokens / (now - self._served_at)
            self._rate += RATE_WEIGHT * (sample - self._rate)
        self._served_at = now

    def dump(self) -> dict[str, object]:
        """Return the state for the operators' dump."""
        return {
            "waiting": self._entries,
            "organisations": {name: len(lane.waiting) for name, lane in self._busy.items()},
            "tokens_per_second": round(self._rate, 1),
            "given_up": self._given_up,
        }

    def _wait(self, lane: _Lane) -> float:
        """Return the seconds until a new request of `lane` would be served."""
        busy = [other for other in self._busy.values() if other is not lane]
        part = lane.weight / (lane.weight + sum(other.weight for other in busy))
        ahead = min(lane.tokens / part, sum(other.tokens for other in busy) + lane.tokens)
        return ahead / max(self._rate, 1e-9)

    def _priority(self, lane: _Lane) -> int:
        return min(PRIORITIES - 1, int(self._wait(lane) / PRIORITY_SECONDS))

    def _remove(self, lane: _Lane, entry: Entry) -> None:
        lane.tokens -= entry.tokens
        self._entries -= 1
        if not lane.waiting:
            self._busy.pop(entry.organisation, None)

    def _forget(self, organisation: str) -> None:
        """Drop a lane that has no claim on the queue's past."""
        if not self._entries:
            self._lanes.clear()
            self._virtual = 0.0
            return
        lane = self._lanes[organisation]
        if not lane.waiting and lane.finish <= self._virtual:
            del self._lanes[organisation]

    def _give_up(self, entry: Entry, code: str, retry_after: float) -> GiveUp:
        self._given_up += 1
        return GiveUp(entry.request_id, entry.organisation, code, round(retry_after, 3))
