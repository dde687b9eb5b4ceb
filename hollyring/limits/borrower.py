"""One VM's waiting requests of one organisation, and the tokens it has borrowed for them."""

from __future__ import annotations

import collections
import dataclasses

from hollyring.limits import holders, settings


@dataclasses.dataclass(slots=True)
class Loan:
    """Tokens that a holder has debited for this VM.

    Parameters
    ----------
    holder
        The VM that debited them, perhaps this one.
    given
        Tokens of the whole loan.
    left
        Tokens that are neither spent nor returned.
    expires
        Time in seconds, by this VM's clock, from which they may not be spent.
    returned
        Tokens that went back so far.
    """

    holder: str
    organisation: str
    ask: int
    given: int
    left: int
    expires: float
    returned: int = 0


@dataclasses.dataclass(slots=True)
class Part:
    """What one request has spent of one loan."""

    loan: Loan
    tokens: int


@dataclasses.dataclass(slots=True)
class Waiting:
    """A request that waits for tokens until `deadline`, in seconds."""

    request_id: str
    tokens: int
    deadline: float


@dataclasses.dataclass(slots=True)
class Asked:
    """An ask that is in flight."""

    holder: str
    tokens: int
    sent: float


@dataclasses.dataclass(slots=True)
class _Known:
    left: int
    at: float
    blocked_until: float = 0.0


class Borrower:
    """Requests, borrowed tokens and what is known of the holders of one organisation."""

    __slots__ = (
        "organisation",
        "waiting",
        "loans",
        "asked",
        "used_at",
        "_available",
        "_wanted",
        "_yield",
        "_known",
    )

    def __init__(self, organisation: str) -> None:
        self.organisation = organisation
        self.waiting: collections.deque[Waiting] = collections.deque()
        self.loans: collections.deque[Loan] = collections.deque()
        self.asked: dict[int, Asked] = {}
        self.used_at = 0.0
        self._available = 0
        self._wanted = 0
        self._yield = 1.0
        self._known: dict[str, _Known] = {}

    @property
    def available(self) -> int:
        """Borrowed tokens that are not spent."""
        return self._available

    @property
    def wanted(self) -> int:
        """Tokens of all waiting requests."""
        return self._wanted

    def expected(self, now: float) -> int:
        """Return the tokens in asks that may still be answered in time."""
        return sum(
            ask.tokens for ask in self.asked.values() if now - ask.sent < settings.ASK_TIMEOUT
        )

    def push(self, request: Waiting) -> None:
        """Add a request behind the others."""
        self.waiting.append(request)
        self._wanted += request.tokens

    def pop(self) -> Waiting:
        """Remove and return the first waiting request."""
        request = self.waiting.popleft()
        self._wanted -= request.tokens
        return request

    def drop(self, request_id: str) -> None:
        """Remove a request whose caller has gone."""
        kept = [request for request in self.waiting if request.request_id != request_id]
        self.waiting = collections.deque(kept)
        self._wanted = sum(request.tokens for request in kept)

    def add(self, loan: Loan) -> None:
        """Take in a new loan."""
        self.loans.append(loan)
        self._available += loan.left

    def take_loans(self) -> list[Loan]:
        """Remove and return all loans."""
        loans = list(self.loans)
        self.loans.clear()
        self._available = 0
        return loans

    def spend(self, tokens: int) -> list[Part]:
        """Take `tokens` from the loans, those that expire first before the others."""
        parts = []
        while tokens:
            loan = self.loans[0]
            taken = min(tokens, loan.left)
            loan.left -= taken
            self._available -= taken
            tokens -= taken
            parts.append(Part(loan, taken))
            if not loan.left:
                self.loans.popleft()
        return parts

    def expire(self, now: float) -> list[Loan]:
        """Remove and return the loans that may not be spent any more."""
        expired = [loan for loan in self.loans if loan.expires <= now]
        if expired:
            self.loans = collections.deque(loan for loan in self.loans if loan.expires > now)
            self._available -= sum(loan.left for loan in expired)
        return expired

    def time_out(self, now: float) -> None:
        """Pass over holders that did not answer and forget asks too old to be of use."""
        for number, ask in list(self.asked.items()):
            age = now - ask.sent
            if age >= settings.ASK_TIMEOUT:
                known = self._known.setdefault(ask.holder, _Known(0, ask.sent))
                known.blocked_until = max(known.blocked_until, ask.sent + settings.BACKOFF_SECONDS)
            if age >= settings.LOAN_SECONDS:
                del self.asked[number]

    def heard(self, ask: Asked, given: int, left: int, now: float) -> None:
        """Note a holder's answer.

        Holders that give less than expected are being asked by others too: expect a smaller
        part of what accrues at them, so that VMs do not ask in vain all the time.
        """
        first = ask.holder not in self._known
        self._known[ask.holder] = _Known(left, now)
        if given < ask.tokens and first:
            return
        if given < ask.tokens:
            self._yield = max(settings.LEAST_YIELD, self._yield / 2)
        else:
            self._yield = min(1.0, self._yield + settings.YIELD_STEP)

    def is_asked(self, holder: str) -> bool:
        """Tell whether an ask to `holder` is in flight."""
        return any(ask.holder == holder for ask in self.asked.values())

    def estimate(self, holder: str, portion: holders.Portion, now: float) -> int:
        """Return the tokens that this VM may expect of `holder` beyond what it has asked for."""
        return self._estimate(holder, portion, now, self._yield)

    def most(self, holder: str, portion: holders.Portion, now: float) -> int:
        """Return the tokens that `holder` can have at most beyond what it has been asked for."""
        return self._estimate(holder, portion, now, 1.0)

    def _estimate(self, holder: str, portion: holders.Portion, now: float, part: float) -> int:
        known = self._known.get(holder)
        if known is None:
            left = portion.burst
        elif now < known.blocked_until:
            left = 0
        else:
            age = now - known.at
            contended = min(age, settings.CONTENDED_SECONDS)
            accrued = (age - contended * (1 - part)) * portion.rate
            left = min(portion.burst, int(known.left + accrued))
        asked = sum(ask.tokens for ask in self.asked.values() if ask.holder == holder)
        return max(0, left - asked)
