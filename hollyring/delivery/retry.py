"""The tries of one request: what may be sent again, and what a refusal may claim.

The truth of a refusal rests on one fact, `Tries.reached`: whether a byte of the request may have
reached an upstream that did not say that it was not run. Once it is set, no final answer says "not
run".
"""

from __future__ import annotations

import dataclasses

from hollyring.core import execution, request_types
from hollyring.delivery import refusal

MAX_SENDS = 5
"""Most times that one request is sent, refusals by upstreams included."""

MIN_SECONDS_LEFT = 0.03
"""With less time than this before the deadline nothing is sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """What a request allows.

    Parameters
    ----------
    repeat
        How often it may be run.
    deadline
        When its caller must have the final answer.
    max_runs
        Most upstreams that may run it.
    """

    repeat: request_types.RetrySafety
    deadline: float
    max_runs: int


class RetryState:
    """The tries of one request, one after the other.

    Examples
    --------
    >>> policy = RetryPolicy(request_types.RetrySafety.IDEMPOTENT, deadline=2.0, max_runs=2)
    >>> state = RetryState(policy)
    >>> state.begin("ls-1", "a")
    >>> state.record_failure(execution.Execution.UNKNOWN)
    >>> state.may_retry(now=0.5, answer_started=False), state.reached, sorted(state.upstreams)
    (True, True, ['ls-1'])
    >>> state.final_refusal("overloaded", now=0.5).code
    'upstream_failed'
    """

    __slots__ = ("_terms", "_sends", "_runs", "_open", "_reached", "_upstreams", "_domains")

    def __init__(self, terms: RetryPolicy) -> None:
        self._terms = terms
        self._sends = 0
        self._runs = 0
        self._open = False
        self._reached = False
        self._upstreams: list[str] = []
        self._domains: list[str] = []

    @property
    def repeat(self) -> request_types.RetrySafety:
        """How often the request may be run."""
        return self._terms.repeat

    @property
    def deadline(self) -> float:
        """When the caller must have the final answer."""
        return self._terms.deadline

    @property
    def sends(self) -> int:
        """How often the request was sent."""
        return self._sends

    @property
    def reached(self) -> bool:
        """Whether an upstream may have run the request, or may run it now."""
        return self._reached or self._open

    @property
    def upstreams(self) -> frozenset[str]:
        """The upstreams that were tried."""
        return frozenset(self._upstreams)

    @property
    def failure_domains(self) -> frozenset[str]:
        """The failure domains of the upstreams that were tried."""
        return frozenset(self._domains)

    @property
    def last_upstream(self) -> frozenset[str]:
        """The upstream that was tried last."""
        return frozenset(self._upstreams[-1:])

    def seconds_left(self, now: float) -> float:
        """Return the seconds until the caller must have the final answer."""
        return self._terms.deadline - now

    def has_time(self, now: float) -> bool:
        """Tell whether there is time for another try."""
        return self.seconds_left(now) >= MIN_SECONDS_LEFT

    def begin(self, upstream: str, failure_domain: str = "") -> None:
        """Count a try at an upstream in a failure domain."""
        self._sends += 1
        self._open = True
        self._upstreams.append(upstream)
        self._domains.append(failure_domain)

    def record_failure(self, ran: execution.Execution) -> None:
        """Take in that the last try failed, and whether its upstream ran the request."""
        self._open = False
        if ran is execution.Execution.NOT_RUN:
            return
        self._reached = True
        self._runs += 1

    @property
    def may_run_elsewhere(self) -> bool:
        """Whether another upstream may run the request should the present one fail."""
        once = self._terms.repeat is request_types.RetrySafety.AT_MOST_ONCE
        return not once and self._runs + 1 < self._terms.max_runs

    def may_retry(self, now: float, answer_started: bool) -> bool:
        """Tell whether the request may be sent again; the retry budget is asked besides.

        Parameters
        ----------
        begun
            Whether the caller has a part of the answer.
        """
        if self._sends >= MAX_SENDS or not self.has_time(now):
            return False
        if not self.reached:
            return True
        if self._runs >= self._terms.max_runs:
            return False
        match self._terms.repeat:
            case request_types.RetrySafety.AT_MOST_ONCE:
                return False
            case request_types.RetrySafety.IDEMPOTENT:
                return not answer_started
            case request_types.RetrySafety.RESUMABLE:
                return True

    def final_refusal(
        self, code: str, now: float, retry_after: float | None = None
    ) -> refusal.Refusal:
        """Return the refusal `code`, or one that does not claim "not run" where that is not sure.

        Parameters
        ----------
        code
            Why the request ends if nothing of it ran.
        retry_after
            Seconds after which the caller may come back, where more is known than the table's.
        """
        if not self.reached:
            return refusal.make(code, retry_after)
        late = not self.has_time(now)
        return refusal.make("deadline_exceeded" if late else "upstream_failed")
