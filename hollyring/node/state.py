"""What one VM believes, shared by the tasks of the process; only the event loop touches it.

Every belief has one writer: the store's mirrors come through `mirror_changed`, other VMs' news
through `hear`, what requests show through the methods that the relay calls.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable

from hollyring.configuration import deployment, mirror
from hollyring.core import request_types
from hollyring.limits import organisation_rates, retry_budget, service_retry_budgets
from hollyring.membership import heartbeat
from hollyring.node import clock, interfaces, logs, store_changes
from hollyring.routing import prefix_caches, registry, selection, wanted_versions

MISSING_UPSTREAM_TTL_SECONDS = 1.8
"""An upstream whose entry went while the store was in trouble counts as gone after so long."""

RECENT_ACTIVITY_SECONDS = 0.4
"""Another VM's doubt does not count against an upstream that was heard so recently."""

CACHE_STORE_SUSPENSION_SECONDS = 1.5
"""A cache store that did not answer is not used for so long."""

WEIGHTS_LOAD_TIMEOUT_SECONDS = 8.0
"""Longest time for which an upstream counts as taking new weights."""

SendHeartbeat = Callable[[], None]
"""Has the other VMs told this one's news at once."""

LEAVING_ACCEPT_SECONDS = 2.5
"""A leaving VM takes requests for so long that may outlast it: callers keep its address a while."""

CONNECTION_SHARE = 0.9
MIN_CONNECTIONS = 4


