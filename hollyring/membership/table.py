"""Table of the other VMs' states, with digests by which two VMs compare their tables."""

from __future__ import annotations

import dataclasses

import xxhash

from hollyring.membership import messages

BUCKET_COUNT = 16
"""Number of buckets whose digests two VMs compare one by one."""


@dataclasses.dataclass(slots=True)
class Member:
    """State of one incarnation of another VM.

    Parameters
    ----------
    profile
        Identity, addresses and location.
    refutation
        Highest refutation counter received.
    status
        Current status.
    deadline
        Monotonic seconds at which a suspect is declared dead.
    listed, listed_leaving
        Whether the VM has been on the platform's list, and whether the latest list that contained
        it marked it as leaving.
    """

    profile: messages.Profile
    refutation: int = 0
    status: messages.Status = messages.Status.ALIVE
    deadline: float = 0.0
    listed: bool = False
    listed_leaving: bool = False

    @property
    def update(self) -> messages.Update:
        """The current status as a message."""
        incarnation = self.profile.incarnation
        return messages.Update(self.profile.name, incarnation, self.refutation, int(self.status))


class Table:
    """Table of the latest incarnation of every other VM.

    Parameters
    ----------
    local
        This VM, which is included in the digests but not in the table.

    Examples
    --------
    >>> table = Table(messages.Profile("vm-1", 1, "", "", "fd", "r"))
    >>> table.add(messages.Profile("vm-2", 5, "", "", "fd", "r"))
    True
    >>> table.add(messages.Profile("vm-2", 4, "", "", "fd", "r"))
    False
    >>> table.apply(messages.Update("vm-2", 4, 9, messages.Status.DEAD))
    False
    >>> table.members["vm-2"].status.name
    'ALIVE'
    """

    __slots__ = ("_members", "_digests")

    def __init__(self, local: messages.Profile) -> None:
        self._members: dict[str, Member] = {}
        self._digests = [0] * BUCKET_COUNT
        self._toggle_digest(local.name, local.incarnation)

    @property
    def members(self) -> dict[str, Member]:
        """The members by name, including dead ones until they are removed."""
        return self._members

    @property
    def digests(self) -> list[int]:
        """Digest of the incarnations that are not dead, by bucket."""
        return list(self._digests)

    @property
    def digest(self) -> int:
        """Digest of all incarnations that are not dead."""
        return xxhash.xxh3_64_intdigest(b"".join(d.to_bytes(8, "big") for d in self._digests)) >> 1

    def add(self, profile: messages.Profile) -> bool:
        """Add or replace a member; return False if the same or a later incarnation is present."""
        member = self._members.get(profile.name)
        if member is not None and member.profile.incarnation >= profile.incarnation:
            return False
        if member is not None:
            self.remove(profile.name)
        self._members[profile.name] = Member(profile)
        self._toggle_digest(profile.name, profile.incarnation)
        return True

    def apply(self, update: messages.Update) -> bool:
        """Apply a status update; return False if it is outdated or for another incarnation."""
        member = self._members.get(update.name)
        if member is None or member.profile.incarnation != update.incarnation:
            return False
        received = (update.refutation, update.status)
        if received <= (member.refutation, member.status):
            return False
        was_dead = member.status is messages.Status.DEAD
        member.refutation = update.refutation
        member.status = messages.Status(update.status)
        if was_dead != (member.status is messages.Status.DEAD):
            self._toggle_digest(update.name, update.incarnation)
        return True

    def remove(self, name: str) -> None:
        """Remove a member."""
        member = self._members.pop(name)
        if member.status is not messages.Status.DEAD:
            self._toggle_digest(name, member.profile.incarnation)

    def differing_buckets(self, digests: list[int]) -> set[int]:
        """Return the buckets whose digests differ from another VM's `digests`."""
        return {n for n, digest in enumerate(digests[:BUCKET_COUNT]) if digest != self._digests[n]}

    def _toggle_digest(self, name: str, incarnation: int) -> None:
        digest = xxhash.xxh3_64_intdigest(f"{name}#{incarnation}".encode()) >> 1
        self._digests[bucket_of(name)] ^= digest


def bucket_of(name: str) -> int:
    """Return the bucket that a member's name belongs to."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKET_COUNT
