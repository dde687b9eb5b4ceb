"""Permits to send requests to an upstream that takes only so many a second from the whole fleet.

One VM issues the permits of an upstream; the others ask it before each request. The load that this
answers: an upstream in need takes two or three requests a second, a small part of what dozens of
VMs would send, so that neither equal shares nor counts that arrive late keep to it and use it.

An issuer begins without any permits, so that one that starts or takes over adds nothing to what its
predecessor issued, and saves up few.
"""

from __future__ import annotations

import dataclasses

from hollyring.core import identities

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
    """

    granted: bool
    retry_after: float = 0.0


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
    >>> issuer.issue(upstream, 2.0, now=0.0), issuer.issue(upstream, 2.0, now=0.5)
    (Permit(granted=False, retry_after=0.5), Permit(granted=True, retry_after=0.0))
    """

    __slots__ = ("_accounts",)

    def __init__(self) -> None:
        self._accounts: dict[identities.Incarnation, _Account] = {}

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

    def forget(self, now: float) -> None:
        """Forget the upstreams that nobody has asked for lately."""
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
