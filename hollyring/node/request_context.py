"""What is known of one request while it runs, and how one of its tries ended."""

from __future__ import annotations

import dataclasses

from hollyring.configuration import deployment
from hollyring.core import execution, request_types
from hollyring.delivery import event_stream, retry
from hollyring.node import clock, interfaces, responses
from hollyring.routing import selection


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A try that the upstream may have run.

    Parameters
    ----------
    reason
        For the log.
    answer, body
        The upstream's own failure, if it gave one.
    """

    reason: str
    head: interfaces.ResponseHead | None = None
    body: bytes = b""

    @property
    def execution_status(self) -> execution.Execution:
        """What is known of the request having run."""
        return execution.Execution.UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """A try that was surely not run."""

    reason: str

    @property
    def execution_status(self) -> execution.Execution:
        """What is known of the request having run."""
        return execution.Execution.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The caller has its answer."""


Outcome = Done | Failed | NotRun


@dataclasses.dataclass(slots=True)
class RequestContext:
    """One request.

    Parameters
    ----------
    arrived_at
        When it came.
    priority
        Its urgency, 0 first.
    min_target_seconds
        The shortest target of the routes to its service, in seconds.
    events
        What the caller has of a stream.
    selected
        Where the present try goes.
    first_byte_at
        When the caller got the first part of its answer, 0 before.
    last_failure
        The last try that may have run.
    """

    request: request_types.Request
    response: responses.ResponseWriter
    route: deployment.Route
    organisation: deployment.Organisation | None
    service: deployment.Service
    retry_state: retry.RetryState
    arrived_at: float
    priority: int
    min_target_seconds: float
    events: event_stream.EventStream
    selected: selection.Selection | None = None
    first_byte_at: float = 0.0
    last_failure: Failed | None = None

    @property
    def seconds_left(self) -> float:
        """Seconds until the caller must have its final answer."""
        return self.retry_state.seconds_left(clock.now())

    @property
    def request_id(self) -> str:
        """Name of the attempt."""
        return self.request.request_id

    @property
    def isolated_organisation(self) -> str:
        """The organisation that shares no cached prompts with others, empty for none."""
        organisation = self.organisation
        return organisation.name if organisation is not None and organisation.isolated else ""
