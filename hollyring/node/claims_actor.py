"""Actor that owns the claims, by which non-idempotent calls run at most once, and their logs.

The logs are stored in the platform's service.
"""

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
"""Longest time between two ticks; claims and logs may be due earlier."""

OWNER_REPLY_TIMEOUT_SECONDS = 1.0
"""Longest wait for the reply of the VM that owns a claim."""


class DispatchFailure(enum.Enum):
    """Reason why a dispatched call has no answer."""

    NOT_SENT = enum.auto()
    CONNECTION_LOST = enum.auto()


MaySend = Callable[[], Awaitable[bool]]
Dispatch = Callable[[str, MaySend], Awaitable[messages.Answer | DispatchFailure]]
"""Sends a call under a request ID and returns the answer, or the reason why there is none.

It connects, awaits `MaySend`, and writes no byte if that returns False.
"""

AskPeer = Callable[[str, object, float], Awaitable[object | None]]
CallResult = messages.Answer | refusal.Refusal


@dataclasses.dataclass(slots=True)
class _BeginCall:
    call: calls.Call
    dispatch: Dispatch
    reply: actor.PendingReply[CallResult]


@dataclasses.dataclass(slots=True)
class _MaySend:
    sequence: int
    reply: actor.PendingReply[bool]


@dataclasses.dataclass(slots=True)
class _Dispatched:
    sequence: int
    result: messages.Answer | DispatchFailure


@dataclasses.dataclass(slots=True)
class _StorageEvent:
    group: int
    event: storage.Event


@dataclasses.dataclass(slots=True)
class _OwnerAnswered:
    sequence: int
    answer: messages.ClaimAnswer | None


@dataclasses.dataclass(slots=True)
class _Question:
    question: messages.ClaimQuestion
    reply: actor.PendingReply[messages.ClaimAnswer]


class ClaimsActor(actor.Actor):
    """Owner of this VM's `claims.Claims` and of the claim logs used so far.

    Parameters
    ----------
    client
        Client of the platform's service.
    ask_peer
        Sends a request to a VM by name and returns its reply, or None.
    """

    def __init__(
        self,
        incarnation: identities.Incarnation,
        counters: invariants.Invariants,
        client: platform_client.PlatformClient,
        ask_peer: AskPeer,
    ) -> None:
        super().__init__(TICK_SECONDS)
        self._claims = claims.Claims(incarnation, counters)
        self._client = client
        self._ask_peer = ask_peer
        self._logs: dict[int, claim_log.GroupLog] = {}
        self._pending_replies: dict[str, actor.PendingReply[CallResult]] = {}
        self._dispatches: dict[str, Dispatch] = {}
        self._task_group: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Handle messages until cancelled; calls go on after their callers disconnect."""
        async with anyio.create_task_group() as group:
            self._task_group = group
            await super().run()

    async def call(self, call: calls.Call, dispatch: Dispatch) -> CallResult:
        """Run a call at most once and return its final answer."""
        reply: actor.PendingReply[CallResult] = actor.PendingReply()
        self.post(_BeginCall(call, dispatch, reply))
        return await reply.wait()

    async def answer_question(self, question: messages.ClaimQuestion) -> messages.ClaimAnswer:
        """Answer another VM's question about a claim that this VM owns."""
        reply: actor.PendingReply[messages.ClaimAnswer] = actor.PendingReply()
        self.post(_Question(question, reply))
        return await reply.wait()

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case _BeginCall():
                self._pending_replies[message.call.request_id] = message.reply
                self._dispatches[message.call.request_id] = message.dispatch
                self._perform_actions(self._claims.begin(message.call, self.now, time.time()))
            case _MaySend():
                allowed = self._claims.may_send(message.sequence, self.now, time.time())
                message.reply.set(allowed)
            case _Dispatched():
                self._handle_dispatched(message)
            case _StorageEvent():
                log = self._logs[message.group]
                self._perform_log_actions(
                    message.group, log.handle(message.event, self.now, time.time())
                )
            case _OwnerAnswered():
                self._perform_actions(
                    self._claims.owner_answered(message.sequence, message.answer, self.now)
                )
            case _Question():
                answer, actions = self._claims.answer_question(message.question)
                message.reply.set(answer)
                self._perform_actions(actions)

    def next_tick_at(self) -> float:
        """Return the monotonic time at which a claim or a log is next due."""
        times = [log.due for log in self._logs.values()] + [self._claims.due]
        return min([super().next_tick_at(), *(time for time in times if time is not None)])

    def tick(self) -> None:
        """Process the claims and logs that are due."""
        self._perform_actions(self._claims.tick(self.now))
        for group, log in self._logs.items():
            if log.due is not None and log.due <= self.now:
                self._perform_log_actions(group, log.tick(self.now, time.time()))

    def dump(self) -> dict[str, Any]:
        """Return the state without idempotency keys or bodies."""
        return {
            "remembered": self._claims.tracked_calls,
            "replies": self._claims.replies,
            "groups": len(self._logs),
            "pending": sum(log.pending_count for log in self._logs.values()),
        }

    def _handle_dispatched(self, message: _Dispatched) -> None:
        match message.result:
            case messages.Answer() as answer:
                self._perform_actions(self._claims.answer_received(message.sequence, answer))
            case DispatchFailure.NOT_SENT:
                self._perform_actions(self._claims.not_sent(message.sequence))
            case DispatchFailure.CONNECTION_LOST:
                self._perform_actions(self._claims.connection_lost(message.sequence))

    def _perform_actions(self, actions: list[calls.Action]) -> None:
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
                    reply = self._pending_replies.pop(action.request_id, None)
                    if reply is not None:
                        reply.set(action.answer)

    def _append(self, action: calls.Append) -> None:
        group = records.group_of(action.record.key, claim_log.GROUP_COUNT)
        log = self._logs.get(group)
        if log is None:
            log = self._logs[group] = claim_log.GroupLog(group)
        self._perform_log_actions(
            group, log.append(action.record, self.now, time.time(), reread=action.reread)
        )

    def _perform_log_actions(self, group: int, actions: list[claim_log.Action]) -> None:
        for action in actions:
            match action:
                case claim_log.Granted() | claim_log.AlreadyClaimed() | claim_log.QueueFull():
                    self._perform_actions(self._claims.append_completed(action, self.now))
                case _:
                    self._spawn(self._call_storage, group, action)

    async def _call_storage(self, group: int, action: storage.Action) -> None:
        """Make one call to the platform's service and post its outcome."""
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
        self.post(_StorageEvent(group, event))

    async def _ask_owner(self, action: calls.AskOwner) -> None:
        await anyio.sleep(action.delay)
        reply = await self._ask_peer(
            action.question.owner, action.question, OWNER_REPLY_TIMEOUT_SECONDS
        )
        answer = reply if isinstance(reply, messages.ClaimAnswer) else None
        self.post(_OwnerAnswered(action.sequence, answer))

    async def _dispatch(self, action: calls.Dispatch, dispatch: Dispatch) -> None:
        async def may_send() -> bool:
            reply: actor.PendingReply[bool] = actor.PendingReply()
            self.post(_MaySend(action.sequence, reply))
            return await reply.wait()

        result = await dispatch(action.upstream_request_id, may_send)
        self.post(_Dispatched(action.sequence, result))

    def _spawn(self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: Any) -> None:
        if self._task_group is not None:
            self._task_group.start_soon(function, *arguments)
