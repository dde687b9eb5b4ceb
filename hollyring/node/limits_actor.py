"""The part that owns the limiter: admits requests, lends to peers, settles."""

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

TICK_SECONDS = 0.02
"""Time between two ticks while requests wait for tokens."""

IDLE_TICK_SECONDS = 1.0

Send = Callable[[str, object], None]


@dataclasses.dataclass(slots=True)
class _Admit:
    organisation: str
    tokens: int
    request_id: str
    ticket: actor.PendingReply[refusal.Refusal | None]


@dataclasses.dataclass(slots=True)
class _Settle:
    organisation: str
    request_id: str
    used: int


@dataclasses.dataclass(slots=True)
class _Configure:
    configuration: state.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class _Listed:
    names: frozenset[str]


@dataclasses.dataclass(slots=True)
class _FromPeer:
    sender: str
    message: Any


class LimitsActor(actor.Actor):
    """Owns this VM's `limiter.Limiter`.

    Parameters
    ----------
    send
        Called with a VM's name and a message for it.
    """

    def __init__(
        self, me: identities.Incarnation, counters: invariants.Invariants, send: Send
    ) -> None:
        super().__init__(TICK_SECONDS)
        self._limiter = limiter.Limiter(me, counters)
        self._send = send
        self._tickets: dict[str, actor.PendingReply[refusal.Refusal | None]] = {}
        self._known: dict[str, holders.Limit] = {}
        self._roster_revision = 0
        self._retired: tuple[str, ...] = ()

    async def admit(
        self, organisation: str, tokens: int, request_id: str
    ) -> refusal.Refusal | None:
        """Return None once the request may run, or why it may not."""
        ticket: actor.PendingReply[refusal.Refusal | None] = actor.PendingReply()
        self.post(_Admit(organisation, tokens, request_id, ticket))
        return await ticket.wait()

    def settle(self, organisation: str, request_id: str, used: int) -> None:
        """Return what an admitted request reserved and did not use."""
        self.post(_Settle(organisation, request_id, used))

    def configure(self, configuration: state.Configuration) -> None:
        """Apply the limits and the roster of a configuration that came into force."""
        self.post(_Configure(configuration))

    def update_listed(self, names: frozenset[str]) -> None:
        """Take in the VMs that the platform's list shows: one that left it is destroyed."""
        self.post(_Listed(names))

    def receive(self, sender: str, message: object) -> None:
        """Take a limits message from another VM."""
        self.post(_FromPeer(sender, message))

    def handle(self, message: Any) -> None:
        """Take one message."""
        match message:
            case _Admit():
                self._tickets[message.request_id] = message.ticket
                effects = self._limiter.admit(
                    message.organisation, message.tokens, message.request_id, self.now
                )
                self._carry_out(effects)
            case _Settle():
                self._carry_out(self._limiter.settle(message.request_id, message.used, self.now))
            case _Configure():
                self._configure(message.configuration)
            case _Listed():
                gone = [name for name in self._retired if name not in message.names]
                if message.names and gone:
                    self._limiter.mark_destroyed(gone)
            case _FromPeer():
                self._carry_out(self._limiter.receive(message.sender, message.message, self.now))

    def due(self) -> float:
        """Return when the limiter has work to do."""
        return self._ticked + (TICK_SECONDS if self._limiter.waiting else IDLE_TICK_SECONDS)

    def tick(self) -> None:
        """Let the limiter do what is due."""
        self._carry_out(self._limiter.tick(self.now))

    def dump(self) -> dict[str, Any]:
        """Return the limiter's state."""
        return self._limiter.dump()

    def _configure(self, configuration: state.Configuration) -> None:
        wanted = {
            item.name: holders.Limit(item.name, int(item.rate), int(item.burst))
            for item in configuration.organisations.values()
        }
        changed = tuple(v for name, v in wanted.items() if self._known.get(name) != v)
        removed = tuple(name for name in self._known if name not in wanted)
        self._known = wanted
        roster = self._new_roster(configuration)
        self._limiter.configure(limiter.Update(roster, changed, removed), self.now)

    def _new_roster(self, configuration: state.Configuration) -> holders.Roster | None:
        """Return the roster of a configuration if it is later than the one applied."""
        listed = configuration.roster
        if not configuration.vms or listed.revision <= self._roster_revision:
            return None
        self._roster_revision = listed.revision
        self._retired = listed.retired
        slots = tuple(
            holders.Slot(vm.name, vm.name, vm.failure_domain, vm.region)
            for vm in sorted(configuration.vms.values(), key=lambda vm: vm.name)
        )
        settled = listed.revision if listed.revision == listed.first else 0
        return holders.Roster(listed.revision, slots, listed.retired, settled)

    def _carry_out(self, effects: limits_messages.Effects) -> None:
        for outgoing in effects.messages:
            self._send(outgoing.receiver, outgoing.message)
        for decision in effects.decisions:
            ticket = self._tickets.pop(decision.request_id, None)
            if ticket is not None:
                ticket.set(_refusal(decision))


def _refusal(decision: limits_messages.Decision) -> refusal.Refusal | None:
    match decision:
        case limits_messages.Refused():
            return refusal.make(decision.code, decision.retry_after or None)
        case _:
            return None
