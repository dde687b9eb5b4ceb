"""How many bytes of a connection are read at once, so that others have their turn.

What costs time is not the bytes but what the parser finds in them: a read of 64 KB may hold one
part of a body, or eleven thousand chunks of one byte. A read is as long as some hundred events, by
what the last one held; only a body that declared its length is read in long parts.
"""

from __future__ import annotations

FIRST_BYTES = 4_096
"""Bytes of a read in which nearly every request of usual size is whole."""

LEAST_BYTES = 512
CHUNKED_BYTES = 16_384
LONGEST_BYTES = 65_536

EVENTS_PER_READ = 256
"""Events that a read is to hold at most."""

COSTLY_EVENTS = 128
"""Events of a read after which its connection waits until others had their turn."""


class ReadPace:
    """Length of the next read of one connection, in bytes.

    Examples
    --------
    >>> pace = ReadPace()
    >>> pace.record(4_096, events=683), pace.size
    (True, 1535)
    >>> pace.begin_body(declared_bytes=None)
    >>> pace.record(1_535, events=1), pace.size
    (False, 3070)
    """

    __slots__ = ("_size", "_most")

    def __init__(self) -> None:
        self._size = FIRST_BYTES
        self._most = FIRST_BYTES

    @property
    def size(self) -> int:
        """Most bytes of the next read."""
        return self._size

    def begin_body(self, declared_bytes: int | None) -> None:
        """Read a body in longer parts, up to its end if it declared its length."""
        self._most = CHUNKED_BYTES
        if declared_bytes is not None:
            self._most = max(FIRST_BYTES, min(LONGEST_BYTES, declared_bytes))

    def end_body(self) -> None:
        """Read what follows in short parts again."""
        self._most = FIRST_BYTES
        self._size = min(self._size, self._most)

    def record(self, size: int, events: int) -> bool:
        """Adapt to a read of some bytes; return whether others are to have their turn first."""
        if not events:
            self._size = FIRST_BYTES
        elif events > EVENTS_PER_READ:
            self._size = max(LEAST_BYTES, size * EVENTS_PER_READ // events)
        elif size >= self._size and events <= COSTLY_EVENTS:
            self._size = 2 * self._size
        self._size = min(self._size, self._most)
        return events > COSTLY_EVENTS
