"""Monotonic clock that also counts the time for which the operating system is suspended."""

from __future__ import annotations

import time


def now() -> float:
    """Return the seconds since boot, including suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
