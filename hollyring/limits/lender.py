"""Shares held by one VM, and loans from them."""

from __future__ import annotations

import dataclasses

from hollyring.core import identities, invariants
from hollyring.limits import allocation, holders, messages, settings, share


@dataclasses.dataclass(frozen=True, slots=True)
class _LimitEntry:
    limit: holders.Limit
    start: float


class Lender:
    """Limits of all organisations, and this VM's shares of them, which are created on first use.

    Parameters
    ----------
    vm
        This VM and its incarnation.
    invariants
        Counters of the checks that shares stay within their bursts.
    allocation
        Quotas allocated to this VM.
    """

    __slots__ = ("_vm", "_invariants", "_allocation", "_limits", "_shares")

    def __init__(
        self,
        vm: identities.Incarnation,
        invariants: invariants.Invariants,
        allocation: allocation.Allocation,
    ) -> None:
        self._vm = vm
        self._invariants = invariants
        self._allocation = allocation
        self._limits: dict[str, _LimitEntry] = {}
        self._shares: dict[str, share.Share] = {}

    @property
    def organisations(self) -> int:
        """Number of organisations with a limit."""
        return len(self._limits)

    @property
    def shares(self) -> int:
        """Number of shares that this VM currently holds."""
        return len(self._shares)

    def limit(self, organisation: str) -> holders.Limit | None:
        """Return an organisation's limit, or None if it has none."""
        entry = self._limits.get(organisation)
        return entry.limit if entry else None

    def set_limit(self, limit: holders.Limit, now: float) -> None:
        """Set a new or changed limit; the share of a new limit starts empty."""
        entry = self._limits.get(limit.organisation)
        if entry is None:
            self._limits[limit.organisation] = _LimitEntry(limit, now + settings.HOLD_SECONDS)
            return
        current = self.share_of(limit.organisation)
        self._limits[limit.organisation] = _LimitEntry(limit, entry.start)
        if current is not None:
            current.resize(self._allocation.quota(limit), now)

    def remove(self, organisation: str) -> None:
        """Remove an organisation's limit and share."""
        self._limits.pop(organisation, None)
        self._shares.pop(organisation, None)

    def resize_all(self, now: float) -> None:
        """Resize all shares to this VM's current quotas."""
        for organisation, current in self._shares.items():
            current.resize(self._allocation.quota(self._limits[organisation].limit), now)

    def share_of(self, organisation: str) -> share.Share | None:
        """Return this VM's share, created if needed, or None if this VM has no quota."""
        found = self._shares.get(organisation)
        if found is not None:
            return found
        entry = self._limits.get(organisation)
        if entry is None or self._allocation.quota(entry.limit) == holders.NO_QUOTA:
            return None
        created = self._allocation.new_share(entry.limit, entry.start)
        self._shares[organisation] = created
        return created

    def lendable(self, organisation: str, now: float) -> int:
        """Return the number of tokens that this VM's share can lend now."""
        own_share = self.share_of(organisation)
        return own_share.lendable(now) if own_share else 0

    def lend_to_self(self, organisation: str, loan_id: int, tokens: int, now: float) -> int:
        """Debit up to `tokens` for this VM's own use and return the number debited."""
        own_share = self.share_of(organisation)
        if own_share is None or tokens <= 0:
            return 0
        granted = own_share.lend((self._vm.name, self._vm.number, loan_id), tokens, now)
        self._check(own_share)
        return granted

    def lend(self, sender: str, request: messages.Ask, now: float) -> messages.Grant:
        """Debit up to the tokens that another VM's borrow request is for and return the answer."""
        own_share = self.share_of(request.organisation)
        granted = left = 0
        if own_share is not None:
            granted = own_share.lend(
                (sender, request.incarnation, request.ask), request.tokens, now
            )
            left = own_share.lendable(now)
            self._check(own_share)
        return messages.Grant(request.incarnation, request.ask, granted, left)

    def return_tokens(self, sender: str, message: messages.Return, now: float) -> None:
        """Credit returned tokens, and close the loan if the message marks it as spent."""
        own_share = self._shares.get(message.organisation)
        if own_share is None:
            return
        own_share.return_tokens(
            (sender, message.incarnation, message.ask), message.tokens, now, message.spent
        )
        self._check(own_share)

    def _check(self, own_share: share.Share) -> None:
        bound = max(own_share.quota.burst, own_share.outstanding)
        self._invariants.check("share_within_burst", own_share.committed <= bound + 1e-6)
