"""The part that owns the claims on non-idempotent calls and their log in the platform service."""

from __future__ import annotations

import dataclasses
import enum
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import anyio
import anyio.abc

from hollyring.core import identities, invariants
from hollyring.delivery import calls, claim_log, claims, messages, records, refusal, storage
from hollyring.node import actor, errors, platform_client

TICK_SECONDS = 1.0
"""Longest time between two ticks; claims and logs say when they are due before."""

ASK_SECONDS = 1.0
"""Longest wait for what the owner of a claim says about it."""


class DispatchFailure(enum.Enum):
    """What became of a dispatch without an answer."""

    NOT_SENT = enum.auto()
    CONNECTION_LOST = enum.auto()


MaySend = Callable[[], Awaitable[bool]]
Dispatch = Callable[[str, MaySend], Awaitable[messages.Answer | DispatchFailure]]
"""Sends a call under a stable identity, asking before its first byte is written."""

AskPeer = Callable[[str, object, float], Awaitable[object | None]]
CallResult = messages.Answer | refusal.Refusal


@dataclasses.dataclass(slots=True)
class _Begin:
    call: calls.Call
    dispatch: Dispatch
    ticket: actor.PendingReply[CallResult]


@dataclasses.dataclass(slots=True)
class _MaySend:
    sequence: int
    ticket: actor.PendingReply[bool]


@dataclasses.dataclass(slots=True)
class _Dispatched:
    sequence: int
    result: messages.Answer | DispatchFailure


@dataclasses.dataclass(slots=True)
class _Stored:
    group: int
    event: storage.Event


@dataclasses.dataclass(slots=True)
class _OwnerSaid:
    sequence: int
    answer: messages.ClaimAnswer | None


@dataclasses.dataclass(slots=True)
class _Question:
    question: messages.ClaimQuestion
    ticket: actor.PendingReply[messages.ClaimAnswer]


