"""Since when each version of a model's weights is wanted, and how long older ones may be used."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Iterator

MAX_VERSIONS = 16
"""Wanted versions of one model that are remembered."""

UPGRADED_SHARE = 1 / 3
"""Where so many upstreams have the wanted weights, it may have been wanted for long."""


@dataclasses.dataclass(frozen=True, slots=True)
class Named:
    """A version of weights that is wanted, and since when; `guessed` if that is not known."""

    version: int
    at: float
    guessed: bool = False


class WantedVersions:
    """The versions of all models' weights that are or were wanted.

    Parameters
    ----------
    seconds
        Time after which weights older than those wanted are not used any more.

    Examples
    --------
    >>> wanted = WantedVersions(10.0)
    >>> wanted.name("parish", 2, at=0.0)
    >>> wanted.name("parish", 3, at=8.0)
    >>> [wanted.is_overdue("parish", has, 11.0, lambda version: 0.0) for has in (1, 2, 3)]
    [True, False, False]
    """

    __slots__ = ("_seconds", "_newest", "_versions")

    def __init__(self, seconds: float = math.inf) -> None:
        self._seconds = seconds
        self._newest: dict[str, Named] = {}
        self._versions: dict[str, dict[int, Named]] = {}

    def name(self, model: str, version: int, at: float, guessed: bool = False) -> None:
        """Take in a version that is wanted since `at`, or since before it."""
        versions = self._versions.setdefault(model, {})
        known = versions.get(version)
        if known is None or (known.guessed and not guessed):
            versions[version] = Named(version, at, guessed)
        elif not guessed:
            versions[version] = Named(version, min(at, known.at))
        while len(versions) > MAX_VERSIONS:
            del versions[min(versions)]
        self._newest[model] = versions[max(versions)]

    def newest(self, model: str) -> Named | None:
        """Return the newest wanted version of a model's weights."""
        return self._newest.get(model)

    def all(self) -> Iterator[tuple[str, Named]]:
        """Yield the wanted versions of each model's weights, overtaken ones too."""
        for model, versions in self._versions.items():
            yield from ((model, named) for named in versions.values())

    def is_overdue(
        self, model: str, version: int, now: float, share_of: Callable[[int], float]
    ) -> bool:
        """Tell whether a version of the weights is too old to be used at all.

        Parameters
        ----------
        share_of
            Returns which share of the upstreams has a version or a later one.
        """
        # The first version that is lacking decides: a later one does not make it young again.
        return any(
            now - named.at > self._seconds
            or (named.guessed and share_of(named.version) >= UPGRADED_SHARE)
            for named in self._versions.get(model, {}).values()
            if named.version > version
        )
