"""Rate limits of all organisations at one VM."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

from hollyring.configuration import deployment
from hollyring.core import request_types
from hollyring.limits import fleet_window


class OrganisationRates:
    """One `fleet_window.FleetWindow` per organisation, created on first use.

    Organisations with a rate of 0 have no window and are not limited.

    Parameters
    ----------
    window_seconds
        Length of the window that the limits hold for.
    unknown_until
        Time until which admissions that the fleet made before this VM's start may still be within
        the window; -inf if the whole fleet starts for the first time.

    Examples
    --------
    >>> shop = deployment.Organisation("kigoma", ("k",), 1.0, 1.0, False, 0, False, None)
    >>> rates = OrganisationRates(window_seconds=1.0)
    >>> rates.admit(shop, None, now=0.0), rates.admit(shop, None, now=0.0)
    (None, None)
    >>> rates.admit(shop, None, now=0.0).allowed
    2.0
    """

    __slots__ = ("_window_seconds", "_unknown_until", "_windows", "_reachable_fraction")

    def __init__(self, window_seconds: float, unknown_until: float = -math.inf) -> None:
        self._window_seconds = window_seconds
        self._unknown_until = unknown_until
        self._reachable_fraction = 1.0
        self._windows: dict[str, fleet_window.FleetWindow] = {}

    def admit(
        self,
        organisation: deployment.Organisation,
        prompt: request_types.Prompt | None,
        now: float,
    ) -> fleet_window.RateExceeded | None:
        """Admit a request and return None, or return why it is refused."""
        if organisation.rate <= 0:
            return None
        return self._window(organisation, now).admit(organisation.cost(prompt), now)

    def give_back(
        self,
        organisation: deployment.Organisation,
        prompt: request_types.Prompt | None,
        admitted_at: float,
        now: float,
    ) -> None:
        """Give the cost of a request back that was admitted at `admitted_at` and never runs."""
        if organisation.rate > 0:
            cost = organisation.cost(prompt)
            self._window(organisation, now).give_back(cost, admitted_at, now)

    def record_peer(
        self,
        organisation: deployment.Organisation,
        incarnation: str,
        report: fleet_window.PeerReport,
        now: float,
    ) -> None:
        """Record the report of `incarnation` of another VM."""
        if organisation.rate > 0:
            self._window(organisation, now).record_peer(incarnation, report, now)

    def set_reachable_fraction(self, fraction: float) -> None:
        """Set the fraction of the fleet whose reports are received."""
        self._reachable_fraction = fraction
        for window in self._windows.values():
            window.set_reachable_fraction(fraction)

    def forget_others(self, now: float) -> None:
        """Forget what other VMs admitted, because their reports were not received for a while."""
        self._unknown_until = now + self._window_seconds
        for window in self._windows.values():
            window.forget_others(self._unknown_until)

    def clear_others(self) -> None:
        """Leave out what other VMs admitted, because this VM may use only a share of its own."""
        for window in self._windows.values():
            window.clear_others()

    def configure(self, organisations: Iterable[deployment.Organisation], now: float) -> None:
        """Apply the rates and bursts of a new configuration to the existing windows."""
        for organisation in organisations:
            if organisation.name in self._windows:
                self._window(organisation, now)

    def reports(self, now: float) -> Iterator[tuple[str, fleet_window.PeerReport]]:
        """Yield the names of organisations and what this VM reports about them."""
        for name, window in self._windows.items():
            report = window.report(now)
            if report.total:
                yield name, report

    def _window(
        self, organisation: deployment.Organisation, now: float
    ) -> fleet_window.FleetWindow:
        limit = fleet_window.Limit(organisation.rate, organisation.burst)
        window = self._windows.get(organisation.name)
        if window is None:
            unknown_until = self._unknown_until if now < self._unknown_until else -math.inf
            window = fleet_window.FleetWindow(limit, self._window_seconds, unknown_until)
            window.set_reachable_fraction(self._reachable_fraction)
            self._windows[organisation.name] = window
        window.set_limit(limit, now)
        return window
