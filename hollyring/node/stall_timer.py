"""Notice of a client that receives nothing of what was written to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

STALL_SECONDS = 20.0
"""Time after which a client is cut that has received nothing of what was written."""


class StallTimer:
    """Watches the unsent bytes of a connection while no more is written to it.

    Parameters
    ----------
    transport
        Transport of the socket.
    on_stalled
        Called once the client has received nothing for `STALL_SECONDS`.
    """

    __slots__ = ("_transport", "_on_stalled", "_unsent_bytes", "_timer")

    def __init__(self, transport: asyncio.WriteTransport, on_stalled: Callable[[], None]) -> None:
        self._transport = transport
        self._on_stalled = on_stalled
        self._unsent_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Watch from now on, if it does not yet."""
        if self._timer is None:
            self._unsent_bytes = self._transport.get_write_buffer_size()
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(STALL_SECONDS, self._check)

    def stop(self) -> None:
        """Watch no longer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if self._transport.get_write_buffer_size() >= self._unsent_bytes:
            self._on_stalled()
        else:
            self.start()
