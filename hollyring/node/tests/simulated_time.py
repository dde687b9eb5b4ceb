"""Event loop with a simulated clock that jumps to the next timer instead of waiting."""

import asyncio
import selectors


class _Selector(selectors.DefaultSelector):
    """Selector that advances the clock of the event loop instead of waiting."""

    def __init__(self):
        super().__init__()
        self.advance = None

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout is None:
            raise AssertionError("the event loop has no timer to wait for")
        if not ready and timeout > 0:
            self.advance(timeout)
        return ready


class Loop(asyncio.SelectorEventLoop):
    """Event loop with simulated time."""

    def __init__(self):
        selector = _Selector()
        super().__init__(selector)
        self._now = 1000.0
        selector.advance = self._advance

    def time(self):
        return self._now

    def pass_unused(self, seconds):
        """Let time pass in which nothing runs, as when the event loop is late."""
        self._now += seconds

    def _advance(self, seconds):
        self._now += seconds
