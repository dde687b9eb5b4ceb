"""Budget of the memory that heads and unfinished lines of messages take, as a sum.

A head of many short header lines takes ten to sixty times its bytes, and a line without end is kept
by the parser. The load that this answers: many peers at once whose heads are as long as the limits
allow, that send requests ahead of the answers, or that hold a message that they never end. What
ordinary messages take is not counted, so that they are not refused beside them.
"""

from __future__ import annotations

from collections.abc import Callable

from hollyring.limits import byte_budget

LINE_BYTES = 400
"""Memory of a header line besides its bytes, with the copies that are made of it."""

COPIES = 3
"""Copies of the bytes of a head: as read, as parsed, and in the request to the upstream."""

REQUEST_BYTES = 6_000
"""Memory of a request that waits behind another one of its connection, besides its head."""

ORDINARY_BYTES = 4_096
ORDINARY_LINES = 48
"""Bytes of names and values, and lines, up to which the memory of a head is not counted."""

STEP_BYTES = 24_000
"""Step by which the memory of a head grows."""

UNFINISHED_SECONDS = 0.5
"""Time after which an unfinished head may be ended for others."""

MEMORY_SHARE = 0.15
"""Share of what a process has beside its own memory."""

MIN_LIMIT_BYTES = 4 * byte_budget.BYTES_PER_MEGABYTE
MAX_LIMIT_BYTES = 64 * byte_budget.BYTES_PER_MEGABYTE


class HeadHolding:
    """Memory that the heads of one connection take; made by `HeadBudget.open`."""

    __slots__ = ("_budget", "_bytes", "on_evicted")

    def __init__(self, budget: HeadBudget, on_evicted: Callable[[], None]) -> None:
        self._budget = budget
        self._bytes = 0
        self.on_evicted = on_evicted

    @property
    def bytes(self) -> int:
        """Bytes that are held."""
        return self._bytes

    def take(self, size: int, now: float) -> bool:
        """Take `size` bytes more, for a head that is not whole; return False without room.

        Unfinished heads of others that have been held for longer than `UNFINISHED_SECONDS` are
        ended for it, the longest held first.

        Parameters
        ----------
        now
            Time in seconds, of a clock that never goes back.
        """
        return self._budget.take(self, size, now)

    def finish(self) -> None:
        """Record that what was taken belongs to whole heads, which are not ended for others."""
        self._budget.finish(self)

    def give_back(self, size: int) -> None:
        """Give bytes back."""
        self._budget.give_back(self, size)

    def add(self, size: int) -> None:
        """Record a change that the budget has made."""
        self._bytes += size


class HeadBudget:
    """Memory that unfinished lines and the heads of messages may take at the same time.

    Parameters
    ----------
    limit
        Most bytes, unless a single connection alone takes more.

    Examples
    --------
    >>> budget = HeadBudget(limit=1_000_000)
    >>> first = budget.open(lambda: first.give_back(900_000))
    >>> second = budget.open(lambda: second.give_back(900_000))
    >>> first.take(900_000, now=0.0), second.take(900_000, now=0.1), budget.held
    (True, False, 900000)
    >>> second.take(900_000, now=5.0), first.bytes, budget.held
    (True, 0, 900000)
    >>> second.take(2_000_000, now=5.0)
    True
    """

    __slots__ = ("_limit", "_held", "_refusals", "_evictions", "_unfinished")

    def __init__(self, limit: int = MAX_LIMIT_BYTES) -> None:
        self._limit = limit
        self._held = 0
        self._refusals = 0
        self._evictions = 0
        self._unfinished: dict[HeadHolding, float] = {}

    @property
    def limit(self) -> int:
        """Most bytes that heads may take."""
        return self._limit

    @property
    def held(self) -> int:
        """Bytes that heads take."""
        return self._held

    @property
    def refusals(self) -> int:
        """Number of heads since the start for which there was no room."""
        return self._refusals

    @property
    def evictions(self) -> int:
        """Number of unfinished heads since the start that were ended for others."""
        return self._evictions

    def open(self, on_evicted: Callable[[], None]) -> HeadHolding:
        """Return a holding without any bytes.

        Parameters
        ----------
        on_evicted
            Called to end the unfinished head of the connection for the sake of others; gives back
            what it took.
        """
        return HeadHolding(self, on_evicted)

    def take(self, holding: HeadHolding, size: int, now: float) -> bool:
        """Take bytes for a holding, as `HeadHolding.take` says."""
        while not self._has_room(holding, size):
            victim = self._victim(holding, now)
            if victim is None:
                self._refusals += 1
                return False
            self._evict(victim)
        self._held += size
        holding.add(size)
        self._unfinished.setdefault(holding, now)
        return True

    def finish(self, holding: HeadHolding) -> None:
        """Record that a holding has whole heads only."""
        self._unfinished.pop(holding, None)

    def give_back(self, holding: HeadHolding, size: int) -> None:
        """Give bytes of a holding back."""
        self._held -= size
        holding.add(-size)
        if not holding.bytes:
            self._unfinished.pop(holding, None)

    def _has_room(self, holding: HeadHolding, size: int) -> bool:
        is_only_one = self._held <= holding.bytes
        return is_only_one or self._held + size <= self._limit

    def _victim(self, holding: HeadHolding, now: float) -> HeadHolding | None:
        """Return the unfinished head that has been held for longest, if that is long."""
        others = (other for other in self._unfinished if other is not holding)
        oldest = next(others, None)
        if oldest is None or now - self._unfinished[oldest] <= UNFINISHED_SECONDS:
            return None
        return oldest

    def _evict(self, holding: HeadHolding) -> None:
        self._evictions += 1
        del self._unfinished[holding]
        holding.on_evicted()


def is_ordinary(head_bytes: int, lines: int) -> bool:
    """Return whether a head takes so little memory that it is not counted."""
    return head_bytes <= ORDINARY_BYTES and lines <= ORDINARY_LINES


def cost(head_bytes: int, lines: int) -> int:
    """Return the memory that a head takes.

    Examples
    --------
    >>> cost(15_400, 2_200)
    926200
    """
    return COPIES * head_bytes + LINE_BYTES * lines


def limit_for(memory_bytes: int) -> int:
    """Return the budget of a process that may use so much memory; 0 stands for any amount.

    Examples
    --------
    >>> limit_for(150_000_000), limit_for(0)
    (11700000, 64000000)
    """
    if not memory_bytes:
        return MAX_LIMIT_BYTES
    rest = int((memory_bytes - byte_budget.OWN_BYTES) * MEMORY_SHARE)
    return max(MIN_LIMIT_BYTES, min(MAX_LIMIT_BYTES, rest))
