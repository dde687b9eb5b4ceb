"""An event loop whose clock stands still between events, so that plays last no time."""

import asyncio
import selectors


class _Selector(selectors.DefaultSelector):
    """Tells the loop to move its clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.advance = None

    def select(self, timeout=None):
        found = super().select(0)
        if not found and timeout is None:
            raise AssertionError("nothing will ever happen")
        if not found and timeout > 0:
            self.advance(timeout)
        return found


class Loop(asyncio.SelectorEventLoop):
    """An event loop with simulated time."""

    def __init__(self):
        selector = _Selector()
        super().__init__(selector)
        self._simulated = 1000.0
        selector.advance = self._advance

    def time(self):
        return self._simulated

    def _advance(self, seconds):
        self._simulated += seconds
