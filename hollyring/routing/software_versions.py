"""Software versions that the upstreams of each service have or had until recently."""

from __future__ import annotations

from hollyring.routing import registry


class SoftwareVersions:
    """Software versions by service, kept for a time after their last upstream has gone.

    Parameters
    ----------
    ttl_seconds
        Time for which a version without an upstream is kept.

    Examples
    --------
    >>> versions = SoftwareVersions(ttl_seconds=30.0)
    >>> entry = registry.Entry("i-1", "chat", "10.0.0.1:80", "a", 8, False, 1, {}, "v1")
    >>> versions.observe([registry.Upstream(entry)], now=0.0)
    >>> versions.of_service("chat"), versions.mixed_services
    ({'v1'}, set())
    """

    __slots__ = ("_ttl_seconds", "_seen_at")

    def __init__(self, ttl_seconds: float) -> None:
        self._ttl_seconds = ttl_seconds
        self._seen_at: dict[str, dict[str, float]] = {}

    @property
    def mixed_services(self) -> set[str]:
        """Services that have or recently had upstreams of several software versions."""
        return {service for service, seen_at in self._seen_at.items() if len(seen_at) > 1}

    def of_service(self, service: str) -> set[str]:
        """Return the software versions of a service."""
        return set(self._seen_at.get(service, ()))

    def observe(self, upstreams: list[registry.Upstream], now: float) -> None:
        """Record the registered upstreams; forget versions that had none for too long."""
        for upstream in upstreams:
            entry = upstream.entry
            self._seen_at.setdefault(entry.service, {})[entry.software] = now
        for seen_at in self._seen_at.values():
            for software in [
                software for software, at in seen_at.items() if now - at > self._ttl_seconds
            ]:
                del seen_at[software]
