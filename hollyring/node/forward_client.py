"""Admitting side of forwarded requests: another VM makes the attempts, this one has the caller."""

from __future__ import annotations

import anyio

from hollyring.core import execution
from hollyring.delivery import answers, forwarded, refusal
from hollyring.delivery import errors as delivery_errors
from hollyring.limits import byte_budget
from hollyring.membership import heartbeat
from hollyring.node import (
    answer_writer,
    clock,
    delegated_requests,
    errors,
    forward_links,
    held_bytes,
    interfaces,
    logs,
    metrics,
    open_attempts,
    peer_link,
    request_context,
    state,
)

SILENCE_SECONDS = 1.2
"""Time without a message after which the executing VM counts as silent; it sends some when idle."""

INTERNAL_ERROR = "internal error"


class _NotAnsweredError(Exception):
    """The executing VM sent no whole answer, and does not say that the request was not run."""


class ForwardClient:
    """Forwards requests to VMs that reach the upstreams of their service.

    Parameters
    ----------
    vm_state
        State of this VM.
    codec
        Selects the headers that other VMs may get.
    links
        Links to other VMs.
    counters
        Metrics of this process.
    budget
        Bytes that this VM may hold; by default those of a process with any amount of memory.
    """

    def __init__(
        self,
        vm_state: state.State,
        codec: interfaces.UpstreamCodec,
        links: forward_links.ForwardLinks,
        counters: metrics.Metrics,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        self._budget = byte_budget.ByteBudget() if budget is None else budget
        self._state = vm_state
        self._codec = codec
        self._links = links
        self._metrics = counters
        self._log = logs.Logger("request")

    def target(self, context: request_context.RequestContext) -> heartbeat.VmInfo | None:
        """Return the VM to make the next attempts of a request, None if no VM is known to."""
        return self._state.forwarding.choose(context.service.name, context.avoided_vms, clock.now())

    async def is_linked(
        self, context: request_context.RequestContext, target: heartbeat.VmInfo
    ) -> bool:
        """Return whether there is a link to a VM for a request, which avoids that VM if not."""
        try:
            link = await self._links.acquire(target.peer_address)
        except peer_link.LinkLostError:
            context.avoided_vms.append(target.name)
            return False
        await self._links.release(target.peer_address, link)
        return True

    async def run(
        self, context: request_context.RequestContext, attempt: open_attempts.OpenAttempt
    ) -> request_context.Outcome:
        """Have a VM make attempts of a request, and send its answer to the caller.

        Raises
        ------
        CallerLeftError
            If the caller has left before the request could be sent.
        SupersededError
            If another attempt has taken over the response.
        """
        target = attempt.target
        self._state.forwarding.record_begin(target.name)
        try:
            return await self._run(context, attempt)
        finally:
            self._state.forwarding.record_end(target.name)

    async def _run(
        self, context: request_context.RequestContext, attempt: open_attempts.OpenAttempt
    ) -> request_context.Outcome:
        target = attempt.target
        try:
            link = await self._links.acquire(target.peer_address)
        except peer_link.LinkLostError as error:
            context.avoided_vms.append(target.name)
            return request_context.NotRun(str(error), written=False)
        exchange = _Exchange(
            link, self._codec, self._state, self._metrics, context, attempt, self._budget
        )
        bytes_before = link.sent_bytes + link.received_bytes
        is_whole = False
        try:
            outcome = await exchange.run()
            is_whole = exchange.is_whole
            return outcome
        except _NotAnsweredError as error:
            context.retry_state.record_forward(max(1, exchange.sends), may_have_run=True)
            return request_context.Failed(str(error))
        except peer_link.LinkLostError as error:
            context.avoided_vms.append(target.name)
            if not attempt.sent:
                return request_context.NotRun(str(error), written=False)
            context.retry_state.record_forward(max(1, exchange.sends), may_have_run=True)
            return request_context.Failed(str(error))
        except errors.VmError:
            raise
        except Exception:
            return self._fail(context, attempt, exchange.sends)
        finally:
            carried = link.sent_bytes + link.received_bytes - bytes_before
            self._metrics.increment("forwarded_bytes", carried)
            if target.failure_domain != self._state.failure_domain:
                self._metrics.increment("forwarded_bytes_between_failure_domains", carried)
            with anyio.CancelScope(shield=True):
                if is_whole:
                    await self._links.release(target.peer_address, link)
                else:
                    await link.close()

    def _fail(
        self,
        context: request_context.RequestContext,
        attempt: open_attempts.OpenAttempt,
        sends: int,
    ) -> request_context.Outcome:
        """Log the unexpected error being handled, and end the attempt rather than the request.

        An attempt that writes the response cannot be replaced, as it may have written any part; its
        error is raised again.
        """
        self._log.exception("forward failed", request=context.request_id, to=attempt.where)
        self._metrics.increment("internal_errors")
        context.avoided_vms.append(attempt.where)
        if not attempt.sent:
            return request_context.NotRun(INTERNAL_ERROR, written=False)
        if context.response.started and not attempt.has_others:
            raise
        context.retry_state.record_forward(max(1, sends), may_have_run=True)
        return request_context.Failed(INTERNAL_ERROR)


class _Exchange:
    """One forwarded request and its answer on a link."""

    def __init__(
        self,
        link: peer_link.Link,
        codec: interfaces.UpstreamCodec,
        vm_state: state.State,
        counters: metrics.Metrics,
        context: request_context.RequestContext,
        attempt: open_attempts.OpenAttempt,
        budget: byte_budget.ByteBudget,
    ) -> None:
        self._budget = budget
        self._link = link
        self._codec = codec
        self._state = vm_state
        self._metrics = counters
        self._context = context
        self._attempt = attempt
        self._unsent_at = 0.0
        self.sends = 0
        self.is_whole = False

    async def run(self) -> request_context.Outcome:
        """Send the request and forward the answer to the caller."""
        context = self._context
        if context.response.caller_left:
            raise errors.CallerLeftError("caller left before this attempt was sent")
        if not self._state.may_send(context.retry_state):
            self.is_whole = True
            return request_context.NotRun("this VM leaves before the deadline", written=False)
        if not await self._send_request():
            return request_context.NotRun("this VM leaves before the deadline", written=False)
        answer = await self._receive()
        match answer:
            case forwarded.ForwardedRefusal():
                self.is_whole = True
                return self._refused(answer)
            case forwarded.ForwardedHead(streaming=True):
                self.sends = max(self.sends, answer.sends)
                return await self._forward_stream(answer)
            case forwarded.ForwardedHead():
                self.sends = max(self.sends, answer.sends)
                return await self._forward_whole(answer)
            case _:
                raise peer_link.LinkLostError(f"unexpected {type(answer).__name__}")

    async def _send_request(self) -> bool:
        """Send the request; the executing VM does not begin it before it has the last message.

        Returns
        -------
        bool
            Whether the last message was sent.
        """
        context = self._context
        request = context.request
        parts = list(delegated_requests.split(request.body)) or [b""]
        message = forwarded.ForwardedRequest(
            request.request_id,
            request.resumed_request_id,
            request.method,
            request.target,
            request.host,
            request.path,
            forwarded.to_wire(self._codec.upstream_headers(request.headers)),
            parts[0],
            len(request.body),
            context.seconds_left,
            context.service.name,
            context.organisation.name if context.organisation else "",
            context.priority,
            context.retry_state.runs_left,
            context.retry_state.sends_left,
            sorted(context.retry_state.tried_elsewhere),
            request.prompt,
            context.events.last_number,
            context.software,
        )
        messages = [message, *(forwarded.ForwardedData(part) for part in parts[1:])]
        for earlier in messages[:-1]:
            await self._send(earlier)
        if not self._state.may_send(context.retry_state):
            return False
        self._attempt.begin_send()
        self._unsent_at = clock.now()
        await self._send(messages[-1])
        return True

    async def _send(self, message: object) -> None:
        with anyio.move_on_after(max(0.0, self._context.seconds_left)):
            await self._link.send(message)
            return
        raise peer_link.LinkLostError("deadline while sending")

    async def _receive(self) -> object:
        """Return the next message that is more than a sign of life.

        Raises
        ------
        _NotAnsweredError
            At the deadline.
        LinkLostError
            If the link is lost, or another attempt replaces that at a silent VM.
        """
        while True:
            message = await self._receive_any()
            if not isinstance(message, forwarded.ForwardedWait):
                return message
            self._record_wait(message)

    def _record_wait(self, message: forwarded.ForwardedWait) -> None:
        """Record whether an upstream has the request; it got it after the last message before."""
        self.sends = max(self.sends, message.sends)
        if not self.sends:
            self._unsent_at = clock.now()
        elif self._attempt.sent_at is None:
            self._attempt.record_sent(self._unsent_at)

    async def _receive_any(self) -> object:
        """Return the next message; the silence of the executing VM is recorded meanwhile.

        Raises
        ------
        _NotAnsweredError, LinkLostError
            As for `_receive`.
        """
        context = self._context
        if context.retry_state.may_run_elsewhere and context.seconds_left > SILENCE_SECONDS:
            with anyio.move_on_after(SILENCE_SECONDS):
                return await self._link.receive()
            return await self._receive_late()
        with anyio.move_on_after(max(0.0, context.seconds_left)):
            return await self._link.receive()
        raise _NotAnsweredError("no answer in time")

    async def _receive_late(self) -> object:
        """Return the next message of a silent VM, unless another attempt replaces this one."""
        context, name = self._context, self._attempt.where
        context.avoided_vms.append(name)
        with anyio.move_on_after(max(0.0, context.seconds_left)) as scope:
            self._attempt.record_silence(replaceable=scope)
            message = await self._link.receive()
            self._attempt.end_wait()
            context.avoided_vms.remove(name)
            return message
        self._attempt.replaceable = None
        if context.retry_state.has_time(clock.now()):
            raise peer_link.LinkLostError("executing VM is silent")
        raise _NotAnsweredError("no answer in time")

    def _refused(self, answer: forwarded.ForwardedRefusal) -> request_context.Outcome:
        context = self._context
        may_have_run = answer.execution != execution.Execution.NOT_RUN.value
        context.retry_state.record_forward(answer.sends, answer.upstreams, may_have_run)
        is_known = answer.code in refusal.KINDS
        code = answer.code if is_known else "no_upstream"
        if may_have_run:
            return request_context.Failed(f"refused: {answer.code}")
        rejection = refusal.make(code, answer.retry_after)
        context.avoided_vms.append(self._attempt.where)
        context.declined.append(rejection)
        return request_context.Declined(rejection, written=answer.sends > 0)

    async def _forward_whole(self, head: forwarded.ForwardedHead) -> request_context.Outcome:
        scope = anyio.CancelScope()
        holding = self._budget.open(byte_budget.Kind.FORWARDED_ANSWER, scope.cancel)
        try:
            with scope:
                body = await self._receive_body(holding)
            if scope.cancelled_caught:
                raise _NotAnsweredError("no room for the answer")
            return await self._send_whole(head, body)
        finally:
            holding.close()

    async def _receive_body(self, holding: byte_budget.Holding) -> bytes:
        """Return the whole body of an answer; a long one waits for room, with its link unread.

        Raises
        ------
        _NotAnsweredError, LinkLostError
            If the body is incomplete or too long, or there is no room for it.
        """
        body = bytearray()
        while True:
            message = await self._receive()
            match message:
                case forwarded.ForwardedData(data=data):
                    body += data
                    if len(body) > self._budget.max_answer_bytes:
                        raise _NotAnsweredError(f"body too long: {len(body)} bytes")
                    if not holding.take(len(data)):
                        raise _NotAnsweredError("no room for the answer")
                    await self._grow(holding)
                case forwarded.ForwardedEnd(body_bytes=body_bytes) if body_bytes == len(body):
                    holding.settle()
                    self.is_whole = True
                    return bytes(body)
                case forwarded.ForwardedBreak(reason=reason):
                    raise _NotAnsweredError(f"broken off: {reason}")
                case _:
                    raise peer_link.LinkLostError(f"unexpected {type(message).__name__}")

    async def _grow(self, holding: byte_budget.Holding) -> None:
        """Reserve room for an answer that is longer than short ones, at most until the deadline."""
        if holding.bytes <= byte_budget.SHORT_BYTES:
            return
        most, seconds = self._budget.max_answer_bytes, max(0.0, self._context.seconds_left)
        if not await held_bytes.grow(holding, most, seconds):
            raise _NotAnsweredError("no room for the answer")

    async def _send_whole(
        self, head: forwarded.ForwardedHead, body: bytes
    ) -> request_context.Outcome:
        context = self._context
        writer = self._writer(head)
        if not writer.may_send:
            context.retry_state.record_forward(max(1, self.sends), [head.upstream], True)
            headers = forwarded.from_wire(head.headers)
            shown = interfaces.ResponseHead(
                head.status, headers, True, False, False, head.upstream, 0
            )
            return request_context.Failed(f"status {head.status}", shown, body, head.states_end)
        await writer.send(body)
        return request_context.Done()

    async def _forward_stream(self, head: forwarded.ForwardedHead) -> request_context.Outcome:
        context = self._context
        if context.software is not None and head.software != context.software:
            raise peer_link.LinkLostError("stream continued at another software version")
        writer = self._writer(head)
        writer.begin_stream()
        while True:
            message = await self._receive()
            try:
                match message:
                    case forwarded.ForwardedData(data=data):
                        events = writer.accept(data)
                        if events:
                            await writer.write(events)
                    case forwarded.ForwardedEnd():
                        writer.check_end()
                        break
                    case forwarded.ForwardedBreak(reason=reason):
                        raise _NotAnsweredError(f"broken off: {reason}")
                    case _:
                        raise peer_link.LinkLostError(f"unexpected {type(message).__name__}")
            except delivery_errors.StreamOrderError as error:
                raise _NotAnsweredError(str(error)) from error
        self.is_whole = True
        await writer.end()
        return request_context.Done()

    def _writer(self, head: forwarded.ForwardedHead) -> answer_writer.AnswerWriter:
        headers = forwarded.from_wire(head.headers)
        passed_on = answer_writer.Head(head.status, headers, _framing(head), head.software)
        return answer_writer.AnswerWriter(
            self._context, self._attempt, passed_on, self._state, self._metrics
        )


def _framing(head: forwarded.ForwardedHead) -> answers.Framing:
    """Return how a forwarded answer states its end; its own messages always do."""
    return answers.Framing.CHUNKS if head.states_end else answers.Framing.CONNECTION
