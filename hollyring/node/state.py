"""State of one VM, shared by the tasks of its event loop; not thread-safe.

Changes of the store arrive through `apply_store_changes`, heartbeats of other VMs through
`receive`, and observations of requests through the methods that the relay calls. Other tasks set
some attributes directly, for example the store watcher the times at which the store last answered
and failed, and the rollout controller the state of the order lease.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Callable

from hollyring.configuration import deployment, freshness, mirror
from hollyring.core import request_types
from hollyring.delivery import grace_period, retry, stream_origins
from hollyring.limits import (
    fleet_window,
    organisation_rates,
    retry_budget,
    service_retry_budgets,
)
from hollyring.membership import (
    forwarding_targets,
    heartbeat,
    peer_table,
    request_meter,
    store_outages,
)
from hollyring.node import (
    cache_updates,
    clock,
    crash_reports,
    interfaces,
    logs,
    peer_messages,
    releases,
    store_changes,
    store_era,
    stream_versions,
    told_origins,
    upstream_backoffs,
    upstream_limits,
)
from hollyring.releases import messages
from hollyring.routing import (
    prefix_caches,
    reachability,
    registry,
    selection,
    software_versions,
    wanted_versions,
)

MISSING_UPSTREAM_TTL_SECONDS = 1.8
"""Time after which an upstream is removed if its entry disappeared while the store was away.

It counts from the disappearance or the end of the outage, whichever is later.
"""

ANSWERED_BY_STORE_SECONDS = 1.5
"""Age of a VM's copies up to which they show that the store answers some VM."""

RESTORED_UPSTREAM_TTL_SECONDS = 2.2
"""The same after the store has returned from an older copy, counted from the return.

The upstreams write their entries again within about two seconds.
"""

RATE_WINDOW_SECONDS = 8.0
"""Default window in which an organisation may use its rate and its burst."""

WEIGHTS_LOAD_TIMEOUT_SECONDS = 8.0
"""Longest time for which an upstream counts as loading weights."""

SendHeartbeat = Callable[[], None]
"""Sends a heartbeat to the other VMs at once."""

CONNECTION_SHARE = 0.9
"""Share of a service's `max_connections` that is divided among the VMs."""

MIN_CONNECTIONS = 4
"""Connections that a VM may always open to one upstream, even if its share is smaller."""


