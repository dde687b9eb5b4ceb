"""Order and completeness of one generated answer over any number of upstream attempts.

Answers that are relayed event by event are checked by `event_stream` instead.

The text generated so far is the only state that grows with the stream. A token is passed on in the
call that receives it, so backpressure applies: the upstream is read only as fast as the caller
reads.
"""

from __future__ import annotations

import dataclasses

import xxhash

from hollyring.core import invariants
from hollyring.delivery import errors, event_ids, refusal

MAX_TEXT_BYTES = 1 << 20
"""Longest text of one answer; it bounds the memory that a VM uses for a stream."""

PIECES_PER_CHUNK = 256
"""Number of small strings that are joined into one chunk."""


# Token, Deliver and EventId are created for each token; a frozen class would take 3 times as long.
@dataclasses.dataclass(slots=True)
class Token:
    """One generated token from an upstream.

    Parameters
    ----------
    attempt
        Number of its attempt, from `Stream.begin`.
    position
        Index of the token within the attempt, from 0.
    text
        Text of the token.
    """

    attempt: int
    position: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """End of the answer, reported by the upstream after `position` tokens of the attempt."""

    attempt: int
    position: int
    finish_reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """End of an attempt without a finish: a closed connection, a timeout or an error."""

    attempt: int


UpstreamEvent = Token | Finish | Lost


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Parameters of the next request to an upstream.

    Parameters
    ----------
    number
        Number of the attempt.
    resume_text
        Text after which the upstream continues; empty on a first attempt.
    resume_tokens
        Number of tokens in that text.
    """

    number: int
    resume_text: str
    resume_tokens: int


@dataclasses.dataclass(slots=True)
class Deliver:
    """Text for the caller, with the ID of its event."""

    event_id: event_ids.EventId
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """The answer is complete; the caller's last event has this `finish_reason`."""

    event_id: event_ids.EventId
    finish_reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """The attempt was lost; begin another one or `fail` the stream."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The answer cannot be completed; the caller gets an explicit error event."""

    refusal: refusal.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Ignore:
    """Nothing for the caller: a late event, or text that it already has."""


IGNORE = Ignore()

Result = Deliver | Complete | Interrupted | Failed | Ignore


@dataclasses.dataclass(frozen=True, slots=True)
class Resumption:
    """A caller's request to continue after the last event that it received.

    Parameters
    ----------
    last_event_id
        ID of that event.
    text
        Text that the caller has received, if it sent it. Without it the answer is generated again,
        the part that the caller has is withheld, and its digest is checked before anything is
        delivered.
    """

    last_event_id: event_ids.EventId
    text: str | None = None


