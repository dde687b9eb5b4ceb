"""Executing side of forwarded requests: one link carries one request at a time."""

from __future__ import annotations

import contextlib

import anyio

from hollyring.delivery import forwarded, grace_period, refusal
from hollyring.limits import byte_budget, delegation_room
from hollyring.node import (
    clock,
    delegated_requests,
    errors,
    handshake,
    held_bytes,
    logs,
    metrics,
    peer_link,
    relay,
    request_bodies,
    responses,
    wire,
)

IDLE_SECONDS = 10.0
"""Time without a request after which a link is closed; longer than the other VM keeps it."""

BODY_SECONDS = 5.0
"""Timeout of the rest of a request's body."""

FIRST_WAIT_SECONDS = 0.15
"""Time until the first message that says that this VM is alive, and whether an upstream is tried.

The admitting VM needs it before the overlap with its own silent attempt ends.
"""

WAIT_SECONDS = 0.4
"""Time between two messages that say that this VM is alive."""

MAX_BODY_BYTES = 33_554_432
"""Longest body of a request; the admitting VM has checked the configured limit."""


class ForwardServer:
    """Executes requests for other VMs.

    Parameters
    ----------
    request_relay
        Makes the attempts.
    codec
        Encodes and decodes messages.
    counters
        Metrics of this process.
    capacity
        Processor capacity of this VM, in cores.
    budget
        Bytes that this VM may hold; by default those of a process with any amount of memory.
    """

    def __init__(
        self,
        request_relay: relay.Relay,
        codec: wire.Codec,
        counters: metrics.Metrics,
        capacity: float,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        self._budget = byte_budget.ByteBudget() if budget is None else budget
        self._relay = request_relay
        self._codec = codec
        self._metrics = counters
        self._room = delegation_room.DelegationRoom(capacity)
        self._drained = False
        self._log = logs.Logger("forwarding")

    @property
    def open_requests(self) -> int:
        """Number of requests in progress for other VMs."""
        return self._room.open

    async def drain(self, until: float) -> None:
        """Wait until no request is in progress for another VM, at most until time `until`.

        Then none is begun any more, as this VM ends.
        """
        while self._room.open and clock.now() < until:
            await anyio.sleep(0.02)
        self._drained = True

    async def serve(self, session: handshake.Session, message: object) -> None:
        """Serve a link, whose first message is given, until it is closed or idle for long."""
        link = peer_link.Link(session, self._codec)
        try:
            while isinstance(message, forwarded.ForwardedRequest):
                await self._execute(link, message)
                with anyio.fail_after(IDLE_SECONDS):
                    message = await link.receive()
        except (peer_link.LinkLostError, TimeoutError):
            return
        finally:
            await link.close()

    async def _execute(self, link: peer_link.Link, message: forwarded.ForwardedRequest) -> None:
        """Execute a request; the admitting VM closes the link to give it up.

        Raises
        ------
        LinkLostError
            If the link is lost or the request was given up.
        """
        holding = self._budget.open(byte_budget.Kind.FORWARDED_REQUEST)
        try:
            if not await _reserve(holding, message.body_bytes):
                await self._decline_body(link, message)
                return
            with anyio.fail_after(BODY_SECONDS):
                body = await _receive_body(link, message)
            await self._execute_whole(link, message, body)
        finally:
            holding.close()

    async def _decline_body(
        self, link: peer_link.Link, message: forwarded.ForwardedRequest
    ) -> None:
        """Refuse a request for whose body there is no room; it was not begun.

        Raises
        ------
        LinkLostError
            If the rest of the body would follow on the link.
        """
        self._metrics.increment("declined_full")
        self._log.info(
            "no room for the body of another VM's request",
            request=message.request_id,
            admitted_by=link.peer,
            body_bytes=message.body_bytes,
        )
        response = delegated_requests.DelegatedResponse(link)
        await response.refuse(refusal.make("overloaded", request_bodies.RETRY_SECONDS))
        if len(message.body) < message.body_bytes:
            raise peer_link.LinkLostError("no room for the body")

    async def _execute_whole(
        self, link: peer_link.Link, message: forwarded.ForwardedRequest, body: bytes
    ) -> None:
        """Execute a request that was received whole."""
        response = delegated_requests.DelegatedResponse(link)
        if self._drained:
            await response.refuse(refusal.make("leaving", grace_period.RETRY_AFTER_SECONDS))
            return
        retry_after = self._room.begin(clock.now())
        if retry_after is not None:
            self._metrics.increment("declined_full")
            self._log.info(
                "no room for another VM's request",
                request=message.request_id,
                admitted_by=link.peer,
                retry_after=round(retry_after, 3),
            )
            await response.refuse(refusal.make("overloaded", retry_after))
            return
        bytes_before = link.sent_bytes
        try:
            await self._run(link, message, body, response)
        finally:
            self._room.end(clock.now())
            carried = len(body) + link.sent_bytes - bytes_before
            self._metrics.increment("taken_bytes", carried)

    async def _run(
        self,
        link: peer_link.Link,
        message: forwarded.ForwardedRequest,
        body: bytes,
        response: delegated_requests.DelegatedResponse,
    ) -> None:
        async def cancel_when_closed() -> None:
            with contextlib.suppress(peer_link.LinkLostError):
                await link.wait_data()
            if not response.ended:
                task_group.cancel_scope.cancel()

        async def say_waiting() -> None:
            with contextlib.suppress(peer_link.LinkLostError):
                await anyio.sleep(FIRST_WAIT_SECONDS)
                while True:
                    await response.say_waiting()
                    await anyio.sleep(WAIT_SECONDS)

        with anyio.move_on_after(message.seconds_left):
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(cancel_when_closed)
                task_group.start_soon(say_waiting)
                await self._answer(message, body, link.peer, response)
                task_group.cancel_scope.cancel()
        if not response.complete:
            raise peer_link.LinkLostError("not answered, as it was given up or late")

    async def _answer(
        self,
        message: forwarded.ForwardedRequest,
        body: bytes,
        sender: str,
        response: delegated_requests.DelegatedResponse,
    ) -> None:
        """Answer the admitting VM; no answer is complete after a lost link or an internal error."""
        try:
            await self._relay.serve_delegated(message, body, sender, response)
        except responses.IncompleteResponseError as error:
            with contextlib.suppress(peer_link.LinkLostError):
                await response.break_off(str(error))
        except (errors.CallerLeftError, peer_link.LinkLostError):
            return
        except Exception:
            self._log.exception("request of another VM failed", request=message.request_id)
            self._metrics.increment("internal_errors")


async def _reserve(holding: byte_budget.Holding, body_bytes: int) -> bool:
    """Take room for a body and its copy; a long one waits for it. Return whether there is some."""
    if body_bytes > MAX_BODY_BYTES:
        return False
    needed = request_bodies.COPIES * body_bytes
    if body_bytes <= byte_budget.SHORT_BYTES:
        return holding.take(needed)
    return await held_bytes.reserve(holding, needed, request_bodies.WAIT_SECONDS)


async def _receive_body(link: peer_link.Link, message: forwarded.ForwardedRequest) -> bytes:
    """Return the whole body of a request, whose first bytes came with the message."""
    body = bytearray(message.body)
    while len(body) < message.body_bytes:
        part = await link.receive()
        if not isinstance(part, forwarded.ForwardedData):
            raise peer_link.LinkLostError("part of a body expected")
        body += part.data
    return bytes(body)
