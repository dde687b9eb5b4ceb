"""Wanted versions of the weights of models, and the expiry of older ones."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Iterator

MAX_VERSIONS = 16
"""Number of versions kept per model."""

UPGRADED_SHARE = 1 / 3
"""Share of upstreams that have to have a wanted version or a later one for older ones to expire.

It applies, besides the age, if the time since which the version is wanted is only estimated.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class WantedVersion:
    """Version of weights and the time since which it is wanted.

    `estimated` is True if that time was not observed.
    """

    version: int
    since: float
    estimated: bool = False


class WantedVersions:
    """Current and former wanted versions of the weights of all models.

    Parameters
    ----------
    max_age_seconds
        Time for which older weights are still used after a version becomes wanted.

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
        """Record a version that is wanted since `since` or earlier."""
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
        """Return the newest wanted version of the weights of a model."""
        return self._newest.get(model)

    def all_versions(self) -> Iterator[tuple[str, WantedVersion]]:
        """Yield each model with each of its wanted versions, including superseded ones."""
        for model, versions in self._versions.items():
            yield from ((model, wanted) for wanted in versions.values())

    def is_expired(
        self, model: str, version: int, now: float, share_with: Callable[[int], float]
    ) -> bool:
        """Return whether a version of the weights is too old to be used at all.

        Parameters
        ----------
        share_with
            Returns the share of upstreams that have a version or a later one.
        """
        # All newer versions are checked: the newest alone would restart the time limit each time.
        return any(
            now - wanted.since > self._max_age_seconds
            or (wanted.estimated and share_with(wanted.version) >= UPGRADED_SHARE)
            for wanted in self._versions.get(model, {}).values()
            if wanted.version > version
        )
