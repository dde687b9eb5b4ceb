"""Rate limiter that enforces the limits of all organisations together with other VMs."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

from hollyring.core import identities, invariants
from hollyring.limits import allocation, borrower, holders, lender, messages, settings

_RETRYABLE_CODES = {"not_configured", "overloaded", "rate_limited"}
"""Codes of refusals that a retry can resolve."""


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """Configuration change for a limiter: a new roster, and limits that are set or removed."""

    roster: holders.Roster | None = None
    limits: tuple[holders.Limit, ...] = ()
    removed: tuple[str, ...] = ()


class Limiter:
    """Rate limiter of one VM, for rates and bursts that apply across all VMs.

    Each organisation's rate and burst are divided among several VMs, its holders. A VM spends
    tokens of its own share first, then borrows from other holders, preferring those in its region.
    A holder debits tokens before it grants them. No step calls a service of the platform.

    Parameters
    ----------
    vm
        This VM and its incarnation.
    invariants
        Counters of the checks that shares stay within their bursts.
    """

    def __init__(self, vm: identities.Incarnation, invariants: invariants.Invariants) -> None:
        self._vm = vm
        self._invariants = invariants
        self._allocation = allocation.Allocation(vm)
        self._lender = lender.Lender(vm, invariants, self._allocation)
        self._borrowers: dict[str, borrower.Borrower] = {}
        self._pending: dict[int, str] = {}
        self._waiting: dict[str, None] = {}
        self._reservations: dict[str, list[borrower.Debit]] = {}
        self._last_loan_id = 0
        self._admitted = 0
        self._refused: dict[str, int] = {}

    @property
    def waiting(self) -> bool:
        """Whether requests wait for tokens, which requires a `tick` every few milliseconds."""
        return bool(self._waiting)

    @property
    def roster(self) -> holders.Roster | None:
        """The roster that this VM applies, if any."""
        return self._allocation.roster

    def holders_of(self, organisation: str) -> list[str]:
        """Return the VMs that hold shares of `organisation` in the current roster."""
        return [slot.vm for slot in self._allocation.holders_of(organisation)]

    def configure(self, update: Update, now: float) -> None:
        """Apply a configuration change.

        A new incarnation must load its first configuration from the store, or from a configured
        VM whose roster includes that VM as a member. A copy from any other source may be older
        than the settled roster.
        """
        self._allocation.activate_settled(now)
        for organisation in update.removed:
            self._lender.remove(organisation)
        for limit in update.limits:
            self._lender.set_limit(limit, now)
        if update.roster is not None and self._allocation.apply_roster(update.roster, now):
            self._lender.resize_all(now)

    def mark_destroyed(self, names: Iterable[str]) -> None:
        """Record VMs that the platform has destroyed; their names are never reused."""
        self._allocation.mark_destroyed(names)

    def admit(
        self, organisation: str, tokens: int, request_id: str, now: float
    ) -> messages.Effects:
        """Admit or refuse a request, now or after holders have answered.

        Parameters
        ----------
        tokens
            Tokens of the prompt and tokens reserved for the output.

        Returns
        -------
        messages.Effects
            The decisions made now, possibly on earlier waiting requests. If this request is not
            among them, a later step returns its decision, e.g. `receive` or `tick`.
        """
        effects = messages.Effects()
        limit = self._lender.limit(organisation)
        request = borrower.WaitingRequest(
            request_id, tokens, now + settings.MAX_BORROW_WAIT_SECONDS
        )
        if self._allocation.roster is None:
            self._refuse(organisation, request, "not_configured", settings.LOAN_SECONDS, effects)
        elif limit is None:
            self._refuse(organisation, request, "unknown_organisation", 0.0, effects)
        elif tokens > limit.burst:
            self._refuse(organisation, request, "request_exceeds_burst", 0.0, effects)
        else:
            self._enqueue(organisation, request, now, effects)
        return effects

    def receive(self, sender: str, message: messages.Message, now: float) -> messages.Effects:
        """Handle a message from another VM."""
        effects = messages.Effects()
        match message:
            case messages.Ask():
                effects.send(sender, self._lender.lend(sender, message, now))
            case messages.Grant():
                self._handle_grant(sender, message, now, effects)
            case messages.Return():
                self._lender.return_tokens(sender, message, now)
            case _:
                effects.messages.extend(self._allocation.receive(sender, message, now))
        return effects

    def settle(self, request_id: str, used: int, now: float) -> messages.Effects:
        """Return the tokens of an ended request, less the `used` ones, to the holders."""
        effects = messages.Effects()
        debits = self._reservations.pop(request_id, [])
        unused = sum(debit.tokens for debit in debits) - used
        for debit in reversed(debits):
            returned = min(debit.tokens, unused)
            if returned <= 0:
                break
            unused -= returned
            self._return_tokens(debit.loan, returned, now, effects)
        return effects

    def cancel(self, organisation: str, request_id: str, now: float) -> messages.Effects:
        """Remove a waiting request without a decision, e.g. when its caller has disconnected."""
        effects = messages.Effects()
        state = self._borrowers.get(organisation)
        if state is None:
            return effects
        state.remove(request_id)
        self._process_waiting(state, now, effects)
        return effects

    def tick(self, now: float) -> messages.Effects:
        """Time out borrow requests, refuse requests at their deadlines, advance roster changes."""
        effects = messages.Effects()
        if self._allocation.activate_settled(now):
            self._lender.resize_all(now)
        effects.messages.extend(self._allocation.poll(now))
        for organisation in list(self._waiting):
            self._process_waiting(self._borrowers[organisation], now, effects)
        self._drop_idle(now)
        return effects

    def dump(self) -> dict[str, object]:
        """Return the state for the operators' dump."""
        roster = self._allocation.roster
        return {
            "roster": roster.revision if roster else 0,
            "settled": self._allocation.settled_revision,
            "organisations": self._lender.organisations,
            "shares": self._lender.shares,
            "borrowers": len(self._borrowers),
            "reservations": len(self._reservations),
            "waiting": sum(len(state.waiting) for state in self._borrowers.values()),
            "admitted": self._admitted,
            "refused": dict(self._refused),
        }

    def _enqueue(
        self,
        organisation: str,
        request: borrower.WaitingRequest,
        now: float,
        effects: messages.Effects,
    ) -> None:
        state = self._borrowers.pop(organisation, None) or borrower.Borrower(organisation)
        self._borrowers[organisation] = state
        state.used_at = now
        if len(state.waiting) >= settings.MAX_WAITING_REQUESTS:
            self._refuse(organisation, request, "overloaded", settings.LOAN_SECONDS, effects)
            return
        state.push(request)
        self._process_waiting(state, now, effects)

    def _process_waiting(
        self, state: borrower.Borrower, now: float, effects: messages.Effects
    ) -> None:
        """Decide waiting requests in order, borrowing tokens as needed."""
        state.expire_pending(now)
        for loan in state.expire_loans(now):
            self._release(loan, now, effects)
        while state.waiting and self._decide_first(state, now, effects):
            pass
        if state.waiting:
            self._waiting[state.organisation] = None
            return
        self._waiting.pop(state.organisation, None)
        for loan in state.pop_loans():
            self._release(loan, now, effects)

    def _decide_first(
        self, state: borrower.Borrower, now: float, effects: messages.Effects
    ) -> bool:
        """Admit or refuse the first waiting request; return False if it has to wait."""
        first = state.waiting[0]
        own_tokens = self._lender.lendable(state.organisation, now)
        if state.available + own_tokens >= first.tokens:
            self._borrow_own(state, first.tokens - state.available, now)
            self._admit(state, state.pop(), now, effects)
            return True
        limit = self._lender.limit(state.organisation)
        if limit is None:
            self._refuse(state.organisation, state.pop(), "unknown_organisation", 0.0, effects)
            return True
        estimates = self._estimate_holders(state, limit, own_tokens, now)
        reachable = (
            state.available + own_tokens + state.pending_tokens(now) + sum(n for _, n in estimates)
        )
        if now < first.deadline and reachable >= first.tokens:
            self._borrow_own(state, first.tokens - state.available, now)
            self._send_borrow_requests(state, estimates, now, effects)
            return False
        rate = max(limit.rate, 1)
        upper_bound = (
            state.available
            + own_tokens
            + state.pending_tokens(now)
            + self._max_remote_tokens(state, limit, now)
        )
        if (
            now < first.deadline
            and state.demand - upper_bound <= rate * settings.MAX_ACCRUAL_WAIT_SECONDS
        ):
            return False
        retry_after = max(0, first.tokens - upper_bound) / rate
        self._refuse(state.organisation, state.pop(), "rate_limited", retry_after, effects)
        return True

    def _borrow_own(self, state: borrower.Borrower, tokens: int, now: float) -> None:
        self._last_loan_id += 1
        granted = self._lender.lend_to_self(state.organisation, self._last_loan_id, tokens, now)
        if granted:
            expires_at = now + settings.LOAN_SECONDS
            loan = borrower.Loan(
                self._vm.name, state.organisation, self._last_loan_id, granted, granted, expires_at
            )
            state.add_loan(loan)

    def _max_remote_tokens(self, state: borrower.Borrower, limit: holders.Limit, now: float) -> int:
        """Return the most tokens that other holders can have beyond those already requested."""
        slots = self._allocation.holders_of(state.organisation)
        return sum(
            state.upper_bound(slot.vm, holders.quota_of_holder(limit, index, len(slots)), now)
            for index, slot in enumerate(slots)
            if slot.vm != self._vm.name
        )

    def _estimate_holders(
        self, state: borrower.Borrower, limit: holders.Limit, own_tokens: int, now: float
    ) -> list[tuple[str, int]]:
        """Return the other holders and the tokens that each is expected to lend.

        Holders of this VM's region that can lend the whole deficit come first, then those of other
        regions that can, then all others. Within each group the one with the most tokens is first,
        as a share that has reached its burst accrues no more.
        """
        rows = []
        own = self._allocation.own_slot
        slots = self._allocation.holders_of(state.organisation)
        for index, slot in enumerate(slots):
            if slot.vm == self._vm.name:
                continue
            quota = holders.quota_of_holder(limit, index, len(slots))
            estimate = state.estimate(slot.vm, quota, now)
            if estimate > 0:
                rows.append((_in_other_region(own, slot), slot.vm, estimate))
        deficit = state.demand - state.available - state.pending_tokens(now) - own_tokens
        rows.sort(key=lambda row: (row[0] if row[2] >= deficit else math.inf, -row[2]))
        return [(vm, estimate) for _, vm, estimate in rows]

    def _send_borrow_requests(
        self,
        state: borrower.Borrower,
        estimates: list[tuple[str, int]],
        now: float,
        effects: messages.Effects,
    ) -> None:
        deficit = state.demand - state.available - state.pending_tokens(now)
        for holder, estimate in estimates:
            if deficit <= 0 or len(state.pending) >= settings.MAX_BORROW_REQUESTS:
                return
            if state.has_pending(holder):
                continue
            tokens = min(deficit, estimate)
            deficit -= tokens
            self._last_loan_id += 1
            self._pending[self._last_loan_id] = state.organisation
            if len(self._pending) > settings.MAX_PENDING_BORROWS:
                del self._pending[next(iter(self._pending))]
            state.pending[self._last_loan_id] = borrower.BorrowRequest(holder, tokens, now)
            message = messages.Ask(state.organisation, self._vm.number, self._last_loan_id, tokens)
            effects.send(holder, message)

    def _handle_grant(
        self, sender: str, grant: messages.Grant, now: float, effects: messages.Effects
    ) -> None:
        if grant.incarnation != self._vm.number:
            return
        organisation = self._pending.pop(grant.ask, "")
        state = self._borrowers.get(organisation)
        request = state.pending.pop(grant.ask, None) if state else None
        if state is None or request is None:
            return
        state.record_grant(request, grant.tokens, grant.left, now)
        expires_at = request.sent_at + settings.LOAN_SECONDS
        if grant.tokens:
            loan = borrower.Loan(
                sender, organisation, grant.ask, grant.tokens, grant.tokens, expires_at
            )
            state.add_loan(loan)
        self._process_waiting(state, now, effects)

    def _release(self, loan: borrower.Loan, now: float, effects: messages.Effects) -> None:
        """Return all remaining tokens of a loan."""
        remaining, loan.remaining = loan.remaining, 0
        self._return_tokens(loan, remaining, now, effects)

    def _return_tokens(
        self, loan: borrower.Loan, tokens: int, now: float, effects: messages.Effects
    ) -> None:
        loan.returned += tokens
        spent = loan.remaining == 0
        message = messages.Return(
            loan.organisation, self._vm.number, loan.loan_id, loan.returned, spent
        )
        if loan.holder == self._vm.name:
            self._lender.return_tokens(self._vm.name, message, now)
            return
        effects.send(loan.holder, message)

    def _admit(
        self,
        state: borrower.Borrower,
        request: borrower.WaitingRequest,
        now: float,
        effects: messages.Effects,
    ) -> None:
        debits = state.spend(request.tokens)
        for debit in debits:
            if self._reports_spent(debit.loan):
                self._return_tokens(debit.loan, 0, now, effects)
        self._reservations[request.request_id] = debits
        if len(self._reservations) > settings.MAX_RESERVATIONS:
            del self._reservations[next(iter(self._reservations))]
        self._admitted += 1
        effects.decisions.append(
            messages.Admitted(request.request_id, state.organisation, request.tokens)
        )

    def _refuse(
        self,
        organisation: str,
        request: borrower.WaitingRequest,
        code: str,
        retry_after: float,
        effects: messages.Effects,
    ) -> None:
        if code in _RETRYABLE_CODES:
            retry_after = min(
                max(retry_after, settings.MIN_RETRY_AFTER_SECONDS), settings.MAX_RETRY_AFTER_SECONDS
            )
        self._refused[code] = self._refused.get(code, 0) + 1
        effects.decisions.append(
            messages.Refused(request.request_id, organisation, code, retry_after)
        )

    def _reports_spent(self, loan: borrower.Loan) -> bool:
        """Return whether to report to the holder immediately that a loan is spent.

        Without the report the holder closes the loan when it expires. Until then the loan reduces
        the refill of the share, which matters only for bursts that refill within seconds.
        """
        limit = self._lender.limit(loan.organisation)
        if loan.remaining or limit is None:
            return False
        if loan.holder == self._vm.name:
            return True
        if limit.burst < limit.rate * settings.TINY_BURST_SECONDS:
            return True
        holder_count = max(1, len(self._allocation.holders_of(loan.organisation)))
        large = loan.granted * holder_count * settings.LARGE_LOAN_DIVISOR > limit.burst
        return large and limit.burst < limit.rate * settings.SMALL_BURST_SECONDS

    def _drop_idle(self, now: float) -> None:
        while self._borrowers:
            state = next(iter(self._borrowers.values()))
            if state.waiting or now - state.used_at < settings.BORROWER_IDLE_SECONDS:
                return
            del self._borrowers[state.organisation]


def _in_other_region(own: holders.Slot | None, other: holders.Slot) -> bool:
    return own is None or own.region != other.region
