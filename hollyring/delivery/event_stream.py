"""The events of one answer, whole and in order, whichever upstreams they come from.

Bytes of an upstream are cut into whole events; an event that breaks off in the middle is never
handed on. When another upstream continues the stream, only events after the last one that the
caller has are taken.
"""

from __future__ import annotations

from hollyring.delivery import errors

SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1_000_000


class EventStream:
    """Cuts and orders the events of one answer.

    Parameters
    ----------
    after
        Number of the last event that the caller has, or None at the start.

    Examples
    --------
    >>> stream = EventStream(None)
    >>> stream.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> stream.last_number
    1
    >>> stream.resume()
    >>> stream.feed(b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n")
    b'id: 2\\ndata: b\\n\\n'
    """

    __slots__ = ("_last", "_rest", "_resumed")

    def __init__(self, after: int | None) -> None:
        self._last = after
        self._rest = b""
        self._resumed = after is not None

    @property
    def last_number(self) -> int | None:
        """Number of the last event handed on, or None before the first."""
        return self._last

    @property
    def at_event_boundary(self) -> bool:
        """Whether no event is half received."""
        return not self._rest.strip()

    def resume(self) -> None:
        """Drop what was half received; another upstream continues."""
        self._rest = b""
        self._resumed = True

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are complete now.

        Raises
        ------
        StreamOrderError
            If an event is missing or unreadable; nothing after it may be handed on.
        """
        joined = self._rest + data
        end = joined.rfind(SEPARATOR)
        if end < 0:
            if len(joined) > MAX_EVENT_BYTES:
                raise errors.StreamOrderError("event too long")
            self._rest = joined
            return b""
        self._rest = joined[end + len(SEPARATOR) :]
        events = joined[: end + len(SEPARATOR)].split(SEPARATOR)[:-1]
        return b"".join(event + SEPARATOR for event in events if self._accept(event))

    def _accept(self, event: bytes) -> bool:
        number = _number(event)
        if number is None:
            return True
        if self._last is not None:
            if self._resumed and number <= self._last:
                return False
            if number != self._last + 1:
                raise errors.StreamOrderError(f"event {number} after {self._last}")
        self._last = number
        return True


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            if not text.isdigit():
                raise errors.StreamOrderError("unreadable event identity")
            return int(text)
    return None