class State:
    """State of one VM: its configuration, registry, caches, peers and limits.

    Parameters
    ----------
    vm_info
        Name, incarnation, addresses and location of this VM.
    codec
        Decodes the values in the store.
    store_keys
        Keys and prefixes in the store.
    retries
        Rules of the retry budgets.
    max_version_age_seconds
        Time for which older weights are still used after a version becomes wanted.
    rates
        Rate limits of the organisations.
    freshness_rules
        How recent the copies of the store have to be.
    release_rules
        Bounds on what a bad software version may get; None to take no part in releases.
    max_cached_parts
        Most prompt parts of all estimates of cached prompts.
    """

    def __init__(
        self,
        vm_info: heartbeat.VmInfo,
        codec: interfaces.StoreCodec,
        store_keys: interfaces.StoreKeys,
        retries: service_retry_budgets.RetryRules,
        max_version_age_seconds: float = math.inf,
        rates: organisation_rates.OrganisationRates | None = None,
        freshness_rules: freshness.FreshnessRules | None = None,
        release_rules: messages.ReleaseRules | None = None,
        max_cached_parts: int = prefix_caches.MAX_PARTS,
    ) -> None:
        self.vm_info = vm_info
        self.store_keys = store_keys
        self.deployment: deployment.Deployment | None = None
        self.registry = registry.Registry()
        self.backoffs = upstream_backoffs.UpstreamBackoffs(self.registry)
        self.request_limits = upstream_limits.UpstreamLimits(
            self.registry.request_limits, upstream_limits.Kind.REQUESTS
        )
        self.rejection_limits = upstream_limits.UpstreamLimits(
            self.registry.rejection_limits, upstream_limits.Kind.REJECTIONS
        )
        self.prefix_caches = prefix_caches.PrefixCaches(max_cached_parts)
        self.wanted_versions = wanted_versions.WantedVersions(max_version_age_seconds)
        self.selector = selection.Selector(self.registry, self.prefix_caches, self.wanted_versions)
        self.caches = cache_updates.CacheUpdates(self.registry, self.prefix_caches, self.selector)
        self.stream_origins = stream_origins.StreamOrigins()
        self.software_versions = software_versions.SoftwareVersions(
            stream_origins.ORIGIN_TTL_SECONDS
        )
        self.releases = releases.Releases(self, release_rules)
        self.crashes = crash_reports.CrashReports(vm_info.name)
        self.peers = peer_table.PeerTable(vm_info)
        self.reachability = reachability.Reachability(self.registry, vm_info.name)
        self.forwarding = forwarding_targets.ForwardingTargets(self.peers)
        self.requests = request_meter.RequestMeter()
        self.mirrors = {
            prefix: mirror.Mirror()
            for prefix in (store_keys.operator, store_keys.upstreams, store_keys.vms)
        }
        self.store_era = store_era.StoreEra()
        self._store_outages = store_outages.StoreOutages()
        self.freshness = freshness.Freshness(
            (store_keys.operator, store_keys.upstreams),
            freshness_rules or freshness.FreshnessRules(),
            others=(store_keys.vms,),
        )
        self.stream_versions = stream_versions.StreamVersions(
            self.registry,
            self.software_versions,
            self.stream_origins,
            self.freshness,
            store_keys,
            self.peers,
        )
        self.store_era.add_listener(self.stream_versions.record_new_era)
        self.told_origins = told_origins.ToldOrigins(self)
        self.latest_wanted: dict[str, interfaces.WantedVersion] = {}
        self.leaving = False
        self.serving_since = clock.now()
        self.grace_period = grace_period.GracePeriod()
        self.store_reached_at = -math.inf
        self.store_failed_at = -math.inf
        self.refresh_due = False
        self.first_start = False
        self.software_due_at = -math.inf
        self._software_listener: Callable[[], None] = _ignore
        self.cached_prompts: list[heartbeat.CachedPrompt] = []
        self.unresponsive_upstreams: list[str] = []
        self.cache_reports: list[heartbeat.CacheReport] = []
        self.departures: list[heartbeat.Departure] = []
        self.departure_counts: collections.Counter[str] = collections.Counter()
        self.weights: list[heartbeat.UpstreamWeights] = []
        self.order_lease = heartbeat.OrderLeaseStatus(False, -1.0, [])
        self.order_holder_stated_at = -math.inf
        self._store_changes = store_changes.StoreChanges(self, codec, max_version_age_seconds)
        self._rates = rates or organisation_rates.OrganisationRates(RATE_WINDOW_SECONDS)
        self._followed = False
        self._reachable_fraction = 1.0
        self._retries = service_retry_budgets.ServiceRetryBudgets(retries)
        self._peer_messages = peer_messages.PeerMessages(self)
        self._log = logs.Logger("state")

    @property
    def failure_domain(self) -> str:
        """This VM's failure domain."""
        return self.vm_info.failure_domain

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force, 0 before the first."""
        return self.deployment.version if self.deployment else 0

    @property
    def ready(self) -> bool:
        """Whether this VM accepts new callers."""
        upstreams_listed = self.mirrors[self.store_keys.upstreams].last_change_revision.number > 0
        if self.deployment is None or not upstreams_listed or self.leaving:
            return False
        return not self.software_versions.awaits_record or clock.now() >= self.software_due_at

    def leave(self, now: float, seconds: float) -> None:
        """Stop accepting new callers; requests still open after `seconds` will be aborted."""
        self.leaving = True
        self.grace_period = grace_period.GracePeriod(now, now + seconds)

    def may_send(self, tries: retry.RetryState) -> bool:
        """Return whether a request may be sent before this VM ends, the first time or again."""
        return self.grace_period.may_send(tries.retry_safety, tries.deadline)

    def store_age(self, now: float) -> float:
        """Return the seconds since the store last answered; -1 if it never has."""
        return -1.0 if math.isinf(self.store_reached_at) else round(now - self.store_reached_at, 3)

    @property
    def sharing_vms(self) -> int:
        """Number of VMs, this one included, that share what upstreams allow the fleet."""
        if self.peers.is_serving:
            return len(self.peers.serving)
        return len(self.peers.by_name) + 1

    @property
    def retry_sharing_vms(self) -> int:
        """Number of VMs that share the retry budgets, also those that this VM doesn't reach.

        A VM that is silent may use its share until its entry in the store has ended.
        """
        if not self.peers.is_serving:
            return self.sharing_vms
        return round(self.sharing_vms / self._reachable_fraction)

    def max_connections(self, service: deployment.Service) -> int:
        """Return the most connections that this VM may open to one upstream of a service."""
        connections = service.max_connections * CONNECTION_SHARE / self.sharing_vms
        return max(MIN_CONNECTIONS, int(connections))

    def admit(
        self, organisation: deployment.Organisation, prompt: request_types.Prompt | None, now: float
    ) -> fleet_window.RateExceeded | None:
        """Admit a request and return None, or return why its organisation's rate refuses it."""
        return self._rates.admit(organisation, prompt, now)

    def give_back(
        self,
        organisation: deployment.Organisation,
        prompt: request_types.Prompt | None,
        admitted_at: float,
        now: float,
    ) -> None:
        """Give the cost of an admitted request back that has not run and never will."""
        self._rates.give_back(organisation, prompt, admitted_at, now)

    def retries(self, service: str) -> retry_budget.RetryBudget:
        """Return the retry budget of a service."""
        return self._retries.get(service, self.retry_sharing_vms)

    def mark_unresponsive(self, upstream: registry.Upstream, reason: str) -> None:
        """Suspect an upstream that did not answer, and queue this for the next heartbeat."""
        now = clock.now()
        if upstream.is_suspect(now):
            return
        upstream.mark_suspect(now)
        self.unresponsive_upstreams.append(upstream.name)
        self._log.info(
            "upstream suspected",
            upstream=upstream.name,
            why=reason,
            seconds=round(upstream.suspected_until - now, 2),
            active_ago=seconds_since(now, upstream.last_activity_at),
        )

    def mark_endless(self, upstream: registry.Upstream, reason: str) -> None:
        """Avoid an upstream whose answer had no end that could be held, and tell the other VMs."""
        now = clock.now()
        is_known = now < upstream.endless_until
        upstream.record_endless(now)
        if is_known:
            return
        self.unresponsive_upstreams.append(upstream.name)
        self._log.info(
            "upstream sends without end",
            upstream=upstream.name,
            why=reason,
            seconds=round(upstream.endless_until - now, 2),
        )

    def take_unresponsive(self) -> list[str]:
        """Return the suspected upstreams to name in the next heartbeat.

        Those of a suspected service wait until it is settled, and are forgotten if this VM is cut
        off.
        """
        suspected, self.unresponsive_upstreams = self.unresponsive_upstreams, []
        told = []
        for name in suspected:
            upstream = self.registry.get(name)
            if upstream is None:
                continue
            if not self.reachability.may_be_cut_off(upstream.entry.service):
                told.append(name)
            elif self.reachability.takes_connections(upstream.entry.service):
                self.unresponsive_upstreams.append(name)
        return told

    def observe_head(
        self, upstream: registry.Upstream, head: interfaces.ResponseHead, sent_at: float
    ) -> None:
        """Record what the head of a response says about sending its upstream more.

        The response may be that of another instance at the same address, which then leaves.

        Parameters
        ----------
        sent_at
            Time at which the request or call was sent.
        """
        self.backoffs.record(upstream, head)
        sender = self.registry.get(head.upstream) if head.upstream else upstream
        if sender is not None:
            self.request_limits.record(sender, head, sent_at, clock.now())
            self.rejection_limits.record(sender, head, sent_at, clock.now())
        if head.leaving and sender is not None:
            self.record_answered_departure(sender)

    def record_answered_departure(self, upstream: registry.Upstream) -> None:
        """Record that an answer of an upstream says that it leaves, for the other VMs too."""
        departure = heartbeat.Departure(upstream.name, upstream.entry.life)
        if self.record_departure(departure, "answer", clock.now()):
            self.departures.append(departure)
            self.departure_counts["answered"] += 1

    def record_departure(self, departure: heartbeat.Departure, source: str, now: float) -> bool:
        """Place no more requests at an upstream that leaves; return whether this is new.

        Parameters
        ----------
        source
            Name of the VM that reported it, or ``"answer"``.
        """
        if not self.registry.record_departure(departure.upstream, departure.life, now):
            return False
        self._log.info(
            "upstream announced that it leaves",
            upstream=departure.upstream,
            life=departure.life,
            source=source,
        )
        return True

    def announced_departures(self) -> list[heartbeat.Departure]:
        """Return the upstreams of the registry that announced that they leave."""
        return [
            heartbeat.Departure(entry.name, entry.life)
            for entry in self.registry.announced_departures()
        ]

    def remove_replaced(self, upstream: registry.Upstream, by: str) -> None:
        """Remove an upstream at whose address another one answers."""
        self._log.info("upstream replaced", upstream=upstream.name, by=by)
        self.remove_upstream(upstream.name)

    def record_version_mismatch(
        self, upstream: registry.Upstream, prompt: request_types.Prompt | None, version: int
    ) -> None:
        """Correct the weights version of an upstream that serves an unexpected one.

        Parameters
        ----------
        version
            Version that the upstream serves. If it is 0 (unknown), the latest wanted version is
            recorded, if there is one.
        """
        if prompt is None:
            return
        wanted = self.latest_wanted.get(prompt.model)
        recorded = upstream.version(prompt.model)
        shown = version or (wanted.version if wanted else recorded)
        upstream.versions[prompt.model] = shown
        self.prefix_caches.remove_holder(upstream.name)
        self._log.info(
            "unexpected weights version", upstream=upstream.name, recorded=recorded, version=shown
        )

    def record_cached_prompt(
        self, selected: selection.Selection, prompt: request_types.Prompt | None
    ) -> None:
        """Record that an upstream caches a prompt, and queue this for the next heartbeat."""
        if prompt is None or not prompt.parts:
            return
        cached = heartbeat.CachedPrompt(
            selected.upstream.name, selected.salt, list(prompt.parts), selected.save_to
        )
        self.caches.touch(cached)
        self.cached_prompts.append(cached)

    def continuation(
        self, request: request_types.Request, service: str, arrived_at: float | None = None
    ) -> stream_origins.Continuation:
        """Return at which upstreams of a service a caller's stream may begin or go on.

        Parameters
        ----------
        arrived_at
            Time at which the request arrived, now if None.
        """
        return self.stream_versions.continuation(request, service, arrived_at)

    def set_software_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` when upstreams appear whose software version is not in the record."""
        self._software_listener = listener

    def observe_software(self, now: float) -> None:
        """Record the software versions of the registered upstreams."""
        self.software_versions.observe(list(self.registry.upstreams.values()), now)
        if not math.isinf(self.software_versions.unrecorded_since):
            self._software_listener()

    def withheld_software(self, service: str, now: float) -> frozenset[str]:
        """Return the software versions at which no resumable stream of a service begins yet."""
        return self.stream_versions.withheld(service, now)

    def may_begin_streams(self, now: float) -> bool:
        """Return whether streams that may be resumed begin at this VM.

        One that is cut off from the store and from most VMs does not see which versions have gone,
        and nobody learns of it where its streams began.
        """
        age = self.stream_versions.age(now)
        return age <= software_versions.MAX_BEGIN_AGE_SECONDS or self.peers.reaches_most(now)

    def take_stream_origins(self, now: float) -> list[heartbeat.StreamOrigins]:
        """Return the streams to report to the other VMs in the next heartbeat."""
        unreported = self.stream_versions.take_origins(self._is_store_away_for_any(now), now)
        return told_origins.to_messages(unreported)

    def _is_store_away_for_any(self, now: float) -> bool:
        """Return whether the store does not answer this VM or another one."""
        if self.store_failed_at > self.store_reached_at:
            return True
        return not all(peer.store_reached for peer in self.peers.alive(now))

    def apply_store_changes(self, prefix: str, changed: set[str], now: float) -> None:
        """Apply the keys that changed under a prefix of the store."""
        self._store_changes.apply(prefix, changed, now)

    def configure(self, current: deployment.Deployment, now: float) -> None:
        """Apply a configuration."""
        self.deployment = current
        self.selector.configure(current)
        self.caches.configure(current)
        self._rates.configure(current.organisations.values(), now)

    def receive(self, message: heartbeat.Heartbeat, now: float) -> None:
        """Process a heartbeat of another VM."""
        self._peer_messages.receive(message, now)

    def receive_status(
        self, sender: str, message: heartbeat.FleetStatus, asked_at: float, now: float
    ) -> None:
        """Process the status that a serving VM sent to this VM, which had asked at `asked_at`."""
        self._peer_messages.receive_status(sender, message, asked_at, now)

    def record_peer_usage(
        self, spent: heartbeat.OrganisationUsage, incarnation: str, now: float
    ) -> None:
        """Record what another VM admitted for an organisation."""
        current = self.deployment
        organisation = current.organisations.get(spent.organisation) if current else None
        if organisation is None:
            return
        report = fleet_window.PeerReport(
            spent.total, spent.recent, spent.fleet_usage, spent.returned
        )
        self._rates.record_peer(organisation, incarnation, report, now)

    def apply_weights(self, weights: heartbeat.UpstreamWeights, now: float) -> None:
        """Apply the state of an upstream's weights as sent by the holder of the order lease."""
        upstream = self.registry.get(weights.upstream)
        if upstream is None:
            return
        upstream.loading_until = (
            now + WEIGHTS_LOAD_TIMEOUT_SECONDS if weights.loading else -math.inf
        )
        if weights.version and upstream.record_version(weights.model, weights.version):
            self.prefix_caches.remove_holder(weights.upstream)
            self._log.info(
                "weights changed",
                upstream=weights.upstream,
                model=weights.model,
                version=weights.version,
            )

    def remove_upstream(self, name: str) -> None:
        """Remove an upstream from the registry and the prefix caches."""
        self.registry.remove(name)
        self.prefix_caches.remove_holder(name)

    def tick(self, now: float) -> None:
        """Update what depends on the other VMs; remove silent VMs and missing upstreams."""
        self.update_peers(now)
        self.crashes.tick(now)
        self.observe_software(now)
        self._reachable_fraction = self.peers.reachable_fraction(now)
        self._rates.set_reachable_fraction(self._reachable_fraction)
        self._retries.resize(self.retry_sharing_vms)
        self.registry.forget_departures(now)
        self.registry.request_limits.forget(now)
        self.registry.rejection_limits.forget(now)
        for name in self.peers.remove_silent(now):
            self._log.info("silent VM removed", vm=name)
        self._store_changes.tick(now)
        self._remove_missing_upstreams(now)

    def entries_may_have_expired(self, now: float) -> bool:
        """Return whether entries of upstreams may have expired as the store was away."""
        self._observe_store(now)
        return self._store_outages.is_recent(now)

    def _observe_store(self, now: float) -> bool:
        """Record which VMs the store does not answer; return whether it is away, for this VM too.

        A VM without heartbeats of others knows that the store answers them by its copies, which
        the others keep recent.
        """
        is_unanswered = self.store_failed_at > self.store_reached_at
        others = self.peers.alive(now)
        if not others and self.freshness.age(now) < ANSWERED_BY_STORE_SECONDS:
            return False
        unanswered = is_unanswered + sum(not peer.store_reached for peer in others)
        return self._store_outages.observe(unanswered, 1 + len(others), now) and is_unanswered

    def _remove_missing_upstreams(self, now: float) -> None:
        is_away = self._observe_store(now)
        for upstream in list(self.registry.upstreams.values()):
            if upstream.missing_since is None:
                continue
            if is_away:
                upstream.missing_since = now
                continue
            due_at = max(
                upstream.missing_since + MISSING_UPSTREAM_TTL_SECONDS,
                self.store_era.risen_at + RESTORED_UPSTREAM_TTL_SECONDS,
            )
            if now <= due_at:
                continue
            self._log.info("upstream removed", upstream=upstream.name, why="entry stayed missing")
            self.remove_upstream(upstream.name)

    def organisation_usage(self, now: float) -> list[heartbeat.OrganisationUsage]:
        """Return what this VM reports about the organisations' usage."""
        return [
            heartbeat.OrganisationUsage(
                name, report.total, report.recent, report.fleet_usage, report.returned
            )
            for name, report in self._rates.reports(now)
        ]

    def wanted_version_ages(self, now: float) -> list[heartbeat.WantedVersionAge]:
        """Return since when versions of weights are wanted, as far as it is known exactly."""
        return [
            heartbeat.WantedVersionAge(model, wanted.version, now - wanted.since)
            for model, wanted in self.wanted_versions.all_versions()
            if not wanted.estimated
        ]

    def mirror_revisions(self) -> list[heartbeat.PrefixRevision]:
        """Return the revisions of the newest changes in the copies of the store's prefixes."""
        latest = {prefix: held.last_change_revision for prefix, held in self.mirrors.items()}
        return [
            heartbeat.PrefixRevision(prefix, revision.number, revision.era)
            for prefix, revision in latest.items()
        ]

    def fleet_status(self, now: float) -> heartbeat.FleetStatus:
        """Return the status to send to a VM that follows."""
        serving_vms, unavailable = self.peers.status()
        revisions = [
            dataclasses.replace(revision, age_seconds=self.age_to_report(revision.prefix, now))
            for revision in self.mirror_revisions()
        ]
        return heartbeat.FleetStatus(
            self.peers.is_serving,
            serving_vms,
            unavailable,
            revisions,
            self.wanted_version_ages(now),
            self.crashes.blamed_parts(),
            self.request_limits.all(now),
            self._reaching_vms(now),
            self.rejection_limits.all(now),
            wants_origins=self._is_store_away_for_any(now),
        )

    def answer_status(self, request: heartbeat.StatusRequest, now: float) -> heartbeat.FleetStatus:
        """Process a VM's request for the status; return the status to send to it."""
        status = self.fleet_status(now)
        if not status.serving:
            return status
        return dataclasses.replace(status, stream_origins=self.told_origins.answer(request, now))

    def _reaching_vms(self, now: float) -> list[str]:
        """Return the VMs for forwarded requests to name to VMs that follow, perhaps this one."""
        others = self.peers.reaching_vms(now)
        reaches = self.ready and self.peers.is_serving and not self.reachability.is_any_suspected
        return [self.vm_info.name, *others] if reaches else others

    def behind_vms(self, now: float) -> frozenset[str]:
        """Return the serving VMs whose copies are too old, while others have recent ones."""
        bound = freshness.USE_SHARE * self.freshness.rules.bound_seconds
        return self.peers.behind_vms(self.freshness.age(now), bound, now)

    def copies_age_to_report(self, now: float) -> float:
        """Return the age of the copies that decide about requests; -1 if it is not known."""
        return freshness.stated(self.freshness.age(now))

    def age_to_report(self, prefix: str, now: float) -> float:
        """Return the age of the copy of a prefix; -1 if it is not known."""
        return freshness.stated(self.freshness.age_of(prefix, now))

    def update_peers(self, now: float) -> None:
        """Select the serving VMs anew."""
        has_requests = self.leaving or self.requests.is_busy(now) or self.crashes.has_recent(now)
        served = self.peers.is_serving
        self.peers.update(self.leaving, has_requests, self.requests.sent_rate(now), now)
        if self.peers.is_serving != served:
            self.serving_since = now
            self._log.info(
                "selected to serve" if self.peers.is_serving else "no longer selected to serve",
                serving=len(self.peers.serving),
                vms=len(self.peers.by_name) + 1,
            )
        if not self.peers.is_exchanging:
            if not self._followed:
                self._rates.clear_others()
            self._followed = True
        elif self._followed:
            self._followed = False
            self._rates.forget_others(now)


def seconds_since(now: float, at: float) -> float:
    """Return the seconds from `at` to `now`, rounded to milliseconds; -1 if `at` is infinite."""
    return -1.0 if math.isinf(at) else round(now - at, 3)


def _ignore() -> None:
    pass
