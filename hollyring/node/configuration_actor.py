"""Actor that replicates the configuration from the platform's service and from other VMs."""

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
class _StoreAnswered:
    answer: store.Answer
    reply: actor.PendingReply[None]


@dataclasses.dataclass(slots=True)
class _FromPeer:
    sender: str
    message: messages.Message


class ConfigurationActor(actor.Actor):
    """Owner of this VM's `replica.Replica` and `store_sync.StoreSync`.

    Parameters
    ----------
    client
        Client of the platform's service.
    send
        Sends a message to a VM by name.
    live_peers
        Returns the names of the other VMs that are alive.
    listeners
        Called with each configuration that comes into force.
    """

    def __init__(
        self,
        incarnation: identities.Incarnation,
        counters: invariants.Invariants,
        client: platform_client.PlatformClient,
        send: Send,
        live_peers: Callable[[], list[str]],
        listeners: list[Listener],
    ) -> None:
        super().__init__(replica.TICK_SECONDS)
        self._rng = random.Random(f"configuration of {incarnation}")
        self._client = client
        self._send = send
        self._live_peers = live_peers
        self._listeners = listeners
        self._log = logs.Logger("config")
        self._replica = replica.Replica(counters, self.now)
        self._store_sync = store_sync.StoreSync(self._replica, self._seed(), self.now)
        self._last_notified = state.Configuration()
        self._admission = replica.Admission.NOT_CONFIGURED

    @property
    def current(self) -> state.Configuration:
        """The configuration in force, immutable."""
        return self._replica.configuration

    def refusal(self) -> refusal.Refusal | None:
        """Return the refusal of all requests, or None while this VM admits requests."""
        if self._replica.admission(self.now) is replica.Admission.ADMITS:
            return None
        return refusal.make("configuration_stale")

    async def follow_store(self) -> None:
        """Make the store calls that `StoreSync` requests, until cancelled."""
        while True:
            answer = await store_calls.perform(self._client, self._store_sync.call)
            reply: actor.PendingReply[None] = actor.PendingReply()
            self.post(_StoreAnswered(answer, reply))
            await reply.wait()

    def receive(self, sender: str, message: messages.Message) -> None:
        """Receive a configuration message from another VM."""
        self.post(_FromPeer(sender, message))

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case _StoreAnswered():
                self._send_and_notify(self._store_sync.on_answer(message.answer, self.now))
                message.reply.set(None)
            case _FromPeer():
                self._send_and_notify(
                    self._replica.on_message(message.sender, message.message, self.now)
                )

    def tick(self) -> None:
        """Gossip, and log a change in whether this VM admits requests or why it does not."""
        self._send_and_notify(self._replica.tick(self.now, self._live_peers(), self._seed()))
        admission = self._replica.admission(self.now)
        if admission is not self._admission:
            self._admission = admission
            self._log.info("admission changed", admission=str(admission))

    def dump(self) -> dict[str, Any]:
        """Return the state of the replica without key digests."""
        return self._replica.dump(self.now)

    def _seed(self) -> int:
        return self._rng.getrandbits(SEED_BITS)

    def _send_and_notify(self, sends: list[messages.Send]) -> None:
        for send in sends:
            self._send(send.to, send.message)
        current = self._replica.configuration
        if current.revision == self._last_notified.revision:
            return
        self._last_notified = current
        self._log.info("revision in force", revision=current.revision)
        for listener in self._listeners:
            listener(current)
