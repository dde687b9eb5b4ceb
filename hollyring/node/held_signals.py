"""Signals that wait while a process has no handler for them, and would be ended by them."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Iterator

HELD = {signal.SIGHUP}
"""Signals that ask for something and do not stop the process."""


def hold() -> None:
    """Hold the signals back from now on; one of each kind waits."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD)


@contextlib.contextmanager
def delivered() -> Iterator[None]:
    """Deliver the signals, those included that wait, while the context is open."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD)
    try:
        yield
    finally:
        hold()
