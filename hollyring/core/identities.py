"""Identities of processes across restarts."""

from __future__ import annotations

import dataclasses
import functools


@functools.total_ordering
@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of a process, distinguished from earlier runs under the same name.

    Parameters
    ----------
    name
        The process's stable name, e.g. ``"vm-3"``.
    number
        Increases with each start of the process.

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
        """Return whether this is a later incarnation of the same process than `other`."""
        return self.name == other.name and self.number > other.number
