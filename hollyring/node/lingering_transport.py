"""Transport whose close does not cut what was written, although its peer goes on sending.

The kernel resets a connection that is closed with unread bytes of the peer, or that gets bytes
after its close, and the peer then loses what it has not read yet. So the sending side is ended
first, and what the peer sends is discarded for a bounded time and amount (RFC 9112, section 9.6).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from hollyring.node import sockets

LINGER_SECONDS = 1.0
"""Time for the peer to close after it has received everything, and for each step towards that."""

MAX_DISCARDED_BYTES = 1_048_576
"""Bytes of the peer that are discarded before the connection is closed."""


class LingeringTransport(asyncio.Transport):
    """Transport of a socket that may discard what it receives before it closes.

    Parameters
    ----------
    transport
        Transport that reads and writes.
    may_linger
        Returns, at a close, whether the peer may go on sending after it was answered whole.
    """

    __slots__ = (
        "_transport",
        "_may_linger",
        "_timer",
        "_unsent_bytes",
        "_discarded_bytes",
        "_is_paused",
        "_is_held",
    )

    def __init__(self, transport: asyncio.Transport, may_linger: Callable[[], bool]) -> None:
        super().__init__()
        self._transport = transport
        self._may_linger = may_linger
        self._timer: asyncio.TimerHandle | None = None
        self._unsent_bytes = 0
        self._discarded_bytes = 0
        self._is_paused = False
        self._is_held = False

    def close(self) -> None:
        """Close the connection, at once or after what was written has been received."""
        if self._timer is not None:
            return
        if self._transport.is_closing() or not self._may_linger():
            self._transport.close()
            return
        try:
            self._transport.write_eof()
        except OSError:  # the peer has reset the connection, which the event loop has yet to see
            self._transport.abort()
            return
        self._is_held = False
        self.resume_reading()
        self._unsent_bytes = self._count_unsent()
        self._start_timer()

    def discard(self, size: int) -> None:
        """Record that `size` bytes were received after `close`."""
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.end()

    def end(self) -> None:
        """Close the connection without waiting any longer."""
        if self._timer is not None:
            self._timer.cancel()
        self._transport.close()

    def is_closing(self) -> bool:
        """Return whether the connection is closed, or being closed."""
        return self._timer is not None or self._transport.is_closing()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write data, unless the sending side was ended."""
        if self._timer is None:
            self._transport.write(data)

    def abort(self) -> None:
        """Close the connection at once, whatever the peer has not received."""
        if self._timer is not None:
            self._timer.cancel()
        self._transport.abort()

    def pause_reading(self) -> None:
        """Receive no more."""
        self._is_paused = True
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Receive again, unless `hold_reading` forbids it."""
        self._is_paused = False
        if not self._is_held:
            self._transport.resume_reading()

    def hold_reading(self) -> None:
        """Receive no more until `release_reading`, whatever `resume_reading` says."""
        self._is_held = True
        self._transport.pause_reading()

    def release_reading(self) -> None:
        """Receive again, unless `pause_reading` forbids it."""
        self._is_held = False
        if not self._is_paused:
            self._transport.resume_reading()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the sizes of the write buffer at which the protocol pauses and resumes writing."""
        self._transport.set_write_buffer_limits(high, low)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the socket."""
        return self._transport.get_extra_info(name, default)

    def _count_unsent(self) -> int:
        unsent = sockets.unacknowledged_bytes(self._transport.get_extra_info("socket"))
        return self._transport.get_write_buffer_size() + unsent

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LINGER_SECONDS, self._check)

    def _check(self) -> None:
        """End the wait, unless the peer has received more since the last check."""
        unsent_bytes = 0 if self._transport.is_closing() else self._count_unsent()
        if unsent_bytes and unsent_bytes < self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._start_timer()
            return
        if unsent_bytes:
            self.abort()  # a close would wait until the peer has received it
            return
        self.end()
