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
class WantedVersion:
    """A version of weights that is wanted, and since when; `estimated` if that is not recorded."""

    version: int
    since: float
    estimated: bool = False


class WantedVersions:
    """The versions of all models' weights that are or were wanted.

    Parameters
    ----------
    max_age_seconds
        Time after which weights older than those wanted are not used any more.

    Examples
    --------
    >>> wanted = WantedVersions(10.0)
    >>> wanted.record("parish", 2, since=0.0)
    >>> wanted.record("parish", 3, since=8.0)
    >>> [wanted.is_expired("parish", has, 11.0, lambda version: 0.0) for has in (1, 2, 3)]
    [True, False, False]
    """

    __slots__ = ("_max_age_seconds", "_newest", "_versions")

    def __init__(self, max_age_seconds: float = math.inf) -> None:
        self._max_age_seconds = max_age_seconds
        self._newest: dict[str, WantedVersion] = {}
        self._versions: dict[str, dict[int, WantedVersion]] = {}

    def record(self, model: str, version: int, since: float, estimated: bool = False) -> None:
        """Take in a version that is wanted since `at`, or since before it."""
        versions = self._versions.setdefault(model, {})
        recorded = versions.get(version)
        if recorded is None or (recorded.estimated and not estimated):
            versions[version] = WantedVersion(version, since, estimated)
        elif not estimated:
            versions[version] = WantedVersion(version, min(since, recorded.since))
        while len(versions) > MAX_VERSIONS:
            del versions[min(versions)]
        self._newest[model] = versions[max(versions)]

    def newest(self, model: str) -> WantedVersion | None:
        """Return the newest wanted version of a model's weights."""
        return self._newest.get(model)

    def all_versions(self) -> Iterator[tuple[str, WantedVersion]]:
        """Yield the wanted versions of each model's weights, overtaken ones too."""
        for model, versions in self._versions.items():
            yield from ((model, wanted) for wanted in versions.values())

    def is_expired(
        self, model: str, version: int, now: float, share_with: Callable[[int], float]
    ) -> bool:
        """Tell whether a version of the weights is too old to be used at all.

        Parameters
        ----------
        share_with
            Returns which share of the upstreams has a version or a later one.
        """
        # The first version that is lacking decides: a later one does not make it young again.
        return any(
            now - wanted.since > self._max_age_seconds
            or (wanted.estimated and share_with(wanted.version) >= UPGRADED_SHARE)
            for wanted in self._versions.get(model, {}).values()
            if wanted.version > version
        )
