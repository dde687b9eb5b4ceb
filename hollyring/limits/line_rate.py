"""Rate of log lines that peers can cause, which would otherwise fill the log and take time."""

from __future__ import annotations


class LineRate:
    """Lines that may be logged in each second; the rest is counted.

    Parameters
    ----------
    per_second
        Most lines in a second.

    Examples
    --------
    >>> rate = LineRate(per_second=1)
    >>> rate.admit(0.0), rate.admit(0.5), rate.admit(0.9)
    (0, None, None)
    >>> rate.admit(1.2)
    2
    """

    __slots__ = ("_per_second", "_began", "_lines", "_left_out")

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._began = -float("inf")
        self._lines = 0
        self._left_out = 0

    def admit(self, now: float) -> int | None:
        """Return how many lines were left out before this one; None if it is left out, too."""
        if now - self._began >= 1.0:
            self._began = now
            self._lines = 0
        if self._lines >= self._per_second:
            self._left_out += 1
            return None
        self._lines += 1
        left_out, self._left_out = self._left_out, 0
        return left_out
