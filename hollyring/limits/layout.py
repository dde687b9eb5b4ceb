"""Which part of each limit this VM may spend, through changes of the roster."""

from __future__ import annotations

from collections.abc import Iterable

from hollyring.core import identities, rendezvous
from hollyring.limits import fence, holders, messages, settings, share

MAX_UNSETTLED = 16
"""Roster changes that may be under way at once; beyond it the VM holds nothing."""


class Layout:
    """Rosters as one VM applied them.

    A smaller part is taken over at once. A larger one waits until no VM applies an older
    roster, and then for the loans that were given under it.

    Parameters
    ----------
    vm
        The life of the VM that asks.
    """

    __slots__ = (
        "_vm",
        "_roster",
        "_own_slot",
        "_prior",
        "_before",
        "_fresh",
        "_settled",
        "_base",
        "_grown",
        "_grow_at",
        "_fence",
        "_next_poll",
        "_polls",
        "_destroyed",
        "_chosen",
    )

    def __init__(self, vm: identities.Incarnation) -> None:
        self._vm = vm
        self._roster: holders.Roster | None = None
        self._own_slot: holders.Slot | None = None
        self._prior: list[holders.Roster] = []
        self._before: list[holders.Roster] = []
        self._fresh = True
        self._settled = 0
        self._base = 0.0
        self._grown = 0.0
        self._grow_at: float | None = None
        self._fence: fence.Fence | None = None
        self._next_poll = 0.0
        self._polls = 0
        self._destroyed: set[str] = set()
        self._chosen: dict[tuple[int, str], tuple[holders.Slot, ...]] = {}

    @property
    def roster(self) -> holders.Roster | None:
        """The roster in force at this VM."""
        return self._roster

    @property
    def own_slot(self) -> holders.Slot | None:
        """The slot that this VM fills, if it fills one."""
        return self._own_slot

    @property
    def settled(self) -> int:
        """Latest roster revision that every VM is known to apply."""
        return self._settled

    def chosen(self, organisation: str) -> tuple[holders.Slot, ...]:
        """Return the holders of `organisation` by the roster in force."""
        return self._holders(organisation, self._roster) if self._roster else ()

    def adopt(self, roster: holders.Roster, now: float) -> bool:
        """Apply a later roster; return whether it was later."""
        if self._roster is not None and roster.revision <= self._roster.revision:
            return False
        if self._roster is None:
            self._base = self._grown = now + settings.HOLD_SECONDS
        else:
            self._prior.append(self._roster)
        self._roster = roster
        self._own_slot = next((s for s in roster.slots if s.vm == self._vm.name), None)
        self._grow_at = None
        self._next_poll = now
        collectors = rendezvous.rank(str(roster.revision).encode(), roster.members)
        collects = self._vm.name in collectors[: settings.COLLECTORS]
        self._fence = fence.Fence(roster.revision, roster.members) if collects else None
        self.settle(roster.settled, now)
        return True

    def settle(self, revision: int, now: float) -> None:
        """Take in that no VM applies a roster older than `revision`."""
        self._settled = max(self._settled, revision)
        if self._roster is None or self._settled < self._roster.revision:
            return
        if self._grow_at is None and (self._fresh or self._prior):
            self._grow_at = now + settings.HOLD_SECONDS
        self._fence = None

    def mark_destroyed(self, names: Iterable[str]) -> None:
        """Take in VMs that the platform is known to have destroyed."""
        self._destroyed |= set(names)

    def grow(self, now: float) -> bool:
        """Enter the settled roster's parts if it is time; return whether they changed."""
        if self._grow_at is None or now < self._grow_at:
            return False
        self._base, self._grown = self._grown, self._grow_at
        self._before = [] if self._fresh else self._prior
        self._prior = []
        self._fresh = False
        self._grow_at = None
        revisions = {roster.revision for roster in [*self._before, self._roster] if roster}
        self._chosen = {key: slots for key, slots in self._chosen.items() if key[0] in revisions}
        return True

    def portion(self, limit: holders.Limit) -> holders.Portion:
        """Return the part of `limit` that this VM may spend now."""
        if self._fresh or self._roster is None or len(self._prior) > MAX_UNSETTLED:
            return holders.NOTHING
        return self._smallest(limit, [*self._prior, self._roster])

    def new_share(self, limit: holders.Limit, learned: float) -> share.Share:
        """Return the share of `limit` as it is if nothing was lent from it in this life."""
        created = share.Share(self._smallest(limit, self._before), max(self._base, learned))
        created.resize(self.portion(limit), max(self._grown, learned))
        return created

    def poll(self, now: float) -> list[messages.Outgoing]:
        """Return the messages that are due while a roster change is not settled."""
        roster = self._roster
        if roster is None or self._settled >= roster.revision or now < self._next_poll:
            return []
        self._next_poll = now + settings.FENCE_POLL_SECONDS
        return self._collect(now) + self._query(roster)

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> list[messages.Outgoing]:
        """Handle a message about a roster change."""
        revision = self._roster.revision if self._roster else 0
        match message:
            case messages.ConfirmRequest() if message.revision <= revision:
                answer = messages.Confirm(revision, message.round, self._vm.number)
                return [messages.Outgoing(sender, answer)]
            case messages.Confirm() if self._fence is not None:
                self._fence.confirm(sender, message)
                if not self._fence.missing(self._destroyed):
                    self.settle(revision, now)
            case messages.SettledQuery() if message.revision <= self._settled:
                return [messages.Outgoing(sender, messages.Settled(self._settled))]
            case messages.Settled():
                self.settle(message.revision, now)
        return []

    def _collect(self, now: float) -> list[messages.Outgoing]:
        if self._fence is None:
            return []
        missing = self._fence.missing(self._destroyed)
        if self._vm.name in missing:
            own = messages.Confirm(self._fence.revision, self._fence.round, self._vm.number)
            self._fence.confirm(self._vm.name, own)
            missing = self._fence.missing(self._destroyed)
        if not missing:
            self.settle(self._fence.revision, now)
            return []
        request = messages.ConfirmRequest(self._fence.revision, self._fence.round)
        return [messages.Outgoing(name, request) for name in sorted(missing - {self._vm.name})]

    def _query(self, roster: holders.Roster) -> list[messages.Outgoing]:
        """Ask the collectors and one more member in turn."""
        ranked = rendezvous.rank(str(roster.revision).encode(), roster.members)
        self._polls += 1
        asked = ranked[: settings.COLLECTORS]
        asked.append(ranked[(self._polls * 7 + self._vm.number) % len(ranked)])
        query = messages.SettledQuery(roster.revision)
        return [messages.Outgoing(n, query) for n in dict.fromkeys(asked) if n != self._vm.name]

    def _smallest(self, limit: holders.Limit, rosters: list[holders.Roster]) -> holders.Portion:
        if not rosters:
            return holders.NOTHING
        parts = [
            holders.portion(limit, self._vm.name, self._holders(limit.organisation, roster))
            for roster in rosters
        ]
        smallest = parts[0]
        for part in parts[1:]:
            smallest = smallest.smaller(part)
        return smallest

    def _holders(self, organisation: str, roster: holders.Roster) -> tuple[holders.Slot, ...]:
        key = (roster.revision, organisation)
        found = self._chosen.get(key)
        if found is None:
            found = self._chosen[key] = holders.holders(organisation, roster)
        return found
