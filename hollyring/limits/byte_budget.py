"""Budget of the bytes that a VM holds for requests, answers and calls, as a sum.

Whoever holds bytes opens a `Holding`, takes what arrives and closes it at the end. A bound for each
answer does not bound their sum, so a long one reserves its room before it is read further, in the
order of asking; what does not fit waits, with its socket unread. Short ones never wait for long
ones. Where the sum exceeds the budget all the same, a request goes first that is read without a
reservation, the longest held of these, as it has not run; then the unfinished answer that holds
most, before others one that did not declare its length.

A long answer that declares no length grows by steps. The room that the longest of them may still
need is kept free of the others, so that they never wait for each other (the banker's algorithm with
one process: E. W. Dijkstra, EWD 108).
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Callable

BYTES_PER_MEGABYTE = 1_000_000

OWN_BYTES = 72 * BYTES_PER_MEGABYTE
"""Memory that a process needs beside what it holds for requests."""

USABLE_SHARE = 0.6
"""Share of the rest that is given out; copies for a moment and the allocator take what is left."""

MIN_LIMIT_BYTES = 8 * BYTES_PER_MEGABYTE
MAX_LIMIT_BYTES = 256 * BYTES_PER_MEGABYTE

MAX_ANSWER_SHARE = 0.3
MAX_ANSWER_BYTES = 33_554_432
"""Longest answer that is held whole, whatever the budget; at most `MAX_ANSWER_SHARE` of it."""

SHORT_BYTES = 131_072
"""Length up to which a body or an answer is read without a reservation."""

GROWTH_BYTES = 1_048_576
"""Step by which an answer without a declared length reserves room."""

SHORT_SHARE = 0.25
"""Share of the budget that reservations leave to what is short."""

MAX_REQUEST_SHARE = 1.0 - SHORT_SHARE - MAX_ANSWER_SHARE
"""Share of the budget for long bodies of requests, beside which the longest answer finds room."""


class Kind(enum.Enum):
    """What bytes are held for; the value is the name in metrics."""

    REQUEST = "request_bodies"
    ANSWER = "answers"
    CALL = "calls"
    FORWARDED_REQUEST = "forwarded_request_bodies"
    FORWARDED_ANSWER = "forwarded_answers"


REQUEST_KINDS = (Kind.REQUEST, Kind.FORWARDED_REQUEST)


class Holding:
    """Bytes that are held for one request, answer or call; made by `ByteBudget.open`.

    Attributes
    ----------
    declared
        Whether the length was declared by whoever sends the bytes.
    on_evicted
        Called without arguments to end this holding for the sake of others, and closes it; None
        while it cannot be ended.
    is_slow
        Whether the bytes come so slowly that others which wait for room need not wait for them.
    """

    __slots__ = (
        "_budget",
        "_kind",
        "_bytes",
        "_reserved",
        "_grows",
        "declared",
        "on_evicted",
        "is_slow",
    )

    def __init__(
        self, budget: ByteBudget, kind: Kind, on_evicted: Callable[[], None] | None
    ) -> None:
        self._budget = budget
        self._kind = kind
        self._bytes = 0
        self._reserved = 0
        self._grows = False
        self.declared = False
        self.is_slow = False
        self.on_evicted = on_evicted

    @property
    def kind(self) -> Kind:
        """What the bytes are held for."""
        return self._kind

    @property
    def bytes(self) -> int:
        """Bytes that are held."""
        return self._bytes

    @property
    def reserved(self) -> int:
        """Bytes that may be held without a further reservation."""
        return self._reserved

    @property
    def grows(self) -> bool:
        """Whether it reserves room by steps, as nobody knows how much it needs."""
        return self._grows

    @property
    def charged(self) -> int:
        """Bytes of the budget that are in use: what is held or reserved, whichever is more."""
        return max(self._bytes, self._reserved)

    @property
    def keeps_others_waiting(self) -> bool:
        """Whether others wait for room, and it has most of those that grow."""
        return self._budget.has_waiting and self._budget.is_longest(self)

    def take(self, size: int) -> bool:
        """Add bytes that have arrived; return False if they exceed the budget, evictions done.

        The holding itself may be the one that is evicted, and is closed then.
        """
        before = self.charged
        self._bytes += size
        return self._budget.charge(self, self.charged - before)

    def give_back(self, size: int) -> None:
        """Remove bytes that were passed on."""
        before = self.charged
        self._bytes -= size
        self._budget.discharge(self, before - self.charged)

    def try_reserve(self, size: int) -> bool:
        """Reserve room for `size` bytes in all, if it is free and nobody waits for it before.

        More than may be reserved at all is cut down to that.
        """
        return self._budget.reserve(self, min(size, self._budget.max_reserved))

    def await_room(self, size: int, on_granted: Callable[[], None]) -> None:
        """Wait for room for `size` bytes in all; `on_granted` is called once it is reserved."""
        self._budget.enqueue(self, min(size, self._budget.max_reserved), on_granted)

    def try_grow(self, most: int) -> bool:
        """Reserve one step more than is held, if that leaves room for the longest that grows.

        Parameters
        ----------
        most
            Bytes beyond which nothing more is held.
        """
        self._grows = True
        return self._budget.reserve(self, self._grown(most))

    def await_growth(self, most: int, on_granted: Callable[[], None]) -> None:
        """Wait for room for one step more; `on_granted` is called once it is reserved."""
        self._budget.enqueue(self, self._grown(most), on_granted)

    def _grown(self, most: int) -> int:
        return min(self._bytes + GROWTH_BYTES, most)

    def settle(self) -> None:
        """Record that nothing more will arrive: give back what was reserved and is not used.

        What is whole cannot be ended any more.
        """
        self.on_evicted = None
        self._grows = False
        before, self._reserved = self.charged, 0
        self._budget.discharge(self, before - self.charged)

    def stop_waiting(self) -> None:
        """Wait no longer for room."""
        self._budget.cancel_wait(self)

    def close(self) -> None:
        """Give everything back; a closed holding takes nothing any more."""
        self._budget.close(self)

    def set_reserved(self, size: int) -> None:
        """Record a reservation that the budget has granted."""
        self._reserved = size

    def clear(self) -> None:
        """Record that nothing is held or reserved any more."""
        self._grows = False
        self._bytes = 0
        self._reserved = 0


class ByteBudget:
    """Bytes that may be held at the same time.

    Parameters
    ----------
    limit
        Most bytes that may be held or reserved, without those of answers that cannot be ended.

    Examples
    --------
    >>> budget = ByteBudget(limit=1_200_000)
    >>> first = budget.open(Kind.ANSWER)
    >>> first.try_reserve(700_000), budget.held
    (True, 700000)
    >>> second = budget.open(Kind.ANSWER)
    >>> second.try_reserve(700_000)
    False
    >>> second.await_room(700_000, lambda: print("granted"))
    >>> first.close()
    granted
    """

    __slots__ = (
        "_limit",
        "_held",
        "_held_by_kind",
        "_holdings",
        "_waiting",
        "_evictions",
        "_waits",
        "_peak",
    )

    def __init__(self, limit: int = MAX_LIMIT_BYTES) -> None:
        self._limit = limit
        self._held = 0
        self._held_by_kind = dict.fromkeys(Kind, 0)
        self._holdings: dict[Holding, None] = {}
        self._waiting: collections.OrderedDict[Holding, tuple[int, Callable[[], None]]] = (
            collections.OrderedDict()
        )
        self._evictions = 0
        self._waits = 0
        self._peak = 0

    @property
    def limit(self) -> int:
        """Most bytes that may be held or reserved."""
        return self._limit

    @property
    def held(self) -> int:
        """Bytes that are held or reserved."""
        return self._held

    @property
    def peak(self) -> int:
        """Most bytes that were held or reserved at once since the start."""
        return self._peak

    @property
    def has_waiting(self) -> bool:
        """Whether a holding waits for room."""
        return bool(self._waiting)

    @property
    def waits(self) -> int:
        """Number of reservations since the start that had to wait."""
        return self._waits

    @property
    def evictions(self) -> int:
        """Number of holdings that were ended for the sake of others since the start."""
        return self._evictions

    @property
    def max_answer_bytes(self) -> int:
        """Longest answer that is held whole."""
        return min(MAX_ANSWER_BYTES, int(self._limit * MAX_ANSWER_SHARE))

    @property
    def max_reserved(self) -> int:
        """Most bytes that are held or reserved when one more is reserved."""
        return int(self._limit * (1.0 - SHORT_SHARE))

    def held_by(self, kind: Kind) -> int:
        """Return the bytes that are held or reserved for one purpose."""
        return self._held_by_kind[kind]

    def open(self, kind: Kind, on_evicted: Callable[[], None] | None = None) -> Holding:
        """Return a holding without any bytes."""
        holding = Holding(self, kind, on_evicted)
        self._holdings[holding] = None
        return holding

    def charge(self, holding: Holding, size: int) -> bool:
        """Add to what a holding is charged; return False if that exceeds the budget."""
        if holding not in self._holdings:
            return False
        self._add(holding, size)
        while self._held > self._limit:
            victim = self._victim()
            if victim is None:
                return False
            self._evict(victim)
        return holding in self._holdings

    def discharge(self, holding: Holding, size: int) -> None:
        """Subtract from what a holding is charged."""
        if holding in self._holdings:
            self._add(holding, -size)
            self._grant()

    def reserve(self, holding: Holding, size: int) -> bool:
        """Reserve room for a holding of `size` bytes, if it is free and nobody waits before."""
        if holding not in self._holdings:
            return False
        if size <= holding.charged:
            return True
        may_pass = holding.grows and self.is_longest(holding)
        if (self._waiting and not may_pass) or not self._fits(holding, size):
            return False
        self._set_reserved(holding, size)
        return True

    def is_longest(self, holding: Holding) -> bool:
        """Return whether a holding that grows has most of those that do."""
        return holding is self._longest_growing()

    def enqueue(self, holding: Holding, size: int, on_granted: Callable[[], None]) -> None:
        """Reserve room for a holding as soon as those that wait already have theirs."""
        if holding not in self._holdings:
            return
        self._waits += 1
        self._waiting[holding] = (size, on_granted)
        self._end_slow_requests(holding, size)
        self._grant()

    def cancel_wait(self, holding: Holding) -> None:
        """Stop waiting for room, if the holding does."""
        if self._waiting.pop(holding, None) is not None:
            self._grant()

    def close(self, holding: Holding) -> None:
        """Give back what a holding is charged."""
        if holding not in self._holdings:
            return
        self._add(holding, -holding.charged)
        holding.clear()
        del self._holdings[holding]
        self._waiting.pop(holding, None)
        self._grant()

    def _add(self, holding: Holding, size: int) -> None:
        self._held += size
        self._held_by_kind[holding.kind] += size
        self._peak = max(self._peak, self._held)

    def _fits(self, holding: Holding, size: int) -> bool:
        growth = size - holding.charged
        if self._held + growth > self._limit_of(holding):
            return False
        if holding.kind not in REQUEST_KINDS:
            return True
        others = sum(self._held_by_kind[kind] for kind in REQUEST_KINDS) - holding.charged
        return not others or others + size <= self._limit * MAX_REQUEST_SHARE

    def _limit_of(self, holding: Holding) -> int:
        """Return how much may be held once a holding has what it asks for."""
        if not holding.grows:
            return self.max_reserved
        longest = self._longest_growing()
        if longest is None or longest is holding:
            return self._limit
        return self.max_reserved - max(0, self.max_answer_bytes - longest.charged)

    def _longest_growing(self) -> Holding | None:
        growing = [holding for holding in self._holdings if holding.grows]
        return max(growing, key=lambda holding: holding.charged, default=None)

    def _set_reserved(self, holding: Holding, size: int) -> None:
        before = holding.charged
        holding.set_reserved(size)
        self._add(holding, holding.charged - before)

    def _grant(self) -> None:
        """Reserve room for those that wait, in their order.

        Requests do not hold up answers. The longest answer that grows is not held up by any, nor
        does one that grows hold up others.
        """
        held_up: set[bool] = set()
        for holding, (size, on_granted) in list(self._waiting.items()):
            if holding not in self._waiting:
                continue
            is_request = holding.kind in REQUEST_KINDS
            may_pass = holding.grows and self.is_longest(holding)
            if not may_pass and (is_request in held_up or False in held_up):
                continue
            if self._fits(holding, size):
                del self._waiting[holding]
                self._set_reserved(holding, size)
                on_granted()
            elif not holding.grows:
                held_up.add(is_request)

    def _victim(self) -> Holding | None:
        """Return the holding to end next, None if none can be ended."""
        candidates = [holding for holding in self._holdings if holding.on_evicted]
        for holding in candidates:
            if holding.kind in REQUEST_KINDS and not holding.reserved and holding.bytes:
                return holding
        return max(candidates, key=_eviction_rank, default=None)

    def _end_slow_requests(self, holding: Holding, size: int) -> None:
        """End requests that are read slowly, the longest held first, until there is room."""
        for other in list(self._holdings):
            if self._fits(holding, size):
                return
            is_request = other.kind in REQUEST_KINDS and other.on_evicted is not None
            if is_request and other.is_slow and other is not holding:
                self._evict(other)

    def _evict(self, holding: Holding) -> None:
        self._evictions += 1
        on_evicted, holding.on_evicted = holding.on_evicted, None
        assert on_evicted is not None
        on_evicted()
        self.close(holding)


def limit_for(memory_bytes: int) -> int:
    """Return the budget of a process that may use so much memory; 0 stands for any amount.

    Examples
    --------
    >>> limit_for(150_000_000), limit_for(0)
    (46800000, 256000000)
    """
    if not memory_bytes:
        return MAX_LIMIT_BYTES
    rest = int((memory_bytes - OWN_BYTES) * USABLE_SHARE)
    return max(MIN_LIMIT_BYTES, min(MAX_LIMIT_BYTES, rest))


def _eviction_rank(holding: Holding) -> tuple[bool, int]:
    return not holding.declared, holding.charged
