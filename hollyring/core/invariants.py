"""Invariants that are asserted inside the running program and counted in its state dump."""

from __future__ import annotations

import collections

from hollyring.core import errors


class InvariantError(errors.HollyringError):
    """A promise of the system was found broken."""


class Invariants:
    """Counts how often each invariant was checked and how often it was found broken.

    Parameters
    ----------
    strict
        Raise `InvariantError` on a violation. A VM in service keeps this off, counts and logs;
        tests keep it on.

    Examples
    --------
    >>> invariants = Invariants(strict=False)
    >>> invariants.check("stream_in_order", 1 + 1 == 3, "token 4 after token 2")
    False
    >>> invariants.dump()
    {'stream_in_order': {'checks': 1, 'violations': 1, 'last': 'token 4 after token 2'}}
    """

    __slots__ = ("_strict", "_checks", "_violations", "_last")

    def __init__(self, strict: bool = True) -> None:
        self._strict = strict
        self._checks: collections.Counter[str] = collections.Counter()
        self._violations: collections.Counter[str] = collections.Counter()
        self._last: dict[str, str] = {}

    @property
    def violations(self) -> int:
        """Violations of all invariants together."""
        return sum(self._violations.values())

    def check(self, name: str, holds: bool, detail: str = "") -> bool:
        """Count a check of invariant `name` and return `holds`.

        Raises
        ------
        InvariantError
            If `holds` is false and the counter is strict.
        """
        self._checks[name] += 1
        if holds:
            return True
        self._violations[name] += 1
        self._last[name] = detail
        if self._strict:
            raise InvariantError(f"{name}: {detail}")
        return False

    def dump(self) -> dict[str, dict[str, object]]:
        """Return checks, violations and the last violation's detail by invariant name."""
        return {
            name: {
                "checks": checks,
                "violations": self._violations[name],
                "last": self._last.get(name, ""),
            }
            for name, checks in sorted(self._checks.items())
        }
