"""A VM's view of the membership: merges received gossip and selects the gossip to send."""

from __future__ import annotations

import dataclasses
import math

from hollyring.core import identities
from hollyring.membership import actions, gossip, messages, table

PERIOD_SECONDS = 1.0
"""Mean length of a period, in which a VM probes one other VM."""

MIN_SUSPICION_PERIODS = 4
"""Minimum number of periods in which a suspect may refute.

The number grows with the logarithm of the fleet size.
"""

DEAD_RETENTION_SECONDS = 3_600.0
"""Time for which a dead member is kept and occasionally pinged, in case it is alive again."""

MAX_ENTRIES = 1_024


class View:
    """Members and entries as one VM sees them, with the gossip that it still has to send.

    Parameters
    ----------
    local
        Profile of this VM.
    """

    __slots__ = (
        "_local",
        "_table",
        "_queue",
        "_entries",
        "_refutation",
        "_status",
        "_suspects",
        "_dead",
        "_replaced",
        "_counts",
    )

    def __init__(self, local: messages.Profile) -> None:
        self._local = local
        self._table = table.Table(local)
        self._queue = gossip.Queue()
        self._queue.add(local)
        self._entries: dict[str, messages.Entry] = {}
        self._refutation = 0
        self._status = messages.Status.ALIVE
        self._suspects: set[str] = set()
        self._dead: dict[str, float] = {}
        self._replaced = False
        self._counts = {"suspected": 0, "died": 0, "refuted": 0}

    @property
    def member_table(self) -> table.Table:
        """The members and their digests."""
        return self._table

    @property
    def entries(self) -> dict[str, messages.Entry]:
        """The highest version received of each entry, by name."""
        return self._entries

    @property
    def status(self) -> messages.Status:
        """The status that this VM announces of itself."""
        return self._status

    @property
    def replaced(self) -> bool:
        """Whether a later incarnation of this VM has been seen."""
        return self._replaced

    @property
    def dead(self) -> list[str]:
        """Names of the dead members that have not been removed yet."""
        return list(self._dead)

    @property
    def counts(self) -> dict[str, int]:
        """Number of members suspected and declared dead, and of own refutations, so far."""
        return dict(self._counts)

    def not_dead(self, region: str = "") -> list[table.Member]:
        """Return the alive, leaving and suspected members, of one region or of all."""
        return [
            member
            for member in self._table.members.values()
            if member.status is not messages.Status.DEAD
            and (not region or member.profile.region == region)
        ]

    def leave(self) -> None:
        """Announce that this VM accepts no new callers."""
        self._status = messages.Status.LEAVING
        self._refutation += 1
        self._queue.add(self.local_update())

    def local_update(self) -> messages.Update:
        """Return the status update of this VM about itself."""
        status = int(self._status)
        return messages.Update(self._local.name, self._local.incarnation, self._refutation, status)

    def next_payload(self, urgent: list[gossip.Item]) -> messages.Gossip:
        """Return the gossip for the next message, starting with `urgent`."""
        return self._queue.next_payload(len(self._table.members) + 1, urgent)

    def urgent_items(self, name: str, incarnation: int) -> list[gossip.Item]:
        """Return what a VM must be told about itself with the next message.

        This is its later incarnation if there is one, else its status if that is not alive, so
        that it can refute it.
        """
        member = self._table.members.get(name)
        if member is None:
            return []
        if member.profile.incarnation > incarnation:
            return [member.profile]
        return [] if member.status is messages.Status.ALIVE else [member.update]

    def extend_suspicions(self, seconds: float) -> None:
        """Postpone every suspect's deadline, after a pause of this process itself."""
        for name in self._suspects:
            self._table.members[name].deadline += seconds

    def set_status(
        self, name: str, status: messages.Status, now: float, timeout_factor: float = 1.0
    ) -> Actions:
        """Set the status of a member's current incarnation, as observed by this VM."""
        update = dataclasses.replace(self._table.members[name].update, status=int(status))
        return self.merge_update(update, now, timeout_factor)

    def expire(self, now: float) -> Actions:
        """Declare suspects dead whose deadline has passed, and remove members long dead."""
        result: Actions = []
        for name in sorted(self._suspects):
            if now >= self._table.members[name].deadline:
                result += self.set_status(name, messages.Status.DEAD, now)
        for name in [
            name for name, since in self._dead.items() if since + DEAD_RETENTION_SECONDS < now
        ]:
            del self._dead[name]
            self._table.remove(name)
            self._entries.pop(load_entry_name(name), None)
        return result

    def merge(self, received: messages.Gossip, now: float, timeout_factor: float = 1.0) -> Actions:
        """Merge received gossip; `timeout_factor` scales the suspects' time to refute."""
        result: Actions = []
        for profile in received.profiles:
            result += self.merge_profile(profile)
        for update in received.updates:
            result += self.merge_update(update, now, timeout_factor)
        for entry in received.entries:
            result += self.merge_entry(entry)
        return result

    def merge_profile(self, profile: messages.Profile) -> Actions:
        """Merge an incarnation; a later one replaces an earlier one."""
        if profile.name == self._local.name:
            return self._check_replaced(profile.incarnation)
        if not self._table.add(profile):
            return []
        self._suspects.discard(profile.name)
        self._dead.pop(profile.name, None)
        self._queue.add(profile)
        return [actions.StatusChanged(profile, messages.Status.ALIVE)]

    def merge_update(
        self, update: messages.Update, now: float, timeout_factor: float = 1.0
    ) -> Actions:
        """Merge a status update.

        An outdated update, or a suspicion about a member of another region, is ignored. An update
        about this VM is refuted if it is wrong.
        """
        if update.name == self._local.name:
            return self._refute(update)
        member = self._table.members.get(update.name)
        if member is None or self._is_remote_suspicion(member, update):
            return []
        before = member.status
        if not self._table.apply(update):
            return []
        self._suspects.discard(update.name)
        self._dead.pop(update.name, None)
        if self._is_in_local_region(member) or member.status is not before:
            self._queue.add(update)
        match member.status:
            case messages.Status.SUSPECT:
                self._counts["suspected"] += 1
                self._suspects.add(update.name)
                member.deadline = now + timeout_factor * self._suspicion_seconds()
            case messages.Status.DEAD:
                self._counts["died"] += 1
                self._dead[update.name] = now
        return [actions.StatusChanged(member.profile, member.status)]

    def merge_entry(self, entry: messages.Entry) -> Actions:
        """Merge an entry if its version is higher than the current one."""
        current = self._entries.get(entry.name)
        if current is not None and current.version >= entry.version:
            return []
        if current is None and len(self._entries) >= MAX_ENTRIES:
            return []
        self._entries[entry.name] = entry
        self._queue.add(entry)
        return [actions.EntryChanged(entry)]

    def _is_in_local_region(self, member: table.Member) -> bool:
        return member.profile.region == self._local.region

    def _is_remote_suspicion(self, member: table.Member, update: messages.Update) -> bool:
        """Return whether `update` is a suspicion about a member of another region.

        Only VMs of the member's own region act on suspicions, which saves gossip in the others.
        """
        return update.status == messages.Status.SUSPECT and not self._is_in_local_region(member)

    def _suspicion_seconds(self) -> float:
        periods = math.ceil(math.log2(len(self._table.members) + 2))
        return PERIOD_SECONDS * max(MIN_SUSPICION_PERIODS, periods)

    def _check_replaced(self, incarnation: int) -> Actions:
        if incarnation <= self._local.incarnation or self._replaced:
            return []
        self._replaced = True
        return [actions.Replaced(identities.Incarnation(self._local.name, incarnation))]

    def _refute(self, update: messages.Update) -> Actions:
        """Refute a wrong status of this incarnation, or detect that a later one has replaced it."""
        if update.incarnation != self._local.incarnation:
            return self._check_replaced(update.incarnation)
        if self._replaced or update.status == self._status:
            return []
        if update.refutation >= self._refutation:
            self._counts["refuted"] += 1
            self._refutation = update.refutation + 1
        self._queue.add(self.local_update())
        return []


Actions = list[actions.Action]


def load_entry_name(name: str) -> str:
    """Return the name of the entry that contains a VM's load."""
    return f"load/{name}"
