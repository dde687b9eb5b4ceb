"""Requests that this VM executes for the VM that admitted them, and the answers to that VM."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from hollyring.core import request_types
from hollyring.delivery import event_stream, forwarded, grace_period, refusal, retry
from hollyring.node import peer_link, request_context, responses, state
from hollyring.routing import crashes, selection

RETURN_SECONDS = 0.02
"""Time that the end of an answer takes to the VM that admitted the request."""

UNKNOWN_SERVICE_RETRY_SECONDS = 0.3
"""Retry delay while two VMs have different configurations; they soon have the same."""

MAX_PART_BYTES = 262_144
"""Largest part of a body in one message, a few of which fit into the buffers of a connection."""


class DelegatedResponse(responses.ResponseProgress):
    """Response to a delegated request; implements `responses.Response`.

    Parameters
    ----------
    link
        Link to the VM that admitted the request.
    """

    __slots__ = ("_link", "_complete", "_bytes", "context")

    def __init__(self, link: peer_link.Link) -> None:
        super().__init__()
        self._link = link
        self._complete = False
        self._bytes = 0
        self.context: request_context.RequestContext | None = None

    @property
    def complete(self) -> bool:
        """Whether the last message was sent, so that the link may carry another request."""
        return self._complete

    @property
    def caller_left(self) -> bool:
        """Whether the admitting VM gave the request up, at the cost of a system call.

        The event loop may read that later than the request, and cancels the request then.
        """
        return self._link.is_stale

    async def start(
        self,
        status: int,
        headers: Sequence[request_types.Header],
        data: bytes,
        states_end: bool = True,
    ) -> None:
        """Send the head and the first events of a stream, which may end with its connection."""
        self._states_end = states_end
        await self._link.send(self._head(status, headers, streaming=True), *self._parts(data))

    async def write(self, data: bytes) -> None:
        """Send more events."""
        for part in self._parts(data):
            await self._link.send(part)

    async def end(self) -> None:
        """End the stream."""
        await self._send_last(forwarded.ForwardedEnd(self._bytes))

    async def send(
        self,
        status: int,
        headers: Sequence[request_types.Header],
        body: bytes,
        states_end: bool = True,
    ) -> None:
        """Send a response, which is whole if it states its end."""
        self._states_end = states_end
        head = self._head(status, headers, streaming=False)
        first, *rest = self._parts(body) or [forwarded.ForwardedData(b"")]
        if not rest:
            await self._send_last(head, first, forwarded.ForwardedEnd(self._bytes))
            return
        await self._link.send(head, first)
        for part in rest:
            await self._link.send(part)
        await self.end()

    async def refuse(self, rejection: refusal.Refusal) -> None:
        """Send a refusal.

        Raises
        ------
        IncompleteResponseError
            If a part of a response was sent already.
        """
        if self._started:
            raise responses.IncompleteResponseError(rejection.code)
        self.status = rejection.status
        tries = self.context.retry_state if self.context is not None else None
        await self._send_last(
            forwarded.ForwardedRefusal(
                rejection.code,
                rejection.retry_after,
                rejection.execution.value,
                tries.arrivals if tries is not None else 0,
                sorted(tries.sent_upstreams) if tries is not None else [],
            )
        )

    async def break_off(self, reason: str) -> None:
        """Say that the response ends before it is complete."""
        await self._send_last(forwarded.ForwardedBreak(reason))

    async def say_waiting(self) -> None:
        """Say that this VM is alive, unless an earlier message waits to be received."""
        if self._ended or self._link.is_sending:
            return
        context = self.context
        arrivals = context.retry_state.arrivals if context is not None else 0
        await self._link.send(forwarded.ForwardedWait(arrivals))

    async def _send_last(self, *messages: object) -> None:
        self._ended = True
        await self._link.send(*messages)
        self._complete = True

    def _head(
        self, status: int, headers: Sequence[request_types.Header], streaming: bool
    ) -> forwarded.ForwardedHead:
        self._started = True
        self.status = status
        context = self.context
        selected = context.selected if context is not None else None
        return forwarded.ForwardedHead(
            status,
            forwarded.to_wire(list(headers)),
            streaming,
            selected.upstream.name if selected is not None else "",
            selected.upstream.entry.software if selected is not None else "",
            context.retry_state.arrivals if context is not None else 0,
            self._states_end,
        )

    def _parts(self, data: bytes) -> list[forwarded.ForwardedData]:
        self._bytes += len(data)
        return [forwarded.ForwardedData(part) for part in split(data)]


def split(data: bytes) -> Iterator[bytes]:
    """Yield the parts of a body that are sent in one message each.

    Examples
    --------
    >>> [len(part) for part in split(bytes(300_000))]
    [262144, 37856]
    """
    for start in range(0, len(data), MAX_PART_BYTES):
        yield data[start : start + MAX_PART_BYTES]


def admit(
    vm_state: state.State,
    message: forwarded.ForwardedRequest,
    body: bytes,
    sender: str,
    response: DelegatedResponse,
    now: float,
) -> request_context.RequestContext | refusal.Refusal:
    """Return the context of a request that another VM admitted, or why this VM declines it.

    Its rate was charged and its first attempt recorded by that VM.
    """
    current = vm_state.deployment
    service = current.services.get(message.service) if current is not None else None
    route = current.route_for(message.host, message.path) if current is not None else None
    if current is None or service is None or route is None:
        return refusal.make(
            "configuration_stale", UNKNOWN_SERVICE_RETRY_SECONDS, "route or service is not known"
        )
    organisation = current.organisations.get(message.organisation)
    if organisation is None and message.organisation:
        return refusal.make(
            "configuration_stale", UNKNOWN_SERVICE_RETRY_SECONDS, "organisation is not known"
        )
    if vm_state.reachability.is_cut_off(service.name):
        return refusal.make("no_upstream", selection.NO_UPSTREAM_RETRY_SECONDS, "cut off too")
    deadline = now + message.seconds_left - RETURN_SECONDS
    verdict = vm_state.grace_period.verdict(route.retry_safety, deadline, now)
    if verdict is grace_period.Verdict.REFUSED:
        return refusal.make("leaving", grace_period.RETRY_AFTER_SECONDS)
    request = _request(message, body)
    suspects = crashes.suspects(request, message.organisation)
    if vm_state.crashes.reason_to_refuse(suspects) is not None:
        return refusal.make("crashing_request")
    policy = retry.RetryPolicy(route.retry_safety, deadline, message.runs_left, message.sends_left)
    response.context = request_context.RequestContext(
        request,
        response,
        route,
        organisation,
        service,
        retry.RetryState(policy, message.excluded_upstreams),
        now,
        message.priority,
        current.shortest_target_latency(service.name, route.target_latency),
        event_stream.EventStream(message.resume_after),
        software=message.software,
        suspects=suspects,
        admitted_by=sender,
    )
    return response.context


def _request(message: forwarded.ForwardedRequest, body: bytes) -> request_types.Request:
    return request_types.Request(
        message.request_id,
        message.method,
        message.target,
        message.host,
        message.path,
        tuple(forwarded.from_wire(message.headers)),
        body,
        "",
        message.seconds_left,
        _prompt(message.prompt),
        message.resume_after,
        message.resumed_request_id,
    )


def _prompt(prompt: request_types.Prompt | None) -> request_types.Prompt | None:
    """Return the prompt with its parts as a tuple; a decoded message has a list."""
    if prompt is None:
        return None
    return request_types.Prompt(
        prompt.model,
        tuple(prompt.parts),
        prompt.prompt_tokens,
        prompt.output_tokens,
        prompt.output_tokens_hint,
    )
