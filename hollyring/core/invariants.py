"""Runtime checks of invariants, counted for the state dump."""

from __future__ import annotations

import collections

from hollyring.core import errors


class InvariantError(errors.HollyringError):
    """An invariant does not hold."""


class Invariants:
    """Counters of checks and violations per invariant.

    Parameters
    ----------
    strict
        Raise `InvariantError` on a violation. Tests enable this; a VM in service disables it,
        so that violations are only counted.

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
        """Total number of violations over all invariants."""
        return sum(self._violations.values())

    def check(self, name: str, holds: bool, detail: str = "") -> bool:
        """Record a check of invariant `name` and return `holds`.

        Raises
        ------
        InvariantError
            If `holds` is false and `strict` is set.
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
        """Return the counters and the last violation's detail, keyed by invariant name."""
        return {
            name: {
                "checks": checks,
                "violations": self._violations[name],
                "last": self._last.get(name, ""),
            }
            for name, checks in sorted(self._checks.items())
        }
