"""Actor that owns the rate limiter: admits requests, lends tokens to peers, returns unused ones."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from hollyring.configuration import state
from hollyring.core import identities, invariants
from hollyring.delivery import refusal
from hollyring.limits import holders, limiter
from hollyring.limits import messages as limits_messages
from hollyring.node import actor

WAITING_TICK_SECONDS = 0.02
"""Time between two ticks while requests wait for tokens."""

IDLE_TICK_SECONDS = 1.0

Send = Callable[[str, object], None]


@dataclasses.dataclass(slots=True)
class _Admit:
    organisation: str
    tokens: int
    request_id: str
    reply: actor.PendingReply[refusal.Refusal | None]


@dataclasses.dataclass(slots=True)
class _Settle:
    organisation: str
    request_id: str
    used: int


@dataclasses.dataclass(slots=True)
class _Configure:
    configuration: state.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class _VMsListed:
    names: frozenset[str]


@dataclasses.dataclass(slots=True)
class _FromPeer:
    sender: str
    message: Any


class LimitsActor(actor.Actor):
    """Owner of this VM's `limiter.Limiter`.

    Parameters
    ----------
    send
        Sends a message to a VM by name.
    """

    def __init__(
        self, incarnation: identities.Incarnation, counters: invariants.Invariants, send: Send
    ) -> None:
        super().__init__(WAITING_TICK_SECONDS)
        self._limiter = limiter.Limiter(incarnation, counters)
        self._send = send
        self._pending_replies: dict[str, actor.PendingReply[refusal.Refusal | None]] = {}
        self._limits: dict[str, holders.Limit] = {}
        self._roster_revision = 0
        self._retired: tuple[str, ...] = ()

    async def admit(
        self, organisation: str, tokens: int, request_id: str
    ) -> refusal.Refusal | None:
        """Wait for admission; return None if the request is admitted, else the refusal."""
        reply: actor.PendingReply[refusal.Refusal | None] = actor.PendingReply()
        self.post(_Admit(organisation, tokens, request_id, reply))
        return await reply.wait()

    def settle(self, organisation: str, request_id: str, used: int) -> None:
        """Give back the tokens that an admitted request reserved and did not use."""
        self.post(_Settle(organisation, request_id, used))

    def configure(self, configuration: state.Configuration) -> None:
        """Apply the limits and the roster of a configuration that came into force."""
        self.post(_Configure(configuration))

    def update_listed(self, names: frozenset[str]) -> None:
        """Update the VMs on the platform's list; an empty list is ignored.

        Retired VMs that are not on the list count as destroyed.
        """
        self.post(_VMsListed(names))

    def receive(self, sender: str, message: object) -> None:
        """Receive a limits message from another VM."""
        self.post(_FromPeer(sender, message))

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case _Admit():
                self._pending_replies[message.request_id] = message.reply
                effects = self._limiter.admit(
                    message.organisation, message.tokens, message.request_id, self.now
                )
                self._apply_effects(effects)
            case _Settle():
                self._apply_effects(
                    self._limiter.settle(message.request_id, message.used, self.now)
                )
            case _Configure():
                self._configure(message.configuration)
            case _VMsListed():
                destroyed = [name for name in self._retired if name not in message.names]
                if message.names and destroyed:
                    self._limiter.mark_destroyed(destroyed)
            case _FromPeer():
                self._apply_effects(
                    self._limiter.receive(message.sender, message.message, self.now)
                )

    def next_tick_at(self) -> float:
        """Return the monotonic time of the next tick."""
        return self._last_tick_at + (
            WAITING_TICK_SECONDS if self._limiter.waiting else IDLE_TICK_SECONDS
        )

    def tick(self) -> None:
        """Process the requests and loans that are due."""
        self._apply_effects(self._limiter.tick(self.now))

    def dump(self) -> dict[str, Any]:
        """Return the state of the limiter."""
        return self._limiter.dump()

    def _configure(self, configuration: state.Configuration) -> None:
        limits = {
            item.name: holders.Limit(item.name, int(item.rate), int(item.burst))
            for item in configuration.organisations.values()
        }
        changed = tuple(v for name, v in limits.items() if self._limits.get(name) != v)
        removed = tuple(name for name in self._limits if name not in limits)
        self._limits = limits
        roster = self._new_roster(configuration)
        self._limiter.configure(limiter.Update(roster, changed, removed), self.now)

    def _new_roster(self, configuration: state.Configuration) -> holders.Roster | None:
        """Return the roster of a configuration if it is newer than the last one applied."""
        declared = configuration.roster
        if not configuration.vms or declared.revision <= self._roster_revision:
            return None
        self._roster_revision = declared.revision
        self._retired = declared.retired
        slots = tuple(
            holders.Slot(vm.name, vm.name, vm.failure_domain, vm.region)
            for vm in sorted(configuration.vms.values(), key=lambda vm: vm.name)
        )
        settled = declared.revision if declared.revision == declared.first else 0
        return holders.Roster(declared.revision, slots, declared.retired, settled)

    def _apply_effects(self, effects: limits_messages.Effects) -> None:
        for outgoing in effects.messages:
            self._send(outgoing.receiver, outgoing.message)
        for decision in effects.decisions:
            reply = self._pending_replies.pop(decision.request_id, None)
            if reply is not None:
                reply.set(_refusal(decision))


def _refusal(decision: limits_messages.Decision) -> refusal.Refusal | None:
    match decision:
        case limits_messages.Refused():
            return refusal.make(decision.code, decision.retry_after or None)
        case _:
            return None
