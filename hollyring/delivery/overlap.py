"""How long two upstreams may work on one stream, when the second was tried as the first was silent.

The silent upstream may go on while the second one may still refuse or fail. Once the second one has
had the request for `MAX_SECONDS` and has done neither, one of the two attempts is closed: the first
one, or the second one if the first has gone on meanwhile.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Sequence

MAX_SECONDS = 0.25
"""Time for which a stream's attempts overlap; upstreams have to see the close within 0.4 s."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Facts about an attempt in progress.

    Parameters
    ----------
    sent_at
        Time at which its upstream got the request, in seconds; None before.
    silent
        Whether its upstream has sent nothing for so long that another one was tried.
    """

    sent_at: float | None
    silent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Overlap:
    """Attempts that overlap until one of them is closed.

    Parameters
    ----------
    ends_at
        Time at which the overlap ends, in seconds.
    closed
        Positions of the attempts that are closed then.
    """

    ends_at: float
    closed: tuple[int, ...]


NONE = Overlap(math.inf, ())
"""No attempts overlap."""


def judge(attempts: Sequence[Attempt]) -> Overlap:
    """Return when the first overlap of a stream's attempts ends, and which of them are closed.

    Parameters
    ----------
    attempts
        The attempts in progress, in the order of their start.

    Examples
    --------
    >>> silent, next_one = Attempt(sent_at=1.0, silent=True), Attempt(sent_at=2.0, silent=False)
    >>> judge([silent, next_one])
    Overlap(ends_at=2.25, closed=(0,))
    >>> judge([silent, dataclasses.replace(next_one, sent_at=None)]) == NONE
    True
    """
    later = [
        (attempt.sent_at, position)
        for position, attempt in enumerate(attempts)
        if position and attempt.sent_at is not None
    ]
    if not later:
        return NONE
    sent_at, position = min(later)
    earlier_goes_on = not all(attempt.silent for attempt in attempts[:position])
    closed = (position,) if earlier_goes_on else tuple(range(position))
    return Overlap(sent_at + MAX_SECONDS, closed)
