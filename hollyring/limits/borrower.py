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
    granted
        Tokens of the whole loan.
    remaining
        Tokens that are neither spent nor returned.
    expires_at
        Time in seconds, by this VM's clock, from which they may not be spent.
    returned
        Tokens that went back so far.
    """

    holder: str
    organisation: str
    loan_id: int
    granted: int
    remaining: int
    expires_at: float
    returned: int = 0


@dataclasses.dataclass(slots=True)
class Debit:
    """What one request has spent of one loan."""

    loan: Loan
    tokens: int


@dataclasses.dataclass(slots=True)
class WaitingRequest:
    """A request that waits for tokens until `deadline`, in seconds."""

    request_id: str
    tokens: int
    deadline: float


@dataclasses.dataclass(slots=True)
class BorrowRequest:
    """An ask that is in flight."""

    holder: str
    tokens: int
    sent_at: float


@dataclasses.dataclass(slots=True)
class _HolderState:
    left: int
    updated_at: float
    blocked_until: float = 0.0


class Borrower:
    """Requests, borrowed tokens and what is known of the holders of one organisation."""

    __slots__ = (
        "organisation",
        "waiting",
        "loans",
        "pending",
        "used_at",
        "_available",
        "_demand",
        "_expected_fraction",
        "_holder_states",
    )

    def __init__(self, organisation: str) -> None:
        self.organisation = organisation
        self.waiting: collections.deque[WaitingRequest] = collections.deque()
        self.loans: collections.deque[Loan] = collections.deque()
        self.pending: dict[int, BorrowRequest] = {}
        self.used_at = 0.0
        self._available = 0
        self._demand = 0
        self._expected_fraction = 1.0
        self._holder_states: dict[str, _HolderState] = {}

    @property
    def available(self) -> int:
        """Borrowed tokens that are not spent."""
        return self._available

    @property
    def demand(self) -> int:
        """Tokens of all waiting requests."""
        return self._demand

    def pending_tokens(self, now: float) -> int:
        """Return the tokens in asks that may still be answered in time."""
        return sum(
            request.tokens
            for request in self.pending.values()
            if now - request.sent_at < settings.BORROW_TIMEOUT_SECONDS
        )

    def push(self, request: WaitingRequest) -> None:
        """Add a request behind the others."""
        self.waiting.append(request)
        self._demand += request.tokens

    def pop(self) -> WaitingRequest:
        """Remove and return the first waiting request."""
        request = self.waiting.popleft()
        self._demand -= request.tokens
        return request

    def remove(self, request_id: str) -> None:
        """Remove a request whose caller has gone."""
        remaining = [request for request in self.waiting if request.request_id != request_id]
        self.waiting = collections.deque(remaining)
        self._demand = sum(request.tokens for request in remaining)

    def add_loan(self, loan: Loan) -> None:
        """Take in a new loan."""
        self.loans.append(loan)
        self._available += loan.remaining

    def pop_loans(self) -> list[Loan]:
        """Remove and return all loans."""
        loans = list(self.loans)
        self.loans.clear()
        self._available = 0
        return loans

    def spend(self, tokens: int) -> list[Debit]:
        """Take `tokens` from the loans, those that expire first before the others."""
        debits = []
        while tokens:
            loan = self.loans[0]
            used = min(tokens, loan.remaining)
            loan.remaining -= used
            self._available -= used
            tokens -= used
            debits.append(Debit(loan, used))
            if not loan.remaining:
                self.loans.popleft()
        return debits

    def expire_loans(self, now: float) -> list[Loan]:
        """Remove and return the loans that may not be spent any more."""
        expired = [loan for loan in self.loans if loan.expires_at <= now]
        if expired:
            self.loans = collections.deque(loan for loan in self.loans if loan.expires_at > now)
            self._available -= sum(loan.remaining for loan in expired)
        return expired

    def expire_pending(self, now: float) -> None:
        """Pass over holders that did not answer and forget asks too old to be of use."""
        for loan_id, request in list(self.pending.items()):
            age = now - request.sent_at
            if age >= settings.BORROW_TIMEOUT_SECONDS:
                holder_state = self._holder_states.setdefault(
                    request.holder, _HolderState(0, request.sent_at)
                )
                holder_state.blocked_until = max(
                    holder_state.blocked_until, request.sent_at + settings.HOLDER_BACKOFF_SECONDS
                )
            if age >= settings.LOAN_SECONDS:
                del self.pending[loan_id]

    def record_grant(self, request: BorrowRequest, granted: int, left: int, now: float) -> None:
        """Note a holder's answer.

        Holders that give less than expected are being asked by others too: expect a smaller
        part of what accrues at them, so that VMs do not ask in vain all the time.
        """
        first = request.holder not in self._holder_states
        self._holder_states[request.holder] = _HolderState(left, now)
        if granted < request.tokens and first:
            return
        if granted < request.tokens:
            self._expected_fraction = max(
                settings.MIN_EXPECTED_FRACTION, self._expected_fraction / 2
            )
        else:
            self._expected_fraction = min(
                1.0, self._expected_fraction + settings.EXPECTED_FRACTION_STEP
            )

    def has_pending(self, holder: str) -> bool:
        """Tell whether an ask to `holder` is in flight."""
        return any(request.holder == holder for request in self.pending.values())

    def estimate(self, holder: str, quota: holders.Quota, now: float) -> int:
        """Return the tokens that this VM may expect of `holder` beyond what it has asked for."""
        return self._estimate(holder, quota, now, self._expected_fraction)

    def upper_bound(self, holder: str, quota: holders.Quota, now: float) -> int:
        """Return the tokens that `holder` can have at most beyond what it has been asked for."""
        return self._estimate(holder, quota, now, 1.0)

    def _estimate(self, holder: str, quota: holders.Quota, now: float, fraction: float) -> int:
        holder_state = self._holder_states.get(holder)
        if holder_state is None:
            left = quota.burst
        elif now < holder_state.blocked_until:
            left = 0
        else:
            age = now - holder_state.updated_at
            contended = min(age, settings.CONTENTION_SECONDS)
            accrued = (age - contended * (1 - fraction)) * quota.rate
            left = min(quota.burst, int(holder_state.left + accrued))
        pending = sum(
            request.tokens for request in self.pending.values() if request.holder == holder
        )
        return max(0, left - pending)
