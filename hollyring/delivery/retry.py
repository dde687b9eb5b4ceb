"""Attempts of one request: whether it may be sent again, and what a refusal may state.

Several attempts may be in progress, when another upstream is tried while one is silent.

The execution status of a refusal depends on `RetryState.reached`: whether an upstream may have run
the request. An attempt counts as a possible run from its start, unless it turns out that its
upstream received no byte of the request or did not run it. While `reached` is true, no final
answer states "not run".
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
from collections.abc import Iterable

from hollyring.core import execution, request_types
from hollyring.delivery import refusal

MAX_SENDS = 5
"""Maximum number of times one request is sent, including those that upstreams refuse."""

MAX_UNSENT = 5
"""Maximum number of attempts of one request of which no byte is sent, for want of a connection."""

MIN_ASK_AGAIN_SECONDS = 0.3
"""Time after its first refusal by an upstream for which a request that ran is not sent there again.

It doubles with each refusal, as an upstream that loads weights refuses until it has them.
"""

MIN_SECONDS_LEFT = 0.03
"""Nothing is sent with less time than this left before the deadline."""


class Denial(enum.StrEnum):
    """Why a request may not be sent again."""

    SENDS_USED_UP = "sends used up"
    CONNECTS_USED_UP = "connects used up"
    NO_TIME = "no time"
    RUNS_USED_UP = "runs used up"
    RUNS_ONCE = "may run once"
    ANSWER_STARTED = "answer started"


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Limits on the attempts of a request.

    Parameters
    ----------
    retry_safety
        How often the request may be run.
    deadline
        Monotonic second by which the caller must have the final answer.
    max_runs
        Maximum number of upstreams that may run the request.
    max_sends
        Maximum number of times that bytes of the request are sent to an upstream.
    """

    retry_safety: request_types.RetrySafety
    deadline: float
    max_runs: int
    max_sends: int = MAX_SENDS


