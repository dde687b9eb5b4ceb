"""Order and completeness of one streamed answer, over as many upstream tries as it takes.

The stream holds the text generated so far and nothing else that grows: a token is handed on in
the call that brings it, so the node reads from the upstream only as fast as the caller takes.
"""

from __future__ import annotations

import dataclasses

import xxhash

from hollyring.core import invariants
from hollyring.delivery import errors, event_ids, refusal

MAX_TEXT_BYTES = 1 << 20
"""Longest text of one answer; what a VM keeps of a stream is bounded by it."""

PIECES_PER_CHUNK = 256
"""Small strings kept before they are joined into one."""


# Token, Deliver and EventId are made for each token, and a frozen class takes thrice the time.
@dataclasses.dataclass(slots=True)
class Token:
    """One generated token from an upstream.

    Parameters
    ----------
    attempt
        Number of the try that it belongs to, from `Stream.begin`.
    position
        Its place within that try, from 0.
    text
        Its text.
    """

    attempt: int
    position: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """The upstream's word that the answer is whole, after `position` tokens of the try."""

    attempt: int
    position: int
    finish_reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The try ended without a finish: a closed connection, a timeout, an error."""

    attempt: int


UpstreamEvent = Token | Finish | Lost


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """What to ask of the next upstream.

    Parameters
    ----------
    number
        Number of the try.
    resume_text
        The text after which the upstream goes on; empty on a first try.
    resume_tokens
        Tokens in that text.
    """

    number: int
    resume_text: str
    resume_tokens: int


@dataclasses.dataclass(slots=True)
class Deliver:
    """A piece of text for the caller, with the identity of its event."""

    event_id: event_ids.EventId
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """The answer is whole; the caller's last event carries `reason`."""

    event_id: event_ids.EventId
    finish_reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """The try was lost: begin another, or `fail` the stream."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The answer can't be completed; the caller gets an explicit error event."""

    refusal: refusal.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Ignore:
    """Nothing for the caller: a late arrival, or text that it already has."""


IGNORE = Ignore()

Result = Deliver | Complete | Interrupted | Failed | Ignore


@dataclasses.dataclass(frozen=True, slots=True)
class Resumption:
    """A caller's wish to go on after the last event that it has.

    Parameters
    ----------
    last
        Identity of that event.
    text
        The text that the caller has, when it sent it; else the answer is generated again, what
        the caller has is held back, and its digest is compared before anything follows.
    """

    last_event_id: event_ids.EventId
    text: str | None = None


