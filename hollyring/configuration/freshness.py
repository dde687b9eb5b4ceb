"""How recent a VM's copy of the store is, and whether it may be used.

The time as of which a copy is known to be complete counts from before a question was asked, of the
store or of another VM, never from the arrival of a message: a message may have lain unread for as
long as the event loop was late. A change that was acknowledged before that time is in the copy.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

CHECK_SHARE = 0.65
"""Share of the bound after which a VM asks the store itself."""

USE_SHARE = 0.85
"""Share of the bound up to which the copy is used; the rest is for sending what it decides."""

SAME_AGE_SECONDS = 0.05
"""Difference of two ages that messages make on their way."""

WATCHER_CHECK_SHARE = 0.2
"""Share of the bound after which a VM asks the store on which the others rely."""

WINDOW_SECONDS = 10.0
"""Time over which the largest age at use is kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessRules:
    """How recent the copy has to be.

    Parameters
    ----------
    bound_seconds
        Time after an acknowledged change from which no older copy may be used.
    serves_without_store
        Whether an older copy is used while the store answers neither this VM nor any other one that
        this VM reaches, unless another VM has named a later change.
    """

    bound_seconds: float = 2.0
    serves_without_store: bool = True


class Freshness:
    """Times as of which the copies of some prefixes of the store are known to be complete.

    Parameters
    ----------
    prefixes
        Prefixes whose copies decide about requests.
    rules
        Bound on the age of the copies.
    others
        Prefixes whose age is known, too, and bounds nothing.

    Examples
    --------
    >>> freshness = Freshness(["op/"], FreshnessRules(bound_seconds=2.0))
    >>> freshness.record("op/", 10.0)
    >>> freshness.is_outdated(11.6), freshness.is_outdated(11.8)
    (False, True)
    >>> freshness.record_unanswered(11.8)
    >>> freshness.may_use(11.8), freshness.may_use(14.0)
    (True, False)
    """

    __slots__ = (
        "_complete_at",
        "_others_complete_at",
        "_behind_since",
        "_rules",
        "_unanswered_at",
        "_others_answered_at",
        "_others_current_since",
        "_largest",
        "_previous",
        "_window_at",
    )

    def __init__(
        self, prefixes: Iterable[str], rules: FreshnessRules, others: Iterable[str] = ()
    ) -> None:
        self._complete_at = dict.fromkeys(prefixes, -math.inf)
        self._others_complete_at = dict.fromkeys(others, -math.inf)
        self._behind_since: dict[str, float] = {}
        self._rules = rules
        self._unanswered_at = -math.inf
        self._others_answered_at = -math.inf
        self._others_current_since = -math.inf
        self._largest = 0.0
        self._previous = 0.0
        self._window_at = -math.inf

    @property
    def rules(self) -> FreshnessRules:
        """Bound on the age of the copies."""
        return self._rules

    @property
    def prefixes(self) -> list[str]:
        """Prefixes whose copies decide about requests."""
        return list(self._complete_at)

    @property
    def store_unanswered(self) -> bool:
        """Whether the last question to the store got no answer."""
        return not math.isinf(self._unanswered_at)

    def record(self, prefix: str, at: float) -> None:
        """Record that the copy of a prefix holds every change acknowledged before `at`."""
        for complete_at in (self._complete_at, self._others_complete_at):
            if prefix in complete_at:
                complete_at[prefix] = max(complete_at[prefix], at)

    def record_behind(self, prefix: str, now: float) -> None:
        """Record that another VM has named a change that the copy of a prefix lacks."""
        if prefix in self._complete_at:
            self._behind_since.setdefault(prefix, now)

    def record_caught_up(self, prefix: str) -> None:
        """Record that the copy of a prefix has every change that other VMs have named."""
        self._behind_since.pop(prefix, None)

    def record_copies_of_another(self, at: float, now: float) -> None:
        """Record that the copies of another VM were complete as of `at`.

        So the store answered that VM, or one before it, at that time.
        """
        if now >= self.others_current_until:
            self._others_current_since = now
        self._others_answered_at = max(self._others_answered_at, at)

    def record_answered(self) -> None:
        """Record that the store answered."""
        self._unanswered_at = -math.inf

    def record_unanswered(self, now: float) -> None:
        """Record that the store gave no answer in time to a question."""
        self._unanswered_at = now

    def age_of(self, prefix: str, now: float) -> float:
        """Return the seconds since which changes of a prefix may be missing."""
        complete_at = self._complete_at | self._others_complete_at
        return now - complete_at.get(prefix, -math.inf)

    def age(self, now: float) -> float:
        """Return the seconds since which changes of some prefix may be missing."""
        return now - min(self._complete_at.values())

    def others_age(self, now: float) -> float:
        """Return the age of the most recent copies of another VM that this one was told of."""
        return now - self._others_answered_at

    @property
    def others_current_until(self) -> float:
        """Time until which another VM may decide by its copies, as far as this one was told.

        Until then the store is not away: this VM is behind.
        """
        return self._others_answered_at + USE_SHARE * self._rules.bound_seconds

    @property
    def others_current_since(self) -> float:
        """Time at which this VM was told so after a time in which it was not."""
        return self._others_current_since

    def is_behind_others(self, now: float) -> bool:
        """Return whether the copies should be brought up to those of another VM."""
        lag = self._others_answered_at - min(self._complete_at.values())
        return lag > SAME_AGE_SECONDS and self.is_check_due(now)

    def is_check_due(self, now: float) -> bool:
        """Return whether this VM asks the store itself, as nobody has kept its copies recent."""
        return now >= self.check_due_at(watches=False)

    def check_due_at(self, watches: bool) -> float:
        """Return when to ask the store.

        Parameters
        ----------
        watches
            Whether other VMs rely on this one to ask it.
        """
        share = WATCHER_CHECK_SHARE if watches else CHECK_SHARE
        return min(self._complete_at.values()) + share * self._rules.bound_seconds

    def is_outdated(self, now: float) -> bool:
        """Return whether a change may be missing that has to be in force."""
        return self.age(now) > USE_SHARE * self._rules.bound_seconds

    def is_store_silent(self, now: float) -> bool:
        """Return whether a question of this VM got no answer lately, which may be its own fault.

        A VM with old copies asks again and again; while others keep them recent, it does not, and
        a question that got no answer says nothing any more.
        """
        return now - self._unanswered_at <= self._rules.bound_seconds

    def may_use(self, now: float) -> bool:
        """Return whether requests may be decided by the copies."""
        if not self.is_outdated(now):
            return True
        return self.is_store_silent(now) and self.may_use_without_store(now)

    def may_use_without_store(self, now: float) -> bool:
        """Return whether requests may be decided by old copies if the store does not answer.

        They may not while another VM has recent ones or has named a change that these lack.
        """
        is_behind = now < self.others_current_until or bool(self._behind_since)
        return self._rules.serves_without_store and not is_behind

    def stays_behind(self, now: float, seconds: float) -> bool:
        """Return whether this VM alone gets no answers, and that stays so for `seconds`.

        If it was told of newer copies or of a change less than `seconds` ago, the store may be
        back, or another VM may bring the change.
        """
        if not self.is_store_silent(now):
            return False
        behind_since = min(self._behind_since.values(), default=math.inf)
        if now - behind_since > seconds:
            return True
        told_ago = now - self._others_current_since
        return told_ago > seconds and now + seconds < self.others_current_until

    def record_use(self, now: float) -> None:
        """Record that a request is decided by the copies."""
        self._turn_window(now)
        self._largest = max(self._largest, self.age(now))

    def largest_age(self, now: float) -> float:
        """Return the largest age at use in the last `WINDOW_SECONDS` or up to twice as long."""
        self._turn_window(now)
        return max(self._largest, self._previous)

    def _turn_window(self, now: float) -> None:
        if now - self._window_at < WINDOW_SECONDS:
            return
        recent = now - self._window_at < 2 * WINDOW_SECONDS
        self._previous = self._largest if recent else 0.0
        self._largest = 0.0
        self._window_at = now


def stated(age: float) -> float:
    """Return an age to state in a message or a log, in seconds; -1 if it is not known."""
    return -1.0 if math.isinf(age) else round(age, 3)
