"""State of one request in progress, and outcomes of its attempts."""

from __future__ import annotations

import dataclasses

from hollyring.configuration import deployment
from hollyring.core import execution, request_types
from hollyring.delivery import event_stream, refusal, retry
from hollyring.node import clock, interfaces, responses
from hollyring.releases import exposure
from hollyring.routing import selection


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Attempt that failed and that the upstream may have run.

    Parameters
    ----------
    reason
        Text for the log.
    head, body, states_end
        The upstream's own error response, if it sent one, and whether that states its end.
    silent_seconds
        Seconds without data from the upstream, up to the end of the attempt.
    """

    reason: str
    head: interfaces.ResponseHead | None = None
    body: bytes = b""
    states_end: bool = True
    silent_seconds: float = 0.0

    @property
    def execution_status(self) -> execution.Execution:
        """Whether the upstream ran the request."""
        return execution.Execution.UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Attempt that the upstream certainly did not run.

    Parameters
    ----------
    reason
        Text for the log.
    written
        Whether a byte of the request may have arrived at an upstream.
    """

    reason: str
    written: bool = True

    @property
    def execution_status(self) -> execution.Execution:
        """Whether the upstream ran the request."""
        return execution.Execution.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Declined:
    """Forwarded request that the executing VM states that no upstream ran.

    Parameters
    ----------
    rejection
        What the executing VM answered.
    written
        Whether a byte of the request arrived at an upstream.
    """

    rejection: refusal.Refusal
    written: bool

    @property
    def reason(self) -> str:
        """Text for the log."""
        return f"declined: {self.rejection.code}"

    @property
    def execution_status(self) -> execution.Execution:
        """Whether an upstream ran the request."""
        return execution.Execution.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawn:
    """Attempt that was not sent, as its upstream was removed or began to leave before."""


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Attempt whose response was sent to the caller completely."""


Unanswered = Failed | NotRun | Declined | Withdrawn
"""Outcomes after which the caller still waits for an answer."""

Outcome = Done | Unanswered


@dataclasses.dataclass(slots=True)
class RequestContext:
    """One request in progress.

    Parameters
    ----------
    arrived_at
        Time of arrival, in seconds of `clock.now`.
    priority
        Scheduling priority, 0 first.
    min_target_seconds
        Shortest target latency of the service, in seconds.
    events
        Splits the upstream's stream into events, and continues after the last one that the caller
        has received.
    selected
        Upstream of the current attempt, None before the first.
    first_byte_at
        Time at which the first part of the response was sent, in seconds of `clock.now`; 0 before.
    last_failure
        Last failed attempt that may have run, or None.
    software
        Software version that began the stream, also if an earlier request of the caller did; None
        before its first event. Only upstreams of that version continue it.
    suspects
        Hashes of what may crash an upstream: the request as a whole and parts of its prompt.
    admitted_by
        Name of the VM that admitted the request, empty if this VM did. A request that was delegated
        to this VM is not forwarded, and this VM lets one upstream run it.
    forwarded_to
        Name of the VM that last executed the request for this VM, empty if none did.
    avoided_vms
        Names of VMs that declined the request or lost it.
    declined
        What VMs answered that declined the request.
    outcome
        How the request ended, as logged; empty while it is in progress.
    placement
        Software versions that the current attempt must not be sent to, as their service is
        released.
    """

    request: request_types.Request
    response: responses.Response
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
    software: str | None = None
    suspects: tuple[str, ...] = ()
    admitted_by: str = ""
    forwarded_to: str = ""
    avoided_vms: list[str] = dataclasses.field(default_factory=list)
    declined: list[refusal.Refusal] = dataclasses.field(default_factory=list)
    outcome: str = ""
    placement: exposure.Placement = exposure.ANYWHERE

    @property
    def seconds_left(self) -> float:
        """Seconds until the caller must have the final response."""
        return self.retry_state.seconds_left(clock.now())

    def may_retry(self) -> bool:
        """Return whether the request may be sent again; the retry budget is checked separately."""
        return self.events.may_continue and self.retry_denial() is None

    def retry_denial(self) -> retry.Denial | None:
        """Return why the limits on its attempts end the request, None if they do not."""
        return self.retry_state.denial(clock.now(), self.response.started)

    @property
    def request_id(self) -> str:
        """Identifier that the caller assigned to the request."""
        return self.request.request_id

    def cache_group(self, current: deployment.Deployment | None) -> str:
        """Return the group whose cached prompts the request may use by a configuration."""
        return current.cache_group(self.organisation) if current is not None else ""
