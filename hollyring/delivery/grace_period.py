"""Whether a VM that leaves takes a request, and whether it may still send one to an upstream.

At the end of its grace period the process ends, and with it the connections of its callers. A
request that is open then gets an answer that can't say whether it ran. So one that may run only
once is taken and sent only if its deadline lies before that end; otherwise it is refused as not
run, and its caller asks a VM that stays, with most of its time left. What may be repeated or
resumed is taken on while callers still have the address, if its caller would have time to go on
elsewhere after the end.
"""

from __future__ import annotations

import dataclasses
import enum
import math

from hollyring.core import request_types

ACCEPT_SECONDS = 2.5
"""Time for which a leaving VM takes requests that it may be unable to finish.

Callers keep its address for a while, and most requests take far less than their deadline.
"""

RESUME_SECONDS = 1.0
"""Time that a caller needs for a connection to another VM, at which its stream goes on."""

RETRY_AFTER_SECONDS = 0.02
"""Time after which the caller of a refused request may ask another VM; nothing has to recover."""


class Verdict(enum.Enum):
    """What becomes of a request that a VM has read."""

    WHOLE = enum.auto()
    """It is taken, and ends before the process does."""

    REPEATABLE = enum.auto()
    """It is taken; if it outlasts the grace period, its caller has time to ask another VM."""

    REFUSED = enum.auto()
    """It is refused as not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class GracePeriod:
    """Time from a VM's first statement that it leaves to the end of its requests.

    Parameters
    ----------
    begins_at, ends_at
        Monotonic seconds; infinite for a VM that stays.

    Examples
    --------
    >>> period = GracePeriod(begins_at=0.0, ends_at=7.4)
    >>> safety = request_types.RetrySafety
    >>> period.verdict(safety.AT_MOST_ONCE, deadline=7.0, now=1.0)
    <Verdict.WHOLE: 1>
    >>> period.verdict(safety.AT_MOST_ONCE, deadline=11.0, now=1.0)
    <Verdict.REFUSED: 3>
    >>> period.verdict(safety.RESUMABLE, deadline=11.0, now=1.0)
    <Verdict.REPEATABLE: 2>
    """

    begins_at: float = math.inf
    ends_at: float = math.inf

    def verdict(
        self, retry_safety: request_types.RetrySafety, deadline: float, now: float
    ) -> Verdict:
        """Return what becomes of a request that ends at `deadline` at the latest."""
        if deadline <= self.ends_at:
            return Verdict.WHOLE
        if now >= self.begins_at + ACCEPT_SECONDS:
            return Verdict.REFUSED
        seconds_after_end = deadline - self.ends_at
        if seconds_after_end < self._seconds_to_go_on(retry_safety, now):
            return Verdict.REFUSED
        return Verdict.REPEATABLE

    def may_send(self, retry_safety: request_types.RetrySafety, deadline: float) -> bool:
        """Return whether a request that was taken may be sent, the first time or once more."""
        at_most_once = retry_safety is request_types.RetrySafety.AT_MOST_ONCE
        return deadline <= self.ends_at or not at_most_once

    def _seconds_to_go_on(self, retry_safety: request_types.RetrySafety, now: float) -> float:
        """Return the least time in which a caller may have the rest of a request elsewhere."""
        match retry_safety:
            case request_types.RetrySafety.AT_MOST_ONCE:
                return math.inf
            case request_types.RetrySafety.IDEMPOTENT:
                # It begins anew, and was not ready in the time that it had here.
                return self.ends_at - now
            case request_types.RetrySafety.RESUMABLE:
                return RESUME_SECONDS
