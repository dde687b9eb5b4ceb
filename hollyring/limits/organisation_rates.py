"""The rates of all organisations as one VM applies them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from hollyring.configuration import deployment
from hollyring.core import request_types
from hollyring.limits import replicated_bucket


class OrganisationRates:
    """One `replicated_bucket.ReplicatedBucket` for each organisation that has a rate and was met.

    Examples
    --------
    >>> parish = deployment.Organisation("kigoma", ("k",), 1.0, 1.0, False, 0, False, None)
    >>> rates = OrganisationRates()
    >>> rates.admit(parish, None, part=1.0, now=0.0)
    0.0
    >>> rates.admit(parish, None, part=1.0, now=0.0) > 0
    True
    """

    __slots__ = ("_rates",)

    def __init__(self) -> None:
        self._rates: dict[str, replicated_bucket.ReplicatedBucket] = {}

    def admit(
        self,
        organisation: deployment.Organisation,
        prompt: request_types.Prompt | None,
        part: float,
        now: float,
    ) -> float:
        """Admit a request, or return the seconds after which it may come back.

        Parameters
        ----------
        part
            This VM's part of the fleet.
        """
        if organisation.rate <= 0:
            return 0.0
        return self._rate(organisation, part, now).admit(organisation.cost(prompt), now)

    def record_peer_total(
        self,
        organisation: deployment.Organisation,
        life: str,
        total: float,
        part: float,
        now: float,
    ) -> None:
        """Take in what another VM, in one of its lives, admitted since its start."""
        if organisation.rate > 0:
            self._rate(organisation, part, now).record_peer_total(life, total, now)

    def set_reachable_fraction(self, part: float, now: float) -> None:
        """Take in which part of the fleet is heard."""
        for rate in self._rates.values():
            rate.set_reachable_fraction(part, now)

    def configure(
        self, organisations: Iterable[deployment.Organisation], part: float, now: float
    ) -> None:
        """Apply the rates of a configuration that came into force."""
        for organisation in organisations:
            if organisation.name in self._rates:
                self._rate(organisation, part, now)

    def admitted_totals(self) -> Iterator[tuple[str, float]]:
        """Yield what this VM admitted since its start, by organisation."""
        for name, rate in self._rates.items():
            if rate.admitted_total:
                yield name, rate.admitted_total

    def _rate(
        self, organisation: deployment.Organisation, part: float, now: float
    ) -> replicated_bucket.ReplicatedBucket:
        limit = replicated_bucket.Limit(organisation.rate, organisation.burst)
        rate = self._rates.get(organisation.name)
        if rate is None:
            rate = self._rates[organisation.name] = replicated_bucket.ReplicatedBucket(
                limit, part, now
            )
        rate.set_limit(limit, now)
        return rate
