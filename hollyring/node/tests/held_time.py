"""Event loop and clock without the time in which their process was ready to run, and did not run.

Tests in real time measure for how long the product waits and works. On a busy machine a process
also waits for a processor, at any step; Linux counts that time for each thread.
"""

import asyncio
import functools
import os
import threading
import time

import pytest

from hollyring.node import clock

NANOSECOND = 1e-9
MAX_READS = 10


@functools.cache
def _open_schedstat(thread):
    return os.open(f"/proc/self/task/{thread}/schedstat", os.O_RDONLY)


class Clock:
    """Monotonic clock of the thread that creates it."""

    def __init__(self):
        self._schedstat = _open_schedstat(threading.get_native_id())
        self._extra_seconds = 0.0
        self._last = 0.0

    def now(self):
        """Return the time, which never goes back."""
        held = self._held_seconds()
        for _ in range(MAX_READS):
            now = time.monotonic()
            before, held = held, self._held_seconds()
            if held == before:
                break
        self._last = max(self._last, now - held)
        return self._last

    def hold_up(self, seconds):
        """Let the process stand still, as when it waits for a processor."""
        time.sleep(seconds)
        self._extra_seconds += seconds

    def _held_seconds(self):
        _, queued, _ = os.pread(self._schedstat, 100, 0).split()
        return int(queued) * NANOSECOND + self._extra_seconds


class Loop(asyncio.SelectorEventLoop):
    """Event loop whose timers run on such a clock."""

    def __init__(self):
        self.clock = Clock()
        super().__init__()

    def time(self):
        return self.clock.now()


@pytest.fixture
def anyio_backend(request, monkeypatch):
    """Run a test in such time, unless it starts processes in a directory of its own."""
    if "tmp_path" in request.fixturenames:
        return "asyncio"

    def make_loop():
        loop = Loop()
        monkeypatch.setattr(clock, "now", loop.clock.now)
        return loop

    return "asyncio", {"loop_factory": make_loop}
