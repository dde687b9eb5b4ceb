"""Software versions that the upstreams of each service have or had until recently.

A VM that starts does not see what has left before. The VMs keep a record of these versions outside
of their processes, from which it learns them.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping

from hollyring.routing import registry


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Software versions by service that outlive the VMs.

    Parameters
    ----------
    era
        Era of the store in which the record was written.
    versions
        Software versions that upstreams of each service have or had until recently.
    """

    era: int
    versions: Mapping[str, frozenset[str]]


def listed(record: Record) -> dict[str, list[str]]:
    """Return the versions of a record in a fixed order."""
    return {service: sorted(names) for service, names in sorted(record.versions.items())}


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

    __slots__ = ("_ttl_seconds", "_seen_at", "_complete_at", "_recorded")

    def __init__(self, ttl_seconds: float) -> None:
        self._ttl_seconds = ttl_seconds
        self._seen_at: dict[str, dict[str, float]] = {}
        self._complete_at = -math.inf
        self._recorded: Mapping[str, frozenset[str]] = {}

    @property
    def mixed_services(self) -> set[str]:
        """Services that have or recently had upstreams of several software versions."""
        return {service for service, seen_at in self._seen_at.items() if len(seen_at) > 1}

    @property
    def awaits_record(self) -> bool:
        """Whether the record of earlier versions is expected and has not arrived yet."""
        return math.isinf(self._complete_at) and self._complete_at > 0.0

    def of_service(self, service: str) -> set[str]:
        """Return the software versions of a service."""
        return set(self._seen_at.get(service, ()))

    def is_complete(self, now: float) -> bool:
        """Return whether no version that is not known here can have had an upstream recently."""
        return now >= self._complete_at

    def record(self, era: int) -> Record:
        """Return the record of these versions, to be written in an era of the store."""
        versions = {service: frozenset(seen) for service, seen in self._seen_at.items() if seen}
        return Record(era, versions)

    def await_record(self) -> None:
        """Expect `restore`; until then the versions are incomplete."""
        self._complete_at = math.inf

    def restore(self, record: Record | None, complete: bool, now: float) -> None:
        """Add what a record names and its predecessor did not, as having had upstreams until now.

        Parameters
        ----------
        record
            Current record, None if there is none that can be read.
        complete
            Whether the record names all recent versions. If the first one does not, these versions
            are complete once any other has had no upstream for long enough.
        """
        before, self._recorded = self._recorded, record.versions if record else {}
        for service, recorded in self._recorded.items():
            added = recorded - before.get(service, frozenset())
            self._seen_at.setdefault(service, {}).update(dict.fromkeys(added, now))
        if self.awaits_record:
            self._complete_at = now if complete else now + self._ttl_seconds

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