class RetryState:
    """Attempts of one request.

    Parameters
    ----------
    policy
        Limits on the attempts.
    tried_elsewhere
        Names of upstreams that another VM tried.

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

    __slots__ = (
        "_policy",
        "_tried_elsewhere",
        "_sends",
        "_unsent",
        "_paid",
        "_bought",
        "_runs",
        "_in_progress",
        "_reached",
        "_refusals",
        "_refused_at",
        "_ran",
        "_broke_off",
        "_upstreams",
        "_unsent_upstreams",
        "_failure_domains",
    )

    def __init__(self, policy: RetryPolicy, tried_elsewhere: Iterable[str] = ()) -> None:
        self._policy = policy
        self._tried_elsewhere = frozenset(tried_elsewhere)
        self._sends = 0
        self._unsent = 0
        self._paid = 1  # the first attempt costs no retry
        self._bought = 0
        self._runs = 0
        self._in_progress = 0
        self._reached = False
        self._refusals = 0
        self._refused_at = -math.inf
        self._ran: set[str] = set()
        self._broke_off: set[str] = set()
        self._upstreams: list[str] = []
        self._unsent_upstreams: list[str] = []
        self._failure_domains: list[str] = []

    @property
    def retry_safety(self) -> request_types.RetrySafety:
        """How often the request may be run."""
        return self._policy.retry_safety

    @property
    def deadline(self) -> float:
        """Monotonic second by which the caller must have the final answer."""
        return self._policy.deadline

    @property
    def sends(self) -> int:
        """Number of attempts, those included of which no byte was sent."""
        return self._sends

    @property
    def reached(self) -> bool:
        """Whether an upstream may have run the request, or may be running it."""
        return self._reached or self._in_progress > 0

    @property
    def runs_left(self) -> int:
        """Number of upstreams that may still run the request, that of the last attempt included."""
        others = max(0, self._in_progress - 1)
        return self._policy.max_runs - self._runs - others

    @property
    def unsent(self) -> int:
        """Number of attempts of which no byte was sent."""
        return self._unsent

    @property
    def arrivals(self) -> int:
        """Number of times that bytes of the request were sent to an upstream."""
        return self._sends - self._unsent

    @property
    def sends_left(self) -> int:
        """Number of times that bytes of the request may still be sent."""
        return self._policy.max_sends - self.arrivals

    @property
    def tried_elsewhere(self) -> frozenset[str]:
        """Names of the upstreams that other VMs tried."""
        return self._tried_elsewhere

    @property
    def upstreams(self) -> frozenset[str]:
        """Names of the upstreams of all attempts, those of other VMs included."""
        return self._tried_elsewhere | frozenset(self._upstreams)

    @property
    def sent_upstreams(self) -> frozenset[str]:
        """Names of the upstreams to which bytes were sent, by other VMs as well."""
        sent = collections.Counter(self._upstreams)
        sent.subtract(self._unsent_upstreams)
        return self._tried_elsewhere | frozenset(name for name, sends in sent.items() if sends > 0)

    @property
    def second_choices(self) -> tuple[frozenset[str], ...]:
        """Which upstreams not to ask again, by preference, once none is left that was not tried.

        One that did not run the request may run it now, and is no further one that runs it. One
        that fell silent and was closed comes next, one that broke the request off never.
        """
        if not self.reached:
            return (frozenset(),)
        return (self._tried_elsewhere | self._ran, self._tried_elsewhere | self._broke_off)

    @property
    def closed_upstreams(self) -> frozenset[str]:
        """Upstreams that may run a stream again once its runs are used up, as no further ones.

        These are the ones that ran it and were closed early, of a stream that may be resumed.
        """
        if self._policy.retry_safety is not request_types.RetrySafety.RESUMABLE:
            return frozenset()
        return frozenset(self._ran - self._broke_off)

    @property
    def ask_again_at(self) -> float:
        """Monotonic second from which an upstream that was tried may be asked again."""
        if not self.reached:
            return -math.inf
        return self._refused_at + MIN_ASK_AGAIN_SECONDS * 2.0 ** (self._refusals - 1)

    @property
    def failure_domains(self) -> frozenset[str]:
        """Failure domains of the upstreams of all attempts."""
        return frozenset(self._failure_domains)

    @property
    def last_upstream(self) -> frozenset[str]:
        """Name of the last attempt's upstream, as a set that is empty before the first attempt."""
        return frozenset(self._upstreams[-1:])

    def seconds_left(self, now: float) -> float:
        """Return the seconds until the caller must have the final answer."""
        return self._policy.deadline - now

    def has_time(self, now: float) -> bool:
        """Return whether there is time for another attempt."""
        return self.seconds_left(now) >= MIN_SECONDS_LEFT

    @property
    def needs_retry(self) -> bool:
        """Whether the next attempt costs a retry of the budget.

        One that followed an attempt of which nothing was sent uses the retry of that.
        """
        return self._paid <= 0

    @property
    def unused_retries(self) -> int:
        """Number of retries of the budget that the request got and did not use."""
        return min(self._bought, self._paid)

    def record_retry(self) -> None:
        """Record that the request got a retry of the budget, for its next attempt."""
        self._paid += 1
        self._bought += 1

    def begin(self, upstream: str, failure_domain: str = "") -> None:
        """Record the start of an attempt at an upstream in a failure domain."""
        self._paid = max(0, self._paid - 1)
        self._sends += 1
        self._in_progress += 1
        self._upstreams.append(upstream)
        self._failure_domains.append(failure_domain)

    def begin_forward(self) -> None:
        """Record that another VM makes the next attempts."""
        self._paid = max(0, self._paid - 1)
        self._sends += 1
        self._in_progress += 1

    def record_forward(
        self, sends: int, upstreams: Iterable[str] = (), may_have_run: bool = False
    ) -> None:
        """Record how often another VM sent the request, and the upstreams that it tried.

        It follows `begin_forward`; `record_failure` counts one run, and each further send may have
        been another, at a second upstream that was tried while the first was silent.
        """
        if may_have_run:
            self._runs += max(0, sends - 1)
        self._tried_elsewhere |= frozenset(upstreams)
        if not sends:
            self.record_unsent()
            return
        self._sends += sends - 1

    def record_unsent(self, upstream: str = "") -> None:
        """Record that no byte of an attempt was sent, at an upstream if this VM made it."""
        self._unsent += 1
        self._paid += 1
        if upstream:
            self._unsent_upstreams.append(upstream)

    def withdraw(self) -> None:
        """Undo the start of the last attempt, of which nothing was sent."""
        self._paid += 1
        self._sends -= 1
        self._in_progress -= 1
        self._upstreams.pop()
        self._failure_domains.pop()

    def record_failure(self, ran: execution.Execution, upstream: str = "") -> None:
        """Record that an attempt failed or was closed, and whether its upstream ran the request.

        Parameters
        ----------
        ran
            Whether it ran the request.
        upstream
            Name of the upstream, empty if another VM made the attempt.
        """
        self._in_progress -= 1
        if ran is execution.Execution.NOT_RUN:
            return
        self._reached = True
        self._runs += 1
        self._ran.add(upstream)

    def record_broken_off(self, upstream: str) -> None:
        """Record that an upstream failed the request, beside `record_failure`."""
        self._broke_off.add(upstream)

    def record_refusal(self, now: float) -> None:
        """Record that an upstream stated that it did not run it, beside `record_failure`."""
        self._refusals += 1
        self._refused_at = now

    @property
    def may_run_elsewhere(self) -> bool:
        """Whether another upstream may run the request beside those of the open attempts."""
        at_most_once = self._policy.retry_safety is request_types.RetrySafety.AT_MOST_ONCE
        runs = self._runs + max(1, self._in_progress)
        return not at_most_once and runs < self._policy.max_runs

    def may_retry(self, now: float, answer_started: bool) -> bool:
        """Return whether the request may be sent again; the retry budget is checked separately.

        Parameters
        ----------
        now
            Monotonic seconds.
        answer_started
            Whether the caller has received a part of the answer.
        """
        return self.denial(now, answer_started) is None

    def denial(self, now: float, answer_started: bool) -> Denial | None:
        """Return why the request may not be sent again, None if it may; see `may_retry`."""
        if self.sends_left <= 0:
            return Denial.SENDS_USED_UP
        if self._unsent >= MAX_UNSENT:
            return Denial.CONNECTS_USED_UP
        if not self.has_time(now):
            return Denial.NO_TIME
        if not self.reached:
            return None
        if self._runs + self._in_progress >= self._policy.max_runs:
            return Denial.RUNS_USED_UP
        match self._policy.retry_safety:
            case request_types.RetrySafety.AT_MOST_ONCE:
                return Denial.RUNS_ONCE
            case request_types.RetrySafety.IDEMPOTENT if answer_started:
                return Denial.ANSWER_STARTED
        return None

    def final_refusal(
        self, code: str, now: float, retry_after: float | None = None
    ) -> refusal.Refusal:
        """Return the refusal `code`, or one that does not state "not run" if that is uncertain.

        Parameters
        ----------
        code
            Code of the refusal if no upstream can have run the request.
        now
            Monotonic seconds.
        retry_after
            Seconds after which the caller may retry, if more precise than the value in
            `refusal.KINDS`.
        """
        if not self.reached:
            return refusal.make(code, retry_after)
        near_deadline = not self.has_time(now)
        return refusal.make("deadline_exceeded" if near_deadline else "upstream_failed")
