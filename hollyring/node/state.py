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
from hollyring.node import clock, interfaces, logs, stored_news
from hollyring.routing import prefix_caches, registry, selection, wanted_versions

LAPSE_SECONDS = 1.8
"""An upstream whose entry went while the store was in trouble counts as gone after so long."""

HEARD_SECONDS = 0.4
"""Another VM's doubt does not count against an upstream that was heard so recently."""

UNREACHABLE_SECONDS = 1.5
"""A cache store that did not answer is not used for so long."""

LOAD_SECONDS = 8.0
"""Longest time for which an upstream counts as taking new weights."""

Hurry = Callable[[], None]
"""Has the other VMs told this one's news at once."""

LONG_SECONDS = 2.5
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
        self.place_of_vm = place
        self.prefixes = prefixes
        self.deployment: deployment.Deployment | None = None
        self.serving = registry.Registry()
        self.holdings = prefix_caches.PrefixCaches()
        self.versions = wanted_versions.WantedVersions(version_seconds)
        self.placing = selection.Selector(self.serving, self.holdings, self.versions)
        self.peers = heartbeat.Peers(place)
        self.mirrors = {
            prefix: mirror.Mirror()
            for prefix in (prefixes.operator, prefixes.upstreams, prefixes.vms)
        }
        self.wanted: dict[str, interfaces.WantedVersion] = {}
        self.leaving = False
        self.long_until = math.inf
        self.ends_at = math.inf
        self.store_heard_at = -math.inf
        self.store_failed_at = -math.inf
        self.readings: list[heartbeat.CachedPrompt] = []
        self.doubts: list[str] = []
        self.caches: list[heartbeat.CacheReport] = []
        self.weights: list[heartbeat.UpstreamWeights] = []
        self.orders = heartbeat.OrderLeaseStatus(False, -1.0, [])
        self._stored = stored_news.StoredNews(self, documents, version_seconds)
        self._rates = organisation_rates.OrganisationRates()
        self._retries = service_retry_budgets.ServiceRetryBudgets(retries)
        self._peer_upstreams: dict[str, set[str]] = collections.defaultdict(set)
        self._log = logs.Logger("belief")

    @property
    def domain(self) -> str:
        """This VM's failure domain."""
        return self.place_of_vm.failure_domain

    @property
    def version(self) -> int:
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
        self.long_until = now + LONG_SECONDS
        self.ends_at = now + seconds

    def may_take(self, deadline: float, now: float) -> bool:
        """Tell whether a request that may last until `deadline` can be finished here."""
        return now < self.long_until or deadline <= self.ends_at

    def store_age(self, now: float) -> float:
        """Return how long ago the store was heard, in seconds; -1 for never."""
        return -1.0 if math.isinf(self.store_heard_at) else round(now - self.store_heard_at, 3)

    def fleet(self, now: float) -> int:
        """Return the number of VMs that are alive, this one included."""
        return len(self.peers.alive(now)) + 1

    def connections(self, service: deployment.Service) -> int:
        """Return how many connections this VM may hold to one upstream of a service."""
        share = service.max_connections * CONNECTION_SHARE / self.fleet(clock.now())
        return max(MIN_CONNECTIONS, int(share))

    def admit(
        self, organisation: deployment.Organisation, prompt: request_types.Prompt | None, now: float
    ) -> float:
        """Admit a request, or return the seconds after which it may come back."""
        return self._rates.admit(organisation, prompt, 1.0 / self.fleet(now), now)

    def retries(self, service: str) -> retry_budget.RetryBudget:
        """Return the budget of what may be sent to a service again."""
        return self._retries.get(service, self.fleet(clock.now()))

    def doubt(self, upstream: registry.Upstream, why: str) -> None:
        """Avoid an upstream that did not answer, and tell the other VMs."""
        now = clock.now()
        if upstream.is_suspect(now):
            return
        upstream.mark_suspect(now)
        self.doubts.append(upstream.name)
        self._log.info(
            "upstream in doubt",
            upstream=upstream.name,
            why=why,
            seconds=round(upstream.suspected_until - now, 2),
            heard_ago=ago(now, upstream.last_activity_at),
        )

    def replaced(self, upstream: registry.Upstream, by: str) -> None:
        """Take in that another upstream answers at an upstream's address."""
        self._log.info("upstream replaced", upstream=upstream.name, by=by)
        self.drop_upstream(upstream.name)

    def other_weights(
        self, upstream: registry.Upstream, prompt: request_types.Prompt | None, version: int
    ) -> None:
        """Take in that an upstream's weights are not those that were expected."""
        if prompt is None:
            return
        wanted = self.wanted.get(prompt.model)
        believed = upstream.version(prompt.model)
        shown = version or (wanted.version if wanted else believed)
        upstream.versions[prompt.model] = shown
        self.holdings.remove_holder(upstream.name)
        self._log.info("other weights", upstream=upstream.name, believed=believed, version=shown)

    def read(self, place: selection.Selection, prompt: request_types.Prompt | None) -> None:
        """Take in that an upstream has read a prompt, and tell the other VMs."""
        if prompt is None or not prompt.parts:
            return
        reading = heartbeat.CachedPrompt(
            place.upstream.name, place.salt, list(prompt.parts), place.save_to
        )
        self._count_reading(reading)
        self.readings.append(reading)

    def mirror_changed(self, prefix: str, changed: set[str], now: float) -> None:
        """Take in the keys that changed under a prefix of the store."""
        self._stored.take(prefix, changed, now)

    def configure(self, read: deployment.Deployment, now: float) -> None:
        """Put a configuration in force."""
        self.deployment = read
        self.placing.configure(read)
        self._rates.configure(read.organisations.values(), 1.0 / self.fleet(now), now)

    def hear(self, news: heartbeat.Heartbeat, now: float) -> None:
        """Take in another VM's pulse."""
        peer = self.peers.receive(news, now)
        if peer is not None:
            self._log.info("VM heard", vm=news.vm.name, life=news.vm.life)
        name = news.vm.name
        loaded = set()
        for load in news.loads:
            upstream = self.serving.get(load.upstream)
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
            upstream = self.serving.get(gone)
            if upstream is not None:
                upstream.peers.pop(name, None)
        self._peer_upstreams[name] = loaded
        life = f"{name}#{news.vm.life}"
        for spent in news.usage:
            organisation = self._organisation(spent.organisation)
            if organisation is not None:
                self._rates.record_peer_total(
                    organisation, life, spent.total, 1.0 / self.fleet(now), now
                )
        for reading in news.cached_prompts:
            self._count_reading(reading)
        for named in news.wanted_versions:
            wanted = self.wanted.get(named.model)
            if wanted is not None and wanted.version >= named.version:
                self.versions.record(named.model, named.version, now - named.age_seconds)
        for cache in news.cache_reports:
            self.take_cache(cache, now)
        for weights in news.weights:
            self.take_weights(weights, now)
        if news.order_lease.held:
            self.placing.reserve(news.order_lease.reserved)
        for doubted in news.unresponsive_upstreams:
            upstream = self.serving.get(doubted)
            if upstream is not None and now - upstream.last_activity_at > HEARD_SECONDS:
                upstream.mark_suspect(now)

    def holders(self) -> dict[str, str]:
        """Return the addresses of all holders of prompts by the name they are counted under."""
        if self.deployment is None:
            return {}
        found = {store.address: store.address for store in self.deployment.cache_stores()}
        for service in self.deployment.services.values():
            if service.engine is None:
                continue
            for upstream in self.serving.of_service(service.name):
                found[upstream.name] = upstream.entry.address
        return found

    def take_cache(self, news: heartbeat.CacheReport, now: float) -> None:
        """Take in what a holder took up and dropped."""
        if not news.reachable:
            self.placing.suspend_store(news.holder, now + UNREACHABLE_SECONDS)
            return
        self.placing.suspend_store(news.holder, now)
        if news.reset:
            self.holdings.remove_holder(news.holder)
        capacity = self._cache_tokens(news.holder)
        for held in news.changes:
            self.holdings.set(news.holder, capacity, held.salt, held.part, held.tokens)

    def _cache_tokens(self, holder: str) -> int:
        if self.deployment is None:
            return 0
        for store in self.deployment.cache_stores():
            if store.address == holder:
                return store.cache_tokens
        upstream = self.serving.get(holder)
        service = self.deployment.services.get(upstream.entry.service) if upstream else None
        return service.engine.cache_tokens if service and service.engine else 0

    def take_weights(self, weights: heartbeat.UpstreamWeights, now: float) -> None:
        """Take in what the giver of orders knows of an upstream's weights."""
        upstream = self.serving.get(weights.upstream)
        if upstream is None:
            return
        upstream.loading_until = now + LOAD_SECONDS if weights.loading else -math.inf
        if weights.version and upstream.record_version(weights.model, weights.version):
            self.holdings.remove_holder(weights.upstream)
            self._log.info(
                "weights changed",
                upstream=weights.upstream,
                model=weights.model,
                version=weights.version,
            )

    def drop_upstream(self, name: str) -> None:
        """Forget an upstream that is gone."""
        self.serving.remove(name)
        self.holdings.remove_holder(name)

    def tick(self, now: float) -> None:
        """Drop what is gone by now."""
        part = self.peers.alive_fraction(now)
        self._rates.set_reachable_fraction(part, now)
        self._retries.resize(self.fleet(now))
        for name in self.peers.remove_silent(now):
            self._log.info("VM forgotten", vm=name)
        for upstream in list(self.serving.upstreams.values()):
            lapsed = upstream.missing_since
            if lapsed is None:
                continue
            reached = self.store_heard_at > self.store_failed_at
            if reached and now - max(lapsed, self.store_failed_at) > LAPSE_SECONDS:
                self._log.info("upstream gone", upstream=upstream.name, why="did not come back")
                self.drop_upstream(upstream.name)

    def _organisation(self, name: str) -> deployment.Organisation | None:
        return self.deployment.organisations.get(name) if self.deployment else None

    def spent(self) -> list[heartbeat.OrganisationUsage]:
        """Return what this VM admitted since its start, by organisation."""
        return [
            heartbeat.OrganisationUsage(name, total)
            for name, total in self._rates.admitted_totals()
        ]

    def _count_reading(self, reading: heartbeat.CachedPrompt) -> None:
        upstream = self.serving.get(reading.upstream)
        if upstream is None or self.deployment is None:
            return
        service = self.deployment.services.get(upstream.entry.service)
        if service is None or service.engine is None:
            return
        parts = reading.parts
        self.holdings.touch(upstream.name, service.engine.cache_tokens, reading.salt, parts)
        for store in self.deployment.cache_stores():
            if store.address == reading.store:
                self.holdings.touch(store.address, store.cache_tokens, reading.salt, parts)


def ago(now: float, at: float) -> float:
    """Return how long ago something was, in seconds to the millisecond; -1 for never."""
    return -1.0 if math.isinf(at) else round(now - at, 3)
