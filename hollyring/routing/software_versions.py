"""Software versions that the upstreams of each service have or had until recently.

A VM that starts does not see what has left before. The VMs keep a record of these versions outside
of their processes, from which it learns them. No stream that may be continued begins at a version
that is not in the record yet.

A VM that is out of step does not see what came meanwhile. Where a service has several versions, no
such stream begins at one before it has been known for `SETTLE_SECONDS`; so no stream began at a
version that is missing in knowledge which was complete less than `MAX_KNOWLEDGE_AGE_SECONDS` ago.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection, Mapping

from hollyring.routing import registry

MAX_UNRECORDED_SECONDS = 1.0
"""Time after which a version that is not recorded is used where no other one serves.

By then the store does not take the record, and a service that serves is worth more.
"""


SETTLE_SECONDS = 0.8
"""Time for which a version is known before streams begin at it, unless it is the only one.

Not longer than `MAX_UNRECORDED_SECONDS`.
"""

MAX_WITHHELD_SECONDS = MAX_UNRECORDED_SECONDS + SETTLE_SECONDS
"""Longest time for which all versions of a service are withheld after the first was seen."""

MAX_KNOWLEDGE_AGE_SECONDS = 0.7
"""Age of what a VM knows of versions up to which it concludes that there is no other.

It is shorter than `SETTLE_SECONDS`, as the clocks of VMs run at slightly different rates.
"""

MAX_BEGIN_AGE_SECONDS = 15.0
"""Age of what a VM that is cut off knows of versions up to which it begins streams at them.

Others forget a version 30 s after its last entry has gone. So a stream that began there is not
taken for one of another version within 15 s, longer than callers of such streams wait.
"""

REGISTRATION_SECONDS = 2.2
"""Time within which upstreams register again after the store has returned from an older copy."""


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

    __slots__ = (
        "_ttl_seconds",
        "_seen_at",
        "_complete_at",
        "_recorded",
        "_unrecorded_since",
        "_settled_at",
    )

    def __init__(self, ttl_seconds: float) -> None:
        self._ttl_seconds = ttl_seconds
        self._seen_at: dict[str, dict[str, float]] = {}
        self._complete_at = -math.inf
        self._recorded: Mapping[str, frozenset[str]] | None = None
        self._unrecorded_since: dict[tuple[str, str], float] = {}
        self._settled_at: dict[tuple[str, str], float] = {}

    @property
    def unrecorded_since(self) -> float:
        """Time since which a version has not been in the record, infinity if all are."""
        return min(self._unrecorded_since.values(), default=math.inf)

    @property
    def mixed_services(self) -> set[str]:
        """Services that have or recently had upstreams of several software versions."""
        return {service for service, seen_at in self._seen_at.items() if len(seen_at) > 1}

    @property
    def awaits_record(self) -> bool:
        """Whether the record of earlier versions is expected and has not arrived yet."""
        return math.isinf(self._complete_at) and self._complete_at > 0.0

    @property
    def services(self) -> set[str]:
        """Services that have or recently had upstreams."""
        return {service for service, seen_at in self._seen_at.items() if seen_at}

    def recent(self, service: str, age: float, now: float) -> set[str] | None:
        """Return all versions at which recent streams of a service can have begun.

        Parameters
        ----------
        age
            Seconds since which changes of the versions and of their record may be missing here.

        Returns
        -------
        set[str] | None
            None if there may be others than those known.
        """
        if age > MAX_KNOWLEDGE_AGE_SECONDS or not self.is_complete(now):
            return None
        return self.of_service(service)

    def of_service(self, service: str) -> set[str]:
        """Return the software versions of a service."""
        return set(self._seen_at.get(service, ()))

    def withheld(self, service: str, serving: Collection[str], now: float) -> frozenset[str]:
        """Return the versions at which no stream that may be continued can begin yet.

        Where a version that is in the record and settled serves, all others wait until they are
        so as well, however long; where none does, they wait until they are settled, or for
        `MAX_UNRECORDED_SECONDS`. No version waits for the record while there is none, or one of
        which a VM that starts would not take it that it names all versions.

        Parameters
        ----------
        service
            Name of the service.
        serving
            Software versions of its upstreams that may be selected.
        now
            Monotonic seconds.
        """
        settled = {
            software
            for software in serving
            if self._settled_at.get((service, software), math.inf) <= now
        }
        if settled:
            return frozenset(serving) - settled
        since = self._unrecorded_since
        return frozenset(
            software
            for software in serving
            if now - since.get((service, software), now) < MAX_UNRECORDED_SECONDS
        )

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

    def mark_incomplete(self, age: float, now: float) -> None:
        """Count these versions as incomplete, as the store has returned from an older copy.

        It may lack what registered just before, until that has registered again, and more if this
        VM had not followed it for a while.

        Parameters
        ----------
        age
            Seconds since which changes may be missing here.
        """
        if self.awaits_record:
            return
        is_recent = age <= MAX_KNOWLEDGE_AGE_SECONDS
        seconds = REGISTRATION_SECONDS if is_recent else self._ttl_seconds
        self._complete_at = max(self._complete_at, now + seconds)

    def restore(self, record: Record | None, complete: bool, now: float) -> None:
        """Add what a record names and its predecessor did not, as having had upstreams until now.

        Parameters
        ----------
        record
            Current record, None if there is none that can be read.
        complete
            Whether the record names all recent versions. If the first one does not, these versions
            are complete once a later one does, or any other has had no upstream for long enough.
        """
        before = self._recorded or {}
        self._recorded = record.versions if record is not None else None
        for service, recorded in (self._recorded or {}).items():
            added = recorded - before.get(service, frozenset())
            self._seen_at.setdefault(service, {}).update(dict.fromkeys(added, now))
        if self.awaits_record:
            self._settled_at = {}
            self._complete_at = now if complete else now + self._ttl_seconds
        elif complete and record is not None:
            self._complete_at = min(self._complete_at, now)
        self._update_unrecorded(now)
        self._update_settled(now)

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
        self._update_unrecorded(now)
        self._update_settled(now)

    def _update_unrecorded(self, now: float) -> None:
        """Note which versions are not in the record, and since when."""
        recorded = self._recorded or {}
        self._unrecorded_since = {
            (service, software): self._unrecorded_since.get((service, software), now)
            for service, seen_at in self._seen_at.items()
            for software in seen_at
            if software not in recorded.get(service, ())
        }

    def _update_settled(self, now: float) -> None:
        """Note since when streams begin at each version, or from when on.

        All VMs whose knowledge is recent have the only version of a service in it, if any; but
        while others may be missing here, the only one that is known may have just joined.
        """
        is_complete = self.is_complete(now)
        needs_record = self._recorded is not None and is_complete
        settled_at = self._settled_at
        self._settled_at = {}
        for service, seen_at in self._seen_at.items():
            is_only = is_complete and len(seen_at) == 1
            due_at = now + (0.0 if is_only else SETTLE_SECONDS)
            for software in seen_at:
                key = (service, software)
                if needs_record and key in self._unrecorded_since:
                    continue
                self._settled_at[key] = settled_at.get(key, due_at)
