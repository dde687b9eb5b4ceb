"""Whether a failed try may be repeated, where, and whose late answer is dropped."""

from __future__ import annotations

import dataclasses
import enum

from hollyring.core import execution

MAX_TRIES = 3
MIN_SECONDS_LEFT = 0.05
"""With less time than this before the deadline a retry can't help."""

RETRY_COST = 1.0
"""What one retry takes from the budget."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """How a try ended.

    Parameters
    ----------
    execution
        Whether the upstream ran it.
    tokens_sent
        Tokens that reached the caller already.
    retry_after
        Seconds that the upstream asked to wait, or 0.
    """

    execution: execution.Execution
    tokens_sent: int = 0
    retry_after: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What a request allows.

    Parameters
    ----------
    idempotent
        Running it twice does no harm.
    resumable
        Its stream can go on elsewhere after the tokens sent.
    deadline
        When the caller stops waiting.
    """

    idempotent: bool
    resumable: bool
    deadline: float


class Refusal(enum.StrEnum):
    """Why a try isn't repeated."""

    NOT_SAFE = "not_safe"
    OUT_OF_TRIES = "out_of_tries"
    OUT_OF_TIME = "out_of_time"
    OUT_OF_BUDGET = "out_of_budget"


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Try again elsewhere, `cost` of the budget being taken.

    Parameters
    ----------
    excluded, avoided_domains
        For the next `hollyring.routing.requests.RouteRequest`.
    resume
        Go on after the tokens that the caller has.
    cost
        What to take from the budget.
    """

    excluded: frozenset[str]
    avoided_domains: frozenset[str]
    resume: bool
    cost: float = RETRY_COST


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Tell the caller how it ended."""

    reason: Refusal
    execution: execution.Execution


@dataclasses.dataclass(frozen=True, slots=True)
class Try:
    """One numbered try of a request."""

    number: int
    upstream: str
    failure_domain: str


class Tries:
    """The tries of one request: only the latest one's answer reaches the caller.

    Examples
    --------
    >>> tries = Tries()
    >>> first = tries.begin("ls-1", "a")
    >>> second = tries.begin("ls-2", "b")
    >>> tries.accepts(first.number), tries.accepts(second.number), tries.dropped
    (False, True, 1)
    """

    __slots__ = ("_tries", "_executions", "_abandoned", "_dropped")

    def __init__(self) -> None:
        self._tries: list[Try] = []
        self._executions: list[execution.Execution] = []
        self._abandoned = False
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Late parts of abandoned tries that were dropped."""
        return self._dropped

    def begin(self, upstream: str, failure_domain: str) -> Try:
        """Number a new try; earlier ones are abandoned by it."""
        begun = Try(len(self._tries) + 1, upstream, failure_domain)
        self._tries.append(begun)
        return begun

    def end(self) -> None:
        """Abandon every try: the caller has its answer or has gone."""
        self._abandoned = True

    def accepts(self, number: int) -> bool:
        """Tell whether a part of the answer of try `number` may reach the caller."""
        if number == len(self._tries) and not self._abandoned:
            return True
        self._dropped += 1
        return False

    def decide(self, failure: Failure, terms: Terms, budget: float, now: float) -> Retry | GiveUp:
        """Decide after the latest try's failure.

        Parameters
        ----------
        failure
            How it ended.
        terms
            What the request allows.
        budget
            Retries that the fleet's budget still allows this VM.
        now
            Present time.
        """
        reason = self._refusal(failure, terms, budget, now)
        self._executions.append(failure.execution)
        if reason is not None:
            return GiveUp(reason, _together(self._executions))
        return Retry(
            frozenset(one.upstream for one in self._tries),
            frozenset(one.failure_domain for one in self._tries),
            resume=failure.tokens_sent > 0,
        )

    def _refusal(self, failure: Failure, terms: Terms, budget: float, now: float) -> Refusal | None:
        if not _safe(failure, terms):
            return Refusal.NOT_SAFE
        if len(self._tries) >= MAX_TRIES:
            return Refusal.OUT_OF_TRIES
        if now + MIN_SECONDS_LEFT > terms.deadline:
            return Refusal.OUT_OF_TIME
        if budget < RETRY_COST:
            return Refusal.OUT_OF_BUDGET
        return None


def _safe(failure: Failure, terms: Terms) -> bool:
    if failure.execution is execution.Execution.NOT_RUN:
        return True
    if not terms.idempotent:
        return False
    return failure.tokens_sent == 0 or terms.resumable


def _together(executions: list[execution.Execution]) -> execution.Execution:
    for known in (execution.Execution.RUN, execution.Execution.UNKNOWN):
        if known in executions:
            return known
    return execution.Execution.NOT_RUN
