"""Allocation of quotas to this VM across roster changes."""

from __future__ import annotations

from collections.abc import Iterable

from hollyring.core import identities, rendezvous
from hollyring.limits import barrier, holders, messages, settings, share

MAX_UNSETTLED = 16
"""Most roster changes that may be unsettled at once; with more of them, the VM has no quota."""


class Allocation:
    """The rosters that one VM applied, and the quotas that result from them.

    A smaller quota takes effect immediately. A larger one takes effect only when the roster is
    settled, meaning that no VM applies an older one, and the loans made under older rosters have
    expired. A VM that has started has no quota until this holds for its first roster.

    Parameters
    ----------
    vm
        This VM and its incarnation.
    """

    __slots__ = (
        "_vm",
        "_roster",
        "_own_slot",
        "_unsettled",
        "_previous",
        "_starting",
        "_settled_revision",
        "_previous_start",
        "_current_start",
        "_activate_at",
        "_barrier",
        "_next_poll_at",
        "_poll_count",
        "_destroyed",
        "_holders_by_roster",
    )

    def __init__(self, vm: identities.Incarnation) -> None:
        self._vm = vm
        self._roster: holders.Roster | None = None
        self._own_slot: holders.Slot | None = None
        self._unsettled: list[holders.Roster] = []
        self._previous: list[holders.Roster] = []
        self._starting = True
        self._settled_revision = 0
        self._previous_start = 0.0
        self._current_start = 0.0
        self._activate_at: float | None = None
        self._barrier: barrier.RosterBarrier | None = None
        self._next_poll_at = 0.0
        self._poll_count = 0
        self._destroyed: set[str] = set()
        self._holders_by_roster: dict[tuple[int, str], tuple[holders.Slot, ...]] = {}

    @property
    def roster(self) -> holders.Roster | None:
        """The roster that this VM applies, if any."""
        return self._roster

    @property
    def own_slot(self) -> holders.Slot | None:
        """The slot that this VM fills, if any."""
        return self._own_slot

    @property
    def settled_revision(self) -> int:
        """Latest roster revision that is known to be settled."""
        return self._settled_revision

    def holders_of(self, organisation: str) -> tuple[holders.Slot, ...]:
        """Return the holders of `organisation` in the current roster."""
        return self._select_holders(organisation, self._roster) if self._roster else ()

    def apply_roster(self, roster: holders.Roster, now: float) -> bool:
        """Apply `roster` if it is later than the current one and return whether it is."""
        if self._roster is not None and roster.revision <= self._roster.revision:
            return False
        if self._roster is None:
            self._previous_start = self._current_start = now + settings.HOLD_SECONDS
        else:
            self._unsettled.append(self._roster)
        self._roster = roster
        self._own_slot = next((s for s in roster.slots if s.vm == self._vm.name), None)
        self._activate_at = None
        self._next_poll_at = now
        collectors = rendezvous.rank(str(roster.revision).encode(), roster.members)
        collects = self._vm.name in collectors[: settings.CONFIRMATION_COLLECTORS]
        self._barrier = barrier.RosterBarrier(roster.revision, roster.members) if collects else None
        self.mark_settled(roster.settled, now)
        return True

    def mark_settled(self, revision: int, now: float) -> None:
        """Record that no VM applies a roster older than `revision` any more."""
        self._settled_revision = max(self._settled_revision, revision)
        if self._roster is None or self._settled_revision < self._roster.revision:
            return
        if self._activate_at is None and (self._starting or self._unsettled):
            self._activate_at = now + settings.HOLD_SECONDS
        self._barrier = None

    def mark_destroyed(self, names: Iterable[str]) -> None:
        """Record VMs that the platform has destroyed."""
        self._destroyed |= set(names)

    def activate_settled(self, now: float) -> bool:
        """Put the settled roster's quotas into effect if due and return whether they changed."""
        if self._activate_at is None or now < self._activate_at:
            return False
        self._previous_start, self._current_start = self._current_start, self._activate_at
        self._previous = [] if self._starting else self._unsettled
        self._unsettled = []
        self._starting = False
        self._activate_at = None
        revisions = {roster.revision for roster in [*self._previous, self._roster] if roster}
        self._holders_by_roster = {
            key: slots for key, slots in self._holders_by_roster.items() if key[0] in revisions
        }
        return True

    def quota(self, limit: holders.Limit) -> holders.Quota:
        """Return this VM's current quota of `limit`."""
        if self._starting or self._roster is None or len(self._unsettled) > MAX_UNSETTLED:
            return holders.NO_QUOTA
        return self._min_quota(limit, [*self._unsettled, self._roster])

    def new_share(self, limit: holders.Limit, start: float) -> share.Share:
        """Return a share of `limit` with the tokens that have accrued since `start`.

        The level is right only if this incarnation has not lent any of these tokens.
        """
        created = share.Share(
            self._min_quota(limit, self._previous), max(self._previous_start, start)
        )
        created.resize(self.quota(limit), max(self._current_start, start))
        return created

    def poll(self, now: float) -> list[messages.Outgoing]:
        """Return the messages that are due while the current roster is not settled."""
        roster = self._roster
        if roster is None or self._settled_revision >= roster.revision or now < self._next_poll_at:
            return []
        self._next_poll_at = now + settings.BARRIER_POLL_SECONDS
        return self._collect(now) + self._query(roster)

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> list[messages.Outgoing]:
        """Handle a message about the confirmation or settling of rosters; return the answers."""
        revision = self._roster.revision if self._roster else 0
        match message:
            case messages.ConfirmRequest() if message.revision <= revision:
                answer = messages.Confirm(revision, message.round, self._vm.number)
                return [messages.Outgoing(sender, answer)]
            case messages.Confirm() if self._barrier is not None:
                self._barrier.confirm(sender, message)
                if not self._barrier.unconfirmed(self._destroyed):
                    self.mark_settled(revision, now)
            case messages.SettledQuery() if message.revision <= self._settled_revision:
                return [messages.Outgoing(sender, messages.Settled(self._settled_revision))]
            case messages.Settled():
                self.mark_settled(message.revision, now)
        return []

    def _collect(self, now: float) -> list[messages.Outgoing]:
        """Request missing confirmations if this VM is a collector."""
        if self._barrier is None:
            return []
        unconfirmed = self._barrier.unconfirmed(self._destroyed)
        if self._vm.name in unconfirmed:
            own = messages.Confirm(self._barrier.revision, self._barrier.round, self._vm.number)
            self._barrier.confirm(self._vm.name, own)
            unconfirmed = self._barrier.unconfirmed(self._destroyed)
        if not unconfirmed:
            self.mark_settled(self._barrier.revision, now)
            return []
        request = messages.ConfirmRequest(self._barrier.revision, self._barrier.round)
        return [messages.Outgoing(name, request) for name in sorted(unconfirmed - {self._vm.name})]

    def _query(self, roster: holders.Roster) -> list[messages.Outgoing]:
        """Ask the collectors, and another member each time, whether the roster is settled."""
        ranked = rendezvous.rank(str(roster.revision).encode(), roster.members)
        self._poll_count += 1
        receivers = ranked[: settings.CONFIRMATION_COLLECTORS]
        receivers.append(ranked[(self._poll_count * 7 + self._vm.number) % len(ranked)])
        query = messages.SettledQuery(roster.revision)
        return [messages.Outgoing(n, query) for n in dict.fromkeys(receivers) if n != self._vm.name]

    def _min_quota(self, limit: holders.Limit, rosters: list[holders.Roster]) -> holders.Quota:
        if not rosters:
            return holders.NO_QUOTA
        quotas = [
            holders.quota_of_vm(
                limit, self._vm.name, self._select_holders(limit.organisation, roster)
            )
            for roster in rosters
        ]
        lowest = quotas[0]
        for quota in quotas[1:]:
            lowest = lowest.minimum(quota)
        return lowest

    def _select_holders(
        self, organisation: str, roster: holders.Roster
    ) -> tuple[holders.Slot, ...]:
        key = (roster.revision, organisation)
        selected = self._holders_by_roster.get(key)
        if selected is None:
            selected = self._holders_by_roster[key] = holders.select_holders(organisation, roster)
        return selected
