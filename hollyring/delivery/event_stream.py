"""Complete, ordered events of one answer that is relayed from one or several upstreams.

Bytes from an upstream are split into complete events; an incomplete event is never passed on. When
another upstream continues the stream, only events after the last one that the caller has received
are accepted.
"""

from __future__ import annotations

import copy
import re

from hollyring.delivery import answers, errors

SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1_000_000
MAX_NUMBER_DIGITS = 18

FIELDS = frozenset({b"", b"data", b"event", b"id", b"retry"})
"""Names of the fields that an event may have; that of a comment is empty."""

PLAIN_EVENT = re.compile(rb"id: ?([0-9]{1,%d})(?:\n(?:data|event):[^\r\n]*)+" % MAX_NUMBER_DIGITS)
"""Form of nearly all events, which is matched faster than their lines are read."""


class EventStream:
    """Splits a stream of bytes into events and checks their order.

    Parameters
    ----------
    after
        Number of the last event that the caller has received, or None at the start.

    Examples
    --------
    >>> stream = EventStream(None)
    >>> stream.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> stream.last_number
    1
    >>> stream.begin_attempt()
    >>> stream.feed(b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n")
    b'id: 2\\ndata: b\\n\\n'
    """

    __slots__ = (
        "_last_number",
        "_buffer",
        "_forgotten_bytes",
        "_resumed",
        "_has_new",
        "_is_behind",
        "_events",
        "_unnumbered",
        "_error",
    )

    def __init__(self, after: int | None) -> None:
        self._last_number = after
        self._buffer = bytearray()
        self._forgotten_bytes = 0
        self._resumed = after is not None
        self._has_new = False
        self._is_behind = False
        self._unnumbered = False
        self._events = 0
        self._error: errors.StreamOrderError | None = None

    @property
    def last_number(self) -> int | None:
        """Number of the last event returned, or None before the first."""
        return self._last_number

    @property
    def may_continue(self) -> bool:
        """Whether another upstream may continue the stream: all its events have numbers."""
        return not self._unnumbered

    @property
    def events(self) -> int:
        """Number of complete events of this attempt, those included that the caller had."""
        return self._events

    @property
    def at_event_boundary(self) -> bool:
        """Whether no event is partly received."""
        return not self._buffer.strip()

    @property
    def partial_bytes(self) -> int:
        """Number of bytes received of an event that is not complete."""
        return len(self._buffer) or self._forgotten_bytes

    def for_attempt(self) -> EventStream:
        """Return a stream for an attempt that continues after the last event of this one."""
        attempt = copy.copy(self)
        attempt.begin_attempt()
        return attempt

    def forget_partial(self) -> None:
        """Discard a partly received event; `partial_bytes` still tells how long it was."""
        self._forgotten_bytes = len(self._buffer)
        self._buffer = bytearray()

    def begin_attempt(self) -> None:
        """Discard a partly received event; what follows comes from another attempt."""
        self._buffer = bytearray()
        self._forgotten_bytes = 0
        self._resumed = self._last_number is not None
        self._has_new = False
        self._is_behind = False
        self._events = 0
        self._error = None

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are now complete.

        Events that precede an invalid one are returned, and the next call or `check_end` raises.

        Raises
        ------
        StreamOrderError
            If an event is missing, duplicate, unreadable or has no number among events that have
            one; no later event may be passed on.
        """
        if self._error is not None:
            raise self._error
        # Only what is new is searched: a long event may come in very many parts.
        searched = max(0, len(self._buffer) + 1 - len(SEPARATOR))
        self._buffer += data
        end = self._buffer.rfind(SEPARATOR, searched)
        if end < 0:
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise errors.StreamOrderError("event exceeds the maximum size")
            return b""
        complete = bytes(self._buffer[:end])
        del self._buffer[: end + len(SEPARATOR)]
        accepted: list[bytes] = []
        for event in complete.split(SEPARATOR):
            try:
                if self._accept(event):
                    accepted.append(event + SEPARATOR)
            except errors.StreamOrderError as error:
                self._error = error
                if not accepted:
                    raise
                break
        return b"".join(accepted)

    def check_end(self, framing: answers.Framing, promised: bool) -> answers.Whole:
        """Return what the end of an attempt's answer proves, see `answers.judge_stream_end`.

        Raises
        ------
        StreamOrderError
            If an event was invalid, or the end does not prove that the stream is whole.
        """
        if self._error is not None:
            raise self._error
        partial = not self.at_event_boundary
        match answers.judge_stream_end(
            framing, self._events, partial, self._resumed, promised, self._is_behind
        ):
            case answers.Failed(reason=reason):
                raise errors.StreamOrderError(reason)
            case whole:
                return whole

    def _accept(self, event: bytes) -> bool:
        plain = PLAIN_EVENT.fullmatch(event)
        if plain is None and _is_comment(event):
            return True
        number = int(plain[1]) if plain is not None else _event_number(event)
        self._events += 1
        if number is None:
            return self._accept_unnumbered()
        if self._unnumbered:
            raise errors.StreamOrderError(f"event {number} follows one without a number")
        if self._last_number is not None:
            if self._resumed and not self._has_new and number <= self._last_number:
                self._is_behind = number < self._last_number
                return False
            if number != self._last_number + 1:
                raise errors.StreamOrderError(f"event {number} follows event {self._last_number}")
        self._last_number = number
        self._has_new = True
        self._is_behind = False
        return True

    def _accept_unnumbered(self) -> bool:
        """Accept an event without a number where no event has one, as in an error's text."""
        if self._last_number is not None:
            raise errors.StreamOrderError("event without a number")
        self._unnumbered = True
        return True


def _is_comment(event: bytes) -> bool:
    """Return whether a block has comments only, with which servers keep a connection open."""
    return all(not line or line.startswith(b":") for line in event.splitlines())


def _event_number(event: bytes) -> int | None:
    """Return the number of an event, None if it has none.

    Raises
    ------
    StreamOrderError
        If the number is unreadable, or the block has anything beside one event with a number, such
        as an error's text or another event behind it.
    """
    lines = event.strip(b"\r\n").splitlines()
    fields = [line.partition(b":") for line in lines]
    numbers = [value.strip() for name, _, value in fields if name == b"id"]
    if not numbers:
        return None
    if not all(lines):
        raise errors.StreamOrderError("several events in one")
    if len(numbers) > 1:
        raise errors.StreamOrderError("event with several numbers")
    if any(name not in FIELDS for name, _, _ in fields):
        raise errors.StreamOrderError("event with a line that is no field of one")
    if not numbers[0].isdigit() or len(numbers[0]) > MAX_NUMBER_DIGITS:
        raise errors.StreamOrderError("event ID is not a number")
    return int(numbers[0])