class Stream:
    """One answer.

    Parameters
    ----------
    request
        Identity of the request, part of each event's identity.
    body_digest
        `events.request_digest` of the request's body.
    counters
        Invariants checked on the way.
    resumption
        Where the caller wants to go on.

    Raises
    ------
    EventIdError
        If the text sent by a resuming caller is not the one that its event identity stands for.

    Examples
    --------
    A language server dies after one token; the next goes on from there.

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
        "_request",
        "_counters",
        "_chunks",
        "_pieces",
        "_bytes",
        "_tokens",
        "_delivered",
        "_hash",
        "_held_back",
        "_attempt",
        "_position",
        "_open",
        "_ended",
        "_reason",
        "_late",
    )

    def __init__(
        self,
        request_id: str,
        request_digest: int,
        counters: invariants.Invariants,
        resumption: Resumption | None = None,
    ) -> None:
        self._request = request_id
        self._counters = counters
        self._chunks: list[str] = []
        self._pieces: list[str] = []
        self._bytes = 0
        self._tokens = 0
        self._delivered = 0
        self._hash = xxhash.xxh3_64(seed=request_digest)
        self._held_back: event_ids.EventId | None = None
        self._attempt = 0
        self._position = 0
        self._open = False
        self._ended = False
        self._reason = ""
        self._late = 0
        if resumption is not None:
            self._resume(resumption)

    @property
    def text(self) -> str:
        """All text generated so far, which a next upstream resumes after."""
        return "".join(self._chunks) + "".join(self._pieces)

    @property
    def tokens(self) -> int:
        """Tokens generated so far, over all tries."""
        return self._tokens

    @property
    def attempts(self) -> int:
        """Tries begun so far."""
        return self._attempt

    @property
    def late_count(self) -> int:
        """Arrivals dropped because they belonged to an abandoned try or an ended stream."""
        return self._late

    @property
    def complete(self) -> bool:
        """Whether the answer ended with an upstream's finish."""
        return bool(self._reason)

    @property
    def finish_reason(self) -> str:
        """The upstream's reason for finishing; empty until then."""
        return self._reason

    @property
    def ended(self) -> bool:
        """Whether the caller has been given the last event, whole or not."""
        return self._ended

    @property
    def event_id(self) -> event_ids.EventId:
        """Identity of the event that brought the caller to the present state."""
        return event_ids.EventId(self._request, self._tokens, self._hash.intdigest(), self.complete)

    def begin(self) -> Attempt:
        """Begin the next try; arrivals of earlier ones are late from now on.

        Raises
        ------
        StreamEndedError
            If the caller already has the last event.
        """
        if self._ended:
            raise errors.StreamEndedError(self._request)
        self._attempt += 1
        self._position = 0
        self._open = True
        return Attempt(self._attempt, self.text, self._tokens)

    def accept(self, arrival: UpstreamEvent) -> Result:
        """Take in what came from an upstream and return what the caller gets."""
        if self._ended or arrival.attempt != self._attempt or not self._open:
            self._late += 1
            return IGNORE
        match arrival:
            case Token():
                return self._token(arrival)
            case Finish():
                return self._finish(arrival)
            case Lost():
                self._open = False
                return Interrupted(self._attempt)

    def fail(self, why: refusal.Refusal) -> Failed:
        """End the stream with an explicit error event."""
        self._counters.check("stream_ends_once", not self._ended, self._request)
        self._open = False
        self._ended = True
        return Failed(why)

    def _resume(self, resumption: Resumption) -> None:
        last = resumption.last_event_id
        self._request = last.request_id
        self._delivered = last.tokens
        if resumption.text is None:
            self._held_back = last if last.tokens else None
            return
        self._append(resumption.text)
        self._tokens = last.tokens
        if self._hash.intdigest() != last.digest or self._bytes > MAX_TEXT_BYTES:
            raise errors.EventIdError("the text is not the one that the event identity stands for")
        if last.final:
            self._reason = "stop"
            self._ended = True

    def _token(self, token: Token) -> Result:
        if not self._in_order(token.position):
            return self._broken()
        self._position += 1
        self._tokens += 1
        self._append(token.text)
        if self._bytes > MAX_TEXT_BYTES:
            return self.fail(refusal.make("answer_too_long"))
        if self._held_back is not None:
            return self._compare(self._held_back)
        self._delivered += 1
        self._counters.check("stream_in_order", self._delivered == self._tokens, self._request)
        return Deliver(self.event_id, token.text)

    def _finish(self, finish: Finish) -> Result:
        if not self._in_order(finish.position):
            return self._broken()
        held = self._held_back
        if held is not None and not (held.final and held.tokens == self._tokens):
            return self.fail(refusal.make("resume_mismatch"))
        self._counters.check("stream_ends_once", not self._ended, self._request)
        self._reason = finish.finish_reason
        self._open = False
        self._ended = True
        return Complete(self.event_id, finish.finish_reason)

    def _compare(self, held: event_ids.EventId) -> Result:
        if self._tokens < held.tokens:
            return IGNORE
        if self._hash.intdigest() != held.digest:
            return self.fail(refusal.make("resume_mismatch"))
        if not held.final:
            self._held_back = None
        return IGNORE

    def _in_order(self, position: int) -> bool:
        return position == self._position

    def _broken(self) -> Interrupted:
        """Give up a try whose tokens have a gap: what follows is generated again elsewhere."""
        self._open = False
        return Interrupted(self._attempt)

    def _append(self, text: str) -> None:
        encoded = text.encode()
        self._pieces.append(text)
        if len(self._pieces) == PIECES_PER_CHUNK:
            self._chunks.append("".join(self._pieces))
            self._pieces.clear()
        self._bytes += len(encoded)
        self._hash.update(encoded)
