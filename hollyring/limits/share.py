"""One holder's share of an organisation's limit: a token bucket that lends tokens to VMs.

At any time the sum of the level, the loans that may still be spent and the refunds that may still
be credited is at most the share's burst. Therefore the tokens admitted from the share in any
window, less those returned unused, are at most burst + rate x time.
"""

from __future__ import annotations

import dataclasses

from hollyring.limits import holders, settings

LoanKey = tuple[str, int, int]
"""Name and incarnation number of the borrowing VM, and its identifier of the loan."""


@dataclasses.dataclass(slots=True)
class _Loan:
    """A loan from this share; `tokens` are those that were not returned."""

    tokens: int
    expires_at: float
    returned: int = 0


class Share:
    """Token bucket that is empty until `start`, refills from then on, and lends its tokens.

    Parameters
    ----------
    quota
        The share's rate and burst.
    start
        Time in seconds before which no tokens accrue.

    Examples
    --------
    >>> share = Share(holders.Quota(100.0, 500), start=0.0)
    >>> share.lend(("vm-2", 1, 1), 80, now=1.0)
    80
    >>> share.return_tokens(("vm-2", 1, 1), 80, now=1.1)
    >>> share.lendable(1.1) >= 100
    True
    """

    __slots__ = (
        "_quota",
        "_level",
        "_updated_at",
        "_loans",
        "_closed_loans",
        "_lent",
        "_refundable",
    )

    def __init__(self, quota: holders.Quota, start: float) -> None:
        self._quota = quota
        self._level = 0.0
        self._updated_at = start
        self._loans: dict[LoanKey, _Loan] = {}
        self._closed_loans: dict[LoanKey, _Loan] = {}
        self._lent = 0
        self._refundable = 0

    @property
    def quota(self) -> holders.Quota:
        """The share's rate and burst."""
        return self._quota

    @property
    def outstanding(self) -> int:
        """Lent tokens that may still be spent."""
        return self._lent

    @property
    def committed(self) -> float:
        """Sum of level, loans and possible refunds; at most the burst unless that was reduced."""
        return self._level + self._lent + self._refundable

    def lendable(self, now: float) -> int:
        """Return the number of whole tokens that can be lent now."""
        self._advance(now)
        return int(self._level)

    def resize(self, quota: holders.Quota, now: float) -> None:
        """Set a new rate and burst; tokens in excess of the new burst are dropped."""
        self._advance(now)
        self._quota = quota
        self._refill(self._updated_at)

    def lend(self, key: LoanKey, tokens: int, now: float) -> int:
        """Debit up to `tokens` for the loan `key` and return the number debited.

        A repeated call for an open loan debits nothing and returns the same number; for a closed
        loan it returns 0.
        """
        self._advance(now)
        existing = self._loans.get(key)
        if existing is not None:
            return existing.tokens + existing.returned
        if key in self._closed_loans or len(self._loans) >= settings.MAX_LOANS:
            return 0
        granted = max(0, min(tokens, int(self._level)))
        if granted == 0:
            return 0
        self._level -= granted
        self._lent += granted
        self._loans[key] = _Loan(granted, now + settings.HOLD_SECONDS)
        return granted

    def return_tokens(
        self, key: LoanKey, returned_total: int, now: float, spent: bool = False
    ) -> None:
        """Credit a loan's unused tokens; `returned_total` is cumulative, so repeats credit once.

        If `spent` is set, the loan is closed early, so that its tokens no longer reduce the room
        for the refill.
        """
        self._advance(now)
        lent = key in self._loans
        loan = self._loans.get(key) or self._closed_loans.get(key)
        if loan is None:
            return
        credit = max(0, min(returned_total - loan.returned, loan.tokens))
        loan.returned += credit
        loan.tokens -= credit
        self._level += credit
        if lent:
            self._lent -= credit
        else:
            self._refundable -= credit
        if lent and spent:
            self._close(key)
        self._refill(self._updated_at)

    def _advance(self, now: float) -> None:
        """Refill the bucket up to `now`, closing loans as they expire."""
        while self._loans:
            key = next(iter(self._loans))
            loan = self._loans[key]
            if loan.expires_at > now:
                break
            self._refill(loan.expires_at)
            self._close(key)
        self._refill(now)

    def _close(self, key: LoanKey) -> None:
        """Keep a loan only for refunds, as it may not be spent any more."""
        loan = self._loans.pop(key)
        self._lent -= loan.tokens
        self._refundable += loan.tokens
        self._closed_loans[key] = loan

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at) * (1 - settings.MAX_CLOCK_DRIFT)
        self._updated_at = max(self._updated_at, now)
        room = max(0.0, self._quota.burst - self._lent)
        self._level = min(room, self._level + elapsed * self._quota.rate)
        self._evict_refunds(room - self._level)

    def _evict_refunds(self, room: float) -> None:
        """Give up the refunds of the oldest closed loans until the others fit within the burst.

        Refunds of more than `MAX_REFUNDABLE_LOANS` closed loans are given up as well.
        """
        while self._closed_loans and (
            self._refundable > room or len(self._closed_loans) > settings.MAX_REFUNDABLE_LOANS
        ):
            key = next(iter(self._closed_loans))
            self._refundable -= self._closed_loans.pop(key).tokens
