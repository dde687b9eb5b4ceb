"""The part that owns what is in force: follows the platform's service and the other VMs."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import Any

from hollyring.configuration import messages, replica, state, store, store_sync
from hollyring.core import identities, invariants
from hollyring.delivery import refusal
from hollyring.node import actor, logs, platform_client, store_calls

SEED_BITS = 64

Listener = Callable[[state.Configuration], None]
Send = Callable[[str, object], None]


@dataclasses.dataclass(slots=True)
class _Answered:
    answer: store.Answer
    ticket: actor.PendingReply[None]


@dataclasses.dataclass(slots=True)
class _FromPeer:
    sender: str
    message: messages.Message


class ConfigurationActor(actor.Actor):
    """Owns this VM's `InForce` and the follower of the store.

    Parameters
    ----------
    client
        The platform's service.
    send
        Called with a VM's name and a message for it.
    live_peers
        Returns the names of the other VMs that are alive.
    listeners
        Called with each configuration that comes into force.
    """

    def __init__(
        self,
        me: identities.Incarnation,
        counters: invariants.Invariants,
        client: platform_client.PlatformClient,
        send: Send,
        live_peers: Callable[[], list[str]],
        listeners: list[Listener],
    ) -> None:
        super().__init__(replica.TICK_SECONDS)
        self._draw = random.Random(f"configuration of {me}")
        self._client = client
        self._send = send
        self._live_peers = live_peers
        self._listeners = listeners
        self._log = logs.Logger("config")
        self._in_force = replica.Replica(counters, self.now)
        self._follower = store_sync.StoreSync(self._in_force, self._seed(), self.now)
        self._told = state.Configuration()
        self._admission = replica.Admission.NOT_CONFIGURED

    @property
    def current(self) -> state.Configuration:
        """The configuration in force; it never changes in place."""
        return self._in_force.configuration

    def refusal(self) -> refusal.Refusal | None:
        """Return why this VM admits nothing now, None while it admits."""
        if self._in_force.admission(self.now) is replica.Admission.ADMITS:
            return None
        return refusal.make("configuration_stale")

    async def follow_store(self) -> None:
        """Make the calls on the store that the follower asks for, until cancelled."""
        while True:
            answer = await store_calls.perform(self._client, self._follower.call)
            ticket: actor.PendingReply[None] = actor.PendingReply()
            self.post(_Answered(answer, ticket))
            await ticket.wait()

    def receive(self, sender: str, message: messages.Message) -> None:
        """Take a message about the configuration from another VM."""
        self.post(_FromPeer(sender, message))

    def handle(self, message: Any) -> None:
        """Take one message."""
        match message:
            case _Answered():
                self._send_all(self._follower.on_answer(message.answer, self.now))
                message.ticket.set(None)
            case _FromPeer():
                self._send_all(self._in_force.on_message(message.sender, message.message, self.now))

    def tick(self) -> None:
        """Gossip, and note whether this VM admits."""
        self._send_all(self._in_force.tick(self.now, self._live_peers(), self._seed()))
        admission = self._in_force.admission(self.now)
        if admission is not self._admission:
            self._admission = admission
            self._log.info("admission changed", admission=str(admission))

    def dump(self) -> dict[str, Any]:
        """Return the state without key digests."""
        return self._in_force.dump(self.now)

    def _seed(self) -> int:
        return self._draw.getrandbits(SEED_BITS)

    def _send_all(self, sends: list[messages.Send]) -> None:
        for send in sends:
            self._send(send.to, send.message)
        current = self._in_force.configuration
        if current.revision == self._told.revision:
            return
        self._told = current
        self._log.info("revision in force", revision=current.revision)
        for listener in self._listeners:
            listener(current)
