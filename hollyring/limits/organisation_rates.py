"""Rate limits of all organisations at one VM."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from hollyring.configuration import deployment
from hollyring.core import request_types
from hollyring.limits import replicated_bucket


class OrganisationRates:
    """One `replicated_bucket.ReplicatedBucket` per organisation, created on first use.

    Organisations with a rate of 0 have no bucket and are not limited.

    Examples
    --------
    >>> shop = deployment.Organisation("kigoma", ("k",), 1.0, 1.0, False, 0, False, None)
    >>> rates = OrganisationRates()
    >>> rates.admit(shop, None, fleet_fraction=1.0, now=0.0)
    0.0
    >>> rates.admit(shop, None, fleet_fraction=1.0, now=0.0) > 0
    True
    """

    __slots__ = ("_buckets",)

    def __init__(self) -> None:
        self._buckets: dict[str, replicated_bucket.ReplicatedBucket] = {}

    def admit(
        self,
        organisation: deployment.Organisation,
        prompt: request_types.Prompt | None,
        fleet_fraction: float,
        now: float,
    ) -> float:
        """Admit a request and return 0, or return the seconds after which to retry.

        Parameters
        ----------
        fleet_fraction
            1 / number of VMs; a new bucket starts with this fraction of the burst.
        """
        if organisation.rate <= 0:
            return 0.0
        return self._bucket(organisation, fleet_fraction, now).admit(organisation.cost(prompt), now)

    def record_peer_total(
        self,
        organisation: deployment.Organisation,
        incarnation: str,
        total: float,
        fleet_fraction: float,
        now: float,
    ) -> None:
        """Record the total cost that `incarnation` of another VM has admitted since its start."""
        if organisation.rate > 0:
            self._bucket(organisation, fleet_fraction, now).record_peer_total(
                incarnation, total, now
            )

    def set_reachable_fraction(self, fraction: float, now: float) -> None:
        """Set the fraction of the fleet whose totals are received."""
        for bucket in self._buckets.values():
            bucket.set_reachable_fraction(fraction, now)

    def configure(
        self, organisations: Iterable[deployment.Organisation], fleet_fraction: float, now: float
    ) -> None:
        """Apply the rates and bursts of a new configuration to the existing buckets."""
        for organisation in organisations:
            if organisation.name in self._buckets:
                self._bucket(organisation, fleet_fraction, now)

    def admitted_totals(self) -> Iterator[tuple[str, float]]:
        """Yield names of organisations and the total cost that this VM admitted since its start."""
        for name, bucket in self._buckets.items():
            if bucket.admitted_total:
                yield name, bucket.admitted_total

    def _bucket(
        self, organisation: deployment.Organisation, fleet_fraction: float, now: float
    ) -> replicated_bucket.ReplicatedBucket:
        limit = replicated_bucket.Limit(organisation.rate, organisation.burst)
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = self._buckets[organisation.name] = replicated_bucket.ReplicatedBucket(
                limit, fleet_fraction, now
            )
        bucket.set_limit(limit, now)
        return bucket
