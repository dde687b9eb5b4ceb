"""What is known of one request while it runs, and how one of its tries ended."""

from __future__ import annotations

import dataclasses

from hollyring.configuration import deployment
from hollyring.core import execution, request_types
from hollyring.delivery import event_stream, retry
from hollyring.node import clock, interfaces, replies
from hollyring.routing import selection


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A try that the upstream may have run.

    Parameters
    ----------
    why
        For the log.
    answer, body
        The upstream's own failure, if it gave one.
    """

    why: str
    answer: interfaces.ResponseHead | None = None
    body: bytes = b""

    @property
    def ran(self) -> execution.Execution:
        """What is known of the request having run."""
        return execution.Execution.UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """A try that was surely not run."""

    why: str

    @property
    def ran(self) -> execution.Execution:
        """What is known of the request having run."""
        return execution.Execution.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The caller has its answer."""


Outcome = Done | Failed | NotRun


@dataclasses.dataclass(slots=True)
class Work:
    """One request.

    Parameters
    ----------
    arrived
        When it came.
    rank
        Its urgency, 0 first.
    shortest_target
        The shortest target of the routes to its service, in seconds.
    events
        What the caller has of a stream.
    place
        Where the present try goes.
    first_at
        When the caller got the first part of its answer, 0 before.
    last
        The last try that may have run.
    """

    ask: request_types.Request
    reply: replies.Reply
    route: deployment.Route
    organisation: deployment.Organisation | None
    service: deployment.Service
    tries: retry.RetryState
    arrived: float
    rank: int
    shortest_target: float
    events: event_stream.EventStream
    place: selection.Selection | None = None
    first_at: float = 0.0
    last: Failed | None = None

    @property
    def left(self) -> float:
        """Seconds until the caller must have its final answer."""
        return self.tries.seconds_left(clock.now())

    @property
    def name(self) -> str:
        """Name of the attempt."""
        return self.ask.request_id

    @property
    def isolated_for(self) -> str:
        """The organisation that shares no cached prompts with others, empty for none."""
        organisation = self.organisation
        return organisation.name if organisation is not None and organisation.isolated else ""
