"""Messages by which one VM has another one make the attempts of a request that it admitted.

The VM that admitted the request sends `ForwardedRequest`, followed by the rest of the body. The
executing VM answers with a `ForwardedRefusal`, or with a `ForwardedHead`, `ForwardedData` and
`ForwardedEnd` or `ForwardedBreak`. The caller's key and address are in none of them.
"""

from __future__ import annotations

import dataclasses

from hollyring.core import request_types


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedHeader:
    """One header of a request or an answer."""

    name: bytes
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request that another VM admitted.

    Parameters
    ----------
    request_id, resumed_request_id
        Identifiers that the caller assigned, see `request_types.Request`.
    method, target, host, path
        As sent by the caller.
    headers
        Headers that upstreams may get.
    body
        First bytes of the body.
    body_bytes
        Size of the whole body; what `body` lacks follows in `ForwardedData`.
    seconds_left
        Seconds until the admitting VM needs the end of the answer.
    service, organisation
        Names of the service and of the organisation; the latter is empty on a route open to all.
    priority
        Priority; 0 is the highest.
    runs_left
        Number of upstreams that may still run the request. The executing VM lets one run it.
    sends_left
        Number of times the request may still be sent to upstreams.
    excluded_upstreams
        Upstreams that were tried before.
    prompt
        Prompt of a request to an inference server.
    resume_after
        Number of the last event that the caller has, or None.
    software
        Software version that must continue the stream, or None.
    """

    request_id: str
    resumed_request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: list[ForwardedHeader]
    body: bytes
    body_bytes: int
    seconds_left: float
    service: str = dataclasses.field(metadata={"wire_name": "service_name"})
    organisation: str
    priority: int
    runs_left: int
    sends_left: int
    excluded_upstreams: list[str]
    prompt: request_types.Prompt | None = None
    resume_after: int | None = None
    software: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedRefusal:
    """The executing VM does not answer the request.

    Parameters
    ----------
    code, retry_after
        Code of the refusal and seconds after which the caller may retry; see `refusal`.
    execution
        Value of `execution.Execution`.
    sends
        Number of times the request was sent to upstreams.
    upstreams
        Names of the upstreams that were tried.
    """

    code: str
    retry_after: float
    execution: str
    sends: int
    upstreams: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedHead:
    """Status and headers of an answer.

    Parameters
    ----------
    streaming
        Whether events follow, otherwise the parts of a body that is whole at the executing VM.
    upstream, software
        Name and software version of the upstream that answers.
    sends
        Number of times the request was sent to upstreams.
    states_end
        Whether the upstream stated where its answer ends, so that `ForwardedEnd` proves it whole.
        An earlier build, which does not say, ends others alike.
    """

    status: int
    headers: list[ForwardedHeader]
    streaming: bool
    upstream: str
    software: str
    sends: int
    states_end: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedData:
    """Next bytes of a body, or whole events of a stream."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedWait:
    """The executing VM is alive and has nothing to send yet."""

    sends: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedEnd:
    """The answer is complete.

    Parameters
    ----------
    body_bytes
        Size of all `ForwardedData` of the answer.
    """

    body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedBreak:
    """The answer ends before it is complete."""

    reason: str


def to_wire(headers: list[request_types.Header]) -> list[ForwardedHeader]:
    """Return headers as they are sent."""
    return [ForwardedHeader(name, value) for name, value in headers]


def from_wire(headers: list[ForwardedHeader]) -> list[request_types.Header]:
    """Return headers that were received."""
    return [(header.name, header.value) for header in headers]