class Stream:
    """One streamed answer.

    Parameters
    ----------
    request_id
        ID of the request, part of each event ID.
    request_digest
        Result of `event_ids.request_digest` for the request.
    counters
        Counters of the invariants that are checked.
    resumption
        Position at which the caller resumes, or None for a new answer.

    Raises
    ------
    EventIdError
        If the text sent by a resuming caller does not match its event ID.

    Examples
    --------
    An inference server fails after one token, and the next one continues from there.

    >>> stream = Stream("r-7", 0, invariants.Invariants())
    >>> first = stream.begin()
    >>> stream.accept(Token(first.number, 0, "Kigo")).text
    'Kigo'
    >>> stream.accept(Lost(first.number))
    Interrupted(attempt=1)
    >>> second = stream.begin()
    >>> second.resume_text
    'Kigo'
    >>> stream.accept(Token(first.number, 1, "late"))
    Ignore()
    >>> stream.accept(Token(second.number, 0, "ma")).event_id.tokens
    2
    >>> stream.accept(Finish(second.number, 1, "stop")).finish_reason
    'stop'
    >>> stream.text, stream.complete
    ('Kigoma', True)
    """

    __slots__ = (
        "_request_id",
        "_counters",
        "_chunks",
        "_pieces",
        "_bytes",
        "_tokens",
        "_delivered_tokens",
        "_hash",
        "_resume_point",
        "_attempt_number",
        "_next_position",
        "_attempt_open",
        "_ended",
        "_finish_reason",
        "_late_count",
    )

    def __init__(
        self,
        request_id: str,
        request_digest: int,
        counters: invariants.Invariants,
        resumption: Resumption | None = None,
    ) -> None:
        self._request_id = request_id
        self._counters = counters
        self._chunks: list[str] = []
        self._pieces: list[str] = []
        self._bytes = 0
        self._tokens = 0
        self._delivered_tokens = 0
        self._hash = xxhash.xxh3_64(seed=request_digest)
        self._resume_point: event_ids.EventId | None = None
        self._attempt_number = 0
        self._next_position = 0
        self._attempt_open = False
        self._ended = False
        self._finish_reason = ""
        self._late_count = 0
        if resumption is not None:
            self._resume(resumption)

    @property
    def text(self) -> str:
        """All text generated so far, after which a next upstream continues."""
        return "".join(self._chunks) + "".join(self._pieces)

    @property
    def tokens(self) -> int:
        """Number of tokens generated so far, over all attempts."""
        return self._tokens

    @property
    def attempts(self) -> int:
        """Number of attempts begun so far."""
        return self._attempt_number

    @property
    def late_count(self) -> int:
        """Number of events ignored because their attempt was abandoned or the stream had ended."""
        return self._late_count

    @property
    def complete(self) -> bool:
        """Whether the answer ended with an upstream's finish."""
        return bool(self._finish_reason)

    @property
    def finish_reason(self) -> str:
        """The upstream's finish reason; empty before the finish."""
        return self._finish_reason

    @property
    def ended(self) -> bool:
        """Whether the caller has been sent its last event, after a complete answer or not."""
        return self._ended

    @property
    def event_id(self) -> event_ids.EventId:
        """Event ID for all text generated so far."""
        return event_ids.EventId(
            self._request_id, self._tokens, self._hash.intdigest(), self.complete
        )

    def begin(self) -> Attempt:
        """Begin the next attempt; events of earlier attempts are ignored from now on.

        Raises
        ------
        StreamEndedError
            If the caller already has the last event.
        """
        if self._ended:
            raise errors.StreamEndedError(self._request_id)
        self._attempt_number += 1
        self._next_position = 0
        self._attempt_open = True
        return Attempt(self._attempt_number, self.text, self._tokens)

    def accept(self, event: UpstreamEvent) -> Result:
        """Handle an event from an upstream and return the result for the caller."""
        if self._ended or event.attempt != self._attempt_number or not self._attempt_open:
            self._late_count += 1
            return IGNORE
        match event:
            case Token():
                return self._token(event)
            case Finish():
                return self._finish(event)
            case Lost():
                self._attempt_open = False
                return Interrupted(self._attempt_number)

    def fail(self, reason: refusal.Refusal) -> Failed:
        """End the stream with an explicit error event."""
        self._counters.check("stream_ends_once", not self._ended, self._request_id)
        self._attempt_open = False
        self._ended = True
        return Failed(reason)

    def _resume(self, resumption: Resumption) -> None:
        last = resumption.last_event_id
        self._request_id = last.request_id
        self._delivered_tokens = last.tokens
        if resumption.text is None:
            self._resume_point = last if last.tokens else None
            return
        self._append(resumption.text)
        self._tokens = last.tokens
        if self._hash.intdigest() != last.digest or self._bytes > MAX_TEXT_BYTES:
            raise errors.EventIdError("the text is not the one that the event identity stands for")
        if last.final:
            self._finish_reason = "stop"
            self._ended = True

    def _token(self, token: Token) -> Result:
        if not self._in_order(token.position):
            return self._abandon_attempt()
        self._next_position += 1
        self._tokens += 1
        self._append(token.text)
        if self._bytes > MAX_TEXT_BYTES:
            return self.fail(refusal.make("answer_too_long"))
        if self._resume_point is not None:
            return self._verify_digest(self._resume_point)
        self._delivered_tokens += 1
        self._counters.check(
            "stream_in_order", self._delivered_tokens == self._tokens, self._request_id
        )
        return Deliver(self.event_id, token.text)

    def _finish(self, finish: Finish) -> Result:
        if not self._in_order(finish.position):
            return self._abandon_attempt()
        resume_point = self._resume_point
        if resume_point is not None and not (
            resume_point.final and resume_point.tokens == self._tokens
        ):
            return self.fail(refusal.make("resume_mismatch"))
        self._counters.check("stream_ends_once", not self._ended, self._request_id)
        self._finish_reason = finish.finish_reason
        self._attempt_open = False
        self._ended = True
        return Complete(self.event_id, finish.finish_reason)

    def _verify_digest(self, resume_point: event_ids.EventId) -> Result:
        if self._tokens < resume_point.tokens:
            return IGNORE
        if self._hash.intdigest() != resume_point.digest:
            return self.fail(refusal.make("resume_mismatch"))
        if not resume_point.final:
            self._resume_point = None
        return IGNORE

    def _in_order(self, position: int) -> bool:
        return position == self._next_position

    def _abandon_attempt(self) -> Interrupted:
        """Abandon an attempt whose tokens have a gap; the next one generates the rest again."""
        self._attempt_open = False
        return Interrupted(self._attempt_number)

    def _append(self, text: str) -> None:
        encoded = text.encode()
        self._pieces.append(text)
        if len(self._pieces) == PIECES_PER_CHUNK:
            self._chunks.append("".join(self._pieces))
            self._pieces.clear()
        self._bytes += len(encoded)
        self._hash.update(encoded)
