"""Era of the store, as learned from its answers and from other VMs."""

from __future__ import annotations

import math
from collections.abc import Callable

from hollyring.node import clock, logs

FIRST_ERA = 1
"""Highest era of a store that has never returned from an older copy."""


class StoreEra:
    """Highest era of the store that this VM has learned of."""

    __slots__ = ("_current", "_risen_at", "_rises", "_known", "_listeners", "_log")

    def __init__(self) -> None:
        self._current = 0
        self._risen_at = -math.inf
        self._rises = 0
        self._known = False
        self._listeners: list[Callable[[], None]] = []
        self._log = logs.Logger("store")

    @property
    def current(self) -> int:
        """Highest era learned of, 0 before the first."""
        return self._current

    @property
    def risen_at(self) -> float:
        """Monotonic time since which the store may have been back from a copy, -inf if it is not.

        For a VM that started after the store's return, it is the time of the first answer.
        """
        return self._risen_at

    @property
    def rises(self) -> int:
        """Number of times that the era has risen since the start of this VM."""
        return self._rises

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` each time that the era rises."""
        self._listeners.append(listener)

    def observe(self, era: int, source: str) -> None:
        """Record an era that `source`, the store or another VM, has stated."""
        if self._known and era <= self._current:
            return
        before, self._current = self._current, era
        if not self._known:
            self._known = True
            if era > FIRST_ERA:
                self._risen_at = clock.now()
            return
        self._risen_at = clock.now()
        self._rises += 1
        self._log.info("store returned from an older copy", era=era, before=before, source=source)
        for listener in self._listeners:
            listener()
