"""Tells the other VMs this one's news several times a second, and registers it in the store."""

from __future__ import annotations

import anyio

from hollyring.membership import heartbeat
from hollyring.node import clock, interfaces, logs, peers, state, store_watcher

PULSE_SECONDS = 0.15
PULSES_PER_SECOND = 80.0
"""Most pulses that one VM sends a second, however many others there are."""

PLACE_LEASE_SECONDS = 6.0
RENEW_SECONDS = 2.0
RETRY_SECONDS = 0.5
STOOD_STILL_SECONDS = 1.0
"""A pause between two ticks that is longer shows that the process stood still."""


class HeartbeatSender:
    """Sends pulses and keeps this VM's entry in the store.

    Parameters
    ----------
    beliefs
        What is told.
    links
        Links to the other VMs.
    store, follower
        Where the VM registers, and who notes whether the store answers.
    seeds
        Peer addresses of some VMs to tell while none is known.
    """

    def __init__(
        self,
        beliefs: state.State,
        links: peers.PeerConnections,
        store: interfaces.Store,
        follower: store_watcher.StoreWatcher,
        documents: interfaces.StoreCodec,
        seeds: list[str],
    ) -> None:
        self._state = beliefs
        self._links = links
        self._store = store
        self._follower = follower
        self._documents = documents
        self._seeds = seeds
        self._log = logs.Logger("pulse")
        self._now = anyio.Event()

    def send_now(self) -> None:
        """Send the next pulse at once."""
        self._now.set()

    async def run(self) -> None:
        """Send pulses until cancelled."""
        last = clock.now()
        while True:
            now = clock.now()
            if now - last > STOOD_STILL_SECONDS:
                self._log.info("process stood still", seconds=round(now - last, 2))
            last = now
            self._state.tick(now)
            addresses = self._addresses()
            self._links.broadcast(addresses, self._pulse(now))
            with anyio.move_on_after(max(PULSE_SECONDS, len(addresses) / PULSES_PER_SECOND)):
                await self._now.wait()
            self._now = anyio.Event()

    async def register(self) -> None:
        """Keep this VM's place in the store until cancelled."""
        place = self._state.vm_info
        key = self._state.prefixes.vms + place.name
        value = self._documents.encode_vm(place)
        while True:
            try:
                lease = await self._store.grant(PLACE_LEASE_SECONDS)
                await self._store.commit({}, [interfaces.Put(key, value, lease)])
                self._follower.record_success()
                while await self._store.renew(lease):
                    self._follower.record_success()
                    await anyio.sleep(RENEW_SECONDS)
            except interfaces.StoreError as error:
                self._follower.record_failure(str(error))
            await anyio.sleep(RETRY_SECONDS)

    def _addresses(self) -> list[str]:
        me = self._state.vm_info.peer_address
        known = {peer.vm.peer_address for peer in self._state.peers.by_name.values()}
        return sorted((known or set(self._seeds)) - {me})

    def _pulse(self, now: float) -> heartbeat.Heartbeat:
        beliefs = self._state
        loads = [
            heartbeat.UpstreamLoad(
                upstream.name,
                upstream.open_requests,
                upstream.long_responses,
                sum(item.prefill_tokens for item in upstream.outstanding.values()),
                int(upstream.own_prefill_rate(now)),
            )
            for upstream in beliefs.registry.upstreams.values()
            if upstream.open_requests or upstream.own_prefill_rate(now) >= 1.0
        ]
        marks = [
            heartbeat.PrefixRevision(prefix, m.last_change_revision)
            for prefix, m in beliefs.mirrors.items()
        ]
        made = heartbeat.Heartbeat(
            vm=beliefs.vm_info,
            ready=beliefs.ready,
            store_reached=beliefs.store_reached_at > beliefs.store_failed_at,
            revisions=marks,
            wanted_versions=[
                heartbeat.WantedVersionAge(model, wanted.version, now - wanted.since)
                for model, wanted in beliefs.wanted_versions.all_versions()
                if not wanted.estimated
            ],
            loads=loads,
            usage=beliefs.organisation_usage(),
            cached_prompts=beliefs.cached_prompts,
            cache_reports=beliefs.cache_reports,
            weights=beliefs.weights,
            unresponsive_upstreams=beliefs.unresponsive_upstreams,
            order_lease=beliefs.order_lease,
        )
        beliefs.cached_prompts = []
        beliefs.cache_reports = []
        beliefs.weights = []
        beliefs.unresponsive_upstreams = []
        return made
