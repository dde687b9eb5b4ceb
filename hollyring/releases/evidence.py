"""Comparison of a release's target with its baseline, by their answers in the same seconds.

The load it is made for: some hundred requests a second over all VMs, of which a twentieth reaches
the target, so that ten to twenty answers have to tell a bad version.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
from collections.abc import Mapping

WINDOW_SECONDS = 3.0
"""Length of the shorter comparison, which shows a version that turned bad late."""

BAD_LOG_RATIO = 9.2
"""Log likelihood ratio from which a version is bad; one comparison errs about once in 10,000."""

DOUBT_LOG_RATIO = 3.0
"""Log likelihood ratio from which no larger share is tried."""

MIN_BASELINE_ANSWERS = 20
"""Answers of the baseline in the shorter comparison from which they count by themselves."""


class Kind(enum.StrEnum):
    """What was wrong with an answer."""

    FAILED = "failed"
    SLOW = "slow"


@dataclasses.dataclass(frozen=True, slots=True)
class _Expectation:
    """What a sound version shows: a share of bad answers assumed as if seen `weight` times.

    `least_excess` is the least by which a bad version's share is above the baseline's.
    """

    share: float
    weight: float
    least_share: float
    least_excess: float


_EXPECTATIONS = {
    Kind.FAILED: _Expectation(0.02, 50.0, 0.005, 0.1),
    Kind.SLOW: _Expectation(0.1, 20.0, 0.02, 0.2),
}

_MAX_SHARE = 0.97


@dataclasses.dataclass(frozen=True, slots=True)
class BaselineAnswers:
    """Answers of the baseline on one route: all, failed ones and slow ones."""

    answers: int = 0
    failed: int = 0
    slow: int = 0

    def bad(self, kind: Kind) -> int:
        """Return the number of answers that were bad in one way."""
        return self.failed if kind is Kind.FAILED else self.slow

    def __add__(self, other: BaselineAnswers) -> BaselineAnswers:
        return BaselineAnswers(
            self.answers + other.answers, self.failed + other.failed, self.slow + other.slow
        )

    def __sub__(self, other: BaselineAnswers) -> BaselineAnswers:
        return BaselineAnswers(
            self.answers - other.answers, self.failed - other.failed, self.slow - other.slow
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Totals:
    """Answers counted since the order by all VMs.

    Parameters
    ----------
    baseline
        Answers of the baseline by route.
    target
        Number of answers of the target by route.
    bad
        Number of the target's bad answers by route, upstream and kind.
    """

    baseline: Mapping[str, BaselineAnswers]
    target: Mapping[str, int]
    bad: Mapping[tuple[str, str, Kind], int]

    @property
    def target_answers(self) -> int:
        """Number of answers of the target on all routes."""
        return sum(self.target.values())

    @property
    def bad_answers(self) -> int:
        """Number of bad answers of the target; one that failed and was slow counts twice."""
        return sum(self.bad.values())

    def since(self, earlier: Totals) -> Totals:
        """Return what has been counted since `earlier`."""
        none = BaselineAnswers()
        return Totals(
            {r: n - earlier.baseline.get(r, none) for r, n in self.baseline.items()},
            {r: n - earlier.target.get(r, 0) for r, n in self.target.items()},
            {k: n - earlier.bad.get(k, 0) for k, n in self.bad.items()},
        )


NOTHING = Totals({}, {}, {})


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """What speaks most against a target.

    Parameters
    ----------
    log_ratio
        Log likelihood ratio of a bad to a sound target; 0 if nothing speaks against it.
    reason
        The counts that show it.
    """

    log_ratio: float = 0.0
    reason: str = ""

    @property
    def is_bad(self) -> bool:
        """Whether the target is bad."""
        return self.log_ratio >= BAD_LOG_RATIO

    @property
    def is_doubtful(self) -> bool:
        """Whether the target may be bad, so that no more requests are risked."""
        return self.log_ratio >= DOUBT_LOG_RATIO


class Evidence:
    """Totals of the last seconds, by which a target is judged.

    Examples
    --------
    >>> evidence = Evidence()
    >>> baseline = {"chat": BaselineAnswers(400, failed=1)}
    >>> bad = {("chat", "i-1", Kind.FAILED): 5, ("chat", "i-2", Kind.FAILED): 4}
    >>> evidence.add(Totals(baseline, {"chat": 20}, bad), now=1.0)
    >>> judgement = evidence.judge(upstreams=3)
    >>> judgement.is_bad, judgement.reason
    (True, 'chat: 9 of 20 failed, baseline 1 of 400')
    """

    __slots__ = ("_latest", "_recent")

    def __init__(self) -> None:
        self._latest = NOTHING
        self._recent: collections.deque[tuple[float, Totals]] = collections.deque()

    @property
    def latest(self) -> Totals:
        """The newest totals."""
        return self._latest

    def add(self, totals: Totals, now: float) -> None:
        """Add newer totals."""
        self._recent.append((now, self._latest))
        self._latest = totals
        while len(self._recent) > 1 and self._recent[1][0] <= now - WINDOW_SECONDS:
            self._recent.popleft()

    def judge(self, upstreams: int) -> Judgement:
        """Return what speaks against the target most.

        Parameters
        ----------
        upstreams
            Number of upstreams of the target.
        """
        before = self._recent[0][1] if self._recent else NOTHING
        worst = Judgement()
        for totals in (self._latest, self._latest.since(before)):
            for route in totals.target:
                baseline = self._latest.baseline.get(route, BaselineAnswers())
                for kind in Kind:
                    sound = _sound_share(baseline, kind)
                    ratio = log_ratio(totals, route, kind, upstreams, sound)
                    if ratio > worst.log_ratio:
                        worst = Judgement(ratio, _reason(totals, route, kind))
        return worst


def log_ratio(
    totals: Totals, route: str, kind: Kind, upstreams: int, least_sound: float = 0.0
) -> float:
    """Return the log likelihood ratio of a bad to a sound target, on one route in one way.

    Parameters
    ----------
    upstreams
        Number of upstreams of the target.
    least_sound
        Share of bad answers that a sound target may have, whatever the baseline shows in `totals`.
    """
    answers = totals.target.get(route, 0)
    counts = [n for (r, _, k), n in totals.bad.items() if r == route and k is kind and n > 0]
    bad = min(answers, _beyond_one_upstream(counts) if upstreams > 1 else sum(counts))
    if bad <= 0:
        return 0.0
    baseline = totals.baseline.get(route, BaselineAnswers())
    sound = least_sound
    if baseline.answers >= MIN_BASELINE_ANSWERS or not least_sound:
        sound = max(sound, _sound_share(baseline, kind))
    excess = max(_EXPECTATIONS[kind].least_excess, sound)
    worse = min(_MAX_SHARE, sound + excess)
    return bad * math.log(worse / sound) + (answers - bad) * math.log((1 - worse) / (1 - sound))


def _sound_share(baseline: BaselineAnswers, kind: Kind) -> float:
    """Return the upper estimate of the baseline's share of bad answers."""
    expected = _EXPECTATIONS[kind]
    seen = baseline.answers + expected.weight
    share = (baseline.bad(kind) + expected.share * expected.weight) / seen
    share = max(share, expected.least_share)
    return min(_MAX_SHARE / 2, share + math.sqrt(share * (1.0 - share) / seen))


def _beyond_one_upstream(counts: list[int]) -> int:
    """Return the sum of the upstreams' counts, the largest as one above the second at most."""
    ordered = sorted(counts, reverse=True)
    second = ordered[1] if len(ordered) > 1 else 0
    return min(ordered[0], 1 + second) + sum(ordered[1:]) if ordered else 0


def _reason(totals: Totals, route: str, kind: Kind) -> str:
    bad = sum(n for (r, _, k), n in totals.bad.items() if r == route and k is kind)
    baseline = totals.baseline.get(route, BaselineAnswers())
    return (
        f"{route}: {bad} of {totals.target[route]} {kind}, "
        f"baseline {baseline.bad(kind)} of {baseline.answers}"
    )
