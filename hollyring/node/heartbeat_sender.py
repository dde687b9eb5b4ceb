"""Sends heartbeats to the serving VMs several times a second."""

from __future__ import annotations

import anyio

from hollyring.membership import heartbeat
from hollyring.node import clock, logs, peers, state

HEARTBEAT_SECONDS = 0.15
MAX_HEARTBEATS_PER_SECOND = 80.0
"""Most periodic heartbeats that one VM sends per second, for any number of recipients."""

OTHER_HEARTBEAT_SECONDS = 0.5
"""Time between two heartbeats of a VM that does not serve, but is busy with requests."""

FOLLOWING_TICK_SECONDS = 1.0
"""Time between two updates of the state of a VM that sends no heartbeats."""

REFRESH_SECONDS = 1.0
"""Time after which a heartbeat repeats what has not changed, for VMs that missed it."""

PAUSE_THRESHOLD_SECONDS = 1.0
"""Delay of a heartbeat from which the process counts as paused."""


class HeartbeatSender:
    """Sender of heartbeats.

    Parameters
    ----------
    vm_state
        State that the heartbeats carry.
    peer_connections
        Connections to the other VMs.
    seeds
        Peer addresses of some VMs, used while no other VM is known.
    """

    def __init__(
        self, vm_state: state.State, peer_connections: peers.PeerConnections, seeds: list[str]
    ) -> None:
        self._state = vm_state
        self._peers = peer_connections
        self._seeds = seeds
        self._refreshed_at = 0.0
        self._sent_revisions: dict[str, heartbeat.PrefixRevision] = {}
        self._sent_totals: dict[str, tuple[float, float]] = {}
        self._log = logs.Logger("heartbeat")
        self._send_requested = anyio.Event()

    def send_now(self) -> None:
        """Send the next heartbeat at once."""
        self._send_requested.set()

    def set_seeds(self, seeds: list[str]) -> None:
        """Use other seeds from now on."""
        self._seeds = seeds

    async def run(self) -> None:
        """Update the state and send a heartbeat periodically, until cancelled."""
        due = clock.now()
        while True:
            now = clock.now()
            if now - due > PAUSE_THRESHOLD_SECONDS:
                self._log.info("process was paused", seconds=round(now - due, 2))
            self._state.peers.begin_turn(now)
            self._state.tick(now)
            addresses = self._addresses(now)
            if addresses:
                self._peers.broadcast(addresses, self._heartbeat(now))
            interval = self._interval(len(addresses))
            due = now + interval
            self._state.peers.expect_turn(due)
            with anyio.move_on_after(interval):
                await self._send_requested.wait()
            self._send_requested = anyio.Event()

    def _interval(self, recipients: int) -> float:
        if not recipients and not self._state.peers.is_exchanging:
            return FOLLOWING_TICK_SECONDS
        shortest = HEARTBEAT_SECONDS if self._state.peers.is_serving else OTHER_HEARTBEAT_SECONDS
        return max(shortest, recipients / MAX_HEARTBEATS_PER_SECOND)

    def _addresses(self, now: float) -> list[str]:
        if self._state.peers.by_name:
            peers = self._state.peers
            return peers.recipients(now) + peers.silent_to_probe(now)
        own_address = self._state.vm_info.peer_address
        return sorted(set(self._seeds) - {own_address})

    def _heartbeat(self, now: float) -> heartbeat.Heartbeat:
        vm_state = self._state
        refreshes = vm_state.refresh_due or now - self._refreshed_at >= REFRESH_SECONDS
        if refreshes:
            vm_state.refresh_due = False
            self._refreshed_at = now
            self._sent_revisions.clear()
            self._sent_totals.clear()
        message = heartbeat.Heartbeat(
            vm=vm_state.vm_info,
            ready=vm_state.ready,
            store_reached=vm_state.store_reached_at > vm_state.store_failed_at,
            revisions=self._changed_revisions(),
            wanted_versions=vm_state.wanted_version_ages(now) if refreshes else [],
            loads=self._loads(now),
            usage=self._changed_usage(now),
            cached_prompts=vm_state.cached_prompts,
            cache_reports=vm_state.cache_reports,
            weights=vm_state.weights,
            unresponsive_upstreams=vm_state.take_unresponsive(),
            order_lease=vm_state.order_lease,
            leaving=vm_state.leaving,
            exchanging=vm_state.peers.is_exchanging,
            requests_per_second=round(vm_state.requests.sent_rate(now), 1),
            stream_origins=vm_state.take_stream_origins(now),
            departures=(vm_state.announced_departures() if refreshes else vm_state.departures),
            crashes=vm_state.crashes.take_crashes(now, refreshes),
            sound_parts=vm_state.crashes.take_sound_parts(),
            blamed_parts=vm_state.crashes.take_blamed_parts(refreshes),
            request_limits=vm_state.request_limits.take_unreported(now, refreshes),
            unreachable_services=vm_state.reachability.unreachable_services,
            accepts_forwarded=True,
            rejection_limits=vm_state.rejection_limits.take_unreported(now, refreshes),
            answered_requests=vm_state.crashes.take_answered_requests(),
            copies_age_seconds=vm_state.copies_age_to_report(now),
            releases=vm_state.releases.reports(now),
            priority_loads=self._priority_loads(),
        )
        vm_state.cached_prompts = []
        vm_state.cache_reports = []
        vm_state.weights = []
        vm_state.departures = []
        return message

    def _loads(self, now: float) -> list[heartbeat.UpstreamLoad]:
        return [
            heartbeat.UpstreamLoad(
                upstream.name,
                upstream.open_requests,
                upstream.long_responses,
                sum(item.prefill_tokens for item in upstream.outstanding.values()),
                int(upstream.own_prefill_rate(now)),
            )
            for upstream in self._state.registry.upstreams.values()
            if upstream.open_requests or upstream.own_prefill_rate(now) >= 1.0
        ]

    def _priority_loads(self) -> list[heartbeat.PriorityLoad]:
        return [
            heartbeat.PriorityLoad(upstream.name, unread)
            for upstream in self._state.registry.upstreams.values()
            if upstream.outstanding and (unread := upstream.unread_by_priority())
        ]

    def _changed_revisions(self) -> list[heartbeat.PrefixRevision]:
        """Return the revisions that changed since the last heartbeat with them."""
        changed = [
            revision
            for revision in self._state.mirror_revisions()
            if self._sent_revisions.get(revision.prefix) != revision
        ]
        self._sent_revisions |= {item.prefix: item for item in changed}
        return changed

    def _changed_usage(self, now: float) -> list[heartbeat.OrganisationUsage]:
        """Return the usage that changed since the last heartbeat with it."""
        changed = [
            usage
            for usage in self._state.organisation_usage(now)
            if self._sent_totals.get(usage.organisation) != (usage.total, usage.returned)
        ]
        self._sent_totals |= {
            usage.organisation: (usage.total, usage.returned) for usage in changed
        }
        return changed
