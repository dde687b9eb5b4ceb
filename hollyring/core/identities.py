"""Identities of processes and of configuration revisions."""

from __future__ import annotations

import dataclasses
import functools


@functools.total_ordering
@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One life of a process, told apart from earlier lives under the same name.

    Parameters
    ----------
    name
        The process's stable name, e.g. ``"vm-3"``.
    number
        Grows with each start; a larger number is a later life.

    Examples
    --------
    >>> Incarnation("vm-1", 2) > Incarnation("vm-1", 1)
    True
    >>> str(Incarnation("vm-1", 2))
    'vm-1#2'
    """

    name: str
    number: int

    def __lt__(self, other: Incarnation) -> bool:
        return (self.name, self.number) < (other.name, other.number)

    def __str__(self) -> str:
        return f"{self.name}#{self.number}"

    def replaces(self, other: Incarnation) -> bool:
        """Tell whether this is a later life of the same process as `other`."""
        return self.name == other.name and self.number > other.number
