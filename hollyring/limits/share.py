"""One holder's share of one organisation: a token bucket that counts what it has lent.

At every instant the level, the loans that may still be spent and the refunds that may still
be taken add up to no more than the share's burst. So over any window what is admitted from
the share, less what was returned unused, is at most burst + rate x time.
"""

from __future__ import annotations

import dataclasses

from hollyring.limits import holders, settings

LoanKey = tuple[str, int, int]


@dataclasses.dataclass(slots=True)
class _Loan:
    tokens: int
    expires: float
    returned: int = 0


class Share:
    """A bucket that starts empty and fills from `start` on.

    Parameters
    ----------
    portion
        The share's rate and burst.
    start
        Time in seconds before which nothing accrues.

    Examples
    --------
    >>> share = Share(holders.Portion(100.0, 500), start=0.0)
    >>> share.lend(("vm-2", 1, 1), 80, now=1.0)
    80
    >>> share.give_back(("vm-2", 1, 1), 80, now=1.1)
    >>> share.left(1.1) >= 100
    True
    """

    __slots__ = ("_portion", "_level", "_at", "_loans", "_refunds", "_lent", "_refundable")

    def __init__(self, portion: holders.Portion, start: float) -> None:
        self._portion = portion
        self._level = 0.0
        self._at = start
        self._loans: dict[LoanKey, _Loan] = {}
        self._refunds: dict[LoanKey, _Loan] = {}
        self._lent = 0
        self._refundable = 0

    @property
    def portion(self) -> holders.Portion:
        """The share's rate and burst."""
        return self._portion

    @property
    def outstanding(self) -> int:
        """Tokens lent that may still be spent."""
        return self._lent

    @property
    def promised(self) -> float:
        """Level, loans and refunds together; never above the burst while it is unchanged."""
        return self._level + self._lent + self._refundable

    def left(self, now: float) -> int:
        """Return the whole tokens that can be lent now."""
        self._advance(now)
        return int(self._level)

    def resize(self, portion: holders.Portion, now: float) -> None:
        """Take over a new rate and burst; what is above the new burst is dropped."""
        self._advance(now)
        self._portion = portion
        self._fill(self._at)

    def lend(self, key: LoanKey, tokens: int, now: float) -> int:
        """Debit up to `tokens` for the loan `key` and return how many; repeats debit once."""
        self._advance(now)
        known = self._loans.get(key)
        if known is not None:
            return known.tokens + known.returned
        if key in self._refunds or len(self._loans) >= settings.MAX_LOANS:
            return 0
        given = max(0, min(tokens, int(self._level)))
        if given == 0:
            return 0
        self._level -= given
        self._lent += given
        self._loans[key] = _Loan(given, now + settings.HOLD_SECONDS)
        return given

    def give_back(self, key: LoanKey, total: int, now: float, spent: bool = False) -> None:
        """Credit a loan's unused tokens, of which `total` have come back so far in all.

        Of a loan that is `spent` nothing will be spent any more: it no longer holds up the
        refill.
        """
        self._advance(now)
        lent = key in self._loans
        loan = self._loans.get(key) or self._refunds.get(key)
        if loan is None:
            return
        credit = max(0, min(total - loan.returned, loan.tokens))
        loan.returned += credit
        loan.tokens -= credit
        self._level += credit
        if lent:
            self._lent -= credit
        else:
            self._refundable -= credit
        if lent and spent:
            self._close(key)
        self._fill(self._at)

    def _advance(self, now: float) -> None:
        while self._loans:
            key = next(iter(self._loans))
            loan = self._loans[key]
            if loan.expires > now:
                break
            self._fill(loan.expires)
            self._close(key)
        self._fill(now)

    def _close(self, key: LoanKey) -> None:
        """Keep a loan only for what may still come back of it."""
        loan = self._loans.pop(key)
        self._lent -= loan.tokens
        self._refundable += loan.tokens
        self._refunds[key] = loan

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._at) * (1 - settings.MAX_CLOCK_DRIFT)
        self._at = max(self._at, now)
        room = max(0.0, self._portion.burst - self._lent)
        self._level = min(room, self._level + elapsed * self._portion.rate)
        self._forfeit(room - self._level)

    def _forfeit(self, room: float) -> None:
        """Give up the oldest refunds that no longer fit under the burst."""
        while self._refunds and (
            self._refundable > room or len(self._refunds) > settings.MAX_REFUNDABLE
        ):
            key = next(iter(self._refunds))
            self._refundable -= self._refunds.pop(key).tokens
