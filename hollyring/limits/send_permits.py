"""Permits to send requests to an upstream that limits what it gets from the whole fleet.

It takes only so many requests a second, or it fails if it has to reject too many for want of room
(`upstream_places`), or both.

One VM issues the permits of an upstream; the others ask it before each request. The load that this
answers: an upstream in need takes two or three requests a second, a small part of what dozens of
VMs would send, so that neither equal shares nor counts that arrive late keep to it and use it.

An issuer begins without any permits, so that one that starts or takes over adds nothing to what its
predecessor issued, and saves up few.
"""

from __future__ import annotations

import dataclasses

from hollyring.core import identities
from hollyring.limits import upstream_places

BURST_SECONDS = 0.25
"""Time of the rate that is saved up beyond one permit while nobody asks."""

MAX_URGENT_DEBT = 2.0
"""Permits that urgent calls, as orders to load weights, may take in advance."""

MAX_ORDER_SECONDS = 1.0
"""Longest time over which the VMs that were denied are told to return one after the other."""

UNUSED_SECONDS = 60.0
"""Time after which an upstream that nobody asks for is forgotten."""


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Answer to a VM that asks to send a request.

    Parameters
    ----------
    granted
        Whether the request may be sent.
    retry_after
        Seconds after which to ask again if not.
    doubtful
        Whether the upstream may reject the request for want of room.
    """

    granted: bool
    retry_after: float = 0.0
    doubtful: bool = False


GRANTED = Permit(True)


@dataclasses.dataclass(slots=True)
class _Account:
    permits: float
    updated_at: float
    denied: float = 0.0


class PermitIssuer:
    """Permits of the upstreams that this VM issues for, by incarnation.

    Examples
    --------
    >>> issuer = PermitIssuer()
    >>> upstream = identities.Incarnation("i-1", 1)
    >>> issuer.issue(upstream, 2.0, now=0.0)
    Permit(granted=False, retry_after=0.5, doubtful=False)
    >>> issuer.issue(upstream, 2.0, now=0.5).granted
    True
    """

    __slots__ = ("_accounts", "_places")

    def __init__(self) -> None:
        self._accounts: dict[identities.Incarnation, _Account] = {}
        self._places: dict[identities.Incarnation, upstream_places.Places] = {}

    def issue(
        self, upstream: identities.Incarnation, per_second: float, now: float, urgent: bool = False
    ) -> Permit:
        """Grant or deny a permit to send one request.

        Parameters
        ----------
        per_second
            Permits per second to issue, above 0.
        urgent
            Whether the permit may be taken in advance, at the cost of later requests.
        """
        account = self._account(upstream, per_second, now)
        least = 1.0 - MAX_URGENT_DEBT if urgent else 1.0
        if account.permits >= least:
            account.permits -= 1.0
            account.denied = max(0.0, account.denied - 1.0)
            return GRANTED
        seconds = (least - account.permits + account.denied) / per_second
        account.denied = min(account.denied + 1.0, per_second * MAX_ORDER_SECONDS)
        return Permit(False, seconds)

    def take_place(
        self,
        upstream: identities.Incarnation,
        place: str,
        room: upstream_places.Room,
        seconds: float,
        now: float,
    ) -> Permit:
        """Grant or deny a place for one request of at most `seconds`."""
        places = self._places.get(upstream)
        if places is None:
            places = self._places[upstream] = upstream_places.Places(room, now)
        match places.take(place, room, seconds, now):
            case upstream_places.PlaceGranted(doubtful):
                return Permit(True, doubtful=doubtful)
            case upstream_places.PlaceDenied(retry_after):
                return Permit(False, retry_after)

    def interrupt(self, upstream: identities.Incarnation) -> None:
        """Record that another VM issues the permits of an upstream now."""
        places = self._places.get(upstream)
        if places is not None:
            places.interrupt()

    def end_place(
        self,
        upstream: identities.Incarnation,
        place: str,
        outcome: upstream_places.Outcome,
        now: float,
    ) -> None:
        """Record what became of the request that took a place."""
        places = self._places.get(upstream)
        if places is not None:
            places.end(place, outcome, now)

    def forget(self, now: float) -> None:
        """Forget the upstreams that nobody has asked for lately."""
        for upstream, places in list(self._places.items()):
            if now - places.updated_at > UNUSED_SECONDS:
                del self._places[upstream]
        for upstream, account in list(self._accounts.items()):
            if now - account.updated_at > UNUSED_SECONDS:
                del self._accounts[upstream]

    def _account(self, upstream: identities.Incarnation, per_second: float, now: float) -> _Account:
        account = self._accounts.get(upstream)
        if account is None:
            account = self._accounts[upstream] = _Account(0.0, now)
        most = 1.0 + per_second * BURST_SECONDS
        accrued = max(0.0, now - account.updated_at) * per_second
        account.permits = min(most, account.permits + accrued)
        account.updated_at = max(account.updated_at, now)
        return account