class State:
    """The beliefs of one VM.

    Parameters
    ----------
    place
        Where this VM is found.
    documents
        Decodes what lies in the store.
    prefixes
        Where it lies.
    retries
        Bounds on what is sent again.
    version_seconds
        Time after which older weights than those wanted are not used any more.
    """

    def __init__(
        self,
        place: heartbeat.VmInfo,
        documents: interfaces.StoreCodec,
        prefixes: interfaces.StoreKeys,
        retries: service_retry_budgets.RetryRules,
        version_seconds: float = math.inf,
    ) -> None:
        self.vm_info = place
        self.prefixes = prefixes
        self.deployment: deployment.Deployment | None = None
        self.registry = registry.Registry()
        self.prefix_caches = prefix_caches.PrefixCaches()
        self.wanted_versions = wanted_versions.WantedVersions(version_seconds)
        self.selector = selection.Selector(self.registry, self.prefix_caches, self.wanted_versions)
        self.peers = heartbeat.Peers(place)
        self.mirrors = {
            prefix: mirror.Mirror()
            for prefix in (prefixes.operator, prefixes.upstreams, prefixes.vms)
        }
        self.latest_wanted: dict[str, interfaces.WantedVersion] = {}
        self.leaving = False
        self.accept_all_until = math.inf
        self.shutdown_at = math.inf
        self.store_reached_at = -math.inf
        self.store_failed_at = -math.inf
        self.cached_prompts: list[heartbeat.CachedPrompt] = []
        self.unresponsive_upstreams: list[str] = []
        self.cache_reports: list[heartbeat.CacheReport] = []
        self.weights: list[heartbeat.UpstreamWeights] = []
        self.order_lease = heartbeat.OrderLeaseStatus(False, -1.0, [])
        self._stored = store_changes.StoreChanges(self, documents, version_seconds)
        self._rates = organisation_rates.OrganisationRates()
        self._retries = service_retry_budgets.ServiceRetryBudgets(retries)
        self._peer_upstreams: dict[str, set[str]] = collections.defaultdict(set)
        self._log = logs.Logger("belief")

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
        """Whether callers may be sent here."""
        known = self.mirrors[self.prefixes.upstreams].last_change_revision > 0
        return self.deployment is not None and known and not self.leaving

    def leave(self, now: float, seconds: float) -> None:
        """Have callers go elsewhere; what is still open after `seconds` will be cut."""
        self.leaving = True
        self.accept_all_until = now + LEAVING_ACCEPT_SECONDS
        self.shutdown_at = now + seconds

    def may_accept(self, deadline: float, now: float) -> bool:
        """Tell whether a request that may last until `deadline` can be finished here."""
        return now < self.accept_all_until or deadline <= self.shutdown_at

    def store_age(self, now: float) -> float:
        """Return how long ago the store was heard, in seconds; -1 for never."""
        return -1.0 if math.isinf(self.store_reached_at) else round(now - self.store_reached_at, 3)

    def vm_count(self, now: float) -> int:
        """Return the number of VMs that are alive, this one included."""
        return len(self.peers.alive(now)) + 1

    def max_connections(self, service: deployment.Service) -> int:
        """Return how many connections this VM may hold to one upstream of a service."""
        share = service.max_connections * CONNECTION_SHARE / self.vm_count(clock.now())
        return max(MIN_CONNECTIONS, int(share))

    def admit(
        self, organisation: deployment.Organisation, prompt: request_types.Prompt | None, now: float
    ) -> float:
        """Admit a request, or return the seconds after which it may come back."""
        return self._rates.admit(organisation, prompt, 1.0 / self.vm_count(now), now)

    def retries(self, service: str) -> retry_budget.RetryBudget:
        """Return the budget of what may be sent to a service again."""
        return self._retries.get(service, self.vm_count(clock.now()))

    def mark_unresponsive(self, upstream: registry.Upstream, why: str) -> None:
        """Avoid an upstream that did not answer, and tell the other VMs."""
        now = clock.now()
        if upstream.is_suspect(now):
            return
        upstream.mark_suspect(now)
        self.unresponsive_upstreams.append(upstream.name)
        self._log.info(
            "upstream in doubt",
            upstream=upstream.name,
            why=why,
            seconds=round(upstream.suspected_until - now, 2),
            heard_ago=seconds_since(now, upstream.last_activity_at),
        )

    def remove_replaced(self, upstream: registry.Upstream, by: str) -> None:
        """Take in that another upstream answers at an upstream's address."""
        self._log.info("upstream replaced", upstream=upstream.name, by=by)
        self.remove_upstream(upstream.name)

    def record_version_mismatch(
        self, upstream: registry.Upstream, prompt: request_types.Prompt | None, version: int
    ) -> None:
        """Take in that an upstream's weights are not those that were expected."""
        if prompt is None:
            return
        wanted = self.latest_wanted.get(prompt.model)
        believed = upstream.version(prompt.model)
        shown = version or (wanted.version if wanted else believed)
        upstream.versions[prompt.model] = shown
        self.prefix_caches.remove_holder(upstream.name)
        self._log.info("other weights", upstream=upstream.name, believed=believed, version=shown)

    def record_cached_prompt(
        self, place: selection.Selection, prompt: request_types.Prompt | None
    ) -> None:
        """Take in that an upstream has read a prompt, and tell the other VMs."""
        if prompt is None or not prompt.parts:
            return
        reading = heartbeat.CachedPrompt(
            place.upstream.name, place.salt, list(prompt.parts), place.save_to
        )
        self._count_reading(reading)
        self.cached_prompts.append(reading)

    def apply_store_changes(self, prefix: str, changed: set[str], now: float) -> None:
        """Take in the keys that changed under a prefix of the store."""
        self._stored.apply(prefix, changed, now)

    def configure(self, read: deployment.Deployment, now: float) -> None:
        """Put a configuration in force."""
        self.deployment = read
        self.selector.configure(read)
        self._rates.configure(read.organisations.values(), 1.0 / self.vm_count(now), now)

    def receive(self, news: heartbeat.Heartbeat, now: float) -> None:
        """Take in another VM's pulse."""
        peer = self.peers.receive(news, now)
        if peer is not None:
            self._log.info("VM heard", vm=news.vm.name, life=news.vm.life)
        name = news.vm.name
        loaded = set()
        for load in news.loads:
            upstream = self.registry.get(load.upstream)
            if upstream is not None:
                loaded.add(load.upstream)
                upstream.peers[name] = registry.PeerLoad(
                    load.requests,
                    load.long_answers,
                    load.unread_tokens,
                    load.prompt_tokens_per_second,
                    now,
                )
        for gone in self._peer_upstreams[name] - loaded:
            upstream = self.registry.get(gone)
            if upstream is not None:
                upstream.peers.pop(name, None)
        self._peer_upstreams[name] = loaded
        life = f"{name}#{news.vm.life}"
        for spent in news.usage:
            organisation = self._organisation(spent.organisation)
            if organisation is not None:
                self._rates.record_peer_total(
                    organisation, life, spent.total, 1.0 / self.vm_count(now), now
                )
        for reading in news.cached_prompts:
            self._count_reading(reading)
        for named in news.wanted_versions:
            wanted = self.latest_wanted.get(named.model)
            if wanted is not None and wanted.version >= named.version:
                self.wanted_versions.record(named.model, named.version, now - named.age_seconds)
        for cache in news.cache_reports:
            self.apply_cache_report(cache, now)
        for weights in news.weights:
            self.apply_weights(weights, now)
        if news.order_lease.held:
            self.selector.reserve(news.order_lease.reserved)
        for doubted in news.unresponsive_upstreams:
            upstream = self.registry.get(doubted)
            if upstream is not None and now - upstream.last_activity_at > RECENT_ACTIVITY_SECONDS:
                upstream.mark_suspect(now)

    def cache_holders(self) -> dict[str, str]:
        """Return the addresses of all holders of prompts by the name they are counted under."""
        if self.deployment is None:
            return {}
        found = {store.address: store.address for store in self.deployment.cache_stores()}
        for service in self.deployment.services.values():
            if service.engine is None:
                continue
            for upstream in self.registry.of_service(service.name):
                found[upstream.name] = upstream.entry.address
        return found

    def apply_cache_report(self, news: heartbeat.CacheReport, now: float) -> None:
        """Take in what a holder took up and dropped."""
        if not news.reachable:
            self.selector.suspend_store(news.holder, now + CACHE_STORE_SUSPENSION_SECONDS)
            return
        self.selector.suspend_store(news.holder, now)
        if news.reset:
            self.prefix_caches.remove_holder(news.holder)
        capacity = self._cache_tokens(news.holder)
        for held in news.changes:
            self.prefix_caches.set(news.holder, capacity, held.salt, held.part, held.tokens)

    def _cache_tokens(self, holder: str) -> int:
        if self.deployment is None:
            return 0
        for store in self.deployment.cache_stores():
            if store.address == holder:
                return store.cache_tokens
        upstream = self.registry.get(holder)
        service = self.deployment.services.get(upstream.entry.service) if upstream else None
        return service.engine.cache_tokens if service and service.engine else 0

    def apply_weights(self, weights: heartbeat.UpstreamWeights, now: float) -> None:
        """Take in what the giver of orders knows of an upstream's weights."""
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
        """Forget an upstream that is gone."""
        self.registry.remove(name)
        self.prefix_caches.remove_holder(name)

    def tick(self, now: float) -> None:
        """Drop what is gone by now."""
        part = self.peers.alive_fraction(now)
        self._rates.set_reachable_fraction(part, now)
        self._retries.resize(self.vm_count(now))
        for name in self.peers.remove_silent(now):
            self._log.info("VM forgotten", vm=name)
        for upstream in list(self.registry.upstreams.values()):
            lapsed = upstream.missing_since
            if lapsed is None:
                continue
            reached = self.store_reached_at > self.store_failed_at
            if reached and now - max(lapsed, self.store_failed_at) > MISSING_UPSTREAM_TTL_SECONDS:
                self._log.info("upstream gone", upstream=upstream.name, why="did not come back")
                self.remove_upstream(upstream.name)

    def _organisation(self, name: str) -> deployment.Organisation | None:
        return self.deployment.organisations.get(name) if self.deployment else None

    def organisation_usage(self) -> list[heartbeat.OrganisationUsage]:
        """Return what this VM admitted since its start, by organisation."""
        return [
            heartbeat.OrganisationUsage(name, total)
            for name, total in self._rates.admitted_totals()
        ]

    def _count_reading(self, reading: heartbeat.CachedPrompt) -> None:
        upstream = self.registry.get(reading.upstream)
        if upstream is None or self.deployment is None:
            return
        service = self.deployment.services.get(upstream.entry.service)
        if service is None or service.engine is None:
            return
        parts = reading.parts
        self.prefix_caches.touch(upstream.name, service.engine.cache_tokens, reading.salt, parts)
        for store in self.deployment.cache_stores():
            if store.address == reading.store:
                self.prefix_caches.touch(store.address, store.cache_tokens, reading.salt, parts)


def seconds_since(now: float, at: float) -> float:
    """Return how long ago something was, in seconds to the millisecond; -1 for never."""
    return -1.0 if math.isinf(at) else round(now - at, 3)
