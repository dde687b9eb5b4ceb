"""Sends heartbeats to the other VMs several times a second, and registers this VM in the store."""

from __future__ import annotations

import anyio

from hollyring.membership import heartbeat
from hollyring.node import clock, interfaces, logs, peers, state, store_watcher

HEARTBEAT_SECONDS = 0.15
MAX_HEARTBEATS_PER_SECOND = 80.0
"""Most periodic heartbeats that one VM sends per second, for any number of other VMs."""

REGISTRATION_LEASE_SECONDS = 6.0
RENEW_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.5
PAUSE_THRESHOLD_SECONDS = 1.0
"""Time between two heartbeats above which the process counts as paused."""


class HeartbeatSender:
    """Sender of heartbeats, which also keeps this VM registered in the store.

    Parameters
    ----------
    vm_state
        State that the heartbeats carry.
    peer_connections
        Connections to the other VMs.
    store
        Store in which the VM is registered.
    watcher
        Records whether the store answers.
    codec
        Encodes the record of this VM in the store.
    seeds
        Peer addresses of some VMs, used while no other VM is known.
    """

    def __init__(
        self,
        vm_state: state.State,
        peer_connections: peers.PeerConnections,
        store: interfaces.Store,
        watcher: store_watcher.StoreWatcher,
        codec: interfaces.StoreCodec,
        seeds: list[str],
    ) -> None:
        self._state = vm_state
        self._peers = peer_connections
        self._store = store
        self._store_watcher = watcher
        self._codec = codec
        self._seeds = seeds
        self._log = logs.Logger("pulse")
        self._send_requested = anyio.Event()

    def send_now(self) -> None:
        """Send the next heartbeat at once."""
        self._send_requested.set()

    async def run(self) -> None:
        """Update the state and send a heartbeat periodically, until cancelled."""
        last = clock.now()
        while True:
            now = clock.now()
            if now - last > PAUSE_THRESHOLD_SECONDS:
                self._log.info("process was paused", seconds=round(now - last, 2))
            last = now
            self._state.tick(now)
            addresses = self._addresses()
            self._peers.broadcast(addresses, self._heartbeat(now))
            with anyio.move_on_after(
                max(HEARTBEAT_SECONDS, len(addresses) / MAX_HEARTBEATS_PER_SECOND)
            ):
                await self._send_requested.wait()
            self._send_requested = anyio.Event()

    async def register(self) -> None:
        """Keep this VM registered in the store until cancelled."""
        vm_info = self._state.vm_info
        key = self._state.store_keys.vms + vm_info.name
        value = self._codec.encode_vm(vm_info)
        while True:
            try:
                lease = await self._store.grant(REGISTRATION_LEASE_SECONDS)
                await self._store.commit({}, [interfaces.Put(key, value, lease)])
                self._store_watcher.record_success()
                while await self._store.renew(lease):
                    self._store_watcher.record_success()
                    await anyio.sleep(RENEW_SECONDS)
            except interfaces.StoreError as error:
                self._store_watcher.record_failure(str(error))
            await anyio.sleep(RETRY_DELAY_SECONDS)

    def _addresses(self) -> list[str]:
        own_address = self._state.vm_info.peer_address
        addresses = {peer.vm.peer_address for peer in self._state.peers.by_name.values()}
        return sorted((addresses or set(self._seeds)) - {own_address})

    def _heartbeat(self, now: float) -> heartbeat.Heartbeat:
        vm_state = self._state
        loads = [
            heartbeat.UpstreamLoad(
                upstream.name,
                upstream.open_requests,
                upstream.long_responses,
                sum(item.prefill_tokens for item in upstream.outstanding.values()),
                int(upstream.own_prefill_rate(now)),
            )
            for upstream in vm_state.registry.upstreams.values()
            if upstream.open_requests or upstream.own_prefill_rate(now) >= 1.0
        ]
        revisions = [
            heartbeat.PrefixRevision(prefix, m.last_change_revision)
            for prefix, m in vm_state.mirrors.items()
        ]
        message = heartbeat.Heartbeat(
            vm=vm_state.vm_info,
            ready=vm_state.ready,
            store_reached=vm_state.store_reached_at > vm_state.store_failed_at,
            revisions=revisions,
            wanted_versions=[
                heartbeat.WantedVersionAge(model, wanted.version, now - wanted.since)
                for model, wanted in vm_state.wanted_versions.all_versions()
                if not wanted.estimated
            ],
            loads=loads,
            usage=vm_state.organisation_usage(),
            cached_prompts=vm_state.cached_prompts,
            cache_reports=vm_state.cache_reports,
            weights=vm_state.weights,
            unresponsive_upstreams=vm_state.unresponsive_upstreams,
            order_lease=vm_state.order_lease,
        )
        vm_state.cached_prompts = []
        vm_state.cache_reports = []
        vm_state.weights = []
        vm_state.unresponsive_upstreams = []
        return message
