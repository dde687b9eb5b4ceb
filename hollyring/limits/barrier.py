"""Barrier that delays the growth of shares until no VM applies an older roster.

After a roster change a few VMs, the collectors, request confirmations from all members in two
rounds. If each member confirms in the first round, and in the second round again with the same
incarnation, then there was an instant at which all of them applied the new roster. A VM that starts
later loads its configuration from the store or from one of these members, so it cannot apply an
older roster.
"""

from __future__ import annotations

from hollyring.limits import messages


class RosterBarrier:
    """Two-round confirmation of one roster revision.

    If a member restarts during the second round, that round begins again for all members.

    Parameters
    ----------
    revision
        The roster revision to confirm.
    members
        VMs that may still apply an earlier revision.

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
        """The roster revision to confirm."""
        return self._revision

    @property
    def round(self) -> int:
        """Number of the current round of confirmation requests."""
        return self._round

    def unconfirmed(self, destroyed: set[str]) -> set[str]:
        """Return the members, except `destroyed` ones, that have yet to confirm.

        If all have confirmed in the first round, this begins the second round and returns those
        that have yet to confirm in it.
        """
        members = self._members - destroyed
        if self._round == 1:
            if members <= self._first_round.keys():
                self._round = 2
            else:
                return members - self._first_round.keys()
        return members - self._second_round

    def confirm(self, member: str, message: messages.Confirm) -> None:
        """Record a member's confirmation.

        A confirmation of an earlier revision is ignored, and one from an earlier round does not
        count for the current one. A later incarnation of a member restarts the second round.
        """
        if message.revision < self._revision or message.round > self._round:
            return
        confirmed = self._first_round.get(member)
        if confirmed is None or message.incarnation > confirmed:
            self._restart_second_round(member, message.incarnation)
            return
        if self._round > 1 and message.round == self._round and message.incarnation == confirmed:
            self._second_round.add(member)

    def _restart_second_round(self, member: str, incarnation: int) -> None:
        """Record a member's new incarnation, and restart the second round if it has begun."""
        self._first_round[member] = incarnation
        if self._round == 1:
            return
        self._round += 1
        self._second_round.clear()
