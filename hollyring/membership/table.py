"""What one VM believes of every other, and digests by which two VMs compare it."""

from __future__ import annotations

import dataclasses

import xxhash

from hollyring.membership import messages

BUCKET_COUNT = 16
"""Parts of the table that two VMs compare one by one."""


@dataclasses.dataclass(slots=True)
class Member:
    """One life of a VM, as believed here.

    Parameters
    ----------
    profile
        Where it is found.
    refutation
        The highest that was heard of it.
    status
        What is believed of it.
    deadline
        When a suspect is taken for dead.
    listed, listed_leaving
        Whether the platform's list has shown it, and as leaving.
    """

    profile: messages.Profile
    refutation: int = 0
    status: messages.Status = messages.Status.ALIVE
    deadline: float = 0.0
    listed: bool = False
    listed_leaving: bool = False

    @property
    def update(self) -> messages.Update:
        """What is believed, as a message."""
        number = self.profile.incarnation
        return messages.Update(self.profile.name, number, self.refutation, int(self.status))


class Table:
    """All members but this VM itself; the latest life of each name.

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
        """The members by name, dead ones included until they are removed."""
        return self._members

    @property
    def digests(self) -> list[int]:
        """Digest of the lives believed alive, by bucket."""
        return list(self._digests)

    @property
    def digest(self) -> int:
        """Digest of all lives believed alive."""
        return xxhash.xxh3_64_intdigest(b"".join(d.to_bytes(8, "big") for d in self._digests)) >> 1

    def add(self, profile: messages.Profile) -> bool:
        """Take in a life; False when it or a later one is known."""
        member = self._members.get(profile.name)
        if member is not None and member.profile.incarnation >= profile.incarnation:
            return False
        if member is not None:
            self.remove(profile.name)
        self._members[profile.name] = Member(profile)
        self._toggle_digest(profile.name, profile.incarnation)
        return True

    def apply(self, update: messages.Update) -> bool:
        """Take in what is said of a life; False when nothing new, or of another life."""
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
        """Forget a member."""
        member = self._members.pop(name)
        if member.status is not messages.Status.DEAD:
            self._toggle_digest(name, member.profile.incarnation)

    def differing_buckets(self, digests: list[int]) -> set[int]:
        """Return the buckets in which another VM's digests differ from these."""
        return {n for n, digest in enumerate(digests[:BUCKET_COUNT]) if digest != self._digests[n]}

    def _toggle_digest(self, name: str, number: int) -> None:
        digest = xxhash.xxh3_64_intdigest(f"{name}#{number}".encode()) >> 1
        self._digests[bucket_of(name)] ^= digest


def bucket_of(name: str) -> int:
    """Return the bucket of a member."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKET_COUNT
