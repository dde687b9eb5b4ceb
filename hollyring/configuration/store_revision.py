"""Revisions of the store, ordered across the eras that begin when it returns from an older copy."""

from __future__ import annotations

import dataclasses

UNKNOWN_ERA = -1
"""Era of a revision in a message of a build that does not send it."""

REVISIONS_PER_ERA = 2**40
"""Upper bound of the revisions of one era; 8000 eras then fit the integers that JSON carries."""

MAX_ERA = 2**53 // REVISIONS_PER_ERA - 1
"""Highest era of a store, so that the ordinals fit those integers."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Revision:
    """Revision `number` of the store within an era.

    The store begins a new era when it returns from an older copy. Revisions then go back and are
    assigned again, so that numbers of different eras cannot be compared.

    Examples
    --------
    >>> Revision(2, 5) > Revision(1, 90)
    True
    >>> Revision.from_ordinal(Revision(2, 5).ordinal)
    Revision(era=2, number=5)
    """

    era: int
    number: int

    @classmethod
    def from_ordinal(cls, ordinal: int) -> Revision:
        """Return the revision with this ordinal."""
        return cls(*divmod(ordinal, REVISIONS_PER_ERA))

    @property
    def ordinal(self) -> int:
        """Integer with the same order, which equals the number in era 0."""
        return self.era * REVISIONS_PER_ERA + self.number

    @property
    def is_possible(self) -> bool:
        """Whether a store can reach this revision, whose era may be unknown."""
        return UNKNOWN_ERA <= self.era <= MAX_ERA and 0 <= self.number < REVISIONS_PER_ERA

    def resolved(self, era: int) -> Revision:
        """Return this revision, in `era` if its own era is unknown."""
        return Revision(era, self.number) if self.era == UNKNOWN_ERA else self


NONE = Revision(0, 0)
"""Earlier than all revisions."""
