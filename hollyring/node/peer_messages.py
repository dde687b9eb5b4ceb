"""Application of the messages of other VMs to the state of this VM."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import typing

from hollyring.configuration import store_revision
from hollyring.delivery import stream_origins
from hollyring.membership import heartbeat
from hollyring.node import logs
from hollyring.routing import registry

if typing.TYPE_CHECKING:
    from hollyring.node import state

RECENT_ACTIVITY_SECONDS = 0.4
"""Age of an upstream's last activity up to which suspicions of other VMs are ignored."""


class PeerMessages:
    """Applies heartbeats and statuses to the state of a VM.

    Parameters
    ----------
    vm_state
        State to update.
    """

    def __init__(self, vm_state: state.State) -> None:
        self._state = vm_state
        self._peer_upstreams: dict[str, set[str]] = collections.defaultdict(set)
        self._log = logs.Logger("state")

    def receive(self, message: heartbeat.Heartbeat, now: float) -> None:
        """Process a heartbeat of another VM."""
        revisions = _possible(message.revisions)
        if len(revisions) < len(message.revisions):
            message = dataclasses.replace(message, revisions=revisions)
        self._observe_eras(message.vm.name, message.revisions)
        peer = self._state.peers.receive(message, now)
        if message.copies_age_seconds >= 0.0:
            complete_at = now - message.copies_age_seconds
            self._state.freshness.record_copies_of_another(complete_at, now)
        if peer is not None:
            self._state.refresh_due = True
            self._state.stream_origins.report_again()
            self._log.info(
                "heartbeats from a new or returned VM", vm=message.vm.name, life=message.vm.life
            )
        self._record_loads(message, now)
        self._record_usage(message, now)
        self._record_wanted_versions(message.wanted_versions, now)
        for cached in message.cached_prompts:
            self._state.caches.touch(cached)
        for report in message.cache_reports:
            if report.reachable or not message.unreachable_services:
                self._state.caches.apply_report(report, now)
        for weights in message.weights:
            self._state.apply_weights(weights, now)
        if message.order_lease.held:
            self._state.order_holder_stated_at = now
            self._state.selector.reserve(message.order_lease.reserved)
        for begun in message.stream_origins:
            origin = stream_origins.Origin(begun.service, begun.software)
            self._state.stream_origins.record_reported(begun.request_ids, origin, now)
        for departure in message.departures:
            if self._state.record_departure(departure, message.vm.name, now):
                self._state.departure_counts["reported"] += 1
        self._state.crashes.receive(message.vm.name, message, now)
        self._state.request_limits.receive(message.vm.name, message.request_limits, now)
        self._state.rejection_limits.receive(message.vm.name, message.rejection_limits, now)
        self._record_suspicions(message, now)
        self._state.releases.receive(f"{message.vm.name}#{message.vm.life}", message.releases)

    def _record_suspicions(self, message: heartbeat.Heartbeat, now: float) -> None:
        """Suspect what another VM suspects, unless it doesn't reach the service at all."""
        for unresponsive in message.unresponsive_upstreams:
            upstream = self._state.registry.get(unresponsive)
            if upstream is None or upstream.entry.service in message.unreachable_services:
                continue
            if now - upstream.last_activity_at > RECENT_ACTIVITY_SECONDS:
                upstream.mark_suspect(now)

    def receive_status(
        self, sender: str, message: heartbeat.FleetStatus, asked_at: float, now: float
    ) -> None:
        """Process the status that a serving VM sent to this VM, which had asked at `asked_at`."""
        message = dataclasses.replace(message, revisions=_possible(message.revisions))
        self._observe_eras(sender, message.revisions)
        self._state.peers.receive_status(sender, message, now)
        self._record_freshness(message.revisions, asked_at, now)
        self._state.update_peers(now)
        self._record_wanted_versions(message.wanted_versions, now)
        self._state.crashes.adopt(sender, message.blamed_parts, now)
        self._state.request_limits.receive(sender, message.request_limits, now)
        self._state.rejection_limits.receive(sender, message.rejection_limits, now)
        self._state.told_origins.receive(message, now)

    def _record_freshness(
        self, revisions: list[heartbeat.PrefixRevision], asked_at: float, now: float
    ) -> None:
        """Record up to when the copies are complete, as they have all that another VM has."""
        for item in revisions:
            mirrored = self._state.mirrors.get(item.prefix)
            if mirrored is None or item.age_seconds < 0.0:
                continue
            revision = item.revision.resolved(mirrored.era)
            if mirrored.last_change_revision >= revision:
                self._state.freshness.record(item.prefix, asked_at - item.age_seconds)
        deciding = self._state.freshness.prefixes
        ages = [item.age_seconds for item in revisions if item.prefix in deciding]
        if len(ages) == len(deciding) and min(ages) >= 0.0:
            self._state.freshness.record_copies_of_another(asked_at - max(ages), now)

    def _observe_eras(self, sender: str, revisions: list[heartbeat.PrefixRevision]) -> None:
        for item in revisions:
            if item.era != store_revision.UNKNOWN_ERA and item.number:
                self._state.store_era.observe(item.era, sender)

    def _record_loads(self, message: heartbeat.Heartbeat, now: float) -> None:
        """Record what another VM's requests put on the upstreams; the others have none of its."""
        name = message.vm.name
        loaded = set()
        by_priority = {item.upstream: item.unread_tokens for item in message.priority_loads}
        for load in message.loads:
            upstream = self._state.registry.get(load.upstream)
            if upstream is None:
                continue
            loaded.add(load.upstream)
            upstream.peers[name] = registry.PeerLoad(
                load.requests,
                load.long_answers,
                load.unread_tokens,
                load.prompt_tokens_per_second,
                now,
                _tokens_up_to(by_priority.get(load.upstream, [])),
            )
        for dropped in self._peer_upstreams[name] - loaded:
            upstream = self._state.registry.get(dropped)
            if upstream is not None:
                upstream.peers.pop(name, None)
        self._peer_upstreams[name] = loaded

    def _record_usage(self, message: heartbeat.Heartbeat, now: float) -> None:
        """Record what another VM admitted for the organisations."""
        incarnation = f"{message.vm.name}#{message.vm.life}"
        for spent in message.usage:
            self._state.record_peer_usage(spent, incarnation, now)

    def _record_wanted_versions(
        self, versions: list[heartbeat.WantedVersionAge], now: float
    ) -> None:
        for wanted_age in versions:
            wanted = self._state.latest_wanted.get(wanted_age.model)
            if wanted is not None and wanted.version >= wanted_age.version:
                self._state.wanted_versions.record(
                    wanted_age.model, wanted_age.version, now - wanted_age.age_seconds
                )


def _tokens_up_to(unread_tokens: list[int]) -> tuple[int, ...]:
    """Return the unread tokens of each priority class and of the more urgent ones.

    It is empty if the sender does not tell them apart.
    """
    if not unread_tokens:
        return ()
    sums = list(itertools.accumulate(unread_tokens[: registry.PRIORITY_CLASSES]))
    missing = registry.PRIORITY_CLASSES - len(sums)
    return (*sums, *[sums[-1]] * missing)


def _possible(revisions: list[heartbeat.PrefixRevision]) -> list[heartbeat.PrefixRevision]:
    """Return the revisions that a store can reach; one that it can't would stay the latest."""
    return [item for item in revisions if item.revision.is_possible]
