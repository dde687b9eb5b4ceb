"""The clock that decisions use: steady, and running on while the machine is suspended."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds since the machine started, its suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
