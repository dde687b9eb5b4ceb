"""The limits of all organisations as one VM takes part in them."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from hollyring.core import identities, invariants
from hollyring.limits import borrower, holders, layout, messages, settings, share


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """A change of configuration as far as limits go: a new roster, limits set or removed."""

    roster: holders.Roster | None = None
    limits: tuple[holders.Limit, ...] = ()
    removed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Learned:
    limit: holders.Limit
    since: float


class Limiter:
    """Admits requests against rates and bursts that hold across all VMs.

    Each organisation's rate and burst are divided among a few holders. A VM takes from its
    own share, then asks the other holders, the near ones first; a holder debits before it
    answers. No step needs the platform's service.

    Parameters
    ----------
    vm
        This VM and its present life.
    invariants
        Where the checks of the share bound are counted.
    """

    def __init__(self, vm: identities.Incarnation, invariants: invariants.Invariants) -> None:
        self._vm = vm
        self._invariants = invariants
        self._layout = layout.Layout(vm)
        self._limits: dict[str, _Learned] = {}
        self._shares: dict[str, share.Share] = {}
        self._borrowers: dict[str, borrower.Borrower] = {}
        self._waiting: dict[str, None] = {}
        self._reservations: dict[str, list[borrower.Part]] = {}
        self._last_ask = 0
        self._admitted = 0
        self._refused: dict[str, int] = {}

    @property
    def waiting(self) -> bool:
        """Whether requests wait for tokens, so that `tick` is due every few milliseconds."""
        return bool(self._waiting)

    @property
    def roster(self) -> holders.Roster | None:
        """The roster in force at this VM."""
        return self._layout.roster

    def configure(self, update: Update, now: float) -> None:
        """Apply a configuration change.

        A new life must start from the store or from a member of the sender's own roster
        that is configured; never from a copy that nobody vouches for.
        """
        self._layout.grow(now)
        for organisation in update.removed:
            self._limits.pop(organisation, None)
            self._shares.pop(organisation, None)
        for limit in update.limits:
            self._set_limit(limit, now)
        if update.roster is not None and self._layout.adopt(update.roster, now):
            self._resize_all(now)

    def mark_destroyed(self, names: Iterable[str]) -> None:
        """Take in VMs that the platform has destroyed; their names are never used again."""
        self._layout.mark_destroyed(names)

    def admit(
        self, organisation: str, tokens: int, request_id: str, now: float
    ) -> messages.Effects:
        """Decide on a request now, or once holders have answered.

        Parameters
        ----------
        tokens
            Tokens of the prompt plus those reserved for the output.

        Returns
        -------
        messages.Effects
            The decision if there is one yet; else `receive` or `tick` will return it.
        """
        effects = messages.Effects()
        learned = self._limits.get(organisation)
        if self._layout.roster is None:
            self._refuse(organisation, request_id, "not_configured", settings.LOAN_SECONDS, effects)
        elif learned is None:
            self._refuse(organisation, request_id, "unknown_organisation", 0.0, effects)
        elif tokens > learned.limit.burst:
            self._refuse(organisation, request_id, "request_exceeds_burst", 0.0, effects)
        else:
            self._enqueue(organisation, tokens, request_id, now, effects)
        return effects

    def receive(self, sender: str, message: messages.Message, now: float) -> messages.Effects:
        """Handle a message from another VM."""
        effects = messages.Effects()
        match message:
            case messages.Ask():
                self._lend(sender, message, now, effects)
            case messages.Grant():
                self._take(sender, message, now, effects)
            case messages.Return():
                key = (sender, message.incarnation, message.ask)
                self._give_back(key, message, now)
            case _:
                effects.messages.extend(self._layout.receive(sender, message, now))
        return effects

    def settle(self, request_id: str, used: int, now: float) -> messages.Effects:
        """Return what an admitted request reserved and did not use."""
        effects = messages.Effects()
        parts = self._reservations.pop(request_id, [])
        unused = sum(part.tokens for part in parts) - used
        for part in reversed(parts):
            back = min(part.tokens, unused)
            if back <= 0:
                break
            unused -= back
            self._return(part.loan, back, now, effects)
        return effects

    def cancel(self, organisation: str, request_id: str, now: float) -> messages.Effects:
        """Drop a waiting request whose caller has gone."""
        effects = messages.Effects()
        state = self._borrowers.get(organisation)
        if state is None:
            return effects
        kept = [request for request in state.waiting if request.request_id != request_id]
        state.waiting.clear()
        state.waiting.extend(kept)
        self._pump(state, now, effects)
        return effects

    def tick(self, now: float) -> messages.Effects:
        """Do what is due: give up late asks, refuse at deadlines, follow roster changes."""
        effects = messages.Effects()
        if self._layout.grow(now):
            self._resize_all(now)
        effects.messages.extend(self._layout.poll(now))
        for organisation in list(self._waiting):
            self._pump(self._borrowers[organisation], now, effects)
        self._drop_idle(now)
        return effects

    def dump(self) -> dict[str, object]:
        """Return the state for the operators' dump."""
        roster = self._layout.roster
        return {
            "roster": roster.revision if roster else 0,
            "settled": self._layout.settled,
            "organisations": len(self._limits),
            "shares": len(self._shares),
            "borrowers": len(self._borrowers),
            "reservations": len(self._reservations),
            "waiting": sum(len(state.waiting) for state in self._borrowers.values()),
            "admitted": self._admitted,
            "refused": dict(self._refused),
        }

    def _set_limit(self, limit: holders.Limit, now: float) -> None:
        known = self._limits.get(limit.organisation)
        if known is None:
            since = now + settings.HOLD_SECONDS
            self._limits[limit.organisation] = _Learned(limit, since)
            return
        current = self._share(limit.organisation, now)
        self._limits[limit.organisation] = _Learned(limit, known.since)
        if current is not None:
            current.resize(self._layout.portion(limit), now)

    def _resize_all(self, now: float) -> None:
        for organisation, current in self._shares.items():
            current.resize(self._layout.portion(self._limits[organisation].limit), now)

    def _share(self, organisation: str, now: float) -> share.Share | None:
        """Return this VM's share, or None where it holds nothing."""
        found = self._shares.get(organisation)
        if found is not None:
            return found
        learned = self._limits.get(organisation)
        if learned is None or self._layout.portion(learned.limit) == holders.NOTHING:
            return None
        created = self._layout.new_share(learned.limit, learned.since)
        self._shares[organisation] = created
        return created

    def _enqueue(
        self, organisation: str, tokens: int, request_id: str, now: float, effects: messages.Effects
    ) -> None:
        state = self._borrowers.pop(organisation, None) or borrower.Borrower(organisation)
        self._borrowers[organisation] = state
        state.used_at = now
        if len(state.waiting) >= settings.MAX_PENDING:
            self._refuse(organisation, request_id, "overloaded", settings.LOAN_SECONDS, effects)
            return
        deadline = now + settings.PATIENCE_SECONDS
        state.waiting.append(borrower.Waiting(request_id, tokens, deadline))
        self._pump(state, now, effects)

    def _pump(self, state: borrower.Borrower, now: float, effects: messages.Effects) -> None:
        """Serve waiting requests in order, as far as tokens go; ask for more or refuse."""
        state.time_out(now)
        for loan in state.expire(now):
            self._release(loan, now, effects)
        while state.waiting and self._serve_first(state, now, effects):
            pass
        if state.waiting:
            self._waiting[state.organisation] = None
            return
        self._waiting.pop(state.organisation, None)
        while state.loans:
            self._release(state.loans.popleft(), now, effects)

    def _serve_first(self, state: borrower.Borrower, now: float, effects: messages.Effects) -> bool:
        """Decide on the first waiting request; return False while it has to wait."""
        first = state.waiting[0]
        self._borrow_own(state, first.tokens - state.available, now)
        if state.available >= first.tokens:
            state.waiting.popleft()
            self._admit(state, first, now, effects)
            return True
        learned = self._limits.get(state.organisation)
        if learned is None:
            state.waiting.popleft()
            self._refuse(state.organisation, first.request_id, "unknown_organisation", 0.0, effects)
            return True
        estimates = self._estimates(state, learned.limit, now)
        reach = state.available + state.expected(now) + sum(n for _, n in estimates)
        if now >= first.deadline or reach < first.tokens:
            state.waiting.popleft()
            missing = first.tokens - min(reach, first.tokens - 1)
            after = missing / max(learned.limit.rate, 1)
            self._refuse(state.organisation, first.request_id, "rate_limited", after, effects)
            return True
        self._ask(state, estimates, now, effects)
        return False

    def _borrow_own(self, state: borrower.Borrower, tokens: int, now: float) -> None:
        own = self._share(state.organisation, now) if tokens > 0 else None
        if own is None:
            return
        self._last_ask += 1
        given = own.lend((self._vm.name, self._vm.number, self._last_ask), tokens, now)
        self._check(own)
        if given:
            expires = now + settings.LOAN_SECONDS
            loan = borrower.Loan(
                self._vm.name, state.organisation, self._last_ask, given, given, expires
            )
            state.loans.append(loan)

    def _estimates(
        self, state: borrower.Borrower, limit: holders.Limit, now: float
    ) -> list[tuple[str, int]]:
        """Return the other holders, near ones first, and what each may lend."""
        rows = []
        own = self._own_slot()
        for slot in self._layout.chosen(state.organisation):
            if slot.vm == self._vm.name:
                continue
            part = holders.portion(limit, slot.vm, self._layout.chosen(state.organisation))
            estimate = state.estimate(slot.vm, part, now)
            if estimate > 0:
                rows.append((_distance(own, slot), slot.vm, estimate))
        rows.sort(key=lambda row: row[0])
        return [(vm, estimate) for _, vm, estimate in rows]

    def _own_slot(self) -> holders.Slot | None:
        roster = self._layout.roster
        if roster is None:
            return None
        return next((slot for slot in roster.slots if slot.vm == self._vm.name), None)

    def _ask(
        self,
        state: borrower.Borrower,
        estimates: list[tuple[str, int]],
        now: float,
        effects: messages.Effects,
    ) -> None:
        deficit = state.wanted - state.available - state.expected(now)
        for holder, estimate in estimates:
            if deficit <= 0 or len(state.asked) >= settings.FANOUT:
                return
            if state.is_asked(holder):
                continue
            tokens = min(deficit, estimate)
            deficit -= tokens
            self._last_ask += 1
            state.asked[self._last_ask] = borrower.Asked(holder, tokens, now)
            ask = messages.Ask(state.organisation, self._vm.number, self._last_ask, tokens)
            effects.send(holder, ask)

    def _lend(self, sender: str, ask: messages.Ask, now: float, effects: messages.Effects) -> None:
        own = self._share(ask.organisation, now)
        given = left = 0
        if own is not None:
            given = own.lend((sender, ask.incarnation, ask.ask), ask.tokens, now)
            left = own.left(now)
            self._check(own)
        grant = messages.Grant(ask.organisation, ask.incarnation, ask.ask, given, left)
        effects.send(sender, grant)

    def _take(
        self, sender: str, grant: messages.Grant, now: float, effects: messages.Effects
    ) -> None:
        if grant.incarnation != self._vm.number:
            return
        state = self._borrowers.get(grant.organisation)
        ask = state.asked.pop(grant.ask, None) if state else None
        if state is None or ask is None:
            return
        state.heard(sender, grant.left, now)
        expires = ask.sent + settings.LOAN_SECONDS
        if grant.tokens:
            loan = borrower.Loan(
                sender, grant.organisation, grant.ask, grant.tokens, grant.tokens, expires
            )
            state.loans.append(loan)
        self._pump(state, now, effects)

    def _release(self, loan: borrower.Loan, now: float, effects: messages.Effects) -> None:
        """Return all that is left of a loan."""
        left, loan.left = loan.left, 0
        self._return(loan, left, now, effects)

    def _return(
        self, loan: borrower.Loan, tokens: int, now: float, effects: messages.Effects
    ) -> None:
        loan.returned += tokens
        spent = loan.left == 0
        back = messages.Return(loan.organisation, self._vm.number, loan.ask, loan.returned, spent)
        if loan.holder == self._vm.name:
            key = (self._vm.name, self._vm.number, loan.ask)
            self._give_back(key, back, now)
            return
        effects.send(loan.holder, back)

    def _give_back(self, key: share.LoanKey, back: messages.Return, now: float) -> None:
        own = self._shares.get(back.organisation)
        if own is None:
            return
        own.give_back(key, back.tokens, now, back.spent)
        self._check(own)

    def _admit(
        self,
        state: borrower.Borrower,
        request: borrower.Waiting,
        now: float,
        effects: messages.Effects,
    ) -> None:
        parts = state.spend(request.tokens)
        for part in parts:
            if self._reports(part.loan):
                self._return(part.loan, 0, now, effects)
        self._reservations[request.request_id] = parts
        if len(self._reservations) > settings.MAX_RESERVATIONS:
            del self._reservations[next(iter(self._reservations))]
        self._admitted += 1
        effects.decisions.append(
            messages.Admitted(request.request_id, state.organisation, request.tokens)
        )

    def _refuse(
        self,
        organisation: str,
        request_id: str,
        code: str,
        retry_after: float,
        effects: messages.Effects,
    ) -> None:
        if retry_after:
            retry_after = min(max(retry_after, settings.MIN_RETRY_AFTER), settings.MAX_RETRY_AFTER)
        self._refused[code] = self._refused.get(code, 0) + 1
        effects.decisions.append(messages.Refused(request_id, organisation, code, retry_after))

    def _reports(self, loan: borrower.Loan) -> bool:
        """Tell whether the holder should learn at once that a loan is spent."""
        learned = self._limits.get(loan.organisation)
        if loan.left or learned is None:
            return False
        if loan.holder == self._vm.name:
            return True
        parts = max(1, len(self._layout.chosen(loan.organisation)))
        return loan.given * settings.NOTICE_PART * parts > learned.limit.burst

    def _check(self, own: share.Share) -> None:
        bound = max(own.portion.burst, own.outstanding)
        self._invariants.check("share_within_burst", own.promised <= bound + 1e-6)

    def _drop_idle(self, now: float) -> None:
        while self._borrowers:
            state = next(iter(self._borrowers.values()))
            if state.waiting or now - state.used_at < settings.IDLE_SECONDS:
                return
            del self._borrowers[state.organisation]


def _distance(own: holders.Slot | None, other: holders.Slot) -> int:
    if own is None or own.region != other.region:
        return 2
    return int(own.failure_domain != other.failure_domain)
