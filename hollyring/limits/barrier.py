"""Proof that no VM applies an old roster any more, before a share may grow.

Collectors ask all members twice. When everyone has confirmed a first time, and again after
that in the same life, there was an instant at which all applied the new roster. Whoever
starts later takes its configuration from the store or from one of them, and so cannot fall
behind it.
"""

from __future__ import annotations

from hollyring.limits import messages


class RosterBarrier:
    """Collects confirmations of one roster revision.

    Parameters
    ----------
    revision
        The roster revision to confirm.
    members
        VMs that may still apply an earlier one.

    Examples
    --------
    >>> barrier = RosterBarrier(5, {"vm-1"})
    >>> barrier.confirm("vm-1", messages.Confirm(5, 1, 7))
    >>> barrier.unconfirmed(set())
    {'vm-1'}
    >>> barrier.confirm("vm-1", messages.Confirm(5, barrier.round, 7))
    >>> barrier.unconfirmed(set())
    set()
    """

    __slots__ = ("_revision", "_members", "_round", "_first_round", "_second_round")

    def __init__(self, revision: int, members: set[str] | frozenset[str]) -> None:
        self._revision = revision
        self._members = set(members)
        self._round = 1
        self._first_round: dict[str, int] = {}
        self._second_round: set[str] = set()

    @property
    def revision(self) -> int:
        """The roster revision that is being confirmed."""
        return self._revision

    @property
    def round(self) -> int:
        """Number of the present round of requests."""
        return self._round

    def unconfirmed(self, destroyed: set[str]) -> set[str]:
        """Return the members, less the `destroyed`, that have yet to confirm this round."""
        members = self._members - destroyed
        if self._round == 1:
            if members <= self._first_round.keys():
                self._round = 2
            else:
                return members - self._first_round.keys()
        return members - self._second_round

    def confirm(self, member: str, message: messages.Confirm) -> None:
        """Take in a member's confirmation."""
        if message.revision < self._revision or message.round > self._round:
            return
        confirmed = self._first_round.get(member)
        if confirmed is None or message.incarnation > confirmed:
            self._restart_second_round(member, message.incarnation)
            return
        if self._round > 1 and message.round == self._round and message.incarnation == confirmed:
            self._second_round.add(member)

    def _restart_second_round(self, member: str, incarnation: int) -> None:
        """Start the second round again after a member began a new life."""
        self._first_round[member] = incarnation
        if self._round == 1:
            return
        self._round += 1
        self._second_round.clear()
