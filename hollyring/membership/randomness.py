"""Interface of the random number generator that is passed in, for reproducible runs."""

from __future__ import annotations

from collections.abc import MutableSequence, Sequence
from typing import Any, Protocol, TypeVar

T = TypeVar("T")


class Rng(Protocol):
    """The methods of `random.Random` that the membership protocol may call."""

    def random(self) -> float:
        """Return a float in the interval [0, 1)."""

    def randrange(self, start: int, /) -> int:
        """Return an integer in the interval [0, `start`)."""

    def choice(self, seq: Sequence[T], /) -> T:
        """Return a random item of `seq`."""

    def sample(self, population: Sequence[T], /, k: int) -> list[T]:
        """Return `k` items at different positions of `population`."""

    def shuffle(self, x: MutableSequence[Any], /) -> None:
        """Shuffle `x` in place."""