class ClaimsActor(actor.Actor):
    """Owns `claims.Claims` and the logs of the groups it has met.

    Parameters
    ----------
    client
        The platform's service.
    ask_peer
        Asks a VM by name and returns its reply, or None.
    """

    def __init__(
        self,
        me: identities.Incarnation,
        counters: invariants.Invariants,
        client: platform_client.PlatformClient,
        ask_peer: AskPeer,
    ) -> None:
        super().__init__(TICK_SECONDS)
        self._claims = claims.Claims(me, counters)
        self._client = client
        self._ask_peer = ask_peer
        self._logs: dict[int, claim_log.GroupLog] = {}
        self._tickets: dict[str, actor.PendingReply[CallResult]] = {}
        self._dispatches: dict[str, Dispatch] = {}
        self._group: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Handle messages until cancelled; dispatches outlive their callers' connections."""
        async with anyio.create_task_group() as group:
            self._group = group
            await super().run()

    async def call(self, call: calls.Call, dispatch: Dispatch) -> CallResult:
        """Return the final answer to a call that must run at most once."""
        ticket: actor.PendingReply[CallResult] = actor.PendingReply()
        self.post(_Begin(call, dispatch, ticket))
        return await ticket.wait()

    async def answer_question(self, question: messages.ClaimQuestion) -> messages.ClaimAnswer:
        """Answer another VM's question about a claim of this one."""
        ticket: actor.PendingReply[messages.ClaimAnswer] = actor.PendingReply()
        self.post(_Question(question, ticket))
        return await ticket.wait()

    def handle(self, message: Any) -> None:
        """Take one message."""
        match message:
            case _Begin():
                self._tickets[message.call.request_id] = message.ticket
                self._dispatches[message.call.request_id] = message.dispatch
                self._carry_out(self._claims.begin(message.call, self.now, time.time()))
            case _MaySend():
                allowed = self._claims.may_send(message.sequence, self.now, time.time())
                message.ticket.set(allowed)
            case _Dispatched():
                self._dispatched(message)
            case _Stored():
                log = self._logs[message.group]
                self._log_actions(message.group, log.handle(message.event, self.now, time.time()))
            case _OwnerSaid():
                self._carry_out(
                    self._claims.owner_answered(message.sequence, message.answer, self.now)
                )
            case _Question():
                answer, actions = self._claims.answer_question(message.question)
                message.ticket.set(answer)
                self._carry_out(actions)

    def due(self) -> float:
        """Return when a claim or a log has work to do."""
        times = [log.due for log in self._logs.values()] + [self._claims.due]
        return min([super().due(), *(time for time in times if time is not None)])

    def tick(self) -> None:
        """Let claims and logs do what is due."""
        self._carry_out(self._claims.tick(self.now))
        for group, log in self._logs.items():
            if log.due is not None and log.due <= self.now:
                self._log_actions(group, log.tick(self.now, time.time()))

    def dump(self) -> dict[str, Any]:
        """Return the state without keys or bodies."""
        return {
            "remembered": self._claims.tracked_calls,
            "replies": self._claims.replies,
            "groups": len(self._logs),
            "pending": sum(log.pending_count for log in self._logs.values()),
        }

    def _dispatched(self, message: _Dispatched) -> None:
        match message.result:
            case messages.Answer() as answer:
                self._carry_out(self._claims.answer_received(message.sequence, answer))
            case DispatchFailure.NOT_SENT:
                self._carry_out(self._claims.not_sent(message.sequence))
            case DispatchFailure.CONNECTION_LOST:
                self._carry_out(self._claims.connection_lost(message.sequence))

    def _carry_out(self, actions: list[calls.Action]) -> None:
        for action in actions:
            match action:
                case calls.Append():
                    self._append(action)
                case calls.AskOwner():
                    self._spawn(self._ask_owner, action)
                case calls.Dispatch():
                    self._spawn(self._dispatch, action, self._dispatches[action.request_id])
                case calls.Reply():
                    self._dispatches.pop(action.request_id, None)
                    ticket = self._tickets.pop(action.request_id, None)
                    if ticket is not None:
                        ticket.set(action.answer)

    def _append(self, action: calls.Append) -> None:
        group = records.group_of(action.record.key, claim_log.GROUP_COUNT)
        log = self._logs.get(group)
        if log is None:
            log = self._logs[group] = claim_log.GroupLog(group)
        self._log_actions(
            group, log.append(action.record, self.now, time.time(), reread=action.reread)
        )

    def _log_actions(self, group: int, actions: list[claim_log.Action]) -> None:
        for action in actions:
            match action:
                case claim_log.Granted() | claim_log.AlreadyClaimed() | claim_log.QueueFull():
                    self._carry_out(self._claims.append_completed(action, self.now))
                case _:
                    self._spawn(self._store, group, action)

    async def _store(self, group: int, action: storage.Action) -> None:
        """Carry out one call of the platform service and hand back its outcome."""
        try:
            match action:
                case storage.ReadValue():
                    entry = await self._client.get(action.key)
                    event: storage.Event = storage.Value(action.key, entry.value, entry.version)
                case storage.PutValue():
                    done = await self._client.put(action.key, action.value, action.version)
                    event = (
                        storage.Written(action.key, done.version)
                        if done.applied
                        else storage.Conflict(action.key)
                    )
                case storage.DeleteValue():
                    await self._client.delete(action.key, action.version)
                    return
        except errors.PlatformError:
            match action:
                case storage.ReadValue():
                    event = storage.ReadFailed(action.key)
                case storage.PutValue():
                    event = storage.WriteUnconfirmed(action.key)
                case storage.DeleteValue():
                    return
        self.post(_Stored(group, event))

    async def _ask_owner(self, action: calls.AskOwner) -> None:
        await anyio.sleep(action.delay)
        reply = await self._ask_peer(action.question.owner, action.question, ASK_SECONDS)
        known = reply if isinstance(reply, messages.ClaimAnswer) else None
        self.post(_OwnerSaid(action.sequence, known))

    async def _dispatch(self, action: calls.Dispatch, dispatch: Dispatch) -> None:
        async def may_send() -> bool:
            ticket: actor.PendingReply[bool] = actor.PendingReply()
            self.post(_MaySend(action.sequence, ticket))
            return await ticket.wait()

        result = await dispatch(action.upstream_request_id, may_send)
        self.post(_Dispatched(action.sequence, result))

    def _spawn(self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: Any) -> None:
        if self._group is not None:
            self._group.start_soon(function, *arguments)
