"""Software versions at which streams begin and go on, by what this VM knows of them."""

from __future__ import annotations

from hollyring.configuration import freshness
from hollyring.core import request_types
from hollyring.delivery import stream_origins
from hollyring.membership import peer_table
from hollyring.node import clock, interfaces
from hollyring.routing import registry, software_versions

REPORT_AGE_SECONDS = 1.0
"""Age of what is known of versions above which this VM reports where all its streams began."""


class StreamVersions:
    """Decides where streams begin and go on.

    Parameters
    ----------
    upstreams
        Upstreams that are registered.
    versions
        Their software versions, and those that they had until recently.
    origins
        Versions at which recent streams began.
    copies
        Ages of the copies of the store from which the versions are known.
    store_keys
        Keys and prefixes in the store.
    peers
        The other VMs.
    """

    __slots__ = ("_upstreams", "_versions", "_origins", "_copies", "_prefixes", "_peers")

    def __init__(
        self,
        upstreams: registry.Registry,
        versions: software_versions.SoftwareVersions,
        origins: stream_origins.StreamOrigins,
        copies: freshness.Freshness,
        store_keys: interfaces.StoreKeys,
        peers: peer_table.PeerTable,
    ) -> None:
        self._upstreams = upstreams
        self._versions = versions
        self._origins = origins
        self._copies = copies
        self._prefixes = (store_keys.upstreams, store_keys.vms)
        self._peers = peers

    def record_new_era(self) -> None:
        """Record that the store has returned from an older copy."""
        now = clock.now()
        self._versions.mark_incomplete(self.age(now), now)

    def age(self, now: float) -> float:
        """Return the seconds since which upstreams or the record of versions may have changed."""
        return max(self._copies.age_of(prefix, now) for prefix in self._prefixes)

    def continuation(
        self, request: request_types.Request, service: str, taken_up_at: float | None = None
    ) -> stream_origins.Continuation:
        """Return at which upstreams of a service a caller's stream may begin or go on.

        Parameters
        ----------
        taken_up_at
            Time at which the request arrived, now if None.
        """
        if not request.resume_after:
            return stream_origins.AnySoftware()
        now = clock.now()
        self._versions.observe(self._upstreams.of_service(service), now)
        age = self.age(now)
        is_recent = self.is_recent(now, now if taken_up_at is None else taken_up_at)
        recent = self._versions.recent(service, age, now) if is_recent else None
        found = self._origins.continuation(request.resumed_request_id, service, recent, now)
        if recent is None and isinstance(found, stream_origins.NotResumable):
            return stream_origins.NotResumable(f"{found.reason} (as of {age:.3f} s ago)")
        return found

    def is_recent(self, now: float, taken_up_at: float) -> bool:
        """Return whether what this VM knows of the versions is recent enough to conclude by.

        A VM of an earlier build begins streams at a version as soon as it knows it. Beside one,
        only what was so after the stream had begun shows where it did not begin.

        Parameters
        ----------
        taken_up_at
            Time at which a caller took up the stream.
        """
        if not self._peers.all_settle_versions:
            return self.age(taken_up_at) <= 0.0
        return self.age(now) <= software_versions.MAX_KNOWLEDGE_AGE_SECONDS

    def needs_recent(self, request: request_types.Request, now: float, taken_up_at: float) -> bool:
        """Return whether a stream can be taken up only by recent knowledge that this VM lacks."""
        if not request.resume_after or self._origins.knows(request.resumed_request_id, now):
            return False
        return not self.is_recent(now, taken_up_at)

    def needs_origin(self, request: request_types.Request, now: float, taken_up_at: float) -> bool:
        """Return whether where a stream began decides where it goes on, and is not known here."""
        if not request.resume_after or self._origins.knows(request.resumed_request_id, now):
            return False
        return not self.is_recent(now, taken_up_at) or bool(self._versions.mixed_services)

    def take_origins(
        self, is_store_away: bool, now: float
    ) -> dict[stream_origins.Origin, list[str]]:
        """Return the streams that began at this VM to report to the other VMs.

        Parameters
        ----------
        is_store_away
            Whether the store does not answer this or another VM, which cannot show then that a
            service has one version only.
        """
        services = self._versions.mixed_services
        is_known = self._versions.is_complete(now) and self.age(now) <= REPORT_AGE_SECONDS
        if is_store_away or not is_known:
            services = self._versions.services
        return self._origins.take_unreported(services, now)

    def services_to_tell(self, is_wanted: bool, now: float) -> set[str]:
        """Return the services of which a VM that follows tells where streams began.

        Parameters
        ----------
        is_wanted
            Whether that is all services, not only those with several versions.
        """
        if is_wanted or not self._versions.is_complete(now):
            return self._versions.services
        return self._versions.mixed_services

    def withheld(self, service: str, now: float) -> frozenset[str]:
        """Return the software versions at which no resumable stream of a service begins yet."""
        upstreams = self._upstreams.of_service(service)
        serving = {upstream.entry.software for upstream in upstreams if not upstream.leaving}
        if not serving <= self._versions.of_service(service):
            self._versions.observe(upstreams, now)
        return self._versions.withheld(service, serving, now)
