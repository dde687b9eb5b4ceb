"""Proof that no VM applies an old roster any more, before a share may grow.

Collectors ask all members twice. When everyone has confirmed a first time, and again after
that in the same life, there was an instant at which all applied the new roster. Whoever
starts later takes its configuration from the store or from one of them, and so cannot fall
behind it.
"""

from __future__ import annotations

from hollyring.limits import messages


class Fence:
    """Collects confirmations of one roster revision.

    Parameters
    ----------
    revision
        The roster revision to confirm.
    members
        VMs that may still apply an earlier one.

    Examples
    --------
    >>> fence = Fence(5, {"vm-1"})
    >>> fence.confirm("vm-1", messages.Confirm(5, 1, 7))
    >>> fence.missing(set())
    {'vm-1'}
    >>> fence.confirm("vm-1", messages.Confirm(5, fence.round, 7))
    >>> fence.missing(set())
    set()
    """

    __slots__ = ("_revision", "_members", "_round", "_first", "_second")

    def __init__(self, revision: int, members: set[str] | frozenset[str]) -> None:
        self._revision = revision
        self._members = set(members)
        self._round = 1
        self._first: dict[str, int] = {}
        self._second: set[str] = set()

    @property
    def revision(self) -> int:
        """The roster revision that is being confirmed."""
        return self._revision

    @property
    def round(self) -> int:
        """Number of the present round of requests."""
        return self._round

    def missing(self, destroyed: set[str]) -> set[str]:
        """Return the members, less the `destroyed`, that have yet to confirm this round."""
        members = self._members - destroyed
        if self._round == 1:
            if members <= self._first.keys():
                self._round = 2
            else:
                return members - self._first.keys()
        return members - self._second

    def confirm(self, member: str, message: messages.Confirm) -> None:
        """Take in a member's confirmation."""
        if message.revision < self._revision or message.round > self._round:
            return
        known = self._first.get(member)
        if known is None or message.incarnation > known:
            self._restart(member, message.incarnation)
            return
        if self._round > 1 and message.round == self._round and message.incarnation == known:
            self._second.add(member)

    def _restart(self, member: str, incarnation: int) -> None:
        """Start the second round again after a member began a new life."""
        self._first[member] = incarnation
        if self._round == 1:
            return
        self._round += 1
        self._second.clear()
