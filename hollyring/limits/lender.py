"""The shares that one VM holds, and what it lends from them."""

from __future__ import annotations

import dataclasses

from hollyring.core import identities, invariants
from hollyring.limits import holders, layout, messages, settings, share


@dataclasses.dataclass(frozen=True, slots=True)
class _Learned:
    limit: holders.Limit
    since: float


class Lender:
    """Limits as this VM knows them, and its shares, made when first touched.

    Parameters
    ----------
    vm
        This VM and its present life.
    invariants
        Where the checks of the share bound are counted.
    parts
        Which part of each limit this VM may spend.
    """

    __slots__ = ("_vm", "_invariants", "_layout", "_limits", "_shares")

    def __init__(
        self,
        vm: identities.Incarnation,
        invariants: invariants.Invariants,
        parts: layout.Layout,
    ) -> None:
        self._vm = vm
        self._invariants = invariants
        self._layout = parts
        self._limits: dict[str, _Learned] = {}
        self._shares: dict[str, share.Share] = {}

    @property
    def organisations(self) -> int:
        """Number of organisations with a limit."""
        return len(self._limits)

    @property
    def shares(self) -> int:
        """Number of shares touched in this life."""
        return len(self._shares)

    def limit(self, organisation: str) -> holders.Limit | None:
        """Return the limit in force, if there is one."""
        learned = self._limits.get(organisation)
        return learned.limit if learned else None

    def set_limit(self, limit: holders.Limit, now: float) -> None:
        """Apply a new or changed limit; what is new starts empty."""
        known = self._limits.get(limit.organisation)
        if known is None:
            self._limits[limit.organisation] = _Learned(limit, now + settings.HOLD_SECONDS)
            return
        current = self.held(limit.organisation)
        self._limits[limit.organisation] = _Learned(limit, known.since)
        if current is not None:
            current.resize(self._layout.portion(limit), now)

    def remove(self, organisation: str) -> None:
        """Drop a limit and its share."""
        self._limits.pop(organisation, None)
        self._shares.pop(organisation, None)

    def resize_all(self, now: float) -> None:
        """Apply a change of this VM's parts to every share."""
        for organisation, current in self._shares.items():
            current.resize(self._layout.portion(self._limits[organisation].limit), now)

    def held(self, organisation: str) -> share.Share | None:
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

    def left(self, organisation: str, now: float) -> int:
        """Return the tokens that this VM's share can lend now."""
        own = self.held(organisation)
        return own.left(now) if own else 0

    def lend_own(self, organisation: str, ask: int, tokens: int, now: float) -> int:
        """Debit up to `tokens` for this VM itself and return how many."""
        own = self.held(organisation)
        if own is None or tokens <= 0:
            return 0
        given = own.lend((self._vm.name, self._vm.number, ask), tokens, now)
        self._check(own)
        return given

    def lend(self, sender: str, ask: messages.Ask, now: float) -> messages.Grant:
        """Debit what another VM asks for, as far as it is there, and return the answer."""
        own = self.held(ask.organisation)
        given = left = 0
        if own is not None:
            given = own.lend((sender, ask.incarnation, ask.ask), ask.tokens, now)
            left = own.left(now)
            self._check(own)
        return messages.Grant(ask.incarnation, ask.ask, given, left)

    def give_back(self, sender: str, back: messages.Return, now: float) -> None:
        """Take tokens back, or the word that a loan is spent."""
        own = self._shares.get(back.organisation)
        if own is None:
            return
        own.give_back((sender, back.incarnation, back.ask), back.tokens, now, back.spent)
        self._check(own)

    def _check(self, own: share.Share) -> None:
        bound = max(own.portion.burst, own.outstanding)
        self._invariants.check("share_within_burst", own.promised <= bound + 1e-6)
