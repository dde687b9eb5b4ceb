"""Waiting requests of one organisation at one VM, and the tokens borrowed for them."""

from __future__ import annotations

import collections
import dataclasses

from hollyring.limits import holders, settings


@dataclasses.dataclass(slots=True)
class Loan:
    """Tokens that a holder debited for this VM.

    Parameters
    ----------
    holder
        The VM that debited them, possibly this one.
    granted
        Number of tokens debited.
    remaining
        Tokens neither spent nor returned.
    expires_at
        Time in seconds, by this VM's clock, from which the tokens may not be spent.
    returned
        Tokens returned so far.
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
    """Tokens of one loan that one request has spent."""

    loan: Loan
    tokens: int


@dataclasses.dataclass(slots=True)
class WaitingRequest:
    """A request that waits for tokens until `deadline`, a time in seconds."""

    request_id: str
    tokens: int
    deadline: float


@dataclasses.dataclass(slots=True)
class BorrowRequest:
    """A borrow request in flight, sent at `sent_at` in seconds."""

    holder: str
    tokens: int
    sent_at: float


@dataclasses.dataclass(slots=True)
class _HolderState:
    left: int
    updated_at: float
    blocked_until: float = 0.0


class Borrower:
    """Waiting requests, loans and estimates of the holders' tokens for one organisation."""

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
        """Borrowed tokens that are not yet spent."""
        return self._available

    @property
    def demand(self) -> int:
        """Total tokens of all waiting requests."""
        return self._demand

    def pending_tokens(self, now: float) -> int:
        """Return the tokens of borrow requests that have not timed out."""
        return sum(
            request.tokens
            for request in self.pending.values()
            if now - request.sent_at < settings.BORROW_TIMEOUT_SECONDS
        )

    def push(self, request: WaitingRequest) -> None:
        """Append a waiting request."""
        self.waiting.append(request)
        self._demand += request.tokens

    def pop(self) -> WaitingRequest:
        """Remove and return the first waiting request."""
        request = self.waiting.popleft()
        self._demand -= request.tokens
        return request

    def remove(self, request_id: str) -> None:
        """Remove the waiting request `request_id`, if there is one."""
        remaining = [request for request in self.waiting if request.request_id != request_id]
        self.waiting = collections.deque(remaining)
        self._demand = sum(request.tokens for request in remaining)

    def add_loan(self, loan: Loan) -> None:
        """Add a loan."""
        self.loans.append(loan)
        self._available += loan.remaining

    def pop_loans(self) -> list[Loan]:
        """Remove and return all loans."""
        loans = list(self.loans)
        self.loans.clear()
        self._available = 0
        return loans

    def spend(self, tokens: int) -> list[Debit]:
        """Spend `tokens` of the loans, the oldest first; older ones usually expire earlier."""
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
        """Remove and return the expired loans."""
        expired = [loan for loan in self.loans if loan.expires_at <= now]
        if expired:
            self.loans = collections.deque(loan for loan in self.loans if loan.expires_at > now)
            self._available -= sum(loan.remaining for loan in expired)
        return expired

    def expire_pending(self, now: float) -> None:
        """Back off from holders that did not answer, and drop old borrow requests.

        A borrow request is dropped after `LOAN_SECONDS`, when a loan granted for it would have
        expired.
        """
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
        """Record a holder's grant and adapt the expected fraction of the accruing tokens.

        A holder that grants less than requested presumably lends to other VMs too. The fraction is
        then halved, so that VMs do not keep sending borrow requests in vain. A holder's first
        grant does not reduce the fraction, because the request for it was based on the assumption
        that the holder has its whole burst.
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
        """Return whether a borrow request to `holder` is in flight."""
        return any(request.holder == holder for request in self.pending.values())

    def estimate(self, holder: str, quota: holders.Quota, now: float) -> int:
        """Estimate the tokens that `holder` can lend in addition to those already requested."""
        return self._estimate(holder, quota, now, self._expected_fraction)

    def upper_bound(self, holder: str, quota: holders.Quota, now: float) -> int:
        """Return the most tokens that `holder` can have in addition to those already requested."""
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
