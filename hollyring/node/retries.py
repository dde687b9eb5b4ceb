"""This VM's part of the fleet's retry budget: retries are a bounded part of its requests."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.1
"""Retries that each request adds to the budget."""

MAX_RETRIES = 20.0
"""Retries that may be saved up."""


class Retries:
    """A budget that requests fill and retries empty.

    When many upstreams fail at once, retries add at most `RETRIES_PER_REQUEST` to the load of
    those that are left.

    Examples
    --------
    >>> retries = Retries()
    >>> retries.take(20.0)
    >>> retries.left
    0.0
    >>> retries.request()
    >>> retries.left
    0.1
    """

    __slots__ = ("_left",)

    def __init__(self) -> None:
        self._left = MAX_RETRIES

    @property
    def left(self) -> float:
        """Retries that may be made now."""
        return self._left

    def request(self) -> None:
        """Count a request that came in."""
        self._left = min(MAX_RETRIES, self._left + RETRIES_PER_REQUEST)

    def take(self, cost: float) -> None:
        """Count a retry."""
        self._left = max(0.0, self._left - cost)
