"""Application of what is learned about prompt caches to this VM's estimates of their contents."""

from __future__ import annotations

from hollyring.configuration import deployment
from hollyring.membership import heartbeat
from hollyring.routing import prefix_caches, registry, selection

CACHE_STORE_SUSPENSION_SECONDS = 1.5
"""Time for which a cache store that did not answer is not used."""


class CacheUpdates:
    """Updates of the estimated cache contents.

    Parameters
    ----------
    upstreams
        Registry of all upstreams.
    caches
        Estimated contents of the prefix caches.
    selector
        Told which cache stores not to use.
    """

    def __init__(
        self,
        upstreams: registry.Registry,
        caches: prefix_caches.PrefixCaches,
        selector: selection.Selector,
    ) -> None:
        self._registry = upstreams
        self._caches = caches
        self._selector = selector
        self._deployment: deployment.Deployment | None = None

    def configure(self, current: deployment.Deployment) -> None:
        """Apply a configuration."""
        self._deployment = current

    def holders(self) -> dict[str, str]:
        """Return the addresses of all upstreams and stores that cache prompts, by holder name."""
        if self._deployment is None:
            return {}
        holders = {store.address: store.address for store in self._deployment.cache_stores()}
        for service in self._deployment.services.values():
            if service.engine is None:
                continue
            for upstream in self._registry.of_service(service.name):
                holders[upstream.name] = upstream.entry.address
        return holders

    def apply_report(self, report: heartbeat.CacheReport, now: float) -> None:
        """Apply changes to the contents of one prefix cache; suspend an unreachable cache store."""
        if not report.reachable:
            self._selector.suspend_store(report.holder, now + CACHE_STORE_SUSPENSION_SECONDS)
            return
        self._selector.suspend_store(report.holder, now)
        if report.reset:
            self._caches.remove_holder(report.holder)
        capacity = self._capacity(report.holder)
        for held in report.changes:
            self._caches.set(report.holder, capacity, held.salt, held.part, held.tokens)

    def contents(self, holder: str) -> heartbeat.CacheReport:
        """Return the known contents of one prefix cache as a report."""
        parts = [heartbeat.CachedPart(*part) for part in self._caches.contents(holder)]
        return heartbeat.CacheReport(holder, True, True, parts)

    def touch(self, cached: heartbeat.CachedPrompt) -> None:
        """Record that an upstream, and the store that it saved to, cache a prompt."""
        upstream = self._registry.get(cached.upstream)
        if upstream is None or self._deployment is None:
            return
        service = self._deployment.services.get(upstream.entry.service)
        if service is None or service.engine is None:
            return
        parts = cached.parts
        self._caches.touch(upstream.name, service.engine.cache_tokens, cached.salt, parts)
        for store in self._deployment.cache_stores():
            if store.address == cached.store:
                self._caches.touch(store.address, store.cache_tokens, cached.salt, parts)

    def _capacity(self, holder: str) -> int:
        """Return the tokens that a holder can cache, 0 if it is not known."""
        if self._deployment is None:
            return 0
        for store in self._deployment.cache_stores():
            if store.address == holder:
                return store.cache_tokens
        upstream = self._registry.get(holder)
        service = self._deployment.services.get(upstream.entry.service) if upstream else None
        return service.engine.cache_tokens if service and service.engine else 0
