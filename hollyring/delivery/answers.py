"""What an answer of an upstream proves about the request that it may belong to.

An answer is judged from facts alone: when its head has arrived by `judge_head`, and when it has
ended by `judge_body_end` or `judge_stream_end`. All that a caller is told follows from the verdict;
in particular, no caller is told that a request was not run unless the answer that says so can
belong to that request only.
"""

from __future__ import annotations

import dataclasses
import enum

HTTP_OK = 200
HTTP_CLIENT_ERROR = 400
FINAL_STATUSES = range(200, 600)
"""Statuses that the answer to a request may have."""

PROMISES = (408, 421, 429, 503)
"""Statuses that tell a caller that its request was not run and never will be."""


class Naming(enum.Enum):
    """Which request the head of an answer names."""

    THIS = enum.auto()
    NONE = enum.auto()
    OTHER = enum.auto()


class Framing(enum.Enum):
    """How an answer states where it ends: it may also end with its connection."""

    LENGTH = enum.auto()
    CHUNKS = enum.auto()
    CONNECTION = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Facts about the head of an answer.

    Parameters
    ----------
    status
        HTTP status.
    naming
        Which request it names.
    alone
        Whether the connection carried nothing before this request.
    authentic
        Whether it has the signature of an upstream.
    not_run
        Whether it states that the upstream did not run the request.
    misdirected
        Whether it states that another upstream, or one with other weights, was meant.
    has_events
        Whether its content type is that of a stream of events.
    encoded
        Whether its body is encoded, which no request asks for, so that it is not the server's.
    """

    status: int
    naming: Naming
    alone: bool
    authentic: bool = False
    not_run: bool = False
    misdirected: bool = False
    has_events: bool = False
    encoded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Foreign:
    """The answer belongs to another request; that to this one may follow."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream did not run the request and will not."""

    misdirected: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The answer is of no use to the caller, and the request may have run."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """A body follows, which answers the request if it is whole."""


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """Events of the stream follow, which are passed on as they arrive."""


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """The answer is whole.

    Parameters
    ----------
    is_proved
        Whether it stated where it ends; otherwise the end of its connection is all that tells.
    """

    is_proved: bool


HeadVerdict = Foreign | NotRun | Failed | Body | Events
EndVerdict = Whole | Failed


def judge_head(head: Head, streaming: bool, begun: bool) -> HeadVerdict:
    """Return what the head of an answer proves.

    Parameters
    ----------
    head
        Facts about it.
    streaming
        Whether the request asks for a stream of events.
    begun
        Whether the caller has the beginning of a stream, which only events can continue.

    Examples
    --------
    >>> refusal = Head(503, Naming.NONE, alone=True, not_run=True)
    >>> judge_head(refusal, streaming=False, begun=False)
    NotRun(misdirected=False)
    >>> judge_head(dataclasses.replace(refusal, alone=False), streaming=False, begun=False)
    Failed(reason='names no request on a connection that carried another')
    """
    origin = judge_origin(head)
    if origin is not None:
        return origin
    if head.not_run and head.status < HTTP_CLIENT_ERROR:
        return Failed(f"status {head.status} that states that it was not run")
    if head.misdirected or head.not_run:
        return NotRun(head.misdirected)
    if head.status in PROMISES:
        return Failed(f"status {head.status} without a statement that it was not run")
    if not head.authentic:
        return Failed(f"status {head.status} without a signature")
    content = judge_content(head)
    if content is not None:
        return content
    if streaming and head.status == HTTP_OK and head.has_events:
        return Events()
    if begun and head.status == HTTP_OK:
        return Failed("no stream of events")
    return Body()


def judge_origin(head: Head) -> Foreign | Failed | None:
    """Return why an answer does not count as that to the request, None if it can be no other's."""
    if head.naming is Naming.OTHER:
        return Foreign()
    if head.naming is Naming.NONE and not head.alone:
        return Failed("names no request on a connection that carried another")
    if head.status not in FINAL_STATUSES:
        return Failed(f"status {head.status}, which HTTP does not have")
    return None


def judge_content(head: Head) -> Failed | None:
    """Return why the body that follows is not the server's own, None if it may be."""
    return Failed("body with an encoding") if head.encoded else None


def judge_call_end(alone: bool, followed: bool) -> EndVerdict:
    """Return what the end of an answer to a call proves, whose answers name none.

    Parameters
    ----------
    alone
        Whether the connection carried nothing before this call.
    followed
        Whether another answer has begun behind it, so that it may be one to an earlier call, that
        was written once more.
    """
    if followed and not alone:
        return Failed("another answer follows on a connection that carried another call")
    return Whole(is_proved=True)


def judge_body_end(framing: Framing) -> Whole:
    """Return what the end of a body proves, which was neither cut short nor reset."""
    return Whole(is_proved=framing is not Framing.CONNECTION)


def judge_stream_end(
    framing: Framing,
    events: int,
    partial: bool,
    begun: bool,
    promised: bool,
    behind: bool = False,
) -> EndVerdict:
    """Return what the end of a stream proves, which was not reset.

    A stream that goes on may have no event left, if the upstream before it broke off behind the
    last one. An empty body shows that only where it is ended as a stream of events is.

    Parameters
    ----------
    framing
        How the answer states where it ends.
    events
        Number of events that it brought, those included that the caller had.
    partial
        Whether it ended within an event.
    begun
        Whether the caller had a part of the stream before.
    promised
        Whether the response to the caller states where it ends, so that its end says it is whole.
    behind
        Whether its last event is one before the last that the caller had, which shows another run.
    """
    if partial:
        return Failed("ended within an event")
    if behind:
        return Failed("ended before the last event that the caller has")
    if events == 0 and not (begun and framing is Framing.CHUNKS):
        return Failed("ended without an event")
    if promised and framing is Framing.CONNECTION:
        return Failed("ended without stating its end")
    return Whole(is_proved=framing is not Framing.CONNECTION)
